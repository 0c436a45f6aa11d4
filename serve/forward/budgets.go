package forward

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/retrybudget"
)

// fleetObservationInterval is the interval at which a daemon looks at the list of daemons, with or
// without requests: one that has none lends. It is short compared with the window of a retry budget.
const fleetObservationInterval = time.Second

// observeFleet observes which daemons share the retry budgets, until ctx ends.
func (h *Handler) observeFleet(ctx context.Context) {
	tick := time.NewTicker(fleetObservationInterval)
	defer tick.Stop()
	for {
		h.pool.observeFleet(time.Now(), h.opts.Feed.View())
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// observeFleet records the daemons of a view.
func (p *pool) observeFleet(now time.Time, view *feed.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if view.PublishedAt.IsZero() || p.fleetVMs != nil && routing.SameVMs(p.fleetVMs, view.VMs) {
		return
	}
	p.fleetVMs = view.VMs
	ids := make([]string, 0, len(view.VMs))
	for _, vm := range view.VMs {
		ids = append(ids, vm.ID)
	}
	p.fleet.Observe(now, ids)
}

// budgetShare returns this daemon's share of the fleet-wide retry budgets. Its offset is a hash
// of the daemon's ID: evenly spaced offsets would require the same list of daemons everywhere.
func (p *pool) budgetShare(now time.Time) retrybudget.Share {
	share := p.fleet.Share(now, p.retryRule.Window)
	if share.Daemons > 1 {
		share.RoundingOffset = float64(xxhash.Sum64String(p.self.ID)>>11) / (1 << 53)
	}
	return share
}

// beginLeaving bounds this daemon's share of the retry budgets, since the others no longer list it.
func (p *pool) beginLeaving(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fleet.BeginLeaving(now)
}

func (p *pool) retryBudget(service string) *retrybudget.Budget {
	b, ok := p.budgets[service]
	if !ok {
		b = retrybudget.New(p.retryRule, p.startedAt)
		p.budgets[service] = b
	}
	return b
}

// setRetryRule changes the retry budgets of all services. They start again without a share of the
// slack, because the retries made so far are forgotten.
func (p *pool) setRetryRule(rule retrybudget.Policy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if rule != p.retryRule {
		p.retryRule, p.startedAt = rule, time.Now()
		clear(p.budgets)
	}
}

// countRequest records a caller's request to a service, which adds to the retry budget.
func (p *pool) countRequest(now time.Time, service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retryBudget(service).RecordRequest(now)
}

// tryTakeRetry reports whether the retry budget permits one more send of a request, and charges
// it if so. An ordinary request may not use the reserved part of the budget.
func (p *pool) tryTakeRetry(now time.Time, service string, ordinary bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.retryBudget(service).TryRetry(now, p.budgetShare(now), ordinary)
}
