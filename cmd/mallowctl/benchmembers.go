package main

import (
	"context"
	"os"
	"os/signal"
	"time"

	"mallowwind.dev/lab/bench/members"
)

// benchMembersCmd measures the membership protocol and the zones' leases.
type benchMembersCmd struct {
	Out    string        `default:"docs/measurements" placeholder:"DIR" help:"Directory to write the report to."`
	Seed   uint64        `default:"1" help:"Seed of all random choices."`
	Sizes  []int         `default:"7,30,90,200,390" help:"Numbers of daemons."`
	Window time.Duration `default:"20s" help:"Duration of each measured phase."`
	Kills  int           `default:"3" help:"Number of daemons killed at each size."`
}

// Run implements the command.
func (c *benchMembersCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	return members.Run(ctx, members.Options{
		Dir: c.Out, Seed: c.Seed, Sizes: c.Sizes, Window: c.Window, Kills: c.Kills, Log: os.Stderr,
	})
}
