package retrybudget

import "time"

const (
	// leavingWindows is for how much of a window a daemon that leaves keeps its part of the slack. Its
	// callers' answers go on for about that long; later it borrows.
	leavingWindows = 0.5
	// rememberedWindows is for how many windows a daemon counts another one that is no longer listed,
	// and for how many it observes the fleet before it has a part of the slack: the retries of a
	// daemon that leaves count for one window after it made them.
	rememberedWindows = 1 + leavingWindows
)

// Fleet decides which part of the slack a daemon has, by the lists of daemons that it has seen.
//
// Load pattern: daemons are stopped and started in turn while servers fail.
//
// Without it each daemon divides the slack by the daemons that are listed at the moment. Those that
// leave are no longer listed but still retry, so in one window the parts of all add up to more than the
// slack.
//
// Decision: a daemon that uses its part has observed the fleet for so long, and remembers daemons for so
// long, that it counts every other one that uses a part within the same window. Each then takes at most
// an equal part of the slack, whatever joins and leaves, as long as a daemon is listed by all others
// within half a window. A daemon that has just started has no part, and one that leaves only for a
// while; both borrow from the others. It is not safe for concurrent use.
type Fleet struct {
	self          string
	observedSince time.Time // zero before the first list
	leavingSince  time.Time // zero unless this daemon leaves
	listed        map[string]bool
	unlistedAt    map[string]time.Time // of daemons that were listed before
}

// NewFleet returns the fleet of the daemon self, of which nothing is known yet.
func NewFleet(self string) *Fleet {
	return &Fleet{self: self, unlistedAt: map[string]time.Time{}}
}

// Observe records a list of the daemons, with or without this one. It is called at each change of the
// list, or often.
func (f *Fleet) Observe(now time.Time, ids []string) {
	if f.observedSince.IsZero() {
		f.observedSince = now
	}
	previous := f.listed
	f.listed = make(map[string]bool, len(ids))
	for _, id := range ids {
		f.listed[id] = true
		delete(f.unlistedAt, id)
	}
	for id := range previous {
		if !f.listed[id] {
			f.unlistedAt[id] = now
		}
	}
}

// BeginLeaving records that this daemon begins to shut down.
func (f *Fleet) BeginLeaving(now time.Time) { f.leavingSince = now }

// Share returns this daemon's share of a budget, without RoundingOffset.
func (f *Fleet) Share(now time.Time, window time.Duration) Share {
	return Share{Daemons: f.count(now, window), WithoutSlack: !f.hasPart(now, window)}
}

// count returns the number of daemons that may have used a part of the slack within a window.
func (f *Fleet) count(now time.Time, window time.Duration) int {
	n := len(f.listed)
	for id, at := range f.unlistedAt {
		if now.Sub(at) > windows(rememberedWindows, window) {
			delete(f.unlistedAt, id)
			continue
		}
		n++
	}
	if _, remembered := f.unlistedAt[f.self]; !remembered && !f.listed[f.self] {
		n++
	}
	return n
}

func (f *Fleet) hasPart(now time.Time, window time.Duration) bool {
	if f.observedSince.IsZero() || now.Sub(f.observedSince) < windows(rememberedWindows, window) {
		return false
	}
	return f.leavingSince.IsZero() || now.Sub(f.leavingSince) < windows(leavingWindows, window)
}

// windows returns the duration of n windows.
func windows(n float64, window time.Duration) time.Duration {
	return time.Duration(n * float64(window))
}
