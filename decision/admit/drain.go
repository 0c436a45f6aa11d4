package admit

import (
	"math"
	"time"
)

// rateMemory is the time constant of the measured rates. It is some residence
// times of usual work, so that one long generation does not move it, and short
// against the minutes over which load changes.
const rateMemory = 20 * time.Second

// drain measures how much slot time a token of cost takes and how much work
// arrives, the two things a predicted wait is made of.
type drain struct {
	slotSeconds, tokens float64 // decayed sums over finished work
	updated             time.Time
	arrived             [classes]rate
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

func (d *drain) finished(now time.Time, cost float64, held time.Duration) {
	k := decay(now.Sub(d.updated))
	if d.updated.IsZero() {
		k = 0
	}
	d.slotSeconds = d.slotSeconds*k + held.Seconds()
	d.tokens = d.tokens*k + cost
	d.updated = now
}

// secondsPerToken is the slot time one token of cost takes; 0 before anything finished.
func (d *drain) secondsPerToken() float64 {
	if d.tokens <= 0 {
		return 0
	}
	return d.slotSeconds / d.tokens
}

// seen records an arrival.
func (q *Queue) seen(now time.Time, it *Item) {
	q.last[it.Class] = now
	q.drain.arrived[it.Class].add(now, it.Cost)
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
// through meanwhile, but never more than all of it. Half a mean item stands
// for the running work that must end first.
func (q *Queue) predict(it *Item, ahead float64, slots int) time.Duration {
	perToken := q.drain.secondsPerToken()
	if slots <= 0 {
		return time.Duration(math.MaxInt64 / 4)
	}
	work := 0.0
	for c := Resumed; c < it.Class; c++ {
		work += q.class[c].cost
	}
	c := &q.class[it.Class]
	weight := max(it.Weight, 1e-3)
	shared := (ahead + it.Cost) * max(c.weights, weight) / weight
	work += max(ahead, min(c.cost, shared))
	seconds := work * perToken / float64(slots) / q.shareOf(it.Class, slots, perToken)
	return time.Duration(seconds * float64(time.Second))
}

// shareOf is the share of the slots that is left to a class after the arrivals
// of the classes above it; long work never falls below its floor, and normal
// work not below what the floor leaves under endless urgent load.
func (q *Queue) shareOf(class Class, slots int, perToken float64) float64 {
	if class <= Urgent {
		return 1
	}
	above := 0.0
	for c := Resumed; c < class; c++ {
		above += q.drain.arrived[c].at(q.drain.updated)
	}
	return max(longFloor, 1-above*perToken/float64(slots))
}

// retryAfter says when an equal request should be let in: when the work that
// is too much for its patience has drained, longer by the factor by which
// arrivals exceed what drains, because the others come back as well.
func (q *Queue) retryAfter(now time.Time, it *Item, wait time.Duration, slots int) time.Duration {
	patience := it.Deadline.Sub(now)
	excess := max(wait-patience, 0)
	if perToken := q.drain.secondsPerToken(); perToken > 0 && slots > 0 {
		arriving := 0.0
		for c := range q.drain.arrived {
			arriving += q.drain.arrived[c].at(now)
		}
		load := arriving * perToken / float64(slots)
		own := it.Cost * perToken / float64(slots)
		excess = time.Duration((excess.Seconds() + own) * max(1, load) * float64(time.Second))
	}
	return min(max(excess, minRetryAfter), maxRetryAfter)
}
