package report

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Slope is a recorded measurement of how a quantity grows with a size. The capacity
// model behind docs/CAPACITY.md is calculated from slopes.
type Slope struct {
	Name    string    `json:"name"` // file name without extension
	Help    string    `json:"help"` // what was run and what was counted
	Command string    `json:"command"`
	Seed    uint64    `json:"seed"`
	Taken   time.Time `json:"taken"`
	Machine Machine   `json:"machine"`
	X       Column    `json:"x"`
	Y       Column    `json:"y"`
	Points  []Point   `json:"points"`
	Fit     Fit       `json:"fit"` // of the medians
}

// Point holds the values measured at one size, one for each repetition.
type Point struct {
	X float64   `json:"x"`
	Y []float64 `json:"y"`
}

// Median returns the median of the repetitions, the lower one of two middle values.
func (p Point) Median() float64 {
	y := slices.Sorted(slices.Values(p.Y))
	return y[(len(y)-1)/2]
}

// Spread returns the smallest and largest value of the repetitions.
func (p Point) Spread() (lo, hi float64) { return slices.Min(p.Y), slices.Max(p.Y) }

// Refit calculates Fit from Points. It returns an error if there are too few sizes.
func (s *Slope) Refit() error {
	var x, y []float64
	for _, p := range s.Points {
		x, y = append(x, p.X), append(y, p.Median())
	}
	f, err := LeastSquares(x, y)
	s.Fit = f
	return errors.Wrapf(err, "slope %s", s.Name)
}

// Unit returns the unit of the slope, such as µs/token.
func (s *Slope) Unit() string {
	return strings.TrimSpace(s.Y.Unit + "/" + strings.TrimSuffix(s.X.Name, "s"))
}

// MaxSpread returns the largest ratio, over all sizes, of the spread of the repetitions to their
// median.
func (s *Slope) MaxSpread() float64 {
	var worst float64
	for _, p := range s.Points {
		lo, hi := p.Spread()
		if m := p.Median(); m > 0 {
			worst = max(worst, (hi-lo)/m)
		}
	}
	return worst
}

// Save writes Name.json and the plot Name.svg to dir.
func (s *Slope) Save(dir string) error {
	b, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return errors.Wrapf(err, "slope %s", s.Name)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "slope")
	}
	file := filepath.Join(dir, s.Name+".json")
	if err := os.WriteFile(file, append(b, '\n'), 0o644); err != nil {
		return errors.Wrap(err, "slope")
	}
	_, err = s.plot().Save(dir)
	return err
}

func (s *Slope) plot() *Plot {
	p := &Plot{Name: s.Name, Title: s.Help, XLabel: s.X.String(), YLabel: s.Y.String()}
	var x, y []float64
	for _, point := range s.Points {
		for _, v := range point.Y {
			x, y = append(x, point.X), append(y, v)
		}
	}
	p.Fitted("measured", x, y, s.Fit)
	return p
}

// LoadSlopes reads all recorded slopes in dir and returns them by name. It recalculates
// each fit from the points, so that a fit edited by hand has no effect.
func LoadSlopes(dir string) (map[string]*Slope, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, errors.Wrap(err, "slopes")
	}
	out := make(map[string]*Slope, len(files))
	for _, file := range files {
		s, err := readSlope(file)
		if err != nil {
			return nil, err
		}
		out[s.Name] = s
	}
	return out, nil
}

func readSlope(file string) (*Slope, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "slope")
	}
	s := new(Slope)
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(s); err != nil {
		return nil, errors.Wrapf(err, "slope %s", file)
	}
	if want := strings.TrimSuffix(filepath.Base(file), ".json"); s.Name != want {
		return nil, errors.Errorf("slope file %s contains name %s", file, s.Name)
	}
	return s, s.Refit()
}

// Summary returns the slope, its errors, its spread and the command in one line.
func (s *Slope) Summary() string {
	return fmt.Sprintf("%s: %s ± %s %s, R² %.3f, largest residual %s %s, spread %.0f%%; %s",
		s.Name, Format(s.Fit.Slope), Format(s.Fit.SlopeError), s.Unit(), s.Fit.R2,
		Format(s.Fit.MaxResidual()), s.Y.Unit, 100*s.MaxSpread(), s.Command)
}
