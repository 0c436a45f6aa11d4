package main

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/inforce/record"
	"mallowwind.dev/control/operate"
)

// applyCmd makes a text the accepted one.
type applyCmd struct {
	siteFlags
	adminFlags
	File    string        `arg:"" optional:"" type:"existingfile" help:"Site text."`
	Restore int64         `placeholder:"REVISION" help:"Roll back: accept the text of this revision anew, as a higher revision."`
	Against int64         `default:"-1" placeholder:"REVISION" help:"Revision that the change was planned against; the newest by default."`
	Comment string        `short:"m" help:"Why; stands in the history."`
	Yes     bool          `help:"Do not ask."`
	Above   int64         `placeholder:"REVISION" help:"Choose a revision above this one, after the store was restored from an older copy."`
	Wait    time.Duration `placeholder:"DURATION" help:"Wait until the asked entry VMs and all they know have it in force."`
}

// pollInForce is the time between two looks while waiting.
const pollInForce = 500 * time.Millisecond

// Run implements the command.
func (c *applyCmd) Run() error {
	if (c.File == "") == (c.Restore == 0) {
		return usageError{errors.New("give a FILE or --restore REVISION")}
	}
	s, err := c.open()
	if err != nil {
		return err
	}
	defer s.stop()
	text, err := c.text(s)
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

func (c *applyCmd) text(s *session) (string, error) {
	if c.Restore == 0 {
		return readSite(c.File)
	}
	old, err := s.GetRevision(s.ctx, c.Restore)
	if err != nil {
		return "", err
	}
	return old.Text, nil
}

func (c *applyCmd) apply(s *session, text string, p plan) error {
	if !c.Yes {
		writeChanges(s.out, p.Changes)
		ok, err := confirm(fmt.Sprintf("apply against revision %d?", c.Against))
		if err != nil {
			return err
		}
		if !ok {
			return errors.New("not applied")
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
	if err := c.report(s, accepted); err != nil {
		return err
	}
	return c.wait(s, accepted.Revision)
}

func (c *applyCmd) report(s *session, accepted *record.Record) error {
	if c.JSON {
		bare := *accepted
		bare.Patch = nil
		return writeJSON(s.out, bare)
	}
	fmt.Fprintf(s.out, "accepted as revision %d\n", accepted.Revision)
	return nil
}

// wait returns once every known entry VM has revision in force.
func (c *applyCmd) wait(s *session, revision int64) error {
	if c.Wait == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(s.ctx, c.Wait)
	defer cancel()
	for {
		answers, err := c.read(ctx)
		if err != nil {
			return errors.Wrapf(err, "revision %d is accepted; waiting for it", revision)
		}
		status := s.Status(ctx, answers)
		if status.AcceptedRevision >= revision && status.HasConverged() {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("revision %d is accepted, but after %s not in force everywhere; see status", revision, c.Wait)
		case <-time.After(pollInForce):
		}
	}
}
