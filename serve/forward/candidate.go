package forward

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/pause"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/prompts"
	"mallowwind.dev/decision/takeover"
)

// replicaProbeTimeout is how long a server may take to answer before an answer goes on there: a
// round trip is 2 ms, and with the 350 ms of silence before and 100 ms to go on, a pause
// stays within 700 ms.
const replicaProbeTimeout = 150 * time.Millisecond

// reserveFailover chooses the leg that may follow a silent one, and takes a repeat from the
// budget for it. The request is counted at the server of the leg.
func (r *relay) reserveFailover(ctx context.Context, a *attempt, why error) (leg, takeover.Outcome) {
	if !r.mayGoOn() || r.starts >= maxStarts {
		return leg{}, takeover.NoTries
	}
	l, outcome := r.failoverCandidate(ctx, a, why)
	if outcome != takeover.TakenOver {
		return leg{}, outcome
	}
	l = r.withCopy(ctx, l)
	// A repeat is spent only on what is still silent now.
	if !pause.For(ctx, takeover.Settling) {
		outcome = takeover.NotNeeded
	} else if !r.mayRepeat(ctx, time.Now()) {
		outcome = takeover.NoRepeat
	}
	if outcome != takeover.TakenOver {
		r.releaseLeg(l)
		return leg{}, outcome
	}
	return l, outcome
}

// releaseLeg takes back the count of a leg whose request is not sent.
func (r *relay) releaseLeg(l leg) { r.h.pool.addLoad(l.at, -1, 0, 0) }

// failoverCandidate is the leg at the engine that holds a copy of the run, if it gives a sign of
// life, or at one that reads the prompt anew.
func (r *relay) failoverCandidate(ctx context.Context, a *attempt, why error) (leg, takeover.Outcome) {
	if c, held, ok := r.liveReplica(ctx, a); ok && r.permitted(ctx, c) {
		r.h.pool.addLoad(c, 1, 0, 0)
		return leg{at: c, from: held.name}, takeover.TakenOver
	}
	if r.h.pressure.isPrefillTooLate(r.service, r.in.call.PromptTokens, time.Until(r.in.until)) {
		return leg{}, takeover.NoRoom
	}
	return r.candidateWithoutReplica(ctx, a, why)
}

// candidateWithoutReplica is the leg at a server that makes the rest of the answer without a copy. It is
// late for the caller in any case, so it is worth it only where the silent server gives no
// sign of life, or has been silent for long.
func (r *relay) candidateWithoutReplica(ctx context.Context, a *attempt, why error) (leg, takeover.Outcome) {
	view := r.h.opts.Feed.View()
	r.exclude(a.leg)
	c, ok := r.place(ctx, view)
	if !ok {
		return leg{}, takeover.NoServer
	}
	if !r.permitted(ctx, c.choice) {
		r.releaseLeg(leg{at: c.choice})
		return leg{}, takeover.NoServer
	}
	l, outcome := leg{at: c.choice}, takeover.TakenOver
	if view.Config.Engine(r.service) != nil {
		switch admission, _ := r.admission(c); {
		case !c.answered:
			outcome = takeover.NoServer
		case r.isResponsive(ctx, a, why):
			outcome = takeover.Alive
		case admission != prompts.Admitted:
			outcome = takeover.NoRoom
		}
	}
	if outcome != takeover.TakenOver {
		r.releaseLeg(l)
		return leg{}, outcome
	}
	return l, outcome
}

// isResponsive reports whether a silent engine gives a sign of life after all. It is asked last:
// where the link from here was full until a moment ago, others answer as well by now. One
// whose answer is lost, or that has been silent for long, is not asked.
func (r *relay) isResponsive(ctx context.Context, a *attempt, why error) bool {
	long := time.Since(r.since) >= takeover.Patience(false, r.in.route.GapTarget)
	if errors.Is(why, errAnswerLost) || errors.Is(why, errSilent) && long {
		return false
	}
	_, err := r.h.probe(ctx, a.at.server, askLimit)
	return err == nil
}

// isUnreachable reports whether nothing more is to be expected of a silent engine: its answer
// was found lost more than once, or it answers neither of two questions, one after the other,
// while others answer both times: one lost packet does not show that, nor a link from here that
// is free again in the middle of a question. Servers that are no engines cannot be asked.
func (r *relay) isUnreachable(ctx context.Context, a *attempt, why error) bool {
	if errors.Is(why, errAnswerLost) {
		a.foundLost++
		return a.foundLost >= deadProbes
	}
	view := r.h.opts.Feed.View()
	if view.Config.Engine(r.service) == nil {
		return false
	}
	others := r.h.pool.prefillCandidates(time.Now(), view, r.service, "", Asked, []routing.Life{a.at.server.Life()})
	for range deadProbes {
		var silent error
		var all sync.WaitGroup
		all.Go(func() { _, silent = r.h.probe(ctx, a.at.server, askLimit) })
		answered := r.h.newProbeRound().survey(ctx, others, 0)
		all.Wait()
		if silent == nil || len(answered) == 0 {
			return false
		}
	}
	return true
}

// liveReplica is the engine that holds a copy of an attempt's run, if it answers.
func (r *relay) liveReplica(ctx context.Context, a *attempt) (choice, replica, bool) {
	held := r.held
	if a.spare != nil {
		if copied := a.spare.remade.Load(); copied != nil {
			held = *copied
		}
	}
	if held.at.load == nil {
		return choice{}, replica{}, false
	}
	c, ok := r.holder(r.h.opts.Feed.View(), held)
	if !ok {
		return choice{}, replica{}, false
	}
	_, err := r.h.probe(ctx, c.server, replicaProbeTimeout)
	return c, held, err == nil
}
