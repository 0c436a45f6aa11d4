package enginesim

import (
	"context"
	"slices"

	"github.com/pkg/errors"

	"mallowwind.dev/external/engine"
)

// How a role changes the time of decode and of prefill.
const (
	favoured   = 0.6
	unfavoured = 2.0
)

// weightSet is what an engine holds and in which role it works.
type weightSet struct {
	models []engine.LoadedModel
	role   engine.Role
	fence  uint64
	orders []engine.Order
}

func (w *weightSet) find(ref engine.ModelRef) *engine.LoadedModel {
	i := slices.IndexFunc(w.models, func(l engine.LoadedModel) bool { return l.Ref == ref })
	if i < 0 {
		return nil
	}
	return &w.models[i]
}

func (w *weightSet) state(ref engine.ModelRef) engine.LoadState {
	if l := w.find(ref); l != nil {
		return l.State
	}
	return ""
}

func (w *weightSet) set(ref engine.ModelRef, state engine.LoadState) {
	if l := w.find(ref); l != nil {
		l.State = state
		return
	}
	w.models = append(w.models, engine.LoadedModel{Ref: ref, State: state})
}

// settle drops models being unloaded that no generation uses any more.
func (w *weightSet) settle(uses func(engine.ModelRef) bool) {
	w.models = slices.DeleteFunc(w.models, func(l engine.LoadedModel) bool {
		return l.State == engine.Unloading && !uses(l.Ref)
	})
}

// speeds returns the factors on the time of decode and of prefill.
func (w *weightSet) speeds() (decode, prefill float64) {
	switch w.role {
	case engine.RoleDecode:
		return favoured, unfavoured
	case engine.RolePrefill:
		return unfavoured, favoured
	}
	return 1, 1
}

// Order implements engine.Engine. An engine without RespectFence takes any number.
func (s *Sim) Order(ctx context.Context, o engine.Order) error {
	if err := s.enter(ctx); err != nil {
		return err
	}
	defer s.mu.Unlock()
	w := &s.weights
	if s.config.EnforceFencing {
		if o.Fence < w.fence {
			return errors.Wrapf(engine.ErrStaleFence, "%d is below %d", o.Fence, w.fence)
		}
		w.fence = o.Fence
	}
	w.orders = append(w.orders, o)
	switch o.Kind {
	case engine.OrderLoad:
		return s.orderLoad(o.Ref)
	case engine.OrderUnload:
		s.orderUnload(o.Ref)
		return nil
	case engine.OrderRole:
		w.role = o.Role
		return nil
	}
	return refuse(engine.CodeInvalid, "order kind %q", o.Kind)
}

// Orders returns the orders taken, in their order of arrival.
func (s *Sim) Orders() []engine.Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.weights.orders)
}

func (s *Sim) orderLoad(ref engine.ModelRef) error {
	w := &s.weights
	switch w.state(ref) {
	case engine.Ready, engine.Loading:
		return nil
	case engine.Unloading:
		w.set(ref, engine.Ready)
		return nil
	}
	if len(w.models) >= s.config.MaxModels && w.find(ref) == nil {
		return refuse(engine.CodeOverloaded, "holds %d sets of weights", len(w.models))
	}
	w.set(ref, engine.Loading)
	w.find(ref).Remaining = s.config.LoadTime
	go s.fetch(ref, s.incarnation)
	return nil
}

func (s *Sim) orderUnload(ref engine.ModelRef) {
	if l := s.weights.find(ref); l != nil {
		l.State = engine.Unloading
	}
	s.weights.settle(s.uses)
}

func (s *Sim) uses(ref engine.ModelRef) bool {
	with := func(g *generation) bool { return g.ref == ref }
	return slices.ContainsFunc(s.batch, with) || slices.ContainsFunc(s.queue, with)
}

// fetch loads ref for the incarnation that was ordered to.
func (s *Sim) fetch(ref engine.ModelRef, incarnation int) {
	state := engine.Ready
	if s.config.Weights != nil {
		if err := s.config.Weights.Fetch(s.closed, ref); err != nil {
			state = engine.Failed
		}
	}
	if !s.sleep(s.config.LoadTime) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.weights.find(ref)
	if s.incarnation != incarnation || l == nil || l.State != engine.Loading {
		return
	}
	l.State, l.Remaining = state, 0
}
