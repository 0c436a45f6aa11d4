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

// Deps are the dependencies of a Manager.
type Deps struct {
	// Self is this daemon; State is ignored.
	Self Member
	// VMs is the platform's VM list, usually read through backends.Manager.
	VMs vmlist.Source
	// Dialer connects to other daemons.
	Dialer *link.Dialer
	// PeerAddress returns the address at which a listed entry VM accepts calls from other daemons;
	// nil means VM.Address. It is used for the first contact only.
	PeerAddress func(vmlist.VM) string
	Log         *event.Log
	Registerer  prometheus.Registerer // nil keeps the metrics unregistered
	Config      Config
}

// Manager maintains this daemon's view of the entry VMs. It implements Source and the twirp service
// Membership.
type Manager struct {
	deps            Deps
	cfg             Config
	metrics         metrics
	current         atomic.Pointer[View]
	fanoutRequested chan struct{}
	probes          sync.WaitGroup

	onDigest   []func(m Member, name string, version uint64)
	onChange   []func(*View)
	onVMChange []func(VMChange)
	onReport   []func(id string, digest uint64)

	mu               sync.Mutex
	table            *gossip.Table
	rng              *rand.Rand
	digests          map[string]uint64
	vmChanges        broadcastQueue[vmState]
	reportChanges    broadcastQueue[uint64]
	leaving          bool
	supersededLogged bool
	publishedVersion uint64
}

var _ peerpb.Membership = (*Manager)(nil)

// NewManager returns a Manager that knows only this daemon until Run has contacted others. Its HTTP
// handler is peerpb.NewMembershipServer(m).
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
		deps:            deps,
		cfg:             deps.Config,
		metrics:         newMetrics(deps.Registerer),
		fanoutRequested: make(chan struct{}, 1),
		rng:             rng,
		digests:         make(map[string]uint64),
		vmChanges:       make(broadcastQueue[vmState]),
		reportChanges:   make(broadcastQueue[uint64]),
	}
	deps.Self.State = Alive
	m.table = gossip.New(toRecord(deps.Self), m.cfg.Gossip, rng)
	m.publish()
	return m
}

// Current returns the newest view.
func (m *Manager) Current() *View { return m.current.Load() }

// OnDigest registers f to be called with each version that another daemon announced by SetDigest, at
// each exchange with that daemon. f must not block. Call OnDigest before Run.
func (m *Manager) OnDigest(f func(from Member, name string, version uint64)) {
	m.onDigest = append(m.onDigest, f)
}

// OnChange registers f to be called after each change of the view. f must not block. Call OnChange
// before Run.
func (m *Manager) OnChange(f func(*View)) { m.onChange = append(m.onChange, f) }

// SetDigest announces which version of the named data this daemon holds. The version is part of
// every later message; if it has changed, a fan-out sends it to a few members soon.
func (m *Manager) SetDigest(name string, version uint64) {
	m.mu.Lock()
	changed := m.digests[name] != version
	m.digests[name] = version
	m.mu.Unlock()
	if changed {
		m.requestFanout()
	}
}

// AnnounceCallerAddr announces the address at which callers reach this daemon. Until then this
// daemon is a member that callers are not sent to.
func (m *Manager) AnnounceCallerAddr(caller string) {
	m.mu.Lock()
	c := m.table.SetCallerAddr(caller)
	m.mu.Unlock()
	m.handleChanges([]gossip.Change{c}, "")
}

// Leave announces that this daemon is leaving. It remains a member until Run's context ends.
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
		m.handleChanges([]gossip.Change{c}, "")
	}
}

func (m *Manager) requestFanout() {
	select {
	case m.fanoutRequested <- struct{}{}:
	default:
	}
}

// Run exchanges with other daemons until ctx ends. After Leave, it then announces that this daemon
// is gone.
func (m *Manager) Run(ctx context.Context) error {
	list := time.NewTimer(0)
	round := time.NewTimer(m.firstRoundDelay())
	fanout := time.NewTimer(time.Hour)
	fanout.Stop()
	pending := false
	budget := rate.NewLimiter(rate.Every(m.cfg.FanoutInterval), m.cfg.FanoutBurst)
	for {
		select {
		case <-ctx.Done():
			m.probes.Wait()
			m.announceDeparture()
			return ctx.Err()
		case <-list.C:
			m.readList(ctx)
			list.Reset(m.cfg.ListInterval)
		case <-round.C:
			m.round(ctx)
			round.Reset(m.roundInterval())
		case <-m.fanoutRequested:
			if !pending {
				pending = true
				fanout.Reset(max(m.cfg.FanoutDelay, budget.Reserve().Delay()))
			}
		case <-fanout.C:
			pending = false
			m.fanOut(ctx)
		}
	}
}

// firstRoundDelay returns a random delay within one interval, so that daemons that start together do
// not run their rounds at the same time.
func (m *Manager) firstRoundDelay() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(m.rng.Int64N(int64(m.cfg.Gossip.ProbeInterval)))
}

func (m *Manager) roundInterval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(float64(m.cfg.Gossip.ProbeInterval) * (1 + m.cfg.JitterRatio*(2*m.rng.Float64()-1)))
}

func (m *Manager) readList(ctx context.Context) {
	readCtx, cancel := context.WithTimeout(ctx, m.cfg.ListInterval)
	defer cancel()
	rows, err := m.deps.VMs.List(readCtx)
	if err != nil {
		return // logged by the reader of the platform's list
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

// round advances the table's time and probes the targets of this round.
func (m *Manager) round(ctx context.Context) {
	now := time.Now()
	m.mu.Lock()
	changes := m.table.Tick(now)
	targets := m.table.ExchangeTargets()
	m.mu.Unlock()
	m.handleChanges(changes, "")
	for _, target := range targets {
		m.probes.Go(func() { m.probe(ctx, target) })
	}
}

// fanOut exchanges with a few members outside the regular rounds, to spread updates quickly.
func (m *Manager) fanOut(ctx context.Context) {
	m.mu.Lock()
	targets := m.table.FanoutTargets()
	m.mu.Unlock()
	for _, target := range targets {
		m.probes.Go(func() { _ = m.exchange(ctx, target) })
	}
}

// announceDeparture tells a few members that this daemon is gone if it has called Leave, so that the
// others do not have to find out by failed probes.
func (m *Manager) announceDeparture() {
	m.mu.Lock()
	leaving := m.leaving
	if leaving {
		m.table.Leave(gossip.Gone)
	}
	m.mu.Unlock()
	if leaving {
		m.fanOut(context.Background())
		m.probes.Wait()
	}
}

// handleChanges logs the changes, publishes the view and requests a fan-out.
func (m *Manager) handleChanges(changes []gossip.Change, by string) {
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		m.logChange(c, by)
	}
	m.publish()
	m.requestFanout()
}

func (m *Manager) logChange(c gossip.Change, by string) {
	m.metrics.changes.WithLabelValues(c.Record.State.String()).Inc()
	switch c.Reason {
	case gossip.ReasonRefuted:
		m.deps.Log.Emit(event.MemberRefuted, c.From.String(), c.Record.Refutation, by)
	case gossip.ReasonSuperseded:
		m.mu.Lock()
		first := !m.supersededLogged
		m.supersededLogged = true
		m.mu.Unlock()
		if first {
			m.deps.Log.Emit(event.MemberSuperseded, c.Record.Incarnation, by)
		}
	default:
		m.deps.Log.Emit(event.MemberState, c.Record.ID, c.From.String(), c.Record.State.String(), c.Record.Incarnation, string(c.Reason))
	}
}

// publish replaces the view and calls the OnChange functions if the table has changed.
func (m *Manager) publish() {
	m.mu.Lock()
	if m.publishedVersion == m.table.Version() {
		m.mu.Unlock()
		return
	}
	m.publishedVersion = m.table.Version()
	records := m.table.Members()
	view := &View{Self: toMember(m.table.Self()), Members: make([]Member, len(records))}
	for i, rec := range records {
		view.Members[i] = toMember(rec)
	}
	m.current.Store(view)
	m.mu.Unlock()
	m.metrics.knownMembers.Set(float64(len(view.Members)))
	for _, f := range m.onChange {
		f(view)
	}
}
