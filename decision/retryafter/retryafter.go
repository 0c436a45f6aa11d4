// Package retryafter decides after what time a refused caller is told to retry.
//
// AfterStoreOutage applies to a daemon that cannot tell whether an account key is still valid. Load
// pattern: during an outage of the store every daemon refuses all callers with a key after a few
// seconds, and most callers retry once.
//
// Without it, callers that are told to retry soon use up their retry during the outage and are
// lost, and callers that are told the same time return in one burst.
//
// Decision: the duration of outages varies widely, so an outage is expected to last as long again
// as it has lasted so far.
package retryafter

import "time"

const (
	// OtherDaemonDelay is the delay if only this daemon cannot reach the store: the caller can
	// retry at another address almost immediately.
	OtherDaemonDelay = 50 * time.Millisecond
	// maxDelay exceeds the time that any caller waits (25 s). A caller that is told a longer time
	// would not retry at all, and an outage that has lasted for minutes may end at any moment.
	maxDelay = 30 * time.Second
	// jitterRatio is the width of the interval over which retries are spread, relative to the
	// delay.
	jitterRatio = 0.5
	// streakGap is the time without a refusal that ends a streak: at a daemon's usual load one
	// prompt arrives per second.
	streakGap = 3 * time.Second
	// overloadFactor is how much longer the responses in progress take under overload than those
	// that ended recently, because engines then process prompts between all of their steps.
	overloadFactor = 2
)

// AfterStoreOutage returns the delay until the caller should retry. outage is how long the store
// has been unreachable, fleetWide says whether it is unreachable for all daemons, and draw is in
// [0, 1).
func AfterStoreOutage(outage time.Duration, fleetWide bool, draw float64) time.Duration {
	if !fleetWide {
		return OtherDaemonDelay
	}
	return Jitter(min(outage, maxDelay), draw)
}

// Jitter returns d plus or minus up to a quarter. draw is in [0, 1).
func Jitter(d time.Duration, draw float64) time.Duration {
	return time.Duration(float64(d) * (1 - jitterRatio/2 + jitterRatio*draw))
}

// AfterOverload returns the delay until a caller should retry whose request was refused because the
// servers have no capacity for it. lasted is how long that has been so, and responseTime is how
// long the responses take that occupy the servers: when those have ended there is capacity.
//
// Load pattern: a burst of callers, most of which retry once. Without the delay, callers that
// return during the burst are refused for good, and all others return at once when it ends. The
// response to a refused request is late in any case, so a caller that retries sooner gains nothing
// and takes capacity from requests that can still be on time.
func AfterOverload(lasted, responseTime time.Duration, draw float64) time.Duration {
	return Jitter(ExpectedOverload(lasted, responseTime), draw)
}

// ExpectedOverload returns for how long the servers are expected to have no capacity from now on.
func ExpectedOverload(lasted, responseTime time.Duration) time.Duration {
	return min(max(lasted, overloadFactor*responseTime), maxDelay)
}

// Streak measures how long events have gone on without a gap of more than streakGap. The zero value
// has seen no event. It is not safe for concurrent use.
type Streak struct{ startedAt, lastAt time.Time }

// Extend records an event at now, and returns how long the streak has lasted.
func (s *Streak) Extend(now time.Time) time.Duration {
	if now.Sub(s.lastAt) > streakGap {
		s.startedAt = now
	}
	s.lastAt = now
	return now.Sub(s.startedAt)
}
