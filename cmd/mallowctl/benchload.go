package main

import (
	"context"
	"os"
	"os/signal"
	"time"

	"mallowwind.dev/lab/bench/load"
)

// benchLoadCmd plays patterns of load against the decisions and baselines.
type benchLoadCmd struct {
	Out        string `required:"" placeholder:"DIR" help:"Directory for report.json, report.md and plots."`
	Deployment string `default:"association" enum:"association,tharaka" help:"Whose places and services: ${enum}."`
	Engines    string `default:"beside" enum:"beside,chunked" help:"Engines that read prompts beside the steps of their batch, or in chunks within them and with bounded memory."`
	Scenario   string `placeholder:"NAME" help:"Play this scenario or study alone."`
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
