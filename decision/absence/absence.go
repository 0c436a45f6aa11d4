// Package absence decides what becomes of a request while no server of its service takes
// any: whether it waits for one to return, and when its caller comes back if none does.
//
// Load it answers: all servers of a service lost at once, for about as long as a restart
// takes, with every answer that was under way there.
//
// Without it each of these requests is refused at once and told to come back after half a
// second, as are those that arrive. Most callers repeat once: they come within the absence
// and are refused for good, though the servers are back a second later.
//
// How it decides: by how long servers of the service have been away before. A request waits
// for about as long, if its objective leaves time for that, and a caller that is refused
// comes back after as long again. Nothing is known at first: then a request waits for a
// moment only.
package absence

import (
	"time"

	"mallowwind.dev/decision/retryafter"
)

const (
	// meanWeight is the weight of one absence in the mean, so that the last dozen count:
	// a zone that fails and returns shows as many.
	meanWeight = 1.0 / 8
	// margin is how much longer than usual a server may be away and be waited for. Absences
	// of one kind of failure differ by a tenth, and a server registers within half a second.
	margin = 1.5
	// objectiveShare is the part of the objective that a request waits at most: what is left
	// is enough to be served in.
	objectiveShare = 0.5
	// unknownShare is the part that it waits where nothing is known.
	unknownShare = 0.125
	// shortest is the least time after which a caller comes back: a server that was lost is
	// replaced within about a second.
	shortest = 500 * time.Millisecond
	// longest is above what a restart takes, and a third of what callers of long answers wait
	// (25 s), so that none is told to come back when it has given up. A server that is away
	// for longer, or that failed once and was replaced much later, says nothing of when the
	// next returns.
	longest = 8 * time.Second
)

// Estimator is what one entry VM knows of one service. The zero value has seen nothing. It is
// not safe for concurrent use.
type Estimator struct {
	mean float64 // nanoseconds
}

// ObserveReturn records that a server is back that was away for so long.
func (a *Estimator) ObserveReturn(away time.Duration) {
	if away <= 0 || away > longest {
		return
	}
	if a.mean == 0 {
		a.mean = float64(away)
		return
	}
	a.mean += meanWeight * (float64(away) - a.mean)
}

// MaxWait is how long a request waits for a server to return. objective is its route's.
func (a *Estimator) MaxWait(objective time.Duration) time.Duration {
	if a.mean == 0 {
		return time.Duration(unknownShare * float64(objective))
	}
	return min(time.Duration(margin*a.mean), time.Duration(objectiveShare*float64(objective)))
}

// RetryAfter is when a caller comes back that was refused after such a wait, or without one. draw
// is in [0, 1).
func (a *Estimator) RetryAfter(draw float64) time.Duration {
	return retryafter.Jitter(max(shortest, time.Duration(a.mean)), draw)
}
