package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/lab/soak"
)

// soakCmd runs a whole deployment over loopback under random faults and planned
// changes, and checks its invariants.
type soakCmd struct {
	Seed    uint64 `default:"1" help:"Seed of the first run; each further run uses the next seed."`
	Runs    int    `default:"1" help:"Number of runs."`
	Minutes int    `help:"Keep running with further seeds for this many minutes, even after --runs is reached."`
	Callers int    `default:"2" help:"Number of callers of each kind."`
	Logs    bool   `help:"Write the daemons' logs to standard error."`
}

// Run implements the command. It stops at the first run that fails or violates an invariant.
func (c *soakCmd) Run() error {
	logs := io.Discard
	if c.Logs {
		logs = os.Stderr
	}
	until := time.Now().Add(time.Duration(c.Minutes) * time.Minute)
	for i := 0; i < c.Runs || time.Now().Before(until); i++ {
		plan := soak.Draw(c.Seed+uint64(i), soak.LongRun)
		report, err := soak.Run(context.Background(), soak.Options{Plan: plan, Callers: c.Callers, Logs: logs})
		if err != nil {
			return errors.Wrapf(err, "seed %d", plan.Seed)
		}
		if err := report.Err(); err != nil {
			return errors.Wrapf(err, "seed %d", plan.Seed)
		}
		fmt.Printf("seed %d: all invariants held\n", plan.Seed)
		printCounts(report.Counts)
	}
	return nil
}

func printCounts(counts map[string]int) {
	var names []string
	for name := range counts {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Printf("  %6d %s\n", counts[name], name)
	}
}
