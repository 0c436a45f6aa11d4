package main

import (
	"fmt"

	"mallowwind.dev/control/operate"
)

// planCmd shows what applying a text would change.
type planCmd struct {
	siteFlags
	File string `arg:"" type:"existingfile" help:"Site text."`
}

// plan is the answer of planCmd.
type plan struct {
	Against int64            `json:"against"` // give it to apply --against
	Changes []operate.Change `json:"changes"`
}

// Run implements the command.
func (c *planCmd) Run() error {
	text, err := readSite(c.File)
	if err != nil {
		return err
	}
	s, err := c.open()
	if err != nil {
		return err
	}
	defer s.stop()
	p, _, err := s.plan(text)
	if err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(s.out, p)
	}
	writeChanges(s.out, p.Changes)
	fmt.Fprintf(s.out, "planned against revision %d; apply with --against %d\n", p.Against, p.Against)
	return nil
}

// plan compares text with the newest accepted one, which it also returns;
// that is nil before the first.
func (s *session) plan(text string) (plan, *operate.Current, error) {
	current, err := s.Get(s.ctx)
	if err == operate.ErrNoText {
		changes, err := operate.Plan("", text)
		return plan{Changes: changes}, nil, err
	}
	if err != nil {
		return plan{}, nil, err
	}
	changes, err := operate.Plan(current.Text, text)
	return plan{Against: current.Revision, Changes: changes}, current, err
}
