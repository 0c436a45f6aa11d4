package feed

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/external/store"
	"mallowwind.dev/telemetry/event"
)

// restoreOlder makes the store come back, after an outage, from a copy of the time before lost.
func (f *fleet) restoreOlder(lost func()) {
	copied := f.store.Copy()
	lost()
	time.Sleep(2 * time.Second)
	for _, faulty := range f.faultyStores {
		faulty.SetDown(true)
	}
	time.Sleep(1500 * time.Millisecond)
	f.store.Restore(copied)
	for _, faulty := range f.faultyStores {
		faulty.SetDown(false)
	}
}

func (f *fleet) remove(key string) {
	kv, err := f.store.Get(f.t.Context(), key)
	must.NoError(f.t, err)
	must.NoError(f.t, f.store.Delete(f.t.Context(), key, kv.Version))
}

// writes returns the number of writes of keys by the daemons.
func (f *fleet) writes() (n int64) {
	for _, faulty := range f.faultyStores {
		n += faulty.Counts().CompareAndSwap
	}
	return n
}

// serversIn returns the ids of the servers that daemon n may send requests to.
func (f *fleet) serversIn(n int) string {
	var ids []string
	for s := range f.feeds[n].View().Servers["s"].All() {
		if !s.Draining {
			ids = append(ids, s.ID)
		}
	}
	return strings.Join(ids, " ")
}

// The store comes back from a copy in which a server that leaves, and one that is gone, are ready. They
// must get no requests, until they write that they are ready.
func TestRestoredStoreDoesNotReturnLeavingServers(t *testing.T) {
	for _, size := range []int{1, 7, 61} {
		inFleet(t, size, func(f *fleet) {
			f.startRegistered()
			for _, id := range []string{"1", "2", "3"} {
				f.put("server/"+id, id+":1")
			}
			time.Sleep(10 * time.Second)
			f.restoreOlder(func() {
				f.put("server/1", "leaving 1:1")
				f.remove("server/2")
			})
			for range 12 {
				time.Sleep(500 * time.Millisecond)
				for n := range size {
					must.Eq(f.t, "3", f.serversIn(n), must.Sprint(size, n))
				}
			}
			f.put("server/2", "2:1")
			time.Sleep(time.Second)
			for n := range size {
				must.Eq(f.t, "2 3", f.serversIn(n), must.Sprint(size, n))
			}
		})
	}
}

// The store comes back from a copy without servers that registered later. They must stay usable while
// they write their entries again, and no longer if they do not.
func TestServersMissingInRestoredStoreStayForAMoment(t *testing.T) {
	for _, size := range []int{1, 7, 61} {
		inFleet(t, size, func(f *fleet) {
			f.startRegistered()
			f.put("server/1", "1:1")
			time.Sleep(10 * time.Second)
			f.restoreOlder(func() {
				f.put("server/2", "2:1")
				f.put("server/3", "3:1")
			})
			for range 4 {
				time.Sleep(500 * time.Millisecond)
				for n := range size {
					must.Eq(f.t, "1 2 3", f.serversIn(n), must.Sprint(size, n))
				}
			}
			f.put("server/2", "2:1") // two seconds after the store came back
			time.Sleep(4 * time.Second)
			for n := range size {
				must.Eq(f.t, "1 2", f.serversIn(n), must.Sprint(size, n))
			}
		})
	}
}

// The store comes back with an older configuration. Daemons must keep the one in force, and tell it to
// a daemon that starts without the store.
func TestRestoredStoreDoesNotRevertConfig(t *testing.T) {
	inFleet(t, 8, func(f *fleet) {
		for n := range 7 {
			f.start(n)
		}
		time.Sleep(5 * time.Second)
		f.restoreOlder(func() { f.put("config", "vvv") })
		time.Sleep(3 * time.Second)
		f.faultyStores[7].SetDown(true)
		f.start(7)
		time.Sleep(3 * time.Second)
		for n := range f.feeds {
			must.Eq(f.t, int64(3), f.version(n), must.Sprint(n))
		}
		f.put("config", "vvvv")
		time.Sleep(2 * time.Second)
		for n := range f.feeds {
			must.Eq(f.t, int64(4), f.version(n), must.Sprint(n))
		}
	})
}

// The store comes back with an older configuration, and a daemon starts before the operator has written
// the newer one again. It must get that from its peers, or keys work that were removed.
func TestDaemonStartsWithNewestConfigAfterRestore(t *testing.T) {
	for _, size := range []int{3, 61} {
		inFleet(t, size, func(f *fleet) {
			for n := range size - 1 {
				id := strconv.Itoa(n)
				f.put(vmPrefix+id, `{"id":"`+id+`","address":"`+id+`:2","peer":"`+id+`:1"}`)
				f.start(n)
			}
			time.Sleep(5 * time.Second)
			f.restoreOlder(func() { f.put("config", "vvv") })
			time.Sleep(2 * time.Second)
			f.start(size - 1)
			time.Sleep(2 * time.Second)
			must.Eq(f.t, int64(3), f.version(size-1), must.Sprint(size))
		})
	}
}

// A daemon has read the restored store, and the peer that it polls cannot reach it. The peer's state is
// of the time before, so the daemon must turn to others in place of waiting for it.
func TestPeerOfEarlierEraIsNoSource(t *testing.T) {
	inFleet(t, 2, func(f *fleet) {
		f.start(0)
		f.start(1)
		time.Sleep(2 * time.Second)
		must.True(f.t, f.feeds[0].pollPeer(f.ctx, "1:1", 0))
		f.faultyStores[1].SetDown(true)
		f.unresponsive.Store(0, true) // the peer learns nothing from the daemon
		f.store.Restore(f.store.Copy())
		time.Sleep(200 * time.Millisecond) // the peer does not count the store as lost yet
		must.Eq(f.t, 1, store.EraOf(f.feeds[0].revision.Load()))
		must.False(f.t, f.feeds[0].pollPeer(f.ctx, "1:1", 0))
	})
}

// The store comes back from a copy without a refused request. It must stay refused, and be written
// again once, also if the daemon that added it is gone.
func TestRefusedRequestIsWrittenAgainAfterRestore(t *testing.T) {
	for _, writer := range []string{"0", "gone"} {
		inFleet(t, 6, func(f *fleet) {
			f.startRegistered()
			time.Sleep(5 * time.Second)
			var writes int64 // before the restoration
			f.restoreOlder(func() {
				must.NoError(f.t, f.feeds[0].writeRefused(f.t.Context(), RefusedRequest{Digest: "d", Route: "r", By: writer}))
				writes = f.writes()
			})
			time.Sleep(3 * time.Second)
			_, err := f.store.Get(f.t.Context(), RefusedKey("d"))
			must.NoError(f.t, err, must.Sprint(writer))
			must.Eq(f.t, writes+1, f.writes(), must.Sprint(writer))
			for n, m := range f.feeds {
				must.MapContainsKey(f.t, m.View().Refused, "d", must.Sprint(n))
			}
		})
	}
}

// The store comes back from a copy. Daemons whose entries it holds must not write them again, because
// all at once would exceed its rate; those that registered later must.
func TestOnlyMissingRegistrationsAreWrittenAgainAfterRestore(t *testing.T) {
	const size, late = 61, 3
	inFleet(t, size, func(f *fleet) {
		register := func(n int) {
			id := strconv.Itoa(n)
			f.start(n)
			r := Registrar{
				Store: f.faultyStores[n], Log: event.Discard(), Feed: f.feeds[n],
				VM: routing.VM{ID: id, Address: id + ":2", PeerAddress: id + ":1"},
			}
			f.wg.Go(func() { r.Run(f.ctx) })
		}
		for n := range size - late {
			register(n)
		}
		time.Sleep(20 * time.Second)
		f.restoreOlder(func() {
			for n := size - late; n < size; n++ {
				register(n)
			}
		})
		writes := f.writes()
		for range 20 {
			time.Sleep(500 * time.Millisecond)
			for n, m := range f.feeds {
				must.SliceLen(f.t, size, m.View().VMs, must.Sprint(n))
			}
		}
		must.Between(f.t, late, f.writes()-writes, 2*late)
	})
}

// A daemon that starts reads a store that was restored before. It has nothing to keep.
func TestFirstReadOfRestoredStoreKeepsNothing(t *testing.T) {
	tab := newTable(textSchema{}, event.Discard())
	tab.beginEra(0, store.VersionIn(3, 7))
	tab.replaceAll(0, store.VersionIn(3, 7), []store.KV{testEntry("server/1", "1:1", store.VersionIn(3, 5))})
	must.Nil(t, tab.endRestoration(store.VersionIn(3, 7)))
	must.False(t, tab.restored.ongoing)
	must.Zero(t, tab.recoveryUntil)
}

// The store comes back from a copy without the last order of a roll-out, or with an earlier one, and
// the operator writes the last one again. The roll-out must neither start anew nor return to the
// earlier version.
func TestRolloutOrderWrittenAgainAfterRestoreIsTheSame(t *testing.T) {
	for _, earlier := range []string{"", "v2"} {
		inFleet(t, 1, func(f *fleet) {
			f.start(0)
			order := func() routing.RolloutOrder { return *f.feeds[0].View().Rollouts["s"].Order }
			write := func(target string) {
				f.put(OwnRolloutOrderKey("s"), `{"target":"`+target+`","period":"30s"}`)
				time.Sleep(time.Second)
			}
			if earlier != "" {
				write(earlier)
			}
			f.restoreOlder(func() { write("v3") })
			given := order()
			must.Eq(f.t, "v3", given.Target)
			time.Sleep(2 * time.Second)
			must.Eq(f.t, given, order())
			write("v3")
			must.Eq(f.t, given.Revision, order().Renumbers)
			must.Greater(f.t, given.Revision, order().Revision)
			time.Sleep(rewriteWindow)
			f.put("config", "vv")
			time.Sleep(time.Second)
			write("v3")
			must.Zero(f.t, order().Renumbers)
		})
	}
}
