// Package rendezvous says which of several members concern themselves with a key, the same
// at every daemon that knows the same members. A member more or less changes that only for
// the keys that are, or were, its own.
package rendezvous

import (
	"cmp"
	"slices"

	"mallowwind.dev/decision/route"
)

// Select returns the indices of the n members nearest to a key, the nearest first, by
// rendezvous hashing; fewer where there are fewer.
func Select(key uint64, members []uint64, n int) []int {
	if n <= 0 || len(members) == 0 {
		return nil
	}
	if n == 1 {
		return []int{nearest(key, members)}
	}
	order := make([]int, len(members))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(route.Mix(key^members[a]), route.Mix(key^members[b]))
	})
	return order[:min(n, len(order))]
}

func nearest(key uint64, members []uint64) int {
	best, at := uint64(0), -1
	for i, m := range members {
		if h := route.Mix(key ^ m); at < 0 || h < best {
			best, at = h, i
		}
	}
	return at
}
