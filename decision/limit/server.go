// Package limit limits how many requests a daemon has in flight at a backend server and how
// much work an account may send.
//
// It handles saturation, a backend server that slows down, and accounts that reach the system
// through several entry VMs at once.
//
// Without it, requests accumulate inside the engines, where neither deadlines nor the
// accounts' shares are known: the batch grows, every stream slows down, and load reports show
// it only after their lag.
package limit

import (
	"math"
	"time"
)

const (
	// gapToleranceRatio is the ratio of the recent to the best token gap above which the limit
	// falls. A full batch of a continuously batching engine is about half again as slow as a
	// single stream; beyond twice the best gap the engine is overloaded.
	gapToleranceRatio = 2.0
	// smoothingRatio is the share of a new limit that is applied at each adjustment.
	smoothingRatio = 0.2
	// gapWindowCount is the number of token gaps over which the recent gap is smoothed.
	gapWindowCount = 32
	// bestGapTimeConstant is the time constant with which the best gap rises, so that a change
	// of model is learned. It is long compared with any saturation: a best gap that rose with
	// the load would hide that the server is overloaded.
	bestGapTimeConstant = 30 * time.Minute
	// adjustInterval is the least time between adjustments: about ten gaps, so that each
	// adjustment sees the effect of the previous one.
	adjustInterval = 250 * time.Millisecond
	// waitingBackoffRatio is the factor applied to the limit if the engine reports that it
	// queues requests itself.
	waitingBackoffRatio = 0.8
	// minLimit is the least limit in requests. It keeps some requests flowing, so that a
	// recovery can be observed.
	minLimit = 1.0
)

// Concurrency learns how many requests one daemon may have in flight at one backend server.
// The daemon's own requests are counted exactly; those of other daemons show in the token gap
// and, with a lag, in the engine's report. The zero value is not usable. It is not safe for
// concurrent use.
type Concurrency struct {
	roundingPhase    float64
	limit            float64 // requests
	ceiling          float64 // requests
	bestGapSeconds   float64
	recentGapSeconds float64
	gapCount         int
	nextAdjust       time.Time
	lastReport       time.Time // when the last applied report was taken
}

// NewConcurrency starts at this daemon's even share of slots among daemons. roundingPhase, in
// [0, 1), differs between the daemons of one backend server: a share of 3.3 then means four
// requests at a third of the daemons and three at the others, and their sum is what the server
// can take.
func NewConcurrency(slots, daemons int, roundingPhase float64) Concurrency {
	share := evenShare(slots, daemons)
	return Concurrency{limit: share, ceiling: share, roundingPhase: roundingPhase}
}

// evenShare returns the even share of slots. With daemons 0 there is none: the server is far
// away, and only the capacity that it reports as free may be used.
func evenShare(slots, daemons int) float64 {
	if daemons <= 0 {
		return 0
	}
	return float64(max(slots, 1)) / float64(daemons)
}

// Limit returns the number of requests that this daemon may have in flight at the server. It
// is 0 only if the even share is less than one request and other daemons use the server.
func (c *Concurrency) Limit() int {
	return int(min(c.limit, c.ceiling) + c.roundingPhase)
}

// ObserveTokenGap records the time between two tokens of one stream.
func (c *Concurrency) ObserveTokenGap(gap time.Duration) {
	g := gap.Seconds()
	if g <= 0 {
		return
	}
	if c.gapCount == 0 {
		c.bestGapSeconds, c.recentGapSeconds = g, g
	}
	c.gapCount++
	c.recentGapSeconds += (g - c.recentGapSeconds) / gapWindowCount
	c.bestGapSeconds = min(c.bestGapSeconds, c.recentGapSeconds)
}

// Report is a load report of the engine; it describes the engine some time ago.
type Report struct {
	TakenAt     time.Time
	Running     int
	Waiting     int
	Slots       int // 0 if unknown
	OwnInFlight int // requests of this daemon when the report was taken
	// SharingDaemons is the number of daemons that have an even share. ReadingDaemons is the
	// number of daemons that act on the same report.
	SharingDaemons, ReadingDaemons int
}

// ApplyReport applies a load report. slots is the operators' limit for the whole backend
// server. The ceiling becomes the number of requests that this daemon had in flight at the
// time of the report plus its even part of the slots that were free, and is never less than
// the even share. Each daemon reads the same old report: if each took all free slots, their
// sum would oscillate between too much and too little with the period of the reports.
func (c *Concurrency) ApplyReport(r Report, slots int) {
	if r.Slots > 0 && (slots <= 0 || r.Slots < slots) {
		slots = r.Slots
	}
	share := evenShare(slots, r.SharingDaemons)
	if r.TakenAt.IsZero() {
		c.ceiling = share
		return
	}
	free := float64(slots - r.Running - r.Waiting)
	c.ceiling = max(share, float64(r.OwnInFlight)+free/float64(max(r.ReadingDaemons, 1)))
	if r.Waiting > 0 && r.TakenAt.After(c.lastReport) && r.OwnInFlight > 0 {
		c.limit = max(share/2, min(minLimit, share), c.limit*waitingBackoffRatio)
	}
	c.lastReport = r.TakenAt
}

// Adjust updates the limit when an adjustment is due and reports whether it changed. The limit
// only grows when at least half of it is in flight, because an unused limit shows nothing
// about the server's capacity.
func (c *Concurrency) Adjust(now time.Time, inFlight int) bool {
	if now.Before(c.nextAdjust) {
		return false
	}
	c.nextAdjust = now.Add(adjustInterval)
	c.bestGapSeconds += (c.recentGapSeconds - c.bestGapSeconds) * float64(adjustInterval) / float64(bestGapTimeConstant)
	previous := c.Limit()
	gradient := 1.0
	if c.gapCount >= gapWindowCount && c.recentGapSeconds > 0 {
		gradient = min(1, max(0.5, gapToleranceRatio*c.bestGapSeconds/c.recentGapSeconds))
	}
	target := c.limit * gradient
	if gradient == 1 {
		if float64(inFlight) < c.limit/2 {
			return false
		}
		target += math.Sqrt(c.limit)
	}
	c.limit += smoothingRatio * (target - c.limit)
	c.limit = min(max(c.limit, min(minLimit, c.ceiling)), c.ceiling)
	return c.Limit() != previous
}
