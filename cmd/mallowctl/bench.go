package main

import (
	"context"
	"os"
	"os/signal"
	"time"

	"mallowwind.dev/lab/bench/slopes"
)

// benchCmd holds the experiments.
type benchCmd struct {
	Control benchControlCmd `cmd:"" help:"Measure the spread of the site text and what it costs."`
	Load    benchLoadCmd    `cmd:"" help:"Play patterns of load against the decisions, beside baselines."`
	Members benchMembersCmd `cmd:"" help:"Measure membership and the zones' leases."`
	Prompts benchPromptsCmd `cmd:"" help:"Compare ways of placing long prompts while zones of engines are lost."`
	Resume  benchResumeCmd  `cmd:"" help:"Compare ways of resuming answers: latency against extra resources."`
	Slopes  benchSlopesCmd  `cmd:"" help:"Measure how costs grow with sizes, for docs/CAPACITY.md."`
}

// benchSlopesCmd measures and records slopes.
type benchSlopesCmd struct {
	Out     string `default:"docs/measurements" placeholder:"DIR" help:"Directory to record in."`
	Only    string `placeholder:"NAME" help:"Measure this slope alone."`
	Seed    uint64 `default:"1" help:"Seed of all random choices."`
	Repeats int    `default:"3" help:"Runs of each size."`
}

// Run implements the command.
func (c *benchSlopesCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	return slopes.Run(ctx, slopes.Options{
		Dir: c.Out, Only: c.Only, Seed: c.Seed, Repeats: c.Repeats, Log: os.Stderr, Now: time.Now,
	})
}
