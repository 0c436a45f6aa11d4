package store

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// StaleReads makes ListStale of a Memory return earlier states, each page as of a time of its own.
type StaleReads struct {
	// PageItems is the number of keys in a page.
	PageItems int
	// Age returns how old the page is that begins after a key; "" for the first page.
	Age func(after string) time.Duration
}

// replacedKV is what a change has replaced.
type replacedKV struct {
	changedAt time.Time
	revision  int64 // of the change
	kv        KV    // before the change; only the key is set if it did not exist
}

// ServeStale makes the changes from now on visible to ListStale as r says.
func (m *Memory) ServeStale(r StaleReads) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.staleReads = &r
}

// keepReplaced records the state of a key before the change of the current revision. The caller holds
// the lock.
func (m *Memory) keepReplaced(key string) {
	if m.staleReads == nil {
		return
	}
	kv, ok := m.keys[key]
	if !ok {
		kv = KV{Key: key}
	}
	m.replaced = append(m.replaced, replacedKV{changedAt: time.Now(), revision: m.revision, kv: kv})
}

// ListStale implements Store. Its result is current unless ServeStale was called.
func (m *Memory) ListStale(ctx context.Context, prefix string) (Listing, error) {
	m.mu.Lock()
	reads := m.staleReads
	m.mu.Unlock()
	if reads == nil {
		return m.List(ctx, prefix)
	}
	if err := ctx.Err(); err != nil {
		return Listing{}, errors.Wrapf(ErrUnavailable, "%v", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var list Listing
	for after, more := "", true; more; {
		var page []KV
		var revision int64
		page, more, revision = m.stalePage(prefix, after, *reads)
		if len(page) > 0 {
			after = page[len(page)-1].Key
		}
		list.KVs = append(list.KVs, page...)
		list.Pages = append(list.Pages, Page{LastKey: after, Revision: revision})
	}
	return list, nil
}

// stalePage returns the page that begins after a key, and its revision. The caller holds the lock.
func (m *Memory) stalePage(prefix, after string, reads StaleReads) (page []KV, more bool, revision int64) {
	keys, revision := m.stateAt(time.Now().Add(-reads.Age(after)))
	all := sortedUnder(keys, prefix)
	from, _ := slices.BinarySearchFunc(all, after+"\x00", func(kv KV, key string) int { return strings.Compare(kv.Key, key) })
	page = all[from:]
	if len(page) > reads.PageItems {
		return page[:reads.PageItems], true, revision
	}
	return page, false, revision
}

// stateAt returns the keys as of a time, and the revision then. The caller holds the lock.
func (m *Memory) stateAt(t time.Time) (map[string]KV, int64) {
	keys, revision := maps.Clone(m.keys), m.revision
	for _, r := range slices.Backward(m.replaced) {
		if !r.changedAt.After(t) {
			break
		}
		revision = r.revision - 1
		if r.kv.Version == 0 {
			delete(keys, r.kv.Key)
		} else {
			keys[r.kv.Key] = r.kv
		}
	}
	return keys, revision
}
