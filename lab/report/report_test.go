package report

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

func sample(t *testing.T) *Report {
	t.Helper()
	r := New("Sample", "mallowctl bench sample", 7, time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC))
	r.Machine = Machine{Cores: 4, Go: "go1", OS: "linux/amd64", Load: "0.50"}
	r.Param("zones", "3")
	waits := r.Table("Waits", Col("policy", ""), Col("p99", "ms"))
	waits.Add(Text("a|b"), Millis(1500*time.Microsecond))
	waits.Add(Text("none"), Count(12))
	h := hdrhistogram.New(1, int64(time.Minute), 3)
	for i := range int64(1000) {
		must.NoError(t, h.RecordValue((i+1)*1000))
	}
	r.Plot("waits", "Waits", "percentile", "ms").Latency("a", h, 1000)
	return r
}

func TestWriteAndRead(t *testing.T) {
	dir := t.TempDir()
	r := sample(t)
	must.NoError(t, r.Write(dir))
	back, err := Read(filepath.Join(dir, JSONFile))
	must.NoError(t, err)
	first, err := r.JSON()
	must.NoError(t, err)
	second, err := back.JSON()
	must.NoError(t, err)
	test.Eq(t, string(first), string(second))
	svg, err := os.ReadFile(filepath.Join(dir, "waits.svg"))
	must.NoError(t, err)
	test.True(t, bytes.Contains(svg, []byte("99.9")))
}

func TestMarkdown(t *testing.T) {
	md := string(sample(t).Markdown())
	test.StrContains(t, md, "| policy | p99 (ms) |\n| --- | --: |\n| a\\|b | 1.5 |\n| none | 12 |\n")
	test.StrContains(t, md, "load average 0.50")
	test.StrContains(t, md, "![Waits](waits.svg)")
}

func TestRowOfWrongLengthPanics(t *testing.T) {
	defer func() { test.NotNil(t, recover()) }()
	sample(t).Tables[0].Add(Count(1))
}

func TestLatencyLeavesOutQuantilesWithoutValues(t *testing.T) {
	p := sample(t).Plots[0]
	test.InDelta(t, 500, p.Series[0].Y[2], 1)
	last := p.Series[0].X[len(p.Series[0].X)-1]
	test.LessEq(t, 1000.5, last)
}

func TestLeastSquares(t *testing.T) {
	f, err := LeastSquares([]float64{1, 2, 3, 4}, []float64{5, 7, 9, 12})
	must.NoError(t, err)
	test.InDelta(t, 2.3, f.Slope, 1e-9)
	test.InDelta(t, 2.5, f.Intercept, 1e-9)
	test.InDelta(t, 0.4, f.MaxResidual(), 1e-9)
	test.InDelta(t, 0.9888, f.R2, 1e-4)
	test.InDelta(t, 0.1732, f.SlopeError, 1e-4)
	_, err = LeastSquares([]float64{1, 2, 3, 3}, []float64{5, 7, 9, 12})
	test.Error(t, err)
}

func TestFormat(t *testing.T) {
	for want, f := range map[string]float64{"12": 12, "0.1235": 0.123456, "3300000": 3.3e6, "12350": 12345.67, "-4.5": -4.5} {
		test.Eq(t, want, Format(f))
	}
}
