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

// A text is accepted, and before anything else happens the store goes down for
// hours. One daemon's watch had delivered the change. Its word must reach
// every zone, and VMs that are replaced during the outage must come up with
// the same text.
func TestStoreFailsRightAfterAcceptance(t *testing.T) {
	play(t, 3, 3, 1, func(f *fleet) {
		f.change()
		f.run(10 * time.Second)
		for _, n := range f.nodes[1:] {
			n.store.SetDown(true)
		}
		f.change()
		synctest.Wait()
		f.nodes[0].store.SetDown(true)
		f.run(9 * time.Second)
		f.converged()
		f.run(3 * time.Hour)
		for _, n := range f.nodes[:4] {
			f.start(n)
		}
		f.run(20 * time.Second)
		f.converged()
	})
}

// A whole deployment restarts while the store is down: nobody has a text, and
// every daemon must say so in its log instead of serving a guess. When the
// store returns all take the text up, without a rush of calls.
func TestBootWithoutAnyText(t *testing.T) {
	play(t, 3, 30, 2, func(f *fleet) {
		f.storeDown(true)
		f.change()
		for _, n := range f.nodes {
			f.start(n)
		}
		f.run(10 * time.Minute)
		must.Nil(t, f.nodes[0].Current())
		must.StrContains(t, f.log.String(), "config_unavailable")
		must.StrContains(t, f.log.String(), "config_store_lost")
		f.storeDown(false)
		f.run(10 * time.Second)
		f.converged()
	})
}

// The store is restored from a copy of last week and then serves that, also to
// fresh reads. Daemons must not bring last week's accounts back; only one that
// boots with no peer to ask could be fooled.
func TestOlderStoreIsNotFollowed(t *testing.T) {
	play(t, 1, 3, 3, func(f *fleet) {
		f.change()
		f.change()
		f.run(10 * time.Second)
		f.converged()
		ctx, keys := f.t.Context(), record.KeysOf("yard")
		head, err := record.ReadHead(ctx, f.store, keys)
		must.NoError(t, err)
		old := &record.Record{Revision: 1, ID: "change-1", SHA256: record.Hash(text(1))}
		version, err := f.store.CompareAndSwap(ctx, keys.Head(), head.Version, old.Encode(), 0)
		must.NoError(t, err)
		f.run(3 * time.Minute)
		f.converged()
		must.NoError(t, f.store.Delete(ctx, keys.Head(), version))
		f.run(3 * time.Minute)
		f.converged()
		must.StrContains(t, f.log.String(), "config_lower")
	})
}

// deafStore is a store whose watches stay open and never deliver, as over a
// connection that something in between has forgotten.
type deafStore struct{ store.Store }

type deafWatch struct{}

func (deafWatch) Next(ctx context.Context) ([]store.Event, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}
func (deafWatch) Revision() int64 { return 0 }
func (deafWatch) Close() error    { return nil }

func (deafStore) Watch(context.Context, string, int64) (store.Watcher, error) {
	return deafWatch{}, nil
}

// All watches went silent although their connections look open, so nobody is
// told of a change. The slow reads find it, and each watch that missed it is
// replaced by a fresh one.
func TestSilentWatchIsFound(t *testing.T) {
	play(t, 1, 2, 4, func(f *fleet) {
		f.change()
		f.run(10 * time.Second)
		for _, n := range f.nodes {
			f.startOn(n, deafStore{f.store})
		}
		f.run(5 * time.Second)
		f.change()
		f.run(2 * pollEvery)
		f.converged()
		must.StrContains(t, f.log.String(), "config_watch_stale")
	})
}

// A zone loses its links to the others and to the store for an hour while the
// text changes twice. It serves on with the text it had, and has the newest
// within seconds of the links' return.
func TestZonePartition(t *testing.T) {
	play(t, 3, 4, 5, func(f *fleet) {
		f.change()
		f.run(10 * time.Second)
		f.setCut("zone-1", true)
		f.change()
		f.change()
		f.run(time.Hour)
		for _, n := range f.nodes {
			want := uint64(3)
			if n.member.Zone == "zone-1" {
				want = 1
			}
			must.Eq(t, want, n.Digest(), must.Sprint(n.member.ID))
		}
		f.setCut("zone-1", false)
		f.run(9 * time.Second)
		f.converged()
	})
}

// Someone writes a text past mallowctl's checks, or the value is damaged. The
// daemons refuse it, say so, keep the text before, and take the next good one.
func TestBadTextIsRefused(t *testing.T) {
	play(t, 1, 3, 6, func(f *fleet) {
		f.change()
		f.run(5 * time.Second)
		f.accept("[site]\nname = yard\nzones = A\nnonsense = 1\n")
		f.run(5 * time.Second)
		must.Eq(t, 1, f.nodes[0].Digest())
		must.Eq(t, 2, f.nodes[0].Report().Rejected.Revision)
		f.accept("[site]\nname = other\nzones = A\n")
		f.run(5 * time.Second)
		must.Eq(t, 1, f.nodes[0].Digest())
		f.change()
		f.run(5 * time.Second)
		f.converged()
	})
}

// The store counts each waiting watch, and its rates do not grow with the
// fleet. Whatever the number of daemons, no more than two a zone may watch, the
// others ask rarely, and a change still reaches all within seconds.
func TestCostToTheStore(t *testing.T) {
	const (
		changes = 6
		every   = 16 * time.Second // 5,200 a day
	)
	for _, size := range []struct {
		zones, perZone int
		watches        int64
		callsPerS      float64
	}{
		{3, 2, 6, 0.2}, // in a small fleet all watch
		{7, 56, 14, 8},
	} {
		play(t, size.zones, size.perZone, 7, func(f *fleet) {
			f.change()
			f.run(30 * time.Second)
			f.converged()
			must.Eq(t, size.watches, f.watches())
			before := f.cost()
			for range changes {
				f.change()
				f.run(9 * time.Second)
				f.converged()
				f.run(every - 9*time.Second)
			}
			used, seconds := f.cost(), (changes * every).Seconds()
			calls := float64(used.StoreCalls-before.StoreCalls) / seconds
			must.Less(t, size.callsPerS, calls)
			t.Logf("%d daemons, 5,200 changes a day: %.2f calls/s of all, %.1f B/s of values a daemon, %d of %d texts from peers",
				len(f.nodes), calls, float64(used.StoreBytes-before.StoreBytes)/seconds/float64(len(f.nodes)),
				used.AdoptedFromPeers-before.AdoptedFromPeers, used.AdoptedFromPeers+used.AdoptedFromStore-before.AdoptedFromPeers-before.AdoptedFromStore)
		})
	}
}

func (f *fleet) cost() (sum Stats) {
	for _, n := range f.nodes {
		c := n.Stats()
		sum.StoreCalls += c.StoreCalls
		sum.StoreBytes += c.StoreBytes
		sum.AdoptedFromPeers += c.AdoptedFromPeers
		sum.AdoptedFromStore += c.AdoptedFromStore
	}
	return sum
}

// Whatever happens together and twice - changes, outages, slow and stale reads,
// partitions, lost VMs - no daemon's revision falls, none has a text that was not accepted,
// and all agree soon after the faults end.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(20) {
		play(t, 3, 3, seed, func(f *fleet) {
			for range 60 {
				f.fault()
				f.run(time.Duration(f.rng.IntN(8000)) * time.Millisecond)
			}
			f.heal()
			f.change()
			f.run(2 * pollEvery)
			f.converged()
		})
	}
}

func (f *fleet) fault() {
	n := f.nodes[f.rng.IntN(len(f.nodes))]
	zone := n.member.Zone
	switch f.rng.IntN(10) {
	case 0, 1:
		f.change()
	case 2:
		f.start(n)
	case 3:
		f.setCut(zone, true)
	case 4:
		f.setCut(zone, false)
	case 5:
		f.storeDown(f.rng.IntN(2) == 0)
	case 6:
		n.store.SetDelay(time.Duration(f.rng.IntN(3000)) * time.Millisecond)
	case 7:
		n.store.SetDown(true)
	case 8:
		n.stale.freeze(f.t.Context(), true)
	case 9:
		n.stale.freeze(f.t.Context(), false)
	}
}

func (f *fleet) heal() {
	for _, n := range f.nodes {
		f.setCut(n.member.Zone, false)
		n.store.SetDelay(0)
		n.store.SetDown(false)
		n.stale.freeze(f.t.Context(), false)
	}
}

func TestErrorsOfTheStoreAreTold(t *testing.T) {
	play(t, 1, 2, 8, func(f *fleet) {
		f.storeDown(true)
		f.run(5 * time.Second)
		r := f.nodes[0].Report()
		must.False(t, r.StoreDownSince.IsZero())
		must.NotEq(t, "", r.StoreError)
		f.storeDown(false)
		f.run(10 * time.Second)
		must.True(t, f.nodes[0].Report().StoreDownSince.IsZero())
		must.False(t, errors.Is(f.nodes[0].poll(f.t.Context()), store.ErrUnavailable))
	})
}
