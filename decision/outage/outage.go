// Package outage decides how long a request waits while no server of its service is available, and
// after how long its caller retries if it is refused.
//
// Load pattern: all servers of a service fail at once, with all answers in progress there, and are
// unavailable for about as long as a restart takes.
//
// Without it, each interrupted and each arriving request is refused at once and told to retry after
// half a second. Most callers retry only once: their retry falls within the same outage and fails,
// although the servers are back a second later.
//
// Decision: the mean length of earlier outages of the service's servers is taken as the expected
// length. A request waits for about as long, if its objective leaves enough time, and a refused
// caller is told to retry after the same time. Before the first observed outage, a request waits
// only for a short default time.
package outage

import (
	"time"

	"mallowwind.dev/decision/retryafter"
)

const (
	// ewmaWeight is the weight of one outage in the moving average, which so covers about the last
	// dozen. A single failure of a zone produces that many.
	ewmaWeight = 1.0 / 8
	// waitMarginRatio is the longest wait relative to the mean outage. The outages of one kind of
	// failure differ by a tenth, and a server registers within half a second of its start.
	waitMarginRatio = 1.5
	// maxObjectiveRatio is the largest share of the objective that a request may wait. The rest is
	// enough to serve it.
	maxObjectiveRatio = 0.5
	// defaultObjectiveRatio is the share that it waits before any outage was observed.
	defaultObjectiveRatio = 0.125
	// minRetryAfter is the shortest mean time to a retry: a failed server is replaced within about a
	// second.
	minRetryAfter = 500 * time.Millisecond
	// maxObservedOutage is the longest outage that is counted. It is longer than a restart, and a
	// third of the 25 s that callers of long answers wait, so that no caller is told to retry after
	// it has given up. A longer outage, or a server that failed once and was replaced much later,
	// doesn't predict when the next server returns.
	maxObservedOutage = 8 * time.Second
)

// Estimator estimates the outages of one service's servers as seen by one entry VM. The zero value
// has no observations. It is not safe for concurrent use.
type Estimator struct {
	meanNs float64
}

// ObserveReturn records that a server has returned after an outage.
func (e *Estimator) ObserveReturn(outage time.Duration) {
	if outage <= 0 || outage > maxObservedOutage {
		return
	}
	if e.meanNs == 0 {
		e.meanNs = float64(outage)
		return
	}
	e.meanNs += ewmaWeight * (float64(outage) - e.meanNs)
}

// MaxWait returns how long a request may wait for a server to return. objective is that of the
// request's route.
func (e *Estimator) MaxWait(objective time.Duration) time.Duration {
	if e.meanNs == 0 {
		return time.Duration(defaultObjectiveRatio * float64(objective))
	}
	return min(time.Duration(waitMarginRatio*e.meanNs), time.Duration(maxObjectiveRatio*float64(objective)))
}

// MaxSilence returns how long after its arrival a request may still wait for servers none of which has
// accepted a connection in time or refused one. They may be sound: one that has failed refuses
// connections, and a silent one may go on within a second or two. objective is that of the request's
// route.
func MaxSilence(objective time.Duration) time.Duration {
	return time.Duration(maxObjectiveRatio * float64(objective))
}

// RetryAfter returns the time after which a caller retries that was refused after MaxWait or at
// once. random is in [0, 1) and spreads the retries.
func (e *Estimator) RetryAfter(random float64) time.Duration {
	return retryafter.Jitter(max(minRetryAfter, time.Duration(e.meanNs)), random)
}
