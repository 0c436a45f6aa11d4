// Package entries selects the entry VMs whose addresses an account's callers receive. No load
// balancer stands in front of the entry VMs, so this selection balances the load.
//
// It handles a few accounts that send most of the load, entry VMs that are replaced all day,
// and the loss of a zone while callers still hold older selections.
//
// Without it, callers use the first address they know: one VM carries a large account alone,
// and callers keep connecting to a VM that is leaving.
//
// The VMs form a ring on which the zones alternate. Each account is given a window of the
// ring: as many VMs as its share of the load needs, and at least SubsetRule.MinVMs. An
// account's window begins where the shares of the preceding accounts end, so that together the
// windows cover the ring evenly; independent random windows leave one VM with twice the mean
// load. Adding a VM or an account moves a window by one or two positions.
//
// If the account is unknown, there is no load share to place a window by. Treating the shares
// as zero gives every caller the same window, and in a fleet of 88 VMs five out of six carry
// no load. SelectForUnknownAccount therefore returns another window for each answer.
package entries

import (
	"math"
	"slices"
	"sort"
)

// SubsetRule determines how many VMs are selected for an account.
type SubsetRule struct {
	// MinVMs is the least number of VMs of an account. Smaller subsets load the VMs unevenly,
	// because each VM then serves few accounts, and lose more of their VMs when a zone is
	// lost.
	MinVMs int
	// Oversubscription multiplies the number of VMs that the account's load would fill,
	// because callers choose unevenly among the VMs that they are given.
	Oversubscription float64
}

// DefaultRule is the rule in use. Its values come from the study "entries" of bench load, in
// docs/design/33-load-entries.md: with up to sixteen VMs every account is given all of them.
var DefaultRule = SubsetRule{MinVMs: 16, Oversubscription: 8}

// shrinkRatio is the fraction of the previous window size that the new size must not exceed
// for the window to shrink, so that noise in the load does not move an account's callers.
const shrinkRatio = 0.7

// unknownAccountVMCount is the number of VMs selected for callers of unknown accounts, which
// is the most that callers use. Callers close connections to VMs that are missing from their
// next answer, so an answer should repeat most VMs of the previous one: with 88 VMs it repeats
// at least two thirds of them, and only a fifth if 16 are selected. Up to 64 VMs all are
// selected.
const unknownAccountVMCount = 64

// VM is one entry VM.
type VM struct {
	ID      string
	Hash    uint64 // of ID
	Zone    string
	Address string
	// Usable is false for a VM that is leaving, suspect or gone.
	Usable bool
}

// Query describes the account for which VMs are selected.
type Query struct {
	// LoadShare is the account's share of the total load, 0 to 1. ShareBefore is the sum of
	// the shares of all preceding accounts, in an order that every VM computes alike.
	LoadShare, ShareBefore float64
	// PreviousCount is the number of VMs in the previous selection, 0 if there was none.
	PreviousCount int
	// Rotation rotates the order of the selected VMs, to spread callers that use the first
	// address.
	Rotation uint64
}

// Reason explains the number of selected VMs.
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

// Selection lists VMs by index, in the order in which the caller should try them.
type Selection struct {
	VMs    []int
	Reason Reason
}

// Select returns the selection for q among vms by DefaultRule.
func Select(vms []VM, q Query) Selection { return DefaultRule.Select(vms, q) }

// Select returns the selection for q among vms.
func (r SubsetRule) Select(vms []VM, q Query) Selection {
	ring := Ring(vms)
	if len(ring) == 0 {
		return Selection{Reason: ReasonNone}
	}
	n, why := r.windowSize(len(ring), q)
	first := r.windowStart(len(ring), n, q)
	rotation := int(q.Rotation % uint64(n))
	selected := make([]int, n)
	for k := range selected {
		selected[k] = ring[(first+(k+rotation)%n)%len(ring)]
	}
	return Selection{VMs: selected, Reason: why}
}

// SelectForUnknownAccount returns the VMs that the daemon on vms[own] gives to callers of an
// unknown account in its rotation-th answer.
//
// It prevents all callers from meeting at a few VMs, whose links are then saturated while most
// are idle: streams stall and lookups take a second there. This holds whichever daemons are
// asked: at the same rotation the windows of different daemons begin at different VMs, and
// successive windows of one daemon follow each other around the ring. In as many answers as
// there are VMs, each VM is selected equally often and is first exactly once, for callers that
// use only the first address.
func SelectForUnknownAccount(vms []VM, own int, rotation uint64) Selection {
	ring := Ring(vms)
	size := len(ring)
	if size == 0 {
		return Selection{Reason: ReasonNone}
	}
	n, why := unknownAccountVMCount, ReasonAccountUnknown
	if n >= size {
		n, why = size, ReasonAll
	}
	first := slices.Index(ring, own)
	if first < 0 { // this daemon is leaving, and others may be leaving too
		first = int(vms[own].Hash % uint64(size))
	}
	first += int(rotation%uint64(size)) * windowStep(size, n)
	selected := make([]int, n)
	for k := range selected {
		selected[k] = ring[(first+k)%size]
	}
	return Selection{VMs: selected, Reason: why}
}

// windowStep returns the distance between the starts of successive windows of n out of size
// VMs: the smallest number from n on that is coprime to size, so that successive windows
// hardly overlap and in size answers every position is the start of one window.
func windowStep(size, n int) int {
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

// windowStart returns where an account's window of n out of size VMs starts: where the shares
// of the preceding accounts end, if all shares together go round the ring Oversubscription
// times.
func (r SubsetRule) windowStart(size, n int, q Query) int {
	if n >= size {
		return 0
	}
	laps := q.ShareBefore * max(r.Oversubscription, 1)
	return int((laps-math.Floor(laps))*float64(size)) % size
}

// windowSize returns the number of VMs to select out of n.
func (r SubsetRule) windowSize(n int, q Query) (int, Reason) {
	want := min(n, max(r.MinVMs, ceil(r.Oversubscription*q.LoadShare*float64(n))))
	why := ReasonByLoad
	switch {
	case want == n:
		why = ReasonAll
	case want == min(n, r.MinVMs):
		why = ReasonMinimum
	}
	if q.PreviousCount > want && float64(want) > shrinkRatio*float64(q.PreviousCount) && q.PreviousCount <= n {
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

// Ring returns the indexes of the usable VMs, ordered so that the zones alternate as evenly as
// their sizes allow. Within a zone the VMs are ordered by the hash of their id.
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
	position := make([]float64, len(vms))
	rank := make(map[string]int, len(size))
	for _, i := range ring {
		zone := vms[i].Zone
		position[i] = (float64(rank[zone]) + 0.5) / float64(size[zone])
		rank[zone]++
	}
	sort.SliceStable(ring, func(a, b int) bool {
		x, y := ring[a], ring[b]
		return position[x] < position[y] || position[x] == position[y] && vms[x].Zone < vms[y].Zone
	})
	return ring
}

// AccountLoad is one account's weight in the load.
type AccountLoad struct {
	Name   string
	Hash   uint64 // of Name
	Weight float64
}

// LoadPosition returns an account's share of the load and the sum of the shares of the
// accounts before it, in the order of the hash of the names.
func LoadPosition(loads []AccountLoad, name string) (share, before float64) {
	var self AccountLoad
	for _, s := range loads {
		if s.Name == name {
			self = s
		}
	}
	sum := 0.0
	for _, s := range loads {
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

// IsSelected reports whether VM i is in the selection for q, and how many VMs are selected. An
// entry VM uses it to compute its part of the account's limit.
func (r SubsetRule) IsSelected(vms []VM, q Query, i int) (selected int, isSelected bool) {
	a := r.Select(vms, q)
	for _, j := range a.VMs {
		isSelected = isSelected || j == i
	}
	return len(a.VMs), isSelected
}
