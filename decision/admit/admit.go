// Package admit decides what is let in, what waits and for how long, and what
// is turned away. One Queue stands before each set of backend servers that can
// run the same work.
//
// Load it answers: a burst of urgent lookups beside long generations, one
// account that sends most of the work, and saturation for minutes.
//
// Without it, requests wait at the engines in order of arrival: an urgent
// lookup waits behind minutes of tokens, the account that sends most gets
// most, and beyond saturation every answer starts after its caller has left,
// so that the backend servers do full work and nobody gets anything.
//
// How it decides: classes are served urgent first, each class below another
// leaves free what the arrivals of the classes above need, and long work has a
// floor so that it cannot starve. Within a class accounts share by start-time fair
// queueing with work counted in tokens. What cannot start before its deadline
// at the measured drain rate is refused on arrival; what became hopeless while
// it waited is refused as soon as that is known.
package admit

import (
	"math"
	"time"
)

// Class orders work; smaller values are more urgent.
type Class uint8

// The classes. Resumed continues an answer already begun, so its caller has
// the most to lose; it is never queued behind new work.
const (
	Resumed Class = iota
	Urgent
	Normal
	Long
	classes
)

// String returns the lower-case name.
func (c Class) String() string {
	return [...]string{"resumed", "urgent", "normal", "long"}[c]
}

const (
	// reserveSpread sizes the slots kept for a class: the number its arrivals
	// keep busy on average, and this many standard deviations of a Poisson count
	// more. At three, one arrival in some hundred finds the reserve full.
	reserveSpread = 3.0
	// maxReserve is the largest share of slots kept for the classes above
	// another, so that very many lookups cannot stop the work below entirely.
	maxReserve = 0.6
	// resumedOvershoot is the part of the slots by which continuations may pass
	// them: what a lost server ran must go on somewhere, and an eighth more
	// streams in a batch slow each by a few percent.
	resumedOvershoot = 8
	// longFloor is the share of tokens, of those started by other classes, that
	// waiting long work is credited with. It bounds how long a review waits under
	// endless normal load and costs normal work at most that share.
	longFloor = 0.15
	// reserveMemory is how long a class is remembered after its last arrival.
	// A reserve for a class that sends nothing would waste its slots.
	reserveMemory = time.Minute
	// shedSlack is how far the predicted start may pass the deadline before
	// waiting work is refused. The prediction errs by about a fifth; without
	// slack work that would just make it is thrown away.
	shedSlack = 1.2
	// urgentPatience is the share of its patience that an urgent request may be
	// expected to wait. A lookup is asked for now: under overload a long queue
	// answers as many, later, and refuses the rest after they waited. Measured
	// against newest-first and larger shares in docs/design/30-load-admission.md.
	urgentPatience = 0.05
	// queuePatience is the share of its patience that any other request may be
	// expected to wait when it arrives. Predictions err and shares move: work
	// let in up to its whole patience is often refused only at the end of it.
	// At 0.3 as much work is done and one refusal in sixteen is late, at 1 most.
	queuePatience = 0.3
	// maxRetryAfter bounds what a refused caller is told: load an hour away
	// cannot be predicted from a drain rate.
	maxRetryAfter = time.Minute
	// minRetryAfter is the least a refused caller is told to wait: the header
	// counts whole seconds, and a queue of lookups drains faster than the burst
	// that filled it passes.
	minRetryAfter = time.Second
)

// Item is one request. The caller fills the exported fields and keeps the Item
// until it has started, was refused or removed; a Queue adds nothing else, so
// that waiting allocates nothing.
type Item struct {
	Account  string
	Weight   float64 // share in fair queueing; 1 is usual, values <= 0 count as 1
	Class    Class
	Cost     float64 // expected work in tokens
	Deadline time.Time

	flow       *flow
	prev, next *Item
}

// IsWaiting reports whether the item is in a queue.
func (it *Item) IsWaiting() bool { return it.flow != nil }

// Action is what becomes of an offered item.
type Action uint8

// The actions.
const (
	Start Action = iota
	Wait
	Refuse
)

// Reason says why; it goes into the log line and the metric.
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

// Decision is the answer to an offer.
type Decision struct {
	Action Action
	Reason Reason
	// PredictedWait is the predicted time until the item starts.
	PredictedWait time.Duration
	// RetryAfter is when an equal request is expected to be let in; 0 where the
	// queue knows of no capacity at all.
	RetryAfter time.Duration
}

// Offer decides about a new item when slots requests may run at once. After
// Wait the item belongs to the queue until Next, Shed or Remove gives it back.
// After Start the caller reports Started once a backend server is chosen.
func (q *Queue) Offer(now time.Time, it *Item, slots int) Decision {
	q.seen(now, it)
	if !it.Deadline.After(now) {
		return q.refuse(now, it, slots, 0, ReasonExpired)
	}
	if slots <= 0 {
		return q.refuse(now, it, slots, 0, ReasonNoCapacity)
	}
	if q.waitingUpTo(it.Class) == 0 && q.allowed(now, it.Class, slots) {
		return Decision{Action: Start, Reason: ReasonSlotFree}
	}
	return q.enqueue(now, it, slots)
}

// enqueue lets an item wait, or refuses it when it cannot start in time.
func (q *Queue) enqueue(now time.Time, it *Item, slots int) Decision {
	wait := q.predict(now, it, q.aheadOf(it), slots)
	patience := it.Deadline.Sub(now)
	if it.Class == Urgent && float64(wait) > urgentPatience*float64(patience) {
		return q.refuse(now, it, slots, wait, ReasonUrgentWouldWait)
	}
	if float64(wait) > queuePatience*float64(patience) && it.Class != Resumed {
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

// allowed reports whether a request of class c may start when slots may run,
// given the reserves of the classes above it.
func (q *Queue) allowed(now time.Time, c Class, slots int) bool {
	running := q.Running()
	switch {
	case c == Resumed:
		return running < slots+max(q.spare, slots/resumedOvershoot+1)
	case c == Urgent:
		return running < slots+q.spare
	case running >= slots:
		return false
	}
	lower := q.running[Normal] + q.running[Long]
	most := float64(slots) * maxReserve
	urgent := min(q.reserve(now, Urgent, slots), most)
	if float64(lower) >= float64(slots)-urgent {
		return false
	}
	if c == Normal {
		return true
	}
	keep := min(urgent+q.reserve(now, Normal, slots), most)
	return float64(q.running[Long]) < float64(slots)-keep
}

// SetUrgentOverflow tells how many more than slots may run for the sake of urgent work,
// because backend servers reported room that this daemon has no share of. A
// daemon's part of a small pool is exceeded by chance long before the pool is full.
func (q *Queue) SetUrgentOverflow(n int) { q.spare = n }

// reserve is the number of slots kept for class c: what its arrivals need, none
// where it sent nothing lately, and never the last slot.
func (q *Queue) reserve(now time.Time, c Class, slots int) float64 {
	if slots < 2 || q.last[c].IsZero() || now.Sub(q.last[c]) > reserveMemory {
		return 0
	}
	busy := q.drain.busy(now, c)
	return min(math.Ceil(busy+reserveSpread*math.Sqrt(busy)), float64(slots-1))
}
