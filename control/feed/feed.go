// Package feed keeps a gateway daemon's copy of the platform's store up to date: the configuration
// in force, the backend servers, the entry VMs, the refused requests and the roll-outs. It
// publishes immutable snapshots.
//
// The store charges for each call and may refuse some or all daemons. In a fleet of more than a few
// daemons, a few watch the store and the others poll those; a daemon that cannot reach the store
// gets changes from its peers.
package feed

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/tidwall/btree"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/watchplan"
	"mallowwind.dev/external/store"
	"mallowwind.dev/peer/link"
	"mallowwind.dev/telemetry/event"
)

// Schema is the layout of the store's keys and values.
type Schema interface {
	// ConfigKey returns the key of the configuration.
	ConfigKey() string
	DecodeConfig(raw []byte) (*routing.Config, error)
	// ServerID returns the id of the backend server that key describes; ok is false for other keys.
	ServerID(key string) (string, bool)
	DecodeServer(id string, raw []byte) (routing.Server, error)
	RolloutSchema
}

// Clock returns a monotonic time that also advances while the machine is suspended.
type Clock func() time.Duration

// View is an immutable snapshot of the state read from the store.
type View struct {
	Config *routing.Config // nil before the first one is read
	// Servers holds the usable backend servers by service; a service without any is missing.
	Servers map[string]*ServerList
	// VMs holds the registered entry VMs, including those that are leaving.
	VMs []routing.VM
	// Refused holds the requests that must not be sent to any server, by digest.
	Refused map[string]RefusedRequest
	// Rollouts holds the orders and statuses of roll-outs, by service.
	Rollouts map[string]Rollout
	// PreviousCompleteAt is the Clock time at which the state before this view was last known to
	// hold all that the store held; 0 if it never was. What is new in this view is younger.
	PreviousCompleteAt time.Duration
	// PublishedAt is the time at which this view was published; zero for the empty view before the
	// first update.
	PublishedAt time.Time
	// departed holds the servers that are leaving or gone.
	departed *btree.Map[string, time.Duration]
	// watchPlan decides which of VMs watch the store and which daemons the others poll; nil in the
	// empty view.
	watchPlan *watchplan.Plan
}

// Server returns the usable server with an id.
func (v *View) Server(id string) (routing.Server, bool) {
	for _, servers := range v.Servers {
		if s, ok := servers.Get(id); ok {
			return s, true
		}
	}
	return routing.Server{}, false
}

// HasDeparted reports whether a server is known to be leaving or gone.
func (v *View) HasDeparted(id string) bool {
	if v.departed == nil {
		return false
	}
	_, ok := v.departed.Get(id)
	return ok
}

// Options configures a Manager.
type Options struct {
	Store store.Store
	// Prefix limits the watch to keys that begin with it; "" selects all keys.
	Prefix string
	Schema Schema
	Clock  Clock
	Log    *event.Log
	// Self is this daemon's VM id. Seeds are the addresses of daemons to poll before any peer is
	// known. If Dialer is nil, no peer is polled.
	Self   string
	Seeds  []string
	Dialer *link.Dialer
	// Registerer receives the metrics; it may be nil.
	Registerer prometheus.Registerer
}

// Manager keeps the state read from the store up to date, from the store itself and from peers.
type Manager struct {
	opts Options
	// source tells this process from others, and from an earlier one at its address.
	source uint64
	view   atomic.Pointer[View]
	// confirmedAt is the Clock time at which the configuration in the view, or its absence, was
	// last known to be current: the time at which the request that showed it was sent. 0 before the
	// first answer.
	confirmedAt     atomic.Int64
	seeds           atomic.Pointer[[]string]
	configReady     chan struct{} // closed when the first configuration is in force
	configReadyOnce sync.Once     // closes configReady
	storeReachable  atomic.Bool   // the last call to the store succeeded
	watchFails      atomic.Bool   // one watch after the other failed although the store answered, and none has answered since
	// unreachableSince is the Clock time of the first failed call since the store last answered; 0
	// if the last call succeeded.
	unreachableSince atomic.Int64
	peerAlsoStale    atomic.Bool   // the last peer polled had no recent confirmation either
	confirmedByPeer  atomic.Bool   // a peer has ended an overdue confirmation since the store last answered
	noSourceUntil    atomic.Int64  // Clock time until which no source counts as available
	sourceTurn       atomic.Uint64 // selects the source that is polled first
	peerAnsweredAt   atomic.Int64  // Clock time of the last answer of a peer
	watchWakeup      chan struct{} // holds an item when this daemon may have to start watching the store
	pollWakeup       chan struct{} // holds an item when peers have to be polled at once
	firstRead        chan struct{} // closed when the first read of the store has ended, or is left to peers
	firstReadOnce    sync.Once     // closes firstRead
	ownEntryRead     chan struct{} // closed once ownEntry is set
	ownEntry         store.KV      // this daemon's entry at its start; empty if there was none
	startFleet       atomic.Pointer[startFleet]
	fleetLearned     chan struct{} // closed once startFleet is set
	watchFailures    int           // watches that failed in a row while the store was not known to be away; used by Run
	startPeer        string        // address of a daemon that answered while this one has no state; used by pollPeers
	// startPolls counts the polls of other daemons than startPeer while this one has no state, and
	// startAnswers the answers to them.
	startPolls, startAnswers atomic.Uint64

	storeCalls *prometheus.CounterVec

	fleetMu       sync.Mutex // guards lastFleetPage
	lastFleetPage *page      // see fleetPage; nil if none was encoded

	mu    sync.Mutex // guards the rest, and changes of revision
	table *table
	pages pageCache
	// completeAt is the Clock time at which the entries held here were last known to be all there
	// are; 0 before that.
	completeAt      time.Duration
	historyLost     bool          // the watch cannot continue from revision
	told            told          // by peers since revision, not complete yet
	expiryScheduled bool          // a call of expireGracePeriods is scheduled
	updated         chan struct{} // closed and replaced when this daemon has something new to return to peers
	controlChanged  chan struct{} // see ControlChanged
	revision        atomic.Int64  // store revision from which the watch continues; 0 if none is known
}

// New returns a Manager; Run starts it.
func New(o Options) *Manager {
	m := &Manager{opts: o, table: newTable(o.Schema, o.Log), pages: pageCache{}, configReady: make(chan struct{}), storeCalls: newStoreCallsCounter()}
	m.watchWakeup, m.pollWakeup = make(chan struct{}, 1), make(chan struct{}, 1)
	m.ownEntryRead, m.updated = make(chan struct{}), make(chan struct{})
	m.controlChanged, m.firstRead, m.fleetLearned = make(chan struct{}), make(chan struct{}), make(chan struct{})
	m.source = rand.Uint64()
	m.sourceTurn.Store(rand.Uint64())
	m.view.Store(&View{})
	m.SetSeeds(o.Seeds)
	m.registerMetrics(o.Registerer)
	return m
}

// SetSeeds replaces the addresses of the daemons that are polled before any peer is known.
func (m *Manager) SetSeeds(seeds []string) { m.seeds.Store(&seeds) }

// View returns the current view.
func (m *Manager) View() *View { return m.view.Load() }

// ConfigAge returns the time since the configuration in the view was last known to be current; ok
// is false if no configuration has been read yet.
func (m *Manager) ConfigAge() (age time.Duration, ok bool) {
	age, ok = m.confirmationAge()
	return age, ok && m.View().Config != nil
}

// confirmationAge returns the time since the configuration held here, or its absence, was last
// known to be current; ok is false before the first answer of the store or of a peer.
func (m *Manager) confirmationAge() (age time.Duration, ok bool) {
	at := m.confirmedAt.Load()
	if at == 0 {
		return 0, false
	}
	return m.opts.Clock() - time.Duration(at), true
}

// basis says what a change of the table rests on.
type basis struct {
	// confirmedAt is the Clock time at which the configuration was known to be current, and
	// completeAt the same for all entries; 0 if the change does not show it.
	confirmedAt, completeAt time.Duration
	// revision is the store revision of the table after the change.
	revision int64
	// partial says that the entries up to the revision upTo are told and that there are more changes, so
	// that the table is at no revision of the store.
	partial bool
	upTo    int64
	// after is the revision up to which entries have to be held or told for the change to apply.
	after int64
	// source is the process that told the change; 0 for the store and for a peer that does not say so.
	source uint64
}

// apply updates the table. It does nothing if the table is at a later revision already, so that a
// delayed answer does not undo newer changes.
func (m *Manager) apply(b basis, update func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.canApply(b) {
		return
	}
	m.table.beginEra(m.opts.Clock(), b.revision)
	update()
	if b.partial {
		m.told.add(b.source, b.upTo, b.revision)
		m.publish()
		return
	}
	have := m.revision.Load()
	if complete := m.told.completeTo(b.revision); b.after > have && complete < b.revision {
		b = basis{revision: max(have, complete)} // it does not show that all is current
	}
	if b.revision > have {
		m.historyLost = false
	}
	m.told = told{}
	m.revision.Store(b.revision)
	m.table.entries.setComplete(b.revision)
	lostRefused := m.table.endRestoration(b.revision)
	m.publish()
	m.rewriteRefused(lostRefused)
	defer m.notifyWaiters()
	m.completeAt = max(m.completeAt, b.completeAt)
	if int64(b.confirmedAt) > m.confirmedAt.Load() {
		m.confirmedAt.Store(int64(b.confirmedAt))
	}
	if m.table.config != nil {
		m.configReadyOnce.Do(func() { close(m.configReady) })
	}
}

// canApply reports whether a change is not older than what is held, and follows what was told. The caller
// holds m.mu.
func (m *Manager) canApply(b basis) bool {
	have := m.revision.Load()
	if b.revision < have || b.after > max(have, m.told.upTo) {
		return false
	}
	if b.after > have && !m.told.continues(b.source, b.upTo, b.revision, !b.partial) {
		m.told.restart()
		return false
	}
	return true
}

// publish replaces the view if the state has changed, and schedules the end of grace periods. The
// caller holds m.mu.
func (m *Manager) publish() {
	if m.table.expire(m.opts.Clock()) || m.table.dirty {
		view := m.table.view()
		view.PublishedAt, view.PreviousCompleteAt = time.Now(), m.completeAt
		planChanged := m.View().watchPlan != view.watchPlan
		m.view.Store(view)
		if planChanged {
			m.wakeRun()
		}
		m.table.dirty = false
	}
	if m.table.controlChanged {
		m.table.controlChanged = false
		close(m.controlChanged)
		m.controlChanged = make(chan struct{})
	}
	m.table.changes.flush(m.opts.Clock(), m.opts.Log)
	m.scheduleExpiry()
}

// scheduleExpiry schedules the end of grace periods and the line of the changes not logged yet. The
// caller holds m.mu.
func (m *Manager) scheduleExpiry() {
	var after time.Duration
	switch {
	case m.expiryScheduled:
		return
	case len(m.table.serverGraceEnds)+len(m.table.vmGraceEnds) > 0:
		after = graceCheckInterval
	case m.table.changes.isPending():
		after = changeLogInterval
	default:
		return
	}
	m.expiryScheduled = true
	time.AfterFunc(after, m.expireGracePeriods)
}

// wakeRun makes Run check whether this daemon watches the store.
func (m *Manager) wakeRun() { wake(m.watchWakeup) }

// wake puts an item into a channel that holds one, unless it holds one already.
func wake(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// notifyWaiters wakes the snapshot requests that wait for an update. The caller holds m.mu.
func (m *Manager) notifyWaiters() {
	close(m.updated)
	m.updated = make(chan struct{})
}

// expireGracePeriods drops entries whose grace period has ended. It runs on a timer because the
// next answer of the store may be a second away.
func (m *Manager) expireGracePeriods() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expiryScheduled = false
	m.publish()
}

// ControlChanged returns a channel that is closed at the next change of an entry that describes
// neither a server nor a VM: the configuration, a roll-out or a refused request. Take the channel
// before the view.
func (m *Manager) ControlChanged() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.controlChanged
}

// ConfigReady returns a channel that is closed once a configuration is in force and all servers are
// known.
func (m *Manager) ConfigReady() <-chan struct{} { return m.configReady }

// IsReady reports whether ConfigReady is closed.
func (m *Manager) IsReady() bool {
	select {
	case <-m.configReady:
		return true
	default:
		return false
	}
}

// recordFailure records that a call to the store failed. It publishes the view because grace
// periods also end while the store is unreachable.
func (m *Manager) recordFailure(err error) {
	m.storeReachable.Store(false)
	if m.unreachableSince.CompareAndSwap(0, int64(m.opts.Clock())) {
		m.opts.Log.Emit(event.StoreLost, err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.publish()
	m.notifyWaiters()
}

func (m *Manager) recordAnswer(sentAt time.Duration) {
	if !m.storeReachable.Swap(true) {
		m.opts.Log.Emit(event.StoreReached, m.revision.Load())
	}
	m.unreachableSince.Store(0)
	m.confirmedByPeer.Store(false)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.recordAnswer(sentAt, m.opts.Clock())
}
