package metric

import (
	"bytes"
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
)

// Info describes one registered metric.
type Info struct {
	Name   string
	Kind   string // as in the exposition format: counter, gauge, histogram, summary
	Labels []string
	Help   string
}

// Catalogue is a prometheus.Registerer and prometheus.Gatherer with its own registry that records a
// description of each registered metric. It is safe for concurrent use.
type Catalogue struct {
	registry *prometheus.Registry
	mu       sync.Mutex
	infos    []Info
}

// NewCatalogue returns an empty catalogue.
func NewCatalogue() *Catalogue {
	return &Catalogue{registry: prometheus.NewRegistry()}
}

// Register implements prometheus.Registerer.
func (c *Catalogue) Register(col prometheus.Collector) error {
	if err := c.registry.Register(col); err != nil {
		return errors.Wrap(err, "metric")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.infos = append(c.infos, describe(col)...)
	return nil
}

// MustRegister implements prometheus.Registerer.
func (c *Catalogue) MustRegister(cols ...prometheus.Collector) {
	for _, col := range cols {
		if err := c.Register(col); err != nil {
			panic(err)
		}
	}
}

// Unregister implements prometheus.Registerer. The description of the metric is kept.
func (c *Catalogue) Unregister(col prometheus.Collector) bool { return c.registry.Unregister(col) }

// Gather implements prometheus.Gatherer.
func (c *Catalogue) Gather() ([]*dto.MetricFamily, error) { return c.registry.Gather() }

// Infos returns the registered metrics sorted by name.
func (c *Catalogue) Infos() []Info {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := slices.Clone(c.infos)
	slices.SortFunc(out, func(a, b Info) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Page returns the content of docs/metrics.md: the metrics as Markdown, sorted by name.
func (c *Catalogue) Page() []byte {
	var b bytes.Buffer
	b.WriteString("# Metrics\n\n" +
		"Served at `/metrics` on the operators' address. Written from what a daemon\n" +
		"registers; after a change, run\n\n" +
		"    go run ./cmd/mallowctl metrics --write docs/metrics.md\n\n" +
		"| name | kind | labels | meaning |\n|---|---|---|---|\n")
	for _, i := range c.Infos() {
		labels := ""
		if len(i.Labels) > 0 {
			labels = "`" + strings.Join(i.Labels, "`, `") + "`"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", i.Name, i.Kind, labels, i.Help)
	}
	return b.Bytes()
}

// descPattern extracts the fields of a prometheus.Desc from its string form. client_golang offers
// no other access to the name of a vector that has no children yet.
var descPattern = regexp.MustCompile(
	`fqName: ("(?:[^"\\]|\\.)*"), help: ("(?:[^"\\]|\\.)*").* variableLabels: \{(.*)\}\}$`)

func describe(c prometheus.Collector) []Info {
	descs := make(chan *prometheus.Desc)
	go func() {
		defer close(descs)
		c.Describe(descs)
	}()
	var out []Info
	for d := range descs {
		m := descPattern.FindStringSubmatch(d.String())
		if m == nil {
			continue
		}
		var i Info
		i.Name, _ = strconv.Unquote(m[1])
		i.Help, _ = strconv.Unquote(m[2])
		if m[3] != "" {
			i.Labels = strings.Split(m[3], ",")
		}
		i.Kind = collectorKind(c, i.Name)
		out = append(out, i)
	}
	return out
}

// collectorKind returns the kind of a collector. A collector of an unknown type is taken as a
// counter if its name ends in _total, and as a gauge otherwise.
func collectorKind(c prometheus.Collector, name string) string {
	switch v := c.(type) {
	case *prometheus.CounterVec:
		return "counter"
	case *prometheus.GaugeVec:
		return "gauge"
	case *prometheus.HistogramVec:
		return "histogram"
	case *prometheus.SummaryVec:
		return "summary"
	case prometheus.Metric:
		return metricKind(v)
	}
	if strings.HasSuffix(name, "_total") {
		return "counter"
	}
	return "gauge"
}

func metricKind(m prometheus.Metric) string {
	var out dto.Metric
	if m.Write(&out) != nil {
		return "untyped"
	}
	switch {
	case out.Counter != nil:
		return "counter"
	case out.Histogram != nil:
		return "histogram"
	case out.Summary != nil:
		return "summary"
	default:
		return "gauge"
	}
}
