// Package gateway assembles the daemon of an entry VM that forwards requests without interpreting
// their bodies: the configuration feed, the request handler, the directory of entry VM addresses,
// the readiness check and the graceful shutdown.
package gateway

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"golang.org/x/sync/errgroup"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/entries"
	"mallowwind.dev/decision/retrybudget"
	"mallowwind.dev/decision/rollout"
	"mallowwind.dev/external/sent"
	"mallowwind.dev/external/store"
	"mallowwind.dev/peer/link"
	"mallowwind.dev/peer/tunnel"
	"mallowwind.dev/serve/forward"
	"mallowwind.dev/serve/reach"
	"mallowwind.dev/serve/versions"
	"mallowwind.dev/telemetry/event"
	"mallowwind.dev/telemetry/metric"
)

const (
	// acceptStreamsFor is how long after SIGTERM new streams are accepted, also those that other
	// daemons have accepted and that this one is asked to carry. A stream lasts about
	// six of the eight seconds of the grace period.
	acceptStreamsFor = time.Second
	// acceptRequestsFor is how long after SIGTERM other requests are accepted regardless of their
	// deadlines. Callers that keep an address for too long still arrive within three seconds.
	acceptRequestsFor = 2500 * time.Millisecond
	// exitMargin is the time between the end of the drain and the end of the grace period.
	exitMargin = 500 * time.Millisecond
	// addressRetentionFactor is the multiple of the address TTL for which some callers keep an
	// address.
	addressRetentionFactor = 3
)

// Options configure a Gateway.
type Options struct {
	Self  routing.VM
	Store store.Store
	// Prefix is the common prefix of the store keys of this fleet.
	Prefix string
	Schema feed.Schema
	Codec  forward.Codec
	Clock  feed.Clock
	Log    *event.Log
	DynamicOptions
	// MinLeaseTTL is the shortest lease that the store grants.
	MinLeaseTTL time.Duration
	// AddressTTL is how long callers are told to keep the addresses that they looked up.
	AddressTTL time.Duration
	// Registry collects the metrics, which are served on Metrics.
	Registry *metric.Catalogue
	// Dialer opens connections to other daemons.
	Dialer *link.Dialer
	// DialServer opens connections to backend servers; nil means TCP.
	DialServer sent.DialFunc
	// Callers, Readiness, Directory, Peers and Metrics are the listeners for each kind of
	// request. Directory, Peers and Metrics may be nil.
	Callers, Readiness, Directory, Peers, Metrics net.Listener
	// ReadyHandler and DirectoryHandler serve readiness and addresses in the platform's format.
	ReadyHandler     func(ready func() bool) http.Handler
	DirectoryHandler func(addresses func(zone string) []string) http.Handler
}

// Gateway is the daemon of an entry VM.
type Gateway struct {
	opts        Options
	feed        *feed.Manager
	handler     *forward.Handler
	versions    *versions.Manager
	reach       *reach.Dialer
	draining    atomic.Bool
	gracePeriod atomic.Int64
	rotation    atomic.Uint64
}

// New assembles a gateway; Run starts it.
func New(o Options) *Gateway {
	f := feed.New(feed.Options{
		Store: o.Store, Prefix: o.Prefix, Schema: o.Schema, Clock: o.Clock, Log: o.Log, Registerer: o.Registry,
		Self: o.Self.ID, Seeds: o.Seeds, Dialer: o.Dialer,
	})
	if s, ok := o.Store.(interface{ Observe(store.Observer) }); ok {
		s.Observe(f.ObserveCall)
	}
	v := versions.New(versions.Options{
		Feed: f, Clock: o.Clock, Log: o.Log, Self: o.Self, Dialer: o.Dialer, Limits: o.RolloutLimits, Registerer: o.Registry,
	})
	r := reach.New(reach.Options{Self: o.Self, Feed: f, Direct: o.DialServer, Peers: o.Dialer, Log: o.Log, Registerer: o.Registry})
	h := forward.New(forward.Options{
		Versions: v, Feed: f, Codec: o.Codec, Log: o.Log, Self: o.Self, MaxKeyAge: o.MaxKeyAge, RetryBudget: o.RetryBudget,
		MemoryBudget: o.MemoryBudget, Registerer: o.Registry, Dial: r.Dial, Dialer: o.Dialer,
	})
	g := &Gateway{opts: o, feed: f, handler: h, versions: v, reach: r}
	g.gracePeriod.Store(int64(o.GracePeriod))
	return g
}

// DynamicOptions are the options that the platform may change while the daemon runs.
type DynamicOptions struct {
	// MaxKeyAge is how long ago the configuration may last have been confirmed for an account key
	// to be trusted.
	MaxKeyAge time.Duration
	// RetryBudget bounds the retries of the whole fleet.
	RetryBudget retrybudget.Policy
	// RolloutLimits bound the requests to a version of a service that isn't known to be good.
	RolloutLimits rollout.Limits
	// MemoryBudget is how many bytes the requests in progress may hold together; 0 sets no limit.
	MemoryBudget int64
	// GracePeriod is the time between SIGTERM and the exit of the process.
	GracePeriod time.Duration
	// Seeds are the peer addresses of daemons to contact before any peer is known.
	Seeds []string
}

// Apply replaces the dynamic options.
func (g *Gateway) Apply(o DynamicOptions) {
	g.handler.SetBounds(o.MaxKeyAge, o.RetryBudget)
	g.handler.SetMemoryBudget(o.MemoryBudget)
	g.feed.SetSeeds(o.Seeds)
	g.versions.SetLimits(o.RolloutLimits)
	g.gracePeriod.Store(int64(o.GracePeriod))
}

// IsReady reports whether callers should be directed to this daemon.
func (g *Gateway) IsReady() bool { return !g.draining.Load() && g.feed.IsReady() }

// Addresses returns the addresses of the entry VMs that a caller should use. The caller's account
// is unknown.
func (g *Gateway) Addresses(_ string) []string {
	view := g.feed.View()
	vms := make([]entries.VM, 0, len(view.VMs)+1)
	self := -1
	for _, vm := range view.VMs {
		own := vm.ID == g.opts.Self.ID
		if own {
			self = len(vms)
		}
		usable := !vm.Draining && (!own || g.IsReady())
		vms = append(vms, newEntryVM(vm, usable))
	}
	if self < 0 {
		self = len(vms)
		vms = append(vms, newEntryVM(g.opts.Self, g.IsReady()))
	}
	a := entries.SelectForUnknownAccount(vms, self, g.rotation.Add(1))
	list := make([]string, 0, len(a.VMs))
	for _, i := range a.VMs {
		list = append(list, vms[i].Address)
	}
	return list
}

func newEntryVM(vm routing.VM, usable bool) entries.VM {
	return entries.VM{ID: vm.ID, Hash: xxhash.Sum64String(vm.ID), Zone: vm.Zone, Address: vm.Address, Usable: usable}
}

// Run serves until soft is done, then drains and returns. When hard is done, it terminates the
// remaining requests at once.
func (g *Gateway) Run(soft, hard context.Context) error {
	runCtx, cancel := context.WithCancel(hard)
	defer cancel()
	servers := g.startServers(runCtx)
	var group errgroup.Group
	group.Go(func() error { g.feed.Run(runCtx); return nil })
	group.Go(func() error { g.handler.Run(runCtx); return nil })
	group.Go(func() error { g.versions.Run(runCtx); return nil })
	registered := make(chan struct{})
	go func() {
		defer close(registered)
		r := feed.Registrar{Store: g.opts.Store, VM: g.opts.Self, Log: g.opts.Log, MinLeaseTTL: g.opts.MinLeaseTTL, Feed: g.feed}
		r.Run(soft)
	}()
	g.opts.Log.Emit(event.DaemonStarted, g.opts.Self.Address, g.opts.Self.PeerAddress, "")
	select {
	case <-soft.Done():
	case <-hard.Done():
	}
	g.drain(hard)
	cancel()
	err := closeAll(servers)
	<-registered
	if waitErr := group.Wait(); err == nil {
		err = waitErr
	}
	g.opts.Log.Emit(event.DaemonStopped, g.handler.Running(), 0)
	return err
}

// startServers starts an HTTP server on each listener.
func (g *Gateway) startServers(ctx context.Context) []io.Closer {
	discard := log.New(io.Discard, "", 0) // errors of callers are reported as events
	callers := newCallerServer(ctx, g.handler, g.feed, discard)
	go g.serveListener(callers.http, callerListener{g.opts.Callers, callers, g.opts.Log})
	go callers.watchLimits(g.opts.Log)
	closers := []io.Closer{callers}
	for _, l := range []struct {
		listener net.Listener
		handler  http.Handler
	}{
		{g.opts.Readiness, g.opts.ReadyHandler(g.IsReady)},
		{g.opts.Directory, g.opts.DirectoryHandler(g.Addresses)},
		{g.opts.Peers, g.peerHandler()},
		{g.opts.Metrics, promhttp.HandlerFor(g.opts.Registry, promhttp.HandlerOpts{})},
	} {
		if l.listener == nil {
			continue
		}
		s := &http.Server{Handler: l.handler, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout, ErrorLog: discard}
		closers = append(closers, s)
		go g.serveListener(s, l.listener)
	}
	return closers
}

// peerHandler serves the requests of other daemons.
func (g *Gateway) peerHandler() http.Handler {
	router := mux.NewRouter()
	for _, newService := range []func() (string, http.Handler){g.feed.Handler, g.handler.RetryBudgetService, g.handler.WorkService, g.handler.PoisonService, g.handler.QuotaService, g.versions.Handler} {
		prefix, service := newService()
		router.PathPrefix(prefix).Handler(service)
	}
	path, tunnels := g.reach.TunnelService()
	router.Handle(path, tunnels)
	return router
}

func (g *Gateway) serveListener(s *http.Server, l net.Listener) {
	if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		g.opts.Log.Emit(event.ListenerFailed, l.Addr().String(), err)
	}
}

// Registry returns the registry with the metrics of all components.
func (g *Gateway) Registry() *metric.Catalogue { return g.opts.Registry }

// drain removes this daemon from its own directory responses and reports it as not ready at once.
// It then waits until callers no longer keep the address and neither a request nor a tunnel of
// another daemon is in progress, at most until exitMargin before the end of the grace period.
func (g *Gateway) drain(hard context.Context) {
	started := time.Now()
	maxDrain := time.Duration(g.gracePeriod.Load()) - exitMargin
	g.draining.Store(true)
	streamsUntil, requestsUntil := started.Add(acceptStreamsFor), started.Add(acceptRequestsFor)
	g.handler.BeginShutdown(forward.ShutdownSchedule{
		StreamsUntil: streamsUntil, RequestsUntil: requestsUntil, ExitAt: started.Add(maxDrain),
	})
	g.reach.BeginShutdown(tunnel.ShutdownSchedule{StreamsUntil: streamsUntil, RequestsUntil: requestsUntil})
	minDrain := min(addressRetentionFactor*g.opts.AddressTTL, maxDrain)
	g.opts.Log.Emit(event.DaemonDraining, g.handler.Running(), minDrain)
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-hard.Done():
			return
		case <-tick.C:
		}
		elapsed := time.Since(started)
		if elapsed >= maxDrain || elapsed >= minDrain && g.handler.Running()+g.reach.Tunnels() == 0 {
			return
		}
	}
}

func closeAll(servers []io.Closer) error {
	var firstErr error
	for _, s := range servers {
		if err := s.Close(); err != nil && firstErr == nil {
			firstErr = errors.Wrap(err, "close")
		}
	}
	return firstErr
}
