package main

import "os"

// handoverCmd writes the report for the next shift: the state of the deployment and the site text.
type handoverCmd struct {
	siteFlags
	adminFlags
	Out string `type:"path" placeholder:"FILE" help:"Write to FILE instead of the standard output."`
}

// Run implements the command.
func (c *handoverCmd) Run() error {
	s, err := c.open()
	if err != nil {
		return err
	}
	defer s.stop()
	pages, err := c.readPages(s.ctx)
	if err != nil {
		return err
	}
	h, err := s.Handover(s.ctx, pages)
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
