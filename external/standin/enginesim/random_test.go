package enginesim_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/external/engine"
	"mallowwind.dev/external/standin/enginesim"
	"mallowwind.dev/external/standin/tokencheck"
)

// randomRuns is how many seeds the randomised test plays.
const randomRuns = 150

// chaos injects faults into random engines until ctx ends, and heals each.
func chaos(ctx context.Context, r *rand.Rand, engines []*wired) {
	for ctx.Err() == nil {
		w := engines[r.IntN(len(engines))]
		span := time.Duration(r.IntN(3000)) * time.Millisecond
		switch r.IntN(5) {
		case 0:
			w.net.Cut()
			w.sim.Crash()
			time.Sleep(span)
			w.sim.Restart()
			_ = w.net.Restore()
		case 1:
			w.net.Stall()
			w.sim.Pause()
			time.Sleep(span)
			w.sim.Unpause()
			w.net.Unstall()
		case 2:
			w.net.Silence()
		case 3:
			w.sim.SetRefusing(true)
			time.Sleep(span)
			w.sim.SetRefusing(false)
		case 4:
			w.sim.SetSlowdown(1 + 5*r.Float64())
		}
		time.Sleep(time.Duration(r.IntN(1000)) * time.Millisecond)
	}
}

// holder reads one answer over all engines as a careful router does.
type holder struct {
	t       *testing.T
	random  *rand.Rand
	engines []*wired
	at      int // engine of the current attempt
	attempt uint64
	tokens  []string
}

const patience = 1500 * time.Millisecond

// open attaches to the current attempt or starts the next from what is held.
func (h *holder) open(want int) (engine.Stream, error) {
	ctx, cancel := context.WithTimeout(h.t.Context(), patience)
	defer cancel()
	if h.attempt > 0 && h.random.IntN(2) == 0 {
		return h.engines[h.at].client.Attach(ctx, "g1", h.attempt, len(h.tokens))
	}
	h.at = h.random.IntN(len(h.engines))
	h.attempt++
	req := request("p", want)
	req.Attempt, req.Prefix = h.attempt, h.tokens
	return h.engines[h.at].client.Generate(ctx, req)
}

// read takes chunks until the stream ends, breaks or is silent for too long,
// and reports whether the answer is whole.
func (h *holder) read(s engine.Stream) bool {
	defer s.Close()
	for {
		ctx, cancel := context.WithTimeout(h.t.Context(), patience)
		c, err := s.Next(ctx)
		cancel()
		if err != nil {
			return false
		}
		must.Eq(h.t, len(h.tokens), c.Offset)
		h.tokens = append(h.tokens, c.Tokens...)
		if c.Finish != "" {
			return true
		}
	}
}

// An answer is read over engines that die, pause, come back, slow down, refuse
// and lose track of connections, alone and together. The reader attaches again
// or continues from exactly what it holds. Whatever happens in which order, it
// ends with one whole answer in which no token is missing, repeated or mixed.
func TestRandomFaultsNeverMixAnAnswer(t *testing.T) {
	const want = 400
	attempts := uint64(0)
	for seed := range uint64(randomRuns) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := &holder{t: t, random: rand.New(rand.NewPCG(seed, 1))}
				for i := range 3 {
					w := wire(enginesim.Config{Seed: seed<<8 + uint64(i), LoadTime: time.Second})
					defer w.close()
					h.engines = append(h.engines, w)
				}
				ctx, stop := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() {
					defer close(done)
					chaos(ctx, rand.New(rand.NewPCG(seed, 2)), h.engines)
				}()
				for whole := false; !whole; {
					s, err := h.open(want)
					if err != nil {
						time.Sleep(100 * time.Millisecond)
						continue
					}
					whole = h.read(s)
				}
				stop()
				<-done
				must.NoError(t, tokencheck.CheckWhole(ref.Model, "p", strings.Join(h.tokens, ""), want))
				attempts += h.attempt
			})
		})
	}
	must.Greater(t, 2*randomRuns, attempts) // the faults did interrupt answers
}
