package flow

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"mallowwind.dev/control/backends"
	"mallowwind.dev/control/site"
	"mallowwind.dev/decision/admit"
	"mallowwind.dev/decision/loading"
	"mallowwind.dev/decision/route"
)

// Update applies a new site, snapshot or fleet and rebuilds the candidates of
// every group. Its cost grows with the number of backend servers.
func (c *Core) Update(now time.Time, newSite *site.Site, snap *backends.Snapshot, fleet Fleet) {
	c.site, c.fleet, c.accountLoads, c.snapshot = newSite, fleet, nil, snap
	c.fleetVersion++
	for _, s := range c.servers {
		s.present = false
	}
	for _, pool := range sortedKeys(snap.Pools) {
		for _, b := range snap.Pools[pool] {
			c.observeServer(now, pool, b)
		}
	}
	c.removeGoneServers()
	for _, key := range c.groupKeys() {
		c.buildGroup(now, c.group(key), snap)
	}
	for _, g := range c.orderedGroups {
		c.startWaiting(now, g)
	}
}

func (c *Core) observeServer(now time.Time, pool string, b *backends.Backend) {
	s, ok := c.servers[b.VM.ID]
	slots := c.slotsOf(pool)
	if !ok {
		s = newServer(b, slots, c.sharingDaemonCount(b, slots), c.location.VM)
		c.servers[b.VM.ID] = s
	}
	s.slots, s.pool, s.present = slots, pool, true
	s.groups = s.groups[:0]
	if t, changed := s.applyStatus(now, b, c.sharingDaemonCount(b, slots), c.fleet.entryVMCount()); changed {
		c.hints.forget(b.VM.ID)
		c.observer.recordStateChange(s, t)
	}
	s.refreshLoad(now)
}

func (c *Core) slotsOf(pool string) int {
	if c.site != nil {
		if p := c.site.Pools[pool]; p != nil && p.Slots > 0 {
			return p.Slots
		}
	}
	return defaultSlots
}

// removeGoneServers removes servers that are not in the snapshot and have nothing
// in flight.
func (c *Core) removeGoneServers() {
	for id, s := range c.servers {
		if !s.present && s.load.InFlight == 0 {
			delete(c.servers, id)
		}
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// groupKeys returns the keys of the site's services and of all existing groups,
// in a stable order.
func (c *Core) groupKeys() []groupKey {
	seen := map[groupKey]bool{}
	for k := range c.groups {
		seen[k] = true
	}
	if c.site != nil {
		for _, s := range c.site.Services {
			seen[groupKeyOf(s)] = true
		}
	}
	keys := make([]groupKey, 0, len(seen))
	for k := range seen {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].less(keys[j]) })
	return keys
}

func (k groupKey) less(o groupKey) bool {
	if k.pool != o.pool {
		return k.pool < o.pool
	}
	return k.ref.Model+"/"+k.ref.Adapter+"/"+k.ref.Version < o.ref.Model+"/"+o.ref.Adapter+"/"+o.ref.Version
}

func (c *Core) group(key groupKey) *group {
	g, ok := c.groups[key]
	if !ok {
		g = &group{
			key: key, queue: admit.NewQueue(),
			waiters: map[*admit.Item]*Waiter{},
		}
		c.groups[key] = g
		c.orderedGroups = append(c.orderedGroups, g)
	}
	return g
}

// groupForRequest returns the group of a request. A group that the current site
// does not name is created here, with the servers of the current snapshot. This
// happens for a version that is being replaced, at a daemon that started during
// the change. If the group stayed empty until the next Update, requests would be
// refused although engines are idle.
func (c *Core) groupForRequest(now time.Time, key groupKey) *group {
	g, known := c.groups[key]
	if !known {
		g = c.group(key)
		if c.snapshot != nil {
			c.buildGroup(now, g, c.snapshot)
		}
	}
	return g
}

// buildGroup replaces the candidates of a group.
func (c *Core) buildGroup(now time.Time, g *group, snap *backends.Snapshot) {
	var rows []*backends.Backend
	g.loadingSlots, g.firstLoadEnd = 0, time.Time{}
	for _, b := range snap.Pools[g.key.pool] {
		if isUsable(b, g.key.ref) {
			rows = append(rows, b)
		} else if remaining, ok := loadRemaining(b, g.key.ref); ok {
			g.addLoading(now.Add(remaining), c.slotsOf(g.key.pool)/c.fleet.entryVMCount())
		}
	}
	g.table = route.NewTable(c.subset(rows))
	g.servers = g.servers[:0]
	g.peers = g.peers[:0]
	for i := range g.table.Len() {
		s := c.servers[g.table.At(i).ID]
		s.groups = append(s.groups, g)
		g.servers = append(g.servers, s)
		g.peers = append(g.peers, &s.peer)
	}
	g.updateSlots()
	c.observer.recordTable(g, len(rows), snap.Version)
}

func (c *Core) candidate(b *backends.Backend) route.Candidate {
	return route.Candidate{
		ID: b.VM.ID, Hash: xxhash.Sum64String(b.VM.ID), Rank: c.rank(b),
		Load: &c.servers[b.VM.ID].load,
	}
}

func (g *group) addLoading(at time.Time, slots int) {
	if g.loadingSlots == 0 || at.Before(g.firstLoadEnd) {
		g.firstLoadEnd = at
	}
	g.loadingSlots += max(1, slots)
}

// updateSlots recomputes the group's slots and urgent capacity from the
// candidates.
func (g *group) updateSlots() {
	g.slots = 0
	urgentCapacity := 0
	for _, s := range g.servers {
		g.slots += int(s.load.Limit)
		urgentCapacity += int(s.load.UrgentCapacity())
	}
	g.queue.SetUrgentOverflow(urgentCapacity)
}

// expectedSlots returns the number of slots on which predictions for waiting
// requests are based: those of the loading servers if no server is ready.
func (g *group) expectedSlots() int {
	if g.slots == 0 {
		return g.loadingSlots
	}
	return g.slots
}

// offerWhileLoading decides whether a request waits or is refused while its model
// is being loaded and no server has it ready.
func (c *Core) offerWhileLoading(now time.Time, w *Waiter) admit.Decision {
	g := w.group
	d := loading.Decide(loading.Input{
		Loading: g.loadingSlots > 0, LoadRemaining: max(g.firstLoadEnd.Sub(now), 0),
		TimeToDeadline: w.item.Deadline.Sub(now),
	})
	c.observer.recordLoadingDecision(w, d)
	if !d.Wait {
		return admit.Decision{Action: admit.Refuse, Reason: admit.ReasonNoCapacity, RetryAfter: d.RetryAfter}
	}
	g.queue.Enqueue(&w.item)
	return admit.Decision{Action: admit.Wait, Reason: admit.ReasonQueued, PredictedWait: max(g.firstLoadEnd.Sub(now), 0)}
}
