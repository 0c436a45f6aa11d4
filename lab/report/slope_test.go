package report

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

func sampleSlope(t *testing.T) *Slope {
	t.Helper()
	s := &Slope{Name: "cost", Help: "cost", X: Col("tokens", ""), Y: Col("CPU", "µs")}
	for _, x := range []float64{1, 2, 3, 4} {
		s.Points = append(s.Points, Point{X: x, Y: []float64{2 * x, 2*x + 9, 2*x - 0.1}})
	}
	must.NoError(t, s.Refit())
	return s
}

func TestSlopeIsFittedThroughMedians(t *testing.T) {
	s := sampleSlope(t)
	test.InDelta(t, 2, s.Fit.Slope, 1e-9)
	test.Eq(t, "µs/token", s.Unit())
	test.InDelta(t, 9.1/2, s.MaxSpread(), 1e-9)
}

func TestLoadSlopesDoesNotTrustTheRecordedFit(t *testing.T) {
	dir := t.TempDir()
	s := sampleSlope(t)
	s.Fit.Slope = 1
	must.NoError(t, s.Save(dir))
	all, err := LoadSlopes(dir)
	must.NoError(t, err)
	test.InDelta(t, 2, all["cost"].Fit.Slope, 1e-9)
}

func TestLoadSlopesRefusesMistakes(t *testing.T) {
	for name, text := range map[string]string{
		"unknown field": `{"name":"a","slope":3}`,
		"other name":    `{"name":"b"}`,
		"no points":     `{"name":"a"}`,
	} {
		dir := t.TempDir()
		must.NoError(t, os.WriteFile(filepath.Join(dir, "a.json"), []byte(text), 0o644))
		_, err := LoadSlopes(dir)
		test.Error(t, err, test.Sprint(name))
	}
}
