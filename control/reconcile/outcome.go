package reconcile

import (
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"mallowwind.dev/decision/placement"
	"mallowwind.dev/external/engine"
	"mallowwind.dev/telemetry/event"
)

// handleOrderError handles an order that was not accepted or whose outcome is unknown. Neither case
// says what the engine holds; only its next report does.
func (m *Manager) handleOrderError(e *engineState, order engine.Order, step placement.Step, err error) {
	m.deps.Log.Emit(event.PlacementFailed, order.ID, string(order.Kind), step.Backend, step.Service,
		step.Ref.String(), string(step.Reason), err.Error())
	switch {
	case errors.Is(err, engine.ErrStaleFence):
		m.superseded = true
		m.deps.Log.Emit(event.PlacementFenced, step.Backend, order.Fence, e.status.Fence)
	case errors.Is(err, engine.ErrRefused) && order.Kind == engine.OrderLoad && len(e.status.Models) > 0:
		e.full = true
	default:
		e.orderPending = true
		m.backOff(e)
	}
}

// outcomeLabel returns the value of the metric label "outcome" for the result of an order.
func outcomeLabel(err error) string {
	switch {
	case err == nil:
		return "accepted"
	case errors.Is(err, engine.ErrStaleFence):
		return "stale_fence"
	case errors.Is(err, engine.ErrRefused):
		return "refused"
	case errors.Is(err, engine.ErrNotSent):
		return "not_sent"
	}
	return "unknown"
}

type metrics struct {
	polls  prometheus.Counter
	orders *prometheus.CounterVec
	steps  *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer) metrics {
	m := metrics{
		polls: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "mallowwind_reconcile_polls_total", Help: "Polls of engines by the zone's holder.",
		}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mallowwind_reconcile_orders_total", Help: "Orders given, by kind and outcome.",
		}, []string{"kind", "outcome"}),
		steps: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mallowwind_reconcile_decisions_total", Help: "Placement decisions, by kind and reason.",
		}, []string{"kind", "reason"}),
	}
	if r != nil {
		r.MustRegister(m.polls, m.orders, m.steps)
	}
	return m
}
