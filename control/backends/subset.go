package backends

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"mallowwind.dev/external/vmlist"
)

// subset picks the backend servers of one pool that this daemon knows: size of
// its own zone and far of the other zones, by rendezvous hashing, so that the
// choice needs no agreement, moves little when VMs come and go, and differs
// between daemons. Every daemon knowing every backend server would be 741,000
// connections at 390 daemons and 1,900 backend servers.
func subset(self, zone string, pool []vmlist.VM, near, far int) []vmlist.VM {
	var here, there []vmlist.VM
	for _, vm := range pool {
		if vm.Zone == zone {
			here = append(here, vm)
		} else {
			there = append(there, vm)
		}
	}
	return append(topByWeight(self, here, near), topByWeight(self, there, far)...)
}

// localSubsetSize returns the size of the subset in the daemon's own zone: min, but
// more where daemons are too few to know each of n backend servers cover times.
func localSubsetSize(minimum, cover, n, daemons int) int {
	if daemons < 1 {
		daemons = 1
	}
	return max(minimum, (cover*n+daemons-1)/daemons)
}

// topByWeight returns the n VMs with the highest rendezvous weight for self.
func topByWeight(self string, vms []vmlist.VM, n int) []vmlist.VM {
	if len(vms) <= n {
		return vms
	}
	weight := func(vm vmlist.VM) uint64 { return xxhash.Sum64String(self + "\x00" + vm.ID) }
	slices.SortFunc(vms, func(a, b vmlist.VM) int {
		switch wa, wb := weight(a), weight(b); {
		case wa > wb:
			return -1
		case wa < wb:
			return 1
		}
		return strings.Compare(a.ID, b.ID)
	})
	return vms[:n]
}
