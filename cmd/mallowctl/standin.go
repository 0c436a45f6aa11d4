package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"

	"mallowwind.dev/external/standin/host"
	"mallowwind.dev/lab/standins"
	"mallowwind.dev/telemetry/event"
)

// standInCmd serves stand-ins for the platform until it is interrupted.
type standInCmd struct {
	Config string `required:"" type:"path" placeholder:"FILE" help:"INI file that lists the stand-ins; see docs/platform-protocols.md."`
}

// Run implements the command. Once all stand-ins listen, it prints one line "name address zone" for
// each.
func (c *standInCmd) Run() error {
	config, err := standins.Load(c.Config)
	if err != nil {
		return standInError{err}
	}
	log := event.New(logrus.New(), "stand-in", "")
	h, err := host.Start(config, log)
	if err != nil {
		return standInError{err}
	}
	for _, n := range h.Nodes() {
		fmt.Println(n)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return h.Run(ctx)
}

// standInError is an error of the configuration or of opening a listener.
type standInError struct{ error }

// ExitCode implements exitCoder.
func (standInError) ExitCode() int { return exitUsage }
