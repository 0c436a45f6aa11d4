package main

import (
	"context"
	"os"
	"os/signal"
	"time"

	"mallowwind.dev/lab/bench/control"
)

// benchControlCmd measures the spread of the site text.
type benchControlCmd struct {
	Out     string `default:"docs/measurements/control" placeholder:"DIR" help:"Directory to write the report to."`
	Sizes   []int  `placeholder:"N" help:"Numbers of daemons for the time to in force."`
	Only    string `enum:",spread,daemons,accounts,changes" default:"" help:"Measure this part alone: spread, daemons, accounts, changes."`
	Daemons []int  `placeholder:"N" help:"Numbers of daemons for the slopes, four at least."`
}

// Run implements the command.
func (c *benchControlCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	o := control.Defaults()
	o.Dir, o.Command, o.Log, o.Now = c.Out, "go run ./cmd/mallowctl bench control", os.Stderr, time.Now
	if c.Only != "" {
		o.Only, o.Command = c.Only, o.Command+" --only "+c.Only
	}
	if len(c.Sizes) > 0 {
		o.SpreadDaemons = c.Sizes
	}
	if len(c.Daemons) > 0 {
		o.CostDaemons = c.Daemons
	}
	return control.Run(ctx, o)
}
