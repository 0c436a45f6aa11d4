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

// Deps holds the dependencies of a Manager.
type Deps struct {
	Self string // VM ID of this daemon; determines its subset
	Zone string
	VMs  vmlist.Source
	// Engine returns the client of the engine at an address.
	Engine func(address string) engine.Engine
	// PoolKind returns the kind of a pool according to the site text in force. If it is nil, all pools
	// hold engines.
	PoolKind func(pool string) Kind
	// IsReader reports whether this daemon is one of the given number of daemons that read the list
	// for its zone. If it is nil, the daemon is a reader. See ReaderElection.
	IsReader func(readers int) bool
	Log      *event.Log
	// Registerer registers the metrics; if it is nil, they are not registered.
	Registerer prometheus.Registerer
	Config     Config
}

// Manager is the Source used in production. It reads the VM list, selects this daemon's subset of
// every pool and polls the engines in the subset.
type Manager struct {
	deps    Deps
	cfg     Config
	metrics metrics

	current   atomic.Pointer[Snapshot]
	wake      chan struct{}
	pollSlots chan struct{}

	mu             sync.Mutex
	rng            *rand.Rand
	entries        map[string]*entry
	list           []vmlist.VM
	subset         map[string]vmlist.VM // this daemon's subset of list, by VM ID
	listReadAt     time.Time
	changedAt      map[string]time.Time // when a change of each VM was last seen
	version        uint64
	missingOnce    map[string]vmlist.VM // VMs that the last read lacked and the read before it contained
	onVMChange     []func(membership.VMChange)
	onReportChange []func(id string, digest uint64)
}

// NewManager returns a Manager whose snapshot is empty until Run has read the list.
func NewManager(deps Deps) *Manager {
	if deps.Log == nil {
		deps.Log = event.Discard()
	}
	if deps.Config == (Config{}) {
		deps.Config = DefaultConfig()
	}
	seed := xxhash.Sum64String(deps.Self)
	m := &Manager{
		deps:      deps,
		cfg:       deps.Config,
		metrics:   newMetrics(deps.Registerer),
		wake:      make(chan struct{}, 1),
		pollSlots: make(chan struct{}, deps.Config.MaxConcurrentPolls),
		rng:       rand.New(rand.NewPCG(seed, seed)),
		entries:   make(map[string]*entry),
		changedAt: make(map[string]time.Time),
	}
	m.current.Store(&Snapshot{Pools: map[string][]*Backend{}})
	return m
}

// Current returns the latest snapshot.
func (m *Manager) Current() *Snapshot { return m.current.Load() }

// List returns the list as last read, with the changes that other daemons found, so that the other
// users of the list in this daemon need no reads of their own. It implements vmlist.Source.
func (m *Manager) List(context.Context) ([]vmlist.VM, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.list == nil {
		return nil, errors.New("backends: the VM list has not been read yet")
	}
	return m.list, nil
}

// Run reads the VM list and polls the engines until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { m.pollLoop(ctx) })
	for ctx.Err() == nil {
		if m.shouldReadList() {
			m.readList(ctx)
		} else {
			m.applyList(m.listRows(), time.Now())
		}
		pause.For(ctx, m.jittered(m.cfg.ListInterval))
	}
	wg.Wait()
	return ctx.Err()
}

// shouldReadList reports whether this daemon should read the list now instead of relying on
// readers.
func (m *Manager) shouldReadList() bool {
	age := m.listAge()
	return age == 0 || age >= m.cfg.NonReaderListInterval || m.deps.IsReader == nil || m.deps.IsReader(m.cfg.ReadersPerZone)
}

func (m *Manager) listRows() []vmlist.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list
}

// readList reads the list once, applies it if it is credible and announces the changes.
func (m *Manager) readList(ctx context.Context) {
	readCtx, cancel := context.WithTimeout(ctx, m.cfg.ListTimeout)
	rows, err := m.deps.VMs.List(readCtx)
	cancel()
	m.metrics.listReads.Inc()
	if err == nil {
		err = m.checkCredible(rows)
	}
	if err != nil {
		m.metrics.listReadFailures.Inc()
		m.deps.Log.Emit(event.VMListFailed, err.Error(), m.listAge())
		return
	}
	rows = sorted(rows)
	now := time.Now()
	m.mu.Lock()
	first := m.listReadAt.IsZero()
	m.listReadAt = now
	changes := m.diffList(rows, now)
	m.mu.Unlock()
	m.applyList(rows, now)
	if first {
		return // the first read has no earlier list to differ from
	}
	for _, n := range changes {
		for _, f := range m.onVMChange {
			f(n)
		}
	}
}

// checkCredible rejects a list without any backend server if the daemon knows some. The store
// behind the list may be empty after a restart, and a daemon that trusted such a list would drain
// all backend servers at once.
func (m *Manager) checkCredible(rows []vmlist.VM) error {
	for _, vm := range rows {
		if vm.Role == vmlist.RoleBackend {
			return nil
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.entries) > 0 {
		return errors.New("the VM list contains no backend server")
	}
	return nil
}

func (m *Manager) listAge() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.listReadAt.IsZero() {
		return 0
	}
	return time.Since(m.listReadAt)
}

// applyList merges rows into the entries and publishes a snapshot.
func (m *Manager) applyList(rows []vmlist.VM, now time.Time) {
	m.mu.Lock()
	if m.subset == nil || !slices.Equal(rows, m.list) {
		m.list, m.subset = rows, m.subsetRows(rows)
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

	m.metrics.known.Set(float64(known))
	m.logChanges(changes)
	m.wakePoller()
}

// subsetRows returns the rows of this daemon's subset by VM ID.
func (m *Manager) subsetRows(rows []vmlist.VM) map[string]vmlist.VM {
	daemons := 0
	pools := make(map[string][]vmlist.VM)
	localSizes := make(map[string]int)
	for _, vm := range rows {
		if vm.Role == vmlist.RoleEntry && vm.Zone == m.deps.Zone {
			daemons++
		}
		if vm.Role != vmlist.RoleBackend {
			continue
		}
		pools[vm.Pool] = append(pools[vm.Pool], vm)
		if vm.Zone == m.deps.Zone {
			localSizes[vm.Pool]++
		}
	}
	out := make(map[string]vmlist.VM)
	for name, pool := range pools {
		localSize := localSubsetSize(m.cfg.LocalSubsetSize, m.cfg.DaemonsPerBackend, localSizes[name], daemons)
		for _, vm := range subset(m.deps.Self, m.deps.Zone, pool, localSize, m.cfg.RemoteSubsetSize) {
			out[vm.ID] = vm
		}
	}
	return out
}

func (m *Manager) logChanges(changes []change) {
	for _, c := range changes {
		if c.forgotten {
			m.deps.Log.Emit(event.BackendForgotten, c.vm.ID, c.vm.Pool)
		} else {
			m.deps.Log.Emit(event.BackendLeaving, c.vm.ID, c.vm.Pool, c.reason)
		}
	}
}

// jittered adds jitter to d, so that daemons that started together do not send their calls at the
// same time.
func (m *Manager) jittered(d time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(float64(d) * (1 + m.cfg.JitterRatio*(2*m.rng.Float64()-1)))
}
