package forward

import (
	"context"
	"time"
)

// tryAcquireRetry takes one retry from this daemon's share of the retry budget, or borrows one from
// another daemon. Only streams borrow: for a plain request, asking other daemons would take longer
// than the response itself.
func (r *relay) tryAcquireRetry(ctx context.Context, now time.Time) bool {
	if r.h.pool.tryTakeRetry(now, r.service) {
		return true
	}
	if r.h.borrower.borrow(ctx, r.h.opts.Feed.View(), r.in.call.ID, r.service) {
		r.h.metrics.retriesBorrowed.Inc()
		return true
	}
	r.h.recordRetryDenied(r.in, r.sends)
	return false
}
