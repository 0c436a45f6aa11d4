// Package route decides which backend server gets a request.
//
// Load pattern: many short requests run beside long ones on servers of uneven speed; prompts share
// long prefixes, and one prefix may receive most of the load; hundreds of daemons use thousands of
// servers.
//
// Without it, random choice leaves some servers with several times the mean load; choosing the least
// loaded server by reports that lag makes every daemon choose the same one; choosing by prefix alone
// overloads the server of a popular prefix; and every daemon connects to every server.
package route

import "sort"

// Rank orders candidates by distance; smaller is nearer.
type Rank uint8

// The ranks.
const (
	SameZone Rank = iota
	SameRegion
	Remote
	rankCount
)

// Load is the changing state of one candidate. The owner of the Table updates it, and it outlives
// the Table.
type Load struct {
	InFlight      int32 // this daemon's requests, exact
	Limit         int32 // on InFlight; 0 while the server is ejected
	OtherInFlight int32 // requests of other daemons, as last reported by the server
	Slots         int32 // limit on the requests of all daemons
	// Weight falls below 1 while a server warms up; 0 counts as 1.
	Weight float32
}

// HasCapacity reports whether one more request may be sent within the limit.
func (l *Load) HasCapacity() bool { return l.InFlight < l.Limit }

// UrgentCapacity returns the number of slots that are free by the server's last report beyond this
// daemon's limit, and that urgent requests may use.
func (l *Load) UrgentCapacity() int32 {
	if l.Limit == 0 {
		return 0
	}
	return max(0, l.Slots-l.OtherInFlight-max(l.InFlight, l.Limit))
}

// Candidate is a backend server that can run the request.
type Candidate struct {
	ID   string
	Hash uint64 // of ID; places the candidate on the hash ring
	Rank Rank
	Load *Load
}

// Table is an immutable set of candidates. It is built off the hot path and replaced as a whole.
type Table struct {
	candidates []Candidate            // sorted by rank
	rankEnds   [rankCount]int         // index after the last candidate of each rank
	rings      [rankCount][]ringPoint // hash ring of prefixes for each rank
	index      map[string]int         // by id
}

// ringPoint is a position of a candidate on a hash ring.
type ringPoint struct {
	hash  uint64
	index int32
}

// pointsPerCandidate evens out the arcs of the hash ring. What imbalance remains is bounded by
// isBalanced.
const pointsPerCandidate = 8

// NewTable returns a table of the candidates, which it copies.
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
		for r := c.Rank; r < rankCount; r++ {
			t.rankEnds[r] = i + 1
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
		t.rings[c.Rank] = append(t.rings[c.Rank], ringPoint{hash: h, index: int32(i)})
	}
}

// Len returns the number of candidates.
func (t *Table) Len() int { return len(t.candidates) }

// At returns candidate i.
func (t *Table) At(i int) *Candidate { return &t.candidates[i] }

// Mix spreads the bits of x. It is a bijection, the finalizer of splitmix64.
func Mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
