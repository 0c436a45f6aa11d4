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
	// suspicion is how long a server that failed is a last resort. One behind a
	// link that loses packets is as good as before in a moment.
	suspicion = 2 * time.Second
	// maxSuspicion is for a server that fails each time it is tried, for twice as
	// long with each: one that crashed returns under another id, and its entry
	// stays for some seconds.
	maxSuspicion = 8 * time.Second
)

// load is what this daemon does at one server.
type load struct {
	plain        route.Load
	reading      int
	running      int
	copies       int
	suspectUntil time.Time
	suspicion    time.Duration // of the last failure, 0 after a success
}

// suspect reports whether the server failed a moment ago.
func (l *load) suspect(now time.Time) bool { return now.Before(l.suspectUntil) }

// pool knows the servers and this daemon's work at each.
type pool struct {
	mu      sync.Mutex
	self    routing.VM
	began   time.Time
	rule    repeats.Policy
	view    *feed.View
	layouts map[string]*layout
	// loads are by life: what was learned of a server ends with it.
	loads   map[routing.Life]*load
	budgets map[string]*repeats.Budget
	// successors are the lives that have begun at the address of one in the view, by
	// the life there.
	successors map[routing.Life]routing.Life
	// away are the servers that failed and have not been back since, by address.
	away     map[string]gone
	absences map[string]*absence.Absence // by service
	// changed is told of servers at which this daemon's prompts, answers or suspicion are
	// others than before. It is called without the lock.
	changed func(routing.Server)
	limits  *limits // of servers; nil where none is known
	// versions says which servers may serve, as of snapshot.
	versions *versions.Manager
	snapshot *versions.Snapshot
}

// gone is a server that failed.
type gone struct {
	life  routing.Life
	since time.Time
}

func newPool(self routing.VM, rule repeats.Policy, versions *versions.Manager) *pool {
	return &pool{
		self: self, began: time.Now(), rule: rule, layouts: map[string]*layout{},
		loads: map[routing.Life]*load{}, budgets: map[string]*repeats.Budget{},
		successors: map[routing.Life]routing.Life{},
		away:       map[string]gone{}, absences: map[string]*absence.Absence{},
		changed: func(routing.Server) {}, versions: versions,
	}
}

// choice is a server with the reason it was chosen for.
type choice struct {
	server routing.Server
	load   *load
	reason string
}

// in runs pick with the layout of a service under the lock; without servers
// there is no choice.
func (p *pool) in(view *feed.View, service string, pick func(*layout) (choice, bool)) (choice, bool) {
	now := p.versions.Now(view)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.follow(view, now)
	l := p.layouts[service]
	if l == nil {
		return choice{}, false
	}
	return pick(l)
}

// failed makes a server a last resort for a while.
func (p *pool) failed(now time.Time, s routing.Server) {
	if p.suspectFrom(now, s) {
		p.changed(s)
	}
}

// suspectFrom begins the suspicion of a server, if it is known.
func (p *pool) suspectFrom(now time.Time, s routing.Server) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	one := p.loads[s.Life()]
	if one == nil {
		return false
	}
	one.suspicion = min(max(2*one.suspicion, suspicion), maxSuspicion)
	one.suspectUntil = now.Add(one.suspicion)
	if _, known := p.away[s.Address]; !known {
		p.away[s.Address] = gone{life: s.Life(), since: now}
	}
	return true
}

// worked ends the suspicion of a server that has answered.
func (p *pool) worked(c choice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.load.suspicion = 0
	if p.away[c.server.Address].life == c.server.Life() {
		delete(p.away, c.server.Address) // it was there all the time
	}
}

// suspect reports whether a server failed a moment ago.
func (p *pool) suspect(now time.Time, life routing.Life) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	one := p.loads[life]
	return one != nil && one.suspect(now)
}

// count changes this daemon's work at a server.
func (p *pool) count(c choice, reading, running, copies int) {
	if c.load == nil {
		return
	}
	p.mu.Lock()
	c.load.reading += reading
	c.load.running += running
	c.load.copies += copies
	p.mu.Unlock()
	if reading != 0 || running != 0 {
		p.changed(c.server)
	}
}
