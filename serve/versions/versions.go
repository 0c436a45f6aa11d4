// Package versions carries out roll-outs: it knows which versions of a service's servers may serve
// a request, tells what requests show of them, and, at one daemon of the fleet, decides how far a
// roll-out goes.
//
// The daemon nearest to a service by rendezvous hashing decides, and the next one where that does
// not answer. All tell it what they saw since the roll-out began, so that another that takes over
// knows as much a second later. What it decides lies in the store under the revision that it knew:
// one that was frozen, or cut off, undoes nothing newer. That a version is bad is told to all at
// once, also while the store is away.
package versions

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/rollout"
	"mallowwind.dev/peer/link"
	"mallowwind.dev/telemetry/event"
)

const (
	// idleTick and activeTick are how often roll-outs are looked after while there is none, and
	// while there is one.
	idleTick   = time.Second
	activeTick = 100 * time.Millisecond
	// endTick is the same once everything goes to the target, when answers end within it.
	endTick = 40 * time.Millisecond
	// touchAge is the age of the configuration from which a daemon may be out of touch with all
	// others; it draws no requests for a new version then.
	touchAge = 3200 * time.Millisecond
)

// Options configure a Manager.
type Options struct {
	Feed  *feed.Manager
	Clock feed.Clock
	Log   *event.Log
	Self  routing.VM
	// Dialer connects to other daemons; nil where there is none.
	Dialer *link.Dialer
	Limits rollout.Limits
	// Registerer receives the metrics; it may be nil.
	Registerer prometheus.Registerer
}

// Manager knows the roll-outs of all services.
type Manager struct {
	opts    Options
	boot    uint64 // of this process
	peers   *peers
	metrics *metrics
	limits  atomic.Pointer[rollout.Limits]
	roused  chan struct{} // holds an item when a roll-out has begun
	current atomic.Pointer[Snapshot]

	mu       sync.Mutex // guards the rest
	services map[string]*service
	underWay func(service string, s rollout.State) int
}

// Snapshot is what holds of all services at one moment. It is immutable.
type Snapshot struct {
	view   *feed.View
	states map[string]rollout.State
	active bool // a roll-out is under way
	ending bool // one of them sends everything to the target
}

// State is the state of a service.
func (s *Snapshot) State(service string) rollout.State { return s.states[service] }

// New returns a manager; Run starts it.
func New(o Options) *Manager {
	m := &Manager{
		opts: o, boot: rand.Uint64(), peers: newPeers(o), metrics: newMetrics(o.Registerer), roused: make(chan struct{}, 1),
		services: map[string]*service{}, underWay: func(string, rollout.State) int { return 0 },
	}
	m.SetLimits(o.Limits)
	m.current.Store(&Snapshot{})
	return m
}

// SetLimits changes what a version may get that is not known to be good.
func (m *Manager) SetLimits(l rollout.Limits) { m.limits.Store(&l) }

// SetInFlightCounter sets how the requests under way at servers of other versions than the target are
// counted. It is called before Run.
func (m *Manager) SetInFlightCounter(count func(service string, s rollout.State) int) {
	m.underWay = count
}

// Snapshot is what holds for a view of the store.
func (m *Manager) Snapshot(view *feed.View) *Snapshot {
	now := m.current.Load()
	if now.view == view || now.view != nil && view.PublishedAt.Before(now.view.PublishedAt) {
		return now
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.follow(view)
}

// follow takes in a view. The caller holds the lock.
func (m *Manager) follow(view *feed.View) *Snapshot {
	if now := m.current.Load(); now.view == view {
		return now
	}
	for name, servers := range view.Servers {
		m.of(name).take(m, view, servers)
	}
	for name := range view.Rollouts {
		if _, ok := view.Servers[name]; !ok {
			m.of(name).take(m, view, nil)
		}
	}
	return m.publish(view)
}

// publish makes what holds known. The caller holds the lock.
func (m *Manager) publish(view *feed.View) *Snapshot {
	next := &Snapshot{view: view, states: make(map[string]rollout.State, len(m.services))}
	for name, s := range m.services {
		next.states[name] = s.state
		next.active = next.active || s.active()
		next.ending = next.ending || s.state.Stage == rollout.Full || s.state.Stage == rollout.Migrating
	}
	m.current.Store(next)
	if next.active {
		select {
		case m.roused <- struct{}{}:
		default:
		}
	}
	return next
}

func (m *Manager) of(name string) *service {
	s := m.services[name]
	if s == nil {
		s = newService(name)
		m.services[name] = s
	}
	return s
}

// RoutesToTarget reports whether a request that begins goes to the new version of a service.
func (m *Manager) RoutesToTarget(view *feed.View, service, route string) bool {
	now := m.Snapshot(view)
	if !now.active || !m.drawn(now.State(service), service, route) {
		return false
	}
	return m.inTouch()
}

// inTouch reports whether what this daemon knows of the store is not out of date.
func (m *Manager) inTouch() bool {
	age, known := m.opts.Feed.ConfigAge()
	return known && age < touchAge
}

func (m *Manager) drawn(s rollout.State, service, route string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return s.RoutesToTarget(rand.Float64(), route, &m.of(service).mix)
}

// IsBlocked reports whether a version of a service may run nothing.
func (m *Manager) IsBlocked(view *feed.View, server routing.Server) bool {
	return m.Snapshot(view).State(server.Service).IsBlocked(server.Version)
}

// MigrateSignal returns a channel that is closed when answers under way at a server go on elsewhere.
func (m *Manager) MigrateSignal(view *feed.View, server routing.Server) <-chan struct{} {
	m.Snapshot(view)
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.of(server.Service).leaving(server.Version)
}

// believe takes in a state that this daemon decided or was told. The caller holds the lock.
func (m *Manager) believe(s *service, heard rollout.State, by string, reason rollout.Reason, f rollout.Analysis) {
	later := rollout.Merge(s.state, heard)
	if later == s.state {
		return
	}
	s.set(m, later, by, reason, f)
	m.publish(m.current.Load().view)
}

// Run looks after roll-outs until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	tick := time.NewTimer(idleTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-m.roused:
		}
		now := m.Snapshot(m.opts.Feed.View())
		every := idleTick
		if now.active {
			every = activeTick
			if now.ending {
				every = endTick
			}
			m.lookAfter(ctx)
		}
		tick.Reset(every)
	}
}

// lookAfter decides or tells, for each service of which a roll-out is under way.
func (m *Manager) lookAfter(ctx context.Context) {
	m.mu.Lock()
	var active []*service
	for _, s := range m.services {
		if s.active() && !s.busy {
			s.busy = true
			active = append(active, s)
		}
	}
	m.mu.Unlock()
	for _, s := range active {
		go func() {
			defer func() {
				m.mu.Lock()
				s.busy = false
				m.mu.Unlock()
			}()
			if m.decides(s) {
				m.decide(ctx, s)
			} else {
				m.report(ctx, s)
			}
		}()
	}
}
