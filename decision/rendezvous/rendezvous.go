// Package rendezvous assigns keys to members by rendezvous hashing. Every daemon that knows the same
// members computes the same assignment, and a member that joins or leaves changes the assignment of
// only those keys that it takes over or gives up.
package rendezvous

import (
	"cmp"
	"slices"

	"mallowwind.dev/decision/route"
)

// Select returns the indices of the n members whose hashes combined with the key are lowest, in
// ascending order, or of all members if there are fewer than n.
func Select(key uint64, members []uint64, n int) []int {
	if n <= 0 || len(members) == 0 {
		return nil
	}
	if n == 1 {
		return []int{lowest(key, members)}
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

// lowest returns the index of the member whose hash combined with the key is lowest.
func lowest(key uint64, members []uint64) int {
	minHash, at := uint64(0), -1
	for i, m := range members {
		if h := route.Mix(key ^ m); at < 0 || h < minHash {
			minHash, at = h, i
		}
	}
	return at
}
