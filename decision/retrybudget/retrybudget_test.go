package retrybudget

import (
	"math"
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
				if b.TryRetry(now, Share{Daemons: daemons, RoundingOffset: float64(i) / daemons}, false) {
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
	for b.TryRetry(now, Share{Daemons: 10}, false) {
	}
	must.False(t, b.TryRetry(now.Add(9*time.Second), Share{Daemons: 10}, false))
	must.True(t, b.TryRetry(now.Add(12*time.Second), Share{Daemons: 10}, false))
}

// A daemon is killed and starts again. Its retries from before still count at the backend servers,
// so it has no part of the slack for one window; its requests count immediately.
func TestRestartedDaemonHasNoSlackAtFirst(t *testing.T) {
	start := time.Unix(1000, 0)
	b := New(policy, start)
	must.False(t, b.TryRetry(start.Add(time.Second), Share{Daemons: 10}, false))
	for range 10 {
		b.RecordRequest(start.Add(time.Second))
	}
	for range 7 {
		must.True(t, b.TryRetry(start.Add(2*time.Second), Share{Daemons: 10}, false))
	}
	must.False(t, b.TryRetry(start.Add(2*time.Second), Share{Daemons: 10}, false))
	must.True(t, b.TryRetry(start.Add(policy.Window+time.Second), Share{Daemons: 10}, false))
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
			for n%60 < 5 && b.TryRetry(now, Share{Daemons: daemons, RoundingOffset: float64(i) / daemons}, false) {
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

// A zone is lost while servers reject new requests. Ordinary retries arrive first and as often as
// they may, and the retries of broken answers come last. Without the reserve the ordinary ones use
// up the budget, and answers that callers hold in part are cut off. The whole fleet must still stay
// within its budget.
func TestReserveIsLeftForBrokenAnswers(t *testing.T) {
	const daemons, perDaemon, broken = 67, 7, 140
	random := rand.New(rand.NewPCG(5, 5))
	now := time.Unix(1000, 0)
	granted := func(ordinary func(*Budget, Share) bool) (others, kept int) {
		fleet := make([]*Budget, daemons)
		share := func(i int) Share { return Share{Daemons: daemons, RoundingOffset: float64(i) / daemons} }
		for i := range fleet {
			fleet[i] = New(policy, now.Add(-policy.Window))
			for range perDaemon {
				fleet[i].RecordRequest(now)
			}
			for range 20 { // callers that retry at once and often
				if ordinary(fleet[i], share(i)) {
					others++
				}
			}
		}
		for range broken {
			first := random.IntN(daemons)
			for n := range MaxPeersAsked { // the daemon of the answer and those that it asks
				if i := (first + n) % daemons; fleet[i].TryRetry(now, share(i), false) {
					kept++
					break
				}
			}
		}
		return others, kept
	}
	budget := int(policy.Ratio*daemons*perDaemon + policy.Slack)
	others, kept := granted(func(b *Budget, s Share) bool { return b.TryRetry(now, s, true) })
	must.Greater(t, broken*9/10, kept)
	must.LessEq(t, budget, others+kept)
	others, kept = granted(func(b *Budget, s Share) bool { return b.TryRetry(now, s, false) })
	must.Less(t, broken/10, kept)
	must.LessEq(t, budget, others+kept)
}

// The reserve must not shrink the budget: urgent retries may use all of it, and while they do,
// ordinary ones are denied. Without use by others, ordinary retries get all but the reserve.
func TestReserveDoesNotChangeTheBudget(t *testing.T) {
	const budget = 95.0 // for 100 requests and a tenth of the slack
	now := time.Unix(1000, 0)
	count := func(try func(*Budget) bool) (n int) {
		b := New(policy, now.Add(-policy.Window))
		for range 100 {
			b.RecordRequest(now)
		}
		for try(b) {
			n++
		}
		must.False(t, b.TryRetry(now, Share{Daemons: 10}, true))
		return n
	}
	all := count(func(b *Budget) bool { return b.TryRetry(now, Share{Daemons: 10}, false) })
	ordinary := count(func(b *Budget) bool { return b.TryRetry(now, Share{Daemons: 10}, true) })
	must.Eq(t, math.Floor(usableRatio*budget), float64(all))
	must.Eq(t, math.Floor(usableRatio*(1-reservedRatio)*budget), float64(ordinary))
}
