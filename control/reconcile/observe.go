package reconcile

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/lease"
	"mallowwind.dev/control/site"
	"mallowwind.dev/decision/placement"
	"mallowwind.dev/external/engine"
	"mallowwind.dev/external/vmlist"
)

// observed is one engine of the zone as this holder knows it.
type observed struct {
	vm     vmlist.VM
	eng    engine.Engine
	status engine.Status
	asked  time.Time // last poll
	seen   time.Time // last answer, zero if none
	silent time.Time // first failed poll since the last answer, zero if none
	// pending is set between an accepted order and the next answer.
	pending bool
	// full says that the engine refused a load while it held status.Models.
	full      bool
	holdUntil time.Time
	failures  int
	readyAt   time.Time // when a set of weights was first seen ready
	// loadFailed says that the last report showed a load that failed.
	loadFailed bool
	// fenced says that the engine's present process knows our fencing number.
	fenced bool
	// refused says that the engine refused our fencing number as old.
	refused bool
}

// changing reports whether the engine's state is expected to change soon.
func (o *observed) changing() bool {
	if o.seen.IsZero() || !o.silent.IsZero() || o.pending {
		return true
	}
	for _, l := range o.status.Models {
		if l.State == engine.Loading || l.State == engine.Unloading {
			return true
		}
	}
	return false
}

// steadyAge is the age at which an engine in a steady state is polled again.
func (m *Manager) steadyAge() time.Duration {
	round := time.Duration(float64(len(m.engines)) / m.cfg.PollsPerSecond * float64(time.Second))
	return max(m.cfg.SteadyPollInterval, round)
}

// observe brings the zone's engines up to date: their rows in the list, and
// their reports where these are older than age or about to change.
func (m *Manager) observe(ctx context.Context, text *site.Site, age time.Duration) error {
	rows, err := m.deps.VMs.List(ctx)
	if err != nil {
		return errors.Wrap(err, "reconcile")
	}
	m.match(rows, text)
	var wg sync.WaitGroup
	slots := make(chan struct{}, m.cfg.MaxConcurrentPolls)
	now := time.Now()
	for _, o := range m.engines {
		due := age
		if o.changing() {
			due = min(age, m.cfg.TickInterval)
		}
		if now.Sub(o.asked) < due {
			continue
		}
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			m.poll(ctx, o)
			m.raiseFence(ctx, text, o)
		})
	}
	wg.Wait()
	m.checkFences()
	return nil
}

// match keeps one record for each engine of the zone in a pool of the text.
func (m *Manager) match(rows []vmlist.VM, text *site.Site) {
	pools := enginePools(text)
	listed := make(map[string]bool)
	for _, vm := range rows {
		if vm.Role != vmlist.RoleBackend || vm.Zone != m.deps.Zone || !pools[vm.Pool] {
			continue
		}
		listed[vm.ID] = true
		o, ok := m.engines[vm.ID]
		if !ok || o.vm.Address != vm.Address {
			o = &observed{eng: m.deps.Engine(vm.Address)}
			m.engines[vm.ID] = o
		}
		o.vm = vm
	}
	for id := range m.engines {
		if !listed[id] {
			delete(m.engines, id)
		}
	}
}

// enginePools returns the pools that no plain service uses.
func enginePools(text *site.Site) map[string]bool {
	pools := make(map[string]bool, len(text.Pools))
	for name := range text.Pools {
		pools[name] = true
	}
	for _, s := range text.Services {
		if s.Kind == site.KindPlain {
			delete(pools, s.Pool)
		}
	}
	return pools
}

// poll asks one engine for its report. Each engine's record is touched by one
// goroutine at a time.
func (m *Manager) poll(ctx context.Context, o *observed) {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.StatusTimeout)
	defer cancel()
	o.asked = time.Now()
	status, err := o.eng.Status(ctx)
	m.met.polls.Inc()
	if err != nil {
		if o.silent.IsZero() {
			o.silent = o.asked
		}
		return
	}
	if !slices.Equal(refs(status), refs(o.status)) || status.Incarnation != o.status.Incarnation {
		o.full = false
	}
	if status.Incarnation != o.status.Incarnation {
		o.fenced = false
	}
	if becameReady(o.status, status) {
		o.readyAt = o.asked
	}
	o.status, o.seen, o.silent, o.pending = status, time.Now(), time.Time{}, false
	m.judgeLoads(o)
}

// becameReady reports whether now has a set of weights ready that was not
// ready before.
func becameReady(before, now engine.Status) bool {
	for _, l := range now.Models {
		if l.State == engine.Ready && !slices.ContainsFunc(before.Models, func(b engine.LoadedModel) bool {
			return b.Ref == l.Ref && b.State == engine.Ready
		}) {
			return true
		}
	}
	return false
}

func refs(s engine.Status) []engine.ModelRef {
	out := make([]engine.ModelRef, len(s.Models))
	for i, l := range s.Models {
		out[i] = l.Ref
	}
	return out
}

// judgeLoads holds an engine back each time a load has failed, longer each
// time, so that a set of weights that does not load is not fetched over and
// over. Only loads that succeed begin the count anew.
func (m *Manager) judgeLoads(o *observed) {
	failed, settled := false, true
	for _, l := range o.status.Models {
		failed = failed || l.State == engine.Failed
		settled = settled && l.State == engine.Ready
	}
	switch {
	case failed && !o.loadFailed:
		m.holdBack(o)
	case settled:
		o.failures = 0
	}
	o.loadFailed = failed
}

func (m *Manager) holdBack(o *observed) {
	wait := min(m.cfg.MinRetryDelay<<min(o.failures, 10), m.cfg.MaxRetryDelay)
	o.failures++
	o.holdUntil = time.Now().Add(wait)
}

// plan asks the decision package for the next step.
func (m *Manager) plan(ctx context.Context, hold lease.Lease, text *site.Site) placement.Step {
	in := placement.Input{Services: desired(text, m.deps.Zone), LoadBudget: m.freeFetches(ctx, text), Now: time.Now()}
	for id, o := range m.engines {
		b := placement.Backend{
			ID: id, Pool: o.vm.Pool, Health: m.healthFor(o, text), Leaving: o.vm.State == vmlist.Leaving,
			Running: o.status.Running, Full: o.full, NotBefore: m.earliest(o, hold, text),
		}
		for _, l := range o.status.Models {
			b.Models = append(b.Models, placement.ModelStatus{Ref: fromEngine(l.Ref), State: loadStates[l.State]})
		}
		in.Backends = append(in.Backends, b)
	}
	slices.SortFunc(in.Backends, func(a, b placement.Backend) int { return cmp.Compare(a.ID, b.ID) })
	return placement.Plan(in)
}

var loadStates = map[engine.LoadState]placement.LoadState{
	engine.Loading: placement.Loading, engine.Ready: placement.Ready,
	engine.Unloading: placement.Unloading, engine.Failed: placement.Failed,
}

// earliest is when an engine may be given its next order.
func (m *Manager) earliest(o *observed, hold lease.Lease, text *site.Site) time.Time {
	earliest := o.readyAt.Add(m.cfg.ReadySettleTime)
	if o.holdUntil.After(earliest) {
		earliest = o.holdUntil
	}
	if !fencing(text, o.vm.Pool) {
		if t := hold.AcquiredAt.Add(m.cfg.UnfencedOrderDelay); t.After(earliest) {
			earliest = t
		}
	}
	if o.pending {
		if t := time.Now().Add(m.cfg.TickInterval); t.After(earliest) {
			earliest = t
		}
	}
	return earliest
}

// healthFor is health, but doubtful while an order of an earlier holder could
// still take effect on an engine that checks fencing numbers.
func (m *Manager) healthFor(o *observed, text *site.Site) placement.Health {
	if h := m.health(o); h != placement.Up || o.fenced || !fencing(text, o.vm.Pool) {
		return h
	}
	return placement.Suspect
}

func (m *Manager) health(o *observed) placement.Health {
	switch {
	case o.silent.IsZero() && !o.seen.IsZero():
		return placement.Up
	case o.silent.IsZero() || time.Since(o.silent) < m.cfg.SilenceTimeout:
		return placement.Suspect
	}
	return placement.Lost
}

// freeFetches is this zone's part of the weight store's free fetches, at
// least one while any is free. An unknown state of the store allows one load
// at a time: waiting for it would leave a zone without replicas.
func (m *Manager) freeFetches(ctx context.Context, text *site.Site) int {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.StatusTimeout)
	defer cancel()
	loading := m.loading()
	if m.deps.Weights == nil {
		return 1 - loading
	}
	status, err := m.deps.Weights.Status(ctx)
	if err != nil {
		return 1 - loading
	}
	zones := max(1, len(text.Zones))
	share := max(1, status.Capacity/zones)
	return min(status.Capacity-status.Active, share-loading)
}

// loading counts the loads under way. The last report of an engine that is
// lost may show one; counting it would keep the zone's share for good.
func (m *Manager) loading() int {
	n := 0
	for _, o := range m.engines {
		if m.health(o) == placement.Lost {
			continue
		}
		for _, l := range o.status.Models {
			if l.State == engine.Loading {
				n++
			}
		}
	}
	return n
}

// desired returns the generation services of the text as wanted in a zone.
func desired(text *site.Site, zone string) []placement.Service {
	var out []placement.Service
	for _, s := range text.Services {
		if s.Kind != site.KindGeneration {
			continue
		}
		out = append(out, placement.Service{
			Name: s.Name, Pool: s.Pool, Replicas: s.Replicas[zone], Floor: s.Floor, DependsOn: s.DependsOn,
			Ref: placement.Ref{Model: s.Model, Adapter: s.Adapter, Version: s.Version},
		})
	}
	slices.SortFunc(out, func(a, b placement.Service) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
