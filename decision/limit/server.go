// Package limit decides how much one backend server is given at once and how
// much one account may use.
//
// Load it answers: saturation, a backend server that slows down, and accounts
// that reach the system through several entry VMs at once.
//
// Without it, requests pile up inside the engines, where neither deadlines nor
// shares between accounts are known: the batch grows, every stream slows, and
// load reports tell so only after their lag.
package limit

import (
	"math"
	"time"
)

const (
	// tolerance is how much slower than its best a token gap may get before the
	// limit falls. A full batch of a continuously batching engine is about half
	// again as slow as a single stream; beyond twice the engine is overrun.
	tolerance = 2.0
	// smoothing is the share of a new limit taken over at each adjustment.
	smoothing = 0.2
	// gapMemory is how many observations the recent gap looks back on.
	gapMemory = 32
	// bestMemory is the time constant with which the best gap rises, so that a
	// change of model is learned. It is long against any saturation: a best gap
	// that rose with the load would never show that the server is overrun.
	bestMemory = 30 * time.Minute
	// adjustEvery is the least time between adjustments: about ten gaps, so that
	// each adjustment sees the effect of the one before.
	adjustEvery = 250 * time.Millisecond
	// waitingBackoff is the factor applied when the engine reports that it queues
	// requests itself.
	waitingBackoff = 0.8
	// minLimit keeps a path open on which recovery can be seen.
	minLimit = 1.0
)

// Concurrency learns how many requests one daemon may have at one backend server.
// Its own requests in flight are counted exactly; what other daemons do shows
// in the token gap and, with a lag, in the engine's report. The zero value is
// not usable. It is not safe for concurrent use.
type Concurrency struct {
	phase   float64
	limit   float64
	ceiling float64
	best    float64 // seconds
	recent  float64 // seconds
	seen    int
	next    time.Time
	report  time.Time // of the last report taken in
}

// NewConcurrency starts at this daemon's even share of slots among daemons. phase,
// in [0, 1), differs between the daemons of one backend server: a share of 3.3
// then means four at a third of the daemons and three at the others, and their
// sum is what the server can take.
func NewConcurrency(slots, daemons int, phase float64) Concurrency {
	share := even(slots, daemons)
	return Concurrency{limit: share, ceiling: share, phase: phase}
}

// even is the even share. With daemons 0 there is none: the server is far away
// and only what it reports free may be used.
func even(slots, daemons int) float64 {
	if daemons <= 0 {
		return 0
	}
	return float64(max(slots, 1)) / float64(daemons)
}

// Limit is the number of requests this daemon may have there. It is 0 only
// where the even share is less than one request and others use the server.
func (s *Concurrency) Limit() int {
	return int(min(s.limit, s.ceiling) + s.phase)
}

// ObserveTokenGap records the time between two tokens of one stream.
func (s *Concurrency) ObserveTokenGap(gap time.Duration) {
	g := gap.Seconds()
	if g <= 0 {
		return
	}
	if s.seen == 0 {
		s.best, s.recent = g, g
	}
	s.seen++
	s.recent += (g - s.recent) / gapMemory
	s.best = min(s.best, s.recent)
}

// Report is what the engine said of itself, some time ago.
type Report struct {
	TakenAt     time.Time
	Running     int
	Waiting     int
	Slots       int // 0 if unknown
	OwnInFlight int // requests of this daemon when the report was taken
	// SharingDaemons is how many daemons have an even share, Readers how many act on
	// the same report.
	SharingDaemons, ReadingDaemons int
}

// ApplyReport takes in a report. slots is the operators' bound on the whole
// backend server. The
// ceiling becomes what this daemon had then and its even part of what was
// free, never less than the even share. Each daemon reads the same old report:
// if each took all that was free, their sum would swing between too much and
// too little with the period of the reports.
func (s *Concurrency) ApplyReport(r Report, slots int) {
	if r.Slots > 0 && (slots <= 0 || r.Slots < slots) {
		slots = r.Slots
	}
	share := even(slots, r.SharingDaemons)
	if r.TakenAt.IsZero() {
		s.ceiling = share
		return
	}
	free := float64(slots - r.Running - r.Waiting)
	s.ceiling = max(share, float64(r.OwnInFlight)+free/float64(max(r.ReadingDaemons, 1)))
	if r.Waiting > 0 && r.TakenAt.After(s.report) && r.OwnInFlight > 0 {
		s.limit = max(share/2, min(minLimit, share), s.limit*waitingBackoff)
	}
	s.report = r.TakenAt
}

// Adjust moves the limit when it is due, and reports whether it changed. A
// limit that is not used says nothing, so it only grows when at least half of
// it is in flight.
func (s *Concurrency) Adjust(now time.Time, inFlight int) bool {
	if now.Before(s.next) {
		return false
	}
	s.next = now.Add(adjustEvery)
	s.best += (s.recent - s.best) * float64(adjustEvery) / float64(bestMemory)
	before := s.Limit()
	gradient := 1.0
	if s.seen >= gapMemory && s.recent > 0 {
		gradient = min(1, max(0.5, tolerance*s.best/s.recent))
	}
	target := s.limit * gradient
	if gradient == 1 {
		if float64(inFlight) < s.limit/2 {
			return false
		}
		target += math.Sqrt(s.limit)
	}
	s.limit += smoothing * (target - s.limit)
	s.limit = min(max(s.limit, min(minLimit, s.ceiling)), s.ceiling)
	return s.Limit() != before
}
