package membership

import (
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/external/vmlist"
)

// An entry VM's daemon dies without announcing it. Until the others detect it, callers that were
// given its address run into timeouts and answers whose copies it held have none. The VM list shows
// the VM as live all the time.
func TestDeadDaemonIsDetected(t *testing.T) {
	for _, n := range []int{6, 30, 90} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, n, 3, 3)
			f.waitUntil("joined", 30*time.Second, f.allSeeAllAlive)
			f.kill("vm001")
			f.waitUntil("declared gone by all", 25*time.Second, func() bool { return f.countBelieving("vm001", Gone) == n-1 })
			must.True(t, f.allSeeAllAlive())
			f.start(f.nodes["vm001"], 2)
			f.waitUntil("restarted and seen alive by all", 15*time.Second, f.allSeeAllAlive)
		})
	}
}

// An operator stops a daemon for an upgrade. The others must see it as leaving within seconds, keep
// it so while it finishes its work, and see it as gone once it exits.
func TestLeaveSpreadsQuickly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 30, 3, 1)
		f.waitUntil("joined", 30*time.Second, f.allSeeAllAlive)
		f.nodes["vm004"].Leave()
		f.waitUntil("seen as leaving by all", 3*time.Second, func() bool { return f.countBelieving("vm004", Leaving) == 29 })
		time.Sleep(time.Minute)
		must.Eq(t, 29, f.countBelieving("vm004", Leaving))
		f.kill("vm004")
		f.waitUntil("gone", 3*time.Second, func() bool { return f.countBelieving("vm004", Gone) == 29 })
	})
}

// The platform starts to remove a VM. Its daemon has not been notified yet, but the VM list already
// shows the VM as leaving; the other daemons must see it as leaving.
func TestLeavingInVMList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6, 3, 1)
		f.waitUntil("joined", 30*time.Second, f.allSeeAllAlive)
		f.setListState(2, vmlist.Leaving)
		f.waitUntil("seen as leaving", 3*time.Second, func() bool { return f.countBelieving("vm002", Leaving) == 5 })
	})
}

// A firewall rule or a broken switch port blocks one direction: every call of vm000 to the members of
// its own zone fails, all other calls work. A failure detector that trusts a single observer would
// take live daemons out of service; indirect probes must keep them all alive.
func TestOneWayPartitionKeepsAllAlive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12, 3, 1)
		f.waitUntil("joined", 30*time.Second, f.allSeeAllAlive)
		f.setDrops(func(from, to *node) bool { return from.id == "vm000" && to.zone == "z0" })
		for range 600 {
			time.Sleep(time.Second)
			must.True(t, f.allSeeAllAlive())
		}
	})
}

// A zone is partitioned from the other two and stays up. Each side must declare the other gone and
// keep its own members, and both sides must rejoin when the partition heals, although each considers
// the other gone.
func TestZonePartitionHeals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 30, 3, 3)
		f.waitUntil("joined", 30*time.Second, f.allSeeAllAlive)
		f.setDrops(func(from, to *node) bool { return (from.zone == "z1") != (to.zone == "z1") })
		f.waitUntil("each side sees only its own members", 90*time.Second, func() bool {
			for _, nd := range f.nodes {
				want := 20
				if nd.zone == "z1" {
					want = 10
				}
				if f.countAlive(nd) != want {
					return false
				}
			}
			return true
		})
		f.setDrops(nil)
		f.waitUntil("all see all alive again", 40*time.Second, f.allSeeAllAlive)
	})
}

// The regions are partitioned from each other for more than an hour, long enough for each side to
// forget the other. The VM list still shows all VMs.
func TestRegionPartitionForAnHour(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 21, 7, 3)
		f.waitUntil("joined", 30*time.Second, f.allSeeAllAlive)
		f.setDrops(func(from, to *node) bool { return from.region != to.region })
		time.Sleep(70 * time.Minute)
		must.False(t, f.allSeeAllAlive())
		f.setDrops(nil)
		f.waitUntil("all see all alive again", 40*time.Second, f.allSeeAllAlive)
	})
}

// A daemon is cut off for a minute, as if paused: no message to or from it arrives, and the others
// declare it gone. When it is reachable again it must become a member under the same incarnation,
// because it is the same process with the same state.
func TestUnreachableDaemonRejoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12, 3, 1)
		f.waitUntil("joined", 30*time.Second, f.allSeeAllAlive)
		f.setDrops(func(from, to *node) bool { return from.id == "vm003" || to.id == "vm003" })
		f.waitUntil("declared gone by all", 25*time.Second, func() bool { return f.countBelieving("vm003", Gone) == 11 })
		time.Sleep(time.Minute)
		f.setDrops(nil)
		f.waitUntil("rejoined", 20*time.Second, f.allSeeAllAlive)
		m, _ := f.nodes["vm000"].Current().Find("vm003")
		must.Eq(t, 1, m.Incarnation)
	})
}

// One message in a hundred is lost for ten minutes. No daemon may be declared gone, since callers
// would be given too few addresses.
func TestPacketLossKeepsAllMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 30, 3, 1)
		f.waitUntil("joined", 30*time.Second, f.allSeeAllAlive)
		f.setDrops(dropRandomly(0.01))
		suspected := 0
		for range 600 {
			time.Sleep(time.Second)
			for _, vm := range f.list {
				must.Eq(t, 0, f.countBelieving(vm.ID, Gone))
				suspected += f.countBelieving(vm.ID, Suspect)
			}
		}
		t.Logf("suspects seen in 600 samples of 870 member states: %d", suspected)
	})
}

// A version that one daemon announces must reach all others within seconds if each daemon that learns
// of it announces it too.
func TestDigestReachesAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 30, 3, 1)
		var held atomic.Int64
		for _, nd := range f.nodes {
			var mine atomic.Uint64
			m := nd.Manager
			m.OnDigest(func(_ Member, name string, version uint64) {
				if name == "site" && mine.Swap(max(version, mine.Load())) < version {
					held.Add(1)
					m.SetDigest(name, version)
				}
			})
		}
		f.waitUntil("joined", 30*time.Second, f.allSeeAllAlive)
		f.nodes["vm000"].SetDigest("site", 7)
		f.waitUntil("announced by all", 4*time.Second, func() bool { return held.Load() >= 29 })
	})
}

// Three daemons of a zone detect at about the same time that a backend server is leaving. All others
// must learn of it well within the time for which a leaving backend server may still get requests,
// and get the change only once.
func TestVMChangeReachesAllOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 30, 3, 1)
		readers := []string{"vm000", "vm003", "vm006"}
		var received atomic.Int64 // by daemons that do not read the list
		calls := map[string]*atomic.Int64{}
		for id, nd := range f.nodes {
			n := &atomic.Int64{}
			calls[id] = n
			nd.OnVMChange(func(change VMChange) {
				must.Eq(t, vmlist.Leaving, change.VM.State)
				n.Add(1)
				if !slices.Contains(readers, id) {
					received.Add(1)
				}
			})
		}
		f.waitUntil("joined", 30*time.Second, f.allSeeAllAlive)
		vm := vmlist.VM{ID: "b1", Role: vmlist.RoleBackend, State: vmlist.Leaving}
		for _, id := range readers {
			f.nodes[id].BroadcastVMChange(VMChange{VM: vm, SeenAt: time.Now()})
			time.Sleep(10 * time.Millisecond)
		}
		f.waitUntil("received by all", 2*time.Second, func() bool { return received.Load() >= 27 })
		time.Sleep(time.Minute)
		must.Eq(t, 27, received.Load())
		for id, n := range calls {
			must.LessEq(t, 1, n.Load(), must.Sprint(id))
		}
	})
}
