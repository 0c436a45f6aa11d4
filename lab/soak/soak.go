// Package soak plays seeded random runs of a whole deployment and asserts the
// product's invariants while it runs.
//
// A run has callers of each kind, operators who apply texts against each other,
// and faults drawn singly, in pairs and again right after they healed. Parts are
// tested alone elsewhere; this finds what only shows when several fail at once.
// It runs over loopback in real time (mallowctl soak) or in memory in virtual
// time (the package's tests). A seed fixes the plan and what callers ask for;
// the order in which goroutines meet is not fixed by it.
package soak

import (
	"context"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/lab/stand"
)

const (
	// settleLimit bounds callers after all is healed: whatever was begun has a
	// whole answer or a visible failure then.
	settleLimit = 60 * time.Second
	// inForceLimit is how long an accepted text may take to every daemon.
	inForceLimit = 9 * time.Second
	// lookupsBack is when urgent lookups must be answered again after healing.
	lookupsBack = 12 * time.Second
)

// Options of a run.
type Options struct {
	Plan   Plan
	Memory bool // pipes in memory, for virtual time
	Logs   io.Writer
	// Callers is how many callers of each kind run; zero means the default.
	Callers int
	// MustServe makes a failed answer a violation, also where faults would
	// allow it: for stories that must cost nothing.
	MustServe bool
}

const defaultCallers = 3

// Run plays one plan and reports. The error is of the harness: a deployment
// that did not start, not an invariant that broke.
func Run(ctx context.Context, o Options) (*Report, error) {
	if o.Callers == 0 {
		o.Callers = defaultCallers
	}
	text := stand.DemoText
	if o.Plan.IgnoreFence {
		text = strings.Replace(text, "fencing = yes", "fencing = no", 1)
	}
	d, err := stand.Start(ctx, stand.Options{
		Seed: o.Plan.Seed, Memory: o.Memory, Logs: o.Logs, Text: text, Site: "demo", Zones: stand.DemoZones(),
		EntriesPerZone: o.Plan.EntriesPerZone, IgnoreFencing: o.Plan.IgnoreFence,
	})
	if err != nil {
		return nil, errors.Wrap(err, "start")
	}
	defer d.Close()
	r := newRun(o, d)
	r.play(ctx)
	return r.report(o.Plan), nil
}

// run is one run under way.
type run struct {
	*ledger
	opts  Options
	stand *stand.Deployment
	fleet *fleet
	texts *texts
	calls *callBook
	owed  *owedBook

	planOver chan struct{} // closed when all is healed; callers begin nothing new
}

func newRun(o Options, d *stand.Deployment) *run {
	r := &run{
		ledger: newLedger(), opts: o, stand: d, planOver: make(chan struct{}),
		texts: newTexts(), calls: &callBook{}, owed: &owedBook{},
	}
	r.fleet = newFleet(d)
	return r
}

func (r *run) over() bool {
	select {
	case <-r.planOver:
		return true
	default:
		return false
	}
}

// play runs everybody until the plan is over and then lets the system settle.
func (r *run) play(ctx context.Context) {
	callers, stop := context.WithCancel(ctx)
	defer stop()
	watching, stopWatching := context.WithCancel(ctx)
	var watchers, actors sync.WaitGroup
	watchers.Go(func() { r.watch(watching) })
	r.startActors(callers, &actors)
	r.faults(ctx)
	close(r.planOver)
	r.note("all is healed")
	ended := make(chan struct{})
	go func() {
		actors.Wait()
		close(ended)
	}()
	r.settle(ctx)
	select {
	case <-ended:
	case <-time.After(settleLimit):
		stop()
		r.violate("callers had neither a whole answer nor a failure %v after all was healed", settleLimit)
		<-ended
	}
	r.awaitStops()
	stopWatching()
	watchers.Wait()
	r.judge(ctx)
}

// startActors starts callers of each kind and two operators.
func (r *run) startActors(ctx context.Context, wg *sync.WaitGroup) {
	kinds := []func(context.Context, *caller){r.reviews, r.resubmissions, r.wholes, r.lookups, r.confirmations}
	stream := uint64(callStream)
	for _, kind := range kinds {
		for range r.opts.Callers {
			stream++
			c := r.newCaller(rand.New(rand.NewPCG(r.opts.Plan.Seed, stream)), int(stream))
			wg.Go(func() { kind(ctx, c) })
		}
	}
	for i := range operators {
		stream++
		rng := rand.New(rand.NewPCG(r.opts.Plan.Seed, stream))
		wg.Go(func() { r.operate(ctx, i, rng) })
	}
}

// pause waits unless the plan is over or ctx ends; it reports whether to go on.
func (r *run) pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return !r.over()
	case <-r.planOver:
	case <-ctx.Done():
	}
	return false
}
