// Package soak runs seeded random tests of a whole deployment and checks the product's invariants
// meanwhile.
//
// A run has callers of each kind, operators who apply competing texts, and faults that occur singly,
// in pairs and again right after they were healed. Other tests cover the parts in isolation; this
// package finds failures that need several faults at once. It runs over loopback in real time
// (mallowctl soak) or in memory in virtual time (the package's tests). A seed fixes the plan and
// the requests of the callers, but not the scheduling of goroutines.
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
	// completionLimit is how long after all faults are healed every request must have a complete
	// response or a visible failure.
	completionLimit = 60 * time.Second
	// inForceLimit is how long an accepted text may take to be in force at every daemon.
	inForceLimit = 9 * time.Second
	// lookupRecoveryLimit is how long after all faults are healed entry VMs must serve again.
	lookupRecoveryLimit = 12 * time.Second
)

// Options configure a run.
type Options struct {
	Plan   Plan
	Memory bool // in-memory pipes, for virtual time
	Logs   io.Writer
	// Callers is the number of callers of each kind; zero means the default.
	Callers int
	// MustServe makes a failed request a violation even where faults would allow it, except for
	// lookups: for scenarios that must not make requests fail.
	MustServe bool
}

const defaultCallers = 3

// Run executes one plan and returns its report. An error means that the deployment did not start,
// not that an invariant was broken.
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
	r.execute(ctx)
	return r.report(o.Plan), nil
}

// run is the state of one run.
type run struct {
	*recorder
	opts       Options
	deployment *stand.Deployment
	fleet      *fleet
	texts      *siteTexts
	calls      *callOutcomes
	notRun     *notRunVerdicts

	planOver chan struct{} // closed when all faults are healed; callers then start no new requests
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

// execute runs all clients until the plan is over, and then checks the recovery.
func (r *run) execute(ctx context.Context) {
	callers, stop := context.WithCancel(ctx)
	defer stop()
	watching, stopWatching := context.WithCancel(ctx)
	var watchers, actors sync.WaitGroup
	watchers.Go(func() { r.watchRevisions(watching) })
	r.startClients(callers, &actors)
	r.injectFaults(ctx)
	close(r.planOver)
	r.logEvent("all faults are healed")
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
		r.recordViolation("requests had neither completed nor failed %v after all faults were healed", completionLimit)
		<-ended
	}
	r.awaitStops()
	stopWatching()
	watchers.Wait()
	r.checkFinal(ctx)
}

// startClients starts the callers of each kind and the operators.
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

// shouldContinueAfter waits for d. It returns false if the plan is over or ctx ends.
func (r *run) shouldContinueAfter(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return !r.isOver()
	case <-r.planOver:
	case <-ctx.Done():
	}
	return false
}
