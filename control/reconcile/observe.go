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

// engineState is the state of one engine of the zone as this lease holder knows it.
type engineState struct {
	vm          vmlist.VM
	eng         engine.Engine
	status      engine.Status
	polledAt    time.Time // start of the last poll; zero makes the next poll due
	answeredAt  time.Time // last answer to a poll; zero if none
	silentSince time.Time // first failed poll since the last answer; zero if none
	// orderPending is set until the next answer to a poll after an order that was accepted, or that
	// failed for another reason than a stale fencing token or a full engine.
	orderPending bool
	// full is set if the engine refused a load while it held the sets of weights in status.Models.
	full     bool
	retryAt  time.Time // no order before this time, after a failure
	failures int       // failed loads and orders since all sets of weights were last ready
	readyAt  time.Time // when a set of weights last became ready
	// loadFailed is set if the last report contained a failed load.
	loadFailed bool
	// knowsFence is set if the current incarnation of the engine knows this holder's fencing token.
	knowsFence bool
	// refusedFence is set if the engine refused this holder's fencing token as stale.
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

// steadyPollAge returns the age of a report at which an engine in a steady state is polled again.
func (m *Manager) steadyPollAge() time.Duration {
	round := time.Duration(float64(len(m.engines)) / m.cfg.PollsPerSecond * float64(time.Second))
	return max(m.cfg.SteadyPollInterval, round)
}

// observe updates the zone's engines from the VM list and polls those whose last poll is older than
// age, or than TickInterval if their state is changing.
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

// matchEngines makes m.engines hold one engineState for each listed engine of the zone whose pool
// is in the site text.
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

// enginePools returns the names of the pools that no plain service uses.
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

// poll requests the status of one engine and stores it in e. Each engineState is accessed by one
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

// becameReady reports whether a set of weights is ready in now that was not ready in before.
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

// refs returns the sets of weights that a status lists, in any state.
func refs(s engine.Status) []engine.ModelRef {
	out := make([]engine.ModelRef, len(s.Models))
	for i, l := range s.Models {
		out[i] = l.Ref
	}
	return out
}

// updateLoadFailures starts a backoff each time a load has failed on an engine, so that a set of
// weights that cannot be loaded is not fetched again and again. The failure count is reset only
// when all sets of weights on the engine are ready, or it has none.
func (m *Manager) updateLoadFailures(e *engineState) {
	failed, allReady := false, true
	for _, l := range e.status.Models {
		failed = failed || l.State == engine.Failed
		allReady = allReady && l.State == engine.Ready
	}
	switch {
	case failed && !e.loadFailed:
		m.backOff(e)
	case allReady:
		e.failures = 0
	}
	e.loadFailed = failed
}

// backOff delays the next order to an engine, exponentially longer with each failure.
func (m *Manager) backOff(e *engineState) {
	wait := min(m.cfg.MinRetryDelay<<min(e.failures, 10), m.cfg.MaxRetryDelay)
	e.failures++
	e.retryAt = time.Now().Add(wait)
}

// plan returns the next step that decision/placement chooses for the observed state.
func (m *Manager) plan(ctx context.Context, hold lease.Lease, text *site.Site) placement.Step {
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

// earliestOrderTime returns the earliest time of the next order to an engine.
func (m *Manager) earliestOrderTime(e *engineState, hold lease.Lease, text *site.Site) time.Time {
	earliest := e.readyAt.Add(m.cfg.ReadySettleTime)
	if e.retryAt.After(earliest) {
		earliest = e.retryAt
	}
	if !checksFence(text, e.vm.Pool) {
		if t := hold.AcquiredAt.Add(m.cfg.UnfencedOrderDelay); t.After(earliest) {
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

// fencedHealth returns the health of an engine, but Suspect instead of Up while an engine that
// checks fencing tokens does not know this holder's token, so that an order of an earlier holder
// could still take effect.
func (m *Manager) fencedHealth(e *engineState, text *site.Site) placement.Health {
	if h := m.health(e); h != placement.Up || e.knowsFence || !checksFence(text, e.vm.Pool) {
		return h
	}
	return placement.Suspect
}

// health returns the health of an engine according to its answers to polls.
func (m *Manager) health(e *engineState) placement.Health {
	switch {
	case e.silentSince.IsZero() && !e.answeredAt.IsZero():
		return placement.Up
	case e.silentSince.IsZero() || time.Since(e.silentSince) < m.cfg.SilenceTimeout:
		return placement.Suspect
	}
	return placement.Lost
}

// loadBudget returns how many loads the zone may start now: its share of the weight store's
// concurrent fetches, which is at least one, less its loads in progress, but no more than the store
// has free. If the state of the store is unknown, the zone runs one load at a time, since waiting
// for the store's status could leave the zone without replicas.
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

// loadsInProgress returns the number of loads in progress. It skips lost engines: the last report
// of one may show a load, which would occupy the zone's share for as long as the engine is lost.
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

// desiredServices returns the generation services of the site text with their desired state in a
// zone.
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
