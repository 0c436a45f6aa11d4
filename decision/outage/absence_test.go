package outage

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const objective = 4500 * time.Millisecond

// All servers are unavailable and no outage was observed before. A request waits for the default
// time, and its caller retries when a restart may have completed.
func TestNoObservations(t *testing.T) {
	var e Estimator
	must.Eq(t, objective/8, e.MaxWait(objective))
	must.Between(t, 375*time.Millisecond, e.RetryAfter(0), 375*time.Millisecond)
	must.Between(t, 600*time.Millisecond, e.RetryAfter(0.99), 625*time.Millisecond)
	e.ObserveReturn(0)
	e.ObserveReturn(9 * time.Second) // too long to be counted
	must.Eq(t, objective/8, e.MaxWait(objective))
}

func TestMaxWaitAndRetryAfter(t *testing.T) {
	cases := []struct {
		name       string
		outages    []time.Duration
		maxWait    time.Duration
		retryAfter time.Duration // without random spread, the shortest
	}{
		{"one and a half times the mean outage", []time.Duration{time.Second, time.Second}, 1500 * time.Millisecond, 750 * time.Millisecond},
		{"at most half of the objective", []time.Duration{8 * time.Second}, 2250 * time.Millisecond, 6 * time.Second},
		{"short outages don't lower the minimum", []time.Duration{100 * time.Millisecond}, 150 * time.Millisecond, 375 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var e Estimator
			for _, d := range c.outages {
				e.ObserveReturn(d)
			}
			must.Eq(t, c.maxWait, e.MaxWait(objective))
			must.Eq(t, c.retryAfter, e.RetryAfter(0))
		})
	}
}

// Outages become shorter. The wait must follow within two dozen of them.
func TestOutagesBecomeShorter(t *testing.T) {
	var e Estimator
	e.ObserveReturn(8 * time.Second)
	for range 24 {
		e.ObserveReturn(time.Second)
	}
	must.Less(t, 2*time.Second, e.MaxWait(objective))
}
