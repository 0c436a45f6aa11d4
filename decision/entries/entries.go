// Package entries decides which entry VMs an account is told to use. No
// balancer stands before them, so this answer is the balancer.
//
// Load it answers: a few accounts that bring most of the load, entry VMs that
// are replaced all day, and a zone that is lost while answers are kept.
//
// Without it, callers use the first address they know: one VM carries a large
// account alone, and callers go on connecting to a VM that is leaving.
//
// Each account has its own order of the VMs of each zone (rendezvous hashing),
// so that a VM more or less changes few answers. It is told as many VMs as its
// part of the load needs, at least minTold, taken from the zones in turn.
package entries

import (
	"sort"
	"time"
)

const (
	// minTold is the least number of VMs an account is told: with three in
	// different zones, one may be lost with its zone and another be replaced.
	minTold = 3
	// spread is how many times the number of VMs that an account would fill on
	// its own it is told. Callers pick among them unevenly; twice leaves room.
	spread = 2.0
	// hysteresis is the part by which an account's load must shrink before it
	// is told fewer VMs, so that noise does not move its callers.
	hysteresis = 0.7
	// MaxTTL bounds how long an answer may be kept whatever the site text says.
	MaxTTL = 5 * time.Minute
)

// VM is one entry VM.
type VM struct {
	ID      string
	Hash    uint64 // of ID
	Zone    string
	Address string
	// Usable is false for a VM that is leaving, suspect or gone.
	Usable bool
}

// Query asks for an account's answer.
type Query struct {
	Account uint64 // hash of the account's name
	// Part is the account's share of the whole load, 0 to 1.
	Part float64
	// Told is how many VMs the last answer named, 0 if none.
	Told int
	// Turn rotates the order, so that callers that use the first address spread.
	Turn uint64
}

// Reason says how the number of VMs came about.
type Reason string

// The reasons.
const (
	ReasonLeast Reason = "least"
	ReasonPart  Reason = "by_load"
	ReasonKept  Reason = "kept"
	ReasonAll   Reason = "all"
	ReasonNone  Reason = "none"
)

// Answer names VMs by index, in the order the caller should try them.
type Answer struct {
	VMs    []int
	Reason Reason
}

// Answers computes the answer to q from the VMs in view.
func Answers(vms []VM, q Query) Answer {
	order := Order(vms, q.Account)
	if len(order) == 0 {
		return Answer{Reason: ReasonNone}
	}
	n, why := count(len(order), q)
	told := order[:n]
	rotated := make([]int, 0, n)
	first := int(q.Turn % uint64(n))
	rotated = append(rotated, told[first:]...)
	rotated = append(rotated, told[:first]...)
	return Answer{VMs: rotated, Reason: why}
}

// count is the number of VMs to tell out of n.
func count(n int, q Query) (int, Reason) {
	want := min(n, max(minTold, ceil(spread*q.Part*float64(n))))
	why := ReasonPart
	switch {
	case want == n:
		why = ReasonAll
	case want == min(n, minTold):
		why = ReasonLeast
	}
	if q.Told > want && float64(want) > hysteresis*float64(q.Told) && q.Told <= n {
		return q.Told, ReasonKept
	}
	return want, why
}

func ceil(x float64) int {
	n := int(x)
	if float64(n) < x {
		n++
	}
	return n
}

// Order returns the usable VMs in the account's order: its favourite of each
// zone, then the second of each, and so on. Zones themselves are in the
// account's order too, so that no zone is everybody's first.
func Order(vms []VM, account uint64) []int {
	place := make(map[string]int, 8)
	order := make([]int, 0, len(vms))
	for i := range vms {
		if vms[i].Usable {
			order = append(order, i)
		}
	}
	score := func(i int) uint64 { return mix(account ^ mix(vms[i].Hash)) }
	sort.Slice(order, func(a, b int) bool { return score(order[a]) > score(order[b]) })
	round := make([]int, len(vms))
	for _, i := range order {
		round[i] = place[vms[i].Zone]
		place[vms[i].Zone]++
	}
	sort.SliceStable(order, func(a, b int) bool { return round[order[a]] < round[order[b]] })
	return order
}

// Member reports whether VM i is among those that q's account is told, and how
// many that are. An entry VM uses it to know its part of the account's limit.
func Member(vms []VM, q Query, i int) (told int, member bool) {
	order := Order(vms, q.Account)
	n, _ := count(len(order), q)
	for _, j := range order[:min(n, len(order))] {
		if j == i {
			member = true
		}
	}
	return n, member
}

// TTL is how long an answer may be kept: the operators' value within bounds.
// A leaving VM serves on for as long after it left the answers.
func TTL(configured time.Duration) time.Duration {
	return min(max(configured, time.Second), MaxTTL)
}

// mix spreads the bits of x (the finaliser of splitmix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
