package prompts

import (
	"cmp"
	"slices"

	"mallowwind.dev/decision/route"
)

const (
	// candidateCount is the approximate number of engines over all zones from which the engine for
	// a prompt is chosen as long as one of them has capacity: enough for three rounds of queries.
	candidateCount = 10
	// lookupExtraPerZone is how many more engines of each zone are looked up for a prompt that was
	// prefilled earlier, because engines may have joined or left since.
	lookupExtraPerZone = 1
)

// HashedEngine is an engine as an input to rendezvous hashing: its zone, and the hash of the id of
// its current incarnation.
type HashedEngine struct {
	Zone string
	Hash uint64
}

// PlacementCandidates returns the indices of the engines from which the engine for a prompt with
// the given hash is chosen. The result is the same at every daemon that knows the same engines. It
// has equally many engines of each zone, chosen by rendezvous hashing, so that an engine that joins
// or leaves changes the candidates of only those prompts that have it among theirs.
//
// Load pattern: hundreds of daemons use hundreds of engines. Daemons fail, and their callers retry
// at other daemons, which don't know where the prompts were prefilled. Without it, a daemon either
// queries all engines for the prompts they hold, so that queries grow with the product of daemons
// and engines and the replies fill the daemon's link, or queries none, and each prompt is prefilled
// a second time.
func PlacementCandidates(prompt uint64, engines []HashedEngine) []int {
	return candidates(prompt, engines, 0)
}

// LookupCandidates returns the indices of the engines that may hold a prompt which another daemon
// placed on one of its PlacementCandidates.
func LookupCandidates(prompt uint64, engines []HashedEngine) []int {
	return candidates(prompt, engines, lookupExtraPerZone)
}

func candidates(prompt uint64, engines []HashedEngine, extraPerZone int) []int {
	zones := map[string][]int{}
	for i, e := range engines {
		zones[e.Zone] = append(zones[e.Zone], i)
	}
	perZone := extraPerZone + (candidateCount+len(zones)-1)/max(len(zones), 1)
	var list []int
	for _, members := range zones {
		slices.SortFunc(members, func(a, b int) int {
			return cmp.Compare(route.Mix(prompt^engines[a].Hash), route.Mix(prompt^engines[b].Hash))
		})
		list = append(list, members[:min(perZone, len(members))]...)
	}
	return list
}
