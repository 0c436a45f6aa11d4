package admit

import (
	"math"
	"time"
)

// rateMemory is the time constant of the measured rates. It is some residence
// times of usual work, so that one long generation does not move it, and short
// against the minutes over which load changes.
const rateMemory = 20 * time.Second

// drain measures what a predicted wait is made of: how long requests of each
// class hold a slot, what they cost, and how many arrive.
type drain struct {
	class [classes]residence
}

// residence is what is known of one class.
type residence struct {
	held     float64 // mean seconds in a slot
	cost     float64 // mean tokens
	requests rate    // arrivals
}

// perToken is the slot time that one token of cost takes, 0 if unknown.
func (r *residence) perToken() float64 {
	if r.cost == 0 {
		return 0
	}
	return r.held / r.cost
}

// rate is an exponentially decayed rate in units per second.
type rate struct {
	perS    float64
	updated time.Time
}

func (r *rate) add(now time.Time, n float64) {
	r.perS = r.at(now) + n/rateMemory.Seconds()
	r.updated = now
}

func (r *rate) at(now time.Time) float64 {
	if r.updated.IsZero() {
		return 0
	}
	return r.perS * decay(now.Sub(r.updated))
}

func decay(d time.Duration) float64 {
	if d <= 0 {
		return 1
	}
	return math.Exp(-d.Seconds() / rateMemory.Seconds())
}

// heldMemory is how many finished requests the mean residence looks back on.
const heldMemory = 64

// busy is the number of slots that the arrivals of a class keep busy on average.
func (d *drain) busy(now time.Time, c Class) float64 {
	return d.class[c].requests.at(now) * d.class[c].held
}

func (d *drain) finished(c Class, cost float64, held time.Duration) {
	r := &d.class[c]
	if r.cost == 0 {
		r.held, r.cost = held.Seconds(), cost
	}
	r.held += (held.Seconds() - r.held) / heldMemory
	r.cost += (cost - r.cost) / heldMemory
}

// seen records an arrival.
func (q *Queue) seen(now time.Time, it *Item) {
	q.last[it.Class] = now
	q.drain.class[it.Class].requests.add(now, 1)
}

// aheadOf is the waiting work of the item's own account that starts before it,
// for an item that would join at the tail.
func (q *Queue) aheadOf(it *Item) float64 {
	if f := q.class[it.Class].flows[it.Account]; f != nil {
		return f.cost
	}
	return 0
}

// predict is the expected time until an item starts when ahead tokens of its
// own account start before it. Before anything has finished nothing is known
// and the answer is 0: the deadline still bounds the wait.
//
// The work before it is that of the classes above and, in its own class, its
// account's own and as much of the other accounts' as fair sharing lets
// through meanwhile, but never more than all of it. It drains through the slots
// that its class may use.
func (q *Queue) predict(now time.Time, it *Item, ahead float64, slots int) time.Duration {
	if slots <= 0 {
		return time.Duration(math.MaxInt64 / 4)
	}
	work := 0.0 // seconds of one slot
	for c := Resumed; c < it.Class; c++ {
		work += q.class[c].cost * q.drain.class[c].perToken()
	}
	c := &q.class[it.Class]
	weight := max(it.Weight, 1e-3)
	shared := (ahead + it.Cost) * max(c.weights, weight) / weight
	own := max(ahead, min(c.cost, shared))
	work += own * q.drain.class[it.Class].perToken()
	seconds := work / q.usable(now, it.Class, slots)
	return time.Duration(min(seconds, maxPredicted) * float64(time.Second))
}

// maxPredicted keeps a prediction within what a Duration holds.
const maxPredicted = 1e6

// usable is the number of slots that a class can count on while the classes
// above take what their arrivals need.
func (q *Queue) usable(now time.Time, class Class, slots int) float64 {
	all := float64(slots)
	urgent := min(q.reserve(now, Urgent, slots), all*maxReserve)
	switch class {
	case Normal:
		return max(all-urgent-float64(q.running[Long]), all*longFloor)
	case Long:
		return max(all-urgent-q.drain.busy(now, Normal), all*longFloor)
	}
	return all
}

// retryAfter says when an equal request should be let in: when the work before
// it and its own have drained, longer by the factor by which arrivals exceed
// what the slots can do, because the others come back as well.
func (q *Queue) retryAfter(now time.Time, it *Item, wait time.Duration, slots int) time.Duration {
	if slots <= 0 {
		return 0
	}
	busy := 0.0
	for c := range classes {
		busy += q.drain.busy(now, c)
	}
	own := it.Cost * q.drain.class[it.Class].perToken() / q.usable(now, it.Class, slots)
	load := max(1, busy/float64(slots))
	seconds := min((wait.Seconds()+own)*load, maxRetryAfter.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), minRetryAfter)
}
