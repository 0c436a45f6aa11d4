package repeats

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var rule = Rule{Ratio: 0.8, Slack: 150, Window: 10 * time.Second}

// Ninety daemons lose every send for a minute. Each repeats as often as it may;
// together they must stay within the budget of the fleet in every window.
func TestFleetStaysWithinBudget(t *testing.T) {
	const daemons = 90
	start := time.Unix(1000, 0)
	fleet := make([]*Budget, daemons)
	for i := range fleet {
		fleet[i] = New(rule)
	}
	requests, granted := 0, 0
	for step := range 100 {
		now := start.Add(time.Duration(step) * 100 * time.Millisecond)
		for i, b := range fleet {
			if (step+i)%20 == 0 {
				b.Request(now)
				requests++
			}
			for range 3 {
				if b.Repeat(now, daemons) {
					granted++
				}
			}
		}
	}
	must.LessEq(t, int(rule.Ratio*float64(requests)+rule.Slack), granted)
	must.Positive(t, granted)
}

func TestBudgetReturnsAfterWindow(t *testing.T) {
	b := New(rule)
	now := time.Unix(1000, 0)
	for b.Repeat(now, 10) {
	}
	must.False(t, b.Repeat(now.Add(9*time.Second), 10))
	must.True(t, b.Repeat(now.Add(12*time.Second), 10))
}
