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

// Measurement is one quantity measured over several sizes.
type Measurement struct {
	Name  string
	Help  string
	X, Y  report.Column
	Sizes []int
	// Run measures once at one size and returns the quantity in Y's unit.
	Run func(ctx context.Context, size int, rng *rand.Rand) (float64, error)
}

// Options of a run.
type Options struct {
	Dir     string // where the slopes are recorded
	Only    string // name of the one measurement to run; empty for all
	Seed    uint64
	Repeats int
	Log     io.Writer // progress, one line a measurement
	Now     func() time.Time
}

// Run measures and records. It stops at the first error.
func Run(ctx context.Context, o Options) error {
	found := false
	for _, m := range All() {
		if o.Only != "" && o.Only != m.Name {
			continue
		}
		found = true
		s, err := m.measure(ctx, o)
		if err != nil {
			return errors.Wrapf(err, "slope %s", m.Name)
		}
		if err := s.Save(o.Dir); err != nil {
			return err
		}
		fmt.Fprintln(o.Log, s.Summary())
	}
	if !found {
		return errors.Errorf("no slope is called %q", o.Only)
	}
	return nil
}

// All returns every measurement.
func All() []Measurement {
	return slices.Concat(
		journalSlopes(),
	)
}

func (m Measurement) measure(ctx context.Context, o Options) (*report.Slope, error) {
	s := &report.Slope{
		Name: m.Name, Help: m.Help, X: m.X, Y: m.Y, Seed: o.Seed,
		Command: fmt.Sprintf("go run ./cmd/mallowctl bench slopes --only %s --seed %d --repeats %d", m.Name, o.Seed, o.Repeats),
		Taken:   o.Now().UTC().Truncate(time.Second),
		Machine: report.ThisMachine(),
		Points:  make([]report.Point, len(m.Sizes)),
	}
	rng := rand.New(rand.NewPCG(o.Seed, 0))
	for range o.Repeats {
		for i, size := range m.Sizes {
			y, err := m.Run(ctx, size, rng)
			if err != nil {
				return nil, errors.Wrapf(err, "at %d %s", size, m.X.Name)
			}
			s.Points[i].X = float64(size)
			s.Points[i].Y = append(s.Points[i].Y, y)
		}
	}
	return s, s.Refit()
}
