package route

import "sort"

const (
	// affinityBound is how far above the mean load of its rank a server may be
	// and still be chosen for its cached prefix. A prefill saved is worth about
	// a quarter of a slot's residence; beyond it the wait costs more.
	affinityBound = 1.25
	// affinityWalk is how many servers along the ring are tried for a prefix.
	// Two give a popular prefix a second home and keep its cache warm there.
	affinityWalk = 2
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

// Query asks for a backend server.
type Query struct {
	Prefix uint64 // hash of the leading block of the prompt, 0 if none
	// Cached names the candidate that was last said to hold the prefix, "" if none.
	Cached  string
	Prefer  string
	Exclude []string
	// Random is two independent 32-bit draws.
	Random uint64
	// Urgent lets a request use room that the server reported beyond the limit.
	Urgent bool
	// Overshoot lets a continuation go beyond the limit by an eighth.
	Overshoot bool
	// AllZones looks at all zones of the region at once, and at the candidate that
	// holds the prefix, but not where prefixes are sent by default. The work
	// of a lost server comes from one zone mostly: kept there, its prefills meet
	// on the few servers left and each waits for the others, which costs far
	// more than a millisecond between zones.
	AllZones bool
}

// Result is the choice; Index is -1 when none has room.
type Result struct {
	Index  int
	Reason Reason
}

// Pick chooses a candidate with room. It allocates nothing.
func (t *Table) Pick(q *Query) Result {
	if i, ok := t.index[q.Prefer]; q.Prefer != "" && ok && t.usable(i, q) {
		return Result{i, ReasonPreferred}
	}
	if end := t.ends[SameRegion]; q.AllZones && end > 0 {
		if res := t.spread(q, end); res.Index >= 0 {
			return res
		}
	}
	start := 0
	for r := SameZone; r < ranks; r++ {
		end := t.ends[r]
		if end > start {
			if res := t.pickRank(q, r, start, end); res.Index >= 0 {
				if r > SameZone && t.ends[SameZone] > 0 {
					res.Reason = ReasonFarther
				}
				return res
			}
		}
		start = max(start, end)
	}
	return Result{-1, ReasonNone}
}

// spread chooses among the first end candidates, of all zones of the region.
func (t *Table) spread(q *Query, end int) Result {
	i, why := t.two(q, 0, end)
	if i < 0 {
		return Result{i, why}
	}
	if j := t.warm(q, 0, end); j >= 0 && t.balanced(j, i) {
		return Result{j, ReasonCached}
	}
	return Result{i, why}
}

func (t *Table) pickRank(q *Query, r Rank, start, end int) Result {
	i, why := t.two(q, start, end)
	if q.Prefix == 0 || i < 0 {
		return Result{i, why}
	}
	if j := t.warm(q, start, end); j >= 0 && t.balanced(j, i) {
		return Result{j, ReasonCached}
	}
	if j := t.affine(q, r, i); j >= 0 {
		return Result{j, ReasonPrefix}
	}
	return Result{i, why}
}

// two takes the less loaded of two random candidates, and searches for any
// with room when neither has. The search is the only step that grows with the
// number of candidates, and only near saturation.
func (t *Table) two(q *Query, start, end int) (int, Reason) {
	n := uint64(end - start)
	a := start + int((q.Random&0xffffffff)*n>>32)
	b := start + int((q.Random>>32)*n>>32)
	if a == b && n > 1 {
		b = start + (b-start+1)%int(n)
	}
	okA, okB := t.usable(a, q), t.usable(b, q)
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
		if t.usable(i, q) {
			return i, ReasonOnlyRoom
		}
	}
	return -1, ReasonNone
}

// warm is the candidate that was last said to hold the prefix, if it is usable
// and of this rank. The hint may be old or wrong; then only a prefill is lost.
func (t *Table) warm(q *Query, start, end int) int {
	i, ok := t.index[q.Cached]
	if q.Cached == "" || !ok || i < start || i >= end || !t.usable(i, q) {
		return -1
	}
	return i
}

// affine walks the ring from the prefix and takes the first usable candidate
// that is not much more loaded than the one two choices gave.
func (t *Table) affine(q *Query, r Rank, other int) int {
	ring := t.rings[r]
	at := sort.Search(len(ring), func(k int) bool { return ring[k].hash >= q.Prefix })
	last := int32(-1)
	for tried := 0; tried < affinityWalk && len(ring) > 0; at++ {
		p := ring[at%len(ring)]
		if p.index == last {
			tried++
			continue
		}
		last = p.index
		tried++
		if t.usable(int(p.index), q) && t.balanced(int(p.index), other) {
			return int(p.index)
		}
	}
	return -1
}

// balanced bounds the imbalance that a cached prefix may cause: the server may
// hold at most affinityBound times the load of a server found by two choices,
// plus one request so that light load does not break affinity.
func (t *Table) balanced(i, other int) bool {
	a, b := t.candidates[i].Load, t.candidates[other].Load
	return float32(a.InFlight) <= affinityBound*float32(b.InFlight)+1
}

// score is the load of a candidate against what it can carry. Own requests
// count fully. Reported load of others lags, so it counts for half: enough to
// see a busy server, too little for all daemons to rush to an idle one.
func (t *Table) score(i int) float32 {
	l := t.candidates[i].Load
	weight := l.Weight
	if weight <= 0 {
		weight = 1
	}
	return (float32(l.InFlight) + 0.5*float32(l.OtherInFlight) + 1) / (float32(max(l.Limit, 1)) * weight)
}

func (t *Table) usable(i int, q *Query) bool {
	c := &t.candidates[i]
	room := c.Load.HasCapacity()
	if !room && q.Urgent {
		room = c.Load.Limit > 0 && c.Load.InFlight+c.Load.OtherInFlight < c.Load.Slots
	}
	if !room && q.Overshoot && c.Load.Limit > 0 {
		room = c.Load.InFlight < c.Load.Limit+1+c.Load.Limit/8
	}
	if !room {
		return false
	}
	for _, id := range q.Exclude {
		if id == c.ID {
			return false
		}
	}
	return true
}
