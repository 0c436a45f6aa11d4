package forward

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/route"
)

// defaultSlots is the concurrency limit of servers that do not state one.
const defaultSlots = 16

// choosePlain chooses a server for a plain request, one whose response is not a stream, and
// counts the request in flight there.
func (p *pool) choosePlain(now time.Time, view *feed.View, service string, exclude []routing.Incarnation) (choice, bool) {
	return p.choose(view, service, func(l *serverSet) (choice, bool) { return p.choosePlainFrom(now, l, exclude) })
}

func (p *pool) choosePlainFrom(now time.Time, l *serverSet, exclude []routing.Incarnation) (choice, bool) {
	for i, load := range l.loads {
		load.calls.Limit = int32(l.servers[i].Slots)
		if l.servers[i].Slots <= 0 {
			load.calls.Limit = defaultSlots
		}
		if load.isSuspect(now) {
			load.calls.Limit = 0
		}
	}
	exclude = slices.Clone(exclude)
	for {
		i, reason := p.bestPlain(l, exclude)
		if i < 0 {
			return choice{}, false
		}
		if p.limits.acceptsNow(now, l.servers[i]) && p.hasRoom(now, l, i) {
			return p.reserve(l, i, reason)
		}
		exclude = append(exclude, l.servers[i].Incarnation())
	}
}

// choosePlainWithPermit is choosePlain, limited to servers that state no rate limit or for which
// a permit was granted.
func (h *Handler) choosePlainWithPermit(ctx context.Context, view *feed.View, service string, exclude []routing.Incarnation) (choice, bool) {
	exclude = slices.Clone(exclude)
	for {
		c, ok := h.pool.choosePlain(time.Now(), view, service, exclude)
		if !ok || h.limits.acquire(ctx, c.server) {
			return c, ok
		}
		h.pool.release(c)
		exclude = append(exclude, c.server.Incarnation())
	}
}

// bestPlain returns the index of the preferred server, -1 if there is none.
func (p *pool) bestPlain(l *serverSet, exclude []routing.Incarnation) (i int, reason string) {
	table := p.candidateTable(l)
	r := table.Pick(&route.Query{Exclude: l.idsOf(exclude), Random: rand.Uint64()})
	if r.Index < 0 {
		return l.lastResort(exclude), "last_resort"
	}
	return l.index[table.At(r.Index).ID], string(r.Reason)
}

// lastResort returns the index of the server with the fewest requests in flight that is not
// excluded, -1 if there is none. All servers are suspect or full then, and one that cannot take
// the request rejects it itself.
func (l *serverSet) lastResort(exclude []routing.Incarnation) (best int) {
	best = -1
	for i, s := range l.servers {
		if !slices.Contains(exclude, s.Incarnation()) && (best < 0 || l.loads[i].calls.InFlight < l.loads[best].calls.InFlight) {
			best = i
		}
	}
	return best
}

func (p *pool) reserve(l *serverSet, i int, reason string) (choice, bool) {
	l.loads[i].calls.InFlight++
	return l.choiceAt(i, reason)
}

func (p *pool) release(c choice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.load.calls.InFlight--
	if p.freed != nil {
		close(p.freed)
		p.freed = nil
	}
}
