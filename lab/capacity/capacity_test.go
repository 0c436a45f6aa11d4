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

func TestPageEqualsArithmetic(t *testing.T) {
	want, err := Page(measurements)
	must.NoError(t, err)
	have, err := os.ReadFile(pageFile)
	must.NoError(t, err)
	test.Eq(t, string(want), string(have), test.Sprint(
		"docs/CAPACITY.md and the arithmetic differ; run: go run ./cmd/mallowctl capacity --write docs/CAPACITY.md"))
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

const relayed = "answers relayed, their copies on another daemon included"

// line is a slope of a + b*x without any error.
func line(name string, a, b float64) *report.Slope {
	s := &report.Slope{Name: name, X: report.Col("things", ""), Y: report.Col("cost", "µs")}
	for _, x := range []float64{1, 2, 3, 4} {
		s.Points = append(s.Points, report.Point{X: x, Y: []float64{a + b*x}})
	}
	if err := s.Refit(); err != nil {
		panic(err)
	}
	return s
}

func find(t *testing.T, rows []Row, role Role, what string, unit Unit) Row {
	t.Helper()
	for _, r := range rows {
		if r.Role == role && r.What == what && r.Unit == unit {
			return r
		}
	}
	t.Fatalf("no row %q", what)
	return Row{}
}

func TestProductOfSizeAndSlope(t *testing.T) {
	m := NewModel(Target(), map[string]*report.Slope{
		slopeRelay:    line(slopeRelay, 5, 10),
		slopeKnown:    line(slopeKnown, 100, 0.1),
		slopeDispatch: line(slopeDispatch, 1000, 2),
	})
	relay := find(t, m.Rows(), Entry, relayed, Core)
	test.InDelta(t, 3.3e6/390*10e-6+8200.0/390*5e-6, relay.Value(), 1e-9)
	test.Eq(t, "8.472 % of a core", relay.Result())
	route := find(t, m.Rows(), Entry, "of these: dispatch, at the backend servers known", Core)
	test.InDelta(t, 8200.0/390*(1000+2*290)*1e-9, route.Value(), 1e-12)
	test.StrContains(t, route.Work(), "at 290 things (`flow_cpu_backends`)")
}

func TestUnmeasuredRowsClaimNothing(t *testing.T) {
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
	slopes := map[string]*report.Slope{slopeQuietCPU: line(slopeQuietCPU, 0, 39)}
	m := NewModel(Target(), slopes)
	sum := find(t, m.Rows(), Entry, "control in all", Core)
	test.InDelta(t, 0.039, sum.Value(), 1e-9)
	test.StrHasPrefix(t, "at least 3.9", sum.Result())
	test.StrContains(t, sum.Work(), "not measured")
	test.True(t, sum.Within())

	slopes[slopeQuietCPU] = line(slopeQuietCPU, 0, 78)
	sum = find(t, m.Rows(), Entry, "control in all", Core)
	test.False(t, sum.Within())
	test.StrContains(t, sum.Status(), "1.8 times")
}

func TestErrorOfSlopeReachesTheRow(t *testing.T) {
	s := line(slopeRelay, 0, 10)
	s.Points[3].Y[0] += 8
	must.NoError(t, s.Refit())
	m := NewModel(Target(), map[string]*report.Slope{slopeRelay: s})
	r := find(t, m.Rows(), Entry, relayed, Core)
	answer := Target().TokensPerAnswer()
	test.InDelta(t, math.Hypot(s.Fit.MaxResidual(), s.Fit.SlopeError*answer)/s.Fit.At(answer), r.Error()/r.Value(), 1e-9)
	test.StrContains(t, r.Result(), "±")
}

func TestRowsBeyondTheirBoundNameWhatWillCarryThem(t *testing.T) {
	slopes, err := report.LoadSlopes(measurements)
	must.NoError(t, err)
	for _, r := range NewModel(Target(), slopes).Rows() {
		if !r.Within() {
			test.NotEq(t, "", r.Beyond, test.Sprintf("%s, %s: %s", r.Role, r.What, r.Status()))
		}
	}
}

func TestEveryRowNamesItsCarrier(t *testing.T) {
	m := NewModel(Target(), nil)
	rows := m.Rows()
	for _, f := range m.Failures() {
		rows = append(rows, f.Rows...)
	}
	for _, r := range rows {
		test.NotEq(t, "", strings.TrimSpace(r.Carrier), test.Sprint(r.What))
	}
}
