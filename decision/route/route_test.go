package route

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// candidates are n servers in three zones; the first third is near.
func candidates(n int, limit int32) []Candidate {
	cs := make([]Candidate, n)
	for i := range cs {
		id := fmt.Sprintf("b%04d", i)
		cs[i] = Candidate{
			ID: id, Hash: xxhash.Sum64String(id), Rank: Rank(min(i*3/n, 1)),
			Load: &Load{Limit: limit},
		}
	}
	return cs
}

func TestNearServersFirstThenFarther(t *testing.T) {
	cs := candidates(6, 1)
	table := NewTable(cs)
	random := rand.New(rand.NewPCG(1, 1))
	for k := range 6 {
		r := table.Pick(&Query{Random: random.Uint64()})
		must.GreaterEq(t, 0, r.Index)
		c := table.At(r.Index)
		test.Eq(t, k >= 2, c.Rank > SameZone)
		test.Eq(t, k >= 2, r.Reason == ReasonFarther)
		c.Load.InFlight++
	}
	test.Eq(t, Result{-1, ReasonNone}, table.Pick(&Query{Random: random.Uint64()}))
}

// One popular prompt overruns the server that holds its prefix.
// All requests share one prefix; affinity alone sends each to the same server.
// The bound on imbalance must spread them although the prefix is cached there.
func TestPopularPrefixDoesNotOverrunItsServer(t *testing.T) {
	cs := candidates(12, 100)
	for i := range cs {
		cs[i].Rank = SameZone
	}
	table := NewTable(cs)
	random := rand.New(rand.NewPCG(1, 1))
	first := table.Pick(&Query{Prefix: 42, Cached: "b0003", Random: random.Uint64()})
	must.Eq(t, ReasonCached, first.Reason)
	must.Eq(t, "b0003", table.At(first.Index).ID)
	for range 240 {
		r := table.Pick(&Query{Prefix: 42, Cached: "b0003", Random: random.Uint64()})
		table.At(r.Index).Load.InFlight++
	}
	for i := range table.Len() {
		test.LessEq(t, 30, table.At(i).Load.InFlight)
	}
	test.NotEq(t, ReasonCached, table.Pick(&Query{Prefix: 43, Cached: "gone", Random: 1}).Reason)
}

func TestSamePrefixGoesToTheSameServerUnderLightLoad(t *testing.T) {
	table := NewTable(candidates(30, 8))
	random := rand.New(rand.NewPCG(1, 1))
	want := table.Pick(&Query{Prefix: 7, Random: random.Uint64()}).Index
	for range 50 {
		must.Eq(t, want, table.Pick(&Query{Prefix: 7, Random: random.Uint64()}).Index)
	}
}

func TestPickProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cs := candidates(rapid.IntRange(1, 40).Draw(t, "n"), 0)
		room := 0
		exclude := []string{cs[0].ID}
		for i := range cs {
			cs[i].Load.Limit = int32(rapid.IntRange(0, 3).Draw(t, "limit"))
			cs[i].Load.InFlight = int32(rapid.IntRange(0, 3).Draw(t, "inflight"))
			if i > 0 && cs[i].Load.HasCapacity() {
				room++
			}
		}
		table := NewTable(cs)
		q := Query{Random: rapid.Uint64().Draw(t, "random"), Prefix: rapid.Uint64().Draw(t, "prefix"), Exclude: exclude}
		r := table.Pick(&q)
		if (r.Index >= 0) != (room > 0) {
			t.Fatalf("picked %d with %d servers that have room", r.Index, room)
		}
		if r.Index >= 0 && (!table.At(r.Index).Load.HasCapacity() || table.At(r.Index).ID == exclude[0]) {
			t.Fatalf("picked %v", table.At(r.Index))
		}
	})
}

func TestSubsetCoversAllServersEvenly(t *testing.T) {
	daemons, backends := hashes("d", 56), hashes("b", 271)
	count := make([]int, len(backends))
	for _, d := range daemons {
		window := Subset(d, daemons, backends, SubsetSize)
		must.SliceLen(t, SubsetSize, window)
		for _, i := range window {
			count[i]++
		}
	}
	for _, n := range count {
		test.Between(t, 4, n, 6)
	}
	test.SliceLen(t, 5, Subset(daemons[0], daemons, backends[:5], SubsetSize))
}

func hashes(prefix string, n int) []uint64 {
	out := make([]uint64, n)
	for i := range out {
		out[i] = xxhash.Sum64String(fmt.Sprintf("%s-%d", prefix, i))
	}
	return out
}

// BenchmarkPick measures one decision: light load, and nine of ten servers full.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{10, 100, 2000} {
		for _, full := range []bool{false, true} {
			cs := candidates(n, 10)
			for i := range cs {
				if full && i%10 != 0 {
					cs[i].Load.InFlight = 10
				}
			}
			table := NewTable(cs)
			random := rand.New(rand.NewPCG(1, 1))
			b.Run(fmt.Sprintf("servers=%d/full=%v", n, full), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					q := Query{Random: random.Uint64(), Prefix: random.Uint64()}
					if table.Pick(&q).Index < 0 {
						b.Fatal("nothing picked")
					}
				}
			})
		}
	}
}

// BenchmarkNewTable measures what is done off the hot path.
func BenchmarkNewTable(b *testing.B) {
	for _, n := range []int{10, 100, 2000} {
		cs := candidates(n, 10)
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				NewTable(cs)
			}
		})
	}
}

// An engine dies with the answers of its zone. Their continuations go to the
// engines of all zones alike, not to the few that are left beside it, except
// where one is known to hold the prompt.
func TestContinuationsSpreadOverZones(t *testing.T) {
	table := NewTable(candidates(9, 32)) // three of them near
	random := rand.New(rand.NewPCG(5, 5))
	counts := map[int]int{}
	for range 900 {
		counts[table.Pick(&Query{Prefix: 42, Random: random.Uint64(), Overshoot: true, AllZones: true}).Index]++
	}
	for i := range 9 {
		must.Between(t, 60, counts[i], 150)
	}
	r := table.Pick(&Query{Prefix: 42, Cached: "b0007", Random: 1, AllZones: true})
	must.Eq(t, "b0007", table.At(r.Index).ID)
	must.Eq(t, ReasonCached, r.Reason)
}
