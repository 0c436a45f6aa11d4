// Package retryafter decides when a caller comes back that was refused.
//
// Unconfirmed is for a daemon that cannot tell whether an account key still holds.
// Load it answers: an outage of the store, in which every daemon refuses every
// caller with a key after a few seconds, and most callers repeat once.
//
// Without it, callers that are told to come back soon use up their repeat within
// the outage and are lost, and those told the same time return as one burst.
//
// How it decides: how long outages last spreads over a wide range, so one that has
// lasted for some time is taken to last as long again.
package retryafter

import "time"

const (
	// OtherDaemonDelay is for a daemon that alone has lost the store: at once, at another
	// address.
	OtherDaemonDelay = 50 * time.Millisecond
	// maxDelay is above the patience of any caller (25 s): told more it would not come
	// back at all, and an outage that has lasted for minutes may end at any moment.
	maxDelay = 30 * time.Second
	// jitterRatio is the share of the time over which callers return.
	jitterRatio = 0.5
	// streakGap is the time without a refusal that ends a crowd: at the usual load of a
	// daemon one prompt comes in a second.
	streakGap = 3 * time.Second
	// overloadFactor is how much longer the answers under way take in a crowd than those that
	// have ended lately: engines read prompts between all their steps then.
	overloadFactor = 2
)

// AfterStoreOutage returns when a caller comes back. lasted is how long the store has been
// out of reach, everywhere says whether it is for all daemons, and draw is in [0, 1).
func AfterStoreOutage(outage time.Duration, fleetWide bool, draw float64) time.Duration {
	if !fleetWide {
		return OtherDaemonDelay
	}
	return Jitter(min(outage, maxDelay), draw)
}

// Jitter is d give or take a quarter. draw is in [0, 1).
func Jitter(d time.Duration, draw float64) time.Duration {
	return time.Duration(float64(d) * (1 - jitterRatio/2 + jitterRatio*draw))
}

// AfterOverload returns when a caller comes back that was refused because servers have no
// room for its request. lasted is how long that has been so, and answer how long the
// answers take that fill them: when those have ended there is room.
//
// Load it answers: a burst of callers, most of which repeat once. Without it those
// that return within the burst are refused for good, and all others come at its end
// at once. An answer that was refused is late in any case, so a caller that comes
// back sooner gains nothing and takes room from those that are not.
func AfterOverload(lasted, responseTime time.Duration, draw float64) time.Duration {
	return Jitter(min(max(lasted, overloadFactor*responseTime), maxDelay), draw)
}

// Streak is how long something has gone on without a pause. The zero value has seen
// nothing. It is not safe for concurrent use.
type Streak struct{ startedAt, lastAt time.Time }

// Extend records it at now, and returns for how long it has gone on.
func (s *Streak) Extend(now time.Time) time.Duration {
	if now.Sub(s.lastAt) > streakGap {
		s.startedAt = now
	}
	s.lastAt = now
	return now.Sub(s.startedAt)
}
