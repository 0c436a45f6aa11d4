package forward

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/pause"
	"mallowwind.dev/decision/takeover"
	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/telemetry/event"
)

// errServersFull means that several servers in a row rejected a request.
var errServersFull = errors.New("forward: several servers rejected the request")

// awaitAttempt is nextAttempt for a response that may have begun. While no server can continue such a
// response, it waits and looks again, as long as the prompt can be prefilled before the deadline.
//
// It guards against truncated responses whose server was released because it was silent, or whose
// connection broke, while all other servers are full or the retry budget is used up for a moment.
func (r *relay) awaitAttempt(ctx context.Context) (*attempt, error) {
	if delay := takeover.ResendDelay(r.rejections); delay > 0 && r.replacement == nil && r.mayContinueLater(ctx) {
		if !r.waitToLookAgain(ctx, errServersFull, delay) {
			return nil, r.expiryError()
		}
	}
	defer func() { r.looksAgain = false }()
	for looks := 0; ; looks++ {
		a, err := r.nextAttempt(ctx)
		if err == nil || !r.mayLookAgain(ctx, err) {
			return a, err
		}
		if !r.waitToLookAgain(ctx, err, takeover.LookDelay(looks)) {
			return nil, r.expiryError()
		}
		r.looksAgain = true
	}
}

// waitToLookAgain waits until servers are looked at again, and returns false if ctx ends before that.
func (r *relay) waitToLookAgain(ctx context.Context, why error, delay time.Duration) bool {
	r.h.opts.Log.Emit(event.StreamAwaitsServer, r.in.call.ID, why, r.rejections, delay, r.lastEventID, time.Since(r.lastEventAt))
	r.excluded = nil     // a server that was silent or full may have room by then
	r.retryTaken = false // it counts in the window in which it was taken
	return pause.For(ctx, delay)
}

// mayLookAgain reports whether a response that cannot continue now, for the given reason, may do so later.
func (r *relay) mayLookAgain(ctx context.Context, why error) bool {
	switch verdict.FromError(why).Code {
	case verdict.CodeNoBackend, verdict.CodeOverloaded:
		return r.mayContinueLater(ctx)
	}
	return false
}

// mayContinueLater reports whether a response that has begun may still continue if a server takes it later.
// How long a request waits while all servers are lost is decided in awaitEngine.
func (r *relay) mayContinueLater(ctx context.Context) bool {
	if !r.headersSent || !r.canResume() || r.starts >= maxStarts || ctx.Err() != nil {
		return false
	}
	now := time.Now()
	if !r.releasedSilent && !r.h.pool.hasHealthyServer(now, r.h.opts.Feed.View(), r.service) {
		return false
	}
	if r.heldCopy.at.load != nil {
		return true // needs no prefill
	}
	return !r.mustRefuseRefill(now) && !r.h.pressure.isPrefillTooLate(r.service, r.in.call.PromptTokens, r.in.deadline.Sub(now))
}
