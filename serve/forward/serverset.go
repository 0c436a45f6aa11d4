package forward

import (
	"github.com/cespare/xxhash/v2"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/prompts"
	"mallowwind.dev/decision/route"
	"mallowwind.dev/serve/versions"
)

// serverSet holds the servers of one service in one view.
type serverSet struct {
	servers   []routing.Server
	loads     []*serverLoad
	preferred []bool
	seats     []prompts.HashedEngine
	table     *route.Table
	index     map[string]int // by server id
}

// updateView rebuilds the server sets after a change of the view or of the versions that may serve.
// The caller holds p.mu.
func (p *pool) updateView(view *feed.View, snapshot *versions.Snapshot) {
	if p.view == view && p.snapshot == snapshot {
		return
	}
	p.view, p.snapshot = view, snapshot
	p.serverSets = make(map[string]*serverSet, len(view.Servers))
	used := make(map[routing.Incarnation]*serverLoad, len(p.loads))
	for service, servers := range view.Servers {
		state := snapshot.State(service)
		steady, canaries := splitByVersion(servers, state)
		p.serverSets[service] = p.buildServerSet(steady, used)
		if state.Stage.IsRunning() {
			p.serverSets[canaryKey(service)] = p.buildServerSet(canaries, used)
			for _, s := range servers { // keeps counting the work at all of them
				p.currentServer(s, used)
			}
		}
	}
	p.loads = used
	p.pruneSuccessors()
	p.recordReturns()
}

func (p *pool) buildServerSet(servers []routing.Server, used map[routing.Incarnation]*serverLoad) *serverSet {
	l := &serverSet{index: map[string]int{}}
	var candidates []route.Candidate
	for _, s := range servers {
		s, load, ok := p.currentServer(s, used)
		if !ok || s.Draining {
			continue
		}
		l.index[s.ID] = len(l.servers)
		l.servers = append(l.servers, s)
		l.loads = append(l.loads, load)
		hash := xxhash.Sum64String(s.ID)
		l.seats = append(l.seats, prompts.HashedEngine{Zone: s.Zone, Hash: hash})
		candidates = append(candidates, route.Candidate{ID: s.ID, Hash: hash, Rank: p.rank(s), Load: &load.calls})
	}
	l.table = route.NewTable(candidates)
	l.preferred = p.localSubset(l.servers)
	return l
}

// currentServer returns the current incarnation of a server listed in the view and this daemon's
// load there, which it adds to used; ok is false if the server is gone.
func (p *pool) currentServer(s routing.Server, used map[routing.Incarnation]*serverLoad) (current routing.Server, load *serverLoad, ok bool) {
	if next, ok := p.successors[s.Incarnation()]; ok {
		if p.view.HasDeparted(next.ID) {
			return s, nil, false // the view lists an earlier incarnation
		}
		s.ID, s.StartedAtMS = next.ID, next.StartedAtMS
	}
	if load = used[s.Incarnation()]; load == nil {
		if load = p.loads[s.Incarnation()]; load == nil {
			load = &serverLoad{}
		}
		used[s.Incarnation()] = load
	}
	return s, load, true
}

func (p *pool) rank(s routing.Server) route.Rank {
	if s.Zone == p.self.Zone {
		return route.SameZone
	}
	return route.SameRegion
}

// localSubset marks the servers of each zone that belong to this daemon's subset.
func (p *pool) localSubset(servers []routing.Server) []bool {
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
	preferred := make([]bool, len(servers))
	for _, members := range zones {
		hashes := make([]uint64, len(members))
		for k, i := range members {
			hashes[k] = xxhash.Sum64String(servers[i].Address)
		}
		size := (len(members) + len(daemons) - 1) / len(daemons)
		for _, k := range route.Subset(self, daemons, hashes, size) {
			preferred[members[k]] = true
		}
	}
	return preferred
}

// preferredFor marks the engines preferred for a prompt with the given part: this daemon's subset,
// or the prompt's placement window where the service has too many engines to query them all.
func (l *serverSet) preferredFor(part string) []bool {
	if part == "" || !usesWindows(len(l.servers)) {
		return l.preferred
	}
	preferred := make([]bool, len(l.servers))
	for _, i := range prompts.PlacementCandidates(xxhash.Sum64String(part), l.seats) {
		preferred[i] = true
	}
	return preferred
}

// serversAt returns the servers at the given indices.
func (l *serverSet) serversAt(indices []int) []routing.Server {
	servers := make([]routing.Server, len(indices))
	for n, i := range indices {
		servers[n] = l.servers[i]
	}
	return servers
}

// usesWindows reports whether a service has too many engines to ask all of them which prompts they
// cache. Prompts are then placed and searched for within a window of engines each.
func usesWindows(engines int) bool { return engines > maxScannedEngines }

// indexOf returns the index of the server whose current incarnation is given, or -1.
func (l *serverSet) indexOf(incarnation routing.Incarnation) int {
	if i, ok := l.index[incarnation.ID]; ok && l.servers[i].Incarnation() == incarnation {
		return i
	}
	return -1
}

// idsOf returns the ids of those servers of the set whose incarnations are given.
func (l *serverSet) idsOf(incarnations []routing.Incarnation) []string {
	var ids []string
	for _, incarnation := range incarnations {
		if l.indexOf(incarnation) >= 0 {
			ids = append(ids, incarnation.ID)
		}
	}
	return ids
}

// choiceAt returns the server at index i; ok is false for a negative index.
func (l *serverSet) choiceAt(i int, reason string) (choice, bool) {
	if i < 0 {
		return choice{}, false
	}
	return choice{server: l.servers[i], load: l.loads[i], reason: reason}, true
}
