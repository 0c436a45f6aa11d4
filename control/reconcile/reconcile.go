// Package reconcile makes a zone's engines hold what the site text says. The
// daemon that holds the zone's lease observes the engines, asks
// decision/placement for the next step, gives the order under its fencing
// number and observes again. All other daemons do nothing here.
//
// Why a late or repeated order does no harm: orders name a state, not a
// difference, so that a repeated one has no further effect; each order rests
// on an observation made after the lease was taken, and orders that take
// capacity away on one made immediately before; and what an order did is seen
// in the engine's report, never assumed. An order of an earlier holder that
// arrives after all is refused by engines that check fencing numbers. For
// those that do not, a new holder first waits Config.WaitOut, longer than an
// order of the old one can be under way, and puts right what it finds.
//
// A holder never acts on an older revision of the site text than an earlier
// holder of the zone did: the newest revision acted on is kept in the store.
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

// Config holds the intervals of a Manager.
type Config struct {
	// TickInterval is the time between two looks at the zone.
	TickInterval time.Duration
	// MaxObservationAge is how old an observation may be that an order rests on.
	MaxObservationAge time.Duration
	// SteadyPollInterval is the time between polls of an engine in a steady state.
	SteadyPollInterval time.Duration
	// PollsPerSecond bounds polls of engines in a steady state; in a large
	// zone Sweep grows accordingly, to minutes. Changes are known sooner by
	// Hint, since some daemon or other polls each engine every few seconds.
	PollsPerSecond float64
	// StatusTimeout bounds one poll.
	StatusTimeout time.Duration
	// OrderTimeout bounds one order.
	OrderTimeout time.Duration
	// UnfencedOrderDelay is how long a new holder gives no orders to engines that ignore
	// fencing numbers: the lease's TTL and OrderTimeout, the longest time that
	// an order of the holder before it may still be under way.
	UnfencedOrderDelay time.Duration
	// ReadySettleTime is how long an engine is left alone after a set of weights became
	// ready on it. The failure: the old version was unloaded as soon as the
	// holder saw the new one, while daemons that had not polled the engine yet
	// still sent it requests for the old. They poll an engine that loads every
	// 2 s, a little more with jitter and a slow answer.
	ReadySettleTime time.Duration
	// SilenceTimeout is how long an engine may stay silent before its replicas are
	// replaced. It is longer than a restart of a router's connection or a
	// collection of garbage, and short against the time of a load.
	SilenceTimeout time.Duration
	// MinRetryDelay and RetryMax bound the wait after an order or a load failed.
	MinRetryDelay, MaxRetryDelay time.Duration
	// MaxConcurrentPolls bounds polls in flight.
	MaxConcurrentPolls int
}

// DefaultConfig returns the values in use.
func DefaultConfig() Config {
	c := Config{
		TickInterval: time.Second, MaxObservationAge: 3 * time.Second, SteadyPollInterval: 10 * time.Second, PollsPerSecond: 0.7,
		StatusTimeout: time.Second, OrderTimeout: 3 * time.Second, ReadySettleTime: 5 * time.Second, SilenceTimeout: 30 * time.Second,
		MinRetryDelay: 5 * time.Second, MaxRetryDelay: 5 * time.Minute, MaxConcurrentPolls: 16,
	}
	c.UnfencedOrderDelay = lease.DefaultConfig().TTL + c.OrderTimeout
	return c
}

// Deps are what a Manager works with.
type Deps struct {
	Zone string
	Site site.Source
	// VMs is the platform's list, usually by way of backends.Manager.
	VMs        vmlist.Source
	Engine     func(address string) engine.Engine
	Weights    weights.Store
	Lease      lease.Source
	Store      store.Store
	Log        *event.Log
	Registerer prometheus.Registerer // nil keeps the metrics unregistered
	Config     Config
}

// Report is what a holder can say of its zone, for operators.
type Report struct {
	HoldsLease bool
	Fence      uint64
	Revision   int64
	LastStep   placement.Step // the last decision
	DecidedAt  time.Time      // when it was made
}

// Manager reconciles one zone while this daemon holds its lease.
type Manager struct {
	deps Deps
	cfg  Config
	met  metrics

	mu     sync.Mutex
	report Report
	hints  map[string]bool // engines to be polled at the next tick

	// Used by Run only.
	fence   uint64 // of the hold that the state below belongs to
	engines map[string]*observed
	acted   revisionMark
	fenced  bool // an engine knows a higher number than fence
	said    placement.Step
}

// NewManager returns a Manager that acts once Run is started and the lease is held.
func NewManager(deps Deps) *Manager {
	if deps.Log == nil {
		deps.Log = event.Discard()
	}
	if deps.Config == (Config{}) {
		deps.Config = DefaultConfig()
	}
	return &Manager{
		deps: deps, cfg: deps.Config, met: newMetrics(deps.Registerer),
		engines: make(map[string]*observed), hints: make(map[string]bool),
	}
}

// Report returns the state of the zone as this daemon last saw it.
func (m *Manager) Report() Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.report
}

// PollSoon asks for an early poll of an engine whose report is known to have
// changed.
func (m *Manager) PollSoon(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.report.HoldsLease {
		m.hints[id] = true
	}
}

// takeHints makes the engines of all hints due.
func (m *Manager) takeHints() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id := range m.hints {
		if o, ok := m.engines[id]; ok {
			o.asked = time.Time{}
		}
	}
	clear(m.hints)
}

// Run reconciles until ctx ends.
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

// maxSteps bounds the orders of one tick, so that each tick begins with a new
// look at the lease and the site text.
const maxSteps = 8

func (m *Manager) tick(ctx context.Context) {
	hold := m.deps.Lease.Current()
	if !hold.IsValid(time.Now()) {
		m.forget()
		return
	}
	if hold.FencingToken != m.fence {
		m.begin(hold)
	}
	text := m.deps.Site.Current()
	if text == nil || m.fenced || !m.mayActOn(ctx, text) {
		return
	}
	m.takeHints()
	if m.observe(ctx, text, m.steadyAge()) != nil {
		return
	}
	for range maxSteps {
		if !m.step(ctx, hold, text) {
			return
		}
	}
}

// begin drops what was seen under an earlier hold.
func (m *Manager) begin(hold lease.Lease) {
	m.forget()
	m.fence = hold.FencingToken
}

func (m *Manager) forget() {
	if m.fence == 0 {
		return
	}
	m.fence, m.fenced, m.said = 0, false, placement.Step{}
	m.acted = revisionMark{}
	clear(m.engines)
	m.set(Report{})
}

func (m *Manager) set(r Report) {
	m.mu.Lock()
	m.report = r
	m.mu.Unlock()
}

// step decides and carries out one order. It reports whether another may follow.
func (m *Manager) step(ctx context.Context, hold lease.Lease, text *site.Site) bool {
	step := m.plan(ctx, hold, text)
	if step.ReducesCapacity && m.observe(ctx, text, m.cfg.MaxObservationAge) == nil {
		step = m.plan(ctx, hold, text)
	}
	m.set(Report{HoldsLease: true, Fence: hold.FencingToken, Revision: text.Revision, LastStep: step, DecidedAt: time.Now()})
	m.say(step, text)
	if step.Kind != placement.Load && step.Kind != placement.Unload {
		return false
	}
	return m.give(ctx, text, step)
}

// say logs a decision to wait or do nothing when it differs from the last.
func (m *Manager) say(step placement.Step, text *site.Site) {
	m.met.steps.WithLabelValues(step.Kind.String(), string(step.Reason)).Inc()
	if step == m.said {
		return
	}
	m.said = step
	switch step.Kind {
	case placement.Wait:
		m.deps.Log.Emit(event.PlacementWaits, step.Service, string(step.Reason), text.Revision)
	case placement.None:
		m.deps.Log.Emit(event.PlacementConverged, text.Revision)
	}
}

// give sends one order under the hold, if that still lasts, and looks at what
// became of it.
func (m *Manager) give(ctx context.Context, text *site.Site, step placement.Step) bool {
	o, ok := m.engines[step.Backend]
	hold := m.deps.Lease.Current()
	if !ok || hold.FencingToken != m.fence || !hold.IsValid(time.Now()) {
		return false
	}
	order := engine.Order{ID: uuid.NewString(), Kind: orderKind(step.Kind), Ref: toEngine(step.Ref), Fence: hold.FencingToken}
	until := time.Now().Add(m.cfg.OrderTimeout)
	if hold.ExpiresAt.Before(until) {
		until = hold.ExpiresAt
	}
	orderCtx, cancel := context.WithDeadline(ctx, until)
	err := o.eng.Order(orderCtx, order)
	cancel()
	m.met.orders.WithLabelValues(string(order.Kind), outcome(err)).Inc()
	if err != nil {
		m.failed(o, order, step, err)
		return !m.fenced
	}
	o.pending = true
	m.deps.Log.Emit(event.PlacementOrdered, order.ID, string(order.Kind), step.Backend, step.Service,
		step.Ref.String(), string(step.Reason), order.Fence, text.Revision)
	m.poll(ctx, o)
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
