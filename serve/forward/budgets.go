package forward

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"mallowwind.dev/decision/repeats"
)

// share is this daemon's part of the fleet's budgets. The hash of its id takes the
// place of an even offset, which would need the same list at every daemon.
func (p *pool) share() repeats.Share {
	share := repeats.Share{Daemons: 1}
	if p.view != nil && len(p.view.VMs) > 1 {
		share.Daemons = len(p.view.VMs)
		share.RoundingOffset = float64(xxhash.Sum64String(p.self.ID)>>11) / (1 << 53)
	}
	return share
}

func (p *pool) budget(service string) *repeats.Budget {
	b, ok := p.budgets[service]
	if !ok {
		b = repeats.New(p.rule, p.began)
		p.budgets[service] = b
	}
	return b
}

// setRule changes the budgets of all services, which begin anew: without a part
// of the slack, since what was repeated before is forgotten.
func (p *pool) setRule(rule repeats.Policy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if rule != p.rule {
		p.rule, p.began = rule, time.Now()
		clear(p.budgets)
	}
}

// request counts a caller's request to a service.
func (p *pool) request(now time.Time, service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget(service).RecordRequest(now)
}

// repeat asks for one more send of a request.
func (p *pool) repeat(now time.Time, service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget(service).TryRetry(now, p.share())
}
