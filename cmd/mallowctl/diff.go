package main

import (
	"mallowwind.dev/control/operate"
)

// diffCmd shows the semantic changes between two accepted texts.
type diffCmd struct {
	siteFlags
	From int64 `arg:"" optional:"" help:"Older revision; by default the one that the newer revision replaced."`
	To   int64 `arg:"" optional:"" help:"Newer revision; the newest by default."`
}

// Run implements the command.
func (c *diffCmd) Run() error {
	s, err := c.open()
	if err != nil {
		return err
	}
	defer s.stop()
	to, err := s.readRevision(c.To)
	if err != nil {
		return err
	}
	if c.From == 0 {
		c.From = to.BaseRevision
	}
	oldText := ""
	if c.From > 0 {
		from, err := s.readRevision(c.From)
		if err != nil {
			return err
		}
		oldText = from.Text
	}
	changes, err := operate.Plan(oldText, to.Text)
	if err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(s.out, changes)
	}
	writeChanges(s.out, changes)
	return nil
}
