// Package retrybudget implements a retry budget that all daemons share without exchanging messages: it
// decides whether a request may be sent once more.
//
// Load pattern: an availability zone of backend servers is lost at once, servers fail a part of
// their requests, or callers retry without waiting.
//
// Without a budget, each failure adds a send exactly when capacity is lowest, and the total over
// all daemons is unbounded.
//
// Decision: in any window the fleet may send Ratio times the requests of the service plus Slack as
// retries. Each daemon limits itself to Ratio times its own requests plus an equal part of Slack,
// so the sum over all daemons stays within the budget. Only requests of the window that ends now
// count. In its first window a daemon has no part of Slack, because a previous process may have
// used it: otherwise killing and restarting half of a fleet would exceed the budget by half of
// Slack. Fleet says by how many daemons Slack is divided.
//
// Where requests of a service differ in priority, the last part of the budget (reservedRatio) is
// kept for urgent requests and for answers of which callers already hold a part. Load pattern: the
// loss of a zone breaks answers in progress, and at the same time servers reject new requests,
// which are retried too. Without the reserve, retries are granted in the order in which they are
// requested; the retries of new requests use up the budget, and answers that callers have read for
// seconds are cut off. The reserve changes who is granted a retry, not how many are granted.
package retrybudget

import "time"

// slotsPerWindow is the number of slots into which the window is divided. Requests are counted over
// up to one slot less than the window, retries over up to one slot more.
const slotsPerWindow = 50

// usableRatio is the fraction of the budget that is used. The rest covers requests on their way
// between this count and a backend server, and requests of a daemon that dies before it retries
// them.
const usableRatio = 0.92

// reservedRatio is the fraction of the usable budget that ordinary retries leave to the others. It
// covers the answers that two losses of a zone within one window break, as far as they are urgent or
// have reached their callers in part.
const reservedRatio = 0.3

// Policy is the retry budget of the whole fleet for one service.
type Policy struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Share is a daemon's share of the budget that does not depend on its own requests.
type Share struct {
	// Daemons is the number of daemons that share the slack.
	Daemons int
	// RoundingOffset is in [0, 1) and evenly distributed over the daemons. It decides which daemons
	// round up: each one's part of the slack is only a few retries, and if all rounded down much of
	// the slack would be lost.
	RoundingOffset float64
	// WithoutSlack is set while this daemon has no part of the slack.
	WithoutSlack bool
}

// Budget counts one daemon's requests and retries to one service. It is not safe for concurrent
// use.
type Budget struct {
	policy    Policy
	startedAt time.Time
	requests  [slotsPerWindow + 1]int
	retries   [slotsPerWindow + 1]int
	slot      int64 // slot, since startedAt, of the last count
}

// New returns an empty budget of a daemon that started serving at start. All times passed to its
// methods must come from the same monotonic clock: a step of the wall clock would drop the counted
// retries.
func New(p Policy, start time.Time) *Budget { return &Budget{policy: p, startedAt: start} }

// RecordRequest counts a caller's request.
func (b *Budget) RecordRequest(now time.Time) {
	b.advance(now)
	b.requests[slotIndex(b.slot)]++
}

// TryRetry reports whether the budget permits one more send, and counts it if so. An ordinary retry
// may not use the reserved part of the budget.
func (b *Budget) TryRetry(now time.Time, share Share, ordinary bool) bool {
	fraction := usableRatio
	if ordinary {
		fraction *= 1 - reservedRatio
	}
	b.advance(now)
	allowed := b.policy.Ratio * float64(b.recentRequests())
	if !share.WithoutSlack && now.Sub(b.startedAt) >= b.policy.Window {
		allowed += b.policy.Slack / float64(max(share.Daemons, 1))
	}
	if float64(sum(b.retries)+1) > fraction*allowed+share.RoundingOffset {
		return false
	}
	b.retries[slotIndex(b.slot)]++
	return true
}

// slotIndex returns the index of a slot in the counts.
func slotIndex(slot int64) int { return int(slot % (slotsPerWindow + 1)) }

// advance clears the slots between the last use and now.
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

// recentRequests returns the number of requests in the last window, less up to one slot.
func (b *Budget) recentRequests() int { return sum(b.requests) - b.requests[slotIndex(b.slot+1)] }

func sum(counts [slotsPerWindow + 1]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
