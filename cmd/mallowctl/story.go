package main

import (
	"os"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/telemetry/story"
)

// storyCmd prints the events of one request from the logs of several daemons, sorted by time.
type storyCmd struct {
	ID    string                   `arg:"" help:"ID of a request, a generation or a prompt, as the logs write it."`
	Files []string                 `arg:"" type:"existingfile" help:"Logs of daemons."`
	Clock map[string]time.Duration `placeholder:"VM=OFFSET" help:"Offset by which a daemon's clock is ahead of the others, such as entry-2=-150ms."`
}

// Run implements the command.
func (c *storyCmd) Run() error {
	var lines []story.Line
	for _, path := range c.Files {
		f, err := os.Open(path)
		if err != nil {
			return errors.Wrap(err, "log")
		}
		got, err := story.Read(f, c.ID, c.Clock)
		f.Close()
		if err != nil {
			return errors.Wrap(err, path)
		}
		lines = append(lines, got...)
	}
	story.Sort(lines)
	return story.Write(os.Stdout, lines)
}

// storiesCmd summarizes the events of all requests in the logs.
type storiesCmd struct {
	Files []string `arg:"" type:"existingfile" help:"Logs of daemons."`
}

// Run implements the command.
func (c *storiesCmd) Run() error {
	s := story.NewSummary()
	for _, path := range c.Files {
		f, err := os.Open(path)
		if err != nil {
			return errors.Wrap(err, "log")
		}
		err = s.Add(f)
		f.Close()
		if err != nil {
			return errors.Wrap(err, path)
		}
	}
	return s.Write(os.Stdout)
}
