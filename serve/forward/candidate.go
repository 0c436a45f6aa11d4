package forward

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/pause"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/prompts"
	"mallowwind.dev/decision/takeover"
	"mallowwind.dev/external/sent"
)

// replicaProbeTimeout is how long an engine with a replica may take to answer the probe before the
// answer resumes there. A round trip takes 2 ms; with 350 ms of silence before and 100 ms to
// resume, the caller's pause stays below 700 ms.
const replicaProbeTimeout = 150 * time.Millisecond

// reserveFailover chooses the leg that may replace a silent one and takes a retry from the budget
// for it. The request is counted at the server of the new leg.
func (r *relay) reserveFailover(ctx context.Context, a *attempt, why error) (segment, takeover.Outcome) {
	if !r.canResume() || r.starts >= maxStarts {
		return segment{}, takeover.NoAttemptsLeft
	}
	l, outcome := r.failoverCandidate(ctx, a, why)
	if outcome != takeover.TakenOver {
		return segment{}, outcome
	}
	l = r.withCopyTarget(ctx, l)
	// Spends a retry only if the server is still silent.
	if !pause.For(ctx, takeover.SettleTime) {
		outcome = takeover.NotNeeded
	} else if !r.ensureRetry(ctx) {
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

// failoverCandidate returns a leg at the engine that holds a replica of the run, if it answers a
// probe, or else at a server that repeats the prefill.
func (r *relay) failoverCandidate(ctx context.Context, a *attempt, why error) (segment, takeover.Outcome) {
	if c, held, ok := r.liveReplica(ctx, a); ok && r.tryAcquirePermit(ctx, c) {
		r.h.pool.addLoad(c, 1, 0, 0)
		return segment{target: c, resumeFrom: held.name}, takeover.TakenOver
	}
	if r.h.pressure.isPrefillTooLate(r.service, r.in.call.PromptTokens, time.Until(r.in.deadline)) {
		return segment{}, takeover.NoCapacity
	}
	return r.candidateWithoutReplica(ctx, a, why)
}

// candidateWithoutReplica returns a leg at a server that resumes the answer without a replica. The
// answer misses its gap target in any case, so this is only worth it if the silent server does not
// answer a probe or has been silent for long.
func (r *relay) candidateWithoutReplica(ctx context.Context, a *attempt, why error) (segment, takeover.Outcome) {
	view := r.h.opts.Feed.View()
	r.exclude(a.segment)
	c, ok := r.place(ctx, view)
	if !ok && len(r.excluded) > 1 && view.Config.Engine(r.service) != nil {
		// One that failed this request before may have been silent for a moment only, as a probe
		// shows.
		r.excluded = []routing.Incarnation{a.target.server.Incarnation()}
		c, ok = r.place(ctx, view)
	}
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

// isResponsive reports whether a silent engine answers a probe after all. It is probed last: if
// this VM's link was saturated until a moment ago, the other engines answer by now as well. An
// engine whose answer is lost, or that has been silent for long, is not probed.
func (r *relay) isResponsive(ctx context.Context, a *attempt, why error) bool {
	silentTooLong := time.Since(r.lastEventAt) >= takeover.MaxSilence(false, r.in.route.GapTarget)
	if errors.Is(why, errResponseLost) || errors.Is(why, errStreamIdle) && silentTooLong {
		return false
	}
	_, err := r.h.probe(ctx, a.target.server, fastProbeTimeout)
	return err == nil
}

// evidenceOfEnd returns what shows that the server of a silent attempt produces the response no more, and
// for how long that has been so. Servers that are not engines cannot be probed, so nothing is known of them.
func (r *relay) evidenceOfEnd(ctx context.Context, a *attempt, why error) (e takeover.Evidence, shownFor time.Duration) {
	if errors.Is(why, errResponseLost) {
		if a.foundLostAt.IsZero() {
			a.foundLostAt = time.Now()
		}
		return takeover.ResponseLost, time.Since(a.foundLostAt)
	}
	view, server := r.h.opts.Feed.View(), a.target.server
	if view.Config.Engine(r.service) == nil {
		return takeover.NoEvidence, 0
	}
	switch err := r.probeRepeatedly(ctx, view, server); {
	case err == nil:
		return takeover.NoEvidence, 0
	case r.h.hasExited(server.Address, err):
		return takeover.Exited, a.silentFor()
	}
	if !r.h.isListed(server) && view.HasDeparted(server.ID) {
		return takeover.Unregistered, a.silentFor()
	}
	return takeover.NoEvidence, 0
}

// probeRepeatedly returns the error of the last probe if an engine fails two probes in a row, nil
// otherwise. One lost packet is not enough. A timeout counts only while other engines answer: a link of
// this VM may recover in the middle of a probe.
func (r *relay) probeRepeatedly(ctx context.Context, view *feed.View, server routing.Server) (probeErr error) {
	others := r.h.pool.prefillCandidates(time.Now(), view, r.service, "", SampleSize, []routing.Incarnation{server.Incarnation()})
	for range maxFailedProbes {
		var wg sync.WaitGroup
		wg.Go(func() { _, probeErr = r.h.probe(ctx, server, fastProbeTimeout) })
		answered := r.h.newProbeRound().sampleLoads(ctx, others, 0)
		wg.Wait()
		if probeErr == nil || sent.IsTimeout(probeErr) && len(answered) == 0 {
			return nil
		}
	}
	return probeErr
}

// liveReplica returns the engine that holds a replica of an attempt's run, if it answers a probe.
func (r *relay) liveReplica(ctx context.Context, a *attempt) (choice, replica, bool) {
	held := r.heldCopy
	if a.replicator != nil {
		if remade := a.replicator.remade.Load(); remade != nil {
			held = *remade
		}
	}
	if held.at.load == nil {
		return choice{}, replica{}, false
	}
	c, ok := r.findCopyHolder(r.h.opts.Feed.View(), held)
	if !ok {
		return choice{}, replica{}, false
	}
	_, err := r.h.probe(ctx, c.server, replicaProbeTimeout)
	return c, held, err == nil
}
