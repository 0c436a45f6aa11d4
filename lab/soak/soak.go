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
	// completionLimit bounds callers after all is healed: whatever was begun has a
	// whole answer or a visible failure then.
	completionLimit = 60 * time.Second
	// inForceLimit is how long an accepted text may take to every daemon.
	inForceLimit = 9 * time.Second
	// lookupRecoveryLimit is when urgent lookups must be answered again after healing.
	lookupRecoveryLimit = 12 * time.Second
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
		EntriesPerZone: o.Plan.EntriesPerZone, IgnoreFence: o.Plan.IgnoreFence,
	})
	if err != nil {
		return nil, errors.Wrap(err, "start")
	}
	defer d.Close()
	r := newRun(o, d)
	r.execute(ctx)
	return r.report(o.Plan), nil
}

// run is one run under way.
type run struct {
	*recorder
	opts       Options
	deployment *stand.Deployment
	fleet      *fleet
	texts      *siteTexts
	calls      *callOutcomes
	notRun     *notRunVerdicts

	planOver chan struct{} // closed when all is healed; callers begin nothing new
}

func newRun(o Options, d *stand.Deployment) *run {
	r := &run{
		recorder: newRecorder(), opts: o, deployment: d, planOver: make(chan struct{}),
		texts: newSiteTexts(), calls: &callOutcomes{}, notRun: &notRunVerdicts{},
	}
	r.fleet = newFleet(d)
	return r
}

func (r *run) isOver() bool {
	select {
	case <-r.planOver:
		return true
	default:
		return false
	}
}

// execute runs everybody until the plan is over and then lets the system settle.
func (r *run) execute(ctx context.Context) {
	callers, stop := context.WithCancel(ctx)
	defer stop()
	watching, stopWatching := context.WithCancel(ctx)
	var watchers, actors sync.WaitGroup
	watchers.Go(func() { r.watchRevisions(watching) })
	r.startClients(callers, &actors)
	r.injectFaults(ctx)
	close(r.planOver)
	r.logEvent("all is healed")
	ended := make(chan struct{})
	go func() {
		actors.Wait()
		close(ended)
	}()
	r.checkRecovery(ctx)
	select {
	case <-ended:
	case <-time.After(completionLimit):
		stop()
		r.recordViolation("callers had neither a whole answer nor a failure %v after all was healed", completionLimit)
		<-ended
	}
	r.awaitStops()
	stopWatching()
	watchers.Wait()
	r.checkFinal(ctx)
}

// startClients starts callers of each kind and two operators.
func (r *run) startClients(ctx context.Context, wg *sync.WaitGroup) {
	kinds := []func(context.Context, *caller){r.readReviews, r.resubmitReviews, r.readUnstreamed, r.makeLookups, r.makeConfirmations}
	stream := uint64(callStream)
	for _, kind := range kinds {
		for range r.opts.Callers {
			stream++
			c := r.newCaller(rand.New(rand.NewPCG(r.opts.Plan.Seed, stream)), int(stream))
			wg.Go(func() { kind(ctx, c) })
		}
	}
	for i := range operatorCount {
		stream++
		rng := rand.New(rand.NewPCG(r.opts.Plan.Seed, stream))
		wg.Go(func() { r.runOperator(ctx, i, rng) })
	}
}

// shouldContinueAfter waits unless the plan is over or ctx ends; it reports whether to go on.
func (r *run) shouldContinueAfter(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return !r.isOver()
	case <-r.planOver:
	case <-ctx.Done():
	}
	return false
}
