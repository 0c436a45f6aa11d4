package pace

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	ms = time.Millisecond
	us = time.Microsecond
)

// samples returns the samples of a segment whose events come at the given intervals.
func samples(intervals ...time.Duration) (list []time.Duration) {
	var m Meter
	at := time.Duration(0)
	m.Observe(at)
	for _, interval := range intervals {
		at += interval
		if sample, ok := m.Observe(at); ok {
			list = append(list, sample)
		}
	}
	return list
}

// answer returns the intervals of an answer of 130 events, of which every run-th begins so many at
// another interval.
func answer(usual, other time.Duration, run, length int) []time.Duration {
	list := make([]time.Duration, 129)
	for i := range list {
		list[i] = usual
		if run > 0 && i%run < length {
			list[i] = other
		}
	}
	return list
}

// Guards against a pace that follows what delays answers but not the engine: prefills of other
// prompts, a slowdown of 600 ms, a stalled link that delivers events together.
func TestSampleIgnoresDisturbances(t *testing.T) {
	stall := answer(30*ms, 0, 0, 0)
	stall[40] = 600 * ms
	for i := range 20 {
		stall[41+i] = 0
	}
	for _, c := range []struct {
		name      string
		intervals []time.Duration
	}{
		{"undisturbed", answer(30*ms, 0, 0, 0)},
		{"a prefill every third second", answer(30*ms, 180*ms, 65, 6)},
		{"prefills for half of the time", answer(30*ms, 180*ms, 40, 6)},
		{"slow for 600 ms", answer(30*ms, 75*ms, 65, 8)},
		{"stalled link", stall},
	} {
		t.Run(c.name, func(t *testing.T) {
			list := samples(c.intervals...)
			must.SliceNotEmpty(t, list)
			for _, sample := range list {
				must.Eq(t, 30*ms, sample)
			}
		})
	}
}

// Guards against an engine that looks twice as fast because a busy link delivers events in pairs.
func TestSampleOfPairedEvents(t *testing.T) {
	for _, sample := range samples(answer(58*ms, 2*ms, 2, 1)...) {
		must.Eq(t, 30*ms, sample)
	}
}

// Guards against a sample from a few events, or from intervals that no engine has.
func TestNoSample(t *testing.T) {
	must.SliceEmpty(t, samples(answer(30*ms, 0, 0, 0)[:minIntervalCount+spanEvents-2]...))
	must.SliceLen(t, 1, samples(answer(30*ms, 0, 0, 0)[:minIntervalCount+spanEvents-1]...))
	must.SliceEmpty(t, samples(answer(0, 0, 0, 0)...))
	must.SliceEmpty(t, samples(answer(-30*ms, 0, 0, 0)...))
}

// Guards against slow samples, which reflect load, and against a fast one that is kept for good: an
// engine that has become slower is recognised once its earlier samples expire.
func TestTableKeepsFastestRecentSample(t *testing.T) {
	var table Table[string]
	now := time.Unix(1_000_005, 0)
	must.Zero(t, table.Interval(now, "e"))
	must.True(t, table.Observe(now, "e", 50*ms, 0))
	must.True(t, table.Observe(now, "e", 30*ms, 0))
	must.True(t, table.Observe(now, "e", 90*ms, 0))
	must.Eq(t, 30*ms, table.Interval(now, "e"))
	for range 3 {
		now = now.Add(sampleWindow)
		must.True(t, table.Observe(now, "e", 75*ms, 0))
	}
	must.Eq(t, 75*ms, table.Interval(now, "e"))
	must.Eq(t, 75*ms, table.Interval(now.Add(keptWindows*sampleWindow), "e")) // no newer sample
	expired := now.Add((keptWindows + 1) * sampleWindow)
	must.Zero(t, table.Interval(expired, "e"))
	must.True(t, table.Observe(expired, "f", 30*ms, 0))
	must.MapLen(t, 1, table.engines)
}

// Guards against a sample that each later note repeats and so keeps alive, and against values that a
// faulty daemon reports.
func TestTableIgnoresOldAndInvalidSamples(t *testing.T) {
	var table Table[string]
	now := time.Unix(1_000_005, 0)
	must.True(t, table.Observe(now, "e", 30*ms, sampleWindow)) // of the window before
	must.Eq(t, 30*ms, table.Interval(now, "e"))
	must.True(t, table.Observe(now.Add(sampleWindow), "e", 40*ms, 0))
	must.True(t, table.Observe(now.Add(2*sampleWindow), "e", 40*ms, 0))
	must.Eq(t, 40*ms, table.Interval(now.Add(2*sampleWindow), "e"))
	must.False(t, table.Observe(now, "f", 30*ms, 2*sampleWindow))
	for _, interval := range []time.Duration{0, -ms, 999 * us, MaxInterval + 1} {
		must.False(t, table.Observe(now, "f", interval, 0))
	}
	must.True(t, table.Observe(now, "g", 30*ms, -time.Hour)) // an age is never negative
	must.Zero(t, table.Interval(now, "f"))
	must.Eq(t, 40*ms, table.Interval(now.Add(-sampleWindow), "e")) // the clock was set back
}

func repeat(intervals ...time.Duration) (list []time.Duration) {
	for range 4 {
		list = append(list, intervals...)
	}
	return list
}

// assessed returns the result of assessments over evenConfirmTime, the last one at epoch plus at.
func assessed(f Comparison, at time.Duration, intervals []time.Duration) Comparison {
	for ago := evenConfirmTime; ago >= 0; ago -= time.Second {
		f = Assess(f, epoch.Add(at-ago), intervals, false)
	}
	return f
}

// Guards against placement by pace where engines are alike, where one is odd, or where few are known.
func TestAssess(t *testing.T) {
	three := repeat(50*ms, 30*ms, 19*ms)
	for _, c := range []struct {
		name      string
		previous  bool
		intervals []time.Duration
		want      bool
	}{
		{"none", true, nil, false},
		{"three speeds", false, three, true},
		{"too few", false, three[:7], false},
		{"alike", false, repeat(30*ms, 30*ms), false},
		{"a third apart", false, repeat(30*ms, 40*ms), false},
		{"one odd engine", false, append(repeat(30*ms, 30*ms), 200*ms), false},
		{"a little below the ratio", false, repeat(20*ms, 31*ms), false},
		{"a little below the ratio, uneven before", true, repeat(20*ms, 31*ms), true},
		{"alike, uneven before", true, repeat(30*ms, 40*ms), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var f Comparison
			if c.previous {
				f = assessed(f, 0, three)
			}
			must.Eq(t, c.want, assessed(f, 2*evenConfirmTime, c.intervals).Uneven)
		})
	}
}

// Guards against engines that count as uneven for a moment because some of them had no undisturbed
// sample: all assessments over the time of confirmation must find the same.
func TestUnevenOnlyOnceConfirmed(t *testing.T) {
	three, even := repeat(50*ms, 30*ms, 20*ms), repeat(30*ms, 30*ms)
	f := Assess(Comparison{}, epoch, three, false)
	f = Assess(f, epoch.Add(unevenConfirmTime-ms), three, false)
	must.False(t, f.Uneven)
	f = Assess(f, epoch.Add(unevenConfirmTime-ms), even, false)
	f = Assess(f, epoch.Add(unevenConfirmTime), three, false)
	must.False(t, f.Uneven)
	found := 2 * unevenConfirmTime
	f = Assess(f, epoch.Add(found), three, false)
	must.True(t, f.Uneven)
	f = Assess(f, epoch.Add(found+time.Second), even, false)
	f = Assess(f, epoch.Add(found+time.Second+evenConfirmTime-ms), even, false)
	must.True(t, f.Uneven)
	must.False(t, Assess(f, epoch.Add(found+time.Second+evenConfirmTime), even, false).Uneven)
}

// Guards against engines that alternate between uneven and even in a service of few: one of eight
// restarts, and its pace is unknown for some seconds.
func TestUnevenEnginesStayUnevenWhileOneIsUnknown(t *testing.T) {
	eight := append(repeat(50*ms, 30*ms), 20*ms, 20*ms)[2:]
	must.Len(t, minKnownEngines, eight)
	f := Assess(Comparison{}, epoch, eight, false)
	f = Assess(f, epoch.Add(unevenConfirmTime), eight, false)
	must.True(t, f.Uneven)
	at := unevenConfirmTime + time.Second
	f = Assess(f, epoch.Add(at), eight[1:], false)
	f = Assess(f, epoch.Add(at+evenConfirmTime-ms), eight[1:], false)
	must.True(t, f.Uneven)
	must.Eq(t, 30*ms, f.Average)
	f = Assess(f, epoch.Add(at+evenConfirmTime), eight[1:], false)
	must.False(t, f.Uneven)
	must.Zero(t, f.Average)
}

// Guards against a comparison while the engines prefill prompts almost all the time. The finding before
// is kept, and the time of confirmation begins anew.
func TestSaturatedEnginesAreNotCompared(t *testing.T) {
	var s Saturation
	must.False(t, s.IsSaturated())
	s.Observe(0, 0)
	s.Observe(12, 12)
	must.True(t, s.IsSaturated())
	s.Observe(2, 12)
	must.False(t, s.IsSaturated())

	three, even := repeat(50*ms, 30*ms, 20*ms), repeat(30*ms, 30*ms)
	f := Assess(Comparison{}, epoch, three, false)
	f = Assess(f, epoch.Add(unevenConfirmTime), three, true)
	f = Assess(f, epoch.Add(unevenConfirmTime), three, false)
	must.False(t, f.Uneven)
	f = Assess(f, epoch.Add(2*unevenConfirmTime), three, false)
	must.True(t, f.Uneven)
	for n := range time.Duration(9) {
		f = Assess(f, epoch.Add((3+n)*evenConfirmTime), even, true)
	}
	must.True(t, f.Uneven)
	must.Eq(t, 30*ms, f.Average)
}

// Guards against an engine of unknown pace that counts as fast or slow, and against a pace that
// excludes an engine or attracts all prompts.
func TestRelativePace(t *testing.T) {
	f := assessed(Comparison{}, 0, repeat(50*ms, 30*ms, 20*ms))
	must.Eq(t, 30*ms, f.Average)
	must.Eq(t, 1, f.Relative(0))
	must.Eq(t, 2, f.Relative(60*ms))
	must.Eq(t, 4, f.Relative(time.Second))
	must.Eq(t, 0.25, f.Relative(ms))
	must.Eq(t, []Class{Unknown, Fast, Average, Slow}, []Class{f.ClassOf(0), f.ClassOf(20 * ms), f.ClassOf(30 * ms), f.ClassOf(50 * ms)})
	must.Eq(t, 450*ms, f.UsualPause(50*ms))
	must.Zero(t, f.UsualPause(30*ms))
	must.Zero(t, f.UsualPause(0))
	even := assessed(Comparison{}, 0, repeat(30*ms, 30*ms))
	must.Zero(t, even.Relative(90*ms))
	must.Eq(t, Even, even.ClassOf(90*ms))
	must.Zero(t, even.UsualPause(90*ms))
}

// Guards against a service whose engines alternate between even and uneven with the variation of
// their samples.
func TestAssessmentIsStable(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	for _, speeds := range [][]float64{{0.6, 1, 1.6}, {0.85, 1, 1.15}} {
		var f Comparison
		changes := 0
		for second := range 1000 {
			var intervals []time.Duration
			for i := range 12 {
				intervals = append(intervals, time.Duration(float64(30*ms)*(0.95+0.1*rng.Float64())/speeds[i%len(speeds)]))
			}
			before := f.Uneven
			if f = Assess(f, epoch.Add(time.Duration(second)*time.Second), intervals, false); f.Uneven != before {
				changes++
			}
		}
		must.LessEq(t, 1, changes)
		must.Eq(t, speeds[0] == 0.6, f.Uneven)
	}
}
