package forward

import (
	"sync"
	"time"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/absence"
	"mallowwind.dev/decision/repeats"
	"mallowwind.dev/decision/route"
	"mallowwind.dev/serve/versions"
)

const (
	// minSuspicion is how long a server that failed is a last resort. One behind a
	// link that loses packets is as good as before in a moment.
	minSuspicion = 2 * time.Second
	// maxSuspicion is for a server that fails each time it is tried, for twice as
	// long with each: one that crashed returns under another id, and its entry
	// stays for some seconds.
	maxSuspicion = 8 * time.Second
)

// serverLoad is what this daemon does at one server.
type serverLoad struct {
	calls        route.Load
	prefilling   int
	running      int
	replicas     int
	suspectUntil time.Time
	suspectFor   time.Duration // of the last failure, 0 after a success
}

// isSuspect reports whether the server failed a moment ago.
func (l *serverLoad) isSuspect(now time.Time) bool { return now.Before(l.suspectUntil) }

// pool knows the servers and this daemon's work at each.
type pool struct {
	mu        sync.Mutex
	self      routing.VM
	startedAt time.Time
	retryRule repeats.Policy
	view      *feed.View
	layouts   map[string]*serverSet
	// loads are by life: what was learned of a server ends with it.
	loads   map[routing.Incarnation]*serverLoad
	budgets map[string]*repeats.Budget
	// successors are the lives that have begun at the address of one in the view, by
	// the life there.
	successors map[routing.Incarnation]routing.Incarnation
	// down are the servers that failed and have not been back since, by address.
	down     map[string]downServer
	absences map[string]*absence.Estimator // by service
	// onWorkChanged is told of servers at which this daemon's prompts, answers or suspicion are
	// others than before. It is called without the lock.
	onWorkChanged func(routing.Server)
	limits        *rateLimits // of servers; nil where none is known
	// versions says which servers may serve, as of snapshot.
	versions *versions.Manager
	snapshot *versions.Snapshot
}

// downServer is a server that failed.
type downServer struct {
	incarnation routing.Incarnation
	since       time.Time
}

func newPool(self routing.VM, rule repeats.Policy, versions *versions.Manager) *pool {
	return &pool{
		self: self, startedAt: time.Now(), retryRule: rule, layouts: map[string]*serverSet{},
		loads: map[routing.Incarnation]*serverLoad{}, budgets: map[string]*repeats.Budget{},
		successors: map[routing.Incarnation]routing.Incarnation{},
		down:       map[string]downServer{}, absences: map[string]*absence.Estimator{},
		onWorkChanged: func(routing.Server) {}, versions: versions,
	}
}

// choice is a server with the reason it was chosen for.
type choice struct {
	server routing.Server
	load   *serverLoad
	reason string
}

// choose runs pick with the layout of a service under the lock; without servers
// there is no choice.
func (p *pool) choose(view *feed.View, service string, pick func(*serverSet) (choice, bool)) (choice, bool) {
	now := p.versions.Now(view)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updateView(view, now)
	l := p.layouts[service]
	if l == nil {
		return choice{}, false
	}
	return pick(l)
}

// recordFailure makes a server a last resort for a while.
func (p *pool) recordFailure(now time.Time, s routing.Server) {
	if p.suspectFrom(now, s) {
		p.onWorkChanged(s)
	}
}

// suspectFrom begins the suspicion of a server, if it is known.
func (p *pool) suspectFrom(now time.Time, s routing.Server) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	one := p.loads[s.Incarnation()]
	if one == nil {
		return false
	}
	one.suspectFor = min(max(2*one.suspectFor, minSuspicion), maxSuspicion)
	one.suspectUntil = now.Add(one.suspectFor)
	if _, known := p.down[s.Address]; !known {
		p.down[s.Address] = downServer{incarnation: s.Incarnation(), since: now}
	}
	return true
}

// recordSuccess ends the suspicion of a server that has answered.
func (p *pool) recordSuccess(c choice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.load.suspectFor = 0
	if p.down[c.server.Address].incarnation == c.server.Incarnation() {
		delete(p.down, c.server.Address) // it was there all the time
	}
}

// isSuspect reports whether a server failed a moment ago.
func (p *pool) isSuspect(now time.Time, life routing.Incarnation) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	one := p.loads[life]
	return one != nil && one.isSuspect(now)
}

// addLoad changes this daemon's work at a server.
func (p *pool) addLoad(c choice, reading, running, copies int) {
	if c.load == nil {
		return
	}
	p.mu.Lock()
	c.load.prefilling += reading
	c.load.running += running
	c.load.replicas += copies
	p.mu.Unlock()
	if reading != 0 || running != 0 {
		p.onWorkChanged(c.server)
	}
}
