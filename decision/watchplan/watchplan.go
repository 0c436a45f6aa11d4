// Package watchplan decides which daemons of a fleet watch the store, and which daemons the others
// query for its changes.
//
// Load pattern: hundreds of daemons all have to learn of each change within a second or two, from a
// store that counts and charges each call. A watch costs a call for each change, and one call a
// second while nothing changes.
//
// Without it, the store receives as many calls for each change as there are daemons. If only a few
// daemons watched and there were no relays, the watchers would send each change to the whole fleet
// over their own links, which delays it on narrow links.
//
// Decision: a small number of daemons watch, independent of the size of the fleet. In each zone, a
// number of relays proportional to its size pass on the changes, so that each relay serves about
// twenty daemons, and all daemons except the relays query within their zone. The VMs with the largest
// links watch and relay. Every daemon computes
// the same plan from the same VMs, which needs no agreement. A plan has no state that could be lost:
// if the watchers fail, a daemon that finds no other to query watches the store itself.
package watchplan

import (
	"cmp"
	"slices"
)

const (
	// SmallFleetSize is the largest fleet of which all daemons watch, because there are no calls to
	// save.
	SmallFleetSize = 8
	// MaxWatchers is the number of watchers of a larger fleet. Some are left after the loss of
	// several zones.
	MaxWatchers = 5
	// ClientsPerRelay is how many daemons query one relay. More would saturate the link of a small
	// VM when a zone is lost and all its servers change at once, in a zone without larger ones.
	ClientsPerRelay = 20
)

// VM is a daemon that serves, by the VM on which it runs.
type VM struct {
	ID   string
	Hash uint64 // of ID
	Zone string
	// LinkMbps is the bandwidth of the VM's link in Mbit/s; 0 if unknown.
	LinkMbps int
}

// Plan says which daemons watch the store and which daemons each one queries. It is immutable.
type Plan struct {
	zones      map[string][]VM // by zone, the largest links first, then by hash
	zoneOf     map[string]string
	watchers   []string
	watcherSet map[string]bool
	relays     map[string][]string // by zone, watchers first
}

// New returns the plan of a fleet.
func New(vms []VM) *Plan {
	p := &Plan{
		zones:      map[string][]VM{},
		zoneOf:     make(map[string]string, len(vms)),
		watcherSet: map[string]bool{},
		relays:     map[string][]string{},
	}
	for _, vm := range vms {
		p.zones[vm.Zone] = append(p.zones[vm.Zone], vm)
		p.zoneOf[vm.ID] = vm.Zone
	}
	for _, members := range p.zones {
		slices.SortFunc(members, func(a, b VM) int {
			return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(a.Hash, b.Hash))
		})
	}
	p.chooseWatchers(len(vms))
	p.chooseRelays()
	return p
}

// chooseWatchers chooses the first member of each zone in turn, then the second, and so on, so that
// the loss of a zone affects as few watchers as possible.
func (p *Plan) chooseWatchers(size int) {
	wanted := MaxWatchers
	if size <= SmallFleetSize {
		wanted = size
	}
	names := p.zoneNames()
	for i := 0; len(p.watchers) < wanted; i++ {
		for _, zone := range names {
			if members := p.zones[zone]; i < len(members) && len(p.watchers) < wanted {
				p.watchers = append(p.watchers, members[i].ID)
				p.watcherSet[members[i].ID] = true
			}
		}
	}
}

// zoneNames returns the zones sorted by the hash of their first member, so that the order doesn't
// depend on the names.
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
		for i, vm := range members {
			if i < count || p.watcherSet[vm.ID] {
				p.relays[zone] = append(p.relays[zone], vm.ID)
			}
		}
	}
}

// IsWatcher reports whether a daemon watches the store.
func (p *Plan) IsWatcher(id string) bool { return p.watcherSet[id] }

// Watchers returns the ids of the daemons that watch the store.
func (p *Plan) Watchers() []string { return slices.Clone(p.watchers) }

// Sources returns the daemons that a daemon queries, without itself. The local ones are the relays of
// its zone or, if it is a relay itself, the watchers of its zone. The remote ones are the watchers of
// other zones, or all watchers if the zone of the daemon is unknown. offset rotates both lists, which
// spreads the daemons of a zone over its relays.
func (p *Plan) Sources(id string, offset uint64) (local, remote []string) {
	zone, known := p.zoneOf[id]
	for _, w := range p.watchers {
		switch {
		case w == id:
		case known && p.zoneOf[w] == zone:
			local = append(local, w)
		default:
			remote = append(remote, w)
		}
	}
	if relays := p.relays[zone]; known && !slices.Contains(relays, id) {
		local = relays
	}
	return rotate(local, offset), rotate(remote, offset)
}

// rotate returns a copy of list rotated to begin at index offset modulo its length.
func rotate(list []string, offset uint64) []string {
	if len(list) == 0 {
		return nil
	}
	k := int(offset % uint64(len(list)))
	return append(slices.Clone(list[k:]), list[:k]...)
}

// CountWatchers returns the number of watchers in a fleet of so many daemons.
func CountWatchers(daemons int) int {
	if daemons <= SmallFleetSize {
		return daemons
	}
	return MaxWatchers
}

// Relays returns the relays of a zone: the daemons that pass on changes to others, including the
// watchers of the zone.
func (p *Plan) Relays(zone string) []string { return slices.Clone(p.relays[zone]) }
