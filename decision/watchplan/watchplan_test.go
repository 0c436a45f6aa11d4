package watchplan

import (
	"fmt"
	"hash/fnv"
	"testing"

	"github.com/shoenig/test/must"
)

func fleet(size, zones int) []VM {
	vms := make([]VM, size)
	for n := range vms {
		id := fmt.Sprintf("vm-%d", n)
		h := fnv.New64a()
		h.Write([]byte(id))
		vms[n] = VM{ID: id, Hash: h.Sum64(), Zone: fmt.Sprintf("z%d", n%zones)}
	}
	return vms
}

// sources returns all daemons that a daemon queries, in order.
func sources(p *Plan, vm VM) []string {
	local, remote := p.Sources(vm.ID, vm.Hash)
	return append(local, remote...)
}

func TestWatcherCount(t *testing.T) {
	for _, c := range []struct{ size, zones, want int }{
		{0, 1, 0}, {1, 1, 1}, {6, 3, 6}, {8, 3, 8}, {9, 3, 5}, {87, 3, 5}, {295, 5, 5}, {390, 7, 5}, {1000, 3, 5},
	} {
		p := New(fleet(c.size, c.zones))
		must.SliceLen(t, c.want, p.Watchers(), must.Sprintf("%d daemons", c.size))
		must.Eq(t, c.want, CountWatchers(c.size))
		for _, id := range p.Watchers() {
			must.True(t, p.IsWatcher(id))
		}
	}
}

// A zone is lost with all its daemons. The watchers are spread over the zones as evenly as possible,
// so that most of them are left.
func TestWatchersAreSpreadOverZones(t *testing.T) {
	for _, c := range []struct{ size, zones, most int }{{88, 4, 2}, {87, 3, 2}, {295, 5, 1}, {390, 7, 1}} {
		p := New(fleet(c.size, c.zones))
		count := map[string]int{}
		for _, id := range p.Watchers() {
			count[p.zoneOf[id]]++
			must.LessEq(t, c.most, count[p.zoneOf[id]])
		}
	}
}

// Each change is sent to every daemon that queries. A relay with too many clients saturates its link
// and delays changes. No relay may have many more clients than its share, and only the few relays of
// zones without a watcher may query across zones.
func TestClientsPerRelay(t *testing.T) {
	for _, c := range []struct{ size, zones int }{{9, 3}, {40, 1}, {88, 4}, {295, 5}, {390, 7}, {1000, 3}} {
		vms := fleet(c.size, c.zones)
		p := New(vms)
		clients, acrossZones := map[string]int{}, 0
		for _, vm := range vms {
			if p.IsWatcher(vm.ID) {
				continue
			}
			first := sources(p, vm)[0]
			clients[first]++
			if p.zoneOf[first] != vm.Zone {
				acrossZones++
			}
		}
		for id, n := range clients {
			must.LessEq(t, 2*ClientsPerRelay, n, must.Sprintf("%s of %d daemons", id, c.size))
		}
		must.LessEq(t, c.size/ClientsPerRelay+c.zones, acrossZones)
	}
}

// Changes must reach every daemon whichever daemons are lost. Following the first source from any
// daemon leads to a watcher without a cycle, and every list of sources contains all watchers.
func TestEverySourceLeadsToAWatcher(t *testing.T) {
	for _, size := range []int{9, 40, 88, 295, 1000} {
		vms := fleet(size, 5)
		p := New(vms)
		for _, vm := range vms {
			at := vm.ID
			for steps := 0; !p.IsWatcher(at); steps++ {
				must.Less(t, 3, steps)
				at = sources(p, VM{ID: at, Hash: vm.Hash})[0]
			}
			all := sources(p, vm)
			must.SliceNotContains(t, all, vm.ID)
			for _, w := range p.Watchers() {
				if w != vm.ID {
					must.SliceContains(t, all, w)
				}
			}
		}
	}
}

func TestUnknownDaemonQueriesWatchers(t *testing.T) {
	p := New(fleet(40, 2))
	unknown := VM{ID: "unknown", Hash: 3}
	must.SliceContainsAll(t, sources(p, unknown), p.Watchers())
	must.SliceEmpty(t, sources(New(nil), unknown))
}

// In a fleet with a few large VMs, a small one that relays changes saturates its link and delays them
// for twenty others. The large ones must be chosen first.
func TestLargestLinksRelay(t *testing.T) {
	vms := fleet(984, 5)
	for n := range vms {
		vms[n].LinkMbps = 20
		if n/5%20 == 0 {
			vms[n].LinkMbps = 200
		}
	}
	large := map[string]bool{}
	for _, vm := range vms {
		large[vm.ID] = vm.LinkMbps == 200
	}
	p := New(vms)
	for _, id := range p.Watchers() {
		must.True(t, large[id])
	}
	largeRelays := 0
	for _, zone := range []string{"z0", "z1", "z2", "z3", "z4"} {
		for _, id := range p.Relays(zone) {
			if large[id] {
				largeRelays++
			}
		}
	}
	must.Eq(t, 50, largeRelays)
}
