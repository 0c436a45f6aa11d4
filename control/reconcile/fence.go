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

// fencing reports whether the engines of a pool check fencing numbers.
func fencing(text *site.Site, pool string) bool {
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
func (m *Manager) raiseFence(ctx context.Context, text *site.Site, o *observed) {
	if o.fenced || !o.silent.IsZero() || o.seen.IsZero() || !fencing(text, o.vm.Pool) {
		return
	}
	hold := m.deps.Lease.Current()
	if hold.FencingToken != m.fence || !hold.IsValid(time.Now()) {
		return
	}
	role := o.status.Role
	if role == "" {
		role = engine.RoleMixed
	}
	order := engine.Order{ID: uuid.NewString(), Kind: engine.OrderRole, Role: role, Fence: hold.FencingToken}
	orderCtx, cancel := context.WithTimeout(ctx, m.cfg.StatusTimeout)
	err := o.eng.Order(orderCtx, order)
	cancel()
	m.met.orders.WithLabelValues(string(order.Kind), outcome(err)).Inc()
	switch {
	case errors.Is(err, engine.ErrStaleFence):
		o.refused = true
	case err == nil:
		m.deps.Log.Emit(event.PlacementFenceRaised, order.ID, o.vm.ID, order.Fence)
		m.poll(ctx, o)
		o.fenced = o.silent.IsZero()
	}
}

// checkFences notices that an engine knows a higher fencing number than ours:
// a newer holder exists, whatever this daemon believes of its lease.
func (m *Manager) checkFences() {
	for id, o := range m.engines {
		if (o.refused || o.status.Fence > m.fence) && !m.fenced {
			m.fenced = true
			m.deps.Log.Emit(event.PlacementFenced, id, m.fence, o.status.Fence)
		}
	}
}
