package route

import "sort"

// SubsetSize is the maximum number of candidates of one zone that a daemon uses. With fewer than
// about twenty, two random choices no longer even out the load. Each further one costs a connection
// and a status poll per daemon. 24 is the smallest size that keeps the most loaded backend server
// within a tenth of the mean (docs/design/31-load-routing.md).
const SubsetSize = 24

// Subset returns the indices of the at most size backends that the daemon self uses. Every daemon
// computes the same subset from the same two lists.
//
// Backends and daemons are each sorted by the hash of their ids. The sorted backends form a ring,
// and daemon i of n uses the consecutive backends that begin at i/n of its length. All backends are
// then in equally many subsets, give or take one, whereas independent choices by rendezvous hashing
// leave some backends in one and a half times the mean. A daemon or backend that joins or leaves
// shifts each subset by at most one n-th of the ring, so that few connections change.
func Subset(self uint64, daemons, backends []uint64, size int) []int {
	order := make([]int, len(backends))
	for i := range order {
		order[i] = i
	}
	if len(backends) <= size {
		return order
	}
	sort.Slice(order, func(a, b int) bool {
		x, y := Mix(backends[order[a]]), Mix(backends[order[b]])
		return x < y || x == y && order[a] < order[b]
	})
	rank, n := 0, 1
	for _, d := range daemons {
		if d == self {
			continue
		}
		n++
		if Mix(d) < Mix(self) {
			rank++
		}
	}
	start := rank * len(order) / n
	subset := make([]int, 0, size)
	for k := range size {
		subset = append(subset, order[(start+k)%len(order)])
	}
	return subset
}
