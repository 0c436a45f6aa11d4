package forward

import (
	"github.com/cespare/xxhash/v2"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/prompts"
	"mallowwind.dev/decision/rollout"
	"mallowwind.dev/decision/route"
	"mallowwind.dev/serve/versions"
)

// serverSet holds the servers of one service that may get its requests.
type serverSet struct {
	source    setSource
	servers   []routing.Server
	loads     []*serverLoad
	preferred []bool
	seats     []prompts.HashedEngine
	index     map[string]int // by server id
	// tracked holds the incarnations whose loads the pool keeps for this set.
	tracked map[routing.Incarnation]bool
	// candidates is the table of the servers for plain requests; nil until it is needed.
	candidates *route.Table
	// windows holds this daemon's parts of the servers while they are brittle; nil until they are
	// needed.
	windows []int
}

// setSource is what a server set is built from. A set is in use until its source changes.
type setSource struct {
	list       *feed.ServerList
	state      rollout.State
	vmsView    *feed.View
	successors int
	leaving    int
}

// updateView applies a change of the view or of the versions that may serve. The server sets are
// rebuilt when a request needs them: most views change one service, and a daemon of a large fleet
// gets many views between two of its requests. The caller holds p.mu.
func (p *pool) updateView(view *feed.View, snapshot *versions.Snapshot) {
	if p.view == view && p.snapshot == snapshot {
		return
	}
	previous := p.view
	p.view, p.snapshot = view, snapshot
	if p.vmsView == nil || !routing.SameVMs(p.vmsView.VMs, view.VMs) {
		p.vmsView = view
	}
	p.pruneSuccessors()
	p.recordReturns(previous)
}

// serverSet returns the set of a service, nil if it has no servers. The caller holds p.mu.
func (p *pool) serverSet(service string) *serverSet {
	list, state := p.view.Servers[service], p.snapshot.State(service)
	if list == nil {
		p.replaceServerSet(service, nil)
		return nil
	}
	source := p.setSource(list, state)
	if set := p.serverSets[service]; set != nil && set.source == source {
		return set
	}
	all := p.listedServers(list)
	steady, _ := splitByVersion(all, state)
	set := p.buildServerSet(source, steady)
	if state.Stage.IsRunning() {
		for _, s := range all { // keeps counting the work at all of them
			p.trackServer(set, s)
		}
	}
	p.replaceServerSet(service, set)
	return set
}

// canarySet returns the set of a service's servers that get canary requests, nil if there is no
// roll-out. The caller holds p.mu.
func (p *pool) canarySet(service string) *serverSet {
	list, state := p.view.Servers[service], p.snapshot.State(service)
	if list == nil || !state.Stage.IsRunning() {
		delete(p.canarySets, service)
		return nil
	}
	p.serverSet(service) // keeps the loads of all servers of the service
	source := p.setSource(list, state)
	if set := p.canarySets[service]; set != nil && set.source == source {
		return set
	}
	_, canaries := splitByVersion(p.listedServers(list), state)
	set := p.buildServerSet(source, canaries)
	p.canarySets[service] = set
	return set
}

func (p *pool) setSource(list *feed.ServerList, state rollout.State) setSource {
	return setSource{list: list, state: state, vmsView: p.vmsView, successors: p.successorChanges, leaving: p.leaving.changes}
}

// replaceServerSet replaces the set of a service and forgets the loads that only the old one used.
func (p *pool) replaceServerSet(service string, set *serverSet) {
	old := p.serverSets[service]
	if set == nil {
		delete(p.serverSets, service)
	} else {
		p.serverSets[service] = set
	}
	if old == nil {
		return
	}
	for incarnation := range old.tracked {
		if set == nil || !set.tracked[incarnation] {
			delete(p.loads, incarnation)
		}
	}
}

func (p *pool) buildServerSet(source setSource, servers []routing.Server) *serverSet {
	l := &serverSet{source: source, index: make(map[string]int, len(servers)), tracked: make(map[routing.Incarnation]bool, len(servers))}
	for _, s := range servers {
		s, load, ok := p.trackServer(l, s)
		if !ok || s.Draining {
			continue
		}
		l.index[s.ID] = len(l.servers)
		l.servers = append(l.servers, s)
		l.loads = append(l.loads, load)
		l.seats = append(l.seats, prompts.HashedEngine{Zone: s.Zone, Hash: xxhash.Sum64String(s.ID)})
	}
	l.preferred = p.localSubset(l.servers)
	return l
}

// candidateTable returns the table of the set's servers for plain requests.
func (p *pool) candidateTable(l *serverSet) *route.Table {
	if l.candidates == nil {
		candidates := make([]route.Candidate, len(l.servers))
		for i, s := range l.servers {
			candidates[i] = route.Candidate{ID: s.ID, Hash: l.seats[i].Hash, Rank: p.rank(s), Load: &l.loads[i].calls}
		}
		l.candidates = route.NewTable(candidates)
	}
	return l.candidates
}

// trackServer returns the current incarnation of a server listed in the view and this daemon's load
// there, which the set then keeps; ok is false if the server is gone.
func (p *pool) trackServer(l *serverSet, s routing.Server) (current routing.Server, load *serverLoad, ok bool) {
	if next, ok := p.successors[s.Incarnation()]; ok {
		if p.view.HasDeparted(next.ID) {
			return s, nil, false // the view lists an earlier incarnation
		}
		s.ID, s.StartedAtMS = next.ID, next.StartedAtMS
	}
	incarnation := s.Incarnation()
	if load = p.loads[incarnation]; load == nil {
		load = &serverLoad{}
		p.loads[incarnation] = load
	}
	l.tracked[incarnation] = true
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
	for _, vm := range p.vmsView.VMs {
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
