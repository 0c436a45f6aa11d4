package operate

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"mallowwind.dev/control/inforce/patch"
	"mallowwind.dev/control/inforce/record"
	"mallowwind.dev/external/store"
)

// Request is a change that an operator wants.
type Request struct {
	Text         string
	BaseRevision int64 // revision it was planned against, 0 for the first text
	Comment      string
	// RestoredRevision is the revision whose text this is, when rolling back.
	RestoredRevision int64
	// AboveRevision makes the new revision higher than this as well. It is needed once
	// after the store was restored from an older copy: daemons then have in
	// force, and rightly keep, a higher revision than the store knows.
	AboveRevision int64
}

const (
	firstRetry = 100 * time.Millisecond
	lastRetry  = 3 * time.Second
)

// Apply makes the text of request the newest accepted one and returns its
// record. The caller has checked the text. Errors are *ConflictError and
// *StoreError; ctx bounds how long an unavailable store is waited for.
func (c *Client) Apply(ctx context.Context, request Request) (*record.Record, error) {
	if _, err := c.check(request.Text); err != nil {
		return nil, err
	}
	head, err := c.head(ctx)
	if err != nil {
		return nil, err
	}
	if revisionOf(head) != request.BaseRevision {
		return nil, c.conflict(ctx, request.BaseRevision, head)
	}
	next := c.next(ctx, head, request)
	if err := c.create(ctx, c.keys().Body(next.ID), []byte(request.Text)); err != nil {
		return nil, &StoreError{Err: err}
	}
	if err := c.archive(ctx, head); err != nil {
		return nil, &StoreError{Err: err}
	}
	accepted, err := c.accept(ctx, head, next)
	if err != nil {
		return nil, err
	}
	if !accepted {
		c.remove(ctx, c.keys().Body(next.ID))
		now, err := c.head(ctx)
		if err != nil {
			return nil, err
		}
		return nil, c.conflict(ctx, request.BaseRevision, now)
	}
	if next.Revision%pruneEvery == 0 {
		c.prune(ctx)
	}
	return next, nil
}

func revisionOf(a record.Accepted) int64 {
	if a.Record == nil {
		return 0
	}
	return a.Revision
}

// next is the record of a change to head.
func (c *Client) next(ctx context.Context, head record.Accepted, request Request) *record.Record {
	r := &record.Record{
		ID: uuid.NewString(), Revision: max(revisionOf(head), request.AboveRevision) + 1, BaseRevision: revisionOf(head),
		SHA256: record.Hash(request.Text), Author: c.Author, AppliedAt: time.Now().UTC(),
		Comment: request.Comment, RestoredRevision: request.RestoredRevision,
	}
	if head.Record == nil {
		return r
	}
	// Without a difference watchers read the body: dearer, not wrong.
	if old, err := c.withText(ctx, head); err == nil {
		if p := patch.Make(old.Text, request.Text); p.Size() <= record.MaxPatchBytes {
			r.Patch = p
		}
	}
	return r
}

// accept replaces head by next and reports whether that happened.
//
// A write can take effect while its answer is lost. Concluding from the error
// would tell the operator that nothing changed while the fleet follows the
// new text. So after an unknown outcome the store is read: next carries an id
// of its own. While the old record is still there the same compare-and-swap
// is sent again; whichever of the two takes effect, it does so once.
func (c *Client) accept(ctx context.Context, head record.Accepted, next *record.Record) (bool, error) {
	unknown, accepted := false, false
	err := retry(ctx, func(ctx context.Context) error {
		_, err := c.Store.CompareAndSwap(ctx, c.keys().Head(), head.Version, next.Encode(), 0)
		if err == nil {
			accepted = true
			return nil
		}
		if errors.Is(err, store.ErrUnknown) || isDeadline(err) {
			unknown = true
		}
		if errors.Is(err, store.ErrConflict) {
			accepted, err = c.isAccepted(ctx, next)
		}
		return err
	})
	if err != nil {
		return false, &StoreError{OutcomeUnknown: unknown, ChangeID: next.ID, Err: err}
	}
	return accepted, nil
}

// isAccepted looks for next as the newest record or, if another change was
// accepted right after it, in the history, where that one put it first.
func (c *Client) isAccepted(ctx context.Context, next *record.Record) (bool, error) {
	now, err := record.ReadHead(ctx, c.Store, c.keys())
	if err != nil {
		return false, err
	}
	if now.ID == next.ID {
		return true, nil
	}
	old, err := c.replaced(ctx, next.Revision)
	if errors.Is(err, store.ErrNotFound) {
		return false, nil
	}
	return err == nil && old.ID == next.ID, err
}

// conflict describes what was accepted since planned.
func (c *Client) conflict(ctx context.Context, planned int64, head record.Accepted) error {
	if head.Record == nil {
		return errors.Errorf("planned against revision %d, but no text has been accepted yet; use --against 0", planned)
	}
	e := &ConflictError{PlannedRevision: planned, Head: head}
	oldText := ""
	if planned > 0 {
		old, err := c.GetRevision(ctx, planned)
		if err != nil {
			return e
		}
		oldText = old.Text
	}
	now, err := c.withText(ctx, head)
	if err != nil {
		return e
	}
	e.Changes, _ = Plan(oldText, now.Text)
	return e
}

// retry repeats call while the store is unavailable or the outcome unknown,
// until ctx ends. Each call has its own deadline.
func retry(ctx context.Context, call func(context.Context) error) error {
	wait := firstRetry
	for {
		once, cancel := context.WithTimeout(ctx, callTimeout)
		err := call(once)
		cancel()
		if err == nil || !transient(err) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(wait):
		}
		wait = min(2*wait, lastRetry)
	}
}

func transient(err error) bool {
	return errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrUnknown) || isDeadline(err)
}

func isDeadline(err error) bool { return errors.Is(err, context.DeadlineExceeded) }
