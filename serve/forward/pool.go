package forward

import (
	"strings"
	"sync"
	"time"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/outage"
	"mallowwind.dev/decision/retrybudget"
	"mallowwind.dev/decision/route"
	"mallowwind.dev/serve/versions"
)

const (
	// minSuspicion is how long a failed server is used only as a last resort. A server behind a
	// link that drops packets recovers in a moment.
	minSuspicion = 2 * time.Second
	// maxSuspicion bounds the suspicion of a server that fails on every try, which is as long as the
	// server has failed. A crashed server returns under another id, while its old entry remains for
	// some seconds.
	maxSuspicion = 8 * time.Second
)

// serverLoad is this daemon's work at one server.
type serverLoad struct {
	calls        route.Load
	prefilling   int
	running      int
	replicas     int
	suspectUntil time.Time
	// failingSince is the first failure of a row in which each follows soon after the suspicion by the
	// one before; zero after a success.
	failingSince time.Time
}

// isSuspect reports whether the server failed recently.
func (l *serverLoad) isSuspect(now time.Time) bool { return now.Before(l.suspectUntil) }

// pool tracks the servers and this daemon's work at each.
type pool struct {
	mu         sync.Mutex
	self       routing.VM
	startedAt  time.Time
	retryRule  retrybudget.Policy
	view       *feed.View
	vmsView    *feed.View            // the first view with the current entry VMs
	serverSets map[string]*serverSet // by service
	canarySets map[string]*serverSet // by service
	// loads are kept by incarnation: what was learned of a server does not outlive its process.
	loads   map[routing.Incarnation]*serverLoad
	budgets map[string]*retrybudget.Budget
	// fleet holds the daemons that share the budgets, by the entry VMs last observed.
	fleet    *retrybudget.Fleet
	fleetVMs []routing.VM
	// successors maps an incarnation listed in the view to a newer one at the same address.
	successors       map[routing.Incarnation]routing.Incarnation
	successorChanges int // counts the changes of successors
	leaving          leavingServers
	// down holds the servers that failed and have not returned since, by address.
	down      map[string]downServer
	downtimes map[string]*outage.Estimator // by service
	// onWorkChanged is called, without the lock, for each server at which this daemon's prefills,
	// running answers or suspicion have changed.
	onWorkChanged func(routing.Server)
	limits        *serverLimits    // rate limits and pauses of servers; nil in tests of the pool alone
	brittle       *brittleServices // nil in tests of the pool alone
	paces         *enginePaces     // nil in tests of the pool alone
	freed         chan struct{}    // closed at the next end of a call; nil if nobody waits for one
	// versions decides which servers may serve; snapshot is its last state applied.
	versions *versions.Manager
	snapshot *versions.Snapshot
}

// downServer is a server that failed.
type downServer struct {
	service     string
	incarnation routing.Incarnation
	since       time.Time
}

func newPool(self routing.VM, rule retrybudget.Policy, versions *versions.Manager) *pool {
	return &pool{
		self: self, startedAt: time.Now(), retryRule: rule, serverSets: map[string]*serverSet{}, canarySets: map[string]*serverSet{},
		loads: map[routing.Incarnation]*serverLoad{}, budgets: map[string]*retrybudget.Budget{}, fleet: retrybudget.NewFleet(self.ID),
		successors: map[routing.Incarnation]routing.Incarnation{}, leaving: newLeavingServers(),
		down: map[string]downServer{}, downtimes: map[string]*outage.Estimator{},
		onWorkChanged: func(routing.Server) {}, versions: versions,
	}
}

// choice is a chosen server and the reason for the choice.
type choice struct {
	server routing.Server
	load   *serverLoad
	reason string
}

// choose runs pick on the server set of a service under the lock. There is no choice if the service
// has no servers.
func (p *pool) choose(view *feed.View, service string, pick func(*serverSet) (choice, bool)) (choice, bool) {
	snapshot := p.versions.Snapshot(view)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updateView(view, snapshot)
	l := p.setFor(service)
	if l == nil {
		return choice{}, false
	}
	return pick(l)
}

// setFor returns the server set of a service, or that of its canaries for a canaryKey.
func (p *pool) setFor(key string) *serverSet {
	if service, ok := strings.CutSuffix(key, canarySuffix); ok {
		return p.canarySet(service)
	}
	return p.serverSet(key)
}

// recordFailure makes a server a last resort for a while.
func (p *pool) recordFailure(now time.Time, s routing.Server) {
	if p.markSuspect(now, s) {
		p.onWorkChanged(s)
	}
}

// markSuspect starts or extends the suspicion of a server and reports whether the server is known. The
// suspicion depends on how long the server has failed and not on how many requests noticed: a server that
// is silent for a second fails all that reach it in that second.
func (p *pool) markSuspect(now time.Time, s routing.Server) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	load := p.loads[s.Incarnation()]
	if load == nil {
		return false
	}
	if load.failingSince.IsZero() || now.Sub(load.suspectUntil) > minSuspicion {
		load.failingSince = now
	}
	load.suspectUntil = now.Add(min(max(now.Sub(load.failingSince), minSuspicion), maxSuspicion))
	if _, known := p.down[s.Address]; !known {
		p.down[s.Address] = downServer{service: s.Service, incarnation: s.Incarnation(), since: now}
	}
	return true
}

// recordSuccess records that a server has answered: it no longer fails on every try.
func (p *pool) recordSuccess(c choice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.load.failingSince = time.Time{}
	if p.down[c.server.Address].incarnation == c.server.Incarnation() {
		delete(p.down, c.server.Address) // the server was up all the time
	}
}

// isSuspect reports whether a server failed recently.
func (p *pool) isSuspect(now time.Time, incarnation routing.Incarnation) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	load := p.loads[incarnation]
	return load != nil && load.isSuspect(now)
}

// addLoad adds to the counts of this daemon's work at a server.
func (p *pool) addLoad(c choice, prefilling, running, replicas int) {
	if c.load == nil {
		return
	}
	p.mu.Lock()
	c.load.prefilling += prefilling
	c.load.running += running
	c.load.replicas += replicas
	p.mu.Unlock()
	if prefilling != 0 || running != 0 {
		p.onWorkChanged(c.server)
	}
}
