package feed

import (
	"context"
	"math/rand/v2"
	"time"

	"mallowwind.dev/control/pause"
	"mallowwind.dev/decision/watchplan"
)

const (
	// retryDelay is the mean delay after a failed call of a daemon that the plan selects to watch
	// the store, or that may be the only one that cannot reach it.
	retryDelay = 250 * time.Millisecond
	// outageRetryDelay is the shortest mean delay of the other daemons while their peers cannot
	// reach the store either.
	outageRetryDelay = 2 * time.Second
	// maxStartupRetryDelay bounds the mean delay of a daemon that has no state yet, which doubles
	// with each failure. At a constant short delay, a fleet that starts during an outage would send
	// calls in proportion to its size.
	maxStartupRetryDelay = time.Second
	// outageRetriesPerSecond bounds the rate at which all daemons that the plan does not select
	// together try the store during an outage. They learn of its return from the few that watch it;
	// if the store refuses just those, one of the others soon reaches it and the rest learn from
	// that one. Without the bound, the number of calls during an outage grows with the fleet, and
	// all daemons call the store at once when it returns.
	outageRetriesPerSecond = 4.0
	// watchingRetryDelay is the mean delay of a daemon that watches on behalf of a larger fleet,
	// after longFailureStreak failures. Several such daemons retry independently, so together they
	// detect the store's return sooner than any one of them.
	watchingRetryDelay = 500 * time.Millisecond
	// longFailureStreak is the number of consecutive failures that are no longer taken for a single
	// lost answer.
	longFailureStreak = 3
)

// backOff waits before the next attempt to reach the store. It recomputes the delay while it waits,
// because the plan may select this daemon or a peer may reach the store meanwhile.
func (m *Manager) backOff(ctx context.Context, failures int) {
	failedAt, jitter := m.opts.Clock(), 0.5+rand.Float64()
	for ctx.Err() == nil {
		until := failedAt + time.Duration(jitter*float64(m.meanRetryDelay(failures)))
		left := until - m.opts.Clock()
		if left <= 0 || !m.shouldWatch() {
			return
		}
		pause.For(ctx, min(left, pollInterval))
	}
}

// meanRetryDelay returns the mean delay after a failed call to the store. failures counts the
// consecutive failures before that call. A daemon that watches because its sources have lost the
// store backs off like the rest of the fleet if its own call fails too.
func (m *Manager) meanRetryDelay(failures int) time.Duration {
	view := m.View()
	fleetSize := float64(len(view.VMs))
	_, known := m.confirmationAge()
	switch {
	case !known:
		return min(retryDelay<<min(failures, 8), maxStartupRetryDelay)
	case len(view.VMs) <= watchplan.SmallFleetSize:
		return retryDelay
	case view.watchPlan.IsWatcher(m.opts.Self) && failures >= longFailureStreak:
		return watchingRetryDelay
	case view.watchPlan.IsWatcher(m.opts.Self):
		return retryDelay
	case m.IsStoreDown():
		return max(outageRetryDelay, time.Duration(fleetSize/outageRetriesPerSecond*float64(time.Second)))
	case m.hasNoSource():
		return outageRetryDelay
	}
	return retryDelay
}
