package inforce

import (
	"context"
	"maps"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/inforce/record"
	"mallowwind.dev/control/pause"
	"mallowwind.dev/external/store"
	"mallowwind.dev/telemetry/event"
)

const (
	// pollInterval is the mean time between two reads of the record by each daemon, including
	// watchers. Polling detects a watch that no longer delivers events, and updates a daemon that no
	// peer reaches. 390 daemons make 6.5 reads per second of about 500 bytes each.
	pollInterval = time.Minute
	// roleCheckInterval is how often a daemon checks whether it is a watcher.
	roleCheckInterval = 5 * time.Second
	// callTimeout bounds one read of the store, which normally answers within milliseconds.
	callTimeout = 2 * time.Second
	// minBackoff and maxBackoff bound the time that a watcher, or a daemon without a text, waits
	// before it retries a failed call. Other daemons do not retry but wait for their next poll, so
	// that the end of a store outage causes no thundering herd.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// watchState is the state of this daemon's watch, guarded by Manager.mu.
type watchState struct {
	cancel context.CancelFunc // nil while no watch is open
}

// outage is the current outage of the store as this daemon sees it, guarded by Manager.mu.
type outage struct {
	since time.Time // zero while the store answers
	err   error
}

// watchLoop keeps a watch open while this daemon is a watcher of its zone.
func (m *Manager) watchLoop(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		if !m.shouldWatch() {
			pause.For(ctx, m.jitter(roleCheckInterval))
			continue
		}
		start := time.Now()
		err := m.watchOnce(ctx)
		m.recordStoreResult(err)
		if time.Since(start) > maxBackoff {
			backoff = minBackoff
		}
		pause.For(ctx, m.jitter(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// watchOnce reads the record and follows its changes until the watch fails or is replaced.
func (m *Manager) watchOnce(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	from, err := m.loadHead(ctx)
	if err != nil {
		return err
	}
	m.counters.countStoreCall(0)
	w, err := m.cfg.Store.Watch(ctx, m.keys.Head(), from)
	if err != nil {
		return err
	}
	defer w.Close()
	m.setWatch(cancel)
	defer m.setWatch(nil)
	m.recordStoreResult(nil)
	for {
		events, err := w.Next(ctx)
		if err != nil {
			return err
		}
		if err := m.handleEvents(ctx, events); err != nil {
			return err
		}
	}
}

// loadHead reads the record, adopts its text if newer and returns the store revision to watch from.
func (m *Manager) loadHead(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, err := m.cfg.Store.List(ctx, m.keys.Head())
	m.counters.countStoreCall(0)
	if err != nil {
		return 0, err
	}
	for _, kv := range list.KVs {
		if err := m.handleValue(ctx, kv); err != nil {
			return 0, err
		}
	}
	return list.Pages.Oldest(), nil
}

// handleEvents processes events of the watch.
func (m *Manager) handleEvents(ctx context.Context, events []store.Event) error {
	for _, e := range events {
		if e.Kind == store.Deleted {
			m.isNewer(0, "", sourceStore) // a deletion does not change the active text
			continue
		}
		if err := m.handleValue(ctx, e.KV); err != nil {
			return err
		}
	}
	return nil
}

// handleValue processes one value read from the store and adopts its text if the value is a newer
// record. It returns an error only if the store fails, not if the text is rejected.
func (m *Manager) handleValue(ctx context.Context, kv store.KV) error {
	m.counters.countStoreBytes(len(kv.Value))
	if kv.Key != m.keys.Head() {
		return nil
	}
	accepted, err := record.FromKV(kv)
	if err != nil {
		m.reject(&record.Record{}, sourceStore, err)
		return nil
	}
	err = m.adoptFromStore(ctx, accepted.Record)
	if errors.Is(err, store.ErrUnavailable) || errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return nil
}

// readBody reads the text of r from the store and verifies it.
func (m *Manager) readBody(ctx context.Context, r *record.Record) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	text, err := record.ReadText(ctx, m.cfg.Store, m.keys, r)
	m.counters.countStoreCall(len(text))
	return text, err
}

// poll reads the record once and adopts its text if newer.
func (m *Manager) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	kv, err := m.cfg.Store.Get(ctx, m.keys.Head())
	m.counters.countStoreCall(0)
	if err == nil {
		err = m.handleValue(ctx, kv)
	}
	if errors.Is(err, store.ErrNotFound) {
		m.isNewer(0, "", sourceStore)
	}
	m.recordStoreResult(err)
	return err
}

// pollLoop polls the record periodically.
//
// A watch can stop delivering events while its connection still looks open, and the zone would then
// miss every change. A poll that finds a revision that the watch did not deliver reveals this, and
// the watch is replaced on a new connection.
func (m *Manager) pollLoop(ctx context.Context) {
	for {
		pause.For(ctx, m.jitter(pollInterval))
		if ctx.Err() != nil {
			return
		}
		before := m.revision()
		if m.poll(ctx) != nil {
			continue
		}
		if s := m.current.Load(); s != nil && s.record.Revision > before && s.source == sourceStore {
			m.replaceWatch(s.record.Revision)
		}
	}
}

// replaceWatch cancels a watch that missed revision; watchLoop opens another.
func (m *Manager) replaceWatch(revision int64) {
	m.mu.Lock()
	cancel := m.watch.cancel
	m.mu.Unlock()
	if cancel != nil {
		m.cfg.Log.Emit(event.ConfigWatchStale, revision)
		cancel()
	}
}

// roleLoop closes the watch once this daemon is no longer a watcher of its zone, and removes the
// revisions of former members.
func (m *Manager) roleLoop(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, m.jitter(roleCheckInterval))
		view := m.cfg.Members.Current()
		m.mu.Lock()
		cancel := m.watch.cancel
		maps.DeleteFunc(m.peerRevisions, func(id string, _ ObservedRevision) bool {
			_, isMember := view.Find(id)
			return !isMember
		})
		m.mu.Unlock()
		if cancel != nil && !m.shouldWatch() {
			cancel()
		}
	}
}

// setWatch records and logs that a watch was opened (cancel ends it) or closed (nil).
func (m *Manager) setWatch(cancel context.CancelFunc) {
	m.mu.Lock()
	m.watch.cancel = cancel
	m.mu.Unlock()
	m.cfg.Log.Emit(event.ConfigWatching, cancel != nil)
}

// recordStoreResult tracks from the result of a call whether the store is available, for the log and
// the report. A missing key or a compacted revision is an answer; a canceled call says nothing.
func (m *Manager) recordStoreResult(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	if errors.Is(err, store.ErrNotFound) || errors.Is(err, store.ErrCompacted) {
		err = nil
	}
	m.mu.Lock()
	previous := m.outage
	switch {
	case err == nil:
		m.outage = outage{}
	case previous.since.IsZero():
		m.outage = outage{since: time.Now(), err: err}
	default:
		m.outage.err = err
	}
	m.mu.Unlock()
	if err != nil && previous.since.IsZero() {
		m.cfg.Log.Emit(event.ConfigStoreLost, err.Error())
	}
	if err == nil && !previous.since.IsZero() {
		m.cfg.Log.Emit(event.ConfigStoreRecovered, time.Since(previous.since).String())
	}
}
