package enginesim_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/external/engine"
	"mallowwind.dev/external/standin/enginesim"
	"mallowwind.dev/external/standin/tokencheck"
)

// withBothTransports runs f with the engine in process and over its wire protocol.
func withBothTransports(t *testing.T, config enginesim.Config, f func(t *testing.T, w *wiredEngine, e engine.Engine)) {
	for _, name := range []string{"in process", "over the wire"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWiredEngine(config)
				defer w.close()
				e := engine.Engine(w.sim)
				if name == "over the wire" {
					e = w.client
				}
				f(t, w, e)
			})
		})
	}
}

// readSome reads from s until it has at least n tokens and returns their text.
func readSome(t *testing.T, s engine.Stream, n int) string {
	var text strings.Builder
	for strings.Count(text.String(), " ") < n {
		c, err := s.Next(t.Context())
		must.NoError(t, err)
		text.WriteString(strings.Join(c.Tokens, ""))
	}
	return text.String()
}

// A request to a crashed engine must fail with ErrNotSent, not with an unknown outcome. After
// a restart the engine refuses requests until its model is loaded, then serves them again under a
// new incarnation.
func TestGenerateOnCrashedEngineIsNotSent(t *testing.T) {
	withBothTransports(t, enginesim.Config{}, func(t *testing.T, w *wiredEngine, e engine.Engine) {
		before, err := e.Status(t.Context())
		must.NoError(t, err)
		w.net.Cut()
		w.sim.Crash()
		_, err = e.Generate(t.Context(), request("p", 5))
		must.ErrorIs(t, err, engine.ErrNotSent)
		w.sim.Restart()
		must.NoError(t, w.net.Restore())
		_, err = e.Generate(t.Context(), request("p", 5))
		must.ErrorIs(t, err, engine.ErrRefused) // still loading
		time.Sleep(time.Minute)
		s, err := e.Generate(t.Context(), request("p", 5))
		must.NoError(t, err)
		defer s.Close()
		after, err := e.Status(t.Context())
		must.NoError(t, err)
		must.NotEq(t, before.Incarnation, after.Incarnation)
	})
}

// A full queue, a model that is not loaded and an engine that accepts no new work must all be
// reported as refusals, not as broken streams.
func TestRefusals(t *testing.T) {
	withBothTransports(t, enginesim.Config{Slots: 1, QueueLimit: 1}, func(t *testing.T, w *wiredEngine, e engine.Engine) {
		req := request("p", 50)
		req.Model = "unknown"
		_, err := e.Generate(t.Context(), req)
		must.ErrorIs(t, err, engine.ErrRefused)
		w.sim.SetRefusing(true)
		_, err = e.Generate(t.Context(), request("p", 50))
		must.ErrorIs(t, err, engine.ErrRefused)
		w.sim.SetRefusing(false)
		for i, id := range []string{"a", "b", "c"} {
			req := request("p", 50)
			req.Generation = id
			s, err := e.Generate(t.Context(), req)
			if i == 2 {
				must.ErrorIs(t, err, engine.ErrRefused)
				break
			}
			must.NoError(t, err)
			defer s.Close()
			time.Sleep(time.Millisecond)
		}
	})
}

// An engine is paused in the middle of an answer. Its reader times out, and a request sent during
// the pause ends with an unknown outcome (ErrBroken). After the pause the same stream continues
// with the next token.
func TestPauseAndUnpause(t *testing.T) {
	withBothTransports(t, enginesim.Config{}, func(t *testing.T, w *wiredEngine, e engine.Engine) {
		s, err := e.Generate(t.Context(), request("p", 60))
		must.NoError(t, err)
		defer s.Close()
		text := readSome(t, s, 10)
		w.sim.Pause()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		more, _, err := readAll(ctx, s)
		must.ErrorIs(t, err, context.DeadlineExceeded)
		req := request("p", 60)
		req.Generation = "g2"
		ctx, cancel = context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err = e.Generate(ctx, req)
		must.ErrorIs(t, err, engine.ErrBroken)
		w.sim.Unpause()
		rest, _, err := readAll(t.Context(), s)
		must.NoError(t, err)
		must.NoError(t, tokencheck.CheckWhole(ref.Model, "p", text+more+rest, 60))
	})
}

// The link of an open stream stalls for good, as when a middlebox loses the state of the
// connection, while the engine continues to generate. Attaching from the next offset returns the
// rest of the same attempt.
func TestSilentConnectionThenAttach(t *testing.T) {
	withBothTransports(t, enginesim.Config{}, func(t *testing.T, w *wiredEngine, e engine.Engine) {
		s, err := e.Generate(t.Context(), request("p", 80))
		must.NoError(t, err)
		defer s.Close()
		text := readSome(t, s, 10)
		w.sim.Silence()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		more, _, err := readAll(ctx, s)
		must.ErrorIs(t, err, context.DeadlineExceeded)
		text += more
		again, err := e.Attach(t.Context(), "g1", 1, strings.Count(text, " "))
		must.NoError(t, err)
		rest, _, err := readAll(t.Context(), again)
		must.NoError(t, err)
		must.NoError(t, tokencheck.CheckWhole(ref.Model, "p", text+rest, 80))
	})
}

// A generation whose reader has detached continues, and another reader can attach, until
// UnreadTimeout. After that the engine must cancel it instead of generating for no reader.
func TestUnreadGenerationEnds(t *testing.T) {
	config := enginesim.Config{UnreadTimeout: 10 * time.Second}
	withBothTransports(t, config, func(t *testing.T, w *wiredEngine, e engine.Engine) {
		s, err := e.Generate(t.Context(), request("p", 1e6))
		must.NoError(t, err)
		must.NoError(t, s.Close())
		time.Sleep(5 * time.Second)
		s, err = e.Attach(t.Context(), "g1", 1, 0)
		must.NoError(t, err)
		must.NoError(t, s.Close())
		time.Sleep(12 * time.Second)
		_, err = e.Attach(t.Context(), "g1", 1, 0)
		must.ErrorIs(t, err, engine.ErrUnknownGeneration)
		must.Eq(t, 1, w.sim.Stats().Abandoned)
		done := w.sim.Stats().Tokens
		time.Sleep(time.Minute)
		must.Eq(t, done, w.sim.Stats().Tokens)
	})
}

// A router that resumes after a pause may ask for an old attempt although later attempts were
// already cancelled. After Cancel up to an attempt, the engine accepts only later attempts.
func TestCancelFencesOlderAttempts(t *testing.T) {
	withBothTransports(t, enginesim.Config{}, func(t *testing.T, w *wiredEngine, e engine.Engine) {
		s, err := e.Generate(t.Context(), request("p", 500))
		must.NoError(t, err)
		readSome(t, s, 3)
		must.NoError(t, e.Cancel(t.Context(), "g1", 2))
		_, _, err = readAll(t.Context(), s)
		must.ErrorIs(t, err, engine.ErrBroken)
		must.ErrorIs(t, e.Cancel(t.Context(), "other", 1), engine.ErrUnknownGeneration)
		for attempt, want := range map[uint64]error{1: engine.ErrRefused, 2: engine.ErrRefused, 3: nil} {
			req := request("p", 500)
			req.Attempt = attempt
			s, err := e.Generate(t.Context(), req)
			must.ErrorIs(t, err, want)
			if err == nil {
				defer s.Close()
			}
		}
	})
}

// The former holder of a zone's lease resumes and sends an order with its stale fencing number.
// An engine that enforces fencing must refuse the order; one that does not executes it.
func TestFencing(t *testing.T) {
	other := engine.ModelRef{Model: "other"}
	for respects, want := range map[bool]error{true: engine.ErrStaleFence, false: nil} {
		withBothTransports(t, enginesim.Config{EnforceFencing: respects}, func(t *testing.T, w *wiredEngine, e engine.Engine) {
			must.NoError(t, e.Order(t.Context(), engine.Order{ID: "new", Kind: engine.OrderLoad, Ref: other, Fence: 5}))
			time.Sleep(time.Minute)
			err := e.Order(t.Context(), engine.Order{ID: "old", Kind: engine.OrderUnload, Ref: other, Fence: 4})
			must.ErrorIs(t, err, want)
			status, err := e.Status(t.Context())
			must.NoError(t, err)
			must.Eq(t, respects, len(status.Models) == 2)
			must.Eq(t, respects, status.Fence == 5)
		})
	}
}

// A model is unloaded while a generation uses it. New requests are refused, the running answer
// still completes, and only then are the weights dropped.
func TestUnloadWaitsForRunningGenerations(t *testing.T) {
	withBothTransports(t, enginesim.Config{}, func(t *testing.T, w *wiredEngine, e engine.Engine) {
		s, err := e.Generate(t.Context(), request("p", 50))
		must.NoError(t, err)
		text := readSome(t, s, 5)
		must.NoError(t, e.Order(t.Context(), engine.Order{Kind: engine.OrderUnload, Ref: ref}))
		req := request("p", 5)
		req.Generation = "g2"
		_, err = e.Generate(t.Context(), req)
		must.ErrorIs(t, err, engine.ErrRefused)
		rest, _, err := readAll(t.Context(), s)
		must.NoError(t, err)
		must.NoError(t, tokencheck.CheckWhole(ref.Model, "p", text+rest, 50))
		status, err := e.Status(t.Context())
		must.NoError(t, err)
		must.SliceEmpty(t, status.Models)
	})
}
