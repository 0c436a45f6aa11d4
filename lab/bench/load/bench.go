package load

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"mallowwind.dev/lab/bench/physics"
	"mallowwind.dev/lab/report"
)

// Options of the experiment.
type Options struct {
	Dir        string
	Deployment string
	Scenario   string // one of Names, or empty for all
	Engines    string // "beside" or "chunked", empty for the first
	Seed       uint64
	Log        io.Writer
	Now        time.Time // stamps the report
}

// concurrentRuns bounds the processors that the experiment takes; each run is
// one goroutine and depends on nothing but its seed.
const concurrentRuns = 4

// study is an experiment that is not a pattern of load against all policies.
type study struct {
	name, story string
	run         func(r *report.Report, d deployment, seed uint64) error
}

// Names lists the scenarios and studies.
func Names() []string {
	var names []string
	for _, s := range scenarios {
		names = append(names, s.Name)
	}
	for _, s := range studies() {
		names = append(names, s.name)
	}
	return names
}

// Run plays the scenarios and writes the report into o.Dir.
func Run(ctx context.Context, o Options) error {
	d, err := deploymentNamed(o.Deployment)
	if err != nil {
		return err
	}
	if o.Engines != "" {
		if d.engines, err = physics.EngineByName(o.Engines); err != nil {
			return err
		}
	}
	command := fmt.Sprintf("go run ./cmd/mallowctl bench load --out DIR --deployment %s --seed %d", d.name, o.Seed)
	if d.engines.Name != physics.SeparatePrefill.Name {
		command += " --engines " + d.engines.Name
	}
	if o.Scenario != "" {
		command += " --scenario " + o.Scenario
	}
	r := report.New("Decisions under load: "+d.name, command, o.Seed, o.Now)
	describe(r, d)
	found := false
	for _, s := range scenarios {
		if o.Scenario != "" && o.Scenario != s.Name {
			continue
		}
		found = true
		if err := play(ctx, r, d, s, o); err != nil {
			return err
		}
	}
	for _, s := range studies() {
		if o.Scenario != "" && o.Scenario != s.name {
			continue
		}
		found = true
		fmt.Fprintln(o.Log, "study", s.name)
		r.Note(s.name + ": " + s.story)
		if err := s.run(r, d, o.Seed); err != nil {
			return err
		}
	}
	if !found {
		return errors.Errorf("scenario %q is none of %v", o.Scenario, Names())
	}
	return r.Write(o.Dir)
}

// play runs one scenario against every policy.
func play(ctx context.Context, r *report.Report, d deployment, s scenario, o Options) error {
	fmt.Fprintln(o.Log, "scenario", s.Name)
	c := measureCapacity(d, s.shares, o.Seed)
	results := make([]Result, len(Policies)+1)
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(concurrentRuns)
	for i, p := range Policies {
		g.Go(func() error {
			results[i] = runScenario(d, s, p, c, o.Seed)
			return ctx.Err()
		})
	}
	g.Go(func() error {
		results[len(Policies)] = runScenario(d, s.reference(), Product, c, o.Seed)
		return ctx.Err()
	})
	if err := g.Wait(); err != nil {
		return errors.Wrap(err, "interrupted")
	}
	show(r, s, results[:len(Policies)])
	targets(r, s, results[0], results[len(Policies)])
	return nil
}

// reference is what a scenario's result is held against: the same load
// without the fault, or a tenth of capacity with the same mix. The latter has
// few requests, so it is measured longer.
func (s scenario) reference() scenario {
	ref := s
	ref.faults, ref.factor, ref.peak, ref.heavy = nil, nil, 0, 0
	if s.Name != "straggler" {
		ref.load, ref.desk, ref.span = 0.1, 0.1*s.desk/s.load, 5*measured
	}
	return ref
}
