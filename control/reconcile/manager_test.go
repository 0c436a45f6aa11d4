package reconcile

import (
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"mallowwind.dev/external/engine"
	"mallowwind.dev/external/vmlist"
)

// An operator changes the version of a service while every engine is in the
// middle of a long generation. Callers must get each answer whole, and the
// service must never have fewer ready replicas than its floor.
func TestVersionChangeCutsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3, true)
		w.apply(1, v1, 3, 3)
		w.until("all serve version 1", 2*time.Minute, func() bool { return w.ready(v1) == 3 })
		results := make(chan error, len(w.sims))
		for id, sim := range w.sims {
			stream, err := sim.Generate(t.Context(), engine.Request{
				Generation: "g-" + id, Attempt: 1, Model: "m", Version: "1", Prompt: "contract", MaxTokens: 5000,
			})
			must.NoError(t, err)
			go func() { results <- readAll(t, stream) }()
		}
		w.apply(2, v2, 3, 3)
		w.until("all serve version 2", 2*time.Minute, func() bool { return w.ready(v2) == 3 })
		w.until("version 1 is gone", 10*time.Minute, func() bool { return w.ready(v1) == 0 })
		for range w.sims {
			must.NoError(t, <-results)
		}
		w.oneHolderAtATime()
	})
}

// readAll reads a stream to its end and fails on any other end than the last token.
func readAll(t *testing.T, s engine.Stream) error {
	for {
		c, err := s.Next(t.Context())
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrapf(err, "cut at %d", c.Offset)
		}
	}
}

// The holder is paused with an order on its way, for two minutes. Another one
// takes over and finishes; the text changes meanwhile. When the first comes
// back, its order arrives: engines that check fencing numbers refuse it, at
// others it takes effect late and must be put right, and it gives no other.
func TestPausedHolderComesBack(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, 3, fencing)
			w.apply(1, v1, 1, 1)
			w.until("the first replica", 2*time.Minute, func() bool { return w.ready(v1) == 1 })
			first := w.holder()
			first.pauseOnOrder()
			w.apply(2, v1, 3, 1)
			w.until("another holds", time.Minute, func() bool { d := w.holder(); return d != nil && d != first })
			w.apply(3, v2, 2, 1)
			w.until("two serve version 2", 4*time.Minute, func() bool { return w.ready(v2) == 2 && w.ready(v1) == 0 })
			time.Sleep(2 * time.Minute)
			given := len(w.given())
			first.unpause()
			time.Sleep(time.Minute)
			must.Eq(t, 2, w.ready(v2))
			must.Eq(t, 0, w.ready(v1))
			late := 0
			for _, o := range w.given()[given:] {
				if o == first.id+" load 1" {
					late++
				}
			}
			if fencing {
				must.Eq(t, 0, late)
				w.oneHolderAtATime()
			}
			if !fencing {
				must.Eq(t, 1, late) // else the test shows nothing
			}
		})
	}
}

// The store goes away in the middle of a version change, for ten minutes. The
// lease ends and nobody gives orders; what serves must go on serving, and the
// change must be finished when the store is back.
func TestStoreOutageInMidChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 4, true)
		w.apply(1, v1, 4, 3)
		w.until("all serve version 1", 2*time.Minute, func() bool { return w.ready(v1) == 4 })
		w.apply(2, v2, 4, 3)
		w.until("the change has begun", time.Minute, func() bool { return w.ready(v2) > 0 })
		w.store.SetDown(true)
		time.Sleep(15 * time.Second)
		given := len(w.given())
		for range 60 {
			time.Sleep(10 * time.Second)
			must.GreaterEq(t, 3, w.serving())
		}
		must.Eq(t, given, len(w.given()))
		w.store.SetDown(false)
		w.until("all serve version 2 alone", 3*time.Minute, func() bool { return w.ready(v2) == 4 && w.ready(v1) == 0 })
		w.oneHolderAtATime()
	})
}

// Engines of this pool take any fencing number. A new holder must wait until
// no order of the old one can be under way before it gives its first.
func TestWaitsOutEnginesWithoutFencing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3, false)
		w.apply(1, v1, 3, 1)
		w.until("all serve version 1", 2*time.Minute, func() bool { return w.ready(v1) == 3 })
		first := w.holder()
		first.stop()
		w.until("another holds", time.Minute, func() bool { return w.holder() != nil })
		taken := w.holder().lease.Current().AcquiredAt
		given := len(w.given())
		w.apply(2, v2, 3, 1)
		w.until("the first order", time.Minute, func() bool { return len(w.given()) > given })
		must.GreaterEq(t, DefaultConfig().UnfencedOrderDelay, time.Since(taken))
	})
}

// An engine dies in the middle of a version change and another VM takes its
// place. Its replica must come up there, and the change go on.
func TestEngineDiesInMidChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3, true)
		w.apply(1, v1, 3, 2)
		w.until("all serve version 1", 2*time.Minute, func() bool { return w.ready(v1) == 3 })
		w.apply(2, v2, 3, 2)
		w.until("the change has begun", time.Minute, func() bool { return w.ready(v2) > 0 })
		w.sims["b0"].Crash()
		w.addEngine("b9")
		w.until("three serve version 2", 5*time.Minute, func() bool { return w.ready(v2) == 3 })
		w.sims["b0"].Restart()
		w.vms.Put(vmlist.VM{ID: "b0", Address: "b0", Zone: "a", Role: vmlist.RoleBackend, Pool: "p", State: vmlist.Leaving})
		time.Sleep(time.Minute)
		must.Eq(t, 3, w.ready(v2))
		w.oneHolderAtATime()
	})
}

// Engines that hold one set of weights only are to change version, and one of
// them dies just before the text is applied. The last sweep saw it serving; an
// unload that rested on that would leave one ready replica where the floor is
// two. The change goes on when the engine is back.
func TestBreakRestsOnFreshObservation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorldWith(t, 3, true, 1)
		w.apply(1, v1, 3, 2)
		w.until("all serve version 1", 2*time.Minute, func() bool { return w.ready(v1) == 3 })
		time.Sleep(24 * time.Second) // not a multiple of Sweep, so that the last one is old
		w.sims["b0"].Crash()
		w.apply(2, v2, 3, 2)
		time.Sleep(time.Minute)
		must.Eq(t, 2, w.ready(v1))
		w.sims["b0"].Restart()
		w.until("all serve version 2", 5*time.Minute, func() bool { return w.ready(v2) == 3 })
	})
}

// An operator applies a version whose weights are broken. No engine may give
// up the version that works for it, and the weight store must not be asked for
// the broken one over and over; once it is mended the change goes through.
func TestBrokenVersionStopsItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorldWith(t, 3, true, 1)
		w.broken.Store(true)
		w.apply(1, v1, 3, 1)
		w.until("all serve version 1", 2*time.Minute, func() bool { return w.ready(v1) == 3 })
		w.apply(2, v2, 3, 1)
		time.Sleep(time.Hour)
		must.Eq(t, 2, w.ready(v1))
		must.LessEq(t, 20, w.weights.FetchCount(v2))
		w.broken.Store(false)
		w.until("all serve version 2", 10*time.Minute, func() bool { return w.ready(v2) == 3 })
	})
}

// An engine restarts and comes back empty in a zone whose steady round takes
// minutes. Another daemon notices and tells; the replica must be loaded again
// soon, not when the holder's round comes to it.
func TestHintBringsLostReplicaBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 30, true)
		w.apply(1, v1, 30, 1)
		w.until("all serve version 1", 10*time.Minute, func() bool { return w.ready(v1) == 30 })
		time.Sleep(5 * time.Minute)
		w.sims["b7"].Crash()
		w.sims["b7"].Restart()
		w.holder().rec.PollSoon("b7")
		w.until("all serve again", 15*time.Second, func() bool { return w.ready(v1) == 30 })
	})
}

// A holder that has not heard of the newest text takes over. It must not load
// the old version again; it waits until it knows the newer text.
func TestLaterHolderDoesNotGoBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2, true)
		w.apply(7, v2, 2, 1)
		w.until("all serve version 2", 2*time.Minute, func() bool { return w.ready(v2) == 2 })
		w.holder().stop()
		w.apply(6, v1, 2, 1) // what the next holder knows
		given := len(w.given())
		time.Sleep(2 * time.Minute)
		must.NotNil(t, w.holder())
		must.Eq(t, given, len(w.given()))
		w.apply(8, v1, 2, 1)
		w.until("all serve version 1", 2*time.Minute, func() bool { return w.ready(v1) == 2 })
	})
}

// Two zones take the same new text, and the daemons of one are paused. The
// other must change as if it were alone, under its own holder and fencing
// numbers, and give no orders to engines that are not its own.
func TestZonesAreIndependent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2, true)
		w.addEngineIn("c0", "b")
		w.startZone("b")
		w.apply(1, v1, 2, 0)
		w.until("both zones serve version 1", 2*time.Minute, func() bool { return w.ready(v1) == 3 })
		for _, d := range w.daemons[:3] {
			d.pause()
		}
		w.apply(2, v2, 2, 0)
		w.until("zone b serves version 2", 2*time.Minute, func() bool { return holds(w.sims["c0"], v2) })
		time.Sleep(time.Minute)
		must.Eq(t, 2, w.ready(v1)) // zone a, whose daemons are paused
		for _, d := range w.daemons[:3] {
			d.unpause()
		}
		w.until("zone a follows", 3*time.Minute, func() bool { return w.ready(v2) == 3 && w.ready(v1) == 0 })
	})
}

// Everything at once, from fixed seeds: holders are paused, the store fails,
// engines die, pause and return, and the text changes. Orders of two holders
// never interleave, the floor is kept by every order, and when the faults end
// the zone comes to what the text says.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, 5, true)
			rng := rand.New(rand.NewPCG(seed, 3))
			w.apply(1, v1, 3, 2)
			for i := range 60 {
				// Between ticks: a fault in the instant between a look and
				// an order can be seen by nobody.
				time.Sleep(time.Duration(rng.IntN(20))*time.Second + 501*time.Millisecond)
				w.disturb(rng, int64(i+2))
			}
			w.heal()
			w.apply(100, v2, 3, 2)
			w.until(fmt.Sprint("converged, seed ", seed), 15*time.Minute, func() bool { return w.ready(v2) == 3 && w.ready(v1) == 0 })
			w.oneHolderAtATime()
		})
	}
}

// disturb begins or ends one fault or puts a new text in force.
func (w *world) disturb(rng *rand.Rand, revision int64) {
	d := w.daemons[rng.IntN(len(w.daemons))]
	sim := w.sims[fmt.Sprintf("b%d", rng.IntN(len(w.sims)))]
	switch rng.IntN(9) {
	case 0:
		d.unpause()
		d.pause()
	case 1, 2:
		d.unpause()
	case 3:
		w.store.SetDown(rng.IntN(2) == 0)
	case 4:
		sim.Crash()
	case 5:
		sim.Restart()
	case 6:
		sim.Pause()
	case 7:
		sim.Unpause()
	case 8:
		w.apply(revision, []engine.ModelRef{v1, v2}[rng.IntN(2)], 3, rng.IntN(3))
	}
}

func (w *world) heal() {
	w.store.SetDown(false)
	for _, d := range w.daemons {
		d.unpause()
	}
	for _, sim := range w.sims {
		sim.Restart()
		sim.Unpause()
	}
}
