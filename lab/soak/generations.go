package soak

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/pause"
	"mallowwind.dev/lab/stand"
)

const (
	minReviewTokens, maxReviewTokens = 50, 450
	shortReviewTokens                = 60
	lookupTokens                     = 6
	lookupAttempts                   = 3
	// codeUnreachable is the code of a refusal after which the caller should come back later.
	codeUnreachable       = "generation_unreachable"
	unreachableRetryDelay = time.Second
	// maxCompletionAttempts bounds the attempts of one completion.
	maxCompletionAttempts = 40
)

// readReviews reads long streams and resumes them elsewhere with Last-Event-ID.
func (r *run) readReviews(ctx context.Context, c *caller) {
	for r.shouldContinueAfter(ctx, c.randomDuration(0, time.Second)) {
		req := &completion{caller: c, service: "reviews", prompt: c.uniqueName("review"), maxTokens: minReviewTokens + c.rng.IntN(maxReviewTokens-minReviewTokens)}
		if c.chance(50) {
			req.key = req.prompt
		}
		r.recordResult(ctx, "review", req, r.retryUntilComplete(ctx, req, func(to *stand.Client) error {
			if req.id != "" {
				return req.resume(ctx, to)
			}
			return req.post(ctx, to)
		}))
	}
}

// resubmitReviews sends the same request with its idempotency key again when the connection
// breaks, and expects the complete response from its first token.
func (r *run) resubmitReviews(ctx context.Context, c *caller) {
	for r.shouldContinueAfter(ctx, c.randomDuration(0, time.Second)) {
		req := &completion{caller: c, service: "reviews", prompt: c.uniqueName("resubmission"), maxTokens: minReviewTokens + c.rng.IntN(maxReviewTokens-minReviewTokens)}
		req.key = req.prompt
		r.recordResult(ctx, "resubmission", req, r.retryUntilComplete(ctx, req, func(to *stand.Client) error { return req.post(ctx, to) }))
	}
}

// readUnstreamed requests responses without streaming.
func (r *run) readUnstreamed(ctx context.Context, c *caller) {
	for r.shouldContinueAfter(ctx, c.randomDuration(200*time.Millisecond, 2*time.Second)) {
		req := &completion{caller: c, service: "reviews", prompt: c.uniqueName("whole"), maxTokens: shortReviewTokens}
		req.key = req.prompt
		r.recordResult(ctx, "whole", req, r.retryUntilComplete(ctx, req, func(to *stand.Client) error { return req.postUnstreamed(ctx, to) }))
	}
}

// makeLookups makes short urgent requests, each with a few attempts at different entry VMs.
func (r *run) makeLookups(ctx context.Context, c *caller) {
	for r.shouldContinueAfter(ctx, c.randomDuration(50*time.Millisecond, 600*time.Millisecond)) {
		req := &completion{caller: c, service: "orders", prompt: c.uniqueName("lookup"), maxTokens: lookupTokens}
		began := time.Now()
		err := r.lookup(ctx, req)
		if err == nil && time.Since(began) > 2*time.Second {
			r.count("lookup late")
		}
		r.recordResult(ctx, "lookup", req, err)
	}
}

func (r *run) lookup(ctx context.Context, req *completion) (err error) {
	for range lookupAttempts {
		to := req.caller.nextEntry(ctx)
		if to == nil {
			return ctx.Err()
		}
		once, cancel := context.WithTimeout(ctx, requestTimeout)
		err = req.post(once, to)
		cancel()
		if err == nil {
			return nil
		}
		req.caller.invalidateAddresses()
	}
	return err
}

// retryUntilComplete repeats send, each time at the next entry VM, until the response is complete
// or the request has failed with an error that the caller does not retry.
func (r *run) retryUntilComplete(ctx context.Context, req *completion, send func(to *stand.Client) error) error {
	var err error
	for range maxCompletionAttempts {
		to := req.caller.nextEntry(ctx)
		if to == nil {
			return ctx.Err()
		}
		err = send(to)
		var refused *stand.ErrorResponse
		switch {
		case err == nil:
			return nil
		case !errors.As(err, &refused):
			r.count("moved")
			req.caller.invalidateAddresses()
		case refused.Code == codeUnreachable:
			r.count("told to come back")
			pause.For(ctx, unreachableRetryDelay)
		case req.shouldRetry(refused):
			if refused.Verdict == "not_run" {
				r.checkNotRun(req, refused)
			}
			req.caller.invalidateAddresses()
		default:
			return err
		}
		pause.For(ctx, retryDelay)
	}
	return err
}

// shouldRetry reports whether the caller retries a refused request. It may if the request has not
// run or has an idempotency key, and no text has arrived.
func (req *completion) shouldRetry(refused *stand.ErrorResponse) bool {
	return (refused.Verdict == "not_run" || req.key != "") && req.text.Len() == 0 &&
		(req.caller.run.opts.MustServe || req.caller.chance(60))
}

// checkNotRun checks a not_run verdict when the caller receives it.
func (r *run) checkNotRun(req *completion, refused *stand.ErrorResponse) {
	if n := r.deployment.AttemptsStarted(req.prompt); n > 0 {
		r.recordViolation("%q got %s, but engines had started it %d time(s)", req.prompt, refused, n)
	}
}

// recordResult counts and checks how a request ended.
func (r *run) recordResult(ctx context.Context, kind string, req *completion, err error) {
	var refused *stand.ErrorResponse
	switch {
	case err == nil:
		r.count(kind + " whole")
		return
	case errors.As(err, &refused):
		r.count(kind + " failed: " + refused.Code + " " + refused.Verdict)
		r.logEvent("%q (%s) holding %d bytes: %s", req.prompt, req.id, req.text.Len(), refused)
		if refused.Verdict == "" {
			r.recordViolation("%q failed without a verdict: %v", req.prompt, err)
		}
		if refused.Verdict == "not_run" {
			r.checkNotRun(req, refused)
			r.notRun.record(req.prompt, refused.Error())
		}
	case ctx.Err() != nil:
		r.count(kind + " hung")
	default:
		r.count(kind + " unreachable")
	}
	if r.opts.Plan.IsPlanned() || r.opts.MustServe && kind != "lookup" {
		r.recordViolation("%q failed although it must be served: %v", req.prompt, err)
	}
}

// notRunVerdicts records the requests that ended with a not_run verdict, by prompt.
type notRunVerdicts struct{ lastOutcomes }

// check checks at the end of the run that none of these requests has run.
func (v *notRunVerdicts) check(r *run) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for prompt, verdict := range v.byKey {
		if n := r.deployment.AttemptsStarted(prompt); n > 0 {
			r.recordViolation("%q got %s and was not retried, but engines started it %d time(s)", prompt, verdict, n)
		}
	}
}
