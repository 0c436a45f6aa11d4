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
	// retryPause is the mean wait after a failed call of a daemon that watches the
	// store for others, or that may be the only one which cannot reach it.
	retryPause = 250 * time.Millisecond
	// outagePause is the shortest mean wait of the other daemons while the store is
	// out of reach for their neighbours too.
	outagePause = 2 * time.Second
	// unknownPause bounds the mean wait of a daemon that knows nothing yet, which doubles
	// with each failure: a fleet that starts in an outage would ask as often as it has
	// daemons otherwise.
	unknownPause = time.Second
	// outageTries is how many times a second all other daemons together try the store
	// then. They hear of its return from the few that watch; should it refuse just
	// those, one of the others soon finds out and tells the rest. Without the bound, the
	// calls of an outage grow with the fleet, and all meet the store at its return.
	outageTries = 4.0
	// watcherPause is the mean wait of one that watches for a larger fleet after some
	// failures: a few such daemons find the store's return sooner than any of them.
	watcherPause = 500 * time.Millisecond
	// someFailures in a row are no lost answer any more.
	someFailures = 3
	// settleTime is how long a daemon that was not registered waits before it watches
	// the store: where a whole fleet starts, most others are registered by then, and
	// only a few of them have to watch. Without it, each watches until it has seen the
	// others register, one call for each batch of them.
	settleTime = 500 * time.Millisecond
)

// MaxBatchesPerSecond is how many batches of changes a daemon that watches takes a second at most.
const MaxBatchesPerSecond = float64(time.Second) / float64(batchPause)

// Run follows the store, and other daemons while the store is out of reach,
// until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	var peers sync.WaitGroup
	defer peers.Wait()
	peers.Go(func() { m.askPeers(ctx) })
	for failures := 0; ctx.Err() == nil; {
		if !m.watches() {
			m.idle(ctx, askEvery)
			continue
		}
		err := m.follow(ctx)
		if ctx.Err() != nil || err == nil {
			failures = 0
			continue
		}
		m.lost(err)
		m.waitAfterFailure(ctx, failures)
		failures++
	}
}

// idle waits until d has passed or this daemon has to watch by itself.
func (m *Manager) idle(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-m.roused:
	case <-ctx.Done():
	}
}

// waitAfterFailure waits before the store is tried again. What the pause depends on may
// change meanwhile: those that watch may be lost, or the store may be back for others.
func (m *Manager) waitAfterFailure(ctx context.Context, failures int) {
	failed, share := m.opts.Clock(), 0.5+rand.Float64()
	for ctx.Err() == nil {
		until := failed + time.Duration(share*float64(m.failurePause(failures)))
		left := until - m.opts.Clock()
		if left <= 0 || !m.watches() {
			return
		}
		pause.For(ctx, min(left, askEvery))
	}
}

// failurePause is the mean wait after a failed call to the store, the failures before
// it in a row given. A daemon that watches because others have lost the store shares
// their trouble if its own call fails.
func (m *Manager) failurePause(failures int) time.Duration {
	view := m.View()
	all := float64(len(view.VMs))
	_, known := m.storeAge()
	switch {
	case !known:
		return min(retryPause<<min(failures, 8), unknownPause)
	case len(view.VMs) <= watching.SmallFleetSize:
		return retryPause
	case view.plan.IsWatcher(m.opts.Self) && failures >= someFailures:
		return watcherPause
	case view.plan.IsWatcher(m.opts.Self):
		return retryPause
	case m.IsStoreDown():
		return max(outagePause, time.Duration(all/outageTries*float64(time.Second)))
	case m.alone():
		return outagePause
	}
	return retryPause
}

// follow watches the store until that fails, or is left to other daemons.
func (m *Manager) follow(ctx context.Context) error {
	if err := m.catchUp(ctx); err != nil {
		return err
	}
	if !m.watches() {
		return nil
	}
	w, err := m.opts.Store.Watch(ctx, m.opts.Prefix, m.revision.Load())
	if err != nil {
		return err
	}
	defer w.Close()
	ctx = store.WithPurpose(ctx, store.PurposeWatch)
	for m.watches() {
		if err := m.readChanges(ctx, w); err != nil {
			return err
		}
	}
	return nil
}

// catchUp makes a revision known from which a watch goes on, and confirms the
// configuration: a watch that has nothing to tell confirms nothing for a second.
func (m *Manager) catchUp(ctx context.Context) error {
	_, known := m.storeAge()
	switch {
	case m.revision.Load() == 0 && known:
		return m.readAll(store.WithPurpose(ctx, store.PurposeReread))
	case m.revision.Load() == 0:
		return m.begin(store.WithPurpose(ctx, store.PurposeStart))
	case !m.fresh():
		return m.confirm(store.WithPurpose(ctx, store.PurposeReread))
	}
	return nil
}

// begin reads the store for the first time, with all that costs little: a list that may
// be seconds old, and the configuration as it is. The watch, or the daemon that is
// asked next, tells what has changed since that list.
func (m *Manager) begin(ctx context.Context) error {
	var work errgroup.Group
	var items []store.KV
	var revision int64
	work.Go(func() (err error) {
		items, revision, err = m.opts.Store.ListStale(ctx, m.opts.Prefix)
		return err
	})
	asked := m.opts.Clock()
	config, found, err := m.readConfig(ctx)
	if failed := work.Wait(); err == nil {
		err = failed
	}
	if err != nil {
		return err
	}
	m.noteOwn(items)
	items = slices.DeleteFunc(items, func(kv store.KV) bool { return kv.Key == config.Key })
	if found {
		items = append(items, config)
	}
	m.regained(asked)
	m.apply(asked, revision, func() { m.table.replace(asked, revision, items) })
	if m.own.Key == "" {
		return m.settle(ctx)
	}
	return nil
}

// noteOwn keeps this daemon's own entry among items and lets the registration begin.
func (m *Manager) noteOwn(items []store.KV) {
	select {
	case <-m.listed:
		return
	default:
	}
	for _, kv := range items {
		if kv.Key == vmPrefix+m.opts.Self {
			m.own = kv
		}
	}
	close(m.listed)
}

// settle waits while the fleet registers and reads who did.
func (m *Manager) settle(ctx context.Context) error {
	pause.For(ctx, settleTime)
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

// confirm reads the configuration after a gap, in which nothing of it may have reached
// this daemon. All other changes come with the watch.
func (m *Manager) confirm(ctx context.Context) error {
	asked := m.opts.Clock()
	config, found, err := m.readConfig(ctx)
	if err != nil {
		return err
	}
	m.regained(asked)
	m.apply(asked, m.revision.Load(), func() {
		if found && config.Version > m.table.entries.kvs[config.Key].Version {
			m.table.put(config)
		}
	})
	return nil
}

// readAll reads the store anew where the history since the last revision is gone.
func (m *Manager) readAll(ctx context.Context) error {
	asked := m.opts.Clock()
	items, revision, err := m.opts.Store.List(ctx, m.opts.Prefix)
	if err != nil {
		return err
	}
	m.regained(asked)
	m.apply(asked, revision, func() { m.table.replace(asked, revision, items) })
	return nil
}

// readChanges waits for one batch. Its answer leaves out nothing that was
// acknowledged before the question was sent.
func (m *Manager) readChanges(ctx context.Context, w store.Watcher) error {
	asked := m.opts.Clock()
	events, err := w.Next(ctx)
	if err != nil {
		if errors.Is(err, store.ErrCompacted) {
			m.revision.Store(0)
		}
		return err
	}
	m.regained(asked)
	m.apply(asked, w.Revision(), func() { m.table.change(asked, events) })
	if len(events) > 0 {
		pause.For(ctx, batchPause)
	}
	return nil
}
