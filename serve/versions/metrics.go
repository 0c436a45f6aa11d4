package versions

import (
	"github.com/prometheus/client_golang/prometheus"

	"mallowwind.dev/decision/rollout"
	"mallowwind.dev/telemetry/metric"
)

type metrics struct {
	stages       *prometheus.CounterVec
	failedWrites prometheus.Counter
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		stages: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metric.Namespace, Subsystem: "rollout", Name: "stages_total", Help: "Stages that roll-outs have come to, as this daemon learned of them.",
		}, []string{"stage"}),
		failedWrites: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: metric.Namespace, Subsystem: "rollout", Name: "writes_failed_total", Help: "Attempts to write how far a roll-out is that failed.",
		}),
	}
	if r != nil {
		r.MustRegister(m.stages, m.failedWrites)
	}
	return m
}

func (m *metrics) recordStage(s rollout.Stage) { m.stages.WithLabelValues(s.String()).Inc() }
