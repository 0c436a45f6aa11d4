package main

import (
	"fmt"
	"os"
	"time"

	"mallowwind.dev/lab/bench/prompts"
)

// benchPromptsCmd compares policies for placing long prompts and the replicas of their runs.
type benchPromptsCmd struct {
	Out      string        `default:"docs/measurements/prompts" placeholder:"DIR" help:"Directory to write the report to."`
	Seed     uint64        `default:"1" help:"Seed of all random choices."`
	Duration time.Duration `default:"2m" help:"Duration of the load in each trial, in virtual time."`
}

// Run implements the command.
func (c *benchPromptsCmd) Run() error {
	return prompts.Run(prompts.Options{
		Dir: c.Out, Seed: c.Seed, Duration: c.Duration,
		Command: fmt.Sprintf("go run ./cmd/mallowctl bench prompts --seed %d --duration %s", c.Seed, c.Duration),
		Log:     os.Stderr, Now: time.Now,
	})
}
