package soak

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/pause"
	"mallowwind.dev/lab/stand"
)

const (
	maxRounds     = 4
	maxDuplicates = 3
	// noResponse is the outcome of a duplicate whose connection broke or timed out.
	noResponse = "no answer"
)

// makeConfirmations makes calls that must run at most once. It sends rounds of one to three
// duplicates under one idempotency key, to different entry VMs at about the same time; further
// rounds follow while the outcome is unknown, and after some not_run verdicts.
func (r *run) makeConfirmations(ctx context.Context, c *caller) {
	for r.shouldContinueAfter(ctx, c.randomDuration(0, 700*time.Millisecond)) {
		key := strings.ReplaceAll(c.uniqueName("confirm"), " ", "-")
		outcome := r.confirm(ctx, c, key)
		r.count("call " + outcome)
		r.calls.record(key, outcome)
		if r.opts.Plan.IsPlanned() && outcome != "ran" {
			r.recordViolation("call %q ended %q although all changes were planned", key, outcome)
		}
	}
}

// confirm returns the last outcome of a call: "ran", a verdict or noResponse.
func (r *run) confirm(ctx context.Context, c *caller, key string) (outcome string) {
	sentBefore := false
	for range 1 + c.rng.IntN(maxRounds) {
		outcome = r.sendDuplicates(ctx, c, key, sentBefore)
		if outcome == "ran" || outcome == "not_run" && c.chance(50) || ctx.Err() != nil {
			return outcome
		}
		sentBefore = true
		pause.For(ctx, c.randomDuration(0, 2*time.Second))
	}
	return outcome
}

// sendDuplicates sends duplicates at about the same time and returns their strongest outcome. A
// not_run verdict for one applies to all of them: none runs unless the caller sends the call again.
func (r *run) sendDuplicates(ctx context.Context, c *caller, key string, sentBefore bool) string {
	outcomes := make([]string, 1+c.rng.IntN(maxDuplicates))
	var wg sync.WaitGroup
	for i := range outcomes {
		to := c.nextEntry(ctx)
		if to == nil {
			outcomes[i] = noResponse
			continue
		}
		delay := c.randomDuration(0, 50*time.Millisecond)
		wg.Go(func() {
			pause.For(ctx, delay)
			outcomes[i] = r.sendDuplicate(ctx, to, key)
		})
	}
	wg.Wait()
	best := noResponse
	for _, s := range outcomes {
		best = strongerOutcome(best, s)
		if s == noResponse {
			c.invalidateAddresses()
		}
	}
	if best == "ran" {
		for _, s := range outcomes {
			if s == "not_run" {
				r.recordViolation("call %q: duplicates of one round ended with both not_run and ran (%v)", key, outcomes)
			}
		}
	}
	return best
}

// sendDuplicate sends one duplicate, checks its verdict and returns the outcome.
func (r *run) sendDuplicate(ctx context.Context, to *stand.Client, key string) string {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	began := time.Now()
	refused, err := r.send(ctx, to, key)
	if err != nil {
		return noResponse
	}
	verdict := "ran"
	if refused != nil {
		verdict = refused.Verdict
	}
	if d := time.Since(began); d > 4*time.Second {
		r.count("call answered late")
	}
	if verdict == "not_run" {
		if n := r.deployment.PlainBackend.Runs(key); n > 0 {
			r.recordViolation("call %q got not_run after it had run %d time(s)", key, n)
		}
	}
	if verdict == "ran" && r.deployment.PlainBackend.Runs(key) == 0 {
		r.recordViolation("call %q was reported as run, but has not run", key)
	}
	return verdict
}

// send posts a call once. It returns nil, nil if the call ran.
func (r *run) send(ctx context.Context, to *stand.Client, key string) (*stand.ErrorResponse, error) {
	header := map[string]string{"Idempotency-Key": key}
	response, err := to.Do(ctx, http.MethodPost, "/services/confirmations/confirm", []byte(`{"sacks":40}`), header)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusOK {
		_, err := io.Copy(io.Discard, response.Body)
		return nil, err
	}
	var refused *stand.ErrorResponse
	if err := refusal(response); !errors.As(err, &refused) {
		return nil, err
	}
	r.count("call refused: " + refused.Code + " " + refused.Verdict)
	if r.opts.Plan.IsPlanned() {
		r.logEvent("call %q at %s: %s", key, to.Base, refused)
	}
	if refused.Verdict == "" {
		r.recordViolation("call %q: %s without a verdict", key, refused)
	}
	return refused, nil
}

// strongerOutcome returns the outcome that guarantees more.
func strongerOutcome(a, b string) string {
	for _, s := range []string{"ran", "not_run", "may_have_run"} {
		if a == s || b == s {
			return s
		}
	}
	return a
}

// callOutcomes records the last outcome of each call, by idempotency key.
type callOutcomes struct{ lastOutcomes }

// check compares the outcomes that callers saw with the executions at the plain service.
func (o *callOutcomes) check(r *run) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for key, runs := range r.deployment.PlainBackend.AllRuns() {
		if runs > 1 {
			r.recordViolation("call %q ran %d times", key, runs)
		}
	}
	for key, outcome := range o.byKey {
		runs := r.deployment.PlainBackend.Runs(key)
		if outcome == "not_run" && runs > 0 {
			r.recordViolation("call %q ended with not_run, but ran %d time(s)", key, runs)
		}
		if outcome == "ran" && runs != 1 {
			r.recordViolation("call %q was reported as run, but ran %d time(s)", key, runs)
		}
	}
}
