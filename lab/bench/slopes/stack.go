package slopes

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"mallowwind.dev/control/operate"
	"mallowwind.dev/control/settings"
	"mallowwind.dev/external/engine"
	"mallowwind.dev/external/standin/enginesim"
	"mallowwind.dev/external/standin/plainsim"
	"mallowwind.dev/external/standin/storesim"
	"mallowwind.dev/external/standin/weightsim"
	"mallowwind.dev/external/store"
	"mallowwind.dev/external/vmlist"
	"mallowwind.dev/peer/link"
	"mallowwind.dev/serve/daemon"
)

func tokenHash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// stack is a platform of stand-ins and daemons before it, all in this process
// and joined by loopback.
type stack struct {
	store    *store.Faulty // counts calls
	vms      []vmlist.VM
	list     *vmlist.Memory
	engines  []*httptest.Server // and the desk
	sims     []*enginesim.Sim   // behind engines
	desk     string             // URL
	servers  []*httptest.Server // of the platform
	control  []*counter         // their bytes
	platform settings.Settings  // where they are
	daemons  []*node
	retired  []*node        // left, their shutdown may go on
	revision int64          // newest accepted
	running  errgroup.Group // of daemons
}

// node is one daemon with its listeners.
type node struct {
	vm      string
	callers net.Listener
	peers   *counter
	daemon  *daemon.Daemon

	leave, cut context.CancelFunc // begin a graceful shutdown, end it at once
}

// newStack starts n daemons and as many stand-in engines as there are replicas.
// A text that wants just these is in force at all daemons when it returns.
func newStack(ctx context.Context, n, replicas int) (*stack, error) {
	s := &stack{store: store.NewFaulty(store.NewMemory()), vms: fleet(n, replicas)}
	if err := s.listen(); err != nil {
		return nil, err
	}
	s.startDesk()
	s.startPlatform()
	if err := s.apply(ctx, siteText(fewAccounts, s.vms)); err != nil {
		return nil, err
	}
	for _, node := range s.daemons {
		if err := s.start(node); err != nil {
			return nil, errors.Wrapf(err, "%s", node.vm)
		}
	}
	return s, s.ready(ctx)
}

// start runs a daemon at n.
func (s *stack) start(n *node) error {
	d, err := s.assemble(n)
	if err != nil {
		return err
	}
	n.daemon = d
	soft, leave := context.WithCancel(context.Background())
	hard, cut := context.WithCancel(context.Background())
	n.leave, n.cut = leave, cut
	s.running.Go(func() error { return d.Run(soft, hard) })
	return nil
}

// apply makes text the accepted one, as an operator's command does.
func (s *stack) apply(ctx context.Context, text string) error {
	c := &operate.Client{Store: s.store, Site: siteName, Author: siteName}
	r, err := c.Apply(ctx, operate.Request{Text: text, BaseRevision: s.revision})
	if err == nil {
		s.revision = r.Revision
	}
	return err
}

func (s *stack) close() error {
	for _, n := range append(s.daemons, s.retired...) {
		n.cut() // nothing to drain: measurements end their own work
		n.leave()
	}
	err := s.running.Wait()
	for _, server := range append(s.engines, s.servers...) {
		server.CloseClientConnections()
		server.Close()
	}
	return err
}

// pace is the time between two tokens of a stream at the size to come.
const pace = 30 * time.Millisecond

// startEngine starts a stand-in that holds the model of vm's pool.
func (s *stack) startEngine(vm *vmlist.VM) {
	sim := enginesim.New(enginesim.Config{
		Name: vm.ID, Models: []engine.ModelRef{{Model: vm.Pool}}, Slots: 64,
		StepBase: pace, StepPerRequest: time.Nanosecond,
	})
	server := httptest.NewServer(enginesim.Handler(sim))
	s.engines = append(s.engines, server)
	s.sims = append(s.sims, sim)
	vm.Address = server.Listener.Addr().String()
}

// deskPool is the pool, and the service, of calls that may not be repeated.
const deskPool = "desk"

// startDesk starts a stand-in of a plain service.
func (s *stack) startDesk() {
	server := httptest.NewServer(plainsim.New(deskPool, 0))
	s.engines = append(s.engines, server)
	s.desk = server.URL
	s.vms = append(s.vms, vmlist.VM{
		ID: "backend-desk", Address: server.Listener.Addr().String(), Zone: zoneOf(0),
		Role: vmlist.RoleBackend, Pool: deskPool, State: vmlist.Live,
	})
}

// listen starts the engines and opens the daemons' addresses.
func (s *stack) listen() error {
	for i := range s.vms {
		vm := &s.vms[i]
		if vm.Role == vmlist.RoleBackend {
			s.startEngine(vm)
			continue
		}
		n, err := newNode(vm)
		if err != nil {
			return err
		}
		s.daemons = append(s.daemons, n)
	}
	return nil
}

// newNode opens the addresses of a daemon and sets them in its row of the list.
func newNode(vm *vmlist.VM) (*node, error) {
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	peers, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	vm.Address = peers.Addr().String()
	return &node{vm: vm.ID, callers: callers, peers: &counter{Listener: peers}}, nil
}

// platformServer serves h to the daemons and counts its bytes as control.
func (s *stack) platformServer(h http.Handler) string {
	server, c := serve(h)
	s.servers = append(s.servers, server)
	s.control = append(s.control, c)
	return server.URL
}

// startPlatform serves the store, the VM list and the weight store.
func (s *stack) startPlatform() {
	s.list = vmlist.NewMemory(0)
	for _, vm := range s.vms {
		s.list.Put(vm)
	}
	s.platform = settings.Settings{
		Store:   []string{s.platformServer(storesim.Handler(s.store))},
		VMList:  s.platformServer(vmlist.Handler(s.list)),
		Weights: s.platformServer(weightsim.Handler(weightsim.New(1, time.Second))),
	}
}

func (s *stack) assemble(n *node) (*daemon.Daemon, error) {
	set := s.settings(n)
	platform, err := daemon.Connect(set)
	if err != nil {
		return nil, err
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	logger.SetFormatter(&logrus.JSONFormatter{})
	return daemon.New(daemon.Options{
		Settings: set, Platform: platform,
		Listeners: daemon.Listeners{Callers: n.callers, Peers: n.peers},
		Dialer:    link.NewDialer(nil), Logger: logger, Version: siteName,
	}), nil
}

func (s *stack) settings(n *node) *settings.Settings {
	out := s.platform
	out.Site, out.VM, out.DrainLimit = siteName, n.vm, time.Second
	for _, vm := range s.vms {
		if vm.ID == n.vm {
			out.Zone, out.Region = vm.Zone, vm.Region
		}
	}
	return &out
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
