package forward

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"mallowwind.dev/decision/retrybudget"
)

// budgetShare returns this daemon's share of the fleet-wide retry budgets. Its offset is a hash
// of the daemon's ID: evenly spaced offsets would require the same list of daemons everywhere.
func (p *pool) budgetShare() retrybudget.Share {
	share := retrybudget.Share{Daemons: 1}
	if p.view != nil && len(p.view.VMs) > 1 {
		share.Daemons = len(p.view.VMs)
		share.RoundingOffset = float64(xxhash.Sum64String(p.self.ID)>>11) / (1 << 53)
	}
	return share
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
	return p.retryBudget(service).TryRetry(now, p.budgetShare(), ordinary)
}
