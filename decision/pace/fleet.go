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
	// unevenConfirmTime is how long engines must be found to differ before they count as uneven:
	// longer than short slowdowns and the first samples of a few engines take. Until then, slow engines
	// get as many prompts as fast ones.
	unevenConfirmTime = 4 * time.Second
	// evenConfirmTime is how long uneven engines must be found alike before they count as even again:
	// the time in which each gets new samples. While engines prefill prompts most of the time, some
	// have no undisturbed sample for several seconds.
	evenConfirmTime = sampleWindow
	// saturatedShare is the share of engines with a prompt in prefill above which engines are not
	// compared. With almost no time between two prefills, samples are those of the prefills.
	saturatedShare = 0.8
	// shareWeight is the weight of one query in the average share, which so covers a dozen seconds of
	// a daemon that places a prompt in several seconds.
	shareWeight = 0.25
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

// Comparison is what a daemon knows of the paces of the engines of a service. The zero value knows
// nothing: no engine is uneven.
type Comparison struct {
	// Uneven says that the engines differ so much that the choice of an engine takes the pace into
	// account.
	Uneven bool
	// Known is the number of engines of known pace. Fast, Average and Slow are the intervals between
	// events of the fast engines, the median one and the slow ones; 0 with too few known engines.
	Known               int
	Fast, Average, Slow time.Duration
	// disputedSince is the first of the assessments in a row whose finding is not that of Uneven; zero
	// if the last one agrees.
	disputedSince time.Time
}

// Saturation tells whether the engines of a service prefill prompts almost all the time. The zero value
// has no observations.
type Saturation struct {
	share    float64
	observed bool
}

// Observe records how many of the engines that a daemon asked about have a prompt in prefill.
func (s *Saturation) Observe(busy, asked int) {
	switch share := float64(busy) / float64(max(asked, 1)); {
	case asked <= 0:
	case !s.observed:
		s.share, s.observed = share, true
	default:
		s.share += shareWeight * (share - s.share)
	}
}

// IsSaturated reports whether the paces of the engines can't be compared now.
func (s *Saturation) IsSaturated() bool { return s.share > saturatedShare }

// Assess compares the known intervals between events of the engines of a service. previous is the
// result before, which is kept while the engines are saturated. intervals is sorted in place.
func Assess(previous Comparison, now time.Time, intervals []time.Duration, saturated bool) Comparison {
	if saturated {
		previous.disputedSince = time.Time{}
		return previous
	}
	f := Comparison{Known: len(intervals), Uneven: previous.Uneven}
	if len(intervals) < minKnownEngines {
		return previous.withFewKnown(now, f.Known)
	}
	slices.Sort(intervals)
	trim := max(1, len(intervals)/trimDivisor)
	f.Fast, f.Average, f.Slow = intervals[trim], intervals[len(intervals)/2], intervals[len(intervals)-1-trim]
	ratio := unevenRatio
	if previous.Uneven {
		ratio = evenRatio
	}
	if differ := float64(f.Slow) >= ratio*float64(f.Fast); differ == f.Uneven {
		return f
	}
	f.disputedSince = previous.disputedSince
	f.dispute(now)
	return f
}

// withFewKnown returns the result where too few engines are known to compare them. Uneven engines
// stay uneven for evenConfirmTime: after a restart, the pace of an engine is unknown for a moment.
func (c Comparison) withFewKnown(now time.Time, known int) Comparison {
	if !c.Uneven {
		return Comparison{Known: known}
	}
	c.Known = known
	if c.dispute(now); !c.Uneven {
		return Comparison{Known: known}
	}
	return c
}

// dispute records that an assessment does not agree with Uneven, which changes once all assessments
// of the time of confirmation have not.
func (c *Comparison) dispute(now time.Time) {
	if c.disputedSince.IsZero() {
		c.disputedSince = now
	}
	confirmTime := unevenConfirmTime
	if c.Uneven {
		confirmTime = evenConfirmTime
	}
	if now.Sub(c.disputedSince) >= confirmTime {
		c.Uneven, c.disputedSince = !c.Uneven, time.Time{}
	}
}

// Relative returns the interval of an engine relative to the average: 2 for an engine that takes
// twice as long as the average one. It is 1 for an engine of unknown pace, and 0 if the engines are
// not uneven.
func (c Comparison) Relative(interval time.Duration) float64 {
	switch {
	case !c.Uneven:
		return 0
	case interval <= 0:
		return 1
	}
	return min(max(float64(interval)/float64(c.Average), 1.0/maxRelativePace), maxRelativePace)
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
func (c Comparison) ClassOf(interval time.Duration) Class {
	switch relative := c.Relative(interval); {
	case !c.Uneven:
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
func (c Comparison) UsualPause(interval time.Duration) time.Duration {
	if c.ClassOf(interval) != Slow {
		return 0
	}
	return time.Duration(pauseMargin * prefillStretch * float64(interval))
}
