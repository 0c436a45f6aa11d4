package forward

import (
	"context"
	"math/rand/v2"
	"time"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/decision/absence"
)

// absentCheck is how often a request that waits for an engine looks whether one is there:
// the feed shows one that returns within half a second.
const absentCheck = 50 * time.Millisecond

// forgetAway is how long an address without a server is remembered: longer than any absence
// that is learned from.
const forgetAway = 2 * time.Minute

// absence is what is known of how long servers of a service are away. The caller holds p.mu.
func (p *pool) absence(service string) *absence.Estimator {
	return getOrCreate(p.absences, service)
}

// recordReturns learns from the servers of a new view how long those were away that failed at
// their addresses. The caller holds p.mu.
func (p *pool) recordReturns() {
	now := p.view.PublishedAt
	listed := map[string]bool{}
	for service, servers := range p.view.Servers {
		for _, s := range servers {
			listed[s.Address] = true
			before, ok := p.down[s.Address]
			if ok && s.Incarnation() != before.incarnation {
				p.absence(service).ObserveReturn(now.Sub(before.since))
				delete(p.down, s.Address)
			}
		}
	}
	for address, one := range p.down {
		if !listed[address] && now.Sub(one.since) > forgetAway {
			delete(p.down, address)
		}
	}
}

// recoveryWait is how long a request waits for a server of a service to return.
func (p *pool) recoveryWait(service string, objective time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.absence(service).MaxWait(objective)
}

// retryAfter is when a caller comes back that found no server of a service.
func (p *pool) retryAfter(service string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.absence(service).RetryAfter(rand.Float64())
}

// anyThere reports whether a server of a service has not failed lately.
func (p *pool) anyThere(now time.Time, view *feed.View, service string) bool {
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
func (r *relay) awaitEngine(ctx context.Context) (sampledEngine, bool) {
	if len(r.h.opts.Feed.View().Servers[r.service]) == 0 {
		return sampledEngine{}, false
	}
	until := time.Now().Add(r.h.pool.recoveryWait(r.service, r.in.route.Objective))
	tick := time.NewTicker(absentCheck)
	defer tick.Stop()
	for time.Now().Before(until) {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return sampledEngine{}, false
		}
		view := r.h.opts.Feed.View()
		if !r.h.pool.anyThere(time.Now(), view, r.service) {
			continue
		}
		r.excluded = nil // what refused a connection may be back
		c, ok := r.place(ctx, view)
		switch {
		case ok && c.report.PendingPrompts == 0:
			return c, true
		case ok:
			r.h.pool.addLoad(c.choice, -1, 0, 0)
		}
	}
	view := r.h.opts.Feed.View()
	if !r.h.pool.anyThere(time.Now(), view, r.service) {
		return sampledEngine{}, false
	}
	return r.place(ctx, view)
}
