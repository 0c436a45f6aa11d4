package route

import "sort"

const (
	// affinityLoadRatio is how far the load of a server may exceed that of the server found by two
	// random choices for it to be chosen for its cached prefix. The saved prefill is worth about a
	// quarter of the time that a request holds a slot; above this ratio, waiting costs more.
	affinityLoadRatio = 1.25
	// affinityProbes is how many servers along the hash ring are tried for a prefix. With two, a
	// popular prefix has a second server whose cache stays warm.
	affinityProbes = 2
)

// Reason says why a candidate was chosen.
type Reason string

// The reasons.
const (
	ReasonPreferred  Reason = "preferred"
	ReasonCached     Reason = "prefix_cached"
	ReasonPrefix     Reason = "prefix_affinity"
	ReasonTwoChoices Reason = "two_choices"
	ReasonOnlyRoom   Reason = "only_room"
	ReasonFarther    Reason = "farther_zone"
	ReasonNone       Reason = "none"
)

// Query describes a request for which a backend server is to be picked.
type Query struct {
	Prefix uint64 // hash of the leading block of the prompt, 0 if none
	// Cached is the id of the candidate last reported to hold the prefix, "" if none.
	Cached  string
	Prefer  string   // id of the candidate to pick if it is usable, "" if none
	Exclude []string // ids of candidates not to pick
	// Random holds two independent 32-bit random numbers.
	Random uint64
	// Urgent allows use of the server's free slots beyond this daemon's limit.
	Urgent bool
	// Overshoot allows a resumed request to exceed the limit by an eighth.
	Overshoot bool
	// AllZones considers the candidates of all zones of the region together. The candidate that
	// holds the prefix is considered, but not those to which the prefix is hashed. The requests of a
	// failed server come mostly from one zone. If they were resumed there, their prefills would
	// queue behind each other on the few servers left, which costs far more than a millisecond
	// between zones.
	AllZones bool
}

// Result is the choice; Index is -1 if no candidate is usable.
type Result struct {
	Index  int
	Reason Reason
}

// Pick chooses a usable candidate. It doesn't allocate.
func (t *Table) Pick(q *Query) Result {
	if i, ok := t.index[q.Prefer]; q.Prefer != "" && ok && t.isUsable(i, q) {
		return Result{i, ReasonPreferred}
	}
	if end := t.rankEnds[SameRegion]; q.AllZones && end > 0 {
		if res := t.pickAllZones(q, end); res.Index >= 0 {
			return res
		}
	}
	start := 0
	for r := SameZone; r < rankCount; r++ {
		end := t.rankEnds[r]
		if end > start {
			if res := t.pickRank(q, r, start, end); res.Index >= 0 {
				if r > SameZone && t.rankEnds[SameZone] > 0 {
					res.Reason = ReasonFarther
				}
				return res
			}
		}
		start = max(start, end)
	}
	return Result{-1, ReasonNone}
}

// pickAllZones chooses among the first end candidates, which are those of all zones of the region.
func (t *Table) pickAllZones(q *Query, end int) Result {
	i, reason := t.twoChoices(q, 0, end)
	if i < 0 {
		return Result{i, reason}
	}
	if j := t.cachedCandidate(q, 0, end); j >= 0 && t.isBalanced(j, i) {
		return Result{j, ReasonCached}
	}
	return Result{i, reason}
}

func (t *Table) pickRank(q *Query, r Rank, start, end int) Result {
	i, reason := t.twoChoices(q, start, end)
	if q.Prefix == 0 || i < 0 {
		return Result{i, reason}
	}
	if j := t.cachedCandidate(q, start, end); j >= 0 && t.isBalanced(j, i) {
		return Result{j, ReasonCached}
	}
	if j := t.affinityCandidate(q, r, i); j >= 0 {
		return Result{j, ReasonPrefix}
	}
	return Result{i, reason}
}

// twoChoices returns the less loaded of two random candidates. If neither is usable, it searches
// for any that is. The search is the only step whose cost grows with the number of candidates, and
// it is needed only near saturation.
func (t *Table) twoChoices(q *Query, start, end int) (int, Reason) {
	n := uint64(end - start)
	a := start + int((q.Random&0xffffffff)*n>>32)
	b := start + int((q.Random>>32)*n>>32)
	if a == b && n > 1 {
		b = start + (b-start+1)%int(n)
	}
	okA, okB := t.isUsable(a, q), t.isUsable(b, q)
	switch {
	case okA && okB:
		if t.score(b) < t.score(a) {
			return b, ReasonTwoChoices
		}
		return a, ReasonTwoChoices
	case okA:
		return a, ReasonTwoChoices
	case okB:
		return b, ReasonTwoChoices
	}
	for k := range int(n) {
		i := start + (a-start+k)%int(n)
		if t.isUsable(i, q) {
			return i, ReasonOnlyRoom
		}
	}
	return -1, ReasonNone
}

// cachedCandidate returns the candidate last reported to hold the prefix if it is usable and lies
// between start and end, otherwise -1. The report may be outdated or wrong, which costs no more than
// a prefill.
func (t *Table) cachedCandidate(q *Query, start, end int) int {
	i, ok := t.index[q.Cached]
	if q.Cached == "" || !ok || i < start || i >= end || !t.isUsable(i, q) {
		return -1
	}
	return i
}

// affinityCandidate walks the ring from the hash of the prefix and returns the first usable
// candidate that is not much more loaded than other, the one found by two random choices; -1 if
// there is none.
func (t *Table) affinityCandidate(q *Query, r Rank, other int) int {
	ring := t.rings[r]
	at := sort.Search(len(ring), func(k int) bool { return ring[k].hash >= q.Prefix })
	last := int32(-1)
	for tried := 0; tried < affinityProbes && len(ring) > 0; at++ {
		p := ring[at%len(ring)]
		if p.index == last {
			tried++
			continue
		}
		last = p.index
		tried++
		if t.isUsable(int(p.index), q) && t.isBalanced(int(p.index), other) {
			return int(p.index)
		}
	}
	return -1
}

// isBalanced bounds the imbalance that a cached prefix may cause. The load of candidate i may be at
// most affinityLoadRatio times that of other, which was found by two random choices, plus one
// request, so that affinity holds under light load.
func (t *Table) isBalanced(i, other int) bool {
	a, b := t.candidates[i].Load, t.candidates[other].Load
	return float32(a.InFlight) <= affinityLoadRatio*float32(b.InFlight)+1
}

// score returns the load of a candidate relative to its capacity. This daemon's requests count
// fully. The reported load of other daemons lags, so it counts half: enough to avoid a busy server,
// too little for all daemons to choose the same idle one.
func (t *Table) score(i int) float32 {
	l := t.candidates[i].Load
	weight := l.Weight
	if weight <= 0 {
		weight = 1
	}
	return (float32(l.InFlight) + 0.5*float32(l.OtherInFlight) + 1) / (float32(max(l.Limit, 1)) * weight)
}

func (t *Table) isUsable(i int, q *Query) bool {
	c := &t.candidates[i]
	hasCapacity := c.Load.HasCapacity()
	if !hasCapacity && q.Urgent {
		hasCapacity = c.Load.Limit > 0 && c.Load.InFlight+c.Load.OtherInFlight < c.Load.Slots
	}
	if !hasCapacity && q.Overshoot && c.Load.Limit > 0 {
		hasCapacity = c.Load.InFlight < c.Load.Limit+1+c.Load.Limit/8
	}
	if !hasCapacity {
		return false
	}
	for _, id := range q.Exclude {
		if id == c.ID {
			return false
		}
	}
	return true
}
