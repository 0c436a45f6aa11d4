// Package watching decides which daemons of a fleet watch the store, and whom the
// others ask for what it tells.
//
// Load it answers: a store that counts and charges each call, before hundreds of
// daemons that all have to know each change within a second or two. A watch costs a
// call for each change and one a second while nothing changes.
//
// Without it, the store takes as many calls for each change as there are daemons; and
// with a few that watch and no one between, those that watch send each change to the
// whole fleet over their own links, so that it is late where links are narrow.
//
// How it decides: a few daemons watch, as many whatever the size of the fleet. In each
// zone some relays pass on what they hear, one for so many daemons, so that one daemon
// tells about a score of others, and all but the relays ask within their zone. Every
// daemon computes the same plan from the same VMs, so nothing has to be agreed on. A
// plan holds no state that could be lost: where those that watch are lost, whoever
// finds nobody that can tell watches the store itself.
package watching

import (
	"cmp"
	"slices"
)

const (
	// SmallFleetSize is the size of a fleet up to which all daemons watch: there is nothing
	// to save.
	SmallFleetSize = 8
	// Watchers is how many daemons of a larger fleet watch: several zones can be lost
	// and some are left.
	Watchers = 5
	// ClientsPerRelay is how many daemons ask one relay. More fill the link of a small VM
	// when a zone is lost and all its servers change at once.
	ClientsPerRelay = 20
)

// VM is one daemon that serves.
type VM struct {
	ID   string
	Hash uint64 // of ID
	Zone string
}

// Plan is who watches and who asks whom. It is immutable.
type Plan struct {
	zones    map[string][]VM // by hash
	zoneOf   map[string]string
	watchers []string
	watching map[string]bool
	relays   map[string][]string // by zone; those that watch come first
}

// New makes the plan of a fleet.
func New(vms []VM) *Plan {
	p := &Plan{
		zones:    map[string][]VM{},
		zoneOf:   make(map[string]string, len(vms)),
		watching: map[string]bool{},
		relays:   map[string][]string{},
	}
	for _, vm := range vms {
		p.zones[vm.Zone] = append(p.zones[vm.Zone], vm)
		p.zoneOf[vm.ID] = vm.Zone
	}
	for _, members := range p.zones {
		slices.SortFunc(members, func(a, b VM) int { return cmp.Compare(a.Hash, b.Hash) })
	}
	p.chooseWatchers(len(vms))
	p.chooseRelays()
	return p
}

// chooseWatchers takes the first member of each zone in turn, then the second, so that
// the loss of a zone takes as few as can be.
func (p *Plan) chooseWatchers(size int) {
	wanted := Watchers
	if size <= SmallFleetSize {
		wanted = size
	}
	names := p.zoneNames()
	for place := 0; len(p.watchers) < wanted; place++ {
		for _, zone := range names {
			if members := p.zones[zone]; place < len(members) && len(p.watchers) < wanted {
				p.watchers = append(p.watchers, members[place].ID)
				p.watching[members[place].ID] = true
			}
		}
	}
}

// zoneNames returns the zones in the order of their first members' hashes, so that no
// zone comes first for its name.
func (p *Plan) zoneNames() []string {
	names := make([]string, 0, len(p.zones))
	for name := range p.zones {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Compare(p.zones[a][0].Hash, p.zones[b][0].Hash)
	})
	return names
}

func (p *Plan) chooseRelays() {
	for zone, members := range p.zones {
		count := (len(members) + ClientsPerRelay - 1) / ClientsPerRelay
		for place, vm := range members {
			if place < count || p.watching[vm.ID] {
				p.relays[zone] = append(p.relays[zone], vm.ID)
			}
		}
	}
}

// IsWatcher reports whether a daemon watches the store.
func (p *Plan) IsWatcher(id string) bool { return p.watching[id] }

// Watchers returns the daemons that watch.
func (p *Plan) Watchers() []string { return slices.Clone(p.watchers) }

// Sources returns whom a daemon asks, without itself: those of its own zone that tell it,
// and the others that watch. A daemon of no known zone asks those that watch. turn
// spreads the daemons of a zone over its relays.
func (p *Plan) Sources(id string, turn uint64) (near, others []string) {
	zone, known := p.zoneOf[id]
	for _, w := range p.watchers {
		switch {
		case w == id:
		case known && p.zoneOf[w] == zone:
			near = append(near, w)
		default:
			others = append(others, w)
		}
	}
	if relays := p.relays[zone]; known && !slices.Contains(relays, id) {
		near = relays
	}
	return rotate(near, turn), rotate(others, turn)
}

// rotate returns list beginning at place turn.
func rotate(list []string, turn uint64) []string {
	if len(list) == 0 {
		return nil
	}
	k := int(turn % uint64(len(list)))
	return append(slices.Clone(list[k:]), list[:k]...)
}

// CountWatchers is how many daemons of a fleet watch.
func CountWatchers(daemons int) int {
	if daemons <= SmallFleetSize {
		return daemons
	}
	return Watchers
}

// Relays returns the daemons of a zone that pass on what those that watch tell, the ones
// that watch among them.
func (p *Plan) Relays(zone string) []string { return slices.Clone(p.relays[zone]) }
