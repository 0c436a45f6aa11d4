package load

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"mallowwind.dev/lab/bench/physics"
)

// oneEngine is an engine with nothing to do.
func oneEngine(p physics.Engine) *engineSim {
	c := newClock()
	return &engineSim{clock: c, physics: p, slow: 1, vAt: c.now, gaps: &gapMeter{hist: newHistogram()}, onCache: func(uint64, bool) {}}
}

// timed is a job whose first token and end are noted.
func timed(e *engineSim, prompt, answer int) (j *job, first, end *time.Duration) {
	first, end = new(time.Duration), new(time.Duration)
	began := e.clock.now
	j = &job{req: &request{prompt: prompt}, server: e, answer: float64(answer)}
	j.onFirst = func() { *first = e.clock.now.Sub(began) }
	j.onEnd = func(bool) { *end = e.clock.now.Sub(began) }
	return j, first, end
}

// A prompt of 8,000 tokens is worked off in 40 chunks. Alone it takes a second and a
// bit; a stream beside it gets a token only with each chunk, six times later than usual.
func TestChunksAreReadBetweenTokens(t *testing.T) {
	e := oneEngine(physics.ChunkedPrefill)
	stream, streamFirst, streamEnd := timed(e, 200, 200)
	e.add(stream)
	e.clock.runUntil(e.clock.now.Add(100 * time.Millisecond))
	must.Positive(t, *streamFirst)
	reading, first, _ := timed(e, 8000, 10)
	e.add(reading)
	e.clock.runUntil(e.clock.now.Add(5 * time.Second))
	step := physics.ChunkedPrefill.StepTime(1, true)
	test.Between(t, 39*step, *first, 42*step)
	plain := 200 * physics.ChunkedPrefill.StepTime(1, false)
	test.Between(t, plain+38*25*time.Millisecond, *streamEnd, plain+42*26*time.Millisecond)
}

// Three answers of 20,000 tokens each fill an engine's memory but for a part. A fourth
// waits until the first of them ends, although the batch has places.
func TestJobsWaitForMemory(t *testing.T) {
	e := oneEngine(physics.ChunkedPrefill)
	for range 4 {
		j, _, _ := timed(e, 25_000, 100)
		e.add(j)
	}
	test.Eq(t, 3, e.running())
	test.SliceLen(t, 1, e.waiting)
	e.clock.runUntil(e.clock.now.Add(time.Minute))
	test.Eq(t, 0, e.running())
	test.SliceEmpty(t, e.waiting)
}

// Twice the capacity asks engines that read prompts within their steps. Sent to any
// engine in order of arrival, prompts fill them and whole answers come for a third of
// the capacity less; admitted by what the engines can do, the capacity is used.
func TestSaturationOfChunkedEngines(t *testing.T) {
	t.Parallel()
	d, err := deploymentNamed("tharaka")
	must.NoError(t, err)
	d.engines = physics.ChunkedPrefill
	s, err := scenarioNamed("saturation")
	must.NoError(t, err)
	s.span = 60 * time.Second
	c := measureCapacity(d, s.shares, 1)
	ours, random := runScenario(d, s, Product, c, 1), runScenario(d, s, Random, c, 1)
	test.Greater(t, 0.9, ours.Goodput)
	test.Less(t, 0.8, random.Goodput)
	test.Greater(t, 0.95, ours.Jain)
	test.Greater(t, 0.98, answered(urgent(ours)))
}

func TestUnknownEnginesAreRefused(t *testing.T) {
	_, err := physics.EngineByName("other")
	must.ErrorContains(t, err, "beside, chunked")
}
