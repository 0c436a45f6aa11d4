// Package repeats decides whether one more send of a request is affordable
// within a budget that all daemons share, without a message between them.
//
// Load it answers: a zone of backend servers lost at once, servers that fail
// part of their requests, and callers that repeat without waiting.
//
// Without it, each failure adds a send exactly when there is least room, and
// the sum over all daemons is unbounded.
//
// How it holds: in any window the fleet may repeat Ratio times the requests of
// the service plus Slack. Each daemon keeps to Ratio times its own requests
// plus an equal part of Slack, so the sum over daemons keeps to the whole. The
// requests counted are those of the window that ends now. A daemon has no part of
// Slack in its first window, since a process before it may have used it: half of
// a fleet that is killed and restarted would repeat half of Slack too much.
package repeats

import "time"

// slotsPerWindow divide the window. Requests are counted over up to a part less than the
// window and repeats over up to a part more.
const slotsPerWindow = 50

// usableRatio is the share of the budget that is used. The rest is for what is under
// way between this count and a backend server, and for requests that end at a
// daemon which dies before it repeats them.
const usableRatio = 0.92

// Policy is the budget of the whole fleet at one service.
type Policy struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Share is a daemon's part of what does not depend on its own requests.
type Share struct {
	// Daemons is how many share the slack.
	Daemons int
	// RoundingOffset is from 0 to below 1 and differs evenly between daemons. It decides
	// which of them round up: a part of the slack is few repeats, and if all rounded
	// down much of it would be lost.
	RoundingOffset float64
}

// Budget counts one daemon's sends to one service. It is not safe for
// concurrent use.
type Budget struct {
	policy    Policy
	startedAt time.Time
	requests  [slotsPerWindow + 1]int
	retries   [slotsPerWindow + 1]int
	slot      int64 // part of the time since began in which the last count fell
}

// New returns an empty budget of a daemon that began to serve at began. The
// times given to its methods must come from the same clock, one that is never
// set: a step of the time of day would forget what was repeated.
func New(policy Policy, startedAt time.Time) *Budget {
	return &Budget{policy: policy, startedAt: startedAt}
}

// RecordRequest counts a request of a caller.
func (b *Budget) RecordRequest(now time.Time) {
	b.advance(now)
	b.requests[slotIndex(b.slot)]++
}

// TryRetry asks for one more send and counts it if it is affordable.
func (b *Budget) TryRetry(now time.Time, share Share) bool {
	b.advance(now)
	allowed := b.policy.Ratio * float64(b.recentRequests())
	if now.Sub(b.startedAt) >= b.policy.Window {
		allowed += b.policy.Slack / float64(max(share.Daemons, 1))
	}
	if float64(sum(b.retries)+1) > usableRatio*allowed+share.RoundingOffset {
		return false
	}
	b.retries[slotIndex(b.slot)]++
	return true
}

// slotIndex is the place of a part of the time in the counts.
func slotIndex(slot int64) int { return int(slot % (slotsPerWindow + 1)) }

// advance clears the parts that lie between the last use and now.
func (b *Budget) advance(now time.Time) {
	slot := int64(now.Sub(b.startedAt) / (b.policy.Window / slotsPerWindow))
	if slot-b.slot > slotsPerWindow {
		b.slot = slot
		clear(b.requests[:])
		clear(b.retries[:])
		return
	}
	for b.slot < slot {
		b.slot++
		b.requests[slotIndex(b.slot)] = 0
		b.retries[slotIndex(b.slot)] = 0
	}
}

// recentRequests are the requests of the last window, or a part of it less.
func (b *Budget) recentRequests() int { return sum(b.requests) - b.requests[slotIndex(b.slot+1)] }

func sum(counts [slotsPerWindow + 1]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
