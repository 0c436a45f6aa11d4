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

// Trial sizes. Each engine runs about seven answers and generates a token of each about every 30 ms,
// the target for the planned deployment size.
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
	// drainTimeout bounds the time after the load in which the last answers have to end.
	drainTimeout = 30 * time.Second
)

// faultKind is a kind of injected fault.
type faultKind string

// The kinds of faults. A slow engine loses nothing: any takeover from it is unnecessary.
const (
	engineCrash  faultKind = "engine death"
	enginePause  faultKind = "engine pause"
	silentStream faultKind = "silent connection"
	routerCrash  faultKind = "router death"
	slowEngine   faultKind = "slow engine"
)

var faultKinds = []faultKind{engineCrash, enginePause, silentStream, routerCrash, slowEngine}

// fault is an injected fault and the callers whose answers it affects.
type fault struct {
	at       time.Time
	affected []*caller
}

// result holds the measurements of a trial.
type result struct {
	latency         *hdrhistogram.Histogram // stalls of the affected answers, in microseconds
	affectedAnswers int                     // answers stalled by a fault, once per fault
	requests        int
	promptTokens    int // of each request once
	failed          int
	tokens          int // received by callers, without repeats
	// Tokens generated and prefilled, and attempts started, by all engines.
	generated, prefilled, attempts int64
	journalBytes, primings         float64
	suspected, falseSuspicions     float64
}

// runTrial runs one trial in real time.
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
	faults := injectFaults(ctx, w, k, list, until)
	wg.Wait()
	return collectResult(w, list, faults)
}

// injectFaults injects faults at the interval of their kind until the given time. Each fault is undone
// after its duration, while the trial continues.
func injectFaults(ctx context.Context, w *world.World, k faultKind, list []*caller, until time.Time) []fault {
	var faults []fault
	pause.For(ctx, firstFaultDelay)
	for i := 0; time.Now().Before(until) && ctx.Err() == nil; i++ {
		h, undo := injectFault(w, k, i, list)
		faults = append(faults, h)
		time.AfterFunc(faultDuration(k), undo)
		pause.For(ctx, faultInterval(k))
	}
	pause.For(ctx, faultDuration(k))
	return faults
}

// injectFault injects the i-th fault and returns a function that undoes it.
func injectFault(w *world.World, k faultKind, i int, list []*caller) (h fault, undo func()) {
	n := i % engines
	h = fault{at: time.Now(), affected: affectedCallers(w, k, n, list)}
	e := w.Engines[n]
	undo = func() {}
	switch k {
	case engineCrash:
		e.Crash()
		undo = e.Restart
	case enginePause:
		e.Pause()
		undo = e.Unpause
	case silentStream:
		e.Silence()
	case routerCrash:
		w.Kill(i % vms)
		undo = func() { w.Replace(i % vms) }
	case slowEngine:
		e.SetSlowdown(6)
		undo = func() { e.SetSlowdown(1) }
	}
	return h, undo
}

// faultDuration returns how long a fault of a kind lasts. An engine pause lasts longer than the default
// fixed timeout of the baselines.
func faultDuration(k faultKind) time.Duration {
	if k == enginePause {
		return pauseLength
	}
	return faultLength
}

// faultInterval returns the time between two faults. At most two engines are paused at a time.
func faultInterval(k faultKind) time.Duration {
	if k == enginePause {
		return pauseLength / 2
	}
	return faultSpacing
}

// affectedCallers returns the callers whose answers depend on the engine or entry VM about to fail.
func affectedCallers(w *world.World, k faultKind, n int, list []*caller) []*caller {
	var affected []*caller
	read := w.StreamingGenerations(n)
	for _, c := range list {
		id, vm := c.current()
		if k == routerCrash && vm == n%vms || k != routerCrash && slices.Contains(read, id) {
			affected = append(affected, c)
		}
	}
	return affected
}

func collectResult(w *world.World, list []*caller, faults []fault) (*result, error) {
	r := &result{latency: hdrhistogram.New(1, time.Minute.Microseconds(), 3)}
	for _, h := range faults {
		for _, c := range h.affected {
			if d := c.longestStall(h.at); d > 0 {
				_ = r.latency.RecordValue(d.Microseconds()) // drainTimeout keeps stalls below the maximum of a minute
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
	r.journalBytes = w.SumCounter("generation_journal_bytes_total")
	r.primings = w.SumCounter("generation_primings_total")
	r.suspected = w.SumCounter("generation_attempts_suspected_total")
	r.falseSuspicions = w.SumCounter("generation_false_suspicions_total")
	return r, nil
}

// extraTokens returns the work beyond what each request needs once, in units of generated tokens:
// tokens that no caller received and the cost of repeated prefill.
func (r *result) extraTokens() float64 {
	again := int(r.prefilled) - r.promptTokens
	return float64(int(r.generated)-r.tokens) + budget.TakeoverCost(again)
}

// extraTokensPercent returns the extra tokens in percent of the tokens received.
func (r *result) extraTokensPercent() float64 { return 100 * r.extraTokens() / float64(r.tokens) }

// extraTokensPerAffected returns the extra tokens per affected answer.
func (r *result) extraTokensPerAffected() float64 {
	return r.extraTokens() / float64(max(r.affectedAnswers, 1))
}
