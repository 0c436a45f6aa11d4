package backends

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"mallowwind.dev/external/vmlist"
)

// subset selects the backend servers of one pool that this daemon knows: localSize of its own zone
// and remoteSize of the other zones. It uses rendezvous hashing, so that the selection needs no
// coordination, changes little when VMs are added or removed, and differs between daemons. If every
// daemon knew every backend server, 390 daemons and 1,900 backend servers would need 741,000
// connections.
func subset(self, zone string, pool []vmlist.VM, localSize, remoteSize int) []vmlist.VM {
	var local, remote []vmlist.VM
	for _, vm := range pool {
		if vm.Zone == zone {
			local = append(local, vm)
		} else {
			remote = append(remote, vm)
		}
	}
	return append(topByWeight(self, local, localSize), topByWeight(self, remote, remoteSize)...)
}

// localSubsetSize returns the size of the subset in the daemon's own zone: minimum, or more if the
// zone has too few daemons for each of its n backend servers to be known to daemonsPerBackend of
// them.
func localSubsetSize(minimum, daemonsPerBackend, n, daemons int) int {
	if daemons < 1 {
		daemons = 1
	}
	return max(minimum, (daemonsPerBackend*n+daemons-1)/daemons)
}

// topByWeight returns the n VMs with the highest rendezvous weight for self. It may reorder vms.
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
