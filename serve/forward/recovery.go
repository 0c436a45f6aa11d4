package forward

import (
	"context"
	"math/rand/v2"
	"time"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/decision/absence"
)

// recoveryPollInterval is how often a request that waits for an engine looks whether one is there:
// the feed shows one that returns within half a second.
const recoveryPollInterval = 50 * time.Millisecond

// downServerTTL is how long an address without a server is remembered: longer than any absence
// that is learned from.
const downServerTTL = 2 * time.Minute

// downtime is what is known of how long servers of a service are away. The caller holds p.mu.
func (p *pool) downtime(service string) *absence.Absence {
	return ofService(p.downtimes, service)
}

// recordReturns learns from the servers of a new view how long those were away that failed at
// their addresses. The caller holds p.mu.
func (p *pool) recordReturns() {
	now := p.view.Published
	listed := map[string]bool{}
	for service, servers := range p.view.Servers {
		for _, s := range servers {
			listed[s.Address] = true
			before, ok := p.down[s.Address]
			if ok && s.Life() != before.incarnation {
				p.downtime(service).Returned(now.Sub(before.since))
				delete(p.down, s.Address)
			}
		}
	}
	for address, one := range p.down {
		if !listed[address] && now.Sub(one.since) > downServerTTL {
			delete(p.down, address)
		}
	}
}

// recoveryWait is how long a request waits for a server of a service to return.
func (p *pool) recoveryWait(service string, objective time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.downtime(service).Wait(objective)
}

// retryAfter is when a caller comes back that found no server of a service.
func (p *pool) retryAfter(service string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.downtime(service).Back(rand.Float64())
}

// hasHealthyServer reports whether a server of a service has not failed lately.
func (p *pool) hasHealthyServer(now time.Time, view *feed.View, service string) bool {
	_, ok := p.choose(view, service, func(l *serverSet) (choice, bool) {
		for i, one := range l.loads {
			if !one.isSuspect(now) {
				return l.choiceAt(i, "")
			}
		}
		return choice{}, false
	})
	return ok
}

// awaitEngine waits for an engine to return where all have failed, and places the request
// there. Engines return one by one, and the first would get every request that waits: one
// that reads already is left to the others until the wait is over.
//
// The failure it answers: all engines are lost for as long as they take to start anew.
// Callers that are refused, or cut in mid-answer, come back at once, are refused again
// within the same second and are lost. Where no engine is registered nothing is waited for.
func (r *relay) awaitEngine(ctx context.Context) (surveyed, bool) {
	if len(r.h.opts.Feed.View().Servers[r.service]) == 0 {
		return surveyed{}, false
	}
	until := time.Now().Add(r.h.pool.recoveryWait(r.service, r.in.route.Objective))
	tick := time.NewTicker(recoveryPollInterval)
	defer tick.Stop()
	for time.Now().Before(until) {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return surveyed{}, false
		}
		view := r.h.opts.Feed.View()
		if !r.h.pool.hasHealthyServer(time.Now(), view, r.service) {
			continue
		}
		r.failed = nil // what refused a connection may be back
		c, ok := r.place(ctx, view)
		switch {
		case ok && c.report.Unread == 0:
			return c, true
		case ok:
			r.h.pool.addLoad(c.choice, -1, 0, 0)
		}
	}
	view := r.h.opts.Feed.View()
	if !r.h.pool.hasHealthyServer(time.Now(), view, r.service) {
		return surveyed{}, false
	}
	return r.place(ctx, view)
}
