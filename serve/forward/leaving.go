package forward

import (
	"slices"
	"time"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/telemetry/event"
)

// leavingRetention is how long a server that stated that it leaves is remembered after it was last
// listed. The store may list it anew as ready, and no server takes longer to exit.
const leavingRetention = 10 * time.Minute

// leavingServers holds the incarnations that stated in a response that they leave, with the time of
// the last such response. No listing undoes that, because the store may be unreachable or hold an
// older entry. Other daemons are not told: each learns it from its own first request there, which the
// server still runs, while messages would grow with the square of the fleet.
type leavingServers struct {
	statedAt map[routing.Incarnation]time.Time
	changes  int // counts the changes of the set of incarnations
}

func newLeavingServers() leavingServers {
	return leavingServers{statedAt: map[routing.Incarnation]time.Time{}}
}

// has reports whether an incarnation leaves.
func (l *leavingServers) has(incarnation routing.Incarnation) bool {
	_, ok := l.statedAt[incarnation]
	return ok
}

// record records a response and reports whether it is the first of its server.
func (l *leavingServers) record(now time.Time, incarnation routing.Incarnation) bool {
	known := l.has(incarnation)
	l.statedAt[incarnation] = now
	if !known {
		l.changes++
	}
	return !known
}

// prune forgets the incarnations that are no longer listed and stated long ago that they leave.
func (l *leavingServers) prune(now time.Time, isListed func(routing.Incarnation) bool) {
	for incarnation, at := range l.statedAt {
		if now.Sub(at) > leavingRetention && !isListed(incarnation) {
			delete(l.statedAt, incarnation)
			l.changes++
		}
	}
}

// recordLeaving records that a server stated that it leaves.
func (h *Handler) recordLeaving(s routing.Server) {
	if !h.pool.recordLeaving(time.Now(), s) {
		return
	}
	h.metrics.serverNotices.WithLabelValues(noticeLeaving).Inc()
	if listed, ok := h.findServer(s.Incarnation()); ok && listed.Draining {
		return // the feed has logged it
	}
	h.opts.Log.Emit(event.ServerLeaving, s.ID, s.Service, s.Address)
}

// recordLeaving records that a server stated that it leaves, and reports whether that is new.
func (p *pool) recordLeaving(now time.Time, s routing.Server) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.leaving.record(now, s.Incarnation()) {
		return false
	}
	p.leaving.prune(now, func(incarnation routing.Incarnation) bool {
		return p.view != nil && lists(p.view, p.listedIncarnation(incarnation))
	})
	return true
}

// isLeaving reports whether an incarnation stated that it leaves.
func (p *pool) isLeaving(incarnation routing.Incarnation) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leaving.has(incarnation)
}

// listedServers returns the servers of a list. Those that leave are marked as draining, whether the
// list or their own responses say so. The caller holds p.mu.
func (p *pool) listedServers(list *feed.ServerList) []routing.Server {
	servers := slices.Collect(list.All())
	for i, s := range servers {
		servers[i].Draining = s.Draining || p.leaving.has(p.currentIncarnation(s.Incarnation()))
	}
	return servers
}

// openServers returns the servers of a service that may get any of its requests.
func (p *pool) openServers(view *feed.View, service string) (servers []routing.Server) {
	p.choose(view, service, func(l *serverSet) (choice, bool) {
		servers = l.servers
		return choice{}, false
	})
	return servers
}
