package slopes

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"mallowwind.dev/control/inforce/record"
	"mallowwind.dev/control/settings"
	"mallowwind.dev/peer/link"
	"mallowwind.dev/platform/engine"
	"mallowwind.dev/platform/plain"
	"mallowwind.dev/platform/standin/enginesim"
	"mallowwind.dev/platform/standin/storesim"
	"mallowwind.dev/platform/store"
	"mallowwind.dev/platform/vmlist"
	"mallowwind.dev/serve/daemon"
)

func tokenHash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// stack is a platform of stand-ins and daemons before it, all in this process
// and joined by loopback.
type stack struct {
	store   *store.Faulty // counts calls
	engines []*httptest.Server
	servers []*httptest.Server // of the store and the VM list
	daemons []*node
	vms     []vmlist.VM

	control []*counter // of all that daemons read from the platform for control

	stop func() error
}

// node is one daemon with its listeners.
type node struct {
	vm      string
	callers net.Listener
	peers   *counter
}

// newStack starts n daemons in different zones before replicas backend servers,
// which share as many stand-in engines. Text is in force at all when it returns.
func newStack(ctx context.Context, n, engines, replicas int, text string) (*stack, error) {
	s := &stack{store: store.NewFaulty(store.NewMemory()), stop: func() error { return nil }}
	s.startEngines(engines)
	if err := s.listen(n, replicas); err != nil {
		return nil, err
	}
	if err := accept(ctx, s.store, 1, text); err != nil {
		return nil, err
	}
	run, cancel := context.WithCancel(ctx)
	hard, cut := context.WithCancel(context.Background())
	var g errgroup.Group
	for _, node := range s.daemons {
		d, err := s.daemon(node)
		if err != nil {
			cancel()
			cut()
			return nil, err
		}
		g.Go(func() error { return d.Run(run, hard) })
	}
	s.stop = func() error {
		cut() // nothing to drain: measurements end their own work
		cancel()
		return g.Wait()
	}
	return s, s.ready(ctx)
}

func (s *stack) close() error {
	err := s.stop()
	for _, server := range append(s.engines, s.servers...) {
		server.CloseClientConnections()
		server.Close()
	}
	return err
}

// startEngines starts stand-ins at the pace of the defaults: a token each 12 ms
// alone and each 28 ms at a full batch of 32.
func (s *stack) startEngines(n int) {
	var refs []engine.ModelRef
	for i := range models {
		refs = append(refs, engine.ModelRef{Model: modelOf(i)})
	}
	for i := range n {
		sim := enginesim.New(enginesim.Config{
			Name: fmt.Sprintf("engine-%d", i), Seed: uint64(i), Models: refs, MaxModels: models, Slots: 64,
		})
		s.engines = append(s.engines, httptest.NewServer(enginesim.Handler(sim)))
	}
}

// listen opens the daemons' addresses and lists all VMs.
func (s *stack) listen(n, replicas int) error {
	s.vms = fleet(n, replicas)
	for i := range s.vms {
		vm := &s.vms[i]
		if vm.Role == vmlist.RoleBackend {
			vm.Address = s.engines[i%len(s.engines)].Listener.Addr().String()
			continue
		}
		callers, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		peers, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		vm.Address = peers.Addr().String()
		s.daemons = append(s.daemons, &node{vm: vm.ID, callers: callers, peers: &counter{Listener: peers}})
	}
	return nil
}

// platformServer serves h to the daemons and counts its bytes as control.
func (s *stack) platformServer(h http.Handler) string {
	server, c := serve(h)
	s.servers = append(s.servers, server)
	s.control = append(s.control, c)
	return server.URL
}

func (s *stack) daemon(n *node) (*daemon.Daemon, error) {
	if len(s.servers) == 0 {
		list, err := json.Marshal(s.vms)
		if err != nil {
			return nil, errors.Wrap(err, "VM list")
		}
		s.platformServer(storesim.Handler(s.store))
		s.platformServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write(list)
		}))
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	kv, err := store.NewEtcdClient([]string{s.servers[0].URL}, client)
	if err != nil {
		return nil, err
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	logger.SetFormatter(&logrus.JSONFormatter{})
	transport := engine.NewTransport(false)
	return daemon.New(daemon.Options{
		Settings: s.settings(n),
		Platform: daemon.Platform{
			Store: kv,
			VMs:   vmlist.NewClient(s.servers[1].URL, client),
			Engine: func(address string) engine.Engine {
				return engine.NewClient("http://"+address, &http.Client{Transport: transport})
			},
			Plain: plain.NewClient(&http.Transport{}, 0),
		},
		Listeners: daemon.Listeners{Callers: n.callers, Peers: n.peers},
		Dialer:    link.NewDialer(nil), Logger: logger, Version: "slopes",
	}), nil
}

func (s *stack) settings(n *node) *settings.Settings {
	out := &settings.Settings{Site: siteName, VM: n.vm, DrainLimit: time.Second}
	for _, vm := range s.vms {
		if vm.ID == n.vm {
			out.Zone, out.Region = vm.Zone, vm.Region
		}
	}
	return out
}

// startLimit bounds the wait for a stack to be ready.
const startLimit = 30 * time.Second

// ready waits until every daemon has the text.
func (s *stack) ready(ctx context.Context) error {
	deadline := time.Now().Add(startLimit)
	for _, n := range s.daemons {
		for !readyz(ctx, n.callers.Addr().String()) {
			if time.Now().After(deadline) || ctx.Err() != nil {
				return errors.Errorf("%s is not ready", n.vm)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

func readyz(ctx context.Context, address string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// accept writes text to the store as the given revision, as an operator's
// command does.
func accept(ctx context.Context, s store.Store, revision int64, text string) error {
	keys := record.KeysOf(siteName)
	r := &record.Record{
		ID: fmt.Sprintf("change-%d", revision), Revision: revision, Previous: revision - 1,
		SHA256: record.Hash(text), Who: siteName, When: time.Now(),
	}
	if _, err := s.CompareAndSwap(ctx, keys.Body(r.ID), 0, []byte(text), 0); err != nil {
		return errors.Wrap(err, "body")
	}
	var version int64
	if kv, err := s.Get(ctx, keys.Text()); err == nil {
		version = kv.Version
	}
	_, err := s.CompareAndSwap(ctx, keys.Text(), version, r.Encode(), 0)
	return errors.Wrap(err, "record")
}
