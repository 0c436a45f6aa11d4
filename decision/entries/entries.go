// Package entries decides which entry VMs an account is told to use. No
// balancer stands before them, so this answer is the balancer.
//
// Load it answers: a few accounts that bring most of the load, entry VMs that
// are replaced all day, and a zone that is lost while answers are kept.
//
// Without it, callers use the first address they know: one VM carries a large
// account alone, and callers go on connecting to a VM that is leaving.
//
// The VMs form a ring on which the zones alternate, and each account is told a
// window of it: as many VMs as its part of the load needs, at least Rule.Least.
// Windows begin where the parts of the accounts before it end, so that together
// they cover the ring evenly; independent draws leave one VM with twice the
// mean. A VM or an account more moves a window by a place or two.
//
// Where the account is not known there are no parts to place a window by: taken for
// zero they give everybody the same window, and in a fleet of 88 VMs five of six carry
// nothing. So each answer is another window (Any).
package entries

import (
	"math"
	"slices"
	"sort"
)

// SubsetRule says how many VMs an account is told.
type SubsetRule struct {
	// MinVMs is told to every account. Fewer leave VMs with uneven load, because
	// each then carries few accounts, and lose more when a zone goes.
	MinVMs int
	// Oversubscription is how many times the number of VMs that an account would fill on
	// its own it is told: callers pick among them unevenly.
	Oversubscription float64
}

// DefaultRule is the rule in use. Its values come from the study "entries" of
// bench load, in docs/design/33-load-entries.md: with up to sixteen VMs
// everybody is told all.
var DefaultRule = SubsetRule{MinVMs: 16, Oversubscription: 8}

// hysteresis is the part by which an account's load must shrink before it
// is told fewer VMs, so that noise does not move its callers.
const hysteresis = 0.7

// anyTold is how many VMs a caller is told whose account is not known: as many as
// callers take. Callers give up open connections to VMs that their next answer leaves
// out, so an answer should name most VMs of the one before: with 88 VMs it names two
// thirds of them or more, and a fifth if 16 are told. Up to 64 VMs all are told.
const anyTold = 64

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
	// LoadShare is the account's share of the whole load, 0 to 1, and Before that of
	// all accounts before it in an order that every VM computes alike.
	LoadShare, ShareBefore float64
	// PreviousCount is how many VMs the last answer named, 0 if none.
	PreviousCount int
	// Rotation rotates the order, so that callers that use the first address spread.
	Rotation uint64
}

// Reason says how the number of VMs came about.
type Reason string

// The reasons.
const (
	ReasonMinimum        Reason = "least"
	ReasonByLoad         Reason = "by_load"
	ReasonHysteresis     Reason = "kept"
	ReasonAll            Reason = "all"
	ReasonNone           Reason = "none"
	ReasonAccountUnknown Reason = "account_unknown"
)

// Selection names VMs by index, in the order the caller should try them.
type Selection struct {
	VMs    []int
	Reason Reason
}

// Select computes the answer to q from the VMs in view by the default rule.
func Select(vms []VM, q Query) Selection { return DefaultRule.Select(vms, q) }

// Select computes the answer to q from the VMs in view.
func (r SubsetRule) Select(vms []VM, q Query) Selection {
	ring := Ring(vms)
	if len(ring) == 0 {
		return Selection{Reason: ReasonNone}
	}
	n, why := r.count(len(ring), q)
	first := r.begin(len(ring), n, q)
	turn := int(q.Rotation % uint64(n))
	told := make([]int, n)
	for k := range told {
		told[k] = ring[(first+(k+turn)%n)%len(ring)]
	}
	return Selection{VMs: told, Reason: why}
}

// SelectForUnknownAccount computes the turn-th answer that the daemon on VM own, an index of vms, gives
// callers of whose account nothing is known.
//
// It guards against callers that all meet at a few VMs. That shows as links that are
// full while most are idle: streams fall silent and lookups take a second there. It
// holds whoever is asked: windows of different daemons in the same turn begin at
// different VMs, and those of one daemon follow each other round the ring. In as many
// answers as there are VMs each VM is named equally often, and first once, for callers
// that use the first address.
func SelectForUnknownAccount(vms []VM, own int, turn uint64) Selection {
	ring := Ring(vms)
	size := len(ring)
	if size == 0 {
		return Selection{Reason: ReasonNone}
	}
	n, why := anyTold, ReasonAccountUnknown
	if n >= size {
		n, why = size, ReasonAll
	}
	first := slices.Index(ring, own)
	if first < 0 { // it is leaving, and others may be with it
		first = int(vms[own].Hash % uint64(size))
	}
	first += int(turn%uint64(size)) * step(size, n)
	told := make([]int, n)
	for k := range told {
		told[k] = ring[(first+k)%size]
	}
	return Selection{VMs: told, Reason: why}
}

// step is how far on the next window of n out of size VMs begins: the least number
// from n on without a divisor in common with size, so that windows hardly overlap the
// one before and in size answers each place is the first of one.
func step(size, n int) int {
	for gcd(size, n) != 1 {
		n++
	}
	return n
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// begin is where an account's window of n out of size VMs starts: where the
// parts before it end, when all parts together go round the ring Spread times.
func (r SubsetRule) begin(size, n int, q Query) int {
	if n >= size {
		return 0
	}
	turns := q.ShareBefore * max(r.Oversubscription, 1)
	return int((turns-math.Floor(turns))*float64(size)) % size
}

// count is the number of VMs to tell out of n.
func (r SubsetRule) count(n int, q Query) (int, Reason) {
	want := min(n, max(r.MinVMs, ceil(r.Oversubscription*q.LoadShare*float64(n))))
	why := ReasonByLoad
	switch {
	case want == n:
		why = ReasonAll
	case want == min(n, r.MinVMs):
		why = ReasonMinimum
	}
	if q.PreviousCount > want && float64(want) > hysteresis*float64(q.PreviousCount) && q.PreviousCount <= n {
		return q.PreviousCount, ReasonHysteresis
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

// Ring returns the usable VMs so that the zones alternate as evenly as their
// sizes allow; within a zone the order is that of the hash of the id.
func Ring(vms []VM) []int {
	ring := make([]int, 0, len(vms))
	size := make(map[string]int, 8)
	for i := range vms {
		if vms[i].Usable {
			ring = append(ring, i)
			size[vms[i].Zone]++
		}
	}
	sort.Slice(ring, func(a, b int) bool {
		x, y := &vms[ring[a]], &vms[ring[b]]
		return x.Hash < y.Hash || x.Hash == y.Hash && x.ID < y.ID
	})
	place := make([]float64, len(vms))
	rank := make(map[string]int, len(size))
	for _, i := range ring {
		zone := vms[i].Zone
		place[i] = (float64(rank[zone]) + 0.5) / float64(size[zone])
		rank[zone]++
	}
	sort.SliceStable(ring, func(a, b int) bool {
		x, y := ring[a], ring[b]
		return place[x] < place[y] || place[x] == place[y] && vms[x].Zone < vms[y].Zone
	})
	return ring
}

// AccountLoad is one account's weight in the load.
type AccountLoad struct {
	Name   string
	Hash   uint64 // of Name
	Weight float64
}

// LoadPosition returns an account's part of the load and the parts before it, in
// the order of the hash of the names.
func LoadPosition(shares []AccountLoad, name string) (part, before float64) {
	var self AccountLoad
	for _, s := range shares {
		if s.Name == name {
			self = s
		}
	}
	sum := 0.0
	for _, s := range shares {
		sum += s.Weight
		if s.Hash < self.Hash || s.Hash == self.Hash && s.Name < self.Name {
			before += s.Weight
		}
	}
	if sum == 0 {
		return 0, 0
	}
	return self.Weight / sum, before / sum
}

// IsSelected reports whether VM i is among those that q's account is told, and how
// many that are. An entry VM uses it to know its part of the account's limit.
func (r SubsetRule) IsSelected(vms []VM, q Query, i int) (told int, member bool) {
	a := r.Select(vms, q)
	for _, j := range a.VMs {
		member = member || j == i
	}
	return len(a.VMs), member
}
