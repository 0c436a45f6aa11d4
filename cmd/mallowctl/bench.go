package main

import (
	"context"
	"os"
	"os/signal"
	"time"

	"mallowwind.dev/lab/bench/slopes"
)

// benchCmd groups the experiments.
type benchCmd struct {
	Control benchControlCmd `cmd:"" help:"Measure how fast the site text propagates and what that costs."`
	Load    benchLoadCmd    `cmd:"" help:"Compare the decisions with baselines under simulated patterns of load."`
	Members benchMembersCmd `cmd:"" help:"Measure the membership protocol and the zones' leases."`
	Prompts benchPromptsCmd `cmd:"" help:"Compare policies for placing long prompts while zones of engines fail."`
	Resume  benchResumeCmd  `cmd:"" help:"Compare policies for resuming answers: latency against extra resources."`
	Slopes  benchSlopesCmd  `cmd:"" help:"Measure how costs grow with the size of a deployment, for docs/CAPACITY.md."`
}

// benchSlopesCmd measures and records how costs grow with the size of a deployment.
type benchSlopesCmd struct {
	Out     string `default:"docs/measurements" placeholder:"DIR" help:"Directory to write the measurements to."`
	Only    string `placeholder:"NAME" help:"Measure only this slope."`
	Seed    uint64 `default:"1" help:"Seed of all random choices."`
	Repeats int    `default:"3" help:"Number of runs at each size."`
}

// Run implements the command.
func (c *benchSlopesCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	return slopes.Run(ctx, slopes.Options{
		Dir: c.Out, Only: c.Only, Seed: c.Seed, Repeats: c.Repeats, Log: os.Stderr, Now: time.Now,
	})
}
