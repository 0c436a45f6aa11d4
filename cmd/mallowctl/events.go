package main

import (
	"os"

	"mallowwind.dev/telemetry/event"
)

// eventsCmd prints the reference page of the log events.
type eventsCmd struct {
	Write string `placeholder:"FILE" help:"Write the page to FILE instead of printing it."`
}

// Run implements the command.
func (c *eventsCmd) Run() error {
	if c.Write != "" {
		return os.WriteFile(c.Write, event.Page(), 0o644)
	}
	_, err := os.Stdout.Write(event.Page())
	return err
}
