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

// Guards against requests to servers that leave or are gone, which an older copy shows as ready.
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

// Guards against the loss of live servers that an older copy lacks, and against keeping dead ones.
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

// Guards against a return to the older configuration of a restored store.
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

// Guards against removed keys that work at a daemon which starts before the operator writes again.
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

// Guards against waiting for a peer that has not heard that the store was restored.
func TestPeerOfEarlierEraIsNoSource(t *testing.T) {
	inFleet(t, 2, func(f *fleet) {
		f.start(0)
		f.start(1)
		time.Sleep(2 * time.Second)
		must.Eq(f.t, peerUsable, f.feeds[0].pollPeer(f.ctx, "1:1", 0))
		f.faultyStores[1].SetDown(true)
		f.unresponsive.Store(0, true) // the peer learns nothing from the daemon
		f.store.Restore(f.store.Copy())
		time.Sleep(200 * time.Millisecond) // the peer does not count the store as lost yet
		must.Eq(f.t, 1, store.EraOf(f.feeds[0].revision.Load()))
		must.Eq(f.t, peerUnusable, f.feeds[0].pollPeer(f.ctx, "1:1", 0))
	})
}

// Guards against a refused request that runs again because the restored store lacks its entry.
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

// Guards against a fleet that writes all its entries again at once after a restoration.
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

// Guards against an entry VM that is forgotten before it can register again, because a second peer tells of
// its removal.
func TestRepeatedRemovalDoesNotShortenGraceAfterRestore(t *testing.T) {
	const vm = vmPrefix + "1"
	for _, repeatedAfter := range []time.Duration{0, 100 * time.Millisecond, reregisterWindow, leaseTTL - time.Second} {
		tab := newTable(textSchema{}, event.Discard())
		tab.replaceAll(0, store.NewListing([]store.KV{testEntry(vm, `{"id":"1","address":"1:2"}`, 5)}, 7))
		restored := store.VersionIn(1, 4)
		tab.beginEra(time.Hour, restored)
		tab.replaceAll(time.Hour, store.NewListing(nil, restored))
		tab.entries.setComplete(restored)
		tab.endRestoration(restored)
		tab.applyEvents(time.Hour+repeatedAfter, []store.Event{deleteEvent(vm, restored+1)})
		tab.expire(time.Hour + leaseTTL - time.Millisecond)
		must.MapContainsKey(t, tab.vms, vm, must.Sprint(repeatedAfter))
		tab.expire(time.Hour + leaseTTL)
		must.MapEmpty(t, tab.vms, must.Sprint(repeatedAfter))
	}
}

// Guards against a daemon that starts and takes a store restored earlier for one restored now.
func TestFirstReadOfRestoredStoreKeepsNothing(t *testing.T) {
	tab := newTable(textSchema{}, event.Discard())
	tab.beginEra(0, store.VersionIn(3, 7))
	tab.replaceAll(0, store.NewListing([]store.KV{testEntry("server/1", "1:1", store.VersionIn(3, 5))}, store.VersionIn(3, 7)))
	must.Nil(t, tab.endRestoration(store.VersionIn(3, 7)))
	must.False(t, tab.restored.ongoing)
	must.Zero(t, tab.recoveryUntil)
}

// Guards against a roll-out that starts anew, or goes back, when its order is written again.
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
