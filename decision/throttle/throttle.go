// Package throttle decides which short calls are refused before they are sent, when
// the servers of a service turn calls away.
//
// Load it answers: calls that come faster than the servers left can answer them, after
// the loss of some or in a burst, through many entry VMs that each see a part.
//
// Without it, every call is sent, turned away after a wait in the server's queue, sent
// to the next server and turned away there, so that the service gets three times the
// calls. A server with a long queue also resets connections; of a call that was sent on
// one nobody knows whether it ran, and one that may not be repeated is lost to its
// caller.
//
// How it decides: by what became of the calls of the last seconds. Servers get
// excess times the calls that they took; the others are refused at random, so that
// every account and kind loses the same share. No VM needs to know of the others: all
// see the same share of their calls turned away.
package throttle

import (
	"math"
	"time"
)

const (
	// acceptedMultiplier is how many calls are sent for each that is taken: the more, the sooner it
	// is found out that there is room again, and the longer the queues stay full.
	acceptedMultiplier = 1.2
	// decayTime is the time in which what was seen loses two thirds of its weight. It holds
	// a few calls at a VM among dozens, and is short beside the time for which servers are
	// lost.
	decayTime = time.Second
	// minRejected is how many calls must have been turned away lately, by all servers tried: one
	// says nothing of the rest. As it fades within a second or two, a crowd that is over
	// is soon forgotten.
	minRejected = 2
)

// Throttle is what one entry VM knows of one service. The zero value has seen nothing.
// It is not safe for concurrent use.
type Throttle struct {
	updatedAt time.Time
	// Calls of the last time, weighted by age: taken by a server, turned away by all that
	// were tried, and refused here.
	accepted, rejected, refused float64
}

// RecordAccepted records a call that a server took, whatever came of it.
func (t *Throttle) RecordAccepted(now time.Time) {
	t.decay(now)
	t.accepted++
}

// RecordRejected records a call that the servers tried turned away.
func (t *Throttle) RecordRejected(now time.Time) {
	t.decay(now)
	t.rejected++
}

// ShouldRefuse reports whether a call is refused, and counts it if so. draw is in [0, 1).
func (t *Throttle) ShouldRefuse(now time.Time, draw float64) bool {
	if draw >= t.refusalProbability(now) {
		return false
	}
	t.refused++
	return true
}

// IsRefusing reports whether calls are refused now. Then none is sent a second time.
func (t *Throttle) IsRefusing(now time.Time) bool { return t.refusalProbability(now) > 0 }

// refusalProbability is the part of the calls that is refused.
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
