package forward

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/prompts"
	"mallowwind.dev/decision/repeats"
	"mallowwind.dev/decision/route"
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

// defaultSlots holds for servers that do not say how many requests they run.
const defaultSlots = 16

// load is what this daemon does at one server.
type load struct {
	plain        route.Load
	reading      int
	running      int
	copies       int
	suspectUntil time.Time
	suspicion    time.Duration // of the last failure, 0 after a success
}

// layout is one service's servers in one view.
type layout struct {
	servers []routing.Server
	loads   []*load
	home    []bool
	table   *route.Table
	index   map[string]int // by id
}

// pool knows the servers and this daemon's work at each.
type pool struct {
	mu      sync.Mutex
	self    routing.VM
	began   time.Time
	rule    repeats.Rule
	view    *feed.View
	layouts map[string]*layout
	// loads are by life: what was learned of a server ends with it.
	loads   map[routing.Life]*load
	budgets map[string]*repeats.Budget
	// successors are the lives that have begun at the address of one in the view, by
	// the life there.
	successors map[routing.Life]routing.Life
}

func newPool(self routing.VM, rule repeats.Rule) *pool {
	return &pool{
		self: self, began: time.Now(), rule: rule, layouts: map[string]*layout{},
		loads: map[routing.Life]*load{}, budgets: map[string]*repeats.Budget{},
		successors: map[routing.Life]routing.Life{},
	}
}

// follow builds the layouts of a new view. It is called under the lock.
func (p *pool) follow(view *feed.View) {
	if p.view == view {
		return
	}
	p.view = view
	p.layouts = make(map[string]*layout, len(view.Servers))
	used := make(map[routing.Life]*load, len(p.loads))
	for service, servers := range view.Servers {
		p.layouts[service] = p.layout(servers, used)
	}
	p.loads = used
	p.forgetSuccessors()
}

// forgetSuccessors drops those whose predecessors are not in the view any more.
func (p *pool) forgetSuccessors() {
	listed := map[routing.Life]bool{}
	for _, servers := range p.view.Servers {
		for _, s := range servers {
			listed[s.Life()] = true
		}
	}
	maps.DeleteFunc(p.successors, func(old, _ routing.Life) bool { return !listed[old] })
}

// succeed notes that a server of the view has started anew at its address. The view
// shows that later, and not at all while the store is out of reach: what the life
// before held would be asked for in vain, and where the id has changed every request
// to that address would be turned away.
func (p *pool) succeed(view *feed.View, old, next routing.Life) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.successors[p.listed(old)] = next
	p.view = nil // the layouts are built anew
	p.follow(view)
}

// renewed notes that a server has begun another life under its id; it reports whether
// that was news.
func (p *pool) renewed(view *feed.View, old, next routing.Life) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.follow(view)
	listed := p.listed(old)
	if known, ok := p.successors[listed]; ok && known.ID == next.ID && known.Born >= next.Born {
		return false
	}
	for _, servers := range view.Servers {
		for _, s := range servers {
			if s.ID == next.ID && s.Born >= next.Born {
				return false // the view shows it already
			}
		}
	}
	p.successors[listed] = next
	p.view = nil // the layouts are built anew
	p.follow(view)
	return true
}

// listed is the life that the view shows of a server: its own or its predecessor's.
func (p *pool) listed(life routing.Life) routing.Life {
	for old, next := range p.successors {
		if next == life {
			return old
		}
	}
	return life
}

func (p *pool) layout(servers []routing.Server, used map[routing.Life]*load) *layout {
	l := &layout{index: map[string]int{}}
	var candidates []route.Candidate
	for _, s := range servers {
		if next, ok := p.successors[s.Life()]; ok {
			s.ID, s.Born = next.ID, next.Born
		}
		one := p.loads[s.Life()]
		if one == nil {
			one = &load{}
		}
		used[s.Life()] = one
		if s.Leaving {
			continue
		}
		l.index[s.ID] = len(l.servers)
		l.servers = append(l.servers, s)
		l.loads = append(l.loads, one)
		candidates = append(candidates, route.Candidate{
			ID: s.ID, Hash: xxhash.Sum64String(s.ID), Rank: p.rank(s), Load: &one.plain,
		})
	}
	l.table = route.NewTable(candidates)
	l.home = p.homes(l.servers)
	return l
}

func (p *pool) rank(s routing.Server) route.Rank {
	if s.Zone == p.self.Zone {
		return route.SameZone
	}
	return route.SameRegion
}

// homes marks this daemon's window of each zone's servers.
func (p *pool) homes(servers []routing.Server) []bool {
	self := xxhash.Sum64String(p.self.ID)
	daemons := []uint64{self}
	for _, vm := range p.view.VMs {
		if vm.ID != p.self.ID && !vm.Leaving {
			daemons = append(daemons, xxhash.Sum64String(vm.ID))
		}
	}
	zones := map[string][]int{}
	for i, s := range servers {
		zones[s.Zone] = append(zones[s.Zone], i)
	}
	home := make([]bool, len(servers))
	for _, members := range zones {
		hashes := make([]uint64, len(members))
		for k, i := range members {
			hashes[k] = xxhash.Sum64String(servers[i].Address)
		}
		size := (len(members) + len(daemons) - 1) / len(daemons)
		for _, k := range route.Subset(self, daemons, hashes, size) {
			home[members[k]] = true
		}
	}
	return home
}

// share is this daemon's part of the fleet's budgets. The hash of its id takes the
// place of an even offset, which would need the same list at every daemon.
func (p *pool) share() repeats.Share {
	share := repeats.Share{Daemons: 1}
	if p.view != nil && len(p.view.VMs) > 1 {
		share.Daemons = len(p.view.VMs)
		share.Offset = float64(xxhash.Sum64String(p.self.ID)>>11) / (1 << 53)
	}
	return share
}

func (p *pool) budget(service string) *repeats.Budget {
	b, ok := p.budgets[service]
	if !ok {
		b = repeats.New(p.rule, p.began)
		p.budgets[service] = b
	}
	return b
}

// setRule changes the budgets of all services, which begin anew: without a part
// of the slack, since what was repeated before is forgotten.
func (p *pool) setRule(rule repeats.Rule) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if rule != p.rule {
		p.rule, p.began = rule, time.Now()
		clear(p.budgets)
	}
}

// request counts a caller's request to a service.
func (p *pool) request(now time.Time, service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget(service).Request(now)
}

// repeat asks for one more send of a request.
func (p *pool) repeat(now time.Time, service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget(service).Repeat(now, p.share())
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
	p.mu.Lock()
	defer p.mu.Unlock()
	p.follow(view)
	l := p.layouts[service]
	if l == nil {
		return choice{}, false
	}
	return pick(l)
}

// plain chooses a server for a request that is no prompt.
func (p *pool) plain(now time.Time, view *feed.View, service string, exclude []routing.Life) (choice, bool) {
	return p.in(view, service, func(l *layout) (choice, bool) { return p.pickPlain(now, l, exclude) })
}

func (p *pool) pickPlain(now time.Time, l *layout, exclude []routing.Life) (choice, bool) {
	for i, one := range l.loads {
		one.plain.Limit = int32(l.servers[i].Slots)
		if l.servers[i].Slots <= 0 {
			one.plain.Limit = defaultSlots
		}
		if now.Before(one.suspectUntil) {
			one.plain.Limit = 0
		}
	}
	r := l.table.Pick(&route.Query{Exclude: l.ids(exclude), Random: rand.Uint64()})
	if r.Index < 0 {
		return p.lastResort(l, exclude)
	}
	i := l.index[l.table.At(r.Index).ID]
	return p.take(l, i, string(r.Reason))
}

// lastResort is any server that is not excluded: all are suspect or full, and a
// server that is sends the request back itself.
func (p *pool) lastResort(l *layout, exclude []routing.Life) (choice, bool) {
	best := -1
	for i, s := range l.servers {
		if !slices.Contains(exclude, s.Life()) && (best < 0 || l.loads[i].plain.InFlight < l.loads[best].plain.InFlight) {
			best = i
		}
	}
	if best < 0 {
		return choice{}, false
	}
	return p.take(l, best, "last_resort")
}

func (p *pool) take(l *layout, i int, reason string) (choice, bool) {
	l.loads[i].plain.InFlight++
	return l.choose(i, reason)
}

func (p *pool) release(c choice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.load.plain.InFlight--
}

// failed makes a server a last resort for a while.
func (p *pool) failed(now time.Time, life routing.Life) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if one := p.loads[life]; one != nil {
		one.suspicion = min(max(2*one.suspicion, suspicion), maxSuspicion)
		one.suspectUntil = now.Add(one.suspicion)
	}
}

// worked ends the suspicion of a server that has answered.
func (p *pool) worked(c choice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.load.suspicion = 0
}

// suspect reports whether a server failed a moment ago.
func (p *pool) suspect(now time.Time, life routing.Life) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	one := p.loads[life]
	return one != nil && now.Before(one.suspectUntil)
}

func (p *pool) engines(now time.Time, l *layout, exclude []routing.Life) []prompts.Engine {
	engines := make([]prompts.Engine, len(l.servers))
	for i, s := range l.servers {
		one := l.loads[i]
		engines[i] = prompts.Engine{
			Zone: s.Zone, Home: l.home[i], Reading: one.reading, Running: one.running, Copies: one.copies,
			Suspect: now.Before(one.suspectUntil), Excluded: slices.Contains(exclude, s.Life()),
		}
	}
	return engines
}

// readers returns the engines that may read a prompt, the best first and n at most.
func (p *pool) readers(now time.Time, view *feed.View, service string, n int, exclude []routing.Life) []choice {
	var list []choice
	p.in(view, service, func(l *layout) (choice, bool) {
		for _, c := range prompts.Read(p.engines(now, l, exclude), n, false, rand.Uint64()) {
			one, _ := l.choose(c.Index, string(c.Reason))
			list = append(list, one)
		}
		return choice{}, false
	})
	return list
}

// reader returns the engine that is the first to read a prompt where others is what all
// other daemons have under way, and counts the prompt there at once: a daemon that asks
// in the next moment must know of it.
func (p *pool) reader(now time.Time, view *feed.View, service string, others workAt, exclude []routing.Life) (choice, bool) {
	return p.in(view, service, func(l *layout) (choice, bool) {
		engines := p.engines(now, l, exclude)
		for i, s := range l.servers {
			engines[i].Reading += others[s.Life()].reading
			engines[i].Running += others[s.Life()].running
		}
		for _, c := range prompts.Read(engines, 1, true, rand.Uint64()) {
			l.loads[c.Index].reading++
			return l.choose(c.Index, string(c.Reason))
		}
		return choice{}, false
	})
}

// work is what this daemon has under way at the engines of a service.
func (p *pool) work(view *feed.View, service string) workAt {
	at := workAt{}
	p.in(view, service, func(l *layout) (choice, bool) {
		for i, s := range l.servers {
			if one := l.loads[i]; one.reading > 0 || one.running > 0 {
				at[s.Life()] = work{reading: one.reading, running: one.running}
			}
		}
		return choice{}, false
	})
	return at
}

// reading is how many prompts of this daemon a server reads.
func (p *pool) reading(c choice) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.load.reading
}

// copyPlace chooses the engine that keeps a copy of a run at another.
func (p *pool) copyPlace(now time.Time, view *feed.View, at routing.Server, exclude []routing.Life) (choice, bool) {
	return p.in(view, at.Service, func(l *layout) (choice, bool) {
		engines := p.engines(now, l, append(slices.Clone(exclude), at.Life()))
		return l.choose(prompts.Copy(engines, at.Zone, rand.Uint64()), "")
	})
}

// at returns the server that has an address now.
func (p *pool) at(view *feed.View, service, address string) (choice, bool) {
	return p.in(view, service, func(l *layout) (choice, bool) {
		i := slices.IndexFunc(l.servers, func(s routing.Server) bool { return s.Address == address })
		return l.choose(i, "holds_copy")
	})
}

// server returns a server whose life has not ended.
func (p *pool) server(view *feed.View, service string, life routing.Life) (choice, bool) {
	return p.in(view, service, func(l *layout) (choice, bool) {
		i, ok := l.index[life.ID]
		if !ok || l.servers[i].Life() != life {
			i = -1
		}
		return l.choose(i, "holds_prompt")
	})
}

// lives reports whether a server is still the one it was: neither leaving or gone
// nor started anew or replaced at its address, and not suspect. A zero choice does
// not live.
func (p *pool) lives(now time.Time, view *feed.View, c choice) bool {
	if c.load == nil || p.suspect(now, c.server.Life()) {
		return false
	}
	_, ok := p.server(view, c.server.Service, c.server.Life())
	return ok
}

// ids are those of the servers here among the lives given.
func (l *layout) ids(lives []routing.Life) []string {
	var ids []string
	for _, life := range lives {
		if i, ok := l.index[life.ID]; ok && l.servers[i].Life() == life {
			ids = append(ids, life.ID)
		}
	}
	return ids
}

// choose returns the server at index i, none for a negative one.
func (l *layout) choose(i int, reason string) (choice, bool) {
	if i < 0 {
		return choice{}, false
	}
	return choice{server: l.servers[i], load: l.loads[i], reason: reason}, true
}

// count changes this daemon's work at a server.
func (p *pool) count(c choice, reading, running, copies int) {
	if c.load == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c.load.reading += reading
	c.load.running += running
	c.load.copies += copies
}
