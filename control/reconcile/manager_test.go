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

// An operator changes the version of a service while every engine runs a long generation. Every
// generation must finish, and the service must never have fewer ready replicas than its floor.
func TestVersionChangeAbortsNoGeneration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 3, true)
		h.applySite(1, v1, 3, 3)
		h.waitUntil("all engines serve version 1", 2*time.Minute, func() bool { return h.countReady(v1) == 3 })
		results := make(chan error, len(h.sims))
		for id, sim := range h.sims {
			stream, err := sim.Generate(t.Context(), engine.Request{
				Generation: "g-" + id, Attempt: 1, Model: "m", Version: "1", Prompt: "contract", MaxTokens: 5000,
			})
			must.NoError(t, err)
			go func() { results <- readAll(t, stream) }()
		}
		h.applySite(2, v2, 3, 3)
		h.waitUntil("all engines serve version 2", 2*time.Minute, func() bool { return h.countReady(v2) == 3 })
		h.waitUntil("no engine serves version 1", 10*time.Minute, func() bool { return h.countReady(v1) == 0 })
		for range h.sims {
			must.NoError(t, <-results)
		}
		h.assertFencesInOrder()
	})
}

// readAll reads a stream to its end. It returns an error if the stream ends before the last token.
func readAll(t *testing.T, s engine.Stream) error {
	for {
		c, err := s.Next(t.Context())
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrapf(err, "stream aborted at offset %d", c.Offset)
		}
	}
}

// The lease holder is paused for minutes with an order in flight. Another daemon takes over the
// lease, and the site text changes. When the first holder resumes, its order arrives at the engine.
// Engines that check fencing tokens must refuse it. On others it takes effect late and must be
// corrected, and the first holder must send no further load of the old version.
func TestPausedHolderResumes(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(t, 3, fencing)
			h.applySite(1, v1, 1, 1)
			h.waitUntil("the first replica is ready", 2*time.Minute, func() bool { return h.countReady(v1) == 1 })
			first := h.holder()
			first.pauseAtNextOrder()
			h.applySite(2, v1, 3, 1)
			h.waitUntil("another daemon holds the lease", time.Minute, func() bool { d := h.holder(); return d != nil && d != first })
			h.applySite(3, v2, 2, 1)
			h.waitUntil("two engines serve only version 2", 4*time.Minute, func() bool { return h.countReady(v2) == 2 && h.countReady(v1) == 0 })
			time.Sleep(2 * time.Minute)
			ordersBefore := len(h.acceptedOrders())
			first.unpause()
			time.Sleep(time.Minute)
			must.Eq(t, 2, h.countReady(v2))
			must.Eq(t, 0, h.countReady(v1))
			lateLoads := 0
			for _, o := range h.acceptedOrders()[ordersBefore:] {
				if o == first.id+" load 1" {
					lateLoads++
				}
			}
			if fencing {
				must.Eq(t, 0, lateLoads)
				h.assertFencesInOrder()
			}
			if !fencing {
				must.Eq(t, 1, lateLoads) // otherwise no late order was tested
			}
		})
	}
}

// The store is unavailable for ten minutes during a version change. The lease expires and no daemon
// may send orders. The service must not fall below its floor, and the change must complete once the
// store is back.
func TestStoreOutageDuringVersionChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 4, true)
		h.applySite(1, v1, 4, 3)
		h.waitUntil("all engines serve version 1", 2*time.Minute, func() bool { return h.countReady(v1) == 4 })
		h.applySite(2, v2, 4, 3)
		h.waitUntil("version 2 is ready on some engine", time.Minute, func() bool { return h.countReady(v2) > 0 })
		h.store.SetDown(true)
		time.Sleep(15 * time.Second)
		ordersBefore := len(h.acceptedOrders())
		for range 60 {
			time.Sleep(10 * time.Second)
			must.GreaterEq(t, 3, h.countServing())
		}
		must.Eq(t, ordersBefore, len(h.acceptedOrders()))
		h.store.SetDown(false)
		h.waitUntil("all engines serve only version 2", 3*time.Minute, func() bool { return h.countReady(v2) == 4 && h.countReady(v1) == 0 })
		h.assertFencesInOrder()
	})
}

// The engines do not check fencing tokens. A new lease holder must not send its first order while
// an order of the previous holder can still be in flight.
func TestNewHolderWaitsForUnfencedOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 3, false)
		h.applySite(1, v1, 3, 1)
		h.waitUntil("all engines serve version 1", 2*time.Minute, func() bool { return h.countReady(v1) == 3 })
		first := h.holder()
		first.stop()
		h.waitUntil("another daemon holds the lease", time.Minute, func() bool { return h.holder() != nil })
		taken := h.holder().lease.Current().AcquiredAt
		ordersBefore := len(h.acceptedOrders())
		h.applySite(2, v2, 3, 1)
		h.waitUntil("the new holder sent its first order", time.Minute, func() bool { return len(h.acceptedOrders()) > ordersBefore })
		must.GreaterEq(t, DefaultConfig().UnfencedOrderDelay, time.Since(taken))
	})
}

// An engine crashes during a version change and a new VM is added. The lost replica must be loaded
// on the new VM, and the change must complete. When the crashed engine comes back on a VM that is
// leaving, the number of replicas must stay as desired.
func TestEngineCrashDuringVersionChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 3, true)
		h.applySite(1, v1, 3, 2)
		h.waitUntil("all engines serve version 1", 2*time.Minute, func() bool { return h.countReady(v1) == 3 })
		h.applySite(2, v2, 3, 2)
		h.waitUntil("version 2 is ready on some engine", time.Minute, func() bool { return h.countReady(v2) > 0 })
		h.sims["b0"].Crash()
		h.addEngine("b9")
		h.waitUntil("three engines serve version 2", 5*time.Minute, func() bool { return h.countReady(v2) == 3 })
		h.sims["b0"].Restart()
		h.vms.Put(vmlist.VM{ID: "b0", Address: "b0", Zone: "a", Role: vmlist.RoleBackend, Pool: "p", State: vmlist.Leaving})
		time.Sleep(time.Minute)
		must.Eq(t, 3, h.countReady(v2))
		h.assertFencesInOrder()
	})
}

// Engines that hold only one set of weights are to change version, and one of them crashes just
// before the new site text is applied. The last steady poll saw it serving. An unload based on that
// observation would leave one ready replica although the floor is two. The change must complete
// once the engine is back.
func TestUnloadRestsOnFreshObservation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarnessWithMaxModels(t, 3, true, 1)
		h.applySite(1, v1, 3, 2)
		h.waitUntil("all engines serve version 1", 2*time.Minute, func() bool { return h.countReady(v1) == 3 })
		time.Sleep(24 * time.Second) // not a multiple of SteadyPollInterval, so that the last poll is old
		h.sims["b0"].Crash()
		h.applySite(2, v2, 3, 2)
		time.Sleep(time.Minute)
		must.Eq(t, 2, h.countReady(v1))
		h.sims["b0"].Restart()
		h.waitUntil("all engines serve version 2", 5*time.Minute, func() bool { return h.countReady(v2) == 3 })
	})
}

// An operator applies a version whose weights cannot be loaded. At most one engine may give up the
// working version for it, and the broken weights must not be fetched from the weight store again
// and again. Once the weights are repaired, the change must complete.
func TestBrokenVersionStopsVersionChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarnessWithMaxModels(t, 3, true, 1)
		h.version2Broken.Store(true)
		h.applySite(1, v1, 3, 1)
		h.waitUntil("all engines serve version 1", 2*time.Minute, func() bool { return h.countReady(v1) == 3 })
		h.applySite(2, v2, 3, 1)
		time.Sleep(time.Hour)
		must.Eq(t, 2, h.countReady(v1))
		must.LessEq(t, 20, h.weights.FetchCount(v2))
		h.version2Broken.Store(false)
		h.waitUntil("all engines serve version 2", 10*time.Minute, func() bool { return h.countReady(v2) == 3 })
	})
}

// An engine restarts without its weights in a zone in which polling all engines once takes long.
// When another daemon announces the changed report, the replica must be loaded again soon, before
// the holder's next steady poll of the engine.
func TestPollSoonRestoresLostReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 30, true)
		h.applySite(1, v1, 30, 1)
		h.waitUntil("all engines serve version 1", 10*time.Minute, func() bool { return h.countReady(v1) == 30 })
		time.Sleep(5 * time.Minute)
		h.sims["b7"].Crash()
		h.sims["b7"].Restart()
		h.holder().reconciler.PollSoon("b7")
		h.waitUntil("all engines serve version 1 again", 15*time.Second, func() bool { return h.countReady(v1) == 30 })
	})
}

// A daemon that does not know the latest site text yet acquires the lease. It must not load the old
// version again, but wait until it knows a newer text.
func TestNewHolderDoesNotRevertRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 2, true)
		h.applySite(7, v2, 2, 1)
		h.waitUntil("all engines serve version 2", 2*time.Minute, func() bool { return h.countReady(v2) == 2 })
		h.holder().stop()
		h.applySite(6, v1, 2, 1) // the text that the next holder knows
		ordersBefore := len(h.acceptedOrders())
		time.Sleep(2 * time.Minute)
		must.NotNil(t, h.holder())
		must.Eq(t, ordersBefore, len(h.acceptedOrders()))
		h.applySite(8, v1, 2, 1)
		h.waitUntil("all engines serve version 1", 2*time.Minute, func() bool { return h.countReady(v1) == 2 })
	})
}

// A new site text applies to two zones, and the daemons of one zone are paused. The other zone must
// follow the text under its own lease holder and send no orders to the engines of the paused zone.
func TestZonesAreIndependent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 2, true)
		h.addEngineIn("c0", "b")
		h.startZone("b")
		h.applySite(1, v1, 2, 0)
		h.waitUntil("both zones serve version 1", 2*time.Minute, func() bool { return h.countReady(v1) == 3 })
		for _, d := range h.daemons[:3] {
			d.pause()
		}
		h.applySite(2, v2, 2, 0)
		h.waitUntil("zone b serves version 2", 2*time.Minute, func() bool { return hasReady(h.sims["c0"], v2) })
		time.Sleep(time.Minute)
		must.Eq(t, 2, h.countReady(v1)) // zone a, whose daemons are paused
		for _, d := range h.daemons[:3] {
			d.unpause()
		}
		h.waitUntil("both zones serve only version 2", 3*time.Minute, func() bool { return h.countReady(v2) == 3 && h.countReady(v1) == 0 })
	})
}

// Random sequences of faults from fixed seeds: daemons are paused, the store fails, engines crash,
// pause and come back, and the site text changes. Orders of two lease holders must never
// interleave, no order may take the service below its floor, and after the faults the zone must
// converge to the site text.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(t, 5, true)
			rng := rand.New(rand.NewPCG(seed, 3))
			h.applySite(1, v1, 3, 2)
			for i := range 60 {
				// Between ticks: no daemon can detect a fault between an observation and
				// the order that rests on it.
				time.Sleep(time.Duration(rng.IntN(20))*time.Second + 501*time.Millisecond)
				h.injectFault(rng, int64(i+2))
			}
			h.endFaults()
			h.applySite(100, v2, 3, 2)
			h.waitUntil(fmt.Sprint("converged, seed ", seed), 15*time.Minute, func() bool { return h.countReady(v2) == 3 && h.countReady(v1) == 0 })
			h.assertFencesInOrder()
		})
	}
}

// injectFault starts or ends one random fault or applies a new site text.
func (h *zoneHarness) injectFault(rng *rand.Rand, revision int64) {
	d := h.daemons[rng.IntN(len(h.daemons))]
	sim := h.sims[fmt.Sprintf("b%d", rng.IntN(len(h.sims)))]
	switch rng.IntN(9) {
	case 0:
		d.unpause()
		d.pause()
	case 1, 2:
		d.unpause()
	case 3:
		h.store.SetDown(rng.IntN(2) == 0)
	case 4:
		sim.Crash()
	case 5:
		sim.Restart()
	case 6:
		sim.Pause()
	case 7:
		sim.Unpause()
	case 8:
		h.applySite(revision, []engine.ModelRef{v1, v2}[rng.IntN(2)], 3, rng.IntN(3))
	}
}

// endFaults ends all faults that injectFault may have started.
func (h *zoneHarness) endFaults() {
	h.store.SetDown(false)
	for _, d := range h.daemons {
		d.unpause()
	}
	for _, sim := range h.sims {
		sim.Restart()
		sim.Unpause()
	}
}
