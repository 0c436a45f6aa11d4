// Package demo runs a whole deployment in one process over loopback: stand-ins
// of the platform and three entry VMs in three availability zones. It shows an
// answer surviving its engine's death, a call that may not be repeated whose
// answer is lost, and urgent lookups beside long work.
package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"mallowwind.dev/control/backends"
	"mallowwind.dev/control/operate"
	"mallowwind.dev/control/settings"
	"mallowwind.dev/peer/link"
	"mallowwind.dev/platform/engine"
	"mallowwind.dev/platform/plain"
	"mallowwind.dev/platform/standin/enginesim"
	"mallowwind.dev/platform/standin/plainsim"
	"mallowwind.dev/platform/standin/storesim"
	"mallowwind.dev/platform/standin/weightsim"
	"mallowwind.dev/platform/store"
	"mallowwind.dev/platform/vmlist"
	"mallowwind.dev/serve/daemon"
)

const (
	siteName       = "demo"
	enginesPerZone = 2
	// listLag is how late the stand-in VM list shows changes.
	listLag = 300 * time.Millisecond
	// readyLimit bounds the start of the deployment.
	readyLimit = 10 * time.Second
	readyPoll  = 200 * time.Millisecond
)

var zones = []string{"Rufisque", "Pikine", "Plateau"}

// stand is the deployment: the platform's stand-ins and the daemons.
type stand struct {
	seed    uint64
	logs    io.Writer
	engines map[string]*enginesim.Sim // by VM id
	desk    *plainsim.Sim
	store   *store.Faulty
	vms     *vmlist.Memory
	weights *weightsim.Sim
	entries []string // callers' addresses
	urls    struct{ store, vms string }

	servers []*http.Server
	stop    context.CancelFunc
	wg      sync.WaitGroup
}

// newStand starts everything and applies the site text as an operator would.
func newStand(ctx context.Context, seed uint64, logs io.Writer) (*stand, error) {
	s := &stand{
		seed:    seed,
		logs:    logs,
		engines: make(map[string]*enginesim.Sim),
		desk:    plainsim.New("desk", 10*time.Millisecond),
		store:   store.NewFaulty(store.NewMemory()),
		vms:     vmlist.NewMemory(listLag),
		weights: weightsim.New(4, 500*time.Millisecond),
	}
	ctx, s.stop = context.WithCancel(ctx)
	if err := s.start(ctx); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *stand) start(ctx context.Context) error {
	if err := s.startPlatform(); err != nil {
		return err
	}
	client := operate.Client{Store: s.store, Site: siteName, Who: "demo"}
	if _, err := client.Apply(ctx, operate.Request{Text: siteText, Comment: "first text"}); err != nil {
		return errors.Wrap(err, "apply the site text")
	}
	for i, zone := range zones {
		if err := s.startDaemon(ctx, fmt.Sprintf("entry-%d", i+1), zone); err != nil {
			return err
		}
	}
	return s.awaitReady(ctx)
}

// serve answers on a loopback port and returns its address.
func (s *stand) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen on loopback")
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: readyLimit}
	s.servers = append(s.servers, srv)
	s.wg.Go(func() { _ = srv.Serve(l) }) // ends with ErrServerClosed
	return l.Addr().String(), nil
}

func (s *stand) startPlatform() error {
	storeAt, err := s.serve(storesim.Handler(s.store))
	if err != nil {
		return err
	}
	vmsAt, err := s.serve(vmlist.Handler(s.vms))
	if err != nil {
		return err
	}
	s.urls.store, s.urls.vms = "http://"+storeAt, "http://"+vmsAt
	for _, zone := range zones {
		for i := range enginesPerZone {
			if err := s.startEngine(fmt.Sprintf("engine-%s-%d", zone, i+1), zone); err != nil {
				return err
			}
		}
	}
	deskAt, err := s.serve(s.desk)
	if err != nil {
		return err
	}
	s.vms.Put(vmlist.VM{ID: "desk-1", Address: deskAt, Zone: zones[0], Role: vmlist.RoleBackend, Pool: "desks", State: vmlist.Live})
	return nil
}

func (s *stand) startEngine(id, zone string) error {
	sim := enginesim.New(enginesim.Config{
		Name: id, Seed: s.seed + uint64(len(s.engines)), RespectFence: true, Weights: s.weights,
		LoadTime: 200 * time.Millisecond,
	})
	at, err := s.serve(enginesim.Handler(sim))
	if err != nil {
		return err
	}
	s.engines[id] = sim
	s.vms.Put(vmlist.VM{ID: id, Address: at, Zone: zone, Role: vmlist.RoleBackend, Pool: "engines", State: vmlist.Live})
	return nil
}

func (s *stand) startDaemon(ctx context.Context, id, zone string) error {
	set := &settings.Settings{
		Site: siteName, VM: id, Zone: zone,
		Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", AdminListen: "127.0.0.1:0",
		DrainLimit: 5 * time.Second,
	}
	l, err := daemon.Listen(set)
	if err != nil {
		return err
	}
	kv, err := store.NewEtcdClient([]string{s.urls.store}, nil)
	if err != nil {
		return err
	}
	logger := logrus.New()
	logger.SetOutput(s.logs)
	watch := backends.DefaultConfig()
	watch.ListEvery, watch.StatusEvery = 500*time.Millisecond, 500*time.Millisecond
	d := daemon.New(daemon.Options{
		Settings:  set,
		Listeners: l,
		Dialer:    link.NewDialer(nil),
		Logger:    logger,
		Version:   "demo",
		Backends:  &watch,
		Platform: daemon.Platform{
			Store:   kv,
			VMs:     vmlist.NewClient(s.urls.vms, nil),
			Weights: s.weights,
			Engine:  func(address string) engine.Engine { return engine.NewClient("http://"+address, nil) },
			Plain:   plain.NewClient(nil, 0),
		},
	})
	s.entries = append(s.entries, l.Callers.Addr().String())
	s.vms.Put(vmlist.VM{ID: id, Address: l.Peers.Addr().String(), Zone: zone, Role: vmlist.RoleEntry, State: vmlist.Live})
	hard, cut := context.WithCancel(context.Background())
	s.wg.Go(func() {
		defer cut()
		_ = d.Run(ctx, hardAfter(ctx, hard)) // a failed daemon shows in the callers' answers
	})
	return nil
}

// hardAfter ends drains at once when the demo is over: nobody is left to serve.
func hardAfter(ctx, hard context.Context) context.Context {
	out, cancel := context.WithCancel(hard)
	context.AfterFunc(ctx, cancel)
	return out
}

// awaitReady waits until every entry VM is ready and serves a first token.
func (s *stand) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for _, entry := range s.entries {
		for !s.ready(ctx, entry) {
			select {
			case <-time.After(readyPoll):
			case <-ctx.Done():
				return errors.Errorf("%s was not ready within %s", entry, readyLimit)
			}
		}
	}
	return nil
}

// ready reports whether an entry VM serves both services.
func (s *stand) ready(ctx context.Context, entry string) bool {
	for _, service := range []string{"reviews", "orders"} {
		a := &answer{client: s.client(entry), service: service, prompt: "ready?", tokens: 1}
		if a.run(ctx) != nil {
			return false
		}
	}
	all, err := s.client(entry).entries(ctx)
	return err == nil && len(all) == len(zones)
}

func (s *stand) client(entry string) *client {
	return &client{base: "http://" + entry, token: demoToken, http: http.DefaultClient}
}

func (s *stand) close() {
	s.stop()
	for _, srv := range s.servers {
		_ = srv.Close() // the demo is over
	}
	s.wg.Wait()
}
