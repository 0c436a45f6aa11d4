// Package feed keeps what a gateway believes of the world in step with the
// platform's store: the configuration in force, the backend servers and the
// entry VMs. It publishes immutable snapshots.
package feed

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/watching"
	"mallowwind.dev/external/store"
	"mallowwind.dev/peer/link"
	"mallowwind.dev/telemetry/event"
)

// Schema is the layout of what others write to the store.
type Schema interface {
	// ConfigKey is the key of the configuration.
	ConfigKey() string
	DecodeConfig(raw []byte) (*routing.Config, error)
	// ServerID returns the id of the backend server whose entry key is, if any.
	ServerID(key string) (string, bool)
	DecodeServer(id string, raw []byte) (routing.Server, error)
	RolloutSchema
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
	// Refused are the requests that are sent to no server, by digest.
	Refused map[string]RefusedRequest
	// Rollouts are those of which something lies in the store, by service.
	Rollouts map[string]Rollout
	// PreviousConfirmedAt is the Clock when all before this view was last confirmed; 0 before the first.
	PreviousConfirmedAt time.Duration
	// PublishedAt is when this became the view; zero before the first.
	PublishedAt time.Time
	// departed are the servers that leave or are gone.
	departed map[string]time.Duration
	// plan says which of VMs watch the store and who asks whom; nil before the first.
	plan *watching.Plan
}

// HasDeparted reports whether a server is known to leave or to be gone.
func (v *View) HasDeparted(id string) bool {
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
	opts Options
	view atomic.Pointer[View]
	// confirmed is the Clock when the question was sent whose answer showed the
	// configuration, or that there is none; 0 before the first.
	confirmed atomic.Int64
	seeds     atomic.Pointer[[]string]
	known     chan struct{} // closed with the first configuration
	once      sync.Once     // closes known
	reached   atomic.Bool   // the last call to the store succeeded
	outage    atomic.Bool   // the last daemon asked was as long without the store
	bridged   atomic.Bool   // another daemon ended a gap since the store last answered
	aloneTill atomic.Int64  // Clock until when this daemon watches the store itself
	turn      atomic.Uint64 // which of the daemons that tell this one is asked first
	roused    chan struct{} // holds an item when this daemon has to watch by itself
	listed    chan struct{} // closed once own is known
	own       store.KV      // this daemon's entry when it started, if any

	calls *prometheus.CounterVec

	mu       sync.Mutex // guards table, news and changes of revision
	table    *table
	expiring bool          // endDoubt is due
	news     chan struct{} // closed when what this daemon can tell has changed
	revision atomic.Int64  // of the store, where the watch goes on; 0 means that everything is read
}

// New returns a manager; Run starts it.
func New(o Options) *Manager {
	m := &Manager{opts: o, table: newTable(o.Schema, o.Log), known: make(chan struct{}), calls: newCalls()}
	m.roused, m.listed, m.news = make(chan struct{}, 1), make(chan struct{}), make(chan struct{})
	m.turn.Store(rand.Uint64())
	m.view.Store(&View{})
	m.SetSeeds(o.Seeds)
	m.register(o.Registerer)
	return m
}

// SetSeeds changes the daemons that are asked before any is known.
func (m *Manager) SetSeeds(seeds []string) { m.seeds.Store(&seeds) }

// View returns the present view.
func (m *Manager) View() *View { return m.view.Load() }

// ConfigAge is how long ago the configuration in the view was certainly the newest;
// ok is false where none was ever seen.
func (m *Manager) ConfigAge() (age time.Duration, ok bool) {
	age, ok = m.storeAge()
	return age, ok && m.View().Config != nil
}

// storeAge is how long ago this daemon certainly knew which configuration is the newest,
// or that there is none yet; ok is false before the first answer of the store, or of
// another daemon.
func (m *Manager) storeAge() (age time.Duration, ok bool) {
	at := m.confirmed.Load()
	if at == 0 {
		return 0, false
	}
	return m.opts.Clock() - time.Duration(at), true
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
	defer m.announce()
	if int64(asked) > m.confirmed.Load() {
		m.confirmed.Store(int64(asked))
	}
	if m.table.config != nil {
		m.once.Do(func() { close(m.known) })
	}
}

// publish swaps the view where something changed. It is called under the lock.
func (m *Manager) publish() {
	if m.table.expire(m.opts.Clock()) || m.table.dirty {
		view := m.table.view()
		view.PublishedAt, view.PreviousConfirmedAt = time.Now(), time.Duration(m.confirmed.Load())
		m.view.Store(view)
		m.table.dirty = false
	}
	if len(m.table.doubtful)+len(m.table.doubtfulVMs) > 0 && !m.expiring {
		m.expiring = true
		time.AfterFunc(doubtCheck, m.endDoubt)
	}
}

// announce wakes those that wait for news. It is called under the lock.
func (m *Manager) announce() {
	close(m.news)
	m.news = make(chan struct{})
}

// endDoubt looks at the servers in doubt without waiting for the store, whose
// next answer may be a second away.
func (m *Manager) endDoubt() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expiring = false
	m.publish()
}

// ConfigReady is closed once a configuration is in force.
func (m *Manager) ConfigReady() <-chan struct{} { return m.known }

// lost notes that the store does not answer. Servers kept in doubt still end.
func (m *Manager) lost(err error) {
	if m.reached.Swap(false) {
		m.opts.Log.Emit(event.StoreLost, err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.publish()
	m.announce()
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
