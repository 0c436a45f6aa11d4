// Package world runs a deployment in memory: the generation managers of several
// entry VMs, connected by a network with fault injection, and simulated engines.
// Under testing/synctest it runs in virtual time; an experiment runs it in real time.
package world

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"mallowwind.dev/control/backends"
	"mallowwind.dev/control/membership"
	"mallowwind.dev/control/site"
	"mallowwind.dev/decision/resume"
	"mallowwind.dev/external/engine"
	"mallowwind.dev/external/standin/enginesim"
	"mallowwind.dev/external/vmlist"
	"mallowwind.dev/peer/link"
	"mallowwind.dev/serve/flow"
	"mallowwind.dev/serve/generation"
	"mallowwind.dev/telemetry/event"
)

// Names of the model, service, account and pool in every World.
const (
	Model   = "m"
	Service = "reviews"
	Account = "coop"
	pool    = "p"
)

var zones = []string{"a", "b", "c"}

// Config sizes a world. Zero fields take the defaults given with them.
type Config struct {
	Seed    uint64
	VMs     int // 6
	Engines int // 6
	// Weight is the service's weight of resume latency.
	Weight float64
	// MaxTokens is the most that a request may ask for; 4000.
	MaxTokens int
	Engine    enginesim.Config // the name and seed are set for each engine
	// CallerTimeout is how long callers wait on a silent connection. It is somewhat
	// longer than the keep-alive interval.
	CallerTimeout time.Duration
	// Policy overrides the resume policy; nil means the policy that follows from Weight.
	Policy func(*site.Service) resume.Policy
}

func (c Config) withDefaults() Config {
	for field, value := range map[*int]int{&c.VMs: 6, &c.Engines: 6, &c.MaxTokens: 4000} {
		if *field == 0 {
			*field = value
		}
	}
	if c.CallerTimeout == 0 {
		c.CallerTimeout = defaultCallerTimeout
	}
	c.Engine.Models = []engine.ModelRef{{Model: Model}}
	return c
}

// World is a running deployment. Its methods are safe for concurrent use.
type World struct {
	Net     *Network
	Engines []*enginesim.Sim
	Site    *site.Site

	config Config
	ctx    context.Context
	stop   context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex
	vms     []*vm
	metrics []*prometheus.Registry // of every entry VM, including replaced ones
	members []membership.Member
}

// vm is one entry VM.
type vm struct {
	id       string
	manager  *generation.Manager
	registry *prometheus.Registry
	view     atomic.Pointer[membership.View]
	stop     context.CancelFunc
}

// Current implements membership.Source.
func (v *vm) Current() *membership.View { return v.view.Load() }

type fixedSite struct{ s *site.Site }

func (f fixedSite) Current() *site.Site { return f.s }

// New starts a deployment; Close must be called.
func New(ctx context.Context, c Config) *World {
	c = c.withDefaults()
	w := &World{Net: newNetwork(), Site: newSite(c), config: c}
	w.ctx, w.stop = context.WithCancel(ctx)
	for i := range c.Engines {
		e := c.Engine
		e.Name, e.Seed = EngineID(i), c.Seed*31+uint64(i)
		w.Engines = append(w.Engines, enginesim.New(e))
	}
	for i := range c.VMs {
		w.members = append(w.members, membership.Member{
			ID: VMID(i), Zone: zones[i%len(zones)], PeerAddr: VMID(i), CallerAddr: VMID(i), Incarnation: 1,
		})
	}
	for i := range c.VMs {
		w.vms = append(w.vms, w.startVM(i))
	}
	return w
}

// VMID returns the id of the i-th entry VM.
func VMID(i int) string { return fmt.Sprintf("vm%d", i) }

// EngineID returns the id of the i-th engine.
func EngineID(i int) string { return fmt.Sprintf("e%d", i) }

func newSite(c Config) *site.Site {
	return &site.Site{
		Zones: zones,
		Services: map[string]*site.Service{Service: {
			Name: Service, Kind: site.KindGeneration, Pool: pool, Model: Model, Class: site.ClassNormal,
			Deadline: time.Minute, MaxTokens: c.MaxTokens, LatencyWeight: c.Weight, Idempotent: true,
		}},
		Accounts: map[string]*site.Account{
			Account: {Name: Account, Share: 1},
			"other": {Name: "other", Share: 1},
		},
		Pools:  map[string]*site.Pool{pool: {Name: pool, Slots: 32}},
		Limits: site.DefaultLimits(),
	}
}

// startVM starts the daemon's parts that serve generations on the i-th entry VM.
func (w *World) startVM(i int) *vm {
	self := w.members[i]
	ctx, stop := context.WithCancel(w.ctx)
	v := &vm{id: self.ID, registry: prometheus.NewRegistry(), stop: stop}
	v.view.Store(&membership.View{Self: self, Members: slices.Clone(w.members)})
	f := flow.New(flow.Config{
		Location: flow.Location{VM: self.ID, Zone: self.Zone}, Site: fixedSite{w.Site},
		Backends: backends.Static{Snapshot: w.snapshot(self.ID)}, Members: v,
		Registerer: v.registry, Seed: w.config.Seed + uint64(i),
	})
	v.manager = generation.NewManager(generation.Config{
		Site: fixedSite{w.Site}, Members: v, Dispatcher: f, Log: event.Discard(), Metrics: v.registry,
		Dialer: link.NewDialerWithClient(&http.Client{Transport: vmTransport{w.Net, self.ID}}),
		Policy: w.config.Policy,
	})
	w.metrics = append(w.metrics, v.registry)
	_, h := v.manager.Handler()
	w.Net.handle(self.ID, h)
	w.wg.Go(func() { _ = f.Run(ctx) })
	w.wg.Go(func() { _ = v.manager.Run(ctx) })
	return v
}

// snapshot returns the pool with the engines reached over the links of one entry VM.
func (w *World) snapshot(self string) *backends.Snapshot {
	s := &backends.Snapshot{Version: 1, Pools: map[string][]*backends.Backend{}}
	for i, sim := range w.Engines {
		id := EngineID(i)
		s.Pools[pool] = append(s.Pools[pool], &backends.Backend{
			VM: vmlist.VM{
				ID: id, Address: id, Zone: zones[i%len(zones)], Pool: pool,
				Role: vmlist.RoleBackend, State: vmlist.Live,
			},
			Engine:    &backend{Engine: sim, net: w.Net, vm: self, id: id},
			Reachable: true, StatusAt: time.Now(),
			Status: engine.Status{
				Slots:  32,
				Models: []engine.LoadedModel{{Ref: engine.ModelRef{Model: Model}, State: engine.Ready}},
			},
		})
	}
	return s
}

func (w *World) vm(i int) *vm {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.vms[i]
}

// Manager returns the generation manager of the i-th entry VM.
func (w *World) Manager(i int) *generation.Manager { return w.vm(i).manager }

// Kill stops the i-th entry VM at once. The membership views of the other VMs do not change.
func (w *World) Kill(i int) {
	w.Net.SetVM(VMID(i), Cut)
	w.vm(i).stop()
}

// Replace restarts the i-th entry VM as a new incarnation without its state.
func (w *World) Replace(i int) {
	w.Kill(i)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.members[i].Incarnation++
	w.vms[i] = w.startVM(i)
	w.publish()
	w.Net.SetVM(VMID(i), Healthy)
}

// SetMemberState sets the state of the i-th entry VM in every entry VM's membership view.
func (w *World) SetMemberState(i int, s membership.State) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.members[i].State = s
	w.publish()
}

// publish updates the membership view of every entry VM. The caller holds w.mu.
func (w *World) publish() {
	for i, v := range w.vms {
		v.view.Store(&membership.View{Self: w.members[i], Members: slices.Clone(w.members)})
	}
}

// BusyEngines returns the indexes of the engines with running attempts.
func (w *World) BusyEngines() []int {
	var busy []int
	for i, e := range w.Engines {
		if s, err := e.Status(w.ctx); err == nil && s.Running > 0 {
			busy = append(busy, i)
		}
	}
	return busy
}

// SumCounter returns the sum of a counter over all entry VMs, including replaced ones.
func (w *World) SumCounter(name string) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	total := 0.0
	for _, r := range w.metrics {
		families, err := r.Gather()
		if err != nil {
			continue
		}
		for _, f := range families {
			if f.GetName() != "mallowwind_"+name {
				continue
			}
			for _, m := range f.GetMetric() {
				total += m.GetCounter().GetValue()
			}
		}
	}
	return total
}

// Stats returns the sum of the engines' statistics.
func (w *World) Stats() enginesim.Stats {
	var total enginesim.Stats
	for _, e := range w.Engines {
		s := e.Stats()
		total.Started += s.Started
		total.Tokens += s.Tokens
		total.Prefilled += s.Prefilled
		total.Cached += s.Cached
		total.Cancelled += s.Cancelled
		total.Abandoned += s.Abandoned
		total.Lost += s.Lost
	}
	return total
}

// maxEngineStep is longer than any step of an engine. Close waits this long, since an engine may
// be in the middle of a step when it dies.
const maxEngineStep = time.Second

// Close stops the engines, the entry VMs and the network and waits for their goroutines.
func (w *World) Close() {
	for _, e := range w.Engines {
		e.Unpause()
		e.Crash()
	}
	w.stop()
	w.Net.close()
	w.wg.Wait()
	time.Sleep(maxEngineStep)
}
