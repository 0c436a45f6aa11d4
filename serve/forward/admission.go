package forward

import (
	"context"
	"time"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/decision/prompts"
	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/telemetry/event"
)

// placeAdmitted chooses the engine that prefills the prompt and counts the prompt there, or returns
// the refusal of the request.
func (r *relay) placeAdmitted(ctx context.Context, view *feed.View) (sampledEngine, error) {
	if r.mayWait(view) {
		return r.placeOrWait(ctx, view)
	}
	c, ok := r.placeWithPermit(ctx, view)
	if !ok {
		return sampledEngine{}, r.noServerError()
	}
	if err := r.admit(c); err != nil {
		r.h.pool.addLoad(c.choice, -1, 0, 0)
		return sampledEngine{}, err
	}
	return c, nil
}

// placeWithPermit is place, limited to engines that state no rate limit or for which a permit was
// granted. If all engines are lost, it waits for one to return.
func (r *relay) placeWithPermit(ctx context.Context, view *feed.View) (sampledEngine, bool) {
	for range maxStarts {
		c, ok := r.place(ctx, view)
		if r.leftToOthers {
			return sampledEngine{}, false
		}
		if !ok {
			c, ok = r.awaitEngine(ctx)
		}
		if !ok || r.tryAcquirePermit(ctx, c.choice) {
			return c, ok
		}
		r.h.pool.addLoad(c.choice, -1, 0, 0)
	}
	return sampledEngine{}, false
}

// mustServe reports whether the request has been sent before, or its caller has received a part of the
// response.
func (r *relay) mustServe() bool { return r.sends > 0 || r.in.call.LastEventID > 0 }

// admission decides whether the prompt is sent to an engine, and returns how long the first event
// may take. A request that has been sent before, or whose caller has received a part of the
// response, is sent wherever its prompt can be prefilled in time, even without room.
func (r *relay) admission(best sampledEngine) (admission prompts.Admission, due time.Duration) {
	mustServe := r.mustServe()
	due = time.Until(r.in.deadline)
	if !mustServe {
		due = r.h.pressure.firstEventBudget(r.service, r.in, due)
	}
	admission = r.h.pressure.admit(r.service, best.report, r.in.call.PromptTokens, due)
	if admission == prompts.Admitted && !mustServe && !r.fits(best.report) {
		admission = prompts.NoMemory
	}
	if mustServe && admission == prompts.NoMemory {
		admission = prompts.Admitted
	}
	return admission, due
}

// admit returns an error if the engines have no room for the prompt.
func (r *relay) admit(best sampledEngine) error {
	admission, due := r.admission(best)
	switch {
	case admission == prompts.Admitted:
		return nil
	case r.looksAgain: // the response goes on waiting, and its caller is not refused
		return verdict.New(r.verdict(), verdict.CodeOverloaded, "engines have no room for the prompt (%s)", admission)
	}
	return r.noRoomError(best, admission, due)
}

// noRoomError is the refusal of a prompt for which the best engine has no room.
func (r *relay) noRoomError(best sampledEngine, admission prompts.Admission, due time.Duration) error {
	overloadedFor, answer := r.h.pressure.recordRefusal(time.Now(), r.service)
	retryAfter := r.retryAfterRoom(overloadedFor, answer)
	r.h.metrics.overloadRefusals.WithLabelValues(admission.String()).Inc()
	r.h.opts.Log.Emit(event.PromptRefused, r.in.call.ID, best.server.ID, admission.String(), r.in.call.PromptTokens,
		best.report.PendingPrompts, best.report.UsedTokens, best.report.CapacityTokens, due, overloadedFor, answer)
	return verdict.New(r.verdict(), verdict.CodeOverloaded, "engines have no room for the prompt (%s)", admission).WithRetryAfter(retryAfter)
}
