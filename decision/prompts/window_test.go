package prompts

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"mallowwind.dev/decision/route"
)

func seats(size, zones int) []HashedEngine {
	list := make([]HashedEngine, size)
	for i := range list {
		list[i] = HashedEngine{Zone: fmt.Sprintf("z%d", i%zones), Hash: route.Mix(uint64(i) + 1)}
	}
	return list
}

// Two daemons know the same engines in another order, and a zone has lost a fifth of its
// engines since the prompt was placed: the engine that read it, if it lives, is looked at
// all the same in 19 of 20 cases.
func TestPromptIsLookedForWhereItWasPlaced(t *testing.T) {
	const prompts = 500
	for _, c := range []struct{ size, zones int }{{161, 3}, {260, 5}, {1900, 7}} {
		then := seats(c.size, c.zones)
		now := slices.Clone(then)
		slices.Reverse(now)
		for i := range now {
			if i%(5*c.zones) == 0 {
				now[i].Hash = route.Mix(now[i].Hash) // it started anew
			}
		}
		missed, living, looked := 0, 0, 0
		for p := range uint64(prompts) {
			at := map[uint64]bool{}
			for _, i := range LookupCandidates(route.Mix(p), now) {
				at[now[i].Hash] = true
				looked++
			}
			for _, i := range PlacementCandidates(route.Mix(p), then) {
				if !slices.ContainsFunc(now, func(s HashedEngine) bool { return s.Hash == then[i].Hash }) {
					continue
				}
				living++
				if !at[then[i].Hash] {
					missed++
				}
			}
		}
		must.LessEq(t, living/20, missed)
		must.LessEq(t, (windowEngines+2*c.zones)*prompts, looked)
	}
}

// Windows have as many engines of each zone, and no engine is in the windows of many more
// prompts than another.
func TestWindowsAreEven(t *testing.T) {
	all := seats(260, 5)
	in := make([]int, len(all))
	for p := range uint64(5200) {
		zones := map[string]int{}
		for _, i := range PlacementCandidates(route.Mix(p), all) {
			in[i]++
			zones[all[i].Zone]++
		}
		must.MapLen(t, 5, zones)
		for _, n := range zones {
			must.Eq(t, windowEngines/5, n)
		}
	}
	must.Between(t, 140, slices.Min(in), 200)
	must.Between(t, 200, slices.Max(in), 260)
	must.SliceEmpty(t, PlacementCandidates(1, nil))
}
