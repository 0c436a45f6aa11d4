package retrybudget

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var policy = Policy{Ratio: 0.8, Slack: 150, Window: 10 * time.Second}

// Ninety daemons lose every send for ten seconds and retry as often as they may. Together they must
// stay within the budget of the fleet.
func TestFleetStaysWithinBudget(t *testing.T) {
	const daemons = 90
	start := time.Unix(1000, 0)
	fleet := make([]*Budget, daemons)
	for i := range fleet {
		fleet[i] = New(policy, start.Add(-policy.Window))
	}
	requests, granted := 0, 0
	for step := range 100 {
		now := start.Add(time.Duration(step) * 100 * time.Millisecond)
		for i, b := range fleet {
			if (step+i)%20 == 0 {
				b.RecordRequest(now)
				requests++
			}
			for range 3 {
				if b.TryRetry(now, Share{daemons, float64(i) / daemons}) {
					granted++
				}
			}
		}
	}
	must.LessEq(t, int(policy.Ratio*float64(requests)+policy.Slack), granted)
	must.Positive(t, granted)
}

func TestBudgetReturnsAfterWindow(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(policy, now.Add(-policy.Window))
	for b.TryRetry(now, Share{Daemons: 10}) {
	}
	must.False(t, b.TryRetry(now.Add(9*time.Second), Share{Daemons: 10}))
	must.True(t, b.TryRetry(now.Add(12*time.Second), Share{Daemons: 10}))
}

// A daemon is killed and starts again. Its retries from before still count at the backend servers,
// so it has no part of the slack for one window; its requests count immediately.
func TestRestartedDaemonHasNoSlackAtFirst(t *testing.T) {
	start := time.Unix(1000, 0)
	b := New(policy, start)
	must.False(t, b.TryRetry(start.Add(time.Second), Share{Daemons: 10}))
	for range 10 {
		b.RecordRequest(start.Add(time.Second))
	}
	for range 7 {
		must.True(t, b.TryRetry(start.Add(2*time.Second), Share{Daemons: 10}))
	}
	must.False(t, b.TryRetry(start.Add(2*time.Second), Share{Daemons: 10}))
	must.True(t, b.TryRetry(start.Add(policy.Window+time.Second), Share{Daemons: 10}))
}

// A fleet retries as often as it may while half of it is repeatedly killed and restarted. In a
// window with any start, the backend servers must not see more retries than the budget for the
// requests of that window, of the previous window or of the window that starts half a window
// earlier.
func TestFleetWithRestartsStaysWithinBudget(t *testing.T) {
	const daemons = 20
	random := rand.New(rand.NewPCG(11, 11))
	start := time.Unix(1000, 0)
	fleet := make([]*Budget, daemons)
	for i := range fleet {
		fleet[i] = New(policy, start)
	}
	const step = 50 * time.Millisecond
	var requests, retried []int // by step
	for n := range 1200 {
		now := start.Add(time.Duration(n) * step)
		asked, granted := 0, 0
		for i, b := range fleet {
			if random.Float64() < 0.1 {
				b.RecordRequest(now)
				asked++
			}
			for n%60 < 5 && b.TryRetry(now, Share{daemons, float64(i) / daemons}) {
				granted++
			}
			if n%130 == 0 && random.Float64() < 0.5 {
				fleet[i] = New(policy, now)
			}
		}
		requests, retried = append(requests, asked), append(retried, granted)
	}
	window := int(policy.Window / step)
	total := func(counts []int, from int) (n int) {
		for _, c := range counts[max(from, 0):max(from+window, 0)] {
			n += c
		}
		return n
	}
	for from := range len(requests) - window {
		base := max(total(requests, from), total(requests, from-window), total(requests, from-window/2))
		must.LessEq(t, int(policy.Ratio*float64(base)+policy.Slack), total(retried, from))
	}
}
