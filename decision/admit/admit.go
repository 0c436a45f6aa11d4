// Package admit is admission control: it decides which requests start, which wait in a queue
// and which are refused. One Queue stands in front of each set of backend servers that can run
// the same work.
//
// It handles bursts of urgent lookups next to long generations, a single account that sends
// most of the work, and saturation that lasts for minutes.
//
// Without it, requests queue at the engines in order of arrival: an urgent lookup waits behind
// minutes of tokens, the account that sends most gets most of the capacity, and beyond
// saturation every answer starts after its caller has left, so that the backend servers are
// fully loaded and no caller gets a useful answer.
//
// Classes are served in order of urgency. Each class leaves free the slots that the arrivals
// of the more urgent classes need, and long work is guaranteed a minimum share so that it
// cannot starve. Within a class, accounts share capacity by start-time fair queueing with cost
// counted in tokens. A request that cannot start before its deadline at the measured drain
// rate is refused on arrival; a waiting request that can no longer start in time is refused as
// soon as that is known.
package admit

import (
	"math"
	"time"
)

// Class is the priority class of a request; smaller values are more urgent.
type Class uint8

// The priority classes. Resumed continues an answer that has already begun, so its caller has
// the most to lose; it is never queued behind new work.
const (
	Resumed Class = iota
	Urgent
	Normal
	Long
	classCount
)

// String returns the lower-case name.
func (c Class) String() string {
	return [...]string{"resumed", "urgent", "normal", "long"}[c]
}

const (
	// reserveStdDevs sizes the reserve of a class: the number of slots that its arrivals keep
	// busy on average plus this many standard deviations of a Poisson count. With three, about
	// one arrival in several hundred finds the reserve full.
	reserveStdDevs = 3.0
	// maxReserveRatio is the largest share of the slots that is reserved for more urgent
	// classes, so that a flood of lookups cannot stop the less urgent work entirely.
	maxReserveRatio = 0.6
	// resumedOverflowDivisor is the divisor of the slot count that gives how far continuations
	// may exceed the slots. The answers of a lost server must continue somewhere, and an
	// eighth more streams in a batch slow each stream by only a few percent.
	resumedOverflowDivisor = 8
	// minLongTokenRatio is the credit that waiting long work earns for each token started by
	// another class. It bounds how long a review waits under continuous normal load and costs
	// normal work at most this share.
	minLongTokenRatio = 0.15
	// reserveExpiry is how long slots stay reserved for a class after its last arrival. A
	// reserve for a class that sends nothing would waste its slots.
	reserveExpiry = time.Minute
	// shedToleranceRatio is how far the predicted wait may exceed the time left to the
	// deadline before a waiting request is refused. The prediction is off by about a fifth;
	// without the tolerance, requests that would just make their deadline are refused.
	shedToleranceRatio = 1.2
	// maxUrgentWaitRatio is the largest predicted wait of an urgent request, as a share of the
	// time left to its deadline. Lookups need an answer at once: under overload a long queue
	// serves no more of them, serves them later, and refuses the rest only after they have
	// waited. For the comparison with newest-first order and with larger shares see
	// docs/design/30-load-admission.md.
	maxUrgentWaitRatio = 0.05
	// maxQueueWaitRatio is the largest predicted wait of any other request on arrival, as a
	// share of the time left to its deadline. Predictions are inexact and the accounts' shares
	// change, so requests admitted up to their full deadline are often refused only at its
	// end. At 0.3 as much work is completed as at 1, and one refusal in sixteen is late; at 1
	// most are.
	maxQueueWaitRatio = 0.3
	// maxRetryAfter bounds the Retry-After of a refusal: the drain rate does not predict load
	// an hour ahead.
	maxRetryAfter = time.Minute
	// minRetryAfter is the shortest Retry-After: the header counts whole seconds, and a queue
	// of lookups drains before the burst that filled it has passed.
	minRetryAfter = time.Second
)

// Item is one request. The caller fills the exported fields and keeps the Item until it has
// started, was refused or was removed. The Queue links items through their own fields, so
// waiting allocates nothing.
type Item struct {
	Account  string
	Weight   float64 // weight in fair queueing; 1 is usual, values <= 0 count as 1
	Class    Class
	Cost     float64 // expected work in tokens
	Deadline time.Time

	flow       *flow
	prev, next *Item
}

// IsWaiting reports whether the item is in a queue.
func (it *Item) IsWaiting() bool { return it.flow != nil }

// Action is what happens to an offered item.
type Action uint8

// The actions.
const (
	Start Action = iota
	Wait
	Refuse
)

// Reason explains a Decision in logs and metrics.
type Reason string

// The reasons.
const (
	ReasonSlotFree            Reason = "slot_free"
	ReasonQueued              Reason = "queued"
	ReasonCannotStartInTime   Reason = "cannot_start_in_time"
	ReasonUrgentWouldWait     Reason = "urgent_would_wait"
	ReasonExpired             Reason = "expired"
	ReasonNoCapacity          Reason = "no_capacity"
	ReasonDeadlineUnreachable Reason = "became_hopeless"
)

// Decision is the result of an offer.
type Decision struct {
	Action Action
	Reason Reason
	// PredictedWait is the predicted time until the item starts.
	PredictedWait time.Duration
	// RetryAfter is when an equal request is expected to be admitted; 0 if no capacity is
	// known.
	RetryAfter time.Duration
}

// Offer decides whether a new item starts, waits or is refused when slots requests may run at
// once. After Wait the item belongs to the queue until Next, Shed or Remove returns it. After
// Start the caller calls RecordStart once a backend server is chosen.
func (q *Queue) Offer(now time.Time, it *Item, slots int) Decision {
	q.recordArrival(now, it)
	if !it.Deadline.After(now) {
		return q.refuse(now, it, slots, 0, ReasonExpired)
	}
	if slots <= 0 {
		return q.refuse(now, it, slots, 0, ReasonNoCapacity)
	}
	if q.waitingUpTo(it.Class) == 0 && q.canStart(now, it.Class, slots) {
		return Decision{Action: Start, Reason: ReasonSlotFree}
	}
	return q.enqueueOrRefuse(now, it, slots)
}

// enqueueOrRefuse queues an item, or refuses it if its predicted wait is too long for its
// deadline.
func (q *Queue) enqueueOrRefuse(now time.Time, it *Item, slots int) Decision {
	wait := q.predictWait(now, it, q.accountQueuedCost(it), slots)
	timeLeft := it.Deadline.Sub(now)
	if it.Class == Urgent && float64(wait) > maxUrgentWaitRatio*float64(timeLeft) {
		return q.refuse(now, it, slots, wait, ReasonUrgentWouldWait)
	}
	if float64(wait) > maxQueueWaitRatio*float64(timeLeft) && it.Class != Resumed {
		return q.refuse(now, it, slots, wait, ReasonCannotStartInTime)
	}
	q.push(it)
	return Decision{Action: Wait, Reason: ReasonQueued, PredictedWait: wait}
}

func (q *Queue) refuse(now time.Time, it *Item, slots int, wait time.Duration, why Reason) Decision {
	return Decision{
		Action: Refuse, Reason: why, PredictedWait: wait,
		RetryAfter: q.retryAfter(now, it, wait, slots),
	}
}

// canStart reports whether a request of class c may start when slots requests may run at once,
// given the reserves of the more urgent classes.
func (q *Queue) canStart(now time.Time, c Class, slots int) bool {
	running := q.Running()
	switch {
	case c == Resumed:
		return running < slots+max(q.urgentOverflow, slots/resumedOverflowDivisor+1)
	case c == Urgent:
		return running < slots+q.urgentOverflow
	case running >= slots:
		return false
	}
	lessUrgent := q.running[Normal] + q.running[Long]
	maxReserved := float64(slots) * maxReserveRatio
	urgentReserve := min(q.reservedSlots(now, Urgent, slots), maxReserved)
	if float64(lessUrgent) >= float64(slots)-urgentReserve {
		return false
	}
	if c == Normal {
		return true
	}
	reserved := min(urgentReserve+q.reservedSlots(now, Normal, slots), maxReserved)
	return float64(q.running[Long]) < float64(slots)-reserved
}

// SetUrgentOverflow sets how many requests beyond the slots may run for urgent work because
// backend servers reported free room outside this daemon's share. In a small pool a daemon's
// share is exceeded by chance long before the pool is full.
func (q *Queue) SetUrgentOverflow(n int) { q.urgentOverflow = n }

// reservedSlots returns the number of slots reserved for class c: what its arrivals need, none
// if it has had no arrivals within reserveExpiry, and never the last slot.
func (q *Queue) reservedSlots(now time.Time, c Class, slots int) float64 {
	if slots < 2 || q.lastArrival[c].IsZero() || now.Sub(q.lastArrival[c]) > reserveExpiry {
		return 0
	}
	busy := q.stats.busySlots(now, c)
	return min(math.Ceil(busy+reserveStdDevs*math.Sqrt(busy)), float64(slots-1))
}
