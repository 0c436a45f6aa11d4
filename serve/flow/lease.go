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

// Lease is one occupied slot of a backend server. Its methods must be called
// under the same lock as those of the Core.
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

// Reason returns why the backend server was chosen.
func (l *Lease) Reason() route.Reason { return l.reason }

// Progress records n tokens, received gap after the previous ones.
func (l *Lease) Progress(now time.Time, n int, gap time.Duration) {
	if n <= 0 || gap <= 0 {
		return
	}
	gapPerToken := gap / time.Duration(n)
	l.server.limit.ObserveTokenGap(gapPerToken)
	l.server.peer.ObserveTokenGap(gapPerToken)
	if l.item.Class != admit.Resumed {
		l.core.budgetFor(l.service.Name).Deposit(now, float64(n), l.depositRatio())
	}
}

// depositRatio is the fraction of the produced tokens that is deposited into the
// retry budget.
func (l *Lease) depositRatio() float64 {
	if l.isPlain() {
		return budget.DefaultRatio
	}
	return budget.TakeoverRatio(l.service.LatencyWeight)
}

// isPlain reports whether this is a call of a plain service, whose answer is not
// a stream of tokens.
func (l *Lease) isPlain() bool { return l.service.Kind == site.KindPlain }

// Done releases the slot. A second call has no effect, so that a slot is never
// released twice.
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

// recordHealth records the outcome in the health of the backend server. Work
// that this daemon cancelled does not count. Neither does a refusal because the
// server is unloading the version: if that ejected the server, it would not serve
// its other versions either, and requests for them would wait for its return.
// The duration of a plain answer is used as a token gap.
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
	elapsed := o.FirstToken
	if elapsed <= 0 {
		elapsed = now.Sub(l.started)
	}
	l.server.peer.ObserveTokenGap(elapsed)
	l.server.limit.ObserveTokenGap(elapsed)
}

// startWaitingAt starts waiting requests of every group of s, after a slot of s
// was released.
func (c *Core) startWaitingAt(now time.Time, s *server) {
	for _, g := range s.groups {
		c.startWaiting(now, g)
	}
}

// startWaiting starts waiting requests of g until no further one can start.
func (c *Core) startWaiting(now time.Time, g *group) {
	if g.queue.IsEmpty() {
		return
	}
	tryStart := func(it *admit.Item) bool { return c.tryStart(now, g.waiters[it]) }
	for {
		it := g.queue.Next(now, g.slots, tryStart)
		if it == nil {
			return
		}
		delete(g.waiters, it)
	}
}

// evaluationInterval is how often the servers of a group are compared. A slow
// server has enough gap samples to be recognised after about half a second, so
// comparing more often gains nothing.
const evaluationInterval = 500 * time.Millisecond

// Tick adjusts the limits, evaluates the health of the servers, refuses waiting
// requests that can no longer start in time and starts those that can start now.
// It must be called about every 100 ms.
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
