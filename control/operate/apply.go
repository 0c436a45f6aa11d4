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

// Request is a change of the site text to apply.
type Request struct {
	Text         string
	BaseRevision int64 // revision it was planned against; 0 for the first text
	Comment      string
	// RestoredRevision is the revision whose text is applied again by a rollback, otherwise 0.
	RestoredRevision int64
	// AboveRevision is a lower bound: the new revision is higher than it. It is needed once after
	// the store was restored from an older backup: daemons then have a higher revision in force
	// than the store holds, and by design never go back to a lower one.
	AboveRevision int64
}

const (
	initialRetryDelay = 100 * time.Millisecond
	maxRetryDelay     = 3 * time.Second
)

// Apply makes the text of request the newest accepted one and returns its record. It returns a
// *ConflictError if another change was accepted since BaseRevision, a *StoreError if the store is
// unavailable, and another error if the text is invalid, belongs to another site, or has a
// BaseRevision although no text is accepted yet. ctx bounds the retries while the store is
// unavailable.
func (c *Client) Apply(ctx context.Context, request Request) (*record.Record, error) {
	if _, err := c.parseOwnSite(request.Text); err != nil {
		return nil, err
	}
	head, err := c.head(ctx)
	if err != nil {
		return nil, err
	}
	if revisionOf(head) != request.BaseRevision {
		return nil, c.conflict(ctx, request.BaseRevision, head)
	}
	next := c.newRecord(ctx, head, request)
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
	if next.Revision%pruneEveryRevisions == 0 {
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

// newRecord returns the record of the change that replaces head.
func (c *Client) newRecord(ctx context.Context, head record.Accepted, request Request) *record.Record {
	r := &record.Record{
		ID: uuid.NewString(), Revision: max(revisionOf(head), request.AboveRevision) + 1, BaseRevision: revisionOf(head),
		SHA256: record.Hash(request.Text), Author: c.Author, AppliedAt: time.Now().UTC(),
		Comment: request.Comment, RestoredRevision: request.RestoredRevision,
	}
	if head.Record == nil {
		return r
	}
	// Without a patch the watching daemons read the whole text, which costs more but is correct.
	if old, err := c.readText(ctx, head); err == nil {
		if p := patch.Make(old.Text, request.Text); p.Size() <= record.MaxPatchBytes {
			r.Patch = p
		}
	}
	return r
}

// accept replaces head by next and reports whether next was accepted.
//
// A write can take effect although its answer is lost. Reporting the error as a failure would tell
// the operator that nothing changed while the daemons already follow the new text. After an unknown
// outcome the same compare-and-swap is therefore sent again, which is safe because at most one of
// the two can take effect. If it conflicts, the store is read and the unique ID of next tells
// whether the first write took effect.
func (c *Client) accept(ctx context.Context, head record.Accepted, next *record.Record) (bool, error) {
	unknown, accepted := false, false
	err := retryTransient(ctx, func(ctx context.Context) error {
		_, err := c.Store.CompareAndSwap(ctx, c.keys().Head(), head.Version, next.Encode(), 0)
		if err == nil {
			accepted = true
			return nil
		}
		if errors.Is(err, store.ErrUnknown) || isDeadlineExceeded(err) {
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

// isAccepted reports whether next is the newest record or, if another change has already replaced
// it, in the history. A change is archived before it is replaced, so it is found in one of the two.
func (c *Client) isAccepted(ctx context.Context, next *record.Record) (bool, error) {
	now, err := record.ReadHead(ctx, c.Store, c.keys())
	if err != nil {
		return false, err
	}
	if now.ID == next.ID {
		return true, nil
	}
	old, err := c.readHistoryEntry(ctx, next.Revision)
	if errors.Is(err, store.ErrNotFound) {
		return false, nil
	}
	return err == nil && old.ID == next.ID, err
}

// conflict returns the error that describes what was accepted after the planned revision.
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
	now, err := c.readText(ctx, head)
	if err != nil {
		return e
	}
	e.Changes, _ = Plan(oldText, now.Text)
	return e
}

// retryTransient retries call with exponential backoff while the store is unavailable or the
// outcome is unknown, until ctx ends. Each attempt has its own timeout.
func retryTransient(ctx context.Context, call func(context.Context) error) error {
	wait := initialRetryDelay
	for {
		once, cancel := context.WithTimeout(ctx, storeCallTimeout)
		err := call(once)
		cancel()
		if err == nil || !isTransient(err) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(wait):
		}
		wait = min(2*wait, maxRetryDelay)
	}
}

func isTransient(err error) bool {
	return errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrUnknown) || isDeadlineExceeded(err)
}

func isDeadlineExceeded(err error) bool { return errors.Is(err, context.DeadlineExceeded) }
