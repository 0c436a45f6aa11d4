package main

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/inforce/record"
	"mallowwind.dev/control/operate"
)

// applyCmd makes a site text the newest accepted one, or rolls back to the text of an older
// revision.
type applyCmd struct {
	siteFlags
	adminFlags
	File    string        `arg:"" optional:"" type:"existingfile" help:"Site text."`
	Restore int64         `placeholder:"REVISION" help:"Roll back: accept the text of this revision again, as a new, higher revision."`
	Against int64         `default:"-1" placeholder:"REVISION" help:"Revision that the change was planned against; the newest by default."`
	Comment string        `short:"m" help:"Reason for the change, recorded in the history."`
	Yes     bool          `help:"Apply without asking for confirmation."`
	Above   int64         `placeholder:"REVISION" help:"Choose a revision above this one, after the store was restored from an older copy."`
	Wait    time.Duration `placeholder:"DURATION" help:"Wait until the new revision is in force on the queried entry VMs and all members that they know."`
}

// statusPollInterval is the time between two reads of the status pages while waiting.
const statusPollInterval = 500 * time.Millisecond

// Run implements the command.
func (c *applyCmd) Run() error {
	if (c.File == "") == (c.Restore == 0) {
		return usageError{errors.New("give either FILE or --restore REVISION")}
	}
	s, err := c.open()
	if err != nil {
		return err
	}
	defer s.stop()
	text, err := c.readText(s)
	if err != nil {
		return err
	}
	p, current, err := s.plan(text)
	if err != nil {
		return err
	}
	if c.Against < 0 {
		c.Against = p.Against
	}
	if current != nil && current.Text == text && c.Against == p.Against && c.Above == 0 {
		fmt.Fprintf(s.out, "revision %d has this text already, nothing to do\n", current.Revision)
		return nil
	}
	return c.apply(s, text, p)
}

func (c *applyCmd) readText(s *session) (string, error) {
	if c.Restore == 0 {
		return readSite(c.File)
	}
	old, err := s.GetRevision(s.ctx, c.Restore)
	if err != nil {
		return "", err
	}
	return old.Text, nil
}

func (c *applyCmd) apply(s *session, text string, p planOutput) error {
	if !c.Yes {
		writeChanges(s.out, p.Changes)
		ok, err := confirm(fmt.Sprintf("apply against revision %d?", c.Against))
		if err != nil {
			return err
		}
		if !ok {
			return errors.New("not applied: the confirmation was declined")
		}
	}
	ctx, cancel := context.WithTimeout(s.ctx, c.Timeout)
	defer cancel()
	accepted, err := s.Apply(ctx, operate.Request{
		Text: text, BaseRevision: c.Against, Comment: c.Comment, RestoredRevision: c.Restore, AboveRevision: c.Above,
	})
	if err != nil {
		return err
	}
	if err := c.writeAccepted(s, accepted); err != nil {
		return err
	}
	return c.waitInForce(s, accepted.Revision)
}

func (c *applyCmd) writeAccepted(s *session, accepted *record.Record) error {
	if c.JSON {
		bare := *accepted
		bare.Patch = nil
		return writeJSON(s.out, bare)
	}
	fmt.Fprintf(s.out, "accepted as revision %d\n", accepted.Revision)
	return nil
}

// waitInForce waits until revision or a newer one is in force on every known entry VM. It does
// nothing without --wait.
func (c *applyCmd) waitInForce(s *session, revision int64) error {
	if c.Wait == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(s.ctx, c.Wait)
	defer cancel()
	for {
		pages, err := c.readPages(ctx)
		if err != nil {
			return errors.Wrapf(err, "revision %d is accepted; waiting until it is in force", revision)
		}
		status := s.Status(ctx, pages)
		if status.AcceptedRevision >= revision && status.HasConverged() {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("revision %d is accepted, but after %s not in force everywhere; see status", revision, c.Wait)
		case <-time.After(statusPollInterval):
		}
	}
}
