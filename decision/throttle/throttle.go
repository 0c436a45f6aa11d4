// Package throttle implements adaptive client-side throttling: it decides which short calls are
// refused before they are sent while the servers of a service reject calls.
//
// Load pattern: calls arrive faster than the remaining servers can answer them, after the loss of
// some servers or in a burst, through many VMs of which each sees only a part of the calls.
//
// Without this package, every call is sent, rejected after a wait in the server's queue, and sent
// to the next server, which rejects it as well, so that the service receives three times the calls.
// A server with a long queue also resets connections. Nobody knows whether a call sent on such a
// connection ran, and a call that is not repeatable is then lost to its caller.
//
// Decision: it depends on the outcome of the calls of the last seconds. The servers are sent
// acceptedMultiplier times the number of calls that they accepted; the others are refused at
// random, so every account and every kind of call loses the same share. The VMs need not
// communicate, because all of them see the same share of their calls rejected.
package throttle

import (
	"math"
	"time"
)

const (
	// acceptedMultiplier is how many calls are sent for each accepted call. A higher value detects
	// free capacity earlier but keeps the servers' queues full for longer.
	acceptedMultiplier = 1.2
	// decayTime is the time after which a count has lost two thirds of its weight. It is long
	// enough to cover a few calls at one VM of dozens, and short compared with the time for which
	// servers are lost.
	decayTime = time.Second
	// minRejected is how many recent calls must have been rejected by all servers that were tried:
	// a single one says nothing about the others. Because the count decays within one or two
	// seconds, refusals stop soon after an overload.
	minRejected = 2
)

// Throttle holds the recent call outcomes of one service at one VM. The zero value has none. It is
// not safe for concurrent use.
type Throttle struct {
	updatedAt time.Time
	// Recent calls, weighted by age: accepted by a server, rejected by all servers tried, and
	// refused here.
	accepted, rejected, refused float64
}

// RecordAccepted counts a call that a server accepted, whatever its result.
func (t *Throttle) RecordAccepted(now time.Time) {
	t.decay(now)
	t.accepted++
}

// RecordRejected counts a call that all servers tried rejected.
func (t *Throttle) RecordRejected(now time.Time) {
	t.decay(now)
	t.rejected++
}

// ShouldRefuse reports whether to refuse a call, and counts it if so. draw is in [0, 1).
func (t *Throttle) ShouldRefuse(now time.Time, draw float64) bool {
	if draw >= t.refusalProbability(now) {
		return false
	}
	t.refused++
	return true
}

// IsRefusing reports whether some calls are currently refused. No call is sent a second time then.
func (t *Throttle) IsRefusing(now time.Time) bool { return t.refusalProbability(now) > 0 }

// refusalProbability returns the fraction of calls to refuse.
func (t *Throttle) refusalProbability(now time.Time) float64 {
	t.decay(now)
	if t.rejected < minRejected {
		return 0
	}
	return max(0, 1-acceptedMultiplier*t.accepted/(t.accepted+t.rejected+t.refused))
}

func (t *Throttle) decay(now time.Time) {
	elapsed := now.Sub(t.updatedAt)
	t.updatedAt = now
	if elapsed <= 0 {
		return
	}
	weight := math.Exp(-float64(elapsed) / float64(decayTime))
	t.accepted *= weight
	t.rejected *= weight
	t.refused *= weight
}
