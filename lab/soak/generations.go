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
		a := &completion{caller: c, service: "reviews", prompt: c.uniqueName("review"), maxTokens: minReviewTokens + c.rng.IntN(maxReviewTokens-minReviewTokens)}
		if c.chance(50) {
			a.key = a.prompt
		}
		r.recordResult(ctx, "review", a, r.retryUntilComplete(ctx, a, func(to *stand.Client) error {
			if a.id != "" {
				return a.resume(ctx, to)
			}
			return a.post(ctx, to)
		}))
	}
}

// resubmitReviews sends the same request with its idempotency key again when the connection
// breaks, and expects the complete response from its first token.
func (r *run) resubmitReviews(ctx context.Context, c *caller) {
	for r.shouldContinueAfter(ctx, c.randomDuration(0, time.Second)) {
		a := &completion{caller: c, service: "reviews", prompt: c.uniqueName("resubmission"), maxTokens: minReviewTokens + c.rng.IntN(maxReviewTokens-minReviewTokens)}
		a.key = a.prompt
		r.recordResult(ctx, "resubmission", a, r.retryUntilComplete(ctx, a, func(to *stand.Client) error { return a.post(ctx, to) }))
	}
}

// readUnstreamed requests responses without streaming.
func (r *run) readUnstreamed(ctx context.Context, c *caller) {
	for r.shouldContinueAfter(ctx, c.randomDuration(200*time.Millisecond, 2*time.Second)) {
		a := &completion{caller: c, service: "reviews", prompt: c.uniqueName("whole"), maxTokens: shortReviewTokens}
		a.key = a.prompt
		r.recordResult(ctx, "whole", a, r.retryUntilComplete(ctx, a, func(to *stand.Client) error { return a.postUnstreamed(ctx, to) }))
	}
}

// makeLookups makes short urgent requests, each with a few attempts at different entry VMs.
func (r *run) makeLookups(ctx context.Context, c *caller) {
	for r.shouldContinueAfter(ctx, c.randomDuration(50*time.Millisecond, 600*time.Millisecond)) {
		a := &completion{caller: c, service: "orders", prompt: c.uniqueName("lookup"), maxTokens: lookupTokens}
		began := time.Now()
		err := r.lookup(ctx, a)
		if err == nil && time.Since(began) > 2*time.Second {
			r.count("lookup late")
		}
		r.recordResult(ctx, "lookup", a, err)
	}
}

func (r *run) lookup(ctx context.Context, a *completion) (err error) {
	for range lookupAttempts {
		to := a.caller.nextEntry(ctx)
		if to == nil {
			return ctx.Err()
		}
		once, cancel := context.WithTimeout(ctx, requestTimeout)
		err = a.post(once, to)
		cancel()
		if err == nil {
			return nil
		}
		a.caller.invalidateAddresses()
	}
	return err
}

// retryUntilComplete repeats send, each time at the next entry VM, until the response is complete
// or the request has failed with an error that the caller does not retry.
func (r *run) retryUntilComplete(ctx context.Context, a *completion, send func(to *stand.Client) error) error {
	var err error
	for range maxCompletionAttempts {
		to := a.caller.nextEntry(ctx)
		if to == nil {
			return ctx.Err()
		}
		err = send(to)
		var refused *stand.Refusal
		switch {
		case err == nil:
			return nil
		case !errors.As(err, &refused):
			r.count("moved")
			a.caller.invalidateAddresses()
		case refused.Code == codeUnreachable:
			r.count("told to come back")
			pause.For(ctx, unreachableRetryDelay)
		case a.shouldRetry(refused):
			if refused.Verdict == "not_run" {
				r.checkNotRun(a, refused)
			}
			a.caller.invalidateAddresses()
		default:
			return err
		}
		pause.For(ctx, retryDelay)
	}
	return err
}

// shouldRetry reports whether the caller retries a refused request. It may if the request has not
// run or has an idempotency key, and no text has arrived.
func (a *completion) shouldRetry(refused *stand.Refusal) bool {
	return (refused.Verdict == "not_run" || a.key != "") && a.text.Len() == 0 &&
		(a.caller.run.opts.MustServe || a.caller.chance(60))
}

// checkNotRun checks a not_run verdict when the caller receives it.
func (r *run) checkNotRun(a *completion, refused *stand.Refusal) {
	if n := r.deployment.Starts(a.prompt); n > 0 {
		r.recordViolation("%q got %s, but engines had started it %d time(s)", a.prompt, refused, n)
	}
}

// recordResult counts and checks how a request ended.
func (r *run) recordResult(ctx context.Context, kind string, a *completion, err error) {
	var refused *stand.Refusal
	switch {
	case err == nil:
		r.count(kind + " whole")
		return
	case errors.As(err, &refused):
		r.count(kind + " failed: " + refused.Code + " " + refused.Verdict)
		r.logEvent("%q (%s) holding %d bytes: %s", a.prompt, a.id, a.text.Len(), refused)
		if refused.Verdict == "" {
			r.recordViolation("%q failed without a verdict: %v", a.prompt, err)
		}
		if refused.Verdict == "not_run" {
			r.checkNotRun(a, refused)
			r.notRun.record(a.prompt, refused.Error())
		}
	case ctx.Err() != nil:
		r.count(kind + " hung")
	default:
		r.count(kind + " unreachable")
	}
	if r.opts.Plan.IsPlanned() || r.opts.MustServe && kind != "lookup" {
		r.recordViolation("%q failed although it must be served: %v", a.prompt, err)
	}
}

// notRunVerdicts records the requests that ended with a not_run verdict, by prompt.
type notRunVerdicts struct{ lastOutcomes }

// check checks at the end of the run that none of these requests has run.
func (o *notRunVerdicts) check(r *run) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for prompt, verdict := range o.byKey {
		if n := r.deployment.Starts(prompt); n > 0 {
			r.recordViolation("%q got %s and was not retried, but engines started it %d time(s)", prompt, verdict, n)
		}
	}
}
