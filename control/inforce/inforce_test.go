package inforce

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"mallowwind.dev/control/inforce/record"
	"mallowwind.dev/external/store"
)

// The store fails for hours right after a text was accepted, when the watch of only one daemon has
// delivered the change. The text must still reach every zone through the peers, and VMs that are
// replaced during the outage must start with it.
func TestStoreFailsRightAfterAcceptance(t *testing.T) {
	withFleet(t, 3, 3, 1, func(f *fleet) {
		f.acceptNext()
		f.runGossip(10 * time.Second)
		for _, n := range f.nodes[1:] {
			n.store.SetDown(true)
		}
		f.acceptNext()
		synctest.Wait()
		f.nodes[0].store.SetDown(true)
		f.runGossip(9 * time.Second)
		f.assertConverged()
		f.runGossip(3 * time.Hour)
		for _, n := range f.nodes[:4] {
			f.start(n)
		}
		f.runGossip(20 * time.Second)
		f.assertConverged()
	})
}

// All daemons restart while the store is unavailable, so that none of them has a text. Each must log
// this and not make any text active. When the store returns, all must obtain the text.
func TestBootWithoutAnyText(t *testing.T) {
	withFleet(t, 3, 30, 2, func(f *fleet) {
		f.setStoreDown(true)
		f.acceptNext()
		for _, n := range f.nodes {
			f.start(n)
		}
		f.runGossip(10 * time.Minute)
		must.Nil(t, f.nodes[0].Current())
		must.StrContains(t, f.log.String(), "config_unavailable")
		must.StrContains(t, f.log.String(), "config_store_lost")
		f.setStoreDown(false)
		f.runGossip(10 * time.Second)
		f.assertConverged()
	})
}

// The store is restored from an older backup, so that even consistent reads return an old record, and
// later the record is deleted. Daemons must keep the newer text that they have. Only a daemon that
// boots without a peer to ask would adopt the old one.
func TestOlderRevisionInStoreIsIgnored(t *testing.T) {
	withFleet(t, 1, 3, 3, func(f *fleet) {
		f.acceptNext()
		f.acceptNext()
		f.runGossip(10 * time.Second)
		f.assertConverged()
		ctx, keys := f.t.Context(), record.KeysOf("yard")
		head, err := record.ReadHead(ctx, f.store, keys)
		must.NoError(t, err)
		old := &record.Record{Revision: 1, ID: "change-1", SHA256: record.Hash(siteText(1))}
		version, err := f.store.CompareAndSwap(ctx, keys.Head(), head.Version, old.Encode(), 0)
		must.NoError(t, err)
		f.runGossip(3 * time.Minute)
		f.assertConverged()
		must.NoError(t, f.store.Delete(ctx, keys.Head(), version))
		f.runGossip(3 * time.Minute)
		f.assertConverged()
		must.StrContains(t, f.log.String(), "config_lower")
	})
}

// silentStore is a store whose watches stay open but never deliver an event, as over a connection
// whose state a middlebox has dropped.
type silentStore struct{ store.Store }

type silentWatch struct{}

func (silentWatch) Next(ctx context.Context) ([]store.Event, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}
func (silentWatch) Revision() int64 { return 0 }
func (silentWatch) Close() error    { return nil }

func (silentStore) Watch(context.Context, string, int64) (store.Watcher, error) {
	return silentWatch{}, nil
}

// All watches stop delivering events although their connections look open. The periodic polls must
// find the change, and each watch that missed it must be replaced.
func TestSilentWatchIsReplaced(t *testing.T) {
	withFleet(t, 1, 2, 4, func(f *fleet) {
		f.acceptNext()
		f.runGossip(10 * time.Second)
		for _, n := range f.nodes {
			f.startWithStore(n, silentStore{f.store})
		}
		f.runGossip(5 * time.Second)
		f.acceptNext()
		f.runGossip(2 * pollInterval)
		f.assertConverged()
		must.StrContains(t, f.log.String(), "config_watch_stale")
	})
}

// A zone is partitioned from the other zones and the store for an hour while the text changes twice.
// Its daemons must keep the text that they had, and have the newest within seconds after the
// partition heals.
func TestZonePartition(t *testing.T) {
	withFleet(t, 3, 4, 5, func(f *fleet) {
		f.acceptNext()
		f.runGossip(10 * time.Second)
		f.setIsolated("zone-1", true)
		f.acceptNext()
		f.acceptNext()
		f.runGossip(time.Hour)
		for _, n := range f.nodes {
			want := uint64(3)
			if n.member.Zone == "zone-1" {
				want = 1
			}
			must.Eq(t, want, n.Digest(), must.Sprint(n.member.ID))
		}
		f.setIsolated("zone-1", false)
		f.runGossip(9 * time.Second)
		f.assertConverged()
	})
}

// An invalid text is written without mallowctl's checks, then one for another site. The daemons must
// reject and report them, keep the previous text, and adopt the next valid one.
func TestInvalidTextIsRejected(t *testing.T) {
	withFleet(t, 1, 3, 6, func(f *fleet) {
		f.acceptNext()
		f.runGossip(5 * time.Second)
		f.accept("[site]\nname = yard\nzones = A\nnonsense = 1\n")
		f.runGossip(5 * time.Second)
		must.Eq(t, 1, f.nodes[0].Digest())
		must.Eq(t, 2, f.nodes[0].Report().Rejected.Revision)
		f.accept("[site]\nname = other\nzones = A\n")
		f.runGossip(5 * time.Second)
		must.Eq(t, 1, f.nodes[0].Digest())
		f.acceptNext()
		f.runGossip(5 * time.Second)
		f.assertConverged()
	})
}

// The store counts each open watch and limits its call rate whatever the size of the fleet. Whatever
// the number of daemons, no more than two per zone may watch and the others may poll only rarely, and
// a change must still reach all of them within seconds.
func TestStoreLoad(t *testing.T) {
	const (
		changes  = 6
		interval = 16 * time.Second // 5,200 a day
	)
	for _, size := range []struct {
		zones, perZone int
		watches        int64
		callsPerS      float64
	}{
		{3, 2, 6, 0.2}, // in a small fleet all daemons watch
		{7, 56, 14, 8},
	} {
		withFleet(t, size.zones, size.perZone, 7, func(f *fleet) {
			f.acceptNext()
			f.runGossip(30 * time.Second)
			f.assertConverged()
			must.Eq(t, size.watches, f.openWatches())
			before := f.totalStats()
			for range changes {
				f.acceptNext()
				f.runGossip(9 * time.Second)
				f.assertConverged()
				f.runGossip(interval - 9*time.Second)
			}
			after, seconds := f.totalStats(), (changes * interval).Seconds()
			calls := float64(after.StoreCalls-before.StoreCalls) / seconds
			must.Less(t, size.callsPerS, calls)
			t.Logf("%d daemons, 5,200 changes a day: %.2f store calls/s in total, %.1f B/s of values per daemon, %d of %d texts from peers",
				len(f.nodes), calls, float64(after.StoreBytes-before.StoreBytes)/seconds/float64(len(f.nodes)),
				after.AdoptedFromPeers-before.AdoptedFromPeers, after.AdoptedFromPeers+after.AdoptedFromStore-before.AdoptedFromPeers-before.AdoptedFromStore)
		})
	}
}

func (f *fleet) totalStats() (sum Stats) {
	for _, n := range f.nodes {
		c := n.Stats()
		sum.StoreCalls += c.StoreCalls
		sum.StoreBytes += c.StoreBytes
		sum.AdoptedFromPeers += c.AdoptedFromPeers
		sum.AdoptedFromStore += c.AdoptedFromStore
	}
	return sum
}

// Under random sequences of changes, store outages, slow and stale reads, partitions and VM restarts,
// no daemon's revision may decrease and none may have a text that was not accepted. All must converge
// soon after the faults end.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(20) {
		withFleet(t, 3, 3, seed, func(f *fleet) {
			for range 60 {
				f.injectFault()
				f.runGossip(time.Duration(f.rng.IntN(8000)) * time.Millisecond)
			}
			f.clearFaults()
			f.acceptNext()
			f.runGossip(2 * pollInterval)
			f.assertConverged()
		})
	}
}

func (f *fleet) injectFault() {
	n := f.nodes[f.rng.IntN(len(f.nodes))]
	zone := n.member.Zone
	switch f.rng.IntN(10) {
	case 0, 1:
		f.acceptNext()
	case 2:
		f.start(n)
	case 3:
		f.setIsolated(zone, true)
	case 4:
		f.setIsolated(zone, false)
	case 5:
		f.setStoreDown(f.rng.IntN(2) == 0)
	case 6:
		n.store.SetDelay(time.Duration(f.rng.IntN(3000)) * time.Millisecond)
	case 7:
		n.store.SetDown(true)
	case 8:
		n.staleReads.freeze(f.t.Context(), true)
	case 9:
		n.staleReads.freeze(f.t.Context(), false)
	}
}

func (f *fleet) clearFaults() {
	for _, n := range f.nodes {
		f.setIsolated(n.member.Zone, false)
		n.store.SetDelay(0)
		n.store.SetDown(false)
		n.staleReads.freeze(f.t.Context(), false)
	}
}

// The report shows a store outage while it lasts.
func TestReportShowsStoreOutage(t *testing.T) {
	withFleet(t, 1, 2, 8, func(f *fleet) {
		f.setStoreDown(true)
		f.runGossip(5 * time.Second)
		r := f.nodes[0].Report()
		must.False(t, r.StoreDownSince.IsZero())
		must.NotEq(t, "", r.StoreError)
		f.setStoreDown(false)
		f.runGossip(10 * time.Second)
		must.True(t, f.nodes[0].Report().StoreDownSince.IsZero())
		must.False(t, errors.Is(f.nodes[0].poll(f.t.Context()), store.ErrUnavailable))
	})
}
