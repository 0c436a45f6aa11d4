package prompts

import (
	"cmp"
	"slices"

	"mallowwind.dev/decision/route"
)

const (
	// windowEngines is about how many engines of all zones a prompt is placed among, as
	// long as one of them has room: three rounds of questions.
	windowEngines = 10
	// windowSpare is how many more of each zone are looked at for a prompt that was read:
	// engines have joined and left since.
	windowSpare = 1
)

// HashedEngine is an engine as a place for prompts: its zone, and the hash of the id that it has
// for this life.
type HashedEngine struct {
	Zone string
	Hash uint64
}

// PlacementCandidates returns the indices of the engines among which a prompt with the given hash is
// placed, the same at every daemon that knows the same engines: as many in each zone, by
// rendezvous hashing. An engine more or less changes the windows of the few prompts that
// have it among their engines.
//
// Load it answers: hundreds of daemons before hundreds of engines, where daemons die and
// their callers come back at others, which know nothing of where the prompts were read.
// Without it a daemon asks all engines what they hold, so that questions grow with the
// product of both and the answers fill its link; or it asks none and each prompt is read
// a second time.
func PlacementCandidates(prompt uint64, seats []HashedEngine) []int { return window(prompt, seats, 0) }

// LookupCandidates returns the indices of the engines that may hold a prompt which another daemon
// placed in its window.
func LookupCandidates(prompt uint64, seats []HashedEngine) []int {
	return window(prompt, seats, windowSpare)
}

func window(prompt uint64, seats []HashedEngine, spare int) []int {
	zones := map[string][]int{}
	for i, s := range seats {
		zones[s.Zone] = append(zones[s.Zone], i)
	}
	each := spare + (windowEngines+len(zones)-1)/max(len(zones), 1)
	var list []int
	for _, members := range zones {
		slices.SortFunc(members, func(a, b int) int {
			return cmp.Compare(route.Mix(prompt^seats[a].Hash), route.Mix(prompt^seats[b].Hash))
		})
		list = append(list, members[:min(each, len(members))]...)
	}
	return list
}
