package forward

import (
	"context"
	"math/rand/v2"
	"time"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/decision/outage"
)

// recoveryPollInterval is how often a waiting request checks whether an engine has returned. The
// feed shows a returned engine within half a second.
const recoveryPollInterval = 50 * time.Millisecond

// downServerTTL is how long the pool remembers that the server at an address is down. It exceeds
// every downtime that enters the estimates.
const downServerTTL = 2 * time.Minute

// downtime returns the observed downtimes of a service's servers. The caller holds p.mu.
func (p *pool) downtime(service string) *outage.Estimator {
	return getOrCreate(p.downtimes, service)
}

// recordReturns records the downtime of every failed server whose address has a new incarnation in
// the current view. previous is the view before it, nil if there was none. The caller holds p.mu.
func (p *pool) recordReturns(previous *feed.View) {
	now := p.view.PublishedAt
	for service := range p.servicesDown() {
		list := p.view.Servers[service]
		if previous != nil && previous.Servers[service] == list {
			continue
		}
		for s := range list.All() {
			failed, ok := p.down[s.Address]
			if ok && s.Incarnation() != failed.incarnation {
				p.downtime(service).ObserveReturn(now.Sub(failed.since))
				delete(p.down, s.Address)
			}
		}
	}
	for address, server := range p.down {
		if now.Sub(server.since) > downServerTTL && !lists(p.view, server.incarnation) {
			delete(p.down, address)
		}
	}
}

// servicesDown returns the services of the servers that failed and have not returned.
func (p *pool) servicesDown() map[string]bool {
	services := map[string]bool{}
	for _, server := range p.down {
		services[server.service] = true
	}
	return services
}

// recoveryWait returns how long a request waits for a server of the service to return.
func (p *pool) recoveryWait(service string, objective time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.downtime(service).MaxWait(objective)
}

// retryAfter returns the Retry-After for a caller whose request found no server of the service.
func (p *pool) retryAfter(service string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.downtime(service).RetryAfter(rand.Float64())
}

// hasHealthyServer reports whether the service has a server that has not failed recently.
func (p *pool) hasHealthyServer(now time.Time, view *feed.View, service string) bool {
	_, ok := p.choose(view, service, func(l *serverSet) (choice, bool) {
		for i, load := range l.loads {
			if !load.isSuspect(now) {
				return l.choiceAt(i, "")
			}
		}
		return choice{}, false
	})
	return ok
}

// awaitEngine waits for an engine to return after all have failed, and places the request there.
// Engines return one by one, and the first would get every waiting request: while the wait lasts, a
// request takes only an engine with no prefill under way.
//
// It guards against refusals during a restart of all engines. Callers that are refused, or whose
// answers are cut, retry at once, are refused again within the same second and give up. A request
// does not wait where no engine is registered, or where all have asked for a pause.
func (r *relay) awaitEngine(ctx context.Context) (sampledEngine, bool) {
	if _, all := r.h.limits.allPaused(r.service); all || r.h.opts.Feed.View().Servers[r.service].Len() == 0 {
		return sampledEngine{}, false
	}
	until := time.Now().Add(r.h.pool.recoveryWait(r.service, r.in.route.Objective))
	tick := time.NewTicker(recoveryPollInterval)
	defer tick.Stop()
	for time.Now().Before(until) {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return sampledEngine{}, false
		}
		view := r.h.opts.Feed.View()
		if !r.h.pool.hasHealthyServer(time.Now(), view, r.service) {
			continue
		}
		r.excluded = nil // a server that refused a connection may be back
		c, ok := r.place(ctx, view)
		switch {
		case ok && c.report.PendingPrompts == 0:
			return c, true
		case ok:
			r.h.pool.addLoad(c.choice, -1, 0, 0)
		}
	}
	view := r.h.opts.Feed.View()
	if !r.h.pool.hasHealthyServer(time.Now(), view, r.service) {
		return sampledEngine{}, false
	}
	return r.place(ctx, view)
}
