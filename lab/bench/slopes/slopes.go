// Package slopes measures how the cost of one daemon's work grows with the
// sizes that drive it, and records each as a report.Slope. The stacks run in
// this process on loopback; the repeats of all sizes are interleaved, so that
// a busy spell of the machine spreads over all sizes instead of bending the line.
package slopes

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/lab/report"
)

// Experiment varies one size and measures some quantities at each.
type Experiment struct {
	X          report.Column
	Sizes      []int
	Quantities []Quantity
	// Run measures once at one size and returns the quantities in their units.
	Run func(ctx context.Context, size int, rng *rand.Rand) ([]float64, error)
}

// Quantity is what one slope is about.
type Quantity struct {
	Name string // of the slope
	Help string
	Y    report.Column
}

// Options of a run.
type Options struct {
	Dir     string // where the slopes are recorded
	Only    string // name of one slope whose experiment alone is run; empty for all
	Seed    uint64
	Repeats int
	Log     io.Writer // progress, one line a slope
	Now     func() time.Time
}

// Experiments returns all of them.
func Experiments() []Experiment {
	return slices.Concat(
		flowExperiments(),
		backendExperiments(),
		journalExperiments(),
		siteExperiments(),
		placementExperiments(),
		relayExperiments(),
		resumeExperiments(),
		bindExperiments(),
		rosterExperiments(),
		fleetExperiments(),
	)
}

// Run measures and records. It stops at the first error.
func Run(ctx context.Context, o Options) error {
	found := false
	for _, e := range Experiments() {
		if o.Only != "" && !e.measures(o.Only) {
			continue
		}
		found = true
		slopes, err := e.run(ctx, o)
		if err != nil {
			return errors.Wrapf(err, "slope %s", e.Quantities[0].Name)
		}
		for _, s := range slopes {
			if err := s.Save(o.Dir); err != nil {
				return err
			}
			fmt.Fprintln(o.Log, s.Summary())
		}
	}
	if !found {
		return errors.Errorf("no slope is called %q", o.Only)
	}
	return nil
}

func (e Experiment) measures(name string) bool {
	return slices.ContainsFunc(e.Quantities, func(q Quantity) bool { return q.Name == name })
}

func (e Experiment) run(ctx context.Context, o Options) ([]*report.Slope, error) {
	slopes := e.prepare(o)
	rng := rand.New(rand.NewPCG(o.Seed, 0))
	for range o.Repeats {
		for i, size := range e.Sizes {
			values, err := e.Run(ctx, size, rng)
			if err != nil {
				return nil, errors.Wrapf(err, "at %d %s", size, e.X.Name)
			}
			for q, s := range slopes {
				s.Points[i].X = float64(size)
				s.Points[i].Y = append(s.Points[i].Y, values[q])
			}
		}
	}
	for _, s := range slopes {
		if err := s.Refit(); err != nil {
			return nil, err
		}
	}
	return slopes, nil
}

func (e Experiment) prepare(o Options) []*report.Slope {
	var out []*report.Slope
	for _, q := range e.Quantities {
		out = append(out, &report.Slope{
			Name: q.Name, Help: q.Help, X: e.X, Y: q.Y, Seed: o.Seed,
			Command: fmt.Sprintf("go run ./cmd/mallowctl bench slopes --only %s --seed %d --repeats %d", q.Name, o.Seed, o.Repeats),
			Taken:   o.Now().UTC().Truncate(time.Second),
			Machine: report.ThisMachine(),
			Points:  make([]report.Point, len(e.Sizes)),
		})
	}
	return out
}

// one adapts a run of a single quantity.
func one(run func(context.Context, int, *rand.Rand) (float64, error)) func(context.Context, int, *rand.Rand) ([]float64, error) {
	return func(ctx context.Context, n int, rng *rand.Rand) ([]float64, error) {
		v, err := run(ctx, n, rng)
		return []float64{v}, err
	}
}
