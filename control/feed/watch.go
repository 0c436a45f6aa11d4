package feed

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"mallowwind.dev/control/pause"
	"mallowwind.dev/decision/watching"
	"mallowwind.dev/external/store"
)

const (
	// batchPause follows a batch of changes: a zone that fails or returns
	// changes a dozen keys within it, and each batch costs one call. It is an
	// eighth of the time in which a change has to be in force.
	batchPause = 250 * time.Millisecond
	// retryDelay is the mean wait after a failed call of a daemon that watches the
	// store for others, or that may be the only one which cannot reach it.
	retryDelay = 250 * time.Millisecond
	// outageRetryDelay is the shortest mean wait of the other daemons while the store is
	// out of reach for their neighbours too.
	outageRetryDelay = 2 * time.Second
	// maxStartupRetryDelay bounds the mean wait of a daemon that knows nothing yet, which doubles
	// with each failure: a fleet that starts in an outage would ask as often as it has
	// daemons otherwise.
	maxStartupRetryDelay = time.Second
	// outageRetriesPerSecond is how many times a second all other daemons together try the store
	// then. They hear of its return from the few that watch; should it refuse just
	// those, one of the others soon finds out and tells the rest. Without the bound, the
	// calls of an outage grow with the fleet, and all meet the store at its return.
	outageRetriesPerSecond = 4.0
	// watchingRetryDelay is the mean wait of one that watches for a larger fleet after some
	// failures: a few such daemons find the store's return sooner than any of them.
	watchingRetryDelay = 500 * time.Millisecond
	// longFailureStreak in a row are no lost answer any more.
	longFailureStreak = 3
	// registrationSettleTime is how long a daemon that was not registered waits before it watches
	// the store: where a whole fleet starts, most others are registered by then, and
	// only a few of them have to watch. Without it, each watches until it has seen the
	// others register, one call for each batch of them.
	registrationSettleTime = 500 * time.Millisecond
)

// MaxBatchesPerSecond is how many batches of changes a daemon that watches takes a second at most.
const MaxBatchesPerSecond = float64(time.Second) / float64(batchPause)

// Run follows the store, and other daemons while the store is out of reach,
// until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	var peers sync.WaitGroup
	defer peers.Wait()
	peers.Go(func() { m.pollPeers(ctx) })
	for failures := 0; ctx.Err() == nil; {
		if !m.shouldWatch() {
			m.awaitWakeup(ctx, pollInterval)
			continue
		}
		err := m.watchStore(ctx)
		if ctx.Err() != nil || err == nil {
			failures = 0
			continue
		}
		m.recordFailure(err)
		m.backOff(ctx, failures)
		failures++
	}
}

// awaitWakeup waits until d has passed or this daemon has to watch by itself.
func (m *Manager) awaitWakeup(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-m.watchWakeup:
	case <-ctx.Done():
	}
}

// backOff waits before the store is tried again. What the pause depends on may
// change meanwhile: those that watch may be lost, or the store may be back for others.
func (m *Manager) backOff(ctx context.Context, failures int) {
	failedAt, jitter := m.opts.Clock(), 0.5+rand.Float64()
	for ctx.Err() == nil {
		until := failedAt + time.Duration(jitter*float64(m.meanRetryDelay(failures)))
		left := until - m.opts.Clock()
		if left <= 0 || !m.shouldWatch() {
			return
		}
		pause.For(ctx, min(left, pollInterval))
	}
}

// meanRetryDelay is the mean wait after a failed call to the store, the failures before
// it in a row given. A daemon that watches because others have lost the store shares
// their trouble if its own call fails.
func (m *Manager) meanRetryDelay(failures int) time.Duration {
	view := m.View()
	fleetSize := float64(len(view.VMs))
	_, known := m.confirmationAge()
	switch {
	case !known:
		return min(retryDelay<<min(failures, 8), maxStartupRetryDelay)
	case len(view.VMs) <= watching.Everyone:
		return retryDelay
	case view.watchPlan.Watches(m.opts.Self) && failures >= longFailureStreak:
		return watchingRetryDelay
	case view.watchPlan.Watches(m.opts.Self):
		return retryDelay
	case m.IsStoreDown():
		return max(outageRetryDelay, time.Duration(fleetSize/outageRetriesPerSecond*float64(time.Second)))
	case m.hasNoSource():
		return outageRetryDelay
	}
	return retryDelay
}

// watchStore watches the store until that fails, or is left to other daemons.
func (m *Manager) watchStore(ctx context.Context) error {
	if err := m.catchUp(ctx); err != nil {
		return err
	}
	if !m.shouldWatch() {
		return nil
	}
	w, err := m.opts.Store.Watch(ctx, m.opts.Prefix, m.revision.Load())
	if err != nil {
		return err
	}
	defer w.Close()
	ctx = store.WithPurpose(ctx, store.PurposeWatch)
	for m.shouldWatch() {
		if err := m.readChanges(ctx, w); err != nil {
			return err
		}
	}
	return nil
}

// catchUp makes a revision known from which a watch goes on, and confirms the
// configuration: a watch that has nothing to tell confirms nothing for a second.
func (m *Manager) catchUp(ctx context.Context) error {
	_, known := m.confirmationAge()
	switch {
	case m.revision.Load() == 0 && known:
		return m.readAll(store.WithPurpose(ctx, store.PurposeReread))
	case m.revision.Load() == 0:
		return m.readInitial(store.WithPurpose(ctx, store.PurposeStart))
	case !m.isFresh():
		return m.confirmConfig(store.WithPurpose(ctx, store.PurposeReread))
	}
	return nil
}

// readInitial reads the store for the first time, with all that costs little: a list that may
// be seconds old, and the configuration as it is. The watch, or the daemon that is
// asked next, tells what has changed since that list.
func (m *Manager) readInitial(ctx context.Context) error {
	var work errgroup.Group
	var items []store.KV
	var revision int64
	work.Go(func() (err error) {
		items, revision, err = m.opts.Store.ListStale(ctx, m.opts.Prefix)
		return err
	})
	sentAt := m.opts.Clock()
	config, found, err := m.readConfig(ctx)
	if failed := work.Wait(); err == nil {
		err = failed
	}
	if err != nil {
		return err
	}
	m.recordOwnEntry(items)
	items = slices.DeleteFunc(items, func(kv store.KV) bool { return kv.Key == config.Key })
	if found {
		items = append(items, config)
	}
	m.recordAnswer(sentAt)
	m.apply(sentAt, revision, func() { m.table.replaceAll(sentAt, revision, items) })
	if m.ownEntry.Key == "" {
		return m.awaitRegistrations(ctx)
	}
	return nil
}

// recordOwnEntry keeps this daemon's own entry among items and lets the registration begin.
func (m *Manager) recordOwnEntry(items []store.KV) {
	select {
	case <-m.ownEntryRead:
		return
	default:
	}
	for _, kv := range items {
		if kv.Key == vmPrefix+m.opts.Self {
			m.ownEntry = kv
		}
	}
	close(m.ownEntryRead)
}

// awaitRegistrations waits while the fleet registers and reads who did.
func (m *Manager) awaitRegistrations(ctx context.Context) error {
	pause.For(ctx, registrationSettleTime)
	items, _, err := m.opts.Store.ListStale(ctx, m.opts.Prefix+vmPrefix)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, kv := range items {
		if m.table.entries.kvs[kv.Key].Version < kv.Version && strings.HasPrefix(kv.Key, vmPrefix) {
			m.table.put(kv)
		}
	}
	m.publish()
	return nil
}

// readConfig reads the configuration as it is; found is false where there is none. The
// entry has its key in either case.
func (m *Manager) readConfig(ctx context.Context) (kv store.KV, found bool, err error) {
	key := m.opts.Schema.ConfigKey()
	kv, err = m.opts.Store.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return store.KV{Key: key}, false, nil
	}
	return kv, err == nil, err
}

// confirmConfig reads the configuration after a gap, in which nothing of it may have reached
// this daemon. All other changes come with the watch.
func (m *Manager) confirmConfig(ctx context.Context) error {
	sentAt := m.opts.Clock()
	config, found, err := m.readConfig(ctx)
	if err != nil {
		return err
	}
	m.recordAnswer(sentAt)
	m.apply(sentAt, m.revision.Load(), func() {
		if found && config.Version > m.table.entries.kvs[config.Key].Version {
			m.table.put(config)
		}
	})
	return nil
}

// readAll reads the store anew where the history since the last revision is gone.
func (m *Manager) readAll(ctx context.Context) error {
	sentAt := m.opts.Clock()
	items, revision, err := m.opts.Store.List(ctx, m.opts.Prefix)
	if err != nil {
		return err
	}
	m.recordAnswer(sentAt)
	m.apply(sentAt, revision, func() { m.table.replaceAll(sentAt, revision, items) })
	return nil
}

// readChanges waits for one batch. Its answer leaves out nothing that was
// acknowledged before the question was sent.
func (m *Manager) readChanges(ctx context.Context, w store.Watcher) error {
	sentAt := m.opts.Clock()
	events, err := w.Next(ctx)
	if err != nil {
		if errors.Is(err, store.ErrCompacted) {
			m.revision.Store(0)
		}
		return err
	}
	m.recordAnswer(sentAt)
	m.apply(sentAt, w.Revision(), func() { m.table.applyEvents(sentAt, events) })
	if len(events) > 0 {
		pause.For(ctx, batchPause)
	}
	return nil
}
