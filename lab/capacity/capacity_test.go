package capacity

import (
	"math"
	"os"
	"strings"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"mallowwind.dev/lab/report"
)

const (
	measurements = "../../docs/measurements"
	pageFile     = "../../docs/CAPACITY.md"
)

func TestPageIsUpToDate(t *testing.T) {
	want, err := Page(measurements)
	must.NoError(t, err)
	have, err := os.ReadFile(pageFile)
	must.NoError(t, err)
	test.Eq(t, string(want), string(have), test.Sprint(
		"docs/CAPACITY.md differs from the generated page; run: go run ./cmd/mallowctl capacity --write docs/CAPACITY.md"))
}

func TestPageNamesEveryNumberOfTheSize(t *testing.T) {
	page, err := Page(measurements)
	must.NoError(t, err)
	for _, number := range []string{
		"390", "1900", "15000", "8200/s", "3.3 million/s", "940ms", "30ms", "95 in 100", "8%", "within 6s",
		"810", "15 |", "3, 7;", "5200 a day", "within 9s", "4.4% of a core", "64 MB", "2 KB/s",
		"12 a day", "490 a day", "every month or two", "every other month", "1 hour",
	} {
		test.StrContains(t, string(page), number)
	}
}

const relayRow = "answers relayed, their copies on another daemon included"

// linearSlope returns a slope with the exact fit a + b*x.
func linearSlope(name string, a, b float64) *report.Slope {
	s := &report.Slope{Name: name, X: report.Col("things", ""), Y: report.Col("cost", "µs")}
	for _, x := range []float64{1, 2, 3, 4} {
		s.Points = append(s.Points, report.Point{X: x, Y: []float64{a + b*x}})
	}
	if err := s.Refit(); err != nil {
		panic(err)
	}
	return s
}

func findRow(t *testing.T, rows []Row, role Role, what string, unit Unit) Row {
	t.Helper()
	for _, r := range rows {
		if r.Role == role && r.Description == what && r.Unit == unit {
			return r
		}
	}
	t.Fatalf("row %q does not exist", what)
	return Row{}
}

func TestProductOfSizeAndSlope(t *testing.T) {
	m := NewModel(Target(), map[string]*report.Slope{
		slopeRelay:         linearSlope(slopeRelay, 5, 10),
		slopeBackendsKnown: linearSlope(slopeBackendsKnown, 100, 0.1),
		slopeDispatch:      linearSlope(slopeDispatch, 1000, 2),
	})
	relay := findRow(t, m.Rows(), Entry, relayRow, Core)
	test.InDelta(t, 3.3e6/390*10e-6+8200.0/390*5e-6, relay.Value(), 1e-9)
	test.Eq(t, "8.472 % of a core", relay.Result())
	route := findRow(t, m.Rows(), Entry, "of these: dispatch, at the backend servers known", Core)
	test.InDelta(t, 8200.0/390*(1000+2*290)*1e-9, route.Value(), 1e-12)
	test.StrContains(t, route.Formula(), "at 290 things (`flow_cpu_backends`)")
}

func TestUnmeasuredRowsShowNoValue(t *testing.T) {
	m := NewModel(Target(), nil)
	for _, r := range m.Rows() {
		for _, f := range r.Factors {
			if f.Slope != "" {
				test.Eq(t, "not measured", r.Result())
				test.StrNotContains(t, r.Status(), "%")
			}
		}
	}
}

func TestTotalSaysWhatIsMissing(t *testing.T) {
	slopes := map[string]*report.Slope{slopeIdleCPU: linearSlope(slopeIdleCPU, 0, 39)}
	m := NewModel(Target(), slopes)
	sum := findRow(t, m.Rows(), Entry, "control in all", Core)
	test.InDelta(t, 0.039, sum.Value(), 1e-9)
	test.StrHasPrefix(t, "at least 3.9", sum.Result())
	test.StrContains(t, sum.Formula(), "not measured")
	test.True(t, sum.IsWithinLimit())

	slopes[slopeIdleCPU] = linearSlope(slopeIdleCPU, 0, 78)
	sum = findRow(t, m.Rows(), Entry, "control in all", Core)
	test.False(t, sum.IsWithinLimit())
	test.StrContains(t, sum.Status(), "1.8 times")
}

func TestErrorOfSlopeReachesTheRow(t *testing.T) {
	s := linearSlope(slopeRelay, 0, 10)
	s.Points[3].Y[0] += 8
	must.NoError(t, s.Refit())
	m := NewModel(Target(), map[string]*report.Slope{slopeRelay: s})
	r := findRow(t, m.Rows(), Entry, relayRow, Core)
	answer := Target().TokensPerAnswer()
	test.InDelta(t, math.Hypot(s.Fit.MaxResidual(), s.Fit.SlopeError*answer)/s.Fit.At(answer), r.Error()/r.Value(), 1e-9)
	test.StrContains(t, r.Result(), "±")
}

func TestRowsOverTheirLimitHaveARemedy(t *testing.T) {
	slopes, err := report.LoadSlopes(measurements)
	must.NoError(t, err)
	for _, r := range NewModel(Target(), slopes).Rows() {
		if !r.IsWithinLimit() {
			test.NotEq(t, "", r.Remedy, test.Sprintf("%s, %s: %s", r.Role, r.Description, r.Status()))
		}
	}
}

func TestEveryRowNamesItsComponent(t *testing.T) {
	m := NewModel(Target(), nil)
	rows := m.Rows()
	for _, f := range m.Failures() {
		rows = append(rows, f.Rows...)
	}
	for _, r := range rows {
		test.NotEq(t, "", strings.TrimSpace(r.Component), test.Sprint(r.Description))
	}
}
