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
	// pollEvery is the mean time between reads of the record by every daemon,
	// watchers too. It finds a watch that went silent and a daemon that no
	// peer reaches. 390 daemons make 6.5 reads a second of about 500 bytes.
	pollEvery = time.Minute
	// roleEvery is how often a daemon looks whether it is a watcher.
	roleEvery = 5 * time.Second
	// callTimeout bounds one read of the store, which answers in milliseconds.
	callTimeout = 2 * time.Second
	// firstBackoff and lastBackoff bound the wait of a watcher, or of a daemon
	// without any text, after a failed call. Only these retry; the others wait
	// for their next poll, so that the end of an outage brings no stampede.
	firstBackoff = 200 * time.Millisecond
	lastBackoff  = 5 * time.Second
)

// watchState is the life of this daemon's watch, guarded by Manager.mu.
type watchState struct {
	cancel context.CancelFunc // nil while none is open
}

// outage is what this daemon sees of the store, guarded by Manager.mu.
type outage struct {
	since time.Time // zero while the store answers
	err   error
}

// watchLoop keeps a watch open while this daemon is a watcher of its zone.
func (m *Manager) watchLoop(ctx context.Context) {
	backoff := firstBackoff
	for ctx.Err() == nil {
		if !m.shouldWatch() {
			pause.For(ctx, m.jitter(roleEvery))
			continue
		}
		began := time.Now()
		err := m.watchOnce(ctx)
		m.sawStore(err)
		if time.Since(began) > lastBackoff {
			backoff = firstBackoff
		}
		pause.For(ctx, m.jitter(backoff))
		backoff = min(2*backoff, lastBackoff)
	}
}

// watchOnce reads the record and follows its changes until the watch dies or
// is replaced.
func (m *Manager) watchOnce(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	from, err := m.list(ctx)
	if err != nil {
		return err
	}
	m.cost.storeCall(0)
	w, err := m.cfg.Store.Watch(ctx, m.keys.Head(), from)
	if err != nil {
		return err
	}
	defer w.Close()
	m.setWatch(cancel)
	defer m.setWatch(nil)
	m.sawStore(nil)
	for {
		events, err := w.Next(ctx)
		if err != nil {
			return err
		}
		if err := m.follow(ctx, events); err != nil {
			return err
		}
	}
}

// list reads the record and returns the store revision to watch from.
func (m *Manager) list(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	kvs, from, err := m.cfg.Store.List(ctx, m.keys.Head())
	m.cost.storeCall(0)
	if err != nil {
		return 0, err
	}
	for _, kv := range kvs {
		if err := m.stored(ctx, kv); err != nil {
			return 0, err
		}
	}
	return from, nil
}

func (m *Manager) follow(ctx context.Context, events []store.Event) error {
	for _, e := range events {
		if e.Kind == store.Deleted {
			m.newer(0, "", sourceStore) // logged, never followed
			continue
		}
		if err := m.stored(ctx, e.KV); err != nil {
			return err
		}
	}
	return nil
}

// stored looks at one value of the record's key. An error means that the
// store failed on the way; a text that is refused is no such error.
func (m *Manager) stored(ctx context.Context, kv store.KV) error {
	m.cost.storeBytes(len(kv.Value))
	if kv.Key != m.keys.Head() {
		return nil
	}
	a, err := record.FromKV(kv)
	if err != nil {
		m.refuse(&record.Record{}, sourceStore, err)
		return nil
	}
	err = m.offer(ctx, a.Record)
	if errors.Is(err, store.ErrUnavailable) || errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return nil
}

func (m *Manager) readBody(ctx context.Context, r *record.Record) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	text, err := record.ReadText(ctx, m.cfg.Store, m.keys, r)
	m.cost.storeCall(len(text))
	return text, err
}

// poll reads the record once.
func (m *Manager) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	kv, err := m.cfg.Store.Get(ctx, m.keys.Head())
	m.cost.storeCall(0)
	if err == nil {
		err = m.stored(ctx, kv)
	}
	if errors.Is(err, store.ErrNotFound) {
		m.newer(0, "", sourceStore)
	}
	m.sawStore(err)
	return err
}

// pollLoop reads the record now and then.
//
// A watch can go silent for good although its connection looks open: the zone
// would miss every change. A read that finds more than the watch delivered
// shows it, and the watch is replaced on a fresh connection.
func (m *Manager) pollLoop(ctx context.Context) {
	for {
		pause.For(ctx, m.jitter(pollEvery))
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

func (m *Manager) replaceWatch(revision int64) {
	m.mu.Lock()
	cancel := m.watch.cancel
	m.mu.Unlock()
	if cancel != nil {
		m.cfg.Log.Emit(event.ConfigWatchStale, revision)
		cancel()
	}
}

// roleLoop closes the watch when other daemons have taken it over, and forgets
// members that are gone.
func (m *Manager) roleLoop(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, m.jitter(roleEvery))
		view := m.cfg.Members.Current()
		m.mu.Lock()
		cancel := m.watch.cancel
		maps.DeleteFunc(m.seen, func(id string, _ ObservedRevision) bool {
			_, known := view.Find(id)
			return !known
		})
		m.mu.Unlock()
		if cancel != nil && !m.shouldWatch() {
			cancel()
		}
	}
}

func (m *Manager) setWatch(cancel context.CancelFunc) {
	m.mu.Lock()
	m.watch.cancel = cancel
	m.mu.Unlock()
	m.cfg.Log.Emit(event.ConfigWatching, cancel != nil)
}

// sawStore notes whether the store answers, for logs and status.
func (m *Manager) sawStore(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	if errors.Is(err, store.ErrNotFound) || errors.Is(err, store.ErrCompacted) {
		err = nil
	}
	m.mu.Lock()
	was := m.outage
	switch {
	case err == nil:
		m.outage = outage{}
	case was.since.IsZero():
		m.outage = outage{since: time.Now(), err: err}
	default:
		m.outage.err = err
	}
	m.mu.Unlock()
	if err != nil && was.since.IsZero() {
		m.cfg.Log.Emit(event.ConfigStoreLost, err.Error())
	}
	if err == nil && !was.since.IsZero() {
		m.cfg.Log.Emit(event.ConfigStoreRecovered, time.Since(was.since).String())
	}
}
