package forward

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"mallowwind.dev/decision/repeats"
)

// budgetShare is this daemon's part of the fleet's budgets. The hash of its id takes the
// place of an even offset, which would need the same list at every daemon.
func (p *pool) budgetShare() repeats.Share {
	share := repeats.Share{Daemons: 1}
	if p.view != nil && len(p.view.VMs) > 1 {
		share.Daemons = len(p.view.VMs)
		share.RoundingOffset = float64(xxhash.Sum64String(p.self.ID)>>11) / (1 << 53)
	}
	return share
}

func (p *pool) retryBudget(service string) *repeats.Budget {
	b, ok := p.budgets[service]
	if !ok {
		b = repeats.New(p.retryRule, p.startedAt)
		p.budgets[service] = b
	}
	return b
}

// setRetryRule changes the budgets of all services, which begin anew: without a part
// of the slack, since what was repeated before is forgotten.
func (p *pool) setRetryRule(rule repeats.Policy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if rule != p.retryRule {
		p.retryRule, p.startedAt = rule, time.Now()
		clear(p.budgets)
	}
}

// countRequest counts a caller's request to a service.
func (p *pool) countRequest(now time.Time, service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retryBudget(service).RecordRequest(now)
}

// tryTakeRetry asks for one more send of a request.
func (p *pool) tryTakeRetry(now time.Time, service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.retryBudget(service).TryRetry(now, p.budgetShare())
}
