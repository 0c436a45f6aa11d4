package backends

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"mallowwind.dev/control/membership"
	"mallowwind.dev/control/pause"
	"mallowwind.dev/external/engine"
	"mallowwind.dev/external/vmlist"
	"mallowwind.dev/telemetry/event"
)

// Deps are what a Manager works with.
type Deps struct {
	Self string // VM id of this daemon; picks its subset
	Zone string
	VMs  vmlist.Source
	// Engine returns the client of the engine at an address.
	Engine func(address string) engine.Engine
	// PoolKind says what the site text in force says of a pool; nil means that all
	// hold engines.
	PoolKind func(pool string) Kind
	// IsReader reports whether this daemon is one of its zone's readers of the
	// list, given their number; nil means that it is. See Readers.
	IsReader func(readers int) bool
	Log      *event.Log
	// Registerer takes the metrics; nil keeps them unregistered.
	Registerer prometheus.Registerer
	Config     Config
}

// Manager is the Source in use. It reads the VM list, picks this daemon's
// subset of every pool and polls the engines in it.
type Manager struct {
	deps Deps
	cfg  Config
	met  metrics

	current atomic.Pointer[Snapshot]
	wake    chan struct{}
	slots   chan struct{}

	mu       sync.Mutex
	rng      *rand.Rand
	entries  map[string]*entry
	list     []vmlist.VM
	subset   map[string]vmlist.VM // of list
	listedAt time.Time
	news     map[string]time.Time // when each VM that changed was last seen to
	version  uint64
	missing  map[string]vmlist.VM // VMs that the last read lacked for the first time
	onNews   []func(membership.VMChange)
	onReport []func(id string, digest uint64)
}

// NewManager returns a Manager that knows nothing until Run has read the list.
func NewManager(deps Deps) *Manager {
	if deps.Log == nil {
		deps.Log = event.Discard()
	}
	if deps.Config == (Config{}) {
		deps.Config = DefaultConfig()
	}
	seed := xxhash.Sum64String(deps.Self)
	m := &Manager{
		deps:    deps,
		cfg:     deps.Config,
		met:     newMetrics(deps.Registerer),
		wake:    make(chan struct{}, 1),
		slots:   make(chan struct{}, deps.Config.MaxConcurrentPolls),
		rng:     rand.New(rand.NewPCG(seed, seed)),
		entries: make(map[string]*entry),
		news:    make(map[string]time.Time),
	}
	m.current.Store(&Snapshot{Pools: map[string][]*Backend{}})
	return m
}

// Current returns the newest snapshot.
func (m *Manager) Current() *Snapshot { return m.current.Load() }

// List returns the rows of the last list that was read, so that others who
// need the list share one read of it. It implements vmlist.Source.
func (m *Manager) List(context.Context) ([]vmlist.VM, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.list == nil {
		return nil, errors.New("backends: the VM list has not been read yet")
	}
	return m.list, nil
}

// Run reads and polls until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { m.pollLoop(ctx) })
	for ctx.Err() == nil {
		if m.mustRead() {
			m.readList(ctx)
		} else {
			m.take(m.rows(), time.Now())
		}
		pause.For(ctx, m.jittered(m.cfg.ListInterval))
	}
	wg.Wait()
	return ctx.Err()
}

// mustRead reports whether it is this daemon's turn to read the list.
func (m *Manager) mustRead() bool {
	age := m.listAge()
	return age == 0 || age >= m.cfg.NonReaderListInterval || m.deps.IsReader == nil || m.deps.IsReader(m.cfg.ReadersPerZone)
}

func (m *Manager) rows() []vmlist.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list
}

// readList reads the list once and takes it over if it is credible.
func (m *Manager) readList(ctx context.Context) {
	readCtx, cancel := context.WithTimeout(ctx, m.cfg.ListTimeout)
	rows, err := m.deps.VMs.List(readCtx)
	cancel()
	m.met.lists.Inc()
	if err == nil {
		err = m.credible(rows)
	}
	if err != nil {
		m.met.listFailures.Inc()
		m.deps.Log.Emit(event.VMListFailed, err.Error(), m.listAge())
		return
	}
	rows = sorted(rows)
	now := time.Now()
	m.mu.Lock()
	first := m.listedAt.IsZero()
	m.listedAt = now
	news := m.differences(rows, now)
	m.mu.Unlock()
	m.take(rows, now)
	if first {
		return // nothing is news to a daemon that has just started
	}
	for _, n := range news {
		for _, f := range m.onNews {
			f(n)
		}
	}
}

// credible refuses a list without any backend server when there were some.
// The failure: the list's own store is empty after a restart, and a daemon
// that believed it would drain everything at once.
func (m *Manager) credible(rows []vmlist.VM) error {
	for _, vm := range rows {
		if vm.Role == vmlist.RoleBackend {
			return nil
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.entries) > 0 {
		return errors.New("the VM list shows no backend server at all")
	}
	return nil
}

func (m *Manager) listAge() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.listedAt.IsZero() {
		return 0
	}
	return time.Since(m.listedAt)
}

// take merges the rows into the picture and publishes it.
func (m *Manager) take(rows []vmlist.VM, now time.Time) {
	m.mu.Lock()
	if m.subset == nil || !slices.Equal(rows, m.list) {
		m.list, m.subset = rows, m.wanted(rows)
	}
	listed := make(map[string]bool, len(m.entries))
	for _, vm := range rows {
		if _, known := m.entries[vm.ID]; known {
			listed[vm.ID] = true
		}
	}
	changes := m.merge(m.subset, listed, now)
	m.publish()
	known := len(m.entries)
	m.mu.Unlock()

	m.met.known.Set(float64(known))
	m.report(changes)
	m.poke()
}

// wanted returns the rows of this daemon's subset by id.
func (m *Manager) wanted(rows []vmlist.VM) map[string]vmlist.VM {
	daemons := 0
	pools := make(map[string][]vmlist.VM)
	here := make(map[string]int)
	for _, vm := range rows {
		if vm.Role == vmlist.RoleEntry && vm.Zone == m.deps.Zone {
			daemons++
		}
		if vm.Role != vmlist.RoleBackend {
			continue
		}
		pools[vm.Pool] = append(pools[vm.Pool], vm)
		if vm.Zone == m.deps.Zone {
			here[vm.Pool]++
		}
	}
	out := make(map[string]vmlist.VM)
	for name, pool := range pools {
		near := nearSize(m.cfg.LocalSubsetSize, m.cfg.DaemonsPerBackend, here[name], daemons)
		for _, vm := range subset(m.deps.Self, m.deps.Zone, pool, near, m.cfg.RemoteSubsetSize) {
			out[vm.ID] = vm
		}
	}
	return out
}

func (m *Manager) report(changes []change) {
	for _, c := range changes {
		if c.forgot {
			m.deps.Log.Emit(event.BackendForgotten, c.vm.ID, c.vm.Pool)
		} else {
			m.deps.Log.Emit(event.BackendLeaving, c.vm.ID, c.vm.Pool, c.reason)
		}
	}
}

// jittered varies d, so that daemons started together do not call together.
func (m *Manager) jittered(d time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(float64(d) * (1 + m.cfg.JitterRatio*(2*m.rng.Float64()-1)))
}
