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
	maxWaves  = 4
	maxCopies = 3
	// noAnswer is the outcome of a copy whose connection broke or was silent.
	noAnswer = "no answer"
)

// confirmations makes calls that may not be repeated: waves of one to three
// copies under one key, at different entry VMs, at about the same time; later
// waves follow while the outcome is not known.
func (r *run) confirmations(ctx context.Context, c *caller) {
	for r.pause(ctx, c.between(0, 700*time.Millisecond)) {
		key := strings.ReplaceAll(c.unique("confirm"), " ", "-")
		said := r.confirm(ctx, c, key)
		r.count("call " + said)
		r.calls.heard(key, said)
		if r.opts.Plan.Planned() && said != "ran" {
			r.violate("call %q ended %q under planned changes alone", key, said)
		}
	}
}

// confirm returns the last word on a call: a verdict or noAnswer.
func (r *run) confirm(ctx context.Context, c *caller, key string) (said string) {
	sentBefore := false
	for range 1 + c.rng.IntN(maxWaves) {
		said = r.wave(ctx, c, key, sentBefore)
		if said == "ran" || said == "not_run" && c.chance(50) || ctx.Err() != nil {
			return said
		}
		sentBefore = true
		pause.For(ctx, c.between(0, 2*time.Second))
	}
	return said
}

// wave sends copies at the same time and returns the strongest answer. A copy
// that is told not_run speaks for all: none of them runs, unless the caller
// sends the call again.
func (r *run) wave(ctx context.Context, c *caller, key string, sentBefore bool) string {
	said := make([]string, 1+c.rng.IntN(maxCopies))
	var wg sync.WaitGroup
	for i := range said {
		to := c.entry(ctx)
		if to == nil {
			said[i] = noAnswer
			continue
		}
		delay := c.between(0, 50*time.Millisecond)
		wg.Go(func() {
			pause.For(ctx, delay)
			said[i] = r.copyOf(ctx, to, key)
		})
	}
	wg.Wait()
	best := noAnswer
	for _, s := range said {
		best = stronger(best, s)
		if s == noAnswer {
			c.forget()
		}
	}
	if best == "ran" {
		for _, s := range said {
			if s == "not_run" {
				r.violate("call %q: of copies sent together one was told not_run and one that it ran (%v)", key, said)
			}
		}
	}
	return best
}

// copyOf sends one copy.
func (r *run) copyOf(ctx context.Context, to *stand.Client, key string) string {
	ctx, cancel := context.WithTimeout(ctx, requestLimit)
	defer cancel()
	began := time.Now()
	refused, err := r.send(ctx, to, key)
	if err != nil {
		return noAnswer
	}
	verdict := "ran"
	if refused != nil {
		verdict = refused.Verdict
	}
	if d := time.Since(began); d > 4*time.Second {
		r.count("call answered late")
	}
	if verdict == "not_run" {
		if n := r.stand.PlainBackend.Runs(key); n > 0 {
			r.violate("call %q was told not_run after it had run %d time(s)", key, n)
		}
	}
	if verdict == "ran" && r.stand.PlainBackend.Runs(key) == 0 {
		r.violate("call %q was told that it ran, and it had not", key)
	}
	return verdict
}

// send posts one copy. It returns nil, nil when the call ran.
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
	if r.opts.Plan.Planned() {
		r.note("call %q at %s: %s", key, to.Base, refused)
	}
	if refused.Verdict == "" {
		r.violate("call %q: %s without a verdict", key, refused)
	}
	return refused, nil
}

// stronger orders answers by what they promise.
func stronger(a, b string) string {
	for _, s := range []string{"ran", "not_run", "may_have_run"} {
		if a == s || b == s {
			return s
		}
	}
	return a
}

// callBook remembers the last word on each call.
type callBook struct{ book }

// judge compares what callers were told with what the plain service ran.
func (b *callBook) judge(r *run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, runs := range r.stand.PlainBackend.AllRuns() {
		if runs > 1 {
			r.violate("call %q ran %d times", key, runs)
		}
	}
	for key, said := range b.last {
		runs := r.stand.PlainBackend.Runs(key)
		if said == "not_run" && runs > 0 {
			r.violate("call %q was last told not_run, and it ran %d time(s)", key, runs)
		}
		if said == "ran" && runs != 1 {
			r.violate("call %q was told that it ran, and it ran %d time(s)", key, runs)
		}
	}
}
