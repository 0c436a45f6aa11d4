package admit

import (
	"math"
	"time"
)

// rateTimeConstant is the time constant of the measured rates: several residence times of a
// usual request, so that one long generation does not move the rate, and short against the
// minutes over which load changes.
const rateTimeConstant = 20 * time.Second

// loadStats measures the inputs of a predicted wait: how long requests of each class hold a
// slot, what they cost, and how many arrive.
type loadStats struct {
	byClass [classCount]classStats
}

// classStats holds the averages of one class.
type classStats struct {
	meanSlotSeconds float64 // time that a request holds a slot
	meanCostTokens  float64
	arrivals        rate
}

// slotSecondsPerToken returns the slot time that one token of cost takes, 0 if unknown.
func (r *classStats) slotSecondsPerToken() float64 {
	if r.meanCostTokens == 0 {
		return 0
	}
	return r.meanSlotSeconds / r.meanCostTokens
}

// rate is an exponentially decayed rate.
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

// meanWindowCount is the number of finished requests over which the means are smoothed.
const meanWindowCount = 64

// busySlots returns the number of slots that the arrivals of a class keep busy on average.
func (d *loadStats) busySlots(now time.Time, c Class) float64 {
	return d.byClass[c].arrivals.at(now) * d.byClass[c].meanSlotSeconds
}

func (d *loadStats) recordFinish(c Class, cost float64, slotTime time.Duration) {
	r := &d.byClass[c]
	if r.meanCostTokens == 0 {
		r.meanSlotSeconds, r.meanCostTokens = slotTime.Seconds(), cost
	}
	r.meanSlotSeconds += (slotTime.Seconds() - r.meanSlotSeconds) / meanWindowCount
	r.meanCostTokens += (cost - r.meanCostTokens) / meanWindowCount
}

// recordArrival records the arrival of an item.
func (q *Queue) recordArrival(now time.Time, it *Item) {
	q.lastArrival[it.Class] = now
	q.stats.byClass[it.Class].arrivals.add(now, 1)
}

// accountQueuedCost returns the queued cost of the item's account in its class. All of it
// starts before an item that joins at the tail.
func (q *Queue) accountQueuedCost(it *Item) float64 {
	if f := q.byClass[it.Class].flows[it.Account]; f != nil {
		return f.queuedCost
	}
	return 0
}

// predictWait returns the expected time until an item starts when ahead tokens of its own
// account start before it. Until the first request finishes nothing is known and the result is
// 0; the deadline still bounds the wait.
//
// The work that starts before the item is that of the more urgent classes and, in its own
// class, the work of its own account plus as much of the other accounts' work as fair queueing
// starts meanwhile, but never more than the whole queue of the class. It drains through the
// slots that the class may use.
func (q *Queue) predictWait(now time.Time, it *Item, ahead float64, slots int) time.Duration {
	if slots <= 0 {
		return time.Duration(math.MaxInt64 / 4)
	}
	work := 0.0 // slot seconds
	for c := Resumed; c < it.Class; c++ {
		work += q.byClass[c].queuedCost * q.stats.byClass[c].slotSecondsPerToken()
	}
	c := &q.byClass[it.Class]
	weight := max(it.Weight, 1e-3)
	shared := (ahead + it.Cost) * max(c.activeWeight, weight) / weight
	ownWork := max(ahead, min(c.queuedCost, shared))
	work += ownWork * q.stats.byClass[it.Class].slotSecondsPerToken()
	seconds := work / q.usableSlots(now, it.Class, slots)
	return time.Duration(min(seconds, maxPredictedSeconds) * float64(time.Second))
}

// maxPredictedSeconds keeps a prediction within the range of a time.Duration.
const maxPredictedSeconds = 1e6

// usableSlots returns the number of slots that a class can count on while the more urgent
// classes use what their arrivals need.
func (q *Queue) usableSlots(now time.Time, class Class, slots int) float64 {
	total := float64(slots)
	urgentReserve := min(q.reservedSlots(now, Urgent, slots), total*maxReserveRatio)
	switch class {
	case Normal:
		return max(total-urgentReserve-float64(q.running[Long]), total*minLongTokenRatio)
	case Long:
		return max(total-urgentReserve-q.stats.busySlots(now, Normal), total*minLongTokenRatio)
	}
	return total
}

// retryAfter returns when an equal request should be admitted: after the work ahead of it and
// its own work have drained. The time is stretched by the factor by which arrivals exceed the
// capacity of the slots, because other refused callers retry as well.
func (q *Queue) retryAfter(now time.Time, it *Item, wait time.Duration, slots int) time.Duration {
	if slots <= 0 {
		return 0
	}
	busy := 0.0
	for c := range classCount {
		busy += q.stats.busySlots(now, c)
	}
	ownWork := it.Cost * q.stats.byClass[it.Class].slotSecondsPerToken() / q.usableSlots(now, it.Class, slots)
	load := max(1, busy/float64(slots))
	seconds := min((wait.Seconds()+ownWork)*load, maxRetryAfter.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), minRetryAfter)
}
