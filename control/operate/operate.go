// Package operate implements the operators' actions on the site text: check, plan, apply, read and
// roll back, and report on which VMs each revision is in force. The mallowctl command calls it.
//
// Concurrent changes are detected by compare-and-swap on the newest record: without it the change
// of one operator would silently undo the change of another.
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
	// Author is recorded in the history with each change.
	Author string
}

// Current is an accepted site text with its record.
type Current struct {
	record.Accepted
	Text string
}

// storeCallTimeout bounds one call to the store. It may be longer than the timeouts of daemons
// because only an operator waits for it.
const storeCallTimeout = 5 * time.Second

// ErrNoText is returned when no site text has been accepted yet.
var ErrNoText = errors.New("no site text has been accepted yet")

// StoreError means that a call to the store failed. OutcomeUnknown is true when the change may have
// been accepted nevertheless, because the answer to a write was lost.
type StoreError struct {
	OutcomeUnknown bool
	ChangeID       string // of the change, set with OutcomeUnknown
	Err            error
}

// Error says whether the change may have been accepted and how to find out.
func (e *StoreError) Error() string {
	if !e.OutcomeUnknown {
		return fmt.Sprintf("the store does not answer, nothing was changed: %v", e.Err)
	}
	return fmt.Sprintf("the store does not answer, the change %s may have been accepted; "+
		"run history when it answers, or the same apply again with the same --against: %v", e.ChangeID, e.Err)
}

// Unwrap returns the store's error.
func (e *StoreError) Unwrap() error { return e.Err }

// ExitCode returns 4, the exit code for an unavailable store or an unknown outcome.
func (e *StoreError) ExitCode() int { return 4 }

// ConflictError means that another change was accepted after this one was planned.
type ConflictError struct {
	PlannedRevision int64
	Head            record.Accepted // the newest accepted record
	Changes         []Change        // from the planned revision to Head; nil when either text cannot be read
}

// Error names the author, the time and the comment of the newest change, and lists what differs
// from the planned revision.
func (e *ConflictError) Error() string {
	text := fmt.Sprintf("planned against revision %d, but revision %d is accepted: %s at %s: %q",
		e.PlannedRevision, e.Head.Revision, e.Head.Author, e.Head.AppliedAt.UTC().Format(time.RFC3339), e.Head.Comment)
	for _, c := range e.Changes {
		text += "\n  " + c.String()
	}
	return text + "\nmerge these changes into the text and plan again"
}

// ExitCode returns 3, the exit code for a conflict.
func (e *ConflictError) ExitCode() int { return 3 }

func (c *Client) keys() record.Keys { return record.KeysOf(c.Site) }

// Get returns the newest accepted text, or ErrNoText.
func (c *Client) Get(ctx context.Context) (*Current, error) {
	head, err := c.head(ctx)
	if err != nil {
		return nil, err
	}
	if head.Record == nil {
		return nil, ErrNoText
	}
	return c.readText(ctx, head)
}

// GetRevision returns the text of revision, which must be the newest or still be in the history.
func (c *Client) GetRevision(ctx context.Context, revision int64) (*Current, error) {
	head, err := c.head(ctx)
	if err != nil {
		return nil, err
	}
	if head.Record != nil && head.Revision == revision {
		return c.readText(ctx, head)
	}
	old, err := c.readHistoryEntry(ctx, revision)
	if errors.Is(err, store.ErrNotFound) {
		return nil, errors.Errorf("revision %d is neither the newest nor in the history", revision)
	}
	if err != nil {
		return nil, &StoreError{Err: err}
	}
	return c.readText(ctx, old)
}

// head returns the newest accepted record. Its Record is nil before the first text is accepted.
func (c *Client) head(ctx context.Context) (record.Accepted, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
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

// readHistoryEntry returns the record of a replaced revision from the history.
func (c *Client) readHistoryEntry(ctx context.Context, revision int64) (record.Accepted, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	kv, err := c.Store.Get(ctx, c.keys().HistoryEntry(revision))
	if err != nil {
		return record.Accepted{}, err
	}
	return record.FromKV(kv)
}

func (c *Client) readText(ctx context.Context, a record.Accepted) (*Current, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
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

// parseOrEmpty parses text. An empty text yields a site without sections and with default limits.
func parseOrEmpty(name, text string) (*site.Site, error) {
	if text == "" {
		return &site.Site{Limits: site.DefaultLimits()}, nil
	}
	return site.Parse(name, []byte(text))
}
