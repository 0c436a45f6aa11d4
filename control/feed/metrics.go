package feed

import (
	"github.com/prometheus/client_golang/prometheus"

	"mallowwind.dev/external/store"
	"mallowwind.dev/telemetry/event"
	"mallowwind.dev/telemetry/metric"
)

// newRejectedCounter returns the counter of store entries that cannot be used.
func newRejectedCounter() prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: metric.Namespace, Subsystem: "feed", Name: "entries_refused_total",
		Help: "Entries of the store that cannot be used, counted anew when the reason changes.",
	})
}

// newStoreCallsCounter returns the counter of calls to the store.
func newStoreCallsCounter() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: metric.Namespace, Subsystem: "feed", Name: "store_calls_total",
		Help: "Calls to the store by why they were made and how they ended.",
	}, []string{"purpose", "result"})
}

// ObserveCall counts a call to the store and logs it. It is a store.Observer.
func (m *Manager) ObserveCall(c store.Call) {
	m.storeCalls.WithLabelValues(string(c.Purpose), c.Result()).Inc()
	m.opts.Log.Emit(event.StoreCall, c.Purpose, c.Path, c.Result(), c.Duration)
}

func (m *Manager) registerMetrics(r prometheus.Registerer) {
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: metric.Namespace, Subsystem: "feed", Name: name, Help: help,
		}, value)
	}
	metric.Register(r,
		m.table.rejectedTotal,
		m.storeCalls,
		gauge("config_version", "Version of the forwarding configuration in force; 0 while none is known.", func() float64 {
			if c := m.View().Config; c != nil {
				return float64(c.Version)
			}
			return 0
		}),
		gauge("config_age_seconds", "Time since the configuration was certainly the newest; -1 while none is known.", func() float64 {
			age, ok := m.ConfigAge()
			if !ok {
				return -1
			}
			return age.Seconds()
		}),
		gauge("servers", "Backend servers known.", func() float64 {
			n := 0
			for _, servers := range m.View().Servers {
				n += servers.Len()
			}
			return float64(n)
		}),
		gauge("vms", "Entry VMs registered.", func() float64 { return float64(len(m.View().VMs)) }),
	)
}
