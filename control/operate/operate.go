// Package operate is what operators do with the site text: check, plan, apply,
// read it back, and see where it is in force. mallowctl is a thin shell on it.
package operate

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/inforce/record"
	"mallowwind.dev/control/site"
	"mallowwind.dev/external/store"
)

// Client reads and writes the accepted site text of one site.
type Client struct {
	Store store.Store
	Site  string
	// Author stands in the history beside each change.
	Author string
}

// Current is an accepted text with its record.
type Current struct {
	record.Accepted
	Text string
}

// callTimeout bounds one call to the store; operators can wait longer than
// daemons do.
const callTimeout = 5 * time.Second

// ErrNoText means that no text has been accepted yet.
var ErrNoText = errors.New("no site text has been accepted yet")

// StoreError means that the store did not answer. Unknown tells whether the
// change may have been accepted all the same.
type StoreError struct {
	OutcomeUnknown bool
	ChangeID       string // of the change, when Unknown
	Err            error
}

// Error says what the operator knows and can do.
func (e *StoreError) Error() string {
	if !e.OutcomeUnknown {
		return fmt.Sprintf("the store does not answer, nothing was changed: %v", e.Err)
	}
	return fmt.Sprintf("the store does not answer, the change %s may have been accepted; "+
		"run history when it answers, or the same apply again with the same --against: %v", e.ChangeID, e.Err)
}

// Unwrap returns the store's error.
func (e *StoreError) Unwrap() error { return e.Err }

// ExitCode is 4: store unavailable or outcome unknown.
func (e *StoreError) ExitCode() int { return 4 }

// ConflictError means that another change was accepted since this one was planned.
type ConflictError struct {
	PlannedRevision int64
	Head            record.Accepted // what is accepted instead
	Changes         []Change        // from the planned revision to Head; nil when its text is gone
}

// Error names who changed what.
func (e *ConflictError) Error() string {
	text := fmt.Sprintf("planned against revision %d, but revision %d is accepted: %s at %s: %q",
		e.PlannedRevision, e.Head.Revision, e.Head.Author, e.Head.AppliedAt.UTC().Format(time.RFC3339), e.Head.Comment)
	for _, c := range e.Changes {
		text += "\n  " + c.String()
	}
	return text + "\nlook at these changes, merge them into the text and plan again"
}

// ExitCode is 3: conflict.
func (e *ConflictError) ExitCode() int { return 3 }

func (c *Client) keys() record.Keys { return record.KeysOf(c.Site) }

// Get returns the newest accepted text, or ErrNothing.
func (c *Client) Get(ctx context.Context) (*Current, error) {
	head, err := c.head(ctx)
	if err != nil {
		return nil, err
	}
	if head.Record == nil {
		return nil, ErrNoText
	}
	return c.withText(ctx, head)
}

// GetRevision returns the text of an older revision that the history still holds.
func (c *Client) GetRevision(ctx context.Context, revision int64) (*Current, error) {
	head, err := c.head(ctx)
	if err != nil {
		return nil, err
	}
	if head.Record != nil && head.Revision == revision {
		return c.withText(ctx, head)
	}
	old, err := c.replaced(ctx, revision)
	if errors.Is(err, store.ErrNotFound) {
		return nil, errors.Errorf("the history does not hold revision %d", revision)
	}
	if err != nil {
		return nil, &StoreError{Err: err}
	}
	return c.withText(ctx, old)
}

// head returns the newest record; its Record is nil before the first.
func (c *Client) head(ctx context.Context) (record.Accepted, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	head, err := record.ReadHead(ctx, c.Store, c.keys())
	if errors.Is(err, store.ErrNotFound) {
		return record.Accepted{}, nil
	}
	if err != nil {
		return record.Accepted{}, &StoreError{Err: err}
	}
	return head, nil
}

// replaced returns a record of the history.
func (c *Client) replaced(ctx context.Context, revision int64) (record.Accepted, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	kv, err := c.Store.Get(ctx, c.keys().HistoryEntry(revision))
	if err != nil {
		return record.Accepted{}, err
	}
	return record.FromKV(kv)
}

func (c *Client) withText(ctx context.Context, a record.Accepted) (*Current, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	text, err := record.ReadText(ctx, c.Store, c.keys(), a.Record)
	if errors.Is(err, record.ErrCorrupt) || errors.Is(err, store.ErrNotFound) {
		return nil, errors.Wrapf(err, "revision %d", a.Revision)
	}
	if err != nil {
		return nil, &StoreError{Err: err}
	}
	return &Current{Accepted: a, Text: text}, nil
}

// parsed returns the site that text says, or an empty one for no text.
func parsed(name, text string) (*site.Site, error) {
	if text == "" {
		return &site.Site{Limits: site.DefaultLimits()}, nil
	}
	return site.Parse(name, []byte(text))
}
