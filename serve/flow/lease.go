package flow

import (
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/site"
	"mallowwind.dev/decision/admit"
	"mallowwind.dev/decision/budget"
	"mallowwind.dev/decision/health"
	"mallowwind.dev/decision/route"
	"mallowwind.dev/external/engine"
)

// Lease is the use of one slot of a backend server. Its methods need the same
// lock as the Core.
type Lease struct {
	core    *Core
	group   *group
	server  *server
	item    *admit.Item
	service *site.Service
	reason  route.Reason
	started time.Time
	ended   bool
}

// Backend returns the chosen backend server.
func (l *Lease) Backend() Backend { return l.server.backend }

// Reason returns why it was chosen.
func (l *Lease) Reason() route.Reason { return l.reason }

// Progress records n tokens that came gap after the previous ones.
func (l *Lease) Progress(now time.Time, n int, gap time.Duration) {
	if n <= 0 || gap <= 0 {
		return
	}
	per := gap / time.Duration(n)
	l.server.limit.ObserveTokenGap(per)
	l.server.peer.ObserveTokenGap(per)
	if l.item.Class != admit.Resumed {
		l.core.budgetFor(l.service.Name).Deposit(now, float64(n), l.depositRatio())
	}
}

// depositRatio is the part of the tokens that pays for repeated work.
func (l *Lease) depositRatio() float64 {
	if l.isPlain() {
		return budget.DefaultRatio
	}
	return budget.TakeoverRatio(l.service.LatencyWeight)
}

// isPlain reports whether this is a call of a plain service: one answer, no tokens.
func (l *Lease) isPlain() bool { return l.service.Kind == site.KindPlain }

// Done ends the use. A second call has no effect, so that a slot is never
// given back twice.
func (l *Lease) Done(now time.Time, o Outcome) {
	if l.ended {
		return
	}
	l.ended = true
	l.server.load.InFlight--
	l.group.queue.RecordFinish(l.item.Class, l.item.Cost, now.Sub(l.started))
	l.recordHealth(now, o)
	l.core.observer.recordOutcome(l, o)
	l.core.startWaitingAt(now, l.server)
}

// recordHealth feeds the health of the backend server. What we cancelled says
// nothing about it, nor does a version that it unloads: left out for that, it
// would not serve the others, and requests would wait for it to come back. The
// time of a plain answer stands for a token gap.
func (l *Lease) recordHealth(now time.Time, o Outcome) {
	switch {
	case o.Cancelled, errors.Is(o.Err, engine.ErrNotReady):
	case o.Err != nil:
		l.server.peer.RecordFailure()
	default:
		l.server.peer.RecordSuccess()
		if l.isPlain() {
			l.recordPlainAnswer(now, o)
		}
	}
}

func (l *Lease) recordPlainAnswer(now time.Time, o Outcome) {
	l.core.budgetFor(l.service.Name).Deposit(now, l.item.Cost, l.depositRatio())
	took := o.FirstToken
	if took <= 0 {
		took = now.Sub(l.started)
	}
	l.server.peer.ObserveTokenGap(took)
	l.server.limit.ObserveTokenGap(took)
}

// startWaitingAt starts what may start now that a slot of s came free.
func (c *Core) startWaitingAt(now time.Time, s *server) {
	for _, g := range s.groups {
		c.startWaiting(now, g)
	}
}

// startWaiting starts waiting work until nothing more fits.
func (c *Core) startWaiting(now time.Time, g *group) {
	if g.queue.IsEmpty() {
		return
	}
	try := func(it *admit.Item) bool { return c.tryStart(now, g.waiters[it]) }
	for {
		it := g.queue.Next(now, g.slots, try)
		if it == nil {
			return
		}
		delete(g.waiters, it)
	}
}

// evaluationInterval is how often servers are compared. A straggler is known after
// minSamples gaps, about half a second; comparing more often gains nothing.
const evaluationInterval = 500 * time.Millisecond

// Tick moves limits and health, refuses what has become hopeless and starts
// what fits. It is due every 100 ms or so.
func (c *Core) Tick(now time.Time) {
	for _, s := range c.servers {
		if s.limit.Adjust(now, int(s.load.InFlight)) {
			c.observer.recordLimitChange(s)
		}
		s.inFlightHistory.add(now, s.load.InFlight)
		s.refreshLoad(now)
	}
	if !now.Before(c.nextEvaluation) {
		c.nextEvaluation = now.Add(evaluationInterval)
		c.evaluate(now)
	}
	for _, g := range c.orderedGroups {
		g.updateSlots()
		c.shed(now, g)
		c.startWaiting(now, g)
		c.observer.recordQueue(g)
	}
}

func (c *Core) evaluate(now time.Time) {
	for _, g := range c.orderedGroups {
		for _, t := range g.evaluator.Evaluate(now, g.peers) {
			c.applyTransition(now, g.servers[t.Index], t)
		}
	}
}

func (c *Core) applyTransition(now time.Time, s *server, t health.Transition) {
	s.refreshLoad(now)
	c.observer.recordStateChange(s, t)
}

func (c *Core) shed(now time.Time, g *group) {
	slots := g.expectedSlots()
	for _, it := range g.queue.Shed(now, slots) {
		w := g.waiters[it]
		delete(g.waiters, it)
		c.refuse(now, w, refusalError(g.queue.RefusalFor(now, it, slots)))
	}
}
