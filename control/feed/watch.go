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
	"mallowwind.dev/decision/watchplan"
	"mallowwind.dev/external/store"
	"mallowwind.dev/telemetry/event"
)

const (
	// batchPause is the pause after a batch of changes. A zone that fails or returns changes a
	// dozen keys within it, and each batch costs one call. It is an eighth of the time within which
	// a change has to be in force.
	batchPause = 250 * time.Millisecond
	// retryDelay is the mean delay after a failed call of a daemon that the plan selects to watch
	// the store, or that may be the only one that cannot reach it.
	retryDelay = 250 * time.Millisecond
	// outageRetryDelay is the shortest mean delay of the other daemons while their peers cannot
	// reach the store either.
	outageRetryDelay = 2 * time.Second
	// maxStartupRetryDelay bounds the mean delay of a daemon that has no state yet, which doubles
	// with each failure. At a constant short delay, a fleet that starts during an outage would send
	// calls in proportion to its size.
	maxStartupRetryDelay = time.Second
	// outageRetriesPerSecond bounds the rate at which all daemons that the plan does not select
	// together try the store during an outage. They learn of its return from the few that watch it;
	// if the store refuses just those, one of the others soon reaches it and the rest learn from
	// that one. Without the bound, the number of calls during an outage grows with the fleet, and
	// all daemons call the store at once when it returns.
	outageRetriesPerSecond = 4.0
	// watchingRetryDelay is the mean delay of a daemon that watches on behalf of a larger fleet,
	// after longFailureStreak failures. Several such daemons retry independently, so together they
	// detect the store's return sooner than any one of them.
	watchingRetryDelay = 500 * time.Millisecond
	// longFailureStreak is the number of consecutive failures that are no longer taken for a single
	// lost answer.
	longFailureStreak = 3
	// registrationSettleTime is how long a daemon that was not registered waits before it watches
	// the store. When a whole fleet starts, most other daemons are registered by then, and only a
	// few of them have to watch. Without the wait, each daemon watches until it has seen the others
	// register, at one call for each batch of registrations.
	registrationSettleTime = 500 * time.Millisecond
)

const (
	// silentWatchTime is how long a watch may take to answer. It is longer than a watch waits for a
	// change.
	silentWatchTime = 1200 * time.Millisecond
	// maxPeerReread bounds the time for which a daemon waits for its peers to read the store again.
	// They take a few round trips to the store and one to each daemon that passes the changes on.
	maxPeerReread = 1500 * time.Millisecond
	// minWatchCheck is the least time between two checks whether this daemon watches the store.
	minWatchCheck = 10 * time.Millisecond
	// watchLatency is the time from a change to the answer of a watch that waits for it.
	watchLatency = 50 * time.Millisecond
)

// MaxBatchesPerSecond is the maximum rate at which a watching daemon reads batches of changes.
const MaxBatchesPerSecond = float64(time.Second) / float64(batchPause)

// Run follows the store, and polls peers while the store is unreachable or watched by others, until
// ctx ends.
func (m *Manager) Run(ctx context.Context) {
	var peers sync.WaitGroup
	defer peers.Wait()
	peers.Go(func() { m.pollPeers(ctx) })
	failures, historyReread := 0, false
	for ctx.Err() == nil {
		if !m.shouldWatch() {
			pause.Until(ctx, m.watchWakeup, m.timeToWatch())
			continue
		}
		watched, err := m.watchStore(ctx)
		if watched || err == nil {
			failures, historyReread = 0, false
		}
		compacted := errors.Is(err, store.ErrCompacted)
		if compacted {
			m.setHistoryLost()
		}
		switch {
		case ctx.Err() != nil || err == nil:
		case compacted && !historyReread:
			historyReread = true // the store answers: what is missing is read without a back-off
			m.awaitPeerReread(ctx)
		default:
			m.recordFailure(err)
			m.backOff(ctx, failures)
			failures++
		}
	}
}

// setHistoryLost records that the watch cannot continue from the current revision.
func (m *Manager) setHistoryLost() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.historyLost = true
}

// awaitPeerReread waits until a peer has told what was read since the history was lost, up to
// maxPeerReread. A daemon that the plan selects to watch the store does not wait.
//
// After an outage many daemons watch the store for a moment, because their last confirmation is old.
// If all of them read the whole store again, it would take seconds, and their changes would be late.
func (m *Manager) awaitPeerReread(ctx context.Context) {
	view := m.View()
	if m.opts.Dialer == nil || len(view.VMs) <= watchplan.SmallFleetSize || view.watchPlan.IsWatcher(m.opts.Self) {
		return
	}
	until := m.opts.Clock() + maxPeerReread/2 + rand.N(maxPeerReread/2)
	for m.opts.Clock() < until && m.isHistoryLost() && pause.For(ctx, minWatchCheck) {
	}
}

// isHistoryLost reports whether the watch cannot continue from the current revision.
func (m *Manager) isHistoryLost() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.historyLost
}

// timeToWatch returns when the last confirmation will be so old that this daemon watches the store
// itself.
func (m *Manager) timeToWatch() time.Duration {
	age, _ := m.confirmationAge()
	return max(selfWatchAge-age, 0) + minWatchCheck
}

// backOff waits before the next attempt to reach the store. It recomputes the delay while it waits,
// because the plan may select this daemon or a peer may reach the store meanwhile.
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

// meanRetryDelay returns the mean delay after a failed call to the store. failures counts the
// consecutive failures before that call. A daemon that watches because its sources have lost the
// store backs off like the rest of the fleet if its own call fails too.
func (m *Manager) meanRetryDelay(failures int) time.Duration {
	view := m.View()
	fleetSize := float64(len(view.VMs))
	_, known := m.confirmationAge()
	switch {
	case !known:
		return min(retryDelay<<min(failures, 8), maxStartupRetryDelay)
	case len(view.VMs) <= watchplan.SmallFleetSize:
		return retryDelay
	case view.watchPlan.IsWatcher(m.opts.Self) && failures >= longFailureStreak:
		return watchingRetryDelay
	case view.watchPlan.IsWatcher(m.opts.Self):
		return retryDelay
	case m.IsStoreDown():
		return max(outageRetryDelay, time.Duration(fleetSize/outageRetriesPerSecond*float64(time.Second)))
	case m.hasNoSource():
		return outageRetryDelay
	}
	return retryDelay
}

// watchStore watches the store until a call fails or the plan leaves the watch to other daemons.
// watched reports whether the watch has answered.
func (m *Manager) watchStore(ctx context.Context) (watched bool, err error) {
	err = m.catchUp(ctx)
	m.firstReadOnce.Do(func() { close(m.firstRead) })
	if err != nil {
		return false, err
	}
	if !m.shouldWatch() {
		return false, nil
	}
	w, err := m.opts.Store.Watch(ctx, m.opts.Prefix, m.revision.Load())
	if err != nil {
		return false, err
	}
	defer w.Close()
	ctx = store.WithPurpose(ctx, store.PurposeWatch)
	for m.shouldWatch() {
		if err := m.readChanges(ctx, w); err != nil {
			return watched, err
		}
		watched = true
	}
	return watched, nil
}

// catchUp determines the revision from which the watch continues and confirms the configuration.
// The read is needed because a watch without changes confirms nothing for a second.
func (m *Manager) catchUp(ctx context.Context) error {
	switch {
	case m.isHistoryLost():
		return m.readAll(store.WithPurpose(ctx, store.PurposeReread))
	case m.revision.Load() == 0:
		return m.readInitial(store.WithPurpose(ctx, store.PurposeStart))
	case !m.isFresh():
		return m.confirmConfig(store.WithPurpose(ctx, store.PurposeReread))
	}
	return nil
}

// readInitial reads the store for the first time at low cost: a list that may be seconds old, and a
// current read of the configuration. Changes since that list arrive with the watch or from the next
// peer polled.
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
	m.apply(basis{confirmedAt: sentAt, revision: revision}, func() { m.table.replaceAll(sentAt, revision, items) })
	if m.ownEntry.Key == "" {
		return m.awaitRegistrations(ctx)
	}
	return nil
}

// recordOwnEntry stores this daemon's own entry, if items holds it, and unblocks the registration.
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

// awaitRegistrations waits while the fleet registers, then reads the registered entry VMs.
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

// readConfig reads the current configuration; found is false if there is none. The returned entry
// has its key in either case.
func (m *Manager) readConfig(ctx context.Context) (kv store.KV, found bool, err error) {
	key := m.opts.Schema.ConfigKey()
	kv, err = m.opts.Store.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return store.KV{Key: key}, false, nil
	}
	return kv, err == nil, err
}

// confirmConfig reads the configuration after a time without confirmation, in which a change of it
// may have been missed. All other changes arrive with the watch.
func (m *Manager) confirmConfig(ctx context.Context) error {
	sentAt := m.opts.Clock()
	config, found, err := m.readConfig(ctx)
	if err != nil {
		return err
	}
	m.recordAnswer(sentAt)
	m.apply(basis{confirmedAt: sentAt, revision: m.revision.Load()}, func() {
		if found && config.Version > m.table.entries.kvs[config.Key].Version {
			m.table.put(config)
		}
	})
	return nil
}

// readAll reads the whole store again when the watch cannot continue from the last revision because
// its history was compacted.
func (m *Manager) readAll(ctx context.Context) error {
	sentAt := m.opts.Clock()
	items, revision, err := m.opts.Store.List(ctx, m.opts.Prefix)
	if err != nil {
		return err
	}
	m.recordAnswer(sentAt)
	m.opts.Log.Emit(event.StoreReread, revision, m.revision.Load())
	m.apply(basis{confirmedAt: sentAt, completeAt: sentAt, revision: revision}, func() {
		m.table.replaceAll(sentAt, revision, items)
		m.historyLost = false
	})
	return nil
}

// readChanges waits for one batch of changes. The batch includes every write that was acknowledged
// before the request was sent.
func (m *Manager) readChanges(ctx context.Context, w store.Watcher) error {
	sentAt := m.opts.Clock()
	overdue := time.AfterFunc(silentWatchTime, func() { m.confirmDuringWatch(ctx) })
	events, err := w.Next(ctx)
	overdue.Stop()
	if err != nil {
		return err
	}
	m.recordAnswer(sentAt)
	completeAt := max(sentAt, m.opts.Clock()-watchLatency)
	m.apply(basis{confirmedAt: sentAt, completeAt: completeAt, revision: w.Revision()}, func() { m.table.applyEvents(sentAt, events) })
	if len(events) > 0 {
		pause.For(ctx, batchPause)
	}
	return nil
}

// confirmDuringWatch reads the configuration once while a watch is overdue.
//
// A store that stops serving watches, but answers other calls, would otherwise let the last
// confirmation grow old at all daemons at once, and each would turn to the store for all entries.
func (m *Manager) confirmDuringWatch(ctx context.Context) {
	if err := m.confirmConfig(store.WithPurpose(ctx, store.PurposeReread)); err != nil && ctx.Err() == nil {
		m.opts.Log.Emit(event.ConfirmationFailed, err)
	}
}
