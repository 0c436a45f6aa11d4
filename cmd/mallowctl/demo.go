package main

import (
	"context"
	"io"
	"os"

	"mallowwind.dev/lab/demo"
)

// demoCmd runs a demo deployment in one process.
type demoCmd struct {
	Seed uint64 `default:"1" help:"Seed of the stand-ins."`
	JSON bool   `help:"Write the summary as JSON."`
	Logs bool   `help:"Write the daemons' logs to standard error."`
}

// Run implements the command.
func (c *demoCmd) Run() error {
	logs := io.Discard
	if c.Logs {
		logs = os.Stderr
	}
	return demo.Run(context.Background(), demo.Options{Seed: c.Seed, JSON: c.JSON, Logs: logs}, os.Stdout, os.Stderr)
}
