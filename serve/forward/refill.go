package forward

import (
	"context"
	"time"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/pause"
	"mallowwind.dev/decision/prompts"
	"mallowwind.dev/decision/refill"
	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/telemetry/event"
)

// placeOrdered places the prompt. Where requests of the service differ in priority, it records that
// the prompt asks for room, and prompts that must be prefilled again wait in the order of package
// refill.
func (r *relay) placeOrdered(ctx context.Context, view *feed.View) (sampledEngine, error) {
	if !r.hasPriorities() {
		return r.placeAdmitted(ctx, view)
	}
	r.recordRoomAsked()
	if r.mustServe() {
		return r.placeRefill(ctx, view)
	}
	return r.placeAdmitted(ctx, view)
}

// placeRefill places a prompt that must be prefilled again, at once or after others. While it
// waits, it is counted at no engine.
func (r *relay) placeRefill(ctx context.Context, view *feed.View) (sampledEngine, error) {
	since := time.Now()
	var admitted sampledEngine // at the last look for room
	for {
		c, err := r.placeAdmitted(ctx, view)
		if err != nil {
			return r.startWhereAdmitted(ctx, view, admitted, time.Since(since), err)
		}
		now := time.Now()
		d := refill.Decide(r.refillPrompt(now), r.refillSituation(now, since, c.report))
		if _, limited := r.h.limits.permitWait(r.service); limited && d.Action == refill.Delay {
			d = refill.Decision{Action: refill.Start, Reason: refill.ReasonPermit} // it holds a permit
		}
		if d.Action == refill.Refuse {
			r.h.pool.addLoad(c.choice, -1, 0, 0)
			return sampledEngine{}, r.refuseRefill()
		}
		r.recordRefill(d, now.Sub(since), c.report)
		if d.Action == refill.Start {
			return c, nil
		}
		r.h.pool.addLoad(c.choice, -1, 0, 0)
		admitted = c
		if !pause.For(ctx, d.Delay) {
			return sampledEngine{}, r.expiryError()
		}
		view = r.h.opts.Feed.View()
	}
}

// startWhereAdmitted places the prompt of an answer that its caller holds in part, and for which no
// engine has room any more, at the engine that had room before the prompt waited. Otherwise it
// returns the error.
func (r *relay) startWhereAdmitted(ctx context.Context, view *feed.View, admitted sampledEngine, waited time.Duration, err error) (sampledEngine, error) {
	if admitted.load == nil || !r.isPartHeld() || verdict.FromError(err).Code != verdict.CodeOverloaded {
		return sampledEngine{}, err
	}
	c, ok := r.h.pool.findServer(view, r.service, admitted.server.Incarnation())
	if !ok || !r.tryAcquirePermit(ctx, c) {
		return sampledEngine{}, err
	}
	r.h.pool.addLoad(c, 1, 0, 0)
	admitted.choice = c
	r.recordRefill(refill.Decision{Action: refill.Start, Reason: refill.ReasonAdmitted}, waited, admitted.report)
	return admitted, nil
}

// mustRefuseRefill reports whether the prompt would have to be prefilled again and cannot be in time.
// It is checked before a retry is taken from the budget.
func (r *relay) mustRefuseRefill(now time.Time) bool {
	return r.sends > 0 && r.hasPriorities() && r.heldCopy.at.load == nil && r.refillPrompt(now).MustBeRefused()
}

// refillPrompt describes the prompt of the request to the decision.
func (r *relay) refillPrompt(now time.Time) refill.Prompt {
	left := r.in.deadline.Sub(now)
	p := refill.Prompt{
		Rank: r.rank, PartHeld: r.isPartHeld(), MayHaveRun: r.possibleRuns > 0, TimeLeft: left,
	}
	prefill, _ := r.h.pressure.expectedTimes(r.service, r.in.call.PromptTokens)
	route := r.in.route
	switch {
	case p.PartHeld && route.GapTarget > 0:
		left = r.lastEventAt.Add(route.GapTarget).Sub(now)
	case !p.PartHeld && route.Objective > 0:
		objective := prompts.TimeToObjective(route.Objective, route.Timeout, r.in.deadline.Sub(r.in.arrived))
		p.LateFromStart = objective <= prefill
		left = objective - now.Sub(r.in.arrived)
	}
	p.Slack = left - prefill
	p.CannotBeInTime = r.h.pressure.isPrefillTooLate(r.service, r.in.call.PromptTokens, left)
	return p
}

func (r *relay) refillSituation(now, since time.Time, report prompts.Report) refill.Situation {
	prefill, _ := r.h.pressure.expectedTimes(r.service, r.in.call.PromptTokens)
	return refill.Situation{
		Losses: r.h.pressure.recentLosses(now, r.service), Busy: isBusy(report, r.in.call.PromptTokens),
		Waited: now.Sub(since), Prefill: prefill,
	}
}

// isBusy reports whether a prompt would wait at an engine, for the prefill of another prompt or for
// memory. Memory that is kept for copies does not delay it.
func isBusy(report prompts.Report, tokens int) bool {
	return report.PendingPrompts > 0 || report.CapacityTokens > 0 && report.UsedTokens+tokens > report.CapacityTokens
}

// refuseRefill returns the refusal of a request that cannot be in time any more.
func (r *relay) refuseRefill() error {
	d := refill.Decision{Action: refill.Refuse, Reason: refill.ReasonTooLate}
	r.recordRefill(d, 0, prompts.Report{})
	lasted, answer := r.h.pressure.recordRefusal(time.Now(), r.service)
	r.h.metrics.overloadRefusals.WithLabelValues(string(d.Reason)).Inc()
	return verdict.New(r.verdict(), verdict.CodeOverloaded, "the prompt cannot be prefilled again in time").WithRetryAfter(r.retryAfterRoom(lasted, answer))
}

func (r *relay) recordRefill(d refill.Decision, waited time.Duration, report prompts.Report) {
	r.h.metrics.refills.WithLabelValues(d.Action.String(), string(d.Reason)).Inc()
	r.h.opts.Log.Emit(event.PromptRefilled, r.in.call.ID, r.service, d.Action.String(), string(d.Reason), r.rank,
		r.isPartHeld(), r.sends, waited, d.Delay, report.PendingPrompts)
}

// recordLoss records that an answer broke off at its server.
func (r *relay) recordLoss() {
	if r.hasPriorities() {
		r.h.pressure.recordLoss(time.Now(), r.service)
	}
}

func (p *pressure) recordLoss(now time.Time, service string) {
	defer p.mu.Unlock()
	p.lockService(service).losses.Record(now)
}

// recentLosses returns how many answers broke off recently at servers of a service.
func (p *pressure) recentLosses(now time.Time, service string) int {
	defer p.mu.Unlock()
	return p.lockService(service).losses.Recent(now)
}
