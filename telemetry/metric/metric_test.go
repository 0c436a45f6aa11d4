package metric

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/shoenig/test"
)

func TestCatalogueDescribes(t *testing.T) {
	c := NewCatalogue()
	Register(c,
		prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: Namespace, Name: "wait_seconds", Help: `A "wait".`, Buckets: LatencyBuckets()}),
		prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: Namespace, Name: "asks_total", Help: "Asks."}, []string{"class", "reason"}),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: Namespace, Name: "open", Help: "Open."}, func() float64 { return 1 }),
	)
	test.Eq(t, []Info{
		{Name: "mallowwind_asks_total", Kind: "counter", Labels: []string{"class", "reason"}, Help: "Asks."},
		{Name: "mallowwind_open", Kind: "gauge", Help: "Open."},
		{Name: "mallowwind_wait_seconds", Kind: "histogram", Help: `A "wait".`},
	}, c.Infos())
	test.StrContains(t, string(c.Page()), "| `mallowwind_asks_total` | counter | `class`, `reason` | Asks. |\n")
}

func TestNameRegisteredTwiceIsRefused(t *testing.T) {
	c := NewCatalogue()
	g := prometheus.GaugeOpts{Name: "open", Help: "Open."}
	test.NoError(t, c.Register(prometheus.NewGauge(g)))
	test.Error(t, c.Register(prometheus.NewGauge(g)))
	test.SliceLen(t, 1, c.Infos())
}

func TestRegisterWithoutRegistry(t *testing.T) {
	Register(nil, prometheus.NewGauge(prometheus.GaugeOpts{Name: "open"}))
}
