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

// Prefix is the part of the store that holds the zones' leases.
const Prefix = "lease/zone/"

// Deps are what a Manager works with.
type Deps struct {
	Store      store.Store
	Members    membership.Source
	Log        *event.Log
	Registerer prometheus.Registerer // nil keeps the metrics unregistered
	Config     Config
}

// Manager takes, renews and gives up the lease of this daemon's zone. It
// implements Source.
type Manager struct {
	deps  Deps
	cfg   Config
	met   metrics
	key   string
	value string
	rng   *rand.Rand
	hold  atomic.Pointer[Lease]

	// Used by Run only.
	id     store.LeaseID // the lease behind hold, or one to try again
	fence  uint64
	absent time.Time // when the key was first seen missing
}

// NewManager returns a Manager that holds nothing until Run takes the lease.
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
		deps:  deps,
		cfg:   deps.Config,
		met:   newMetrics(deps.Registerer),
		key:   Prefix + self.Zone,
		value: self.ID + " " + strconv.FormatUint(self.Incarnation, 10),
		rng:   rand.New(rand.NewPCG(seed, self.Incarnation)),
	}
	m.hold.Store(&Lease{})
	return m
}

// Current implements Source.
func (m *Manager) Current() Lease { return *m.hold.Load() }

// Run competes for the lease until ctx ends, then gives it up.
func (m *Manager) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause.For(ctx, m.step(ctx))
	}
	m.release("the daemon stops")
	return ctx.Err()
}

// step does one thing and returns the time to the next.
func (m *Manager) step(ctx context.Context) time.Duration {
	view := m.deps.Members.Current()
	if view.Self.State == membership.Leaving && m.id != 0 {
		m.release("the daemon leaves")
	}
	rank := Rank(view, m.cfg.Candidates)
	switch {
	case m.id != 0:
		return m.renew(ctx)
	case rank < 0:
		m.absent = time.Time{}
		return m.jittered(m.cfg.CheckInterval)
	default:
		return m.contend(ctx, rank)
	}
}

// renew prolongs the lease. While the store does not answer, the hold ends by
// its own deadline; the lease itself may outlive it, so renewal goes on until
// the store says that the lease is gone. If it is not, nobody else can have
// held it meanwhile, and the fencing number still stands.
func (m *Manager) renew(ctx context.Context) time.Duration {
	before := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, m.cfg.CallTimeout)
	ttl, err := m.deps.Store.KeepAlive(callCtx, m.id)
	cancel()
	m.met.calls.Inc()
	switch {
	case err == nil:
		m.holdUntil(before.Add(min(ttl, m.cfg.TTL) - m.cfg.ExpiryMargin))
		return m.cfg.RenewInterval
	case errors.Is(err, store.ErrLeaseGone):
		m.drop("the store ended the lease")
		return m.jittered(m.cfg.CheckInterval)
	}
	m.deps.Log.Emit(event.LeaseFailed, m.key, err.Error())
	if h := m.Current(); h.FencingToken != 0 && !h.IsValid(time.Now()) {
		m.clear("not renewed in time")
	}
	return m.jittered(m.cfg.RenewInterval / 3)
}

// contend looks at the key and takes the lease if nobody holds it. Candidates
// of a lower rank wait longer before they do, so that they rarely collide.
func (m *Manager) contend(ctx context.Context, rank int) time.Duration {
	callCtx, cancel := context.WithTimeout(ctx, m.cfg.CallTimeout)
	_, err := m.deps.Store.Get(callCtx, m.key)
	cancel()
	m.met.calls.Inc()
	now := time.Now()
	switch {
	case err == nil:
		m.absent = time.Time{}
		return m.jittered(m.cfg.CheckInterval)
	case !errors.Is(err, store.ErrNotFound):
		m.deps.Log.Emit(event.LeaseFailed, m.key, err.Error())
		return m.jittered(m.cfg.CheckInterval)
	}
	if m.absent.IsZero() {
		m.absent = now
	}
	if turn := m.absent.Add(time.Duration(rank) * m.cfg.RenewInterval / 2); now.Before(turn) {
		return turn.Sub(now)
	}
	if m.acquire(ctx) {
		return m.cfg.RenewInterval
	}
	return m.jittered(m.cfg.CheckInterval)
}

// acquire starts a lease and binds the key to it.
func (m *Manager) acquire(ctx context.Context) bool {
	m.absent = time.Time{}
	before := time.Now()
	ctx, cancel := context.WithTimeout(ctx, 2*m.cfg.CallTimeout)
	defer cancel()
	id, err := m.deps.Store.Grant(ctx, m.cfg.TTL)
	m.met.calls.Inc()
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
	m.id, m.fence = id, uint64(version)
	m.holdUntil(before.Add(m.cfg.TTL - m.cfg.ExpiryMargin))
	return true
}

// create writes the key. A write whose answer is lost is read back: the value
// with this lease means that it took effect.
func (m *Manager) create(ctx context.Context, id store.LeaseID) (int64, error) {
	version, err := m.deps.Store.CompareAndSwap(ctx, m.key, 0, []byte(m.value), id)
	m.met.calls.Inc()
	if !errors.Is(err, store.ErrUnknown) {
		return version, err
	}
	kv, readErr := m.deps.Store.Get(ctx, m.key)
	m.met.calls.Inc()
	if readErr != nil {
		return 0, err
	}
	if string(kv.Value) != m.value || kv.Lease != id {
		return 0, store.ErrConflict
	}
	return kv.Version, nil
}

// holdUntil sets the deadline of the hold and logs it when it is new. An
// answer that came too late to hold anything begins none.
func (m *Manager) holdUntil(until time.Time) {
	h := m.Current()
	if h.FencingToken == 0 && !time.Now().Before(until) {
		return
	}
	if h.FencingToken == 0 {
		h = newHold(m.fence, time.Now(), until)
		m.deps.Log.Emit(event.LeaseTaken, m.key, m.fence)
		m.met.held.Set(1)
		m.met.taken.Inc()
	} else {
		h = newHold(h.FencingToken, h.AcquiredAt, until)
	}
	m.hold.Store(&h)
}

// clear ends the hold but keeps the lease's id for another try.
func (m *Manager) clear(reason string) {
	if h := m.Current(); h.FencingToken != 0 {
		m.deps.Log.Emit(event.LeaseLost, m.key, h.FencingToken, reason)
	}
	m.hold.Store(&Lease{})
	m.met.held.Set(0)
}

// drop ends the hold and forgets the lease.
func (m *Manager) drop(reason string) {
	m.clear(reason)
	m.id, m.fence = 0, 0
}

// release gives the lease back, so that another daemon need not wait for its end.
func (m *Manager) release(reason string) {
	if m.id == 0 {
		return
	}
	id := m.id
	m.drop(reason)
	m.revoke(id)
}

// revoke ends a lease. A failure is left to the lease's own end.
func (m *Manager) revoke(id store.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), m.cfg.CallTimeout)
	defer cancel()
	m.met.calls.Inc()
	if err := m.deps.Store.Revoke(ctx, id); err != nil {
		m.deps.Log.Emit(event.LeaseFailed, m.key, err.Error())
	}
}

func (m *Manager) jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + m.cfg.JitterRatio*(2*m.rng.Float64()-1)))
}
