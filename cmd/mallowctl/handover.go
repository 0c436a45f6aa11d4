package main

import (
	"os"

	"github.com/pkg/errors"
)

// handoverCmd writes what the next shift starts from.
type handoverCmd struct {
	siteFlags
	adminFlags
	Out string `type:"path" placeholder:"FILE" help:"Write to FILE instead of the standard output."`
}

// Run implements the command.
func (c *handoverCmd) Run() error {
	if len(c.Admin) == 0 {
		return usageError{errors.New("give --admin IP:PORT of at least one entry VM, or MALLOWWIND_ADMIN")}
	}
	s, err := c.open()
	if err != nil {
		return err
	}
	defer s.stop()
	h, err := s.Handover(s.ctx, c.read(s.ctx))
	if err != nil {
		return err
	}
	if c.Out != "" {
		file, err := os.Create(c.Out)
		if err != nil {
			return err
		}
		defer file.Close()
		s.out = file
	}
	if c.JSON {
		return writeJSON(s.out, h)
	}
	h.Write(s.out)
	return nil
}
