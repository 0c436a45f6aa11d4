package store

import (
	"context"
	"maps"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// retainedEvents is the number of events that a Memory retains, when it truncates its history, for
// watches that start at an earlier revision.
const retainedEvents = 10000

// Memory is an in-process Store. Leases expire on timers, which also works in the virtual time of
// testing/synctest. It injects no faults; see Faulty.
type Memory struct {
	mu                sync.Mutex
	revision          int64
	keys              map[string]KV
	leases            map[LeaseID]*lease
	nextLease         LeaseID
	history           []Event // in revision order
	compactedRevision int64   // changes up to this revision are discarded
	watchers          map[*memoryWatcher]struct{}
	staleReads        *StaleReads // nil if ListStale returns the current state
	replaced          []replacedKV
}

var _ Store = (*Memory)(nil)

type lease struct {
	ttl       time.Duration
	timer     *time.Timer
	expiresAt time.Time
}

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{
		keys:     make(map[string]KV),
		leases:   make(map[LeaseID]*lease),
		watchers: make(map[*memoryWatcher]struct{}),
	}
}

// Copy is a copy of the data of a Memory.
type Copy struct {
	revision, compactedRevision int64
	keys                        map[string]KV
	leases                      map[LeaseID]time.Duration // time to live
	nextLease                   LeaseID
	history                     []Event
}

// Copy returns a copy of the current data.
func (m *Memory) Copy() Copy {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := Copy{
		revision: m.revision, compactedRevision: m.compactedRevision, keys: maps.Clone(m.keys),
		leases: map[LeaseID]time.Duration{}, nextLease: m.nextLease, history: slices.Clone(m.history),
	}
	for id, l := range m.leases {
		c.leases[id] = l.ttl
	}
	return c
}

// Restore replaces the data by a copy and begins a new era: what was written since the copy is gone,
// leases too, and its revisions and lease IDs are given out again.
func (m *Memory) Restore(c Copy) {
	m.mu.Lock()
	defer m.mu.Unlock()
	era := EraOf(m.revision) + 1
	renumber := func(kv KV) KV {
		kv.Version = VersionIn(era, RevisionOf(kv.Version))
		return kv
	}
	m.replaced = nil
	m.keys, m.history = make(map[string]KV, len(c.keys)), make([]Event, len(c.history))
	for key, kv := range c.keys {
		m.keys[key] = renumber(kv)
	}
	for i, e := range c.history {
		m.history[i] = Event{Kind: e.Kind, KV: renumber(e.KV)}
	}
	m.revision, m.compactedRevision = VersionIn(era, RevisionOf(c.revision)), VersionIn(era, RevisionOf(c.compactedRevision))
	for _, l := range m.leases {
		l.timer.Stop()
	}
	m.leases, m.nextLease = map[LeaseID]*lease{}, c.nextLease
	for id, ttl := range c.leases {
		m.startLease(id, ttl)
	}
	for w := range m.watchers {
		w.notify()
	}
}

// Revision returns the version of the last change.
func (m *Memory) Revision() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// Get implements Store.
func (m *Memory) Get(ctx context.Context, key string) (KV, error) {
	if err := ctx.Err(); err != nil {
		return KV{}, errors.Wrapf(ErrUnavailable, "%v", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	kv, ok := m.keys[key]
	if !ok {
		return KV{}, errors.Wrap(ErrNotFound, key)
	}
	return kv.clone(), nil
}

// List implements Store.
func (m *Memory) List(ctx context.Context, prefix string) (Listing, error) {
	if err := ctx.Err(); err != nil {
		return Listing{}, errors.Wrapf(ErrUnavailable, "%v", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return NewListing(sortedUnder(m.keys, prefix), m.revision), nil
}

// sortedUnder returns copies of the keys under prefix, sorted.
func sortedUnder(keys map[string]KV, prefix string) []KV {
	var list []KV
	for key, kv := range keys {
		if strings.HasPrefix(key, prefix) {
			list = append(list, kv.clone())
		}
	}
	slices.SortFunc(list, func(a, b KV) int { return strings.Compare(a.Key, b.Key) })
	return list
}

// CompareAndSwap implements Store.
func (m *Memory) CompareAndSwap(ctx context.Context, key string, version int64, value []byte, id LeaseID) (int64, error) {
	if err := ctx.Err(); err != nil {
		return 0, errors.Wrapf(ErrUnavailable, "%v", err)
	}
	if len(value) > MaxValue {
		return 0, errors.Wrapf(ErrTooLarge, "%s: %d bytes", key, len(value))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if have := m.keys[key].Version; have != version {
		return 0, errors.Wrapf(ErrConflict, "%s is at %d, expected %d", key, have, version)
	}
	if _, ok := m.leases[id]; id != 0 && !ok {
		return 0, errors.Wrapf(ErrLeaseGone, "%d", id)
	}
	m.revision++
	kv := KV{Key: key, Value: slices.Clone(value), Version: m.revision, Lease: id}
	m.keepReplaced(key)
	m.keys[key] = kv
	m.record(Event{Kind: Put, KV: kv})
	return kv.Version, nil
}

// Delete implements Store. It returns ErrNotFound if the key does not exist.
func (m *Memory) Delete(ctx context.Context, key string, version int64) error {
	if err := ctx.Err(); err != nil {
		return errors.Wrapf(ErrUnavailable, "%v", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	kv, ok := m.keys[key]
	if !ok {
		return errors.Wrap(ErrNotFound, key)
	}
	if kv.Version != version {
		return errors.Wrapf(ErrConflict, "%s is at %d, expected %d", key, kv.Version, version)
	}
	m.revision++
	m.remove(key)
	return nil
}

// Grant implements Store.
func (m *Memory) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	if err := ctx.Err(); err != nil {
		return 0, errors.Wrapf(ErrUnavailable, "%v", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nextLease++
	m.startLease(m.nextLease, ttl)
	return m.nextLease, nil
}

// startLease starts a lease. The caller holds the lock.
func (m *Memory) startLease(id LeaseID, ttl time.Duration) {
	m.leases[id] = &lease{
		ttl:       ttl,
		expiresAt: time.Now().Add(ttl),
		timer:     time.AfterFunc(ttl, func() { m.expire(id) }),
	}
}

// KeepAlive implements Store.
func (m *Memory) KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error) {
	if err := ctx.Err(); err != nil {
		return 0, errors.Wrapf(ErrUnavailable, "%v", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	l, ok := m.leases[id]
	if !ok {
		return 0, errors.Wrapf(ErrLeaseGone, "%d", id)
	}
	l.expiresAt = time.Now().Add(l.ttl)
	l.timer.Reset(l.ttl)
	return l.ttl, nil
}

// Revoke implements Store.
func (m *Memory) Revoke(ctx context.Context, id LeaseID) error {
	if err := ctx.Err(); err != nil {
		return errors.Wrapf(ErrUnavailable, "%v", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	l, ok := m.leases[id]
	if !ok {
		return errors.Wrapf(ErrLeaseGone, "%d", id)
	}
	l.timer.Stop()
	m.endLease(id)
	return nil
}

// expire runs when the timer of a lease fires. The lease may have been renewed between the firing and
// the acquisition of the lock.
func (m *Memory) expire(id LeaseID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l, ok := m.leases[id]
	if !ok || time.Now().Before(l.expiresAt) {
		return
	}
	m.endLease(id)
}

// endLease removes a lease and its keys, all at one revision.
func (m *Memory) endLease(id LeaseID) {
	delete(m.leases, id)
	var keys []string
	for key, kv := range m.keys {
		if kv.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	slices.Sort(keys)
	m.revision++
	for _, key := range keys {
		m.remove(key)
	}
}

func (m *Memory) remove(key string) {
	m.keepReplaced(key)
	delete(m.keys, key)
	m.record(Event{Kind: Deleted, KV: KV{Key: key, Version: m.revision}})
}

// record appends an event to the history and wakes the watchers.
func (m *Memory) record(e Event) {
	m.history = append(m.history, e)
	if len(m.history) > 2*retainedEvents {
		m.compactTo(m.history[len(m.history)-retainedEvents].KV.Version)
	}
	for w := range m.watchers {
		w.notify()
	}
}

// Compact discards the history up to revision, as the real service does from time to time.
func (m *Memory) Compact(revision int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.compactTo(min(revision, m.revision))
}

func (m *Memory) compactTo(revision int64) {
	m.history = slices.Clone(m.history[m.indexAfter(revision):])
	m.compactedRevision = max(m.compactedRevision, revision)
}

// indexAfter returns the index of the first change after revision.
func (m *Memory) indexAfter(revision int64) int {
	return sort.Search(len(m.history), func(i int) bool { return m.history[i].KV.Version > revision })
}

// Keys returns all keys in order, for tests and for the status of the stand-in.
func (m *Memory) Keys() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.keys))
}

// Watch implements Store.
func (m *Memory) Watch(ctx context.Context, prefix string, from int64) (Watcher, error) {
	if err := ctx.Err(); err != nil {
		return nil, errors.Wrapf(ErrUnavailable, "%v", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if from < m.compactedRevision {
		return nil, errors.Wrapf(ErrCompacted, "up to %d", m.compactedRevision)
	}
	w := &memoryWatcher{store: m, prefix: prefix, lastRevision: from, wake: make(chan struct{}, 1)}
	m.watchers[w] = struct{}{}
	return w, nil
}

// memoryWatcher reads the shared history from its own revision, so that a slow reader needs no buffer
// and gets ErrCompacted when it falls behind the retained history.
type memoryWatcher struct {
	store        *Memory
	prefix       string
	lastRevision int64
	wake         chan struct{}
}

func (w *memoryWatcher) notify() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Next implements Watcher.
func (w *memoryWatcher) Next(ctx context.Context) ([]Event, error) {
	for {
		events, err := w.poll()
		if err != nil || len(events) > 0 {
			return events, err
		}
		select {
		case <-w.wake:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (w *memoryWatcher) poll() ([]Event, error) {
	m := w.store
	m.mu.Lock()
	defer m.mu.Unlock()
	if w.lastRevision < m.compactedRevision {
		return nil, errors.Wrapf(ErrCompacted, "up to %d", m.compactedRevision)
	}
	var events []Event
	for _, e := range m.history[m.indexAfter(w.lastRevision):] {
		if strings.HasPrefix(e.KV.Key, w.prefix) {
			events = append(events, Event{Kind: e.Kind, KV: e.KV.clone()})
		}
	}
	w.lastRevision = m.revision
	return events, nil
}

// Revision implements Watcher.
func (w *memoryWatcher) Revision() int64 { return w.lastRevision }

// Close implements Watcher.
func (w *memoryWatcher) Close() error {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	delete(w.store.watchers, w)
	return nil
}

func (kv KV) clone() KV {
	kv.Value = slices.Clone(kv.Value)
	return kv
}
