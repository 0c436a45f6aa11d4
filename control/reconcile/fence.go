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

// checksFence reports whether the engines of a pool check fencing numbers.
func checksFence(text *site.Site, pool string) bool {
	p := text.Pools[pool]
	return p != nil && p.Fencing
}

// raiseFence makes an engine know our fencing number before anything is
// concluded from its report, by an order that changes nothing: the role it has.
//
// The failure: an engine refuses an old number only once it has seen a newer
// one. The order of a holder that was paused on its way to an engine to which
// we gave none would still take effect, after we counted the engine as
// serving. It shows as a service below its floor. Once the number is known and
// the engine was asked again, nothing older can follow.
func (m *Manager) raiseFence(ctx context.Context, text *site.Site, e *engineState) {
	if e.knowsFence || !e.silentSince.IsZero() || e.answeredAt.IsZero() || !checksFence(text, e.vm.Pool) {
		return
	}
	hold := m.deps.Lease.Held()
	if hold.Fence != m.fence || !hold.Valid(time.Now()) {
		return
	}
	role := e.status.Role
	if role == "" {
		role = engine.RoleMixed
	}
	order := engine.Order{ID: uuid.NewString(), Kind: engine.OrderRole, Role: role, Fence: hold.Fence}
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

// checkFences notices that an engine knows a higher fencing number than ours:
// a newer holder exists, whatever this daemon believes of its lease.
func (m *Manager) checkFences() {
	for id, e := range m.engines {
		if (e.refusedFence || e.status.Fence > m.fence) && !m.superseded {
			m.superseded = true
			m.deps.Log.Emit(event.PlacementFenced, id, m.fence, e.status.Fence)
		}
	}
}
