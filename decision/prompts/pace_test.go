package prompts

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Callers come back with little of their time left. Those whose answers could not be
// whole even if all went well hear so at once; those that hold most of their events, or
// whose answers may be short, are served.
func TestAnswersThatCannotBeWholeInTime(t *testing.T) {
	var p Pace
	must.False(t, p.Unfinishable(5000, 0, time.Millisecond)) // nothing is known
	p.Observe(5000, time.Second)
	p.Made(101, 3*time.Second)
	for range fewAnswers - 1 {
		must.False(t, p.Unfinishable(5000, 0, time.Millisecond))
		p.Made(1, 0)                       // says nothing
		p.Made(131, 4550*time.Millisecond) // slower, beside other prompts
	}
	// At least 0.7 of 101 events in 30 ms each, after 0.7 of a second of reading.
	must.True(t, p.Unfinishable(5000, 0, 2800*time.Millisecond))
	must.False(t, p.Unfinishable(5000, 0, 3*time.Second))
	must.True(t, p.Unfinishable(5000, 60, 300*time.Millisecond))
	must.False(t, p.Unfinishable(5000, 60, 450*time.Millisecond))
	must.False(t, p.Unfinishable(5000, 90, time.Millisecond))
	for range 100 { // answers are longer now
		p.Made(201, 8*time.Second)
	}
	must.True(t, p.Unfinishable(5000, 60, 2*time.Second))
}

func TestPace(t *testing.T) {
	var p Pace
	must.False(t, p.Hopeless(8000, time.Millisecond)) // nothing is known
	p.Observe(8000, time.Second)
	must.True(t, p.Hopeless(8000, 600*time.Millisecond))
	must.False(t, p.Hopeless(8000, 800*time.Millisecond))
	must.False(t, p.Hopeless(4000, 400*time.Millisecond))
	p.Observe(8000, 3*time.Second) // waited behind others
	must.False(t, p.Hopeless(8000, 800*time.Millisecond))
	for range 120 { // the engines became slower for good
		p.Observe(8000, 3*time.Second)
	}
	must.True(t, p.Hopeless(8000, 1400*time.Millisecond))
}
