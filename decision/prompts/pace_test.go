package prompts

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Callers come back with little of their time left. Those whose answers could not be
// whole even if all went well hear so at once; those that hold most of their events, or
// whose answers may be short, are served.
func TestAnswersThatCannotBeWholeInTime(t *testing.T) {
	var p Estimator
	must.False(t, p.CannotFinishWithin(5000, true, 0, time.Millisecond)) // nothing is known
	p.ObservePrefill(5000, time.Second)
	p.ObserveAnswer(101, 3*time.Second)
	for range fewAnswers - 1 {
		must.False(t, p.CannotFinishWithin(5000, true, 0, time.Millisecond))
		p.ObserveAnswer(1, 0)                       // says nothing
		p.ObserveAnswer(131, 4550*time.Millisecond) // slower, beside other prompts
	}
	// At least 0.7 of 101 events in 30 ms each, after 0.7 of a second of reading.
	must.True(t, p.CannotFinishWithin(5000, true, 0, 2800*time.Millisecond))
	must.False(t, p.CannotFinishWithin(5000, true, 0, 3*time.Second))
	must.True(t, p.CannotFinishWithin(5000, false, 60, 300*time.Millisecond))
	must.False(t, p.CannotFinishWithin(5000, false, 60, 450*time.Millisecond))
	must.False(t, p.CannotFinishWithin(5000, false, 90, time.Millisecond))
	// No engine holds the prompt: it has to be read as well.
	must.True(t, p.CannotFinishWithin(5000, true, 60, 950*time.Millisecond))
	must.False(t, p.CannotFinishWithin(5000, true, 60, 1200*time.Millisecond))
	must.True(t, p.CannotFinishWithin(5000, true, 90, 600*time.Millisecond))
	for range 100 { // answers are longer now
		p.ObserveAnswer(201, 8*time.Second)
	}
	must.True(t, p.CannotFinishWithin(5000, false, 60, 2*time.Second))
}

func TestPace(t *testing.T) {
	var p Estimator
	must.False(t, p.CannotPrefillWithin(8000, time.Millisecond)) // nothing is known
	p.ObservePrefill(8000, time.Second)
	must.True(t, p.CannotPrefillWithin(8000, 600*time.Millisecond))
	must.False(t, p.CannotPrefillWithin(8000, 800*time.Millisecond))
	must.False(t, p.CannotPrefillWithin(4000, 400*time.Millisecond))
	p.ObservePrefill(8000, 3*time.Second) // waited behind others
	must.False(t, p.CannotPrefillWithin(8000, 800*time.Millisecond))
	for range 120 { // the engines became slower for good
		p.ObservePrefill(8000, 3*time.Second)
	}
	must.True(t, p.CannotPrefillWithin(8000, 1400*time.Millisecond))
}

// All daemons start at once, and callers come back seconds later with little time left. A
// daemon of hundreds has seen two answers by then, and others have too: together they know.
func TestPaceIsLearnedFromOthers(t *testing.T) {
	var here, there Estimator
	for range 2 {
		here.ObserveAnswer(131, 4*time.Second)
		there.ObservePrefill(5000, time.Second)
		there.ObserveAnswer(101, 3*time.Second)
	}
	must.False(t, here.HasEnoughAnswers())
	here.Merge(there.Estimates())
	here.Merge(Estimates{})                                   // knows nothing
	here.Merge(Estimates{NsPerEvent: math.NaN(), Answers: 9}) // no sense
	must.False(t, here.HasEnoughAnswers())
	here.Merge(there.Estimates())
	must.True(t, here.HasEnoughAnswers())
	must.True(t, here.CannotFinishWithin(5000, true, 60, 950*time.Millisecond))
	must.False(t, here.CannotFinishWithin(5000, true, 60, 1200*time.Millisecond))
}
