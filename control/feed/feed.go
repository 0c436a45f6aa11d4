// Package feed keeps what a gateway believes of the world in step with the
// platform's store: the configuration in force, the backend servers and the
// entry VMs. It publishes immutable snapshots.
package feed

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"mallowwind.dev/control/pause"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/external/store"
	"mallowwind.dev/peer/link"
	"mallowwind.dev/telemetry/event"
)

const (
	// batchPause follows a batch of changes: a zone that fails or returns
	// changes a dozen keys within it, and each batch costs one call. It is an
	// eighth of the time in which a change has to be in force.
	batchPause = 250 * time.Millisecond
	// retryPause is the mean wait after a failed call of a daemon that watches the
	// store for others, or that may be the only one which cannot reach it.
	retryPause = 250 * time.Millisecond
	// outagePause is the mean wait of the other daemons while the store is out of
	// reach for their neighbours too. They hear of its return from the few that
	// watch; should it refuse just those, eighty daemons still ask forty times a
	// second, and one that gets an answer tells the rest. Without it, 88 daemons made
	// 2,900 calls in an outage of eight seconds.
	outagePause = 2 * time.Second
	// reregister is how long after its return the store lacks the entries whose
	// leases ran out during an outage: their owners write them again within two
	// seconds. The rest is what a watch takes to tell.
	reregister = 2500 * time.Millisecond
	// outageMin is the silence of the store after which removals may come from
	// leases that ran out: it is shorter than the shortest lease.
	outageMin = time.Second
	// doubtCheck is how often the servers in doubt are looked at.
	doubtCheck = 50 * time.Millisecond
	// doubtTime is how long a server stays usable whose entry vanished around an
	// outage. It is below the two seconds within which a server that left
	// has to be left alone.
	doubtTime = time.Second
)

// Batches is how many batches of changes a daemon that watches takes a second at most.
const Batches = float64(time.Second) / float64(batchPause)

// Schema is the layout of what others write to the store.
type Schema interface {
	// ConfigKey is the key of the configuration.
	ConfigKey() string
	DecodeConfig(raw []byte) (*routing.Config, error)
	// ServerID returns the id of the backend server whose entry key is, if any.
	ServerID(key string) (string, bool)
	DecodeServer(id string, raw []byte) (routing.Server, error)
}

// Clock is monotonic and goes on while the machine is suspended.
type Clock func() time.Duration

// View is what is believed at one moment. It is immutable.
type View struct {
	Config *routing.Config // nil while none is known
	// Servers are the backend servers by service, in the order of their ids.
	Servers map[string][]routing.Server
	// VMs are the entry VMs that serve.
	VMs []routing.VM
	// Published is when this became the view; zero before the first.
	Published time.Time
	// departed are the servers that leave or are gone.
	departed map[string]time.Duration
}

// Departed reports whether a server is known to leave or to be gone.
func (v *View) Departed(id string) bool {
	_, ok := v.departed[id]
	return ok
}

// Options configure a Manager.
type Options struct {
	Store store.Store
	// Prefix begins the keys that are followed; "" follows all.
	Prefix string
	Schema Schema
	Clock  Clock
	Log    *event.Log
	// Self is this daemon's VM id, and Seeds are addresses of daemons to ask
	// before any is known. Dialer may be nil: then no other daemon is asked.
	Self   string
	Seeds  []string
	Dialer *link.Dialer
	// Registerer receives the metrics; it may be nil.
	Registerer prometheus.Registerer
}

// Manager follows the store.
type Manager struct {
	opts      Options
	view      atomic.Pointer[View]
	confirmed atomic.Int64 // Clock when the question was sent whose answer showed the configuration; 0 none
	seeds     atomic.Pointer[[]string]
	known     chan struct{} // closed with the first configuration
	reached   atomic.Bool   // the last call to the store succeeded
	outage    atomic.Bool   // the last daemon asked was as long without the store
	bridged   atomic.Bool   // another daemon ended a gap since the store last answered
	aloneTill atomic.Int64  // Clock until when this daemon watches the store itself

	calls *prometheus.CounterVec

	mu       sync.Mutex // guards table and changes of revision
	table    *table
	expiring bool         // endDoubt is due
	revision atomic.Int64 // of the store, where the watch goes on; 0 means that everything is read
}

// New returns a manager; Run starts it.
func New(o Options) *Manager {
	m := &Manager{opts: o, table: newTable(o.Schema, o.Log), known: make(chan struct{}), calls: newCalls()}
	m.view.Store(&View{})
	m.SetSeeds(o.Seeds)
	m.register(o.Registerer)
	return m
}

// SetSeeds changes the daemons that are asked before any is known.
func (m *Manager) SetSeeds(seeds []string) { m.seeds.Store(&seeds) }

// View returns the present view.
func (m *Manager) View() *View { return m.view.Load() }

// Age is how long ago the configuration in the view was certainly the newest;
// ok is false where none was ever seen.
func (m *Manager) Age() (age time.Duration, ok bool) {
	at := m.confirmed.Load()
	if at == 0 {
		return 0, false
	}
	return m.opts.Clock() - time.Duration(at), true
}

// Run follows the store, and other daemons while the store is out of reach,
// until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	var peers sync.WaitGroup
	defer peers.Wait()
	peers.Go(func() { m.askPeers(ctx) })
	for ctx.Err() == nil {
		if !m.watches() {
			pause.For(ctx, askEvery)
			continue
		}
		err := m.follow(ctx)
		if ctx.Err() != nil || err == nil {
			continue
		}
		m.lost(err)
		mean := m.failurePause()
		pause.For(ctx, mean/2+rand.N(mean))
	}
}

// failurePause is the mean wait after a failed call to the store. A daemon that watches
// because others have lost the store shares their trouble if its own call fails.
func (m *Manager) failurePause() time.Duration {
	vms := m.View().VMs
	switch {
	case len(vms) <= watchers || slices.Contains(m.watching(vms), m.opts.Self):
		return retryPause
	case m.Outage() || m.alone():
		return outagePause
	}
	return retryPause
}

// follow watches the store until that fails, or is left to other daemons.
func (m *Manager) follow(ctx context.Context) error {
	if m.revision.Load() == 0 || !m.fresh() {
		// A watch confirms nothing before it returns, which takes a second.
		if err := m.readAll(store.WithPurpose(ctx, m.readPurpose())); err != nil {
			return err
		}
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

// readPurpose tells a daemon's first read from the later ones.
func (m *Manager) readPurpose() store.Purpose {
	if _, known := m.Age(); known {
		return store.PurposeReread
	}
	return store.PurposeStart
}

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

// apply changes the table to a revision of the store, unless a later one is
// already there: an answer that was long on its way must not undo it. The
// configuration was the newest at asked.
func (m *Manager) apply(asked time.Duration, revision int64, change func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision < m.revision.Load() {
		return
	}
	change()
	m.revision.Store(revision)
	m.publish()
	if m.table.config == nil || int64(asked) <= m.confirmed.Load() {
		return
	}
	if m.confirmed.Swap(int64(asked)) == 0 {
		close(m.known)
	}
}

// publish swaps the view where something changed. It is called under the lock.
func (m *Manager) publish() {
	if m.table.expire(m.opts.Clock()) || m.table.dirty {
		view := m.table.view()
		view.Published = time.Now()
		m.view.Store(view)
		m.table.dirty = false
	}
	if len(m.table.doubtful)+len(m.table.doubtfulVMs) > 0 && !m.expiring {
		m.expiring = true
		time.AfterFunc(doubtCheck, m.endDoubt)
	}
}

// endDoubt looks at the servers in doubt without waiting for the store, whose
// next answer may be a second away.
func (m *Manager) endDoubt() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expiring = false
	m.publish()
}

// Known is closed once a configuration is in force.
func (m *Manager) Known() <-chan struct{} { return m.known }

// lost notes that the store does not answer. Servers kept in doubt still end.
func (m *Manager) lost(err error) {
	if m.reached.Swap(false) {
		m.opts.Log.Emit(event.StoreLost, err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.publish()
}

func (m *Manager) regained(asked time.Duration) {
	if !m.reached.Swap(true) {
		m.opts.Log.Emit(event.StoreReached, m.revision.Load())
	}
	m.bridged.Store(false)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.reached(asked, m.opts.Clock())
}
