package report

import (
	"math"

	"github.com/pkg/errors"
	"gonum.org/v1/gonum/stat"
)

// MinFitPoints is the minimum number of different sizes for a fit: with fewer, the
// residuals do not show whether the relation is linear.
const MinFitPoints = 4

// Fit is a least-squares fit of the line y = Intercept + Slope*x.
type Fit struct {
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	// SlopeError is the standard error of Slope.
	SlopeError float64 `json:"slope_error"`
	R2         float64 `json:"r2"`
	// Residuals are the measured minus the fitted values, in the order of the points.
	Residuals []float64 `json:"residuals"`
}

// LeastSquares fits a line to the points. It returns an error if there are
// fewer than MinFitPoints different x values.
func LeastSquares(x, y []float64) (Fit, error) {
	if len(x) != len(y) {
		return Fit{}, errors.Errorf("fit: %d x values and %d y values", len(x), len(y))
	}
	if n := distinctCount(x); n < MinFitPoints {
		return Fit{}, errors.Errorf("fit: %d different x values, need at least %d", n, MinFitPoints)
	}
	a, b := stat.LinearRegression(x, y, nil, false)
	f := Fit{Intercept: a, Slope: b, R2: stat.RSquared(x, y, nil, a, b)}
	if math.IsNaN(f.R2) { // all y are equal, so the line fits exactly
		f.R2 = 1
	}
	var squares float64
	for i := range x {
		r := y[i] - (a + b*x[i])
		f.Residuals = append(f.Residuals, r)
		squares += r * r
	}
	squaresX := stat.Variance(x, nil) * float64(len(x)-1)
	f.SlopeError = math.Sqrt(squares / float64(len(x)-2) / squaresX)
	return f, nil
}

// At returns the fitted value at x.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }

// MaxResidual returns the largest absolute residual.
func (f Fit) MaxResidual() float64 {
	var m float64
	for _, r := range f.Residuals {
		m = max(m, math.Abs(r))
	}
	return m
}

func distinctCount(x []float64) int {
	seen := make(map[float64]bool, len(x))
	for _, v := range x {
		seen[v] = true
	}
	return len(seen)
}
