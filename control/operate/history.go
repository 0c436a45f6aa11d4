package operate

import (
	"cmp"
	"context"
	"slices"

	"github.com/pkg/errors"

	"mallowwind.dev/control/inforce/record"
	"mallowwind.dev/external/store"
)

const (
	// maxHistoryEntries is how many replaced texts the store keeps. The history serves rollbacks
	// within a shift; older texts are kept in version control. At 100 KB per text it takes 20 MB of
	// the store.
	maxHistoryEntries = 200
	// pruneEveryRevisions is the number of revisions between two prunings, each of which lists the
	// whole history.
	pruneEveryRevisions = 20
)

// History returns the newest accepted record and those in the history, newest first.
func (c *Client) History(ctx context.Context) ([]record.Record, error) {
	head, err := c.head(ctx)
	if err != nil || head.Record == nil {
		return nil, err
	}
	replaced, err := c.listHistory(ctx)
	if err != nil {
		return nil, &StoreError{Err: err}
	}
	list := []record.Record{*head.Record}
	for _, a := range replaced {
		if a.Revision != head.Revision {
			list = append(list, *a.Record)
		}
	}
	slices.SortFunc(list, func(a, b record.Record) int { return cmp.Compare(b.Revision, a.Revision) })
	return list, nil
}

// listHistory returns the records of replaced revisions, oldest first. It skips records that cannot
// be decoded.
func (c *Client) listHistory(ctx context.Context) ([]record.Accepted, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	entries, err := c.Store.List(ctx, c.keys().History())
	if err != nil {
		return nil, err
	}
	var list []record.Accepted
	for _, kv := range entries.KVs {
		if a, err := record.FromKV(kv); err == nil {
			list = append(list, a)
		}
	}
	return list, nil
}

// prune removes the oldest history entries beyond maxHistoryEntries, on a best-effort basis: the
// next pruning tries again for entries that it failed to remove.
func (c *Client) prune(ctx context.Context) {
	list, err := c.listHistory(ctx)
	if err != nil || len(list) <= maxHistoryEntries {
		return
	}
	for _, old := range list[:len(list)-maxHistoryEntries] {
		c.remove(ctx, c.keys().Body(old.ID))
		c.remove(ctx, c.keys().HistoryEntry(old.Revision))
	}
}

// remove deletes a key that is not written any more. On failure the key stays in the store.
func (c *Client) remove(ctx context.Context, key string) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	kv, err := c.Store.Get(ctx, key)
	if err != nil {
		return
	}
	_ = c.Store.Delete(ctx, key, kv.Version)
}

// archive adds the record that is about to be replaced to the history, so that it can be read and
// rolled back to. It runs before the replacement, so that an accepted record is at any time either
// the newest or in the history.
func (c *Client) archive(ctx context.Context, head record.Accepted) error {
	if head.Record == nil {
		return nil
	}
	kept := *head.Record
	kept.Patch = nil
	return c.create(ctx, c.keys().HistoryEntry(head.Revision), kept.Encode())
}

// create writes a key that is only ever given this one value. It treats a conflict as success: the
// value is already there, possibly from an earlier attempt whose answer was lost.
func (c *Client) create(ctx context.Context, key string, value []byte) error {
	return retryTransient(ctx, func(ctx context.Context) error {
		_, err := c.Store.CompareAndSwap(ctx, key, 0, value, 0)
		if errors.Is(err, store.ErrConflict) {
			return nil
		}
		return err
	})
}
