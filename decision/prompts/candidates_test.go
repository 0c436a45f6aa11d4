package prompts

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"mallowwind.dev/decision/route"
)

func hashedEngines(size, zones int) []HashedEngine {
	list := make([]HashedEngine, size)
	for i := range list {
		list[i] = HashedEngine{Zone: fmt.Sprintf("z%d", i%zones), Hash: route.Mix(uint64(i) + 1)}
	}
	return list
}

// Another daemon knows the same engines in another order, and a zone has replaced a fifth of its
// engines since the prompt was placed. In 19 of 20 cases, the engine that prefilled the prompt is
// still among the engines looked up if it has not been replaced.
func TestLookupFindsPlacedPrompts(t *testing.T) {
	const prompts = 500
	for _, c := range []struct{ size, zones int }{{161, 3}, {260, 5}, {1900, 7}} {
		before := hashedEngines(c.size, c.zones)
		after := slices.Clone(before)
		slices.Reverse(after)
		for i := range after {
			if i%(5*c.zones) == 0 {
				after[i].Hash = route.Mix(after[i].Hash) // restarted with a new id
			}
		}
		missed, alive, lookups := 0, 0, 0
		for p := range uint64(prompts) {
			found := map[uint64]bool{}
			for _, i := range LookupCandidates(route.Mix(p), after) {
				found[after[i].Hash] = true
				lookups++
			}
			for _, i := range PlacementCandidates(route.Mix(p), before) {
				if !slices.ContainsFunc(after, func(e HashedEngine) bool { return e.Hash == before[i].Hash }) {
					continue
				}
				alive++
				if !found[before[i].Hash] {
					missed++
				}
			}
		}
		must.LessEq(t, alive/20, missed)
		must.LessEq(t, (candidateCount+2*c.zones)*prompts, lookups)
	}
}

// Each prompt has equally many candidates in each zone, and no engine is a candidate of many more
// prompts than another.
func TestPlacementCandidatesAreBalanced(t *testing.T) {
	all := hashedEngines(260, 5)
	promptsOf := make([]int, len(all))
	for p := range uint64(5200) {
		zones := map[string]int{}
		for _, i := range PlacementCandidates(route.Mix(p), all) {
			promptsOf[i]++
			zones[all[i].Zone]++
		}
		must.MapLen(t, 5, zones)
		for _, n := range zones {
			must.Eq(t, candidateCount/5, n)
		}
	}
	must.Between(t, 140, slices.Min(promptsOf), 200)
	must.Between(t, 200, slices.Max(promptsOf), 260)
	must.SliceEmpty(t, PlacementCandidates(1, nil))
}
