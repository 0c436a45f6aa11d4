package pace

import (
	"slices"
	"time"
)

const (
	// minKnownEngines is the number of engines whose pace must be known before they are compared.
	minKnownEngines = 8
	// trimDivisor is the inverse of the share of the known engines left out at each end of the
	// comparison, which is at least one engine, so that a single odd one makes no service uneven.
	trimDivisor = 5
	// unevenRatio is the ratio of the intervals of slow and of fast engines above which the engines
	// of a service are uneven. Engines of one kind differ by up to a third.
	unevenRatio = 1.6
	// evenRatio is the ratio below which uneven engines count as even again. It is smaller, so that
	// the result doesn't alternate from one prompt to the next.
	evenRatio = 1.45
	// confirmTime is how long engines must be found to differ before they count as uneven: the time
	// in which each gets new samples. While all engines prefill prompts most of the time, some have
	// no undisturbed sample for several seconds.
	confirmTime = sampleWindow
	// slowRatio is the pace relative to the average from which an engine is slow: beyond the
	// variation among engines of one kind.
	slowRatio = 1.3
	// maxRelativePace bounds how much slower or faster than average an engine may count, so that a
	// wrong sample neither attracts all prompts to an engine nor excludes it.
	maxRelativePace = 4
	// prefillStretch is the ratio of the intervals between events while an engine prefills another
	// prompt and while it doesn't: 180 ms and 30 ms with chunks of 200 tokens.
	prefillStretch = 6
	// pauseMargin allows for the variation of the pauses of one engine.
	pauseMargin = 1.5
)

// Fleet is what a daemon knows of the paces of the engines of a service. The zero value knows
// nothing: no engine is uneven.
type Fleet struct {
	// Uneven says that the engines differ so much that the choice of an engine takes the pace into
	// account.
	Uneven bool
	// Known is the number of engines of known pace. Fast, Average and Slow are the intervals between
	// events of the fast engines, the median one and the slow ones; 0 with too few known engines.
	Known               int
	Fast, Average, Slow time.Duration
	// differsSince is the first of the assessments in a row that found the engines to differ; zero if
	// the last one did not.
	differsSince time.Time
}

// Assess compares the known intervals between events of the engines of a service. previous is the
// result before. intervals is sorted in place.
func Assess(previous Fleet, now time.Time, intervals []time.Duration) Fleet {
	f := Fleet{Known: len(intervals)}
	if len(intervals) < minKnownEngines {
		return f
	}
	slices.Sort(intervals)
	trim := max(1, len(intervals)/trimDivisor)
	f.Fast, f.Average, f.Slow = intervals[trim], intervals[len(intervals)/2], intervals[len(intervals)-1-trim]
	ratio := unevenRatio
	if previous.Uneven {
		ratio = evenRatio
	}
	if float64(f.Slow) < ratio*float64(f.Fast) {
		return f
	}
	if f.differsSince = previous.differsSince; f.differsSince.IsZero() {
		f.differsSince = now
	}
	f.Uneven = now.Sub(f.differsSince) >= confirmTime
	return f
}

// Relative returns the interval of an engine relative to the average: 2 for an engine that takes
// twice as long as the average one. It is 1 for an engine of unknown pace, and 0 if the engines are
// not uneven.
func (f Fleet) Relative(interval time.Duration) float64 {
	switch {
	case !f.Uneven:
		return 0
	case interval <= 0:
		return 1
	}
	return min(max(float64(interval)/float64(f.Average), 1.0/maxRelativePace), maxRelativePace)
}

// Class is the class of an engine's pace.
type Class string

// The classes. Even stands for any engine of a service whose engines are not uneven.
const (
	Even    Class = "even"
	Unknown Class = "unknown"
	Fast    Class = "fast"
	Average Class = "average"
	Slow    Class = "slow"
)

// ClassOf returns the class of an engine by its interval between events, which is 0 if unknown.
func (f Fleet) ClassOf(interval time.Duration) Class {
	switch relative := f.Relative(interval); {
	case !f.Uneven:
		return Even
	case interval <= 0:
		return Unknown
	case relative >= slowRatio:
		return Slow
	case relative <= 1/slowRatio:
		return Fast
	}
	return Average
}

// UsualPause returns the longest pause between two events that is usual at an engine while it
// prefills another prompt; 0 unless the engine is a slow one among uneven engines.
func (f Fleet) UsualPause(interval time.Duration) time.Duration {
	if f.ClassOf(interval) != Slow {
		return 0
	}
	return time.Duration(pauseMargin * prefillStretch * float64(interval))
}
