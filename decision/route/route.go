// Package route decides which backend server gets a request.
//
// Load it answers: many short requests beside long ones on servers of uneven
// speed, prompts that share long prefixes, one prefix that takes most of the
// load, and thousands of servers before which hundreds of daemons stand.
//
// Without it, random choice leaves some servers with several times the mean
// load; always taking the least loaded by a lagging report sends every daemon
// to the same server; following the prefix alone overruns the server of a
// popular prefix; and every daemon connects to every server.
package route

import "sort"

// Rank orders candidates by distance; smaller is nearer.
type Rank uint8

// The ranks.
const (
	SameZone Rank = iota
	SameRegion
	Remote
	ranks
)

// Load is the state of one candidate that changes between two snapshots. The
// owner of the picker writes it; it outlives snapshots.
type Load struct {
	InFlight      int32 // requests of this daemon, exact
	Limit         int32 // how many there may be; 0 while ejected
	OtherInFlight int32 // what others were last reported to run there, lagging
	Slots         int32 // bound on the whole server
	// Weight falls below 1 while a server warms up; 0 counts as 1.
	Weight float32
}

// HasCapacity reports whether one more request may be sent.
func (l *Load) HasCapacity() bool { return l.InFlight < l.Limit }

// UrgentCapacity is how many more urgent requests the server had room for by its last
// report, beyond this daemon's limit there.
func (l *Load) UrgentCapacity() int32 {
	if l.Limit == 0 {
		return 0
	}
	return max(0, l.Slots-l.OtherInFlight-max(l.InFlight, l.Limit))
}

// Candidate is one backend server that can run the work.
type Candidate struct {
	ID   string
	Hash uint64 // of ID, spreads prefixes
	Rank Rank
	Load *Load
}

// Table is an immutable set of candidates, built off the hot path and swapped
// whole.
type Table struct {
	candidates []Candidate    // by rank
	ends       [ranks]int     // end of each rank in candidates
	rings      [ranks][]point // for prefixes
	index      map[string]int // by id
}

// point is one position of a candidate on the ring of prefixes.
type point struct {
	hash  uint64
	index int32
}

// pointsPerCandidate evens out the arcs of the ring; the bound on imbalance
// takes care of what remains.
const pointsPerCandidate = 8

// NewTable builds a table.
func NewTable(candidates []Candidate) *Table {
	t := &Table{
		candidates: append([]Candidate(nil), candidates...),
		index:      make(map[string]int, len(candidates)),
	}
	sort.SliceStable(t.candidates, func(i, j int) bool {
		return t.candidates[i].Rank < t.candidates[j].Rank
	})
	for i, c := range t.candidates {
		t.index[c.ID] = i
		for r := c.Rank; r < ranks; r++ {
			t.ends[r] = i + 1
		}
		t.addPoints(i, c)
	}
	for r := range t.rings {
		ring := t.rings[r]
		sort.Slice(ring, func(i, j int) bool { return ring[i].hash < ring[j].hash })
	}
	return t
}

func (t *Table) addPoints(i int, c Candidate) {
	h := c.Hash
	for range pointsPerCandidate {
		h = Mix(h)
		t.rings[c.Rank] = append(t.rings[c.Rank], point{hash: h, index: int32(i)})
	}
}

// Len is the number of candidates.
func (t *Table) Len() int { return len(t.candidates) }

// At returns candidate i.
func (t *Table) At(i int) *Candidate { return &t.candidates[i] }

// Mix spreads the bits of x; it is a bijection (the finaliser of splitmix64).
func Mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
