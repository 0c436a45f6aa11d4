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

// A router dies without a word. Callers that were told its address run into
// timeouts, and answers journalled on it have no copy, until the others know.
// The list shows it as live all the while.
func TestDeadDaemonIsDetected(t *testing.T) {
	for _, n := range []int{6, 30, 90} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, n, 3, 3)
			f.until("joined", 30*time.Second, f.whole)
			f.kill("vm001")
			f.until("given up by all", 25*time.Second, func() bool { return f.believed("vm001", Gone) == n-1 })
			must.True(t, f.whole())
			f.start(f.nodes["vm001"], 2)
			f.until("restarted and known", 15*time.Second, f.whole)
		})
	}
}

// An operator stops a daemon for an upgrade. It must vanish from the others'
// answers at once, while it finishes its work, and be gone once it exits.
func TestLeaveIsKnownAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 30, 3, 1)
		f.until("joined", 30*time.Second, f.whole)
		f.nodes["vm004"].Leave()
		f.until("known to leave", 3*time.Second, func() bool { return f.believed("vm004", Leaving) == 29 })
		time.Sleep(time.Minute)
		must.Eq(t, 29, f.believed("vm004", Leaving))
		f.kill("vm004")
		f.until("gone", 3*time.Second, func() bool { return f.believed("vm004", Gone) == 29 })
	})
}

// The platform starts to take a VM away. Its daemon has not been told yet, but
// the list already shows it as leaving: it must count as leaving here.
func TestListSaysLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6, 3, 1)
		f.until("joined", 30*time.Second, f.whole)
		f.listState(2, vmlist.Leaving)
		f.until("seen as leaving", 3*time.Second, func() bool { return f.believed("vm002", Leaving) == 5 })
	})
}

// One direction between two daemons is cut (a firewall rule, a broken switch
// port): every call of vm000 to any member of its own zone fails, all others
// work. A detector that trusts one observer would take live daemons out of
// service; probes through others must keep them all alive.
func TestOneWayCutSuspectsNobodyForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12, 3, 1)
		f.until("joined", 30*time.Second, f.whole)
		f.setCut(func(from, to *node) bool { return from.id == "vm000" && to.zone == "z0" })
		for range 600 {
			time.Sleep(time.Second)
			must.True(t, f.whole())
		}
	})
}

// A zone loses its links to the other two and stays up. Each side must give up
// the other and keep its own, and both must find each other when it heals,
// though each holds the other for gone.
func TestZoneCutOffAndBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 30, 3, 3)
		f.until("joined", 30*time.Second, f.whole)
		f.setCut(func(from, to *node) bool { return (from.zone == "z1") != (to.zone == "z1") })
		f.until("sides apart", 90*time.Second, func() bool {
			for _, nd := range f.nodes {
				want := 20
				if nd.zone == "z1" {
					want = 10
				}
				if f.alive(nd) != want {
					return false
				}
			}
			return true
		})
		f.setCut(nil)
		f.until("whole again", 40*time.Second, f.whole)
	})
}

// Regions lose each other for more than an hour, long enough for each side to
// forget the other. The list still shows all VMs.
func TestRegionsApartForAnHour(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 21, 7, 3)
		f.until("joined", 30*time.Second, f.whole)
		f.setCut(func(from, to *node) bool { return from.region != to.region })
		time.Sleep(70 * time.Minute)
		must.False(t, f.whole())
		f.setCut(nil)
		f.until("whole again", 40*time.Second, f.whole)
	})
}

// A daemon is paused for a minute: it answers nobody and hears nothing, and
// the others give it up. When it comes back it must be a member again under
// the same incarnation, since it is the same process with all it holds.
func TestSilentDaemonReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12, 3, 1)
		f.until("joined", 30*time.Second, f.whole)
		f.setCut(func(from, to *node) bool { return from.id == "vm003" || to.id == "vm003" })
		f.until("given up", 25*time.Second, func() bool { return f.believed("vm003", Gone) == 11 })
		time.Sleep(time.Minute)
		f.setCut(nil)
		f.until("back", 20*time.Second, f.whole)
		m, _ := f.nodes["vm000"].Current().Find("vm003")
		must.Eq(t, 1, m.Incarnation)
	})
}

// One message in a hundred is lost for ten minutes. Nobody may be given up;
// a caller would be told fewer addresses than there are.
func TestLossGivesNobodyUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 30, 3, 1)
		f.until("joined", 30*time.Second, f.whole)
		f.setCut(lossy(0.01))
		suspected := 0
		for range 600 {
			time.Sleep(time.Second)
			for _, vm := range f.list {
				must.Eq(t, 0, f.believed(vm.ID, Gone))
				suspected += f.believed(vm.ID, Suspect)
			}
		}
		t.Logf("suspicions seen in 600 samples of 870 beliefs: %d", suspected)
	})
}

// A version that one daemon holds must be offered to all within seconds when
// each who learns of it holds it too.
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
		f.until("joined", 30*time.Second, f.whole)
		f.nodes["vm000"].SetDigest("site", 7)
		f.until("offered to all", 4*time.Second, func() bool { return held.Load() >= 29 })
	})
}

// Three daemons of a zone find that a backend server leaves, at about the same
// time. All others must hear of it well within the time in which a leaving
// backend server may still get work, and act on it once.
func TestVMNewsReachesAllOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 30, 3, 1)
		readers := []string{"vm000", "vm003", "vm006"}
		var heard atomic.Int64 // by daemons that do not read the list
		times := map[string]*atomic.Int64{}
		for id, nd := range f.nodes {
			n := &atomic.Int64{}
			times[id] = n
			nd.OnVMChange(func(news VMChange) {
				must.Eq(t, vmlist.Leaving, news.VM.State)
				n.Add(1)
				if !slices.Contains(readers, id) {
					heard.Add(1)
				}
			})
		}
		f.until("joined", 30*time.Second, f.whole)
		vm := vmlist.VM{ID: "b1", Role: vmlist.RoleBackend, State: vmlist.Leaving}
		for _, id := range readers {
			f.nodes[id].BroadcastVMChange(VMChange{VM: vm, SeenAt: time.Now()})
			time.Sleep(10 * time.Millisecond)
		}
		f.until("heard by all", 2*time.Second, func() bool { return heard.Load() >= 27 })
		time.Sleep(time.Minute)
		must.Eq(t, 27, heard.Load())
		for id, n := range times {
			must.LessEq(t, 1, n.Load(), must.Sprint(id))
		}
	})
}
