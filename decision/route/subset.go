package route

import "sort"

// SubsetSize is how many candidates of one zone a daemon uses at most. With
// fewer than about twenty two choices no longer even out the load; each more
// costs a connection and a poll per daemon. The value is the smallest in the
// measurement of docs/design/31-load-routing.md that keeps the most loaded
// backend server within a tenth of the mean.
const SubsetSize = 24

// Subset returns the indices of the backends that the daemon self uses, at
// most size of them, the same wherever it is computed from the same two lists.
//
// Backends and daemons are each put in the order of the hash of their ids.
// Daemon i of n takes a window of the ring of backends that begins at i/n of
// its length. All backends are then in as many windows, give or take one,
// where independent draws (rendezvous hashing) leave some with half again the
// mean. A daemon or backend more or less moves each window by at most one
// part in n, so few connections change.
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
	window := make([]int, 0, size)
	for k := range size {
		window = append(window, order[(start+k)%len(order)])
	}
	return window
}
