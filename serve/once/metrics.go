package once

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"mallowwind.dev/decision/slot"
)

// metrics are the metrics of calls that run at most once.
type metrics struct {
	calls      *prometheus.CounterVec
	moves      *prometheus.CounterVec
	bindTime   prometheus.Histogram
	owned      prometheus.Gauge
	keys       prometheus.Gauge
	violations prometheus.Counter
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mallowwind_once_calls_total", Help: "Calls that may not be repeated, by what the caller was told.",
		}, []string{"verdict", "code"}),
		moves: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mallowwind_once_slot_moves_total", Help: "Slots this daemon tried to take, by reason and result.",
		}, []string{"reason", "result"}),
		bindTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "mallowwind_once_bind_seconds", Help: "Time to bind a key at the witness.",
			Buckets: prometheus.ExponentialBuckets(0.0002, 2, 14),
		}),
		owned: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "mallowwind_once_slots_owned", Help: "Slots this daemon owns.",
		}),
		keys: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "mallowwind_once_keys", Help: "Keys this daemon remembers as owner or witness.",
		}),
		violations: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "mallowwind_once_invariant_violations_total", Help: "Invariants that did not hold. Any is a bug.",
		}),
	}
	r.MustRegister(m.calls, m.moves, m.bindTime, m.owned, m.keys, m.violations)
	return m
}

func (m *metrics) countCall(out outcome) {
	if out.err != nil {
		m.calls.WithLabelValues(out.err.Verdict.String(), string(out.err.Code)).Inc()
		return
	}
	m.calls.WithLabelValues("ran", "").Inc()
}

func (m *metrics) countMove(why slot.Reason, result string) {
	m.moves.WithLabelValues(why.String(), result).Inc()
}

func (m *metrics) observeBind(start time.Time) { m.bindTime.Observe(time.Since(start).Seconds()) }

func (m *metrics) setSizes(owned, keys int) {
	m.owned.Set(float64(owned))
	m.keys.Set(float64(keys))
}
