package prompts

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

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
