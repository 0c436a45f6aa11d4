package absence

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const objective = 4500 * time.Millisecond

// All servers are gone and nothing is known of how long that lasts: a request waits for a
// moment, and its caller comes back when a restart may be over.
func TestNothingKnown(t *testing.T) {
	var a Estimator
	must.Eq(t, objective/8, a.MaxWait(objective))
	must.Between(t, 375*time.Millisecond, a.RetryAfter(0), 375*time.Millisecond)
	must.Between(t, 600*time.Millisecond, a.RetryAfter(0.99), 625*time.Millisecond)
	a.ObserveReturn(0)
	a.ObserveReturn(9 * time.Second) // says nothing
	must.Eq(t, objective/8, a.MaxWait(objective))
}

func TestWaitAndBack(t *testing.T) {
	cases := []struct {
		name      string
		away      []time.Duration
		wait      time.Duration
		backLeast time.Duration
	}{
		{"a usual absence and half as much", []time.Duration{time.Second, time.Second}, 1500 * time.Millisecond, 750 * time.Millisecond},
		{"never more than half of the objective", []time.Duration{8 * time.Second}, 2250 * time.Millisecond, 6 * time.Second},
		{"short ones do not bring callers back sooner", []time.Duration{100 * time.Millisecond}, 150 * time.Millisecond, 375 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var a Estimator
			for _, d := range c.away {
				a.ObserveReturn(d)
			}
			must.Eq(t, c.wait, a.MaxWait(objective))
			must.Eq(t, c.backLeast, a.RetryAfter(0))
		})
	}
}

// Servers that took long to return take short now: a dozen of them are believed.
func TestAbsencesThatBecomeShorter(t *testing.T) {
	var a Estimator
	a.ObserveReturn(8 * time.Second)
	for range 24 {
		a.ObserveReturn(time.Second)
	}
	must.Less(t, 2*time.Second, a.MaxWait(objective))
}
