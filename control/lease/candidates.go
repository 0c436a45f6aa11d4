package lease

import (
	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"

	"mallowwind.dev/control/membership"
)

// Rank returns this daemon's rank, from 0, among the candidates of its zone, or -1 if it is not a
// candidate. While the daemons' views differ, after a change or during a partition, more or other
// daemons compete; the store still lets only one of them hold the lease.
func Rank(view *membership.View, candidates int) int {
	self := view.Self
	if self.State == membership.Leaving {
		return -1
	}
	own := weight(self)
	rank := 0
	for _, m := range view.Members {
		if m.ID == self.ID || m.Zone != self.Zone || m.State != membership.Alive {
			continue
		}
		if w := weight(m); w > own || (w == own && m.ID < self.ID) {
			rank++
		}
	}
	if rank >= candidates {
		return -1
	}
	return rank
}

// weight is the member's rendezvous hash; the members with the highest weights are candidates.
func weight(m membership.Member) uint64 { return xxhash.Sum64String(m.Zone + "\x00" + m.ID) }

type metrics struct {
	storeCalls, acquired prometheus.Counter
	held                 prometheus.Gauge
}

func newMetrics(r prometheus.Registerer) metrics {
	m := metrics{
		storeCalls: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "mallowwind_lease_store_calls_total", Help: "Calls to the store for the zone's lease.",
		}),
		acquired: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "mallowwind_lease_taken_total", Help: "Times this daemon became the zone's holder.",
		}),
		held: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "mallowwind_lease_held", Help: "1 while this daemon holds the zone's lease.",
		}),
	}
	if r != nil {
		r.MustRegister(m.storeCalls, m.acquired, m.held)
	}
	return m
}
