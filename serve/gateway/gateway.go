// Package gateway assembles the daemon of an entry VM that forwards requests
// without understanding them: the feed, the handler, the address answers,
// readiness and the graceful shutdown.
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
	"mallowwind.dev/serve/forward"
	"mallowwind.dev/serve/versions"
	"mallowwind.dev/telemetry/event"
	"mallowwind.dev/telemetry/metric"
)

const (
	// streamsUntil is how long after SIGTERM new streams are taken: they last
	// about six seconds of the eight that are left.
	streamsUntil = time.Second
	// allUntil is how long other requests are taken whatever time they have.
	// Callers that keep an address for long come within three seconds.
	allUntil = 2500 * time.Millisecond
	// exitMargin is kept between the last answer and the end of the grace.
	exitMargin = 500 * time.Millisecond
	// keptAnswers is how many times the stated time some callers keep an address.
	keptAnswers = 3
)

// Options configure a Gateway.
type Options struct {
	Self  routing.VM
	Store store.Store
	// Prefix begins the keys of the store that concern this fleet.
	Prefix string
	Schema feed.Schema
	Codec  forward.Codec
	Clock  feed.Clock
	Log    *event.Log
	DynamicOptions
	// MinLeaseTTL is the shortest lease that the store grants.
	MinLeaseTTL time.Duration
	// AddressTTL is how long callers are told to keep an address answer.
	AddressTTL time.Duration
	// Registry receives the metrics, which are served at Metrics.
	Registry *metric.Catalogue
	// Dialer connects to other daemons.
	Dialer *link.Dialer
	// DialServer opens connections to backend servers; nil means TCP.
	DialServer sent.DialFunc
	// Listeners; Directory, Peers and Metrics may be nil.
	Callers, Readiness, Directory, Peers, Metrics net.Listener
	// ReadyHandler and DirectoryHandler wrap the answers in the platform's form.
	ReadyHandler     func(ready func() bool) http.Handler
	DirectoryHandler func(addresses func(zone string) []string) http.Handler
}

// Gateway is one running daemon.
type Gateway struct {
	opts     Options
	feed     *feed.Manager
	handler  *forward.Handler
	versions *versions.Manager
	leaving  atomic.Bool
	grace    atomic.Int64
	turn     atomic.Uint64
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
	h := forward.New(forward.Options{
		Versions: v, Feed: f, Codec: o.Codec, Log: o.Log, Self: o.Self, MaxKeyAge: o.MaxKeyAge, RetryBudget: o.RetryBudget,
		Registerer: o.Registry, Dial: o.DialServer, Dialer: o.Dialer,
	})
	g := &Gateway{opts: o, feed: f, handler: h, versions: v}
	g.grace.Store(int64(o.GracePeriod))
	return g
}

// DynamicOptions are what the platform may change while the daemon runs.
type DynamicOptions struct {
	// MaxKeyAge is how old the configuration may be for an account key to be trusted.
	MaxKeyAge time.Duration
	// RetryBudget bounds the sends beyond the first of the whole fleet.
	RetryBudget retrybudget.Policy
	// RolloutLimits bounds what a version of a service may get that is not known to be good.
	RolloutLimits rollout.Limits
	// GracePeriod is the time between SIGTERM and the end.
	GracePeriod time.Duration
	// Seeds are where some other daemons were.
	Seeds []string
}

// Apply takes other bounds for what comes from now on.
func (g *Gateway) Apply(b DynamicOptions) {
	g.handler.SetBounds(b.MaxKeyAge, b.RetryBudget)
	g.feed.SetSeeds(b.Seeds)
	g.versions.SetLimits(b.RolloutLimits)
	g.grace.Store(int64(b.GracePeriod))
}

// IsReady reports whether callers should be sent here.
func (g *Gateway) IsReady() bool { return !g.leaving.Load() && g.feed.View().Config != nil }

// Addresses are the entry VMs that a caller is told. Its account is not known here.
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
		vms = append(vms, entry(vm, usable))
	}
	if self < 0 {
		self = len(vms)
		vms = append(vms, entry(g.opts.Self, g.IsReady()))
	}
	a := entries.SelectForUnknownAccount(vms, self, g.turn.Add(1))
	list := make([]string, 0, len(a.VMs))
	for _, i := range a.VMs {
		list = append(list, vms[i].Address)
	}
	return list
}

func entry(vm routing.VM, usable bool) entries.VM {
	return entries.VM{ID: vm.ID, Hash: xxhash.Sum64String(vm.ID), Zone: vm.Zone, Address: vm.Address, Usable: usable}
}

// Run serves until soft ends, then drains; hard ends what still runs.
func (g *Gateway) Run(soft, hard context.Context) error {
	life, end := context.WithCancel(hard)
	defer end()
	servers := g.serve(life)
	var work errgroup.Group
	work.Go(func() error { g.feed.Run(life); return nil })
	work.Go(func() error { g.handler.Run(life); return nil })
	work.Go(func() error { g.versions.Run(life); return nil })
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
	end()
	err := closeAll(servers)
	<-registered
	if waited := work.Wait(); err == nil {
		err = waited
	}
	g.opts.Log.Emit(event.DaemonStopped, g.handler.Running(), 0)
	return err
}

// serve starts the listeners.
func (g *Gateway) serve(ctx context.Context) []io.Closer {
	quiet := log.New(io.Discard, "", 0) // what callers do wrong is in the events
	callers := newCallers(g.opts.Callers, g.handler, g.opts.Log, quiet)
	go callers.accept()
	go callers.follow(ctx, func() *routing.Config { return g.feed.View().Config })
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
		s := &http.Server{Handler: l.handler, ReadHeaderTimeout: defaultHeaders, IdleTimeout: defaultIdle, ErrorLog: quiet}
		closers = append(closers, s)
		go g.listen(s, l.listener)
	}
	return closers
}

// peerHandler answers other daemons.
func (g *Gateway) peerHandler() http.Handler {
	router := mux.NewRouter()
	for _, of := range []func() (string, http.Handler){g.feed.Handler, g.handler.RetryBudgetService, g.handler.WorkService, g.handler.PoisonService, g.handler.QuotaService, g.versions.Handler} {
		prefix, service := of()
		router.PathPrefix(prefix).Handler(service)
	}
	return router
}

func (g *Gateway) listen(s *http.Server, l net.Listener) {
	if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		g.opts.Log.Emit(event.ListenerFailed, l.Addr().String(), err)
	}
}

// Registry is where the metrics of all parts are registered.
func (g *Gateway) Registry() *metric.Catalogue { return g.opts.Registry }

// drain leaves the address answers at once and serves on while callers may
// still keep this address, at most until the grace ends.
func (g *Gateway) drain(hard context.Context) {
	started := time.Now()
	ends := time.Duration(g.grace.Load()) - exitMargin
	g.leaving.Store(true)
	g.handler.BeginShutdown(forward.ShutdownSchedule{
		StreamsUntil: started.Add(streamsUntil), RequestsUntil: started.Add(allUntil), ExitAt: started.Add(ends),
	})
	kept := min(keptAnswers*g.opts.AddressTTL, ends)
	g.opts.Log.Emit(event.DaemonDraining, g.handler.Running(), kept)
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-hard.Done():
			return
		case <-tick.C:
		}
		past := time.Since(started)
		if past >= ends || past >= kept && g.handler.Running() == 0 {
			return
		}
	}
}

func closeAll(servers []io.Closer) error {
	var first error
	for _, s := range servers {
		if err := s.Close(); err != nil && first == nil {
			first = errors.Wrap(err, "close")
		}
	}
	return first
}
