package soak

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/pause"
	"mallowwind.dev/lab/stand"
)

const (
	minReview, maxReview = 50, 450 // tokens
	wholeTokens          = 60
	lookupTokens         = 6
	lookupTries          = 3
	// unreachable is the code of an answer that a caller should come back for.
	unreachable = "generation_unreachable"
	comeBack    = time.Second
	// maxMoves bounds the attempts of one answer that reach nobody or break.
	maxMoves = 40
)

// reviews reads long streamed answers and goes on elsewhere with Last-Event-ID.
func (r *run) reviews(ctx context.Context, c *caller) {
	for r.pause(ctx, c.between(0, time.Second)) {
		a := &answer{c: c, service: "reviews", prompt: c.unique("review"), tokens: minReview + c.rng.IntN(maxReview-minReview)}
		if c.chance(50) {
			a.key = a.prompt
		}
		r.finish(ctx, "review", a, r.untilWhole(ctx, a, func(to *stand.Client) error {
			if a.id != "" {
				return a.resume(ctx, to)
			}
			return a.post(ctx, to)
		}))
	}
}

// resubmissions sends the same request with its key again when the connection
// breaks, and wants the whole answer from its first token.
func (r *run) resubmissions(ctx context.Context, c *caller) {
	for r.pause(ctx, c.between(0, time.Second)) {
		a := &answer{c: c, service: "reviews", prompt: c.unique("resubmission"), tokens: minReview + c.rng.IntN(maxReview-minReview)}
		a.key = a.prompt
		r.finish(ctx, "resubmission", a, r.untilWhole(ctx, a, func(to *stand.Client) error { return a.post(ctx, to) }))
	}
}

// wholes asks for answers that are not streamed.
func (r *run) wholes(ctx context.Context, c *caller) {
	for r.pause(ctx, c.between(200*time.Millisecond, 2*time.Second)) {
		a := &answer{c: c, service: "reviews", prompt: c.unique("whole"), tokens: wholeTokens}
		a.key = a.prompt
		r.finish(ctx, "whole", a, r.untilWhole(ctx, a, func(to *stand.Client) error { return a.wait(ctx, to) }))
	}
}

// lookups are urgent and short; a caller tries a few entry VMs.
func (r *run) lookups(ctx context.Context, c *caller) {
	for r.pause(ctx, c.between(50*time.Millisecond, 600*time.Millisecond)) {
		a := &answer{c: c, service: "orders", prompt: c.unique("lookup"), tokens: lookupTokens}
		began := time.Now()
		err := r.lookup(ctx, a)
		if err == nil && time.Since(began) > 2*time.Second {
			r.count("lookup late")
		}
		r.finish(ctx, "lookup", a, err)
	}
}

func (r *run) lookup(ctx context.Context, a *answer) (err error) {
	for range lookupTries {
		to := a.c.entry(ctx)
		if to == nil {
			return ctx.Err()
		}
		once, cancel := context.WithTimeout(ctx, requestLimit)
		err = a.post(once, to)
		cancel()
		if err == nil {
			return nil
		}
		a.c.forget()
	}
	return err
}

// untilWhole repeats send, elsewhere each time, until the answer is whole or
// has failed visibly.
func (r *run) untilWhole(ctx context.Context, a *answer, send func(to *stand.Client) error) error {
	var err error
	for range maxMoves {
		to := a.c.entry(ctx)
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
			a.c.forget()
		case refused.Code == unreachable:
			r.count("told to come back")
			pause.For(ctx, comeBack)
		case a.goesOn(refused):
			if refused.Verdict == "not_run" {
				r.notRun(a, refused)
			}
			a.c.forget()
		default:
			return err
		}
		pause.For(ctx, tryAgain)
	}
	return err
}

// goesOn reports whether the caller sends a refused request again: what was
// not run, or what it can repeat under its key.
func (a *answer) goesOn(refused *stand.ErrorResponse) bool {
	return (refused.Verdict == "not_run" || a.key != "") && a.text.Len() == 0 &&
		(a.c.r.opts.MustServe || a.c.chance(60))
}

// notRun checks a not_run verdict at the time at which it is heard.
func (r *run) notRun(a *answer, refused *stand.ErrorResponse) {
	if n := r.stand.AttemptsStarted(a.prompt); n > 0 {
		r.violate("%q was told %s, and an engine had begun it %d time(s)", a.prompt, refused, n)
	}
}

// finish judges how an answer ended.
func (r *run) finish(ctx context.Context, kind string, a *answer, err error) {
	var refused *stand.ErrorResponse
	switch {
	case err == nil:
		r.count(kind + " whole")
		return
	case errors.As(err, &refused):
		r.count(kind + " failed: " + refused.Code + " " + refused.Verdict)
		r.note("%q (%s) holding %d bytes: %s", a.prompt, a.id, a.text.Len(), refused)
		if refused.Verdict == "" {
			r.violate("%q failed without a verdict: %v", a.prompt, err)
		}
		if refused.Verdict == "not_run" {
			r.notRun(a, refused)
			r.owed.heard(a.prompt, refused.Error())
		}
	case ctx.Err() != nil:
		r.count(kind + " hung")
	default:
		r.count(kind + " unreachable")
	}
	if r.opts.Plan.Planned() || r.opts.MustServe && kind != "lookup" {
		r.violate("%q failed where it must not: %v", a.prompt, err)
	}
}

// owedBook remembers what was promised not to run, by prompt.
type owedBook struct{ book }

// judge checks the promises at the end of the run.
func (o *owedBook) judge(r *run) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for prompt, said := range o.last {
		if n := r.stand.AttemptsStarted(prompt); n > 0 {
			r.violate("%q was told %s and not sent again, and engines began it %d time(s)", prompt, said, n)
		}
	}
}
