package flow

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"mallowwind.dev/decision/admit"
	"mallowwind.dev/decision/budget"
	"mallowwind.dev/decision/health"
	"mallowwind.dev/decision/loading"
	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/telemetry/event"
)

// observer writes the log line and counts the metric of each decision, both
// from the decision's typed reason.
type observer struct {
	log        *event.Log
	dispatches *prometheus.CounterVec
	refusals   *prometheus.CounterVec
	states     *prometheus.CounterVec
	expenses   *prometheus.CounterVec
	outcomes   *prometheus.CounterVec
	loads      *prometheus.CounterVec
	waits      *prometheus.HistogramVec
	backlog    *prometheus.GaugeVec
	slots      *prometheus.GaugeVec
}

// newObserver registers the metrics with r, which may be nil.
func newObserver(log *event.Log, r prometheus.Registerer) *observer {
	if log == nil {
		log = event.Discard()
	}
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "mallowwind", Subsystem: "flow", Name: name, Help: help,
		}, labels)
	}
	gauge := func(name, help string, labels ...string) *prometheus.GaugeVec {
		return prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: "mallowwind", Subsystem: "flow", Name: name, Help: help,
		}, labels)
	}
	o := &observer{
		log:        log,
		dispatches: counter("dispatched_total", "Requests given a backend server.", "class", "reason"),
		refusals:   counter("refused_total", "Requests turned away without running.", "class", "code"),
		states:     counter("backend_state_total", "Changes of how a backend server is treated.", "to", "reason"),
		expenses:   counter("budget_total", "Retries and takeovers charged or denied.", "reason"),
		outcomes:   counter("finished_total", "Dispatched work that ended.", "class", "result"),
		loads:      counter("loading_total", "Requests for a model that is only loading.", "reason"),
		backlog:    gauge("waiting_requests", "Requests waiting for a backend server.", "pool", "model"),
		slots:      gauge("slots", "Requests that may run at once.", "pool", "model"),
		waits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "mallowwind", Subsystem: "flow", Name: "wait_seconds",
			Help:    "Time from arrival to dispatch.",
			Buckets: []float64{.001, .005, .02, .1, .5, 1, 2, 5, 10, 30, 60},
		}, []string{"class"}),
	}
	if r != nil {
		r.MustRegister(o.dispatches, o.refusals, o.states, o.expenses, o.outcomes, o.loads, o.backlog, o.slots, o.waits)
	}
	return o
}

func accountName(w *Waiter) string { return w.item.Account }

func (o *observer) dispatched(now time.Time, w *Waiter, l *Lease) {
	class, wait := w.item.Class.String(), now.Sub(w.arrived)
	o.dispatches.WithLabelValues(class, string(l.reason)).Inc()
	o.waits.WithLabelValues(class).Observe(wait.Seconds())
	o.log.Emit(event.RequestDispatched, w.ask.RequestID, accountName(w), w.ask.Service.Name, class,
		l.server.backend.ID, l.server.backend.Zone, l.reason, wait, l.server.load.InFlight, l.server.load.Limit)
}

func (o *observer) queued(w *Waiter, d admit.Decision) {
	o.log.Emit(event.RequestQueued, w.ask.RequestID, accountName(w), w.ask.Service.Name,
		w.item.Class.String(), d.Reason, d.PredictedWait)
}

func (o *observer) refused(_ time.Time, w *Waiter, err *verdict.Error) {
	o.refusals.WithLabelValues(w.item.Class.String(), string(err.Code)).Inc()
	o.log.Emit(event.RequestRefused, w.ask.RequestID, accountName(w), w.ask.Service.Name,
		w.item.Class.String(), err.Message, err.Code, err.RetryAfter)
}

func (o *observer) budget(w *Waiter, why budget.Reason, balance float64) {
	kind := "retry"
	if w.ask.Resume {
		kind = "takeover"
	}
	o.expenses.WithLabelValues(string(why)).Inc()
	o.log.Emit(event.BudgetDecided, w.ask.RequestID, kind, why, w.item.Cost, balance)
}

func (o *observer) done(l *Lease, out Outcome) {
	result := "ok"
	switch {
	case out.Cancelled:
		result = "cancelled"
	case out.Err != nil:
		result = "failed"
	}
	o.outcomes.WithLabelValues(l.item.Class.String(), result).Inc()
}

func (o *observer) state(s *server, t health.Transition) {
	o.states.WithLabelValues(t.To.String(), string(t.Reason)).Inc()
	o.log.Emit(event.BackendState, s.backend.ID, t.From, t.To, t.Reason, t.Gap, t.Median)
}

func (o *observer) limit(s *server) {
	o.log.Emit(event.LimitChanged, s.backend.ID, s.limit.Limit(), s.load.InFlight)
}

func (o *observer) table(g *group, known int, version uint64) {
	o.log.Emit(event.TableBuilt, g.key.pool, g.key.ref.Model, g.table.Len(), known, version)
}

func (o *observer) loading(w *Waiter, d loading.Decision) {
	o.loads.WithLabelValues(string(d.Reason)).Inc()
	o.log.Emit(event.LoadingDecided, w.ask.RequestID, w.ask.Service.Model, d.Reason, d.RetryAfter)
}

func (o *observer) waiting(g *group) {
	n, _ := g.queue.Waiting()
	o.backlog.WithLabelValues(g.key.pool, g.key.ref.Model).Set(float64(n))
	o.slots.WithLabelValues(g.key.pool, g.key.ref.Model).Set(float64(g.slots))
}
