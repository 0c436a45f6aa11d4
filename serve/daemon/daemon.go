// Package daemon assembles one entry VM's daemon from its parts. All daemons
// are equal: each serves callers, holds copies for others, and may hold the
// lease of its zone.
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

// Platform is what a daemon needs from the platform.
type Platform struct {
	Store   store.Store
	VMs     vmlist.Source
	Weights weights.Store
	Engine  func(address string) engine.Engine
	Plain   plain.Caller
}

// Listeners accept the daemon's connections. They are opened by the caller, so
// that a busy port is found before anything starts.
type Listeners struct {
	Callers, Peers, Admin net.Listener
}

// Options configure a Daemon.
type Options struct {
	Settings  *settings.Settings
	Platform  Platform
	Listeners Listeners
	Dialer    *link.Dialer
	Logger    *logrus.Logger
	Version   string
	// TLS keeps the certificates current; nil means plain TCP.
	TLS *tlsfiles.Files
	// Backends overrides how backend servers are watched; nil means the default.
	Backends *backends.Config
}

// Daemon is one running daemon.
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
	calls       *calls
	serving     atomic.Bool // named to callers
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

// seed makes the random choices of different daemons differ, and those of one
// daemon the same at every start.
func (d *Daemon) seed() uint64 { return xxhash.Sum64String(d.opts.Settings.VM) }

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
		Dialer: d.opts.Dialer, Log: d.log, Metrics: d.registry, Seed: d.seed(),
		Announce: d.members.SetDigest,
	})
	d.members.OnDigest(func(from membership.Member, name string, version uint64) {
		if name == inforce.DigestName {
			d.inforce.ObserveRevision(from.ID, version)
		}
	})
}

// poolKind says what the text in force says of a pool.
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

// assemblePlacement lets this daemon contend for its zone's lease and, while
// it holds the lease, give the zone's engines their orders.
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
		Log: d.log, Registerer: d.registry, Seed: d.seed(),
	})
	d.generations = generation.NewManager(generation.Config{
		Site: d.inforce, Members: d.members, Dispatcher: d.flow, Dialer: d.opts.Dialer,
		Log: d.log, Metrics: d.registry, ChooseVersion: d.version, NotReady: d.backends.PollSoon,
	})
	d.calls = &calls{log: d.log, service: once.NewService(once.Deps{
		Members: d.members, Roster: d.roster, Site: d.inforce, Flow: d.flow,
		Caller: d.opts.Platform.Plain, Dialer: d.opts.Dialer, Log: d.log,
		Registry: d.registry, VMs: d.backends,
	})}
	d.drain = &drainer{d: d}
	d.api = api.New(api.Config{
		Site: d.inforce, Generations: d.generations, Calls: d.calls,
		Entries: &entries{site: d.inforce, members: d.members, log: d.log},
		Log:     d.log, Metrics: d.registry,
		IsShuttingDown: d.drain.refusing,
		IsStarting:     func() bool { return !d.serving.Load() },
		IsReady:        d.ready,
	})
}

// version returns the service with the version that a new request runs with,
// none of those in except where another is ready. An answer that has begun
// stays with its version, which its copy carries.
func (d *Daemon) version(s *site.Service, except ...string) *site.Service {
	ref := engine.ModelRef{Model: s.Model, Adapter: s.Adapter, Version: s.Version}
	chosen := d.backends.Current().ChooseVersion(s.Pool, ref, rand.Uint64(), except...)
	if chosen == ref {
		return s
	}
	other := *s
	other.Version = chosen.Version
	return &other
}

// Registry holds the daemon's metrics.
func (d *Daemon) Registry() *metric.Catalogue { return d.registry }

// Revision returns the revision of the site text in force here, 0 before any.
func (d *Daemon) Revision() int64 {
	if s := d.inforce.Current(); s != nil {
		return s.Revision
	}
	return 0
}

// SeesAlive reports whether this daemon sees n entry VMs alive, itself included.
func (d *Daemon) SeesAlive(n int) bool {
	alive := 0
	for _, m := range d.members.Current().Members {
		if m.State == membership.Alive && m.CallerAddr != "" {
			alive++
		}
	}
	return alive >= n
}

// ready reports whether callers should be sent here.
func (d *Daemon) ready() bool { return d.serving.Load() && !d.drain.leaving() }

// Run serves until ctx ends and then drains: it leaves the address answers,
// waits out the longest answer a caller may have kept, lets running work end,
// and returns. Ending hard as well cuts the drain short.
func (d *Daemon) Run(ctx, hard context.Context) error {
	work, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	g, work := errgroup.WithContext(work)
	for _, run := range d.loops() {
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

// loops are the parts that run until the daemon ends.
func (d *Daemon) loops() []func(context.Context) error {
	parts := []func(context.Context) error{
		d.backends.Run, d.members.Run, d.inforce.Run, d.flow.Run,
		d.lease.Run, d.reconcile.Run, d.generations.Run, d.roster.Run, d.ownKeys,
		d.starting,
	}
	if d.opts.TLS != nil {
		parts = append(parts, d.opts.TLS.Run)
	}
	return parts
}

func ignoreCancelled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// peerHandler serves other daemons.
func (d *Daemon) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(d.generations.Handler())
	mux.Handle(d.inforce.Handler())
	mux.Handle(d.calls.service.Handler())
	members := peerpb.NewMembershipServer(d.members)
	mux.Handle(members.PathPrefix(), members)
	return mux
}

// CurrentSite returns the site text in force here, nil before the first.
func (d *Daemon) CurrentSite() *site.Site { return d.inforce.Current() }
