package slopes

import (
	"context"
	"fmt"
	"math/rand/v2"

	"mallowwind.dev/control/membership"
	"mallowwind.dev/control/roster"
	"mallowwind.dev/decision/slot"
	"mallowwind.dev/external/store"
	"mallowwind.dev/lab/report"
)

// rosterExperiments are what the table of slots costs those who read it.
func rosterExperiments() []Experiment {
	return []Experiment{{
		X: report.Col("daemons", ""), Sizes: []int{7, 50, 100, 200, 390},
		Quantities: []Quantity{
			{"roster_bytes", "The roster of 1,024 slots in the store, by the daemons that own and witness them.", report.Col("bytes", "B")},
			{"roster_cpu", "Reading and decoding that roster for the first time.", report.Col("CPU", "µs")},
		},
		Run: rosterCost,
	}}
}

func rosterCost(ctx context.Context, n int, rng *rand.Rand) ([]float64, error) {
	kv := store.NewMemory()
	view := membership.Static{View: new(membership.View)}
	if _, err := roster.NewManager(kv, view, discard()).Commit(ctx, assignments(n, rng)); err != nil {
		return nil, err
	}
	value, err := kv.Get(ctx, roster.Key)
	if err != nil {
		return nil, err
	}
	ns, err := cpuPerCall(func() error { return roster.NewManager(kv, view, discard()).Refresh(ctx) })
	return []float64{float64(len(value.Value)), ns / 1000}, err
}

// assignments gives each slot to two of n daemons, each by a change of its own
// owner, as after a while of daemons coming and going.
func assignments(n int, rng *rand.Rand) []slot.Assignment {
	vms := fleet(n, 0)
	member := func(i int) slot.Member {
		vm := vms[i%n]
		return slot.Member{ID: vm.ID, Incarnation: 1_790_000_000_000_000_000 + uint64(i%n), Zone: vm.Zone, PeerAddr: vm.Address}
	}
	out := make([]slot.Assignment, slot.Count)
	for i := range out {
		owner := rng.IntN(n)
		out[i] = slot.Assignment{
			Slot: i, Term: 1, Owner: member(owner), Witness: member(owner + 1 + rng.IntN(n-1)),
			ChangeID: fmt.Sprintf("%032x", owner),
		}
	}
	return out
}
