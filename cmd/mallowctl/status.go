package main

import "github.com/pkg/errors"

// statusCmd shows which revision is in force in each zone and which VMs lag.
type statusCmd struct {
	siteFlags
	adminFlags
}

// Run implements the command. It fails when a VM lags or does not answer, so that scripts can poll
// it until the newest revision is in force everywhere.
func (c *statusCmd) Run() error {
	s, err := c.open()
	if err != nil {
		return err
	}
	defer s.stop()
	pages, err := c.readPages(s.ctx)
	if err != nil {
		return err
	}
	status := s.Status(s.ctx, pages)
	if c.JSON {
		err = writeJSON(s.out, status)
	} else {
		status.Write(s.out)
	}
	if err != nil {
		return err
	}
	if !status.HasConverged() {
		return errors.Errorf("the newest revision is not in force everywhere: %d VMs lag, %d do not answer", len(status.Lagging()), len(status.Unreachable))
	}
	return nil
}
