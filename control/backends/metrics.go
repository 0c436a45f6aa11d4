package backends

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	listReads, listReadFailures, polls, pollFailures prometheus.Counter
	known                                            prometheus.Gauge
}

func newMetrics(r prometheus.Registerer) metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: "mallowwind_backends_" + name, Help: help})
	}
	m := metrics{
		listReads:        counter("list_reads_total", "Reads of the VM list."),
		listReadFailures: counter("list_read_failures_total", "Reads of the VM list that failed or were not credible."),
		polls:            counter("status_polls_total", "Status polls of backend servers."),
		pollFailures:     counter("status_poll_failures_total", "Status polls that failed."),
		known: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "mallowwind_backends_known", Help: "Backend servers this daemon knows.",
		}),
	}
	if r != nil {
		r.MustRegister(m.listReads, m.listReadFailures, m.polls, m.pollFailures, m.known)
	}
	return m
}
