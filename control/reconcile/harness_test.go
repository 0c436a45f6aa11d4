package reconcile

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"mallowwind.dev/control/lease"
	"mallowwind.dev/control/membership"
	"mallowwind.dev/control/site"
	"mallowwind.dev/external/engine"
	"mallowwind.dev/external/standin/enginesim"
	"mallowwind.dev/external/standin/weightsim"
	"mallowwind.dev/external/store"
	"mallowwind.dev/external/vmlist"
)

var (
	v1 = engine.ModelRef{Model: "m", Version: "1"}
	v2 = engine.ModelRef{Model: "m", Version: "2"}
)

// zoneHarness runs a zone: three daemons that compete for its lease, simulated engines behind
// orderRecorders, the platform's services, and the site text in force. Tests may add a second zone.
type zoneHarness struct {
	t              *testing.T
	store          *store.Faulty
	vms            *vmlist.Memory
	weights        *weightsim.Sim
	text           atomic.Pointer[site.Site]
	daemons        []*daemon
	sims           map[string]*enginesim.Sim
	version2Broken atomic.Bool // while set, version 2 fails to load
	fencing        bool
	maxModels      int // maximum number of sets of weights on an engine

	mu     sync.Mutex
	fences []uint64 // fencing tokens of the accepted orders, in the order of acceptance
	orders []string // the accepted orders: daemon, kind and version
	floor  int      // of the service in the site text in force
}

// daemon is one candidate for the lease. While it is paused, its calls block.
type daemon struct {
	id           string
	lease        *lease.Manager
	reconciler   *Manager
	stop         func()
	paused       chan struct{} // closed when the pause ends; nil if never paused or resumed
	pauseAtOrder bool          // pause when the next order is sent
	pauseMu      sync.Mutex
}

// pauseAtNextOrder pauses the daemon while it sends its next order.
func (d *daemon) pauseAtNextOrder() {
	d.pauseMu.Lock()
	defer d.pauseMu.Unlock()
	d.pauseAtOrder = true
}

// beforeOrder starts the pause that pauseAtNextOrder requested.
func (d *daemon) beforeOrder() {
	d.pauseMu.Lock()
	defer d.pauseMu.Unlock()
	if d.pauseAtOrder {
		d.pauseAtOrder, d.paused = false, make(chan struct{})
	}
}

func (d *daemon) pause() {
	d.pauseMu.Lock()
	defer d.pauseMu.Unlock()
	d.paused = make(chan struct{})
}

func (d *daemon) unpause() {
	d.pauseMu.Lock()
	defer d.pauseMu.Unlock()
	if d.paused != nil {
		close(d.paused)
		d.paused = nil
	}
}

// waitWhilePaused blocks while the daemon is paused and reports whether it was.
func (d *daemon) waitWhilePaused() bool {
	d.pauseMu.Lock()
	p := d.paused
	d.pauseMu.Unlock()
	if p != nil {
		<-p
	}
	return p != nil
}

// Current returns the site text in force. It implements site.Source for all daemons.
func (h *zoneHarness) Current() *site.Site { return h.text.Load() }

// newHarness starts zone a with engines that hold up to two sets of weights each.
func newHarness(t *testing.T, engines int, fencing bool) *zoneHarness {
	return newHarnessWithMaxModels(t, engines, fencing, 2)
}

// newHarnessWithMaxModels starts zone a with engines that hold up to maxModels sets of weights
// each.
func newHarnessWithMaxModels(t *testing.T, engines int, fencing bool, maxModels int) *zoneHarness {
	inner := store.NewMemory()
	h := &zoneHarness{
		t: t, store: store.NewFaulty(inner), vms: vmlist.NewMemory(0), fencing: fencing, maxModels: maxModels,
		weights: weightsim.New(2, 4*time.Second), sims: make(map[string]*enginesim.Sim),
	}
	for i := range engines {
		h.addEngine(fmt.Sprintf("b%d", i))
	}
	h.startZone("a")
	t.Cleanup(func() {
		for _, d := range h.daemons {
			d.unpause()
			d.stop()
		}
		time.Sleep(time.Hour) // lets loads and generations finish
	})
	return h
}

// startZone starts the three daemons that compete for the lease of a zone.
func (h *zoneHarness) startZone(zone string) {
	var members []membership.Member
	for i := range 3 {
		members = append(members, membership.Member{ID: fmt.Sprint("vm", zone, i), Zone: zone, Incarnation: 1})
	}
	for _, self := range members {
		h.startDaemon(&membership.View{Self: self, Members: members})
	}
}

func (h *zoneHarness) addEngine(id string) { h.addEngineIn(id, "a") }

func (h *zoneHarness) addEngineIn(id, zone string) {
	h.sims[id] = enginesim.New(enginesim.Config{
		Name: id, EnforceFencing: h.fencing, MaxModels: h.maxModels, LoadTime: time.Second, Weights: h,
	})
	h.vms.Put(vmlist.VM{ID: id, Address: id, Zone: zone, Role: vmlist.RoleBackend, Pool: "p", State: vmlist.Live})
}

// Fetch fetches weights for an engine. It fails for version 2 while version2Broken is set.
func (h *zoneHarness) Fetch(ctx context.Context, ref engine.ModelRef) error {
	if err := h.weights.Fetch(ctx, ref); err != nil {
		return err
	}
	if ref == v2 && h.version2Broken.Load() {
		return errors.New("checksum mismatch")
	}
	return nil
}

func (h *zoneHarness) startDaemon(view *membership.View) {
	d := &daemon{id: view.Self.ID}
	st := &pausingStore{Store: h.store, d: d}
	d.lease = lease.NewManager(lease.Deps{Store: st, Members: membership.Static{View: view}})
	d.reconciler = NewManager(Deps{
		Zone: view.Self.Zone, Site: h, VMs: h.vms, Weights: h.weights, Lease: d.lease, Store: st,
		Engine: func(address string) engine.Engine { return &orderRecorder{Engine: h.sims[address], h: h, d: d} },
	})
	ctx, cancel := context.WithCancel(h.t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { _ = d.lease.Run(ctx) })
	wg.Go(func() { _ = d.reconciler.Run(ctx) })
	d.stop = func() { cancel(); wg.Wait() }
	h.daemons = append(h.daemons, d)
}

// pausingStore blocks the lease renewals of a paused daemon after they took effect in the store.
type pausingStore struct {
	store.Store
	d *daemon
}

func (s *pausingStore) KeepAlive(ctx context.Context, id store.LeaseID) (time.Duration, error) {
	ttl, err := s.Store.KeepAlive(ctx, id)
	s.d.waitWhilePaused()
	return ttl, err
}

// orderRecorder records the accepted orders of a daemon and checks the floor at each. An order of a
// paused daemon reaches the engine when the pause ends, like bytes left in a socket buffer.
type orderRecorder struct {
	engine.Engine
	h *zoneHarness
	d *daemon
}

func (r *orderRecorder) Order(ctx context.Context, o engine.Order) error {
	r.d.beforeOrder()
	if r.d.waitWhilePaused() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), time.Second)
		defer cancel()
	}
	before := r.h.countServing()
	if err := r.Engine.Order(ctx, o); err != nil {
		return err
	}
	after := r.h.countServing()
	r.h.mu.Lock()
	defer r.h.mu.Unlock()
	if o.Kind == engine.OrderRole {
		return nil // sets the role that the engine already has
	}
	r.h.fences = append(r.h.fences, o.Fence)
	r.h.orders = append(r.h.orders, fmt.Sprint(r.d.id, " ", o.Kind, " ", o.Ref.Version))
	if after < before && after < r.h.floor {
		r.h.t.Errorf("%s %s left %d ready replicas, below the floor of %d; orders %v", o.Kind, o.Ref.Version, after, r.h.floor, r.h.orders)
	}
	return nil
}

// Status returns the engine's status to the daemon, once the daemon is not paused.
func (r *orderRecorder) Status(ctx context.Context) (engine.Status, error) {
	status, err := r.Engine.Status(ctx)
	r.d.waitWhilePaused()
	return status, err
}

// countServing returns the number of engines on which version 1 or 2 is ready.
func (h *zoneHarness) countServing() int {
	n := 0
	for _, ref := range []engine.ModelRef{v1, v2} {
		n += h.countReady(ref)
	}
	for _, sim := range h.sims {
		if hasReady(sim, v1) && hasReady(sim, v2) {
			n--
		}
	}
	return n
}

// hasReady reports whether ref is ready on sim.
func hasReady(sim *enginesim.Sim, ref engine.ModelRef) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	status, err := sim.Status(ctx)
	if err != nil {
		return false
	}
	for _, l := range status.Models {
		if l.Ref == ref && l.State == engine.Ready {
			return true
		}
	}
	return false
}

// countReady returns the number of engines on which ref is ready.
func (h *zoneHarness) countReady(ref engine.ModelRef) int {
	n := 0
	for _, sim := range h.sims {
		if hasReady(sim, ref) {
			n++
		}
	}
	return n
}

// applySite puts a site text in force with n replicas of ref in zone a and one in zone b.
func (h *zoneHarness) applySite(revision int64, ref engine.ModelRef, n, floor int) {
	h.mu.Lock()
	h.floor = floor
	h.mu.Unlock()
	h.text.Store(&site.Site{
		Revision: revision, Zones: []string{"a", "b"},
		Pools: map[string]*site.Pool{"p": {Name: "p", Fencing: h.fencing}},
		Services: map[string]*site.Service{"review": {
			Name: "review", Kind: site.KindGeneration, Pool: "p", Model: ref.Model, Version: ref.Version,
			Replicas: map[string]int{"a": n, "b": 1}, Floor: floor,
		}},
	})
}

// acceptedOrders returns the orders that engines have accepted so far.
func (h *zoneHarness) acceptedOrders() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.orders)
}

// waitUntil lets virtual time pass until ok returns true. The test fails if that takes longer than
// limit.
func (h *zoneHarness) waitUntil(what string, limit time.Duration, ok func() bool) {
	h.t.Helper()
	start := time.Now()
	for !ok() {
		if time.Since(start) > limit {
			h.t.Fatalf("condition not met within %s: %s; orders %v", limit, what, h.acceptedOrders())
		}
		time.Sleep(200 * time.Millisecond)
		synctest.Wait()
	}
	h.t.Logf("%s after %s", what, time.Since(start))
}

// holder returns the first daemon with a valid hold on its lease, or nil.
func (h *zoneHarness) holder() *daemon {
	for _, d := range h.daemons {
		if d.lease.Current().IsValid(time.Now()) {
			return d
		}
	}
	return nil
}

// assertFencesInOrder asserts that no order of an earlier lease holder was accepted after one of a
// later holder.
func (h *zoneHarness) assertFencesInOrder() {
	h.t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := 1; i < len(h.fences); i++ {
		must.GreaterEq(h.t, h.fences[i-1], h.fences[i], must.Sprint(h.orders))
	}
}
