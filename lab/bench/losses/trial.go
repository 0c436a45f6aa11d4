package losses

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mallowwind.dev/control/pause"
	"mallowwind.dev/decision/budget"
	"mallowwind.dev/external/standin/enginesim"
	"mallowwind.dev/lab/world"
)

// The sizes of a trial: an engine gives a token each 30 ms or so, the aim for
// the size to come, and works on about seven answers.
const (
	vms     = 6
	engines = 9
	callers = 64
)

const (
	firstFaultDelay = 2 * time.Second
	faultSpacing    = 1500 * time.Millisecond
	faultLength     = time.Second
	pauseLength     = 6 * time.Second
	// drainTimeout ends a trial whose last answers do not.
	drainTimeout = 30 * time.Second
)

// faultKind is a kind of loss.
type faultKind string

// The losses of the experiment. A slow engine is no loss: whatever is done
// about it is needless.
const (
	engineCrash  faultKind = "engine death"
	enginePause  faultKind = "engine pause"
	silentStream faultKind = "silent connection"
	routerCrash  faultKind = "router death"
	slowEngine   faultKind = "slow engine"
)

var faultKinds = []faultKind{engineCrash, enginePause, silentStream, routerCrash, slowEngine}

// fault is one fault and the callers whose answers it met.
type fault struct {
	at       time.Time
	affected []*caller
}

// result is what a trial gave.
type result struct {
	latency         *hdrhistogram.Histogram // microseconds, of the answers met
	affectedAnswers int                     // answers met
	requests        int
	promptTokens    int // prompt tokens of the requests
	failed          int
	tokens          int // received by callers, each once
	// generated, prefilled and begun are the engines' work.
	generated, prefilled, attempts int64
	journalBytes, primings         float64
	suspected, falseSuspicions     float64
}

// runTrial plays one trial in real time.
func runTrial(ctx context.Context, v variant, k faultKind, seed uint64, duration time.Duration) (*result, error) {
	w := world.New(ctx, world.Config{
		Seed: seed, VMs: vms, Engines: engines, Weight: v.weight, Policy: v.policyFor,
		Engine: enginesim.Config{StepBase: 25 * time.Millisecond, LoadTime: faultLength / 2},
	})
	defer w.Close()
	ctx, cancel := context.WithTimeout(ctx, duration+drainTimeout)
	defer cancel()
	var wg sync.WaitGroup
	list := make([]*caller, callers)
	until := time.Now().Add(duration)
	for i := range list {
		c := &caller{index: i, world: w, rng: rand.New(rand.NewPCG(seed, uint64(i)))}
		list[i] = c
		wg.Go(func() { c.run(ctx, until) })
	}
	hits := injectFaults(ctx, w, k, list, until)
	wg.Wait()
	return collectResult(w, list, hits)
}

// injectFaults injects a fault every now and then until the given time. Each is
// undone while the experiment goes on.
func injectFaults(ctx context.Context, w *world.World, k faultKind, list []*caller, until time.Time) []fault {
	var hits []fault
	pause.For(ctx, firstFaultDelay)
	for i := 0; time.Now().Before(until) && ctx.Err() == nil; i++ {
		h, undo := injectFault(w, k, i, list)
		hits = append(hits, h)
		time.AfterFunc(faultDuration(k), undo)
		pause.For(ctx, faultInterval(k))
	}
	pause.For(ctx, faultDuration(k))
	return hits
}

// injectFault carries out the i-th fault and returns what undoes it.
func injectFault(w *world.World, k faultKind, i int, list []*caller) (h fault, undo func()) {
	n := i % engines
	h = fault{at: time.Now(), affected: affectedCallers(w, k, n, list)}
	e := w.Engines[n]
	undo = func() {}
	switch k {
	case engineCrash:
		e.Die()
		undo = e.Revive
	case enginePause:
		e.Pause()
		undo = e.Unpause
	case silentStream:
		e.Silence()
	case routerCrash:
		w.Kill(i % vms)
		undo = func() { w.Replace(i % vms) }
	case slowEngine:
		e.Slow(6)
		undo = func() { e.Slow(1) }
	}
	return h, undo
}

// faultDuration is how long a fault of a kind lasts. A pause outlasts the fixed timeout.
func faultDuration(k faultKind) time.Duration {
	if k == enginePause {
		return pauseLength
	}
	return faultLength
}

// faultInterval spaces the faults; of paused engines there are two at most at a time.
func faultInterval(k faultKind) time.Duration {
	if k == enginePause {
		return pauseLength / 2
	}
	return faultSpacing
}

// affectedCallers finds the callers whose answers depend on what is about to fail.
func affectedCallers(w *world.World, k faultKind, n int, list []*caller) []*caller {
	var met []*caller
	read := w.Read(n)
	for _, c := range list {
		id, vm := c.current()
		if k == routerCrash && vm == n%vms || k != routerCrash && slices.Contains(read, id) {
			met = append(met, c)
		}
	}
	return met
}

func collectResult(w *world.World, list []*caller, hits []fault) (*result, error) {
	r := &result{latency: hdrhistogram.New(1, time.Minute.Microseconds(), 3)}
	for _, h := range hits {
		for _, c := range h.affected {
			if d := c.longestStall(h.at); d > 0 {
				_ = r.latency.RecordValue(d.Microseconds()) // within a minute by drainLimit
				r.affectedAnswers++
			}
		}
	}
	for _, c := range list {
		if c.violation != nil {
			return nil, c.violation
		}
		r.requests += c.requests
		r.promptTokens += c.promptTokens
		r.tokens += c.tokens
		r.failed += c.failed
	}
	s := w.Stats()
	r.generated, r.prefilled, r.attempts = s.Tokens, s.Prefilled, s.Started
	r.journalBytes = w.Sum("generation_journal_bytes_total")
	r.primings = w.Sum("generation_primings_total")
	r.suspected = w.Sum("generation_attempts_suspected_total")
	r.falseSuspicions = w.Sum("generation_false_suspicions_total")
	return r, nil
}

// extraTokens is the work beyond what each request needs once, in generated
// tokens: tokens that no caller received, and what had to be read again.
func (r *result) extraTokens() float64 {
	again := int(r.prefilled) - r.promptTokens
	return float64(int(r.generated)-r.tokens) + budget.TakeoverCost(again)
}

// extraTokensPercent is extraTokens for each hundred tokens received.
func (r *result) extraTokensPercent() float64 { return 100 * r.extraTokens() / float64(r.tokens) }

// extraTokensPerAffected is extraTokens for each answer met.
func (r *result) extraTokensPerAffected() float64 {
	return r.extraTokens() / float64(max(r.affectedAnswers, 1))
}
