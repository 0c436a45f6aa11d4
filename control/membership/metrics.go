package membership

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	exchanges, failures, syncs, indirectlyReached prometheus.Counter
	knownMembers                                  prometheus.Gauge
	changes                                       *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer) metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: "mallowwind_membership_" + name, Help: help})
	}
	m := metrics{
		exchanges:         counter("exchanges_total", "Exchanges begun with other entry VMs."),
		failures:          counter("exchange_failures_total", "Exchanges that failed."),
		syncs:             counter("syncs_total", "Repairs of differing tables."),
		indirectlyReached: counter("indirect_total", "Members that only others could reach."),
		knownMembers: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "mallowwind_membership_known", Help: "Entry VMs believed alive, suspect or leaving, this one included.",
		}),
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mallowwind_membership_changes_total", Help: "Changes of belief by new state.",
		}, []string{"state"}),
	}
	if r != nil {
		r.MustRegister(m.exchanges, m.failures, m.syncs, m.indirectlyReached, m.knownMembers, m.changes)
	}
	return m
}
