package capacity

import (
	"math"

	"mallowwind.dev/lab/report"
)

// Model combines the target size with the recorded slopes.
type Model struct {
	Size   Size
	Slopes map[string]*report.Slope
	used   map[string]bool
}

// NewModel returns a model of size with the given slopes.
func NewModel(size Size, slopes map[string]*report.Slope) *Model {
	return &Model{Size: size, Slopes: slopes, used: make(map[string]bool)}
}

// constant returns a factor that follows from the size or a constant in the code.
func constant(v float64, label string) Factor {
	return Factor{Raw: v, Scale: 1, Label: label, Known: true}
}

// slopeFactor returns the slope of a fit as a factor. scale converts it to the row's unit.
func (m *Model) slopeFactor(name string, scale float64) Factor {
	s := m.Slopes[name]
	if s == nil {
		return Factor{Slope: name}
	}
	m.used[name] = true
	f := Factor{Raw: s.Fit.Slope, Unit: s.Unit(), Scale: scale, Slope: name, Known: true}
	if s.Fit.Slope != 0 {
		f.Error = s.Fit.SlopeError / s.Fit.Slope
	}
	return f
}

// fittedFactor returns the fitted value at x as a factor. scale converts it to the row's
// unit. Its error combines the largest residual with the standard error of the slope times
// x, which dominates when extrapolating far beyond the measured sizes.
func (m *Model) fittedFactor(name string, x, scale float64) Factor {
	s := m.Slopes[name]
	if s == nil {
		return Factor{Slope: name}
	}
	m.used[name] = true
	f := Factor{
		Raw: s.Fit.At(x), Unit: s.Y.Unit, Scale: scale, Slope: name, Known: true,
		Label: "at " + report.Format(x) + " " + s.X.Name,
	}
	if f.Raw != 0 {
		f.Error = math.Hypot(s.Fit.MaxResidual(), s.Fit.SlopeError*x) / math.Abs(f.Raw)
	}
	return f
}
