// Package versions carries out rollouts: it determines which versions of a service's servers may
// serve a request, measures requests on them and, on one daemon of the fleet, the coordinator,
// decides the stages of the rollout.
//
// The coordinator of a service is the first daemon by rendezvous hashing, or the second if the first
// does not answer. All daemons report to it the samples that they have taken since the rollout
// began, so that a second after a change of coordinator the new one has the same evidence. The
// coordinator writes its decisions to the store on condition of the revision that it has read:
// after a pause or a partition it cannot overwrite a newer decision. A rollback is also sent to all
// daemons directly, and takes effect while the store is unreachable.
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
	// idleInterval and activeInterval are the times between two runs of the rollout loop without and
	// with an active rollout.
	idleInterval   = time.Second
	activeInterval = 100 * time.Millisecond
	// finishInterval replaces activeInterval once all new requests go to the target, because the last
	// responses on the baseline may end in less than activeInterval.
	finishInterval = 40 * time.Millisecond
	// maxConfigAge is the age of the configuration from which this daemon may be partitioned from all
	// others; it then routes no requests to a target version.
	maxConfigAge = 3200 * time.Millisecond
)

// Options configures a Manager.
type Options struct {
	Feed  *feed.Manager
	Clock feed.Clock
	Log   *event.Log
	Self  routing.VM
	// Dialer connects to other daemons; nil disables calls to them.
	Dialer *link.Dialer
	Limits rollout.Limits
	// Registerer receives the metrics; it may be nil.
	Registerer prometheus.Registerer
}

// Manager tracks the rollouts of all services.
type Manager struct {
	opts      Options
	bootID    uint64 // identifies this process
	peers     *peers
	metrics   *metrics
	limits    atomic.Pointer[rollout.Limits]
	activated chan struct{} // wakes Run when a rollout is active
	current   atomic.Pointer[Snapshot]

	mu       sync.Mutex // guards the rest
	services map[string]*service
	inFlight func(service string, s rollout.State) int
	// acceptsAny checks whether any of the servers accepts connections now.
	acceptsAny func([]routing.Server) bool
}

// Snapshot holds the rollout states of all services. It is immutable.
type Snapshot struct {
	view      *feed.View
	states    map[string]rollout.State
	active    bool // a rollout is active
	finishing bool // a rollout sends all new requests to its target
}

// State returns the rollout state by which the requests of a service are routed.
func (s *Snapshot) State(service string) rollout.State { return s.states[service] }

// New returns a Manager; Run starts it.
func New(o Options) *Manager {
	m := &Manager{
		opts: o, bootID: rand.Uint64(), peers: newPeers(o), metrics: newMetrics(o.Registerer), activated: make(chan struct{}, 1),
		services: map[string]*service{}, inFlight: func(string, rollout.State) int { return 0 },
		acceptsAny: func([]routing.Server) bool { return true },
	}
	m.SetLimits(o.Limits)
	m.current.Store(&Snapshot{})
	return m
}

// SetLimits sets the limits on the requests that an unproven version gets.
func (m *Manager) SetLimits(l rollout.Limits) { m.limits.Store(&l) }

// SetInFlightCounter sets the function that counts the requests in flight on servers of other versions
// than the target. Call it before Run.
func (m *Manager) SetInFlightCounter(f func(service string, s rollout.State) int) { m.inFlight = f }

// SetReachabilityCheck sets the function that checks whether any of the given servers accepts
// connections. Call it before Run.
func (m *Manager) SetReachabilityCheck(f func([]routing.Server) bool) { m.acceptsAny = f }

// Snapshot returns the rollout states after applying a view of the store. An older view than the
// last one is not applied.
func (m *Manager) Snapshot(view *feed.View) *Snapshot {
	current := m.current.Load()
	if current.view == view || current.view != nil && view.PublishedAt.Before(current.view.PublishedAt) {
		return current
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.applyView(view)
}

// applyView applies a view to all services and publishes the result. The caller holds the lock.
func (m *Manager) applyView(view *feed.View) *Snapshot {
	if current := m.current.Load(); current.view == view {
		return current
	}
	for name, servers := range view.Servers {
		m.service(name).applyStored(m, view, servers.VersionCounts())
	}
	for name := range view.Rollouts {
		if _, ok := view.Servers[name]; !ok {
			m.service(name).applyStored(m, view, feed.VersionCounts{})
		}
	}
	return m.publish(view)
}

// publish replaces the current snapshot. The caller holds the lock.
func (m *Manager) publish(view *feed.View) *Snapshot {
	next := &Snapshot{view: view, states: make(map[string]rollout.State, len(m.services))}
	for name, s := range m.services {
		next.states[name] = s.routedState(m)
		next.active = next.active || s.isActive()
		next.finishing = next.finishing || s.state.Stage == rollout.Full || s.state.Stage == rollout.Migrating
	}
	m.current.Store(next)
	if next.active {
		select {
		case m.activated <- struct{}{}:
		default:
		}
	}
	return next
}

// service returns the state kept for a service. The caller holds the lock.
func (m *Manager) service(name string) *service {
	s := m.services[name]
	if s == nil {
		s = newService(name)
		m.services[name] = s
	}
	return s
}

// RoutesToTarget reports whether a new request goes to the target version of a service.
func (m *Manager) RoutesToTarget(view *feed.View, service, route string) bool {
	snapshot := m.Snapshot(view)
	if !snapshot.active || !m.drawTarget(snapshot.State(service), service, route) {
		return false
	}
	return m.isConfigFresh()
}

// isConfigFresh reports whether this daemon's configuration is known and younger than maxConfigAge.
func (m *Manager) isConfigFresh() bool {
	age, known := m.opts.Feed.ConfigAge()
	return known && age < maxConfigAge
}

// drawTarget counts a new request and draws whether it goes to the target.
func (m *Manager) drawTarget(s rollout.State, service, route string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return s.RoutesToTarget(rand.Float64(), route, &m.service(service).routeCounts)
}

// IsBlocked reports whether a server must not get requests because of its version.
func (m *Manager) IsBlocked(view *feed.View, server routing.Server) bool {
	return m.Snapshot(view).State(server.Service).IsBlocked(server.Version)
}

// MigrateSignal returns a channel that is closed when responses in progress on a server must continue
// on another one.
func (m *Manager) MigrateSignal(view *feed.View, server routing.Server) <-chan struct{} {
	m.Snapshot(view)
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.service(server.Service).migrateSignal(server.Version)
}

// mergeState merges a state that this daemon has decided or another daemon has sent. The caller holds
// the lock.
func (m *Manager) mergeState(s *service, state rollout.State, by string, reason rollout.Reason, f rollout.Analysis) {
	merged := rollout.Merge(s.state, state)
	if merged == s.state {
		return
	}
	s.setState(m, merged, by, reason, f)
	m.publish(m.current.Load().view)
}

// Run processes the active rollouts until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	tick := time.NewTimer(idleInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-m.activated:
		}
		snapshot := m.Snapshot(m.opts.Feed.View())
		interval := idleInterval
		if snapshot.active {
			interval = activeInterval
			if snapshot.finishing {
				interval = finishInterval
			}
			m.processActive(ctx)
		}
		tick.Reset(interval)
	}
}

// processActive starts, for each active rollout, a decision if this daemon is the coordinator, and
// otherwise a report to it.
func (m *Manager) processActive(ctx context.Context) {
	m.mu.Lock()
	var active []*service
	for _, s := range m.services {
		if s.isActive() && !s.busy {
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
			if m.isCoordinator(s) {
				m.decide(ctx, s)
			} else {
				m.report(ctx, s)
			}
		}()
	}
}
