package forward

import (
	"github.com/cespare/xxhash/v2"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/prompts"
	"mallowwind.dev/decision/route"
	"mallowwind.dev/serve/versions"
)

// serverSet is one service's servers in one view.
type serverSet struct {
	servers []routing.Server
	loads   []*serverLoad
	home    []bool
	seats   []prompts.HashedEngine
	table   *route.Table
	index   map[string]int // by id
}

// updateView builds the layouts of a new view, or of other versions that may serve. It is called
// under the lock.
func (p *pool) updateView(view *feed.View, now *versions.Snapshot) {
	if p.view == view && p.snapshot == now {
		return
	}
	p.view, p.snapshot = view, now
	p.layouts = make(map[string]*serverSet, len(view.Servers))
	used := make(map[routing.Incarnation]*serverLoad, len(p.loads))
	for service, servers := range view.Servers {
		state := now.Of(service)
		steady, trial := split(servers, state)
		p.layouts[service] = p.buildServerSet(steady, used)
		if state.Stage.IsRunning() {
			p.layouts[trialOf(service)] = p.buildServerSet(trial, used)
			for _, s := range servers { // what is under way at all of them is still counted
				p.currentServer(s, used)
			}
		}
	}
	p.loads = used
	p.forgetSuccessors()
	p.recordReturns()
}

func (p *pool) buildServerSet(servers []routing.Server, used map[routing.Incarnation]*serverLoad) *serverSet {
	l := &serverSet{index: map[string]int{}}
	var candidates []route.Candidate
	for _, s := range servers {
		s, one, ok := p.currentServer(s, used)
		if !ok || s.Draining {
			continue
		}
		l.index[s.ID] = len(l.servers)
		l.servers = append(l.servers, s)
		l.loads = append(l.loads, one)
		hash := xxhash.Sum64String(s.ID)
		l.seats = append(l.seats, prompts.HashedEngine{Zone: s.Zone, Hash: hash})
		candidates = append(candidates, route.Candidate{ID: s.ID, Hash: hash, Rank: p.rank(s), Load: &one.calls})
	}
	l.table = route.NewTable(candidates)
	l.home = p.homes(l.servers)
	return l
}

// currentServer returns the server that is at the place of one in the view, with this daemon's work there,
// which it adds to that in use; ok is false where there is none any more.
func (p *pool) currentServer(s routing.Server, used map[routing.Incarnation]*serverLoad) (at routing.Server, one *serverLoad, ok bool) {
	if next, ok := p.successors[s.Incarnation()]; ok {
		if p.view.HasDeparted(next.ID) {
			return s, nil, false // the entry is of a life that ended before
		}
		s.ID, s.StartedAtMS = next.ID, next.StartedAtMS
	}
	if one = used[s.Incarnation()]; one == nil {
		if one = p.loads[s.Incarnation()]; one == nil {
			one = &serverLoad{}
		}
		used[s.Incarnation()] = one
	}
	return s, one, true
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
		if vm.ID != p.self.ID && !vm.Draining {
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

// homesOf are the engines that go first for a prompt whose own part is given: this daemon's
// homes, or where the engines are too many to be asked all, those of the prompt's window.
func (l *serverSet) homesOf(part string) []bool {
	if part == "" || !windowed(len(l.servers)) {
		return l.home
	}
	home := make([]bool, len(l.servers))
	for _, i := range prompts.PlacementCandidates(xxhash.Sum64String(part), l.seats) {
		home[i] = true
	}
	return home
}

// serversAt are the servers at indices.
func (l *serverSet) serversAt(indices []int) []routing.Server {
	servers := make([]routing.Server, len(indices))
	for n, i := range indices {
		servers[n] = l.servers[i]
	}
	return servers
}

// windowed reports whether a service has too many engines for all to be asked what they
// hold, so that prompts are placed, and looked for, in windows of their own.
func windowed(engines int) bool { return engines > maxScanned }

// indexOf is the index of the server whose present life is given, -1 if there is none.
func (l *serverSet) indexOf(life routing.Incarnation) int {
	if i, ok := l.index[life.ID]; ok && l.servers[i].Incarnation() == life {
		return i
	}
	return -1
}

// idsOf are those of the servers here among the lives given.
func (l *serverSet) idsOf(lives []routing.Incarnation) []string {
	var ids []string
	for _, life := range lives {
		if l.indexOf(life) >= 0 {
			ids = append(ids, life.ID)
		}
	}
	return ids
}

// choiceAt returns the server at index i, none for a negative one.
func (l *serverSet) choiceAt(i int, reason string) (choice, bool) {
	if i < 0 {
		return choice{}, false
	}
	return choice{server: l.servers[i], load: l.loads[i], reason: reason}, true
}
