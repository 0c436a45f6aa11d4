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

// signOfLife is how long a server may take to answer before an answer goes on there: a
// round trip is 2 ms, and with the 350 ms of silence before and 100 ms to go on, a pause
// stays within 700 ms.
const signOfLife = 150 * time.Millisecond

// reserveFailover chooses the leg that may follow a silent one, and takes a repeat from the
// budget for it. The request is counted at the server of the leg.
func (r *relay) reserveFailover(ctx context.Context, a *attempt, why error) (segment, takeover.Outcome) {
	if !r.canResume() || r.starts >= maxStarts {
		return segment{}, takeover.NoAttemptsLeft
	}
	l, outcome := r.candidate(ctx, a, why)
	if outcome != takeover.TakenOver {
		return segment{}, outcome
	}
	l = r.withCopyTarget(ctx, l)
	// A repeat is spent only on what is still silent now.
	if !pause.For(ctx, takeover.SettleTime) {
		outcome = takeover.NotNeeded
	} else if !r.tryAcquireRetry(ctx, time.Now()) {
		outcome = takeover.NoRetryBudget
	}
	if outcome != takeover.TakenOver {
		r.releaseLeg(l)
		return segment{}, outcome
	}
	return l, outcome
}

// releaseLeg takes back the count of a leg whose request is not sent.
func (r *relay) releaseLeg(l segment) { r.h.pool.addLoad(l.target, -1, 0, 0) }

// candidate is the leg at the engine that holds a copy of the run, if it gives a sign of
// life, or at one that reads the prompt anew.
func (r *relay) candidate(ctx context.Context, a *attempt, why error) (segment, takeover.Outcome) {
	if c, held, ok := r.livingHolder(ctx, a); ok && r.tryAcquirePermit(ctx, c) {
		r.h.pool.addLoad(c, 1, 0, 0)
		return segment{target: c, resumeFrom: held.name}, takeover.TakenOver
	}
	if r.h.pressure.isPrefillTooLate(r.service, r.in.call.PromptTokens, time.Until(r.in.deadline)) {
		return segment{}, takeover.NoCapacity
	}
	return r.withoutCopy(ctx, a, why)
}

// withoutCopy is the leg at a server that makes the rest of the answer without a copy. It is
// late for the caller in any case, so it is worth it only where the silent server gives no
// sign of life, or has been silent for long.
func (r *relay) withoutCopy(ctx context.Context, a *attempt, why error) (segment, takeover.Outcome) {
	view := r.h.opts.Feed.View()
	r.exclude(a.segment)
	c, ok := r.place(ctx, view)
	if !ok {
		return segment{}, takeover.NoServer
	}
	if !r.tryAcquirePermit(ctx, c.choice) {
		r.releaseLeg(segment{target: c.choice})
		return segment{}, takeover.NoServer
	}
	l, outcome := segment{target: c.choice}, takeover.TakenOver
	if view.Config.Engine(r.service) != nil {
		switch admission, _ := r.admission(c); {
		case !c.answered:
			outcome = takeover.NoServer
		case r.isResponsive(ctx, a, why):
			outcome = takeover.StillAlive
		case admission != prompts.Admitted:
			outcome = takeover.NoCapacity
		}
	}
	if outcome != takeover.TakenOver {
		r.releaseLeg(l)
		return segment{}, outcome
	}
	return l, outcome
}

// isResponsive reports whether a silent engine gives a sign of life after all. It is asked last:
// where the link from here was full until a moment ago, others answer as well by now. One
// whose answer is lost, or that has been silent for long, is not asked.
func (r *relay) isResponsive(ctx context.Context, a *attempt, why error) bool {
	long := time.Since(r.lastEventAt) >= takeover.MaxSilence(false, r.in.route.GapTarget)
	if errors.Is(why, errResponseLost) || errors.Is(why, errStreamIdle) && long {
		return false
	}
	_, err := r.h.probe(ctx, a.target.server, fastProbeTimeout)
	return err == nil
}

// isUnreachable reports whether nothing more is to be expected of a silent engine: its answer
// was found lost more than once, or it answers neither of two questions, one after the other,
// while others answer both times: one lost packet does not show that, nor a link from here that
// is free again in the middle of a question. Servers that are no engines cannot be asked.
func (r *relay) isUnreachable(ctx context.Context, a *attempt, why error) bool {
	if errors.Is(why, errResponseLost) {
		a.timesFoundLost++
		return a.timesFoundLost >= maxFailedProbes
	}
	view := r.h.opts.Feed.View()
	if view.Config.Engine(r.service) == nil {
		return false
	}
	others := r.h.pool.prefillCandidates(time.Now(), view, r.service, "", SampleSize, []routing.Incarnation{a.target.server.Incarnation()})
	for range maxFailedProbes {
		var silent error
		var all sync.WaitGroup
		all.Go(func() { _, silent = r.h.probe(ctx, a.target.server, fastProbeTimeout) })
		answered := r.h.newProbeRound().sampleLoads(ctx, others, 0)
		all.Wait()
		if silent == nil || len(answered) == 0 {
			return false
		}
	}
	return true
}

// livingHolder is the engine that holds a copy of an attempt's run, if it answers.
func (r *relay) livingHolder(ctx context.Context, a *attempt) (choice, replica, bool) {
	held := r.heldCopy
	if a.spare != nil {
		if copied := a.spare.remade.Load(); copied != nil {
			held = *copied
		}
	}
	if held.at.load == nil {
		return choice{}, replica{}, false
	}
	c, ok := r.findCopyHolder(r.h.opts.Feed.View(), held)
	if !ok {
		return choice{}, replica{}, false
	}
	_, err := r.h.probe(ctx, c.server, signOfLife)
	return c, held, err == nil
}
