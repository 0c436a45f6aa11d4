package lease

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"mallowwind.dev/control/membership"
	"mallowwind.dev/control/pause"
	"mallowwind.dev/external/store"
	"mallowwind.dev/telemetry/event"
)

// Prefix is the prefix of the store keys of the zones' leases.
const Prefix = "lease/zone/"

// Deps are the dependencies of a Manager.
type Deps struct {
	Store      store.Store
	Members    membership.Source
	Log        *event.Log
	Registerer prometheus.Registerer // nil keeps the metrics unregistered
	Config     Config
}

// Manager acquires, renews and releases the lease of this daemon's zone. It implements Source.
type Manager struct {
	deps    Deps
	cfg     Config
	metrics metrics
	key     string
	value   string
	rng     *rand.Rand
	current atomic.Pointer[Lease]

	// Used by Run only.
	leaseID      store.LeaseID // kept after current has expired, to retry the renewal
	fencingToken uint64
	absentSince  time.Time // when the key was first found missing
}

// NewManager returns a Manager that does not hold the lease until Run acquires it.
func NewManager(deps Deps) *Manager {
	if deps.Log == nil {
		deps.Log = event.Discard()
	}
	if deps.Config == (Config{}) {
		deps.Config = DefaultConfig()
	}
	self := deps.Members.Current().Self
	seed := xxhash.Sum64String(self.ID)
	m := &Manager{
		deps:    deps,
		cfg:     deps.Config,
		metrics: newMetrics(deps.Registerer),
		key:     Prefix + self.Zone,
		value:   self.ID + " " + strconv.FormatUint(self.Incarnation, 10),
		rng:     rand.New(rand.NewPCG(seed, self.Incarnation)),
	}
	m.current.Store(&Lease{})
	return m
}

// Current implements Source.
func (m *Manager) Current() Lease { return *m.current.Load() }

// Run competes for the lease until ctx ends, then releases it.
func (m *Manager) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause.For(ctx, m.step(ctx))
	}
	m.release("the daemon stops")
	return ctx.Err()
}

// step renews the lease, checks the key or competes for the lease, and returns the time until the
// next step.
func (m *Manager) step(ctx context.Context) time.Duration {
	view := m.deps.Members.Current()
	if view.Self.State == membership.Leaving && m.leaseID != 0 {
		m.release("the daemon leaves")
	}
	rank := Rank(view, m.cfg.Candidates)
	switch {
	case m.leaseID != 0:
		return m.renew(ctx)
	case rank < 0:
		m.absentSince = time.Time{}
		return m.withJitter(m.cfg.CheckInterval)
	default:
		return m.contend(ctx, rank)
	}
}

// renew extends the lease. While the store does not answer, current expires at its own time. The
// lease in the store may last longer, so renewal is retried until the store reports that the lease
// is gone. If it is not gone, no other daemon can have held it in the meantime, and the fencing
// token is still valid.
func (m *Manager) renew(ctx context.Context) time.Duration {
	before := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, m.cfg.CallTimeout)
	ttl, err := m.deps.Store.KeepAlive(callCtx, m.leaseID)
	cancel()
	m.metrics.storeCalls.Inc()
	switch {
	case err == nil:
		m.extend(before.Add(min(ttl, m.cfg.TTL) - m.cfg.ExpiryMargin))
		return m.cfg.RenewInterval
	case errors.Is(err, store.ErrLeaseGone):
		m.forget("the store ended the lease")
		return m.withJitter(m.cfg.CheckInterval)
	}
	m.deps.Log.Emit(event.LeaseFailed, m.key, err.Error())
	if l := m.Current(); l.FencingToken != 0 && !l.IsValid(time.Now()) {
		m.markLost("not renewed in time")
	}
	return m.withJitter(m.cfg.RenewInterval / 3)
}

// contend reads the key and acquires the lease if no daemon holds it. Each candidate waits in
// proportion to its rank before it does, so that candidates rarely collide.
func (m *Manager) contend(ctx context.Context, rank int) time.Duration {
	callCtx, cancel := context.WithTimeout(ctx, m.cfg.CallTimeout)
	_, err := m.deps.Store.Get(callCtx, m.key)
	cancel()
	m.metrics.storeCalls.Inc()
	now := time.Now()
	switch {
	case err == nil:
		m.absentSince = time.Time{}
		return m.withJitter(m.cfg.CheckInterval)
	case !errors.Is(err, store.ErrNotFound):
		m.deps.Log.Emit(event.LeaseFailed, m.key, err.Error())
		return m.withJitter(m.cfg.CheckInterval)
	}
	if m.absentSince.IsZero() {
		m.absentSince = now
	}
	if turn := m.absentSince.Add(time.Duration(rank) * m.cfg.RenewInterval / 2); now.Before(turn) {
		return turn.Sub(now)
	}
	if m.acquire(ctx) {
		return m.cfg.RenewInterval
	}
	return m.withJitter(m.cfg.CheckInterval)
}

// acquire creates a store lease and writes the key bound to it. It reports whether it succeeded.
func (m *Manager) acquire(ctx context.Context) bool {
	m.absentSince = time.Time{}
	before := time.Now()
	ctx, cancel := context.WithTimeout(ctx, 2*m.cfg.CallTimeout)
	defer cancel()
	id, err := m.deps.Store.Grant(ctx, m.cfg.TTL)
	m.metrics.storeCalls.Inc()
	if err != nil {
		m.deps.Log.Emit(event.LeaseFailed, m.key, err.Error())
		return false
	}
	version, err := m.create(ctx, id)
	if err != nil {
		m.revoke(id)
		if !errors.Is(err, store.ErrConflict) {
			m.deps.Log.Emit(event.LeaseFailed, m.key, err.Error())
		}
		return false
	}
	m.leaseID, m.fencingToken = id, uint64(version)
	m.extend(before.Add(m.cfg.TTL - m.cfg.ExpiryMargin))
	return true
}

// create writes the key and returns its version. If the answer to the write is lost, it reads the
// key: this daemon's value bound to this lease means that the write took effect.
func (m *Manager) create(ctx context.Context, id store.LeaseID) (int64, error) {
	version, err := m.deps.Store.CompareAndSwap(ctx, m.key, 0, []byte(m.value), id)
	m.metrics.storeCalls.Inc()
	if !errors.Is(err, store.ErrUnknown) {
		return version, err
	}
	kv, readErr := m.deps.Store.Get(ctx, m.key)
	m.metrics.storeCalls.Inc()
	if readErr != nil {
		return 0, err
	}
	if string(kv.Value) != m.value || kv.Lease != id {
		return 0, store.ErrConflict
	}
	return kv.Version, nil
}

// extend sets the expiry time of current, and logs the acquisition if the lease was not held. An
// answer that arrives after the new expiry time does not acquire the lease.
func (m *Manager) extend(expiresAt time.Time) {
	l := m.Current()
	if l.FencingToken == 0 && !time.Now().Before(expiresAt) {
		return
	}
	if l.FencingToken == 0 {
		l = newLease(m.fencingToken, time.Now(), expiresAt)
		m.deps.Log.Emit(event.LeaseTaken, m.key, m.fencingToken)
		m.metrics.held.Set(1)
		m.metrics.acquired.Inc()
	} else {
		l = newLease(l.FencingToken, l.AcquiredAt, expiresAt)
	}
	m.current.Store(&l)
}

// markLost marks the lease as not held but keeps its id, so that the renewal is retried.
func (m *Manager) markLost(reason string) {
	if l := m.Current(); l.FencingToken != 0 {
		m.deps.Log.Emit(event.LeaseLost, m.key, l.FencingToken, reason)
	}
	m.current.Store(&Lease{})
	m.metrics.held.Set(0)
}

// forget marks the lease as not held and discards its id.
func (m *Manager) forget(reason string) {
	m.markLost(reason)
	m.leaseID, m.fencingToken = 0, 0
}

// release revokes the lease, so that another daemon need not wait for it to expire.
func (m *Manager) release(reason string) {
	if m.leaseID == 0 {
		return
	}
	id := m.leaseID
	m.forget(reason)
	m.revoke(id)
}

// revoke revokes a store lease. If that fails, the lease expires by itself.
func (m *Manager) revoke(id store.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), m.cfg.CallTimeout)
	defer cancel()
	m.metrics.storeCalls.Inc()
	if err := m.deps.Store.Revoke(ctx, id); err != nil {
		m.deps.Log.Emit(event.LeaseFailed, m.key, err.Error())
	}
}

func (m *Manager) withJitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + m.cfg.JitterRatio*(2*m.rng.Float64()-1)))
}
