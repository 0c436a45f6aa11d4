package forward

import (
	"context"
	"time"

	"mallowwind.dev/telemetry/event"
)

// tryAcquireRetry takes one retry from this daemon's share of the retry budget, or borrows one from
// another daemon. Only streams borrow: for a plain request, asking other daemons would take longer
// than the response itself.
func (r *relay) tryAcquireRetry(ctx context.Context, now time.Time) bool {
	view, ordinary := r.h.opts.Feed.View(), r.isOrdinaryRetry()
	if r.h.pool.tryTakeRetry(now, r.service, ordinary) {
		return true
	}
	if r.h.borrower.borrow(ctx, view, r.in.call.ID, lenderKey{service: r.service, ordinary: ordinary}) {
		r.h.metrics.retriesBorrowed.Inc()
		return true
	}
	r.h.recordRetryDenied(r.in, r.sends)
	if ordinary {
		r.h.metrics.ordinaryRetriesDenied.Inc()
		r.h.opts.Log.Emit(event.OrdinaryRetryDenied, r.in.call.ID, r.service, r.rank, r.sends)
	}
	return false
}

// ensureRetry takes a retry for the next send of the request, unless it is the first send or the retry
// was taken before. It returns false if the budget permits none.
func (r *relay) ensureRetry(ctx context.Context) bool {
	if r.sends > 0 && !r.retryTaken {
		r.retryTaken = r.tryAcquireRetry(ctx, time.Now())
		return r.retryTaken
	}
	return true
}

// isOrdinaryRetry reports whether a retry of the request may not use the reserved part of the
// budget: the request is not among the most urgent of its service, and its caller holds nothing of
// the answer. Without priorities no part is reserved.
func (r *relay) isOrdinaryRetry() bool {
	return r.hasPriorities() && !r.isUrgent() && !r.isPartHeld()
}

// isPartHeld reports whether the caller holds a part of the answer.
func (r *relay) isPartHeld() bool { return r.headersSent || r.lastEventID > 0 }
