package world

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"testing/cryptotest"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"mallowwind.dev/control/membership"
	"mallowwind.dev/decision/verdict"
)

// Fixes the seed and the number of scenarios, so that every run is the same. They can be set on
// the command line: go test ./world -run Random -rapid.checks=10000 -rapid.seed=7.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "250", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// fault is one generated fault.
type fault struct {
	Kind         string
	A, B         int
	Engine       int // set when the fault is injected
	At, Duration time.Duration
}

// plan is one generated scenario.
type plan struct {
	Seed   uint64
	Weight float64
	// CallerTimeout is short, so that callers fail over while their generation still runs.
	CallerTimeout time.Duration
	Faults        []fault
	Callers       []request
}

// request is one generated caller.
type request struct {
	VM, Tokens int
	Key        string
	At         time.Duration
	Moves      bool // also changes its entry VM when that one works
	Slow       bool
}

var faultKinds = []string{
	"engine dies", "engine restarts", "engine pauses", "streams go silent", "engine slow", "engine refuses",
	"vm dies", "vm pauses", "vm replaced", "vm believed gone", "vm isolated", "vm isolated and engine dies",
	"peers cut", "peers hang", "one way", "late", "peer silent", "engine cut off", "engine hangs", "all stall",
}

// uniform draws from a uniform distribution. rapid itself prefers small numbers, which
// would inject most faults before the generation starts. rapid still draws and shrinks
// the numbers of callers and faults.
type uniform struct{ *rand.Rand }

func (d uniform) millis(lo, hi int) time.Duration {
	return time.Duration(lo+d.IntN(hi-lo)) * time.Millisecond
}

func (d uniform) bool() bool { return d.IntN(2) == 0 }

func drawPlan(t *rapid.T) plan {
	p := plan{Seed: rapid.Uint64().Draw(t, "seed")}
	d := uniform{rand.New(rand.NewPCG(p.Seed, 1))}
	p.Weight = []float64{0.2, 0.9}[d.IntN(2)]
	p.CallerTimeout = d.millis(200, 1200)
	for range rapid.IntRange(1, 4).Draw(t, "callers") {
		p.Callers = append(p.Callers, request{
			VM: d.IntN(4), Tokens: 20 + d.IntN(280), Key: []string{"", "k1", "k1", "k1"}[d.IntN(4)],
			At: d.millis(0, 1500), Moves: d.bool(), Slow: d.bool(),
		})
	}
	d = uniform{rand.New(rand.NewPCG(p.Seed, 2))}
	for range rapid.IntRange(2, 10).Draw(t, "faults") {
		p.Faults = append(p.Faults, fault{
			Kind: faultKinds[d.IntN(len(faultKinds))], A: d.IntN(6), B: d.IntN(6),
			At: d.millis(0, 4000), Duration: d.millis(20, 3000),
		})
	}
	return p
}

// targetActive maps the drawn numbers to a busy engine, if there is one, and to an entry
// VM where a caller started, since faults elsewhere rarely affect a generation.
func (w *World) targetActive(f fault, p plan) fault {
	if busy := w.BusyEngines(); len(busy) > 0 {
		f.Engine = busy[f.A%len(busy)]
	}
	f.A = p.Callers[f.A%len(p.Callers)].VM
	return f
}

// isolate sets the fault of all links between an entry VM and the other entry VMs.
func (w *World) isolate(vm int, how Fault) {
	for i := range w.config.VMs {
		if i != vm {
			w.Net.Partition(VMID(vm), VMID(i), how)
		}
	}
}

// inject applies f and reverts it after f.Duration.
func (w *World) inject(f fault) {
	e, a, b := w.Engines[f.Engine], VMID(f.A), VMID(f.B)
	undo := func() {}
	switch f.Kind {
	case "engine dies":
		e.Crash()
	case "engine restarts":
		e.Crash()
		undo = e.Restart
	case "engine pauses":
		e.Pause()
		undo = e.Unpause
	case "streams go silent":
		e.Silence()
	case "engine slow":
		e.SetSlowdown(8)
		undo = func() { e.SetSlowdown(1) }
	case "engine refuses":
		e.SetRefusing(true)
		undo = func() { e.SetRefusing(false) }
	case "vm dies":
		w.Kill(f.A)
	case "vm pauses":
		w.Net.SetVM(a, Hang)
		undo = func() { w.Net.endPause(a) }
	case "vm replaced":
		w.Replace(f.A)
	case "vm believed gone":
		w.SetMemberState(f.A, membership.Gone)
		undo = func() { w.SetMemberState(f.A, membership.Alive) }
	case "vm isolated and engine dies":
		e.Crash()
		fallthrough
	case "vm isolated":
		w.isolate(f.A, 1+Fault(f.B%2))
		undo = func() { w.isolate(f.A, Healthy) }
	case "peers cut", "peers hang":
		how := map[string]Fault{"peers cut": Cut, "peers hang": Hang}[f.Kind]
		w.Net.Partition(a, b, how)
		undo = func() { w.Net.Partition(a, b, Healthy) }
	case "one way":
		w.Net.SetLink(a, b, Hang)
		undo = func() { w.Net.SetLink(a, b, Healthy) }
	case "late":
		w.Net.Delay(a, b, f.Duration/4)
		undo = func() { w.Net.Delay(a, b, 0) }
	case "peer silent":
		w.Net.Silence(a, b)
	case "engine cut off", "engine hangs":
		how := map[string]Fault{"engine cut off": Cut, "engine hangs": Hang}[f.Kind]
		w.Net.Partition(a, EngineID(f.Engine), how)
		undo = func() { w.Net.Partition(a, EngineID(f.Engine), Healthy) }
	case "all stall":
		for _, e := range w.Engines {
			e.Pause()
		}
		undo = func() {
			for _, e := range w.Engines {
				e.Unpause()
			}
		}
	}
	time.AfterFunc(f.Duration, undo)
}

// endPause makes a paused VM healthy again, unless it has died in the meantime.
func (n *Network) endPause(id string) {
	if f, _ := n.vm(id); f == Hang {
		n.SetVM(id, Healthy)
	}
}

// maxSubmits is how many times a caller sends its request before it gives up.
const maxSubmits = 4

// runCaller runs one caller to its end. It returns an error only for a violated guarantee, not for
// a failure that faults explain.
func (w *World) runCaller(ctx context.Context, p plan, r request) (complete bool, err error) {
	random := rand.New(rand.NewPCG(p.Seed, uint64(r.VM)))
	// Callers with the same key send the same body, since a key reused with another body is refused.
	c := w.Caller("contract "+r.Key, r.Key, r.Tokens)
	if r.Key != "" {
		c.Tokens = 200
	}
	defer func() { c.Close() }()
	time.Sleep(r.At)
	vm := r.VM
	for range maxSubmits {
		if err := c.Submit(ctx, vm); err == nil {
			if err := w.readAll(ctx, c, r, random); err != nil || c.Done {
				return c.Done, err
			}
		} else if bad := unexpected(err); bad != nil {
			return false, bad
		}
		vm = random.IntN(w.config.VMs)
		time.Sleep(300 * time.Millisecond)
	}
	return false, nil
}

// readAll reads one generation. It returns nil without c.Done for a failure that faults explain.
func (w *World) readAll(ctx context.Context, c *Caller, r request, random *rand.Rand) error {
	for moves := 0; !c.Done; {
		err := c.Read(ctx)
		if bad := c.Check(); bad != nil {
			return errors.Wrapf(bad, "generation %s at %+v", c.ID, c.Pos)
		}
		switch {
		case errors.Is(err, ErrConnection):
		case err != nil:
			return unexpected(err)
		case r.Slow && random.IntN(8) == 0:
			time.Sleep(200 * time.Millisecond)
			continue
		case !r.Moves || random.IntN(20) != 0:
			continue
		}
		for err = ErrConnection; errors.Is(err, ErrConnection); moves++ {
			if moves > 40 {
				return nil
			}
			err = c.Continue(random.IntN(w.config.VMs))
		}
	}
	return nil
}

// unexpected returns err if no fault explains it, otherwise nil.
func unexpected(err error) error {
	var e *verdict.Error
	switch {
	case errors.Is(err, ErrConnection):
		return nil
	case !errors.As(err, &e), e.Code == verdict.CodeInvariantViolation:
		return err
	}
	return nil
}

// outcome is the result of one scenario.
type outcome struct {
	complete, failed int
	err              error
	counts           [6]float64 // values of summedCounters
}

// summedCounters are logged as sums over all scenarios, to show that the faults take effect.
var summedCounters = [...]string{
	"generation_adopted_total", "generation_attempts_failed_total", "generation_attempts_suspected_total",
	"generation_reattached_total", "generation_journal_moves_total", "generation_uncopied_tokens_total",
}

func runPlan(t *testing.T, p plan) (out outcome) {
	cryptotest.SetGlobalRandom(t, p.Seed)
	synctest.Test(t, func(t *testing.T) {
		w := New(t.Context(), Config{Seed: p.Seed, Weight: p.Weight, CallerTimeout: p.CallerTimeout})
		defer w.Close()
		for _, f := range p.Faults {
			time.AfterFunc(f.At, func() { w.inject(w.targetActive(f, p)) })
		}
		var (
			mu sync.Mutex
			wg sync.WaitGroup
		)
		for _, r := range p.Callers {
			wg.Go(func() {
				complete, err := w.runCaller(t.Context(), p, r)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case err != nil:
					out.err = err
				case complete:
					out.complete++
				default:
					out.failed++
				}
			})
		}
		wg.Wait()
		for i, name := range summedCounters {
			out.counts[i] = w.SumCounter(name)
		}
		if n := w.SumCounter("generation_invariant_violations_total"); n > 0 && out.err == nil {
			out.err = fmt.Errorf("the generation managers counted %g invariant violations", n)
		}
		time.Sleep(20 * time.Second) // lets every fault and restart end before the deployment is closed
	})
	return out
}

// Callers submit, change entry VMs and retry while 2 to 10 random faults hit engines,
// entry VMs and links. Each caller must hold a prefix of exactly one generation, and
// get a terminal event only with the complete generation.
func TestRandomFaults(t *testing.T) {
	var complete, failed int
	var counts [len(summedCounters)]float64
	rapid.Check(t, func(rt *rapid.T) {
		p := drawPlan(rt)
		out := runPlan(t, p)
		if out.err != nil {
			rt.Fatalf("%v\n%+v", out.err, p)
		}
		complete, failed = complete+out.complete, failed+out.failed
		for i, n := range out.counts {
			counts[i] += n
		}
	})
	for i, n := range counts {
		t.Logf("%s: %g", summedCounters[i], n)
	}
	t.Logf("%d generations complete, %d failed as the faults allow", complete, failed)
}
