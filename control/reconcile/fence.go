package reconcile

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"mallowwind.dev/control/site"
	"mallowwind.dev/external/engine"
	"mallowwind.dev/telemetry/event"
)

// checksFence reports whether the engines of a pool check fencing tokens according to the site
// text.
func checksFence(text *site.Site, pool string) bool {
	p := text.Pools[pool]
	return p != nil && p.Fencing
}

// raiseFence makes an engine learn this holder's fencing token before the holder relies on the
// engine's report. It sends an order that changes nothing, because it sets the role that the engine
// has.
//
// An engine refuses a stale token only after it has seen a newer one. If this holder had sent an
// engine no order yet, a delayed order of an earlier, paused holder would still take effect there
// after this holder had counted the engine as serving, and take a service below its floor. Once the
// engine knows the token and was polled again, no order of an earlier holder can take effect.
func (m *Manager) raiseFence(ctx context.Context, text *site.Site, e *engineState) {
	if e.knowsFence || !e.silentSince.IsZero() || e.answeredAt.IsZero() || !checksFence(text, e.vm.Pool) {
		return
	}
	hold := m.deps.Lease.Current()
	if hold.FencingToken != m.fence || !hold.IsValid(time.Now()) {
		return
	}
	role := e.status.Role
	if role == "" {
		role = engine.RoleMixed
	}
	order := engine.Order{ID: uuid.NewString(), Kind: engine.OrderRole, Role: role, Fence: hold.FencingToken}
	orderCtx, cancel := context.WithTimeout(ctx, m.cfg.StatusTimeout)
	err := e.eng.Order(orderCtx, order)
	cancel()
	m.metrics.orders.WithLabelValues(string(order.Kind), outcomeLabel(err)).Inc()
	switch {
	case errors.Is(err, engine.ErrStaleFence):
		e.refusedFence = true
	case err == nil:
		m.deps.Log.Emit(event.PlacementFenceRaised, order.ID, e.vm.ID, order.Fence)
		m.poll(ctx, e)
		e.knowsFence = e.silentSince.IsZero()
	}
}

// checkFences detects that an engine knows a higher fencing token than this holder's. Then a newer
// holder exists, whatever this daemon knows of its lease, and this one sends no more orders.
func (m *Manager) checkFences() {
	for id, e := range m.engines {
		if (e.refusedFence || e.status.Fence > m.fence) && !m.superseded {
			m.superseded = true
			m.deps.Log.Emit(event.PlacementFenced, id, m.fence, e.status.Fence)
		}
	}
}
