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

// world is one zone: three daemons that may hold its lease, engines behind
// recorders, the platform's services, and the text in force.
type world struct {
	t       *testing.T
	store   *store.Faulty
	vms     *vmlist.Memory
	weights *weightsim.Sim
	text    atomic.Pointer[site.Site]
	daemons []*daemon
	sims    map[string]*enginesim.Sim
	broken  atomic.Bool // whether version 2 fails to load
	fencing bool
	room    int // sets of weights an engine holds

	mu     sync.Mutex
	fences []uint64 // of accepted orders, in the order of acceptance
	orders []string
	floor  int
}

// daemon is one candidate. While paused none of its calls returns.
type daemon struct {
	id      string
	lease   *lease.Manager
	rec     *Manager
	stop    func()
	paused  chan struct{}
	onOrder bool // pause when the next order is sent
	pauseMu sync.Mutex
}

// pauseOnOrder pauses the daemon when its next order has left the process.
func (d *daemon) pauseOnOrder() {
	d.pauseMu.Lock()
	defer d.pauseMu.Unlock()
	d.onOrder = true
}

func (d *daemon) sending() {
	d.pauseMu.Lock()
	defer d.pauseMu.Unlock()
	if d.onOrder {
		d.onOrder, d.paused = false, make(chan struct{})
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

// wait blocks a call of a paused daemon and reports whether it did.
func (d *daemon) wait() bool {
	d.pauseMu.Lock()
	p := d.paused
	d.pauseMu.Unlock()
	if p != nil {
		<-p
	}
	return p != nil
}

// Current gives each daemon the text in force.
func (w *world) Current() *site.Site { return w.text.Load() }

func newWorld(t *testing.T, engines int, fencing bool) *world {
	return newWorldWith(t, engines, fencing, 2)
}

func newWorldWith(t *testing.T, engines int, fencing bool, room int) *world {
	inner := store.NewMemory()
	w := &world{
		t: t, store: store.NewFaulty(inner), vms: vmlist.NewMemory(0), fencing: fencing, room: room,
		weights: weightsim.New(2, 4*time.Second), sims: make(map[string]*enginesim.Sim),
	}
	for i := range engines {
		w.addEngine(fmt.Sprintf("b%d", i))
	}
	w.startZone("a")
	t.Cleanup(func() {
		for _, d := range w.daemons {
			d.unpause()
			d.stop()
		}
		time.Sleep(time.Hour) // lets loads and generations end
	})
	return w
}

// startZone starts three daemons that may hold the lease of a zone.
func (w *world) startZone(zone string) {
	var members []membership.Member
	for i := range 3 {
		members = append(members, membership.Member{ID: fmt.Sprint("vm", zone, i), Zone: zone, Incarnation: 1})
	}
	for _, self := range members {
		w.startDaemon(&membership.View{Self: self, Members: members})
	}
}

func (w *world) addEngine(id string) { w.addEngineIn(id, "a") }

func (w *world) addEngineIn(id, zone string) {
	w.sims[id] = enginesim.New(enginesim.Config{
		Name: id, EnforceFencing: w.fencing, MaxModels: w.room, LoadTime: time.Second, Weights: w,
	})
	w.vms.Put(vmlist.VM{ID: id, Address: id, Zone: zone, Role: vmlist.RoleBackend, Pool: "p", State: vmlist.Live})
}

// Fetch gives weights to engines; version 2 may be broken.
func (w *world) Fetch(ctx context.Context, ref engine.ModelRef) error {
	if err := w.weights.Fetch(ctx, ref); err != nil {
		return err
	}
	if ref == v2 && w.broken.Load() {
		return errors.New("checksum")
	}
	return nil
}

func (w *world) startDaemon(view *membership.View) {
	d := &daemon{id: view.Self.ID}
	st := &pausingStore{Store: w.store, d: d}
	d.lease = lease.NewManager(lease.Deps{Store: st, Members: membership.Static{View: view}})
	d.rec = NewManager(Deps{
		Zone: view.Self.Zone, Site: w, VMs: w.vms, Weights: w.weights, Lease: d.lease, Store: st,
		Engine: func(address string) engine.Engine { return &recorder{Engine: w.sims[address], w: w, d: d} },
	})
	ctx, cancel := context.WithCancel(w.t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { _ = d.lease.Run(ctx) })
	wg.Go(func() { _ = d.rec.Run(ctx) })
	d.stop = func() { cancel(); wg.Wait() }
	w.daemons = append(w.daemons, d)
}

// pausingStore delays a paused daemon's calls after they took effect.
type pausingStore struct {
	store.Store
	d *daemon
}

func (s *pausingStore) KeepAlive(ctx context.Context, id store.LeaseID) (time.Duration, error) {
	ttl, err := s.Store.KeepAlive(ctx, id)
	s.d.wait()
	return ttl, err
}

// recorder notes accepted orders. A paused daemon's order leaves it when it
// comes back, as bytes do that lay in its socket.
type recorder struct {
	engine.Engine
	w *world
	d *daemon
}

func (r *recorder) Order(ctx context.Context, o engine.Order) error {
	r.d.sending()
	if r.d.wait() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), time.Second)
		defer cancel()
	}
	before := r.w.serving()
	if err := r.Engine.Order(ctx, o); err != nil {
		return err
	}
	after := r.w.serving()
	r.w.mu.Lock()
	defer r.w.mu.Unlock()
	if o.Kind == engine.OrderRole {
		return nil // changes nothing
	}
	r.w.fences = append(r.w.fences, o.Fence)
	r.w.orders = append(r.w.orders, fmt.Sprint(r.d.id, " ", o.Kind, " ", o.Ref.Version))
	if after < before && after < r.w.floor {
		r.w.t.Errorf("%s %s left %d ready, the floor is %d; orders %v", o.Kind, o.Ref.Version, after, r.w.floor, r.w.orders)
	}
	return nil
}

// Status reaches an engine through the daemon, which may be paused.
func (r *recorder) Status(ctx context.Context) (engine.Status, error) {
	status, err := r.Engine.Status(ctx)
	r.d.wait()
	return status, err
}

// serving counts the engines that serve the model in any version.
func (w *world) serving() int {
	n := 0
	for _, ref := range []engine.ModelRef{v1, v2} {
		n += w.ready(ref)
	}
	for _, sim := range w.sims {
		if holds(sim, v1) && holds(sim, v2) {
			n--
		}
	}
	return n
}

func holds(sim *enginesim.Sim, ref engine.ModelRef) bool {
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

func (w *world) ready(ref engine.ModelRef) int {
	n := 0
	for _, sim := range w.sims {
		if holds(sim, ref) {
			n++
		}
	}
	return n
}

// apply puts a text in force that wants n replicas of ref.
func (w *world) apply(revision int64, ref engine.ModelRef, n, floor int) {
	w.mu.Lock()
	w.floor = floor
	w.mu.Unlock()
	w.text.Store(&site.Site{
		Revision: revision, Zones: []string{"a", "b"},
		Pools: map[string]*site.Pool{"p": {Name: "p", Fencing: w.fencing}},
		Services: map[string]*site.Service{"review": {
			Name: "review", Kind: site.KindGeneration, Pool: "p", Model: ref.Model, Version: ref.Version,
			Replicas: map[string]int{"a": n, "b": 1}, Floor: floor,
		}},
	})
}

// given returns the orders accepted so far.
func (w *world) given() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.orders)
}

// until lets virtual time pass until ok.
func (w *world) until(what string, limit time.Duration, ok func() bool) {
	w.t.Helper()
	start := time.Now()
	for !ok() {
		if time.Since(start) > limit {
			w.t.Fatalf("not within %s: %s; orders %v", limit, what, w.given())
		}
		time.Sleep(200 * time.Millisecond)
		synctest.Wait()
	}
	w.t.Logf("%s after %s", what, time.Since(start))
}

func (w *world) holder() *daemon {
	for _, d := range w.daemons {
		if d.lease.Current().IsValid(time.Now()) {
			return d
		}
	}
	return nil
}

// oneHolderAtATime asserts that no order of an earlier holder took effect
// after one of a later holder.
func (w *world) oneHolderAtATime() {
	w.t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := 1; i < len(w.fences); i++ {
		must.GreaterEq(w.t, w.fences[i-1], w.fences[i], must.Sprint(w.orders))
	}
}
