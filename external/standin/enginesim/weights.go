package enginesim

import (
	"context"
	"slices"

	"github.com/pkg/errors"

	"mallowwind.dev/external/engine"
)

// Factors by which a role changes the duration of the decode and prefill parts of a step.
const (
	favouredFactor   = 0.6
	unfavouredFactor = 2.0
)

// weightSet holds the models and the role of an engine and the orders that led to them.
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

// dropUnused removes models that are being unloaded and that no generation uses any more.
func (w *weightSet) dropUnused(isInUse func(engine.ModelRef) bool) {
	w.models = slices.DeleteFunc(w.models, func(l engine.LoadedModel) bool {
		return l.State == engine.Unloading && !isInUse(l.Ref)
	})
}

// roleFactors returns the duration factors of decode and prefill for the current role.
func (w *weightSet) roleFactors() (decode, prefill float64) {
	switch w.role {
	case engine.RoleDecode:
		return favouredFactor, unfavouredFactor
	case engine.RolePrefill:
		return unfavouredFactor, favouredFactor
	}
	return 1, 1
}

// Order implements engine.Engine. Without EnforceFencing the engine accepts any fencing number.
func (s *Sim) Order(ctx context.Context, o engine.Order) error {
	if err := s.beginCall(ctx); err != nil {
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
	return newRefusal(engine.CodeInvalid, "order kind %q", o.Kind)
}

// Orders returns all orders that passed the fencing check, in order of arrival and across
// restarts.
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
		return newRefusal(engine.CodeOverloaded, "holds %d sets of weights", len(w.models))
	}
	w.set(ref, engine.Loading)
	w.find(ref).Remaining = s.config.LoadTime
	go s.loadModel(ref, s.incarnation)
	return nil
}

func (s *Sim) orderUnload(ref engine.ModelRef) {
	if l := s.weights.find(ref); l != nil {
		l.State = engine.Unloading
	}
	s.weights.dropUnused(s.isInUse)
}

func (s *Sim) isInUse(ref engine.ModelRef) bool {
	usesRef := func(g *generation) bool { return g.ref == ref }
	return slices.ContainsFunc(s.batch, usesRef) || slices.ContainsFunc(s.queue, usesRef)
}

// loadModel fetches and loads ref. The result is dropped if the engine has restarted since, or if
// ref is no longer loading.
func (s *Sim) loadModel(ref engine.ModelRef, incarnation int) {
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
