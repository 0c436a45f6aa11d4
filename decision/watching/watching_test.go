package watching

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

// sources is everybody that a daemon asks, the best first.
func sources(p *Plan, vm VM) []string {
	near, others := p.Sources(vm.ID, vm.Hash)
	return append(near, others...)
}

func TestHowManyWatch(t *testing.T) {
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

// A zone is lost with all its daemons. Those that watch lie in all zones as evenly as
// can be, so most are left.
func TestWatchersLieInAllZones(t *testing.T) {
	for _, c := range []struct{ size, zones, most int }{{88, 4, 2}, {87, 3, 2}, {295, 5, 1}, {390, 7, 1}} {
		p := New(fleet(c.size, c.zones))
		in := map[string]int{}
		for _, id := range p.Watchers() {
			in[p.zoneOf[id]]++
			must.LessEq(t, c.most, in[p.zoneOf[id]])
		}
	}
}

// Each change is sent to every daemon that asks. One that tells too many fills its
// link and tells late: nobody tells many more than its part, in a zone of its own but
// for the few relays of zones where nobody watches.
func TestNobodyTellsTooMany(t *testing.T) {
	for _, c := range []struct{ size, zones int }{{9, 3}, {40, 1}, {88, 4}, {295, 5}, {390, 7}, {1000, 3}} {
		vms := fleet(c.size, c.zones)
		p := New(vms)
		askers, across := map[string]int{}, 0
		for _, vm := range vms {
			if p.IsWatcher(vm.ID) {
				continue
			}
			first := sources(p, vm)[0]
			askers[first]++
			if p.zoneOf[first] != vm.Zone {
				across++
			}
		}
		for id, n := range askers {
			must.LessEq(t, 2*ClientsPerRelay, n, must.Sprintf("%s of %d daemons", id, c.size))
		}
		must.LessEq(t, c.size/ClientsPerRelay+c.zones, across)
	}
}

// Whoever those are that are lost, what is told reaches everybody: following the first
// sources from any daemon leads to one that watches, without a circle, and every list
// of sources goes on to all that watch.
func TestEverySourceLeadsToTheStore(t *testing.T) {
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

func TestDaemonThatIsNotKnownAsksThoseThatWatch(t *testing.T) {
	p := New(fleet(40, 2))
	stranger := VM{ID: "stranger", Hash: 3}
	must.SliceContainsAll(t, sources(p, stranger), p.Watchers())
	must.SliceEmpty(t, sources(New(nil), stranger))
}
