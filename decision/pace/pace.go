// Package pace estimates how fast each engine of a service decodes, and whether the engines differ
// so much that the choice of an engine has to take its pace into account.
//
// Load pattern: the engines of one service are of several speeds, and some of them run several times
// slower for half a second at a time. Answers are decoded in one batch with the prefill of other
// prompts, so that events come several times further apart while a prompt is prefilled.
//
// Without it, a prompt goes to the engine with the fewest prompts, also if that engine takes three
// times as long for one. The answers running at a slow engine pause during each prefill for longer
// than the time after which a silent engine counts as failed. They are taken over although nothing
// has failed, and each takeover uses probes, a retry and the copy of the run.
//
// Decision: each daemon measures the interval between events of the answers it forwards (Meter).
// The sample of a segment is a low quantile, because prefills and short slowdowns only ever make
// intervals longer. The tracking daemon of an engine keeps the fastest of the recent samples of all
// daemons (Table): slow samples reflect load, fast ones the engine. A daemon compares the engines
// that it knows the pace of (Assess), unless they prefill prompts almost all the time, so that no
// sample is undisturbed (Saturation). Only if the slow ones differ clearly from the fast ones do
// engines rank by pace; otherwise all rank alike, as if nothing had been measured.
//
// The package has no clock. All of its state may be lost at any time: an engine of unknown pace
// counts as average.
package pace

import (
	"slices"
	"time"
)

const (
	// MinInterval and MaxInterval bound the intervals that are taken for a pace. Shorter ones come
	// from events that a stalled link delivers together; an engine that decodes more slowly than
	// MaxInterval can't keep any usual gap target.
	MinInterval = time.Millisecond
	MaxInterval = 2 * time.Second
	// spanEvents is the number of events over which an interval is averaged. Events that arrive in
	// pairs, because the link is busy, don't look like those of a fast engine then.
	spanEvents = 4
	// windowSize is the number of intervals from which a sample is taken: half of a usual answer.
	windowSize = 64
	// minIntervalCount is the number of intervals in the first sample of a segment. It takes about
	// a second to decode them, which is longer than a short slowdown.
	minIntervalCount = 32
	// sampleStride is the number of further intervals after which another sample is taken.
	sampleStride = 16
	// quantileDivisor is the inverse of the quantile that is the sample: up to seven eighths of the
	// intervals may be longer because of prefills.
	quantileDivisor = 8
	// checkDivisor is the inverse of a lower quantile, and maxSpread how much larger the sample may
	// be. The intervals of an undisturbed engine are close together. A greater spread comes from
	// events that a stalled link delivered together, or from an engine that prefilled prompts almost
	// all the time.
	checkDivisor = 16
	maxSpread    = 1.25
	// sampleWindow is the time over which Table takes the fastest sample. Answers take several
	// seconds, so a window has samples of several.
	sampleWindow = 15 * time.Second
	// keptWindows is the number of windows for which the pace of an engine without samples is kept.
	// Slow engines get few prompts. If their paces expired at once, they would count as average, the
	// service as even, and prompts would return to them until they are measured again.
	keptWindows = 4
	// maxSampleAge is the age above which a reported sample is ignored.
	maxSampleAge = 2 * sampleWindow
)

// IsValid reports whether an interval between events may be that of an engine.
func IsValid(interval time.Duration) bool { return MinInterval <= interval && interval <= MaxInterval }

// Meter measures the interval between the events of one segment of an answer. The zero value is
// ready for use. It is not safe for concurrent use.
type Meter struct {
	events    int
	last      [spanEvents]time.Duration // times of the last events, a ring
	intervals [windowSize]uint32        // in microseconds, a ring
}

// Observe records the arrival of an event at a time since some fixed moment. It returns a sample of
// the interval between events while the engine decodes undisturbed; ok is false if there is no new
// one.
func (m *Meter) Observe(at time.Duration) (sample time.Duration, ok bool) {
	earlier := &m.last[m.events%spanEvents]
	count := m.events - spanEvents + 1 // of intervals, with this one
	if count > 0 {
		interval := (at - *earlier) / spanEvents
		m.intervals[(count-1)%windowSize] = uint32(min(max(interval, 0), MaxInterval).Microseconds())
	}
	*earlier = at
	m.events++
	if count < minIntervalCount || (count-minIntervalCount)%sampleStride != 0 {
		return 0, false
	}
	return m.sample(min(count, windowSize))
}

// sample returns a low quantile of the last count intervals; ok is false if it is disturbed.
func (m *Meter) sample(count int) (sample time.Duration, ok bool) {
	sorted := m.intervals
	slices.Sort(sorted[:count])
	low, check := sorted[count/quantileDivisor], sorted[count/checkDivisor]
	sample = time.Duration(low) * time.Microsecond
	return sample, IsValid(sample) && float64(low) <= maxSpread*float64(check)
}

// window is the fastest of the samples of an interval of time.
type window struct {
	index    int64         // number of the interval since the epoch of the clock
	fastest  time.Duration // 0 if there is none
	previous time.Duration // fastest of the last interval before that has samples; 0 if unknown
}

// at returns the window as of a later interval of time.
func (w window) at(index int64) window {
	switch gap := index - w.index; {
	case gap <= 0: // less than 0 if the clock was set back
		return w
	case gap > keptWindows:
		return window{index: index}
	case w.fastest == 0:
		return window{index: index, previous: w.previous}
	}
	return window{index: index, previous: w.fastest}
}

// Table keeps the fastest of the recent samples of each engine: of the current interval of time and the
// last one before that has samples. K identifies an incarnation of an
// engine. The zero value is empty. It is not safe for concurrent use.
type Table[K comparable] struct {
	engines map[K]window
	swept   int64 // the interval of time in which expired engines were last removed
}

// Observe records a sample taken some time ago, and reports whether it counts. Invalid and expired
// ones don't.
func (t *Table[K]) Observe(now time.Time, engine K, interval, age time.Duration) bool {
	if !IsValid(interval) || age >= maxSampleAge {
		return false
	}
	if t.engines == nil {
		t.engines = map[K]window{}
	}
	t.sweep(windowIndex(now))
	w := t.engines[engine].at(windowIndex(now))
	switch taken := windowIndex(now.Add(-max(age, 0))); w.index - taken {
	case 0:
		w.fastest = faster(w.fastest, interval)
	case 1:
		w.previous = faster(w.previous, interval)
	default:
		return false
	}
	t.engines[engine] = w
	return true
}

// Interval returns the estimated interval between events of an engine that decodes undisturbed; 0 if
// there is no recent sample.
func (t *Table[K]) Interval(now time.Time, engine K) time.Duration {
	w := t.engines[engine].at(windowIndex(now))
	return faster(w.fastest, w.previous)
}

// sweep removes the engines without a recent sample, once in each interval of time.
func (t *Table[K]) sweep(index int64) {
	if t.swept == index {
		return
	}
	t.swept = index
	for engine, w := range t.engines {
		if index-w.index > keptWindows {
			delete(t.engines, engine)
		}
	}
}

func windowIndex(now time.Time) int64 { return now.UnixNano() / int64(sampleWindow) }

// faster returns the smaller of two intervals, of which 0 stands for an unknown one.
func faster(a, b time.Duration) time.Duration {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}
