package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"mallowwind.dev/decision/gossip"
	"mallowwind.dev/external/vmlist"
	"mallowwind.dev/peer/link"
	"mallowwind.dev/peer/peerpb"
	"mallowwind.dev/telemetry/event"
)

// Deps are what a Manager works with.
type Deps struct {
	// Self is this daemon; State is ignored.
	Self Member
	// VMs is the platform's list, usually by way of backends.Manager.
	VMs vmlist.Source
	// Dialer reaches other daemons.
	Dialer *link.Dialer
	// PeerAddress returns where a listed entry VM takes calls from other
	// daemons; nil means VM.Address. It is needed for first contact only.
	PeerAddress func(vmlist.VM) string
	Log         *event.Log
	Registerer  prometheus.Registerer // nil keeps the metrics unregistered
	Config      Config
}

// Manager is the Source in use and the twirp service Membership.
type Manager struct {
	deps    Deps
	cfg     Config
	met     metrics
	current atomic.Pointer[View]
	news    chan struct{}
	probes  sync.WaitGroup

	onDigest []func(m Member, name string, version uint64)
	onChange []func(*View)
	onVM     []func(VMChange)
	onReport []func(id string, digest uint64)

	mu         sync.Mutex
	table      *gossip.Table
	rng        *rand.Rand
	digests    map[string]uint64
	vms        board[row]
	reports    board[uint64]
	leaving    bool
	superseded bool
	published  uint64
}

var _ peerpb.Membership = (*Manager)(nil)

// NewManager returns a Manager that knows only this daemon until Run has made
// contact with others. Its handler is peerpb.NewMembershipServer(m).
func NewManager(deps Deps) *Manager {
	if deps.Log == nil {
		deps.Log = event.Discard()
	}
	if deps.Config == (Config{}) {
		deps.Config = DefaultConfig()
	}
	if deps.PeerAddress == nil {
		deps.PeerAddress = func(vm vmlist.VM) string { return vm.Address }
	}
	seed := xxhash.Sum64String(deps.Self.ID)
	rng := rand.New(rand.NewPCG(seed, deps.Self.Incarnation))
	m := &Manager{
		deps:    deps,
		cfg:     deps.Config,
		met:     newMetrics(deps.Registerer),
		news:    make(chan struct{}, 1),
		rng:     rng,
		digests: make(map[string]uint64),
		vms:     make(board[row]),
		reports: make(board[uint64]),
	}
	deps.Self.State = Alive
	m.table = gossip.New(toRecord(deps.Self), m.cfg.Gossip, rng)
	m.publish()
	return m
}

// Current returns the newest view.
func (m *Manager) Current() *View { return m.current.Load() }

// OnDigest registers f to be called with every versioned thing that another
// daemon says it holds, at each exchange with that daemon. f must not block.
// Call OnDigest before Run.
func (m *Manager) OnDigest(f func(from Member, name string, version uint64)) {
	m.onDigest = append(m.onDigest, f)
}

// OnChange registers f to be called after each change of the view. f must not
// block. Call OnChange before Run.
func (m *Manager) OnChange(f func(*View)) { m.onChange = append(m.onChange, f) }

// SetDigest says which version of something this daemon holds. A higher one
// is told to a few others at once, and to each neighbour at its next exchange.
func (m *Manager) SetDigest(name string, version uint64) {
	m.mu.Lock()
	changed := m.digests[name] != version
	m.digests[name] = version
	m.mu.Unlock()
	if changed {
		m.wake()
	}
}

// AnnounceCallerAddr tells the others where callers reach this daemon. Until then it takes
// part without being named to callers.
func (m *Manager) AnnounceCallerAddr(caller string) {
	m.mu.Lock()
	c := m.table.SetCallerAddr(caller)
	m.mu.Unlock()
	m.changed([]gossip.Change{c}, "")
}

// Leave tells the others that this daemon leaves. It keeps taking part until
// Run's context ends.
func (m *Manager) Leave() {
	m.mu.Lock()
	done := m.leaving
	m.leaving = true
	var c gossip.Change
	if !done {
		c = m.table.Leave(gossip.Leaving)
	}
	m.mu.Unlock()
	if !done {
		m.changed([]gossip.Change{c}, "")
	}
}

func (m *Manager) wake() {
	select {
	case m.news <- struct{}{}:
	default:
	}
}

// Run takes part in membership until ctx ends; a daemon that has called Leave
// then says goodbye.
func (m *Manager) Run(ctx context.Context) error {
	list := time.NewTimer(0)
	round := time.NewTimer(m.firstRound())
	spread := time.NewTimer(time.Hour)
	spread.Stop()
	pending := false
	budget := rate.NewLimiter(rate.Every(m.cfg.FanoutInterval), m.cfg.FanoutBurst)
	for {
		select {
		case <-ctx.Done():
			m.probes.Wait()
			m.goodbye()
			return ctx.Err()
		case <-list.C:
			m.readList(ctx)
			list.Reset(m.cfg.ListInterval)
		case <-round.C:
			m.round(ctx)
			round.Reset(m.interval())
		case <-m.news:
			if !pending {
				pending = true
				spread.Reset(max(m.cfg.FanoutDelay, budget.Reserve().Delay()))
			}
		case <-spread.C:
			pending = false
			m.spread(ctx)
		}
	}
}

// firstRound puts daemons that start together at different places of the interval.
func (m *Manager) firstRound() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(m.rng.Int64N(int64(m.cfg.Gossip.ProbeInterval)))
}

func (m *Manager) interval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(float64(m.cfg.Gossip.ProbeInterval) * (1 + m.cfg.JitterRatio*(2*m.rng.Float64()-1)))
}

func (m *Manager) readList(ctx context.Context) {
	readCtx, cancel := context.WithTimeout(ctx, m.cfg.ListInterval)
	defer cancel()
	rows, err := m.deps.VMs.List(readCtx)
	if err != nil {
		return // whoever reads the platform's list has logged it
	}
	var listed []gossip.ListedVM
	for _, vm := range rows {
		if vm.Role == vmlist.RoleEntry {
			listed = append(listed, gossip.ListedVM{
				ID: vm.ID, Zone: vm.Zone, Region: vm.Region,
				PeerAddr: m.deps.PeerAddress(vm), Leaving: vm.State == vmlist.Leaving,
			})
		}
	}
	m.mu.Lock()
	m.table.SetVMList(listed)
	m.mu.Unlock()
	m.publish()
}

// round advances the time and probes this round's targets.
func (m *Manager) round(ctx context.Context) {
	now := time.Now()
	m.mu.Lock()
	changes := m.table.Tick(now)
	targets := m.table.ExchangeTargets()
	m.mu.Unlock()
	m.changed(changes, "")
	for _, target := range targets {
		m.probes.Go(func() { m.probe(ctx, target) })
	}
}

// spread passes news on at once.
func (m *Manager) spread(ctx context.Context) {
	m.mu.Lock()
	targets := m.table.FanoutTargets()
	m.mu.Unlock()
	for _, target := range targets {
		m.probes.Go(func() { _ = m.exchange(ctx, target) })
	}
}

// goodbye tells a few others that a daemon that left is gone, so that nobody
// spends probes on finding out.
func (m *Manager) goodbye() {
	m.mu.Lock()
	leaving := m.leaving
	if leaving {
		m.table.Leave(gossip.Gone)
	}
	m.mu.Unlock()
	if leaving {
		m.spread(context.Background())
		m.probes.Wait()
	}
}

// changed logs changes, publishes the view and passes the news on.
func (m *Manager) changed(changes []gossip.Change, by string) {
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		m.report(c, by)
	}
	m.publish()
	m.wake()
}

func (m *Manager) report(c gossip.Change, by string) {
	m.met.changes.WithLabelValues(c.Record.State.String()).Inc()
	switch c.Reason {
	case gossip.ReasonRefuted:
		m.deps.Log.Emit(event.MemberRefuted, c.From.String(), c.Record.Refutation, by)
	case gossip.ReasonSuperseded:
		m.mu.Lock()
		first := !m.superseded
		m.superseded = true
		m.mu.Unlock()
		if first {
			m.deps.Log.Emit(event.MemberSuperseded, c.Record.Incarnation, by)
		}
	default:
		m.deps.Log.Emit(event.MemberState, c.Record.ID, c.From.String(), c.Record.State.String(), c.Record.Incarnation, string(c.Reason))
	}
}

// publish swaps in a new view if the table changed.
func (m *Manager) publish() {
	m.mu.Lock()
	if m.published == m.table.Version() {
		m.mu.Unlock()
		return
	}
	m.published = m.table.Version()
	records := m.table.Members()
	view := &View{Self: toMember(m.table.Self()), Members: make([]Member, len(records))}
	for i, rec := range records {
		view.Members[i] = toMember(rec)
	}
	m.current.Store(view)
	m.mu.Unlock()
	m.met.known.Set(float64(len(view.Members)))
	for _, f := range m.onChange {
		f(view)
	}
}
