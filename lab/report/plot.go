package report

import (
	"math"
	"path/filepath"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Dimensions of a plot.
const (
	plotWidth  = 7 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// Plot is a set of lines over common axes.
type Plot struct {
	Name   string   `json:"name"` // file name without extension
	Title  string   `json:"title"`
	XLabel string   `json:"x_label"`
	YLabel string   `json:"y_label"`
	LogX   bool     `json:"log_x,omitempty"`
	LogY   bool     `json:"log_y,omitempty"`
	Series []Series `json:"series"`
	// Percentiles is set if x values are 1/(1-quantile); the x axis is then labelled by percentile.
	Percentiles bool `json:"percentiles,omitempty"`
}

// Series is one line or, if Points is set, a set of unconnected points.
type Series struct {
	Name   string    `json:"name"`
	X      []float64 `json:"x"`
	Y      []float64 `json:"y"`
	Points bool      `json:"points,omitempty"`
}

// Line adds a line through the given values.
func (p *Plot) Line(name string, x, y []float64) {
	p.Series = append(p.Series, Series{Name: name, X: x, Y: y})
}

// Fitted adds measured points and their fitted line.
func (p *Plot) Fitted(name string, x, y []float64, f Fit) {
	p.Series = append(p.Series, Series{Name: name, X: x, Y: y, Points: true})
	lo, hi := slices.Min(x), slices.Max(x)
	p.Line("fit of "+name, []float64{lo, hi}, []float64{f.At(lo), f.At(hi)})
}

// quantiles are the quantiles that Latency draws.
var quantiles = []float64{0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.98, 0.99, 0.995, 0.998, 0.999, 0.9999}

// Latency adds the percentiles of h, divided by unit, and sets Percentiles and LogX.
// Quantiles with less than one value of h beyond them are left out.
func (p *Plot) Latency(name string, h *hdrhistogram.Histogram, unit float64) {
	p.Percentiles, p.LogX = true, true
	s := Series{Name: name}
	for _, q := range quantiles {
		if float64(h.TotalCount())*(1-q) < 1 {
			break
		}
		s.X = append(s.X, 1/(1-q))
		s.Y = append(s.Y, float64(h.ValueAtQuantile(q*100))/unit)
	}
	p.Series = append(p.Series, s)
}

// Save writes the plot to Name.svg in dir and returns the file name.
func (p *Plot) Save(dir string) (string, error) {
	g := plot.New()
	g.Title.Text, g.X.Label.Text, g.Y.Label.Text = p.Title, p.XLabel, p.YLabel
	g.Add(plotter.NewGrid())
	g.Legend.Top, g.Legend.Left = true, true
	p.setScales(g)
	for i, s := range p.Series {
		if err := addSeries(g, i, s); err != nil {
			return "", errors.Wrapf(err, "plot %s, series %s", p.Name, s.Name)
		}
	}
	file := p.Name + ".svg"
	return file, errors.Wrap(g.Save(plotWidth, plotHeight, filepath.Join(dir, file)), "plot")
}

func (p *Plot) setScales(g *plot.Plot) {
	if p.LogX {
		g.X.Scale, g.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	if p.LogY {
		g.Y.Scale, g.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	if p.Percentiles {
		g.X.Tick.Marker = percentileTicks
	}
}

var percentileTicks = plot.ConstantTicks{
	{Value: 2, Label: "50"},
	{Value: 10, Label: "90"},
	{Value: 100, Label: "99"},
	{Value: 1000, Label: "99.9"},
	{Value: 10000, Label: "99.99"},
}

func addSeries(g *plot.Plot, i int, s Series) error {
	if len(s.X) != len(s.Y) {
		return errors.Errorf("%d x values and %d y values", len(s.X), len(s.Y))
	}
	if len(s.X) == 0 {
		return nil
	}
	xy := make(plotter.XYs, len(s.X))
	for j := range s.X {
		if math.IsNaN(s.Y[j]) || math.IsInf(s.Y[j], 0) {
			return errors.Errorf("y is %v at x %v", s.Y[j], s.X[j])
		}
		xy[j].X, xy[j].Y = s.X[j], s.Y[j]
	}
	if s.Points {
		return plotutil.AddScatters(g, s.Name, xy)
	}
	line, err := plotter.NewLine(xy)
	if err != nil {
		return err
	}
	line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
	g.Add(line)
	g.Legend.Add(s.Name, line)
	return nil
}
