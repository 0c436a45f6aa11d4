package admit

import (
	"math"
	"time"
)

// rateTimeConstant is the time constant of the measured rates. It is some residence
// times of usual work, so that one long generation does not move it, and short
// against the minutes over which load changes.
const rateTimeConstant = 20 * time.Second

// loadStats measures what a predicted wait is made of: how long requests of each
// class hold a slot, what they cost, and how many arrive.
type loadStats struct {
	byClass [classCount]classStats
}

// classStats is what is known of one class.
type classStats struct {
	meanSlotSeconds float64 // mean seconds in a slot
	meanCostTokens  float64 // mean tokens
	arrivals        rate    // arrivals
}

// slotSecondsPerToken is the slot time that one token of cost takes, 0 if unknown.
func (r *classStats) slotSecondsPerToken() float64 {
	if r.meanCostTokens == 0 {
		return 0
	}
	return r.meanSlotSeconds / r.meanCostTokens
}

// rate is an exponentially decayed rate in units per second.
type rate struct {
	perSecond float64
	updated   time.Time
}

func (r *rate) add(now time.Time, n float64) {
	r.perSecond = r.at(now) + n/rateTimeConstant.Seconds()
	r.updated = now
}

func (r *rate) at(now time.Time) float64 {
	if r.updated.IsZero() {
		return 0
	}
	return r.perSecond * decay(now.Sub(r.updated))
}

func decay(d time.Duration) float64 {
	if d <= 0 {
		return 1
	}
	return math.Exp(-d.Seconds() / rateTimeConstant.Seconds())
}

// meanWindowCount is how many finished requests the mean residence looks back on.
const meanWindowCount = 64

// busySlots is the number of slots that the arrivals of a class keep busy on average.
func (d *loadStats) busySlots(now time.Time, c Class) float64 {
	return d.byClass[c].arrivals.at(now) * d.byClass[c].meanSlotSeconds
}

func (d *loadStats) recordFinish(c Class, cost float64, held time.Duration) {
	r := &d.byClass[c]
	if r.meanCostTokens == 0 {
		r.meanSlotSeconds, r.meanCostTokens = held.Seconds(), cost
	}
	r.meanSlotSeconds += (held.Seconds() - r.meanSlotSeconds) / meanWindowCount
	r.meanCostTokens += (cost - r.meanCostTokens) / meanWindowCount
}

// recordArrival records an arrival.
func (q *Queue) recordArrival(now time.Time, it *Item) {
	q.lastArrival[it.Class] = now
	q.stats.byClass[it.Class].arrivals.add(now, 1)
}

// accountQueuedCost is the waiting work of the item's own account that starts before it,
// for an item that would join at the tail.
func (q *Queue) accountQueuedCost(it *Item) float64 {
	if f := q.byClass[it.Class].flows[it.Account]; f != nil {
		return f.queuedCost
	}
	return 0
}

// predictWait is the expected time until an item starts when ahead tokens of its
// own account start before it. Before anything has finished nothing is known
// and the answer is 0: the deadline still bounds the wait.
//
// The work before it is that of the classes above and, in its own class, its
// account's own and as much of the other accounts' as fair sharing lets
// through meanwhile, but never more than all of it. It drains through the slots
// that its class may use.
func (q *Queue) predictWait(now time.Time, it *Item, ahead float64, slots int) time.Duration {
	if slots <= 0 {
		return time.Duration(math.MaxInt64 / 4)
	}
	work := 0.0 // seconds of one slot
	for c := Resumed; c < it.Class; c++ {
		work += q.byClass[c].queuedCost * q.stats.byClass[c].slotSecondsPerToken()
	}
	c := &q.byClass[it.Class]
	weight := max(it.Weight, 1e-3)
	shared := (ahead + it.Cost) * max(c.activeWeight, weight) / weight
	own := max(ahead, min(c.queuedCost, shared))
	work += own * q.stats.byClass[it.Class].slotSecondsPerToken()
	seconds := work / q.usableSlots(now, it.Class, slots)
	return time.Duration(min(seconds, maxPredictedSeconds) * float64(time.Second))
}

// maxPredictedSeconds keeps a prediction within what a Duration holds.
const maxPredictedSeconds = 1e6

// usableSlots is the number of slots that a class can count on while the classes
// above take what their arrivals need.
func (q *Queue) usableSlots(now time.Time, class Class, slots int) float64 {
	all := float64(slots)
	urgent := min(q.reservedSlots(now, Urgent, slots), all*maxReserveRatio)
	switch class {
	case Normal:
		return max(all-urgent-float64(q.running[Long]), all*minLongTokenRatio)
	case Long:
		return max(all-urgent-q.stats.busySlots(now, Normal), all*minLongTokenRatio)
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
	for c := range classCount {
		busy += q.stats.busySlots(now, c)
	}
	own := it.Cost * q.stats.byClass[it.Class].slotSecondsPerToken() / q.usableSlots(now, it.Class, slots)
	load := max(1, busy/float64(slots))
	seconds := min((wait.Seconds()+own)*load, maxRetryAfter.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), minRetryAfter)
}
