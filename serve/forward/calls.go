package forward

import (
	"math/rand/v2"
	"slices"
	"time"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/route"
)

// defaultSlots holds for servers that do not say how many requests they run.
const defaultSlots = 16

// plain chooses a server for a request that is no prompt.
func (p *pool) plain(now time.Time, view *feed.View, service string, exclude []routing.Life) (choice, bool) {
	return p.in(view, service, func(l *layout) (choice, bool) { return p.pickPlain(now, l, exclude) })
}

func (p *pool) pickPlain(now time.Time, l *layout, exclude []routing.Life) (choice, bool) {
	for i, one := range l.loads {
		one.plain.Limit = int32(l.servers[i].Slots)
		if l.servers[i].Slots <= 0 {
			one.plain.Limit = defaultSlots
		}
		if one.suspect(now) {
			one.plain.Limit = 0
		}
	}
	r := l.table.Pick(&route.Query{Exclude: l.ids(exclude), Random: rand.Uint64()})
	if r.Index < 0 {
		return p.lastResort(l, exclude)
	}
	i := l.index[l.table.At(r.Index).ID]
	return p.take(l, i, string(r.Reason))
}

// lastResort is any server that is not excluded: all are suspect or full, and a
// server that is sends the request back itself.
func (p *pool) lastResort(l *layout, exclude []routing.Life) (choice, bool) {
	best := -1
	for i, s := range l.servers {
		if !slices.Contains(exclude, s.Life()) && (best < 0 || l.loads[i].plain.InFlight < l.loads[best].plain.InFlight) {
			best = i
		}
	}
	if best < 0 {
		return choice{}, false
	}
	return p.take(l, best, "last_resort")
}

func (p *pool) take(l *layout, i int, reason string) (choice, bool) {
	l.loads[i].plain.InFlight++
	return l.choose(i, reason)
}

func (p *pool) release(c choice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.load.plain.InFlight--
}
