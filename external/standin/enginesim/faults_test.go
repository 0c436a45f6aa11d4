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

// forBoth runs f with the engine in process and over its wire form.
func forBoth(t *testing.T, config enginesim.Config, f func(t *testing.T, w *wired, e engine.Engine)) {
	for _, name := range []string{"in process", "over the wire"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := wire(config)
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

// readSome reads until the text holds n tokens or more.
func readSome(t *testing.T, s engine.Stream, n int) string {
	var text strings.Builder
	for strings.Count(text.String(), " ") < n {
		c, err := s.Next(t.Context())
		must.NoError(t, err)
		text.WriteString(strings.Join(c.Tokens, ""))
	}
	return text.String()
}

// An engine is dead before a request comes. Nothing can be sent, and the error
// says so; after it has come back and loaded its model it serves again.
func TestDeadEngineIsNotSent(t *testing.T) {
	forBoth(t, enginesim.Config{}, func(t *testing.T, w *wired, e engine.Engine) {
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

// An engine says no in its own words: a full queue, a model that it does not
// hold, an order to take nothing new. Each is a refusal, not a broken stream.
func TestRefusals(t *testing.T) {
	forBoth(t, enginesim.Config{Slots: 1, QueueLimit: 1}, func(t *testing.T, w *wired, e engine.Engine) {
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

// An engine pauses in the middle of an answer. The reader's wait runs out, and
// a request sent meanwhile has no known outcome. When the engine comes back,
// the same stream goes on with the next token.
func TestPauseAndReturn(t *testing.T) {
	forBoth(t, enginesim.Config{}, func(t *testing.T, w *wired, e engine.Engine) {
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

// Something between the two ends loses track of the open connection. Nothing
// comes on it again, while the engine generates on. Attaching over a new
// connection from the next offset gives the rest of the same attempt.
func TestSilentConnectionThenAttach(t *testing.T) {
	forBoth(t, enginesim.Config{}, func(t *testing.T, w *wired, e engine.Engine) {
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

// A reader goes away. For a stated time the engine runs on and another may
// attach; after that it spends no more work on an answer that nobody reads.
func TestUnreadGenerationEnds(t *testing.T) {
	config := enginesim.Config{UnreadTimeout: 10 * time.Second}
	forBoth(t, config, func(t *testing.T, w *wired, e engine.Engine) {
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

// A router that was paused wakes and asks for its old attempt although a newer
// one was cancelled past it: the engine takes only what is newer still.
func TestCancelOrdersAttempts(t *testing.T) {
	forBoth(t, enginesim.Config{}, func(t *testing.T, w *wired, e engine.Engine) {
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

// A zone's former lease holder wakes and gives an order with its old fencing
// number. An engine that checks refuses it; one that does not obeys.
func TestFencing(t *testing.T) {
	other := engine.ModelRef{Model: "other"}
	for respects, want := range map[bool]error{true: engine.ErrStaleFence, false: nil} {
		forBoth(t, enginesim.Config{EnforceFencing: respects}, func(t *testing.T, w *wired, e engine.Engine) {
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

// A model is ordered away while a generation runs on it: the answer ends whole,
// new requests are refused, and the weights go only then.
func TestUnloadWaitsForItsWork(t *testing.T) {
	forBoth(t, enginesim.Config{}, func(t *testing.T, w *wired, e engine.Engine) {
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
