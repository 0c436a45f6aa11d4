// Package daemon assembles the daemon of an entry VM from its components. All daemons have the same
// roles: each serves callers, holds copies for other daemons, and may hold the lease of its zone.
package daemon

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"mallowwind.dev/control/backends"
	"mallowwind.dev/control/inforce"
	"mallowwind.dev/control/lease"
	"mallowwind.dev/control/membership"
	"mallowwind.dev/control/reconcile"
	"mallowwind.dev/control/roster"
	"mallowwind.dev/control/settings"
	"mallowwind.dev/control/site"
	"mallowwind.dev/control/tlsfiles"
	"mallowwind.dev/external/engine"
	"mallowwind.dev/external/plain"
	"mallowwind.dev/external/store"
	"mallowwind.dev/external/vmlist"
	"mallowwind.dev/external/weights"
	"mallowwind.dev/peer/link"
	"mallowwind.dev/peer/peerpb"
	"mallowwind.dev/serve/api"
	"mallowwind.dev/serve/flow"
	"mallowwind.dev/serve/generation"
	"mallowwind.dev/serve/once"
	"mallowwind.dev/telemetry/event"
	"mallowwind.dev/telemetry/metric"
)

// Platform provides the services of the platform that a daemon uses.
type Platform struct {
	Store   store.Store
	VMs     vmlist.Source
	Weights weights.Store
	Engine  func(address string) engine.Engine
	Plain   plain.Caller
}

// Listeners accept the daemon's connections. The caller of New opens them, so that a port in use is
// detected before anything starts.
type Listeners struct {
	Callers, Peers, Admin net.Listener
}

// Options configures a Daemon.
type Options struct {
	Settings  *settings.Settings
	Platform  Platform
	Listeners Listeners
	Dialer    *link.Dialer
	Logger    *logrus.Logger
	Version   string
	// TLS provides the certificates and reloads them; nil means plain TCP.
	TLS *tlsfiles.Files
	// Backends configures how backend servers are watched; nil means the default.
	Backends *backends.Config
}

// Daemon is the daemon of one entry VM.
type Daemon struct {
	opts        Options
	log         *event.Log
	registry    *metric.Catalogue
	inforce     *inforce.Manager
	members     *membership.Manager
	backends    *backends.Manager
	roster      *roster.Manager
	lease       *lease.Manager
	reconcile   *reconcile.Manager
	flow        *flow.Manager
	generations *generation.Manager
	calls       *callTracker
	serving     atomic.Bool // callers are given this daemon's address
	drain       *drainer
	api         *api.API
}

// New assembles a daemon; Run starts it.
func New(o Options) *Daemon {
	d := &Daemon{
		opts:     o,
		log:      event.New(o.Logger, o.Settings.VM, o.Settings.Zone),
		registry: metric.NewCatalogue(),
	}
	d.assembleControl()
	d.assemblePlacement()
	d.assembleServing()
	return d
}

// randomSeed returns a seed that differs between daemons and stays the same when a daemon restarts.
func (d *Daemon) randomSeed() uint64 { return xxhash.Sum64String(d.opts.Settings.VM) }

func (d *Daemon) assembleControl() {
	s, p := d.opts.Settings, d.opts.Platform
	bc := backends.DefaultConfig()
	if d.opts.Backends != nil {
		bc = *d.opts.Backends
	}
	d.backends = backends.NewManager(backends.Deps{
		Self: s.VM, Zone: s.Zone, VMs: p.VMs, Engine: p.Engine, PoolKind: d.poolKind,
		IsReader: func(readers int) bool { return backends.ReaderElection(d.members)(readers) },
		Log:      d.log, Registerer: d.registry, Config: bc,
	})
	d.members = membership.NewManager(membership.Deps{
		Self: membership.Member{
			ID:          s.VM,
			Incarnation: uint64(time.Now().UnixNano()),
			Zone:        s.Zone,
			Region:      s.Region,
			PeerAddr:    d.opts.Listeners.Peers.Addr().String(),
		},
		VMs: d.backends, Dialer: d.opts.Dialer, Log: d.log, Registerer: d.registry,
	})
	d.backends.OnVMChange(d.members.BroadcastVMChange)
	d.members.OnVMChange(func(n membership.VMChange) { d.backends.ApplyVMChange(n) })
	d.backends.OnReportChange(func(id string, digest uint64) {
		d.members.BroadcastReportChange(id, digest)
		d.reconcile.PollSoon(id)
	})
	d.members.OnReport(func(id string, digest uint64) {
		d.backends.HandleReportChange(id, digest)
		d.reconcile.PollSoon(id)
	})
	d.inforce = inforce.New(inforce.Config{
		Site: s.Site, VM: s.VM, Zone: s.Zone, Store: p.Store, Members: d.members,
		Dialer: d.opts.Dialer, Log: d.log, Metrics: d.registry, Seed: d.randomSeed(),
		Announce: d.members.SetDigest,
	})
	d.members.OnDigest(func(from membership.Member, name string, version uint64) {
		if name == inforce.DigestName {
			d.inforce.ObserveRevision(from.ID, version)
		}
	})
}

// poolKind returns the kind of a pool's servers according to the current configuration.
func (d *Daemon) poolKind(pool string) backends.Kind {
	s := d.inforce.Current()
	if s == nil {
		return backends.KindUnknown
	}
	for _, service := range s.Services {
		if service.Pool == pool && service.Kind == site.KindPlain {
			return backends.KindPlain
		}
	}
	return backends.KindEngine
}

// assemblePlacement creates the components that compete for the zone's lease and, while this daemon
// holds it, give orders to the zone's engines.
func (d *Daemon) assemblePlacement() {
	s, p := d.opts.Settings, d.opts.Platform
	d.roster = roster.NewManager(p.Store, d.members, d.log)
	d.lease = lease.NewManager(lease.Deps{
		Store: p.Store, Members: d.members, Log: d.log, Registerer: d.registry,
	})
	d.reconcile = reconcile.NewManager(reconcile.Deps{
		Zone: s.Zone, Site: d.inforce, VMs: d.backends, Engine: p.Engine, Weights: p.Weights,
		Lease: d.lease, Store: p.Store, Log: d.log, Registerer: d.registry,
	})
}

func (d *Daemon) assembleServing() {
	s := d.opts.Settings
	d.flow = flow.New(flow.Config{
		Location: flow.Location{VM: s.VM, Zone: s.Zone, Region: s.Region},
		Site:     d.inforce, Backends: d.backends, Members: d.members,
		Log: d.log, Registerer: d.registry, Seed: d.randomSeed(),
	})
	d.generations = generation.NewManager(generation.Config{
		Site: d.inforce, Members: d.members, Dispatcher: d.flow, Dialer: d.opts.Dialer,
		Log: d.log, Metrics: d.registry, ChooseVersion: d.chooseVersion, NotReady: d.backends.PollSoon,
	})
	d.calls = &callTracker{log: d.log, service: once.NewService(once.Deps{
		Members: d.members, Roster: d.roster, Site: d.inforce, Flow: d.flow,
		Caller: d.opts.Platform.Plain, Dialer: d.opts.Dialer, Log: d.log,
		Registry: d.registry, VMs: d.backends,
	})}
	d.drain = &drainer{d: d}
	d.api = api.New(api.Config{
		Site: d.inforce, Generations: d.generations, Calls: d.calls,
		Entries: &entrySelector{site: d.inforce, members: d.members, log: d.log},
		Log:     d.log, Metrics: d.registry,
		IsShuttingDown: d.drain.isRefusing,
		IsStarting:     func() bool { return !d.serving.Load() },
		IsReady:        d.isReady,
	})
}

// chooseVersion returns the service with the version that a new request runs on. It returns none of
// the versions in except if another one is ready. A response in progress stays on its version, which
// its copy contains.
func (d *Daemon) chooseVersion(s *site.Service, except ...string) *site.Service {
	ref := engine.ModelRef{Model: s.Model, Adapter: s.Adapter, Version: s.Version}
	chosen := d.backends.Current().ChooseVersion(s.Pool, ref, rand.Uint64(), except...)
	if chosen == ref {
		return s
	}
	other := *s
	other.Version = chosen.Version
	return &other
}

// Registry returns the registry of the daemon's metrics.
func (d *Daemon) Registry() *metric.Catalogue { return d.registry }

// Revision returns the revision of this daemon's current configuration, 0 if it has none.
func (d *Daemon) Revision() int64 {
	if s := d.inforce.Current(); s != nil {
		return s.Revision
	}
	return 0
}

// SeesAlive reports whether this daemon sees at least n entry VMs alive that callers can be sent to,
// itself included.
func (d *Daemon) SeesAlive(n int) bool {
	alive := 0
	for _, m := range d.members.Current().Members {
		if m.State == membership.Alive && m.CallerAddr != "" {
			alive++
		}
	}
	return alive >= n
}

// isReady reports whether callers should be sent to this daemon.
func (d *Daemon) isReady() bool { return d.serving.Load() && !d.drain.isLeaving() }

// Run serves until ctx ends and then drains: it removes this daemon from the addresses given to
// callers, waits until no caller may use a cached list with its address any more, lets the work in
// progress end, and returns. The end of hard cuts the drain short.
func (d *Daemon) Run(ctx, hard context.Context) error {
	work, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	g, work := errgroup.WithContext(work)
	for _, run := range d.backgroundTasks() {
		g.Go(func() error { return ignoreCancelled(run(work)) })
	}
	servers := d.servers()
	for _, s := range servers {
		g.Go(func() error { return s.serve() })
	}
	d.log.Emit(event.DaemonStarted, d.opts.Listeners.Callers.Addr().String(),
		d.opts.Listeners.Peers.Addr().String(), d.opts.Version)
	select {
	case <-ctx.Done():
		d.drain.run(hard)
	case <-work.Done():
	}
	for _, s := range servers {
		s.stop(hard)
	}
	stopWork()
	return g.Wait()
}

// backgroundTasks returns the functions that run until the daemon stops.
func (d *Daemon) backgroundTasks() []func(context.Context) error {
	tasks := []func(context.Context) error{
		d.backends.Run, d.members.Run, d.inforce.Run, d.flow.Run,
		d.lease.Run, d.reconcile.Run, d.generations.Run, d.roster.Run, d.runKeyOwnership,
		d.announceWhenReady,
	}
	if d.opts.TLS != nil {
		tasks = append(tasks, d.opts.TLS.Run)
	}
	return tasks
}

func ignoreCancelled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// peerHandler returns the handler for the calls of other daemons.
func (d *Daemon) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(d.generations.Handler())
	mux.Handle(d.inforce.Handler())
	mux.Handle(d.calls.service.Handler())
	members := peerpb.NewMembershipServer(d.members)
	mux.Handle(members.PathPrefix(), members)
	return mux
}

// CurrentSite returns this daemon's current configuration, nil if it has none.
func (d *Daemon) CurrentSite() *site.Site { return d.inforce.Current() }
