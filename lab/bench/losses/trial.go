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
	firstFault = 2 * time.Second
	faultEvery = 1500 * time.Millisecond
	faultLasts = time.Second
	pauseLasts = 6 * time.Second
	// drainLimit ends a trial whose last answers do not.
	drainLimit = 30 * time.Second
)

// kind is a kind of loss.
type kind string

// The losses of the experiment. A slow engine is no loss: whatever is done
// about it is needless.
const (
	engineDeath  kind = "engine death"
	enginePause  kind = "engine pause"
	silentStream kind = "silent connection"
	routerDeath  kind = "router death"
	slowEngine   kind = "slow engine"
)

var kinds = []kind{engineDeath, enginePause, silentStream, routerDeath, slowEngine}

// hit is one fault and the callers whose answers it met.
type hit struct {
	at  time.Time
	met []*caller
}

// result is what a trial gave.
type result struct {
	latency  *hdrhistogram.Histogram // microseconds, of the answers met
	losses   int                     // answers met
	requests int
	reads    int // prompt tokens of the requests
	failed   int
	tokens   int // received by callers, each once
	// generated, prefilled and begun are the engines' work.
	generated, prefilled, begun int64
	journalBytes, primings      float64
	suspected, falseSuspicions  float64
}

// run plays one trial in real time.
func run(ctx context.Context, v variant, k kind, seed uint64, duration time.Duration) (*result, error) {
	w := world.New(ctx, world.Config{
		Seed: seed, VMs: vms, Engines: engines, Weight: v.weight, Policy: v.of,
		Engine: enginesim.Config{StepBase: 25 * time.Millisecond, LoadTime: faultLasts / 2},
	})
	defer w.Close()
	ctx, cancel := context.WithTimeout(ctx, duration+drainLimit)
	defer cancel()
	var wg sync.WaitGroup
	list := make([]*caller, callers)
	until := time.Now().Add(duration)
	for i := range list {
		c := &caller{number: i, w: w, random: rand.New(rand.NewPCG(seed, uint64(i)))}
		list[i] = c
		wg.Go(func() { c.run(ctx, until) })
	}
	hits := strike(ctx, w, k, list, until)
	wg.Wait()
	return collect(w, list, hits)
}

// strike injects a fault every now and then until the given time. Each is
// undone while the experiment goes on.
func strike(ctx context.Context, w *world.World, k kind, list []*caller, until time.Time) []hit {
	var hits []hit
	pause.For(ctx, firstFault)
	for i := 0; time.Now().Before(until) && ctx.Err() == nil; i++ {
		h, undo := inject(w, k, i, list)
		hits = append(hits, h)
		time.AfterFunc(lasts(k), undo)
		pause.For(ctx, every(k))
	}
	pause.For(ctx, lasts(k))
	return hits
}

// inject carries out the i-th fault and returns what undoes it.
func inject(w *world.World, k kind, i int, list []*caller) (h hit, undo func()) {
	n := i % engines
	h = hit{at: time.Now(), met: meets(w, k, n, list)}
	e := w.Engines[n]
	undo = func() {}
	switch k {
	case engineDeath:
		e.Crash()
		undo = e.Restart
	case enginePause:
		e.Pause()
		undo = e.Unpause
	case silentStream:
		e.Silence()
	case routerDeath:
		w.Kill(i % vms)
		undo = func() { w.Replace(i % vms) }
	case slowEngine:
		e.SetSlowdown(6)
		undo = func() { e.SetSlowdown(1) }
	}
	return h, undo
}

// lasts is how long a fault of a kind lasts. A pause outlasts the fixed timeout.
func lasts(k kind) time.Duration {
	if k == enginePause {
		return pauseLasts
	}
	return faultLasts
}

// every spaces the faults; of paused engines there are two at most at a time.
func every(k kind) time.Duration {
	if k == enginePause {
		return pauseLasts / 2
	}
	return faultEvery
}

// meets finds the callers whose answers depend on what is about to fail.
func meets(w *world.World, k kind, n int, list []*caller) []*caller {
	var met []*caller
	read := w.StreamingGenerations(n)
	for _, c := range list {
		id, vm := c.at()
		if k == routerDeath && vm == n%vms || k != routerDeath && slices.Contains(read, id) {
			met = append(met, c)
		}
	}
	return met
}

func collect(w *world.World, list []*caller, hits []hit) (*result, error) {
	r := &result{latency: hdrhistogram.New(1, time.Minute.Microseconds(), 3)}
	for _, h := range hits {
		for _, c := range h.met {
			if d := c.waited(h.at); d > 0 {
				_ = r.latency.RecordValue(d.Microseconds()) // within a minute by drainLimit
				r.losses++
			}
		}
	}
	for _, c := range list {
		if c.broken != nil {
			return nil, c.broken
		}
		r.requests += c.requests
		r.reads += c.reads
		r.tokens += c.tokens
		r.failed += c.failed
	}
	s := w.Stats()
	r.generated, r.prefilled, r.begun = s.Tokens, s.Prefilled, s.Started
	r.journalBytes = w.SumCounter("generation_journal_bytes_total")
	r.primings = w.SumCounter("generation_primings_total")
	r.suspected = w.SumCounter("generation_attempts_suspected_total")
	r.falseSuspicions = w.SumCounter("generation_false_suspicions_total")
	return r, nil
}

// extraTokens is the work beyond what each request needs once, in generated
// tokens: tokens that no caller received, and what had to be read again.
func (r *result) extraTokens() float64 {
	again := int(r.prefilled) - r.reads
	return float64(int(r.generated)-r.tokens) + budget.TakeoverCost(again)
}

// extraShare is extraTokens for each hundred tokens received.
func (r *result) extraShare() float64 { return 100 * r.extraTokens() / float64(r.tokens) }

// perLoss is extraTokens for each answer met.
func (r *result) perLoss() float64 { return r.extraTokens() / float64(max(r.losses, 1)) }
