// Package reconcile loads and unloads sets of weights on a zone's engines until they match the site
// text. The daemon that holds the zone's lease observes the engines, asks decision/placement for
// the next step, sends the order with its fencing token and observes the engines again. All other
// daemons of the zone do nothing here. Without the lease, several daemons could send orders that
// rest on different observations and together take a service below its floor.
//
// Late and repeated orders do no harm. Orders are idempotent: they name a state, not a difference.
// Each order rests on an observation made after the lease was acquired, and before an order that
// reduces capacity the observation is refreshed. The effect of an order is read from the engine's
// report, never assumed. Engines that check fencing tokens refuse late orders of an earlier lease
// holder. For engines that do not, a new holder first waits for Config.UnfencedOrderDelay, longer
// than an order of the previous holder can be in flight, and then corrects what it finds.
//
// A holder never acts on an older revision of the site text than an earlier holder of the zone did:
// the latest revision acted on is recorded in the store.
package reconcile

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"

	"mallowwind.dev/control/lease"
	"mallowwind.dev/control/site"
	"mallowwind.dev/decision/placement"
	"mallowwind.dev/external/engine"
	"mallowwind.dev/external/store"
	"mallowwind.dev/external/vmlist"
	"mallowwind.dev/external/weights"
	"mallowwind.dev/telemetry/event"
)

// Config holds the intervals, timeouts and limits of a Manager.
type Config struct {
	// TickInterval is the time between two checks of the zone.
	TickInterval time.Duration
	// MaxObservationAge is the age of an observation above which an engine is polled again before an
	// order that reduces capacity.
	MaxObservationAge time.Duration
	// SteadyPollInterval is the time between polls of an engine in a steady state.
	SteadyPollInterval time.Duration
	// PollsPerSecond bounds the rate of polls of engines in a steady state. In a large zone it
	// lengthens the interval between polls of an engine from SteadyPollInterval to minutes. Changes
	// become known earlier through PollSoon, since some daemon polls each engine every few seconds.
	PollsPerSecond float64
	// StatusTimeout is the timeout of one poll.
	StatusTimeout time.Duration
	// OrderTimeout is the timeout of one order.
	OrderTimeout time.Duration
	// UnfencedOrderDelay is how long a new lease holder sends no orders to engines that do not check
	// fencing tokens: the lease's TTL plus OrderTimeout, the longest time for which an order of the
	// previous holder may still be in flight.
	UnfencedOrderDelay time.Duration
	// ReadySettleTime is how long an engine receives no orders after a set of weights became ready on
	// it. If the old version were unloaded as soon as the holder sees the new one, daemons that have
	// not polled the engine since would still send it requests for the old version. They poll an
	// engine that is loading every 2 s, plus jitter and the time of a slow answer.
	ReadySettleTime time.Duration
	// SilenceTimeout is how long an engine may fail to answer before its replicas are replaced. It is
	// longer than the restart of a router's connection or a garbage collection, and short compared to
	// the time of a load.
	SilenceTimeout time.Duration
	// MinRetryDelay and MaxRetryDelay bound the backoff after an order or a load failed.
	MinRetryDelay, MaxRetryDelay time.Duration
	// MaxConcurrentPolls bounds the polls in flight.
	MaxConcurrentPolls int
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	c := Config{
		TickInterval: time.Second, MaxObservationAge: 3 * time.Second, SteadyPollInterval: 10 * time.Second, PollsPerSecond: 0.7,
		StatusTimeout: time.Second, OrderTimeout: 3 * time.Second, ReadySettleTime: 5 * time.Second, SilenceTimeout: 30 * time.Second,
		MinRetryDelay: 5 * time.Second, MaxRetryDelay: 5 * time.Minute, MaxConcurrentPolls: 16,
	}
	c.UnfencedOrderDelay = lease.DefaultConfig().TTL + c.OrderTimeout
	return c
}

// Deps holds the dependencies of a Manager.
type Deps struct {
	Zone string
	Site site.Source
	// VMs is the source of the platform's VM list, usually a backends.Manager.
	VMs vmlist.Source
	// Engine returns the client of the engine at an address.
	Engine func(address string) engine.Engine
	// Weights reports the load of the weight store. If it is nil, the zone runs one load at a time.
	Weights    weights.Store
	Lease      lease.Source
	Store      store.Store
	Log        *event.Log
	Registerer prometheus.Registerer // if nil, the metrics are not registered
	Config     Config
}

// Report is the state of the zone as the lease holder sees it, for operators. It is zero on other
// daemons.
type Report struct {
	HoldsLease bool
	Fence      uint64
	Revision   int64
	LastStep   placement.Step // the latest decision
	DecidedAt  time.Time      // when it was made
}

// Manager reconciles one zone while this daemon holds its lease.
type Manager struct {
	deps    Deps
	cfg     Config
	metrics metrics

	mu           sync.Mutex
	report       Report
	pollRequests map[string]bool // IDs of engines to poll at the next tick

	// The fields below are used by Run only.
	fence      uint64                  // fencing token of the hold that the fields below belong to; 0 without a hold
	engines    map[string]*engineState // by VM ID
	actedOn    revisionMark
	superseded bool           // an engine knows a higher fencing token than fence
	lastLogged placement.Step // the last step that logStep handled
}

// NewManager returns a Manager that acts while Run runs and the daemon holds the lease.
func NewManager(deps Deps) *Manager {
	if deps.Log == nil {
		deps.Log = event.Discard()
	}
	if deps.Config == (Config{}) {
		deps.Config = DefaultConfig()
	}
	return &Manager{
		deps: deps, cfg: deps.Config, metrics: newMetrics(deps.Registerer),
		engines: make(map[string]*engineState), pollRequests: make(map[string]bool),
	}
}

// Report returns the state of the zone as of the latest decision.
func (m *Manager) Report() Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.report
}

// PollSoon requests an early poll of an engine whose report is known to have changed. It has no
// effect on daemons that do not hold the lease.
func (m *Manager) PollSoon(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.report.HoldsLease {
		m.pollRequests[id] = true
	}
}

// applyPollRequests makes the requested polls due.
func (m *Manager) applyPollRequests() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id := range m.pollRequests {
		if e, ok := m.engines[id]; ok {
			e.polledAt = time.Time{}
		}
	}
	clear(m.pollRequests)
}

// Run reconciles the zone until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	t := time.NewTicker(m.cfg.TickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			m.tick(ctx)
		}
	}
}

// maxStepsPerTick bounds the orders of one tick. Each tick starts by reading the lease and the site
// text again.
const maxStepsPerTick = 8

// tick observes the zone once and sends the orders that are due, if this daemon holds the lease.
func (m *Manager) tick(ctx context.Context) {
	hold := m.deps.Lease.Current()
	if !hold.IsValid(time.Now()) {
		m.reset()
		return
	}
	if hold.FencingToken != m.fence {
		m.startHold(hold)
	}
	text := m.deps.Site.Current()
	if text == nil || m.superseded || !m.canActOn(ctx, text) {
		return
	}
	m.applyPollRequests()
	if m.observe(ctx, text, m.steadyPollAge()) != nil {
		return
	}
	for range maxStepsPerTick {
		if !m.runStep(ctx, hold, text) {
			return
		}
	}
}

// startHold discards the state of an earlier hold and starts a new one.
func (m *Manager) startHold(hold lease.Lease) {
	m.reset()
	m.fence = hold.FencingToken
}

// reset discards the state of the current hold, if any.
func (m *Manager) reset() {
	if m.fence == 0 {
		return
	}
	m.fence, m.superseded, m.lastLogged = 0, false, placement.Step{}
	m.actedOn = revisionMark{}
	clear(m.engines)
	m.setReport(Report{})
}

func (m *Manager) setReport(r Report) {
	m.mu.Lock()
	m.report = r
	m.mu.Unlock()
}

// runStep decides on the next step and sends its order, if any. It reports whether another step may
// follow in this tick.
func (m *Manager) runStep(ctx context.Context, hold lease.Lease, text *site.Site) bool {
	step := m.plan(ctx, hold, text)
	if step.ReducesCapacity && m.observe(ctx, text, m.cfg.MaxObservationAge) == nil {
		step = m.plan(ctx, hold, text)
	}
	m.setReport(Report{HoldsLease: true, Fence: hold.FencingToken, Revision: text.Revision, LastStep: step, DecidedAt: time.Now()})
	m.logStep(step, text)
	if step.Kind != placement.Load && step.Kind != placement.Unload {
		return false
	}
	return m.sendOrder(ctx, text, step)
}

// logStep counts a step, and logs it if it differs from the last one and is to wait or to do
// nothing. Steps that send an order are logged with the order.
func (m *Manager) logStep(step placement.Step, text *site.Site) {
	m.metrics.steps.WithLabelValues(step.Kind.String(), string(step.Reason)).Inc()
	if step == m.lastLogged {
		return
	}
	m.lastLogged = step
	switch step.Kind {
	case placement.Wait:
		m.deps.Log.Emit(event.PlacementWaits, step.Service, string(step.Reason), text.Revision)
	case placement.None:
		m.deps.Log.Emit(event.PlacementConverged, text.Revision)
	}
}

// sendOrder sends the order of a step, if the hold is still valid, and polls the engine for the
// effect. It reports whether another step may follow.
func (m *Manager) sendOrder(ctx context.Context, text *site.Site, step placement.Step) bool {
	e, ok := m.engines[step.Backend]
	hold := m.deps.Lease.Current()
	if !ok || hold.FencingToken != m.fence || !hold.IsValid(time.Now()) {
		return false
	}
	order := engine.Order{ID: uuid.NewString(), Kind: orderKind(step.Kind), Ref: toEngine(step.Ref), Fence: hold.FencingToken}
	deadline := time.Now().Add(m.cfg.OrderTimeout)
	if hold.ExpiresAt.Before(deadline) {
		deadline = hold.ExpiresAt
	}
	orderCtx, cancel := context.WithDeadline(ctx, deadline)
	err := e.eng.Order(orderCtx, order)
	cancel()
	m.metrics.orders.WithLabelValues(string(order.Kind), outcomeLabel(err)).Inc()
	if err != nil {
		m.handleOrderError(e, order, step, err)
		return !m.superseded
	}
	e.orderPending = true
	m.deps.Log.Emit(event.PlacementOrdered, order.ID, string(order.Kind), step.Backend, step.Service,
		step.Ref.String(), string(step.Reason), order.Fence, text.Revision)
	m.poll(ctx, e)
	return true
}

func orderKind(k placement.Kind) engine.OrderKind {
	if k == placement.Load {
		return engine.OrderLoad
	}
	return engine.OrderUnload
}

func toEngine(r placement.Ref) engine.ModelRef {
	return engine.ModelRef{Model: r.Model, Adapter: r.Adapter, Version: r.Version}
}

func fromEngine(r engine.ModelRef) placement.Ref {
	return placement.Ref{Model: r.Model, Adapter: r.Adapter, Version: r.Version}
}
