package reach

import (
	"github.com/prometheus/client_golang/prometheus"

	"mallowwind.dev/peer/tunnel"
	"mallowwind.dev/telemetry/metric"
)

// metrics counts connections through other daemons.
type metrics struct {
	relayed  *prometheus.CounterVec
	tunnels  *prometheus.CounterVec
	pathLost prometheus.Gauge
}

func newMetrics(r prometheus.Registerer) *metrics {
	name := func(n, help string) prometheus.Opts {
		return prometheus.Opts{Namespace: metric.Namespace, Subsystem: "reach", Name: n, Help: help}
	}
	m := &metrics{
		relayed:  prometheus.NewCounterVec(prometheus.CounterOpts(name("relayed_total", "Connections to backend servers through another daemon, by the path that was chosen.")), []string{"path"}),
		tunnels:  prometheus.NewCounterVec(prometheus.CounterOpts(name("tunnels_total", "Requests of other daemons for a connection through this one, by result.")), []string{"result"}),
		pathLost: prometheus.NewGauge(prometheus.GaugeOpts(name("path_lost", "1 while other daemons reach backend servers that this one does not."))),
	}
	metric.Register(r, m.relayed, m.tunnels, m.pathLost)
	return m
}

// countTunnel counts a request of another daemon for a connection.
func (m *metrics) countTunnel(refusal tunnel.Refusal) {
	result := string(refusal)
	if refusal == "" {
		result = "opened"
	}
	m.tunnels.WithLabelValues(result).Inc()
}
