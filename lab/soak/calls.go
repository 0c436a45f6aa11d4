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
	// noResponse is the outcome of a copy whose connection broke or was silent.
	noResponse = "no answer"
)

// makeConfirmations makes calls that may not be repeated: waves of one to three
// copies under one key, at different entry VMs, at about the same time; later
// waves follow while the outcome is not known.
func (r *run) makeConfirmations(ctx context.Context, c *caller) {
	for r.shouldContinueAfter(ctx, c.randomDuration(0, 700*time.Millisecond)) {
		key := strings.ReplaceAll(c.uniqueName("confirm"), " ", "-")
		outcome := r.confirm(ctx, c, key)
		r.count("call " + outcome)
		r.calls.record(key, outcome)
		if r.opts.Plan.IsPlanned() && outcome != "ran" {
			r.recordViolation("call %q ended %q under planned changes alone", key, outcome)
		}
	}
}

// confirm returns the last word on a call: a verdict or noAnswer.
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

// sendDuplicates sends copies at the same time and returns the strongest answer. A copy
// that is told not_run speaks for all: none of them runs, unless the caller
// sends the call again.
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
				r.recordViolation("call %q: of copies sent together one was told not_run and one that it ran (%v)", key, outcomes)
			}
		}
	}
	return best
}

// sendDuplicate sends one copy.
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
		if n := r.deployment.Desk.Runs(key); n > 0 {
			r.recordViolation("call %q was told not_run after it had run %d time(s)", key, n)
		}
	}
	if verdict == "ran" && r.deployment.Desk.Runs(key) == 0 {
		r.recordViolation("call %q was told that it ran, and it had not", key)
	}
	return verdict
}

// send posts one copy. It returns nil, nil when the call ran.
func (r *run) send(ctx context.Context, to *stand.Client, key string) (*stand.Refusal, error) {
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
	var refused *stand.Refusal
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

// strongerOutcome orders answers by what they promise.
func strongerOutcome(a, b string) string {
	for _, s := range []string{"ran", "not_run", "may_have_run"} {
		if a == s || b == s {
			return s
		}
	}
	return a
}

// callOutcomes remembers the last word on each call.
type callOutcomes struct{ lastOutcomes }

// check compares what callers were told with what the plain service ran.
func (b *callOutcomes) check(r *run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, runs := range r.deployment.Desk.All() {
		if runs > 1 {
			r.recordViolation("call %q ran %d times", key, runs)
		}
	}
	for key, outcome := range b.byKey {
		runs := r.deployment.Desk.Runs(key)
		if outcome == "not_run" && runs > 0 {
			r.recordViolation("call %q was last told not_run, and it ran %d time(s)", key, runs)
		}
		if outcome == "ran" && runs != 1 {
			r.recordViolation("call %q was told that it ran, and it ran %d time(s)", key, runs)
		}
	}
}
