package main

import (
	"context"
	"os"
	"os/signal"
	"time"

	"mallowwind.dev/lab/bench/load"
)

// benchLoadCmd compares the decisions with baselines under simulated patterns of load.
type benchLoadCmd struct {
	Out        string `required:"" placeholder:"DIR" help:"Directory to write report.json, report.md and the plots to."`
	Deployment string `default:"association" enum:"association,tharaka" help:"Deployment whose zones and services are simulated: ${enum}."`
	Engines    string `default:"beside" enum:"beside,chunked" help:"Model of the engines: prefill beside the steps of the batch, or in chunks within the steps and with bounded memory."`
	Scenario   string `placeholder:"NAME" help:"Run only this scenario or study."`
	Seed       uint64 `default:"1" help:"Seed of all random choices."`
}

// Run implements the command.
func (c *benchLoadCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	return load.Run(ctx, load.Options{
		Dir: c.Out, Deployment: c.Deployment, Scenario: c.Scenario, Engines: c.Engines, Seed: c.Seed,
		Log: os.Stderr, Now: time.Now(),
	})
}
