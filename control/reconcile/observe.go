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

// engineState is one engine of the zone as this holder knows it.
type engineState struct {
	vm          vmlist.VM
	eng         engine.Engine
	status      engine.Status
	polledAt    time.Time // last poll
	answeredAt  time.Time // last answer, zero if none
	silentSince time.Time // first failed poll since the last answer, zero if none
	// orderPending is set between an accepted order and the next answer.
	orderPending bool
	// full says that the engine refused a load while it held status.Models.
	full     bool
	retryAt  time.Time
	failures int
	readyAt  time.Time // when a set of weights was first seen ready
	// loadFailed says that the last report showed a load that failed.
	loadFailed bool
	// knowsFence says that the engine's present process knows our fencing number.
	knowsFence bool
	// refusedFence says that the engine refused our fencing number as old.
	refusedFence bool
}

// isChanging reports whether the engine's state is expected to change soon.
func (e *engineState) isChanging() bool {
	if e.answeredAt.IsZero() || !e.silentSince.IsZero() || e.orderPending {
		return true
	}
	for _, l := range e.status.Models {
		if l.State == engine.Loading || l.State == engine.Unloading {
			return true
		}
	}
	return false
}

// steadyPollAge is the age at which an engine in a steady state is polled again.
func (m *Manager) steadyPollAge() time.Duration {
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
	m.matchEngines(rows, text)
	var wg sync.WaitGroup
	slots := make(chan struct{}, m.cfg.MaxConcurrentPolls)
	now := time.Now()
	for _, e := range m.engines {
		due := age
		if e.isChanging() {
			due = min(age, m.cfg.TickInterval)
		}
		if now.Sub(e.polledAt) < due {
			continue
		}
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			m.poll(ctx, e)
			m.raiseFence(ctx, text, e)
		})
	}
	wg.Wait()
	m.checkFences()
	return nil
}

// matchEngines keeps one record for each engine of the zone in a pool of the text.
func (m *Manager) matchEngines(rows []vmlist.VM, text *site.Site) {
	pools := enginePools(text)
	listed := make(map[string]bool)
	for _, vm := range rows {
		if vm.Role != vmlist.RoleBackend || vm.Zone != m.deps.Zone || !pools[vm.Pool] {
			continue
		}
		listed[vm.ID] = true
		e, ok := m.engines[vm.ID]
		if !ok || e.vm.Address != vm.Address {
			e = &engineState{eng: m.deps.Engine(vm.Address)}
			m.engines[vm.ID] = e
		}
		e.vm = vm
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
func (m *Manager) poll(ctx context.Context, e *engineState) {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.StatusTimeout)
	defer cancel()
	e.polledAt = time.Now()
	status, err := e.eng.Status(ctx)
	m.metrics.polls.Inc()
	if err != nil {
		if e.silentSince.IsZero() {
			e.silentSince = e.polledAt
		}
		return
	}
	if !slices.Equal(refs(status), refs(e.status)) || status.Incarnation != e.status.Incarnation {
		e.full = false
	}
	if status.Incarnation != e.status.Incarnation {
		e.knowsFence = false
	}
	if becameReady(e.status, status) {
		e.readyAt = e.polledAt
	}
	e.status, e.answeredAt, e.silentSince, e.orderPending = status, time.Now(), time.Time{}, false
	m.updateLoadFailures(e)
}

// becameReady reports whether now has a set of weights ready that was not
// ready before.
func becameReady(before, now engine.Status) bool {
	for _, l := range now.Models {
		if l.State == engine.Ready && !slices.ContainsFunc(before.Models, func(b engine.Loaded) bool {
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

// updateLoadFailures holds an engine back each time a load has failed, longer each
// time, so that a set of weights that does not load is not fetched over and
// over. Only loads that succeed begin the count anew.
func (m *Manager) updateLoadFailures(e *engineState) {
	failed, settled := false, true
	for _, l := range e.status.Models {
		failed = failed || l.State == engine.Failed
		settled = settled && l.State == engine.Ready
	}
	switch {
	case failed && !e.loadFailed:
		m.backOff(e)
	case settled:
		e.failures = 0
	}
	e.loadFailed = failed
}

func (m *Manager) backOff(e *engineState) {
	wait := min(m.cfg.MinRetryDelay<<min(e.failures, 10), m.cfg.MaxRetryDelay)
	e.failures++
	e.retryAt = time.Now().Add(wait)
}

// plan asks the decision package for the next step.
func (m *Manager) plan(ctx context.Context, hold lease.Hold, text *site.Site) placement.Step {
	in := placement.Input{Services: desiredServices(text, m.deps.Zone), LoadBudget: m.loadBudget(ctx, text), Now: time.Now()}
	for id, e := range m.engines {
		b := placement.Backend{
			ID: id, Pool: e.vm.Pool, Health: m.fencedHealth(e, text), Leaving: e.vm.State == vmlist.Leaving,
			Running: e.status.Running, Full: e.full, NotBefore: m.earliestOrderTime(e, hold, text),
		}
		for _, l := range e.status.Models {
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

// earliestOrderTime is when an engine may be given its next order.
func (m *Manager) earliestOrderTime(e *engineState, hold lease.Hold, text *site.Site) time.Time {
	earliest := e.readyAt.Add(m.cfg.ReadySettleTime)
	if e.retryAt.After(earliest) {
		earliest = e.retryAt
	}
	if !checksFence(text, e.vm.Pool) {
		if t := hold.Taken.Add(m.cfg.UnfencedOrderDelay); t.After(earliest) {
			earliest = t
		}
	}
	if e.orderPending {
		if t := time.Now().Add(m.cfg.TickInterval); t.After(earliest) {
			earliest = t
		}
	}
	return earliest
}

// fencedHealth is health, but doubtful while an order of an earlier holder could
// still take effect on an engine that checks fencing numbers.
func (m *Manager) fencedHealth(e *engineState, text *site.Site) placement.Health {
	if h := m.health(e); h != placement.Up || e.knowsFence || !checksFence(text, e.vm.Pool) {
		return h
	}
	return placement.Suspect
}

func (m *Manager) health(e *engineState) placement.Health {
	switch {
	case e.silentSince.IsZero() && !e.answeredAt.IsZero():
		return placement.Up
	case e.silentSince.IsZero() || time.Since(e.silentSince) < m.cfg.SilenceTimeout:
		return placement.Suspect
	}
	return placement.Lost
}

// loadBudget is this zone's part of the weight store's free fetches, at
// least one while any is free. An unknown state of the store allows one load
// at a time: waiting for it would leave a zone without replicas.
func (m *Manager) loadBudget(ctx context.Context, text *site.Site) int {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.StatusTimeout)
	defer cancel()
	loading := m.loadsInProgress()
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

// loadsInProgress counts the loads under way. The last report of an engine that is
// lost may show one; counting it would keep the zone's share for good.
func (m *Manager) loadsInProgress() int {
	n := 0
	for _, e := range m.engines {
		if m.health(e) == placement.Lost {
			continue
		}
		for _, l := range e.status.Models {
			if l.State == engine.Loading {
				n++
			}
		}
	}
	return n
}

// desiredServices returns the generation services of the text as wanted in a zone.
func desiredServices(text *site.Site, zone string) []placement.Service {
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
