package main

import "github.com/pkg/errors"

// statusCmd shows which revision is in force where.
type statusCmd struct {
	siteFlags
	adminFlags
}

// Run implements the command. It fails when some VM lags or does not answer,
// so that scripts can wait on it.
func (c *statusCmd) Run() error {
	s, err := c.open()
	if err != nil {
		return err
	}
	defer s.stop()
	answers, err := c.read(s.ctx)
	if err != nil {
		return err
	}
	status := s.Status(s.ctx, answers)
	if c.JSON {
		err = writeJSON(s.out, status)
	} else {
		status.Write(s.out)
	}
	if err != nil {
		return err
	}
	if !status.HasConverged() {
		return errors.Errorf("not in force everywhere: %d VMs lag, %d do not answer", len(status.Lagging()), len(status.Unreachable))
	}
	return nil
}
