package feed

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"mallowwind.dev/control/pause"
	"mallowwind.dev/external/store"
	"mallowwind.dev/telemetry/event"
)

const (
	// batchPause is the pause after a batch of changes. A zone that fails or returns changes a
	// dozen keys within it, and each batch costs one call. It is an eighth of the time within which
	// a change has to be in force.
	batchPause = 250 * time.Millisecond
)

const (
	// silentWatchTime is how long a watch may take to answer. It is longer than a watch waits for a
	// change.
	silentWatchTime = 1200 * time.Millisecond
	// maxPeerReread bounds the time for which a daemon waits for its peers to read the store again
	// although none of them answers. They take a few round trips to the store and one to each daemon
	// that passes the changes on. While peers answer, a daemon waits up to twice as long: they are
	// within reach and will tell, but a slow store may keep them reading.
	maxPeerReread = 1500 * time.Millisecond
	// peerSilence is how long ago the last answer of a peer may be for the peers to count as within
	// reach. It covers a held request and the pause before the next one.
	peerSilence = time.Second
	// minWatchCheck is the least time between two checks whether this daemon watches the store.
	minWatchCheck = 10 * time.Millisecond
	// maxWatchFailures is how many watches in a row may fail before the store is asked whether it answers
	// other calls, and the state read anew if it does. A waiting watch may be cut at any time.
	maxWatchFailures = 2
	// watchLatency is the time from a change to the answer of a watch that waits for it.
	watchLatency = 50 * time.Millisecond
)

// errWatchFails means that one watch after the other fails, although the store answers other calls.
var errWatchFails = errors.New("feed: the store answers, but its watch fails")

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
		lost := losesHistory(err)
		if lost {
			m.setHistoryLost(err)
		}
		switch {
		case ctx.Err() != nil || err == nil:
		case lost && !historyReread:
			historyReread = true // the store answers: what is missing is read without a back-off
			m.awaitPeerReread(ctx)
		default:
			m.recordFailure(err)
			m.backOff(ctx, failures)
			failures++
		}
	}
}

// losesHistory reports whether an error of a watch means that it cannot continue from its revision.
func losesHistory(err error) bool {
	return errors.Is(err, store.ErrCompacted) || errors.Is(err, store.ErrResponseTooLong) || errors.Is(err, errWatchFails)
}

// setHistoryLost records that the watch cannot continue from the current revision, and why.
func (m *Manager) setHistoryLost(reason error) {
	m.opts.Log.Emit(event.WatchAbandoned, m.revision.Load(), reason)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.historyLost = true
	wake(m.pollWakeup)
}

// awaitPeerReread waits until a peer has told what was read since the history was lost, up to
// maxPeerReread, or twice that while peers answer. A daemon that the plan selects to watch the store
// does not wait.
//
// After an outage many daemons watch the store for a moment, because their last confirmation is old.
// If all of them read the whole store again, it would take seconds, and their changes would be late.
func (m *Manager) awaitPeerReread(ctx context.Context) {
	if m.isSelectedToWatch() {
		return
	}
	until := m.opts.Clock() + maxPeerReread/2 + rand.N(maxPeerReread/2)
	for m.isHistoryLost() {
		now, last := m.opts.Clock(), until
		if now-time.Duration(m.peerAnsweredAt.Load()) < peerSilence {
			last += maxPeerReread
		}
		if now >= last || !pause.For(ctx, minWatchCheck) {
			return
		}
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

// watchStore watches the store until a call fails or the plan leaves the watch to other daemons.
// watched reports whether the watch has answered.
func (m *Manager) watchStore(ctx context.Context) (watched bool, err error) {
	err = m.catchUp(ctx)
	m.firstReadOnce.Do(func() { close(m.firstRead) })
	if err != nil {
		m.watchFailures = 0 // the store is away, not only its watch
		return false, err
	}
	if !m.shouldWatch() {
		return false, nil
	}
	watched, err = m.watchChanges(ctx)
	return watched, m.judgeWatch(watched, err)
}

// watchChanges applies changes until a call of the watch fails or the plan leaves the watch to other
// daemons. watched reports whether the watch has answered.
func (m *Manager) watchChanges(ctx context.Context) (watched bool, err error) {
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

// judgeWatch counts the watches that fail in a row and returns the error of the last one. It wraps
// errWatchFails if the store answered other calls meanwhile: catchUp reads from the store before a watch
// that follows maxWatchFailures, and an overdue watch does so too.
//
// It covers a watch that fails each time for a reason not foreseen, while the store answers all else.
// Without it, a daemon repeats that watch, confirms the configuration, and never hears that a server
// leaves.
func (m *Manager) judgeWatch(watched bool, err error) error {
	if watched {
		m.watchFailures = 0
	}
	if err == nil {
		return nil
	}
	m.watchFailures++
	if m.watchFailures < maxWatchFailures || !m.storeReachable.Load() {
		return err
	}
	m.watchFailures = 0
	m.watchFails.Store(true)
	return errors.Wrapf(errWatchFails, "%v", err)
}

// catchUp determines the revision from which the watch continues and confirms the configuration.
// The read is needed because a watch without changes confirms nothing for a second, and after watches
// that failed because it shows whether the store answers.
func (m *Manager) catchUp(ctx context.Context) error {
	switch {
	case m.isHistoryLost():
		return m.readAll(store.WithPurpose(ctx, store.PurposeReread))
	case m.revision.Load() == 0:
		return m.learnState(store.WithPurpose(ctx, store.PurposeStart))
	case !m.isFresh(), m.watchFailures >= maxWatchFailures:
		return m.confirmConfig(store.WithPurpose(ctx, store.PurposeReread))
	}
	return nil
}

// readInitial reads the whole store for the first time at low cost: a list whose pages may be seconds old,
// and a current read of the configuration. Changes since the oldest page arrive with the watch or from
// the next peer polled.
func (m *Manager) readInitial(ctx context.Context) error {
	var work errgroup.Group
	var list store.Listing
	work.Go(func() (err error) {
		list, err = m.opts.Store.ListStale(ctx, m.opts.Prefix)
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
	m.recordOwnEntry(list.KVs)
	if found {
		list.KVs = withNewer(list.KVs, config)
	}
	m.recordAnswer(sentAt)
	m.apply(basis{confirmedAt: sentAt, revision: list.Pages.Oldest()}, func() { m.table.replaceAll(sentAt, list) })
	return nil
}

// withNewer returns a list with an entry that was read on its own, unless the list holds a newer one of its
// key: the list may have been read later.
func withNewer(list []store.KV, kv store.KV) []store.KV {
	n := slices.IndexFunc(list, func(listed store.KV) bool { return listed.Key == kv.Key })
	switch {
	case n < 0:
		return append(list, kv)
	case list[n].Version < kv.Version:
		list[n] = kv
	}
	return list
}

// recordOwnEntry stores this daemon's own entry, if items holds it, and unblocks the registration.
func (m *Manager) recordOwnEntry(items []store.KV) {
	select {
	case <-m.ownEntryRead:
		return
	default:
	}
	m.ownEntry, _ = findKey(items, vmPrefix+m.opts.Self)
	close(m.ownEntryRead)
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
		if found {
			m.table.put(config)
		}
	})
	return nil
}

// readAll reads the whole store again when the watch cannot continue from the last revision. Every page
// is as of sentAt or later.
func (m *Manager) readAll(ctx context.Context) error {
	sentAt := m.opts.Clock()
	list, err := m.opts.Store.List(ctx, m.opts.Prefix)
	if err != nil {
		return err
	}
	revision := list.Pages.Oldest()
	m.recordAnswer(sentAt)
	m.opts.Log.Emit(event.StoreReread, revision, m.revision.Load())
	m.apply(basis{confirmedAt: sentAt, completeAt: sentAt, revision: revision}, func() {
		m.table.replaceAll(sentAt, list)
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
	m.watchFails.Store(false)
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
