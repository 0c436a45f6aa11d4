package host

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/external/standin/enginesim"
	"mallowwind.dev/external/standin/faultnet"
	"mallowwind.dev/external/standin/plainsim"
	"mallowwind.dev/external/standin/storesim"
	"mallowwind.dev/external/standin/weightsim"
	"mallowwind.dev/external/store"
	"mallowwind.dev/external/vmlist"
	"mallowwind.dev/telemetry/event"
)

// Names of the nodes that are not backend servers.
const (
	NameStore   = "store"
	NameVMList  = "vm-list"
	NameWeights = "weights"
	NameAdmin   = "admin"
)

// Node is one simulated service with its listener.
type Node struct {
	Name    string
	Address string
	Zone    string // of a backend server
	Engine  *enginesim.Sim
	Plain   *plainsim.Sim

	listener *faultnet.Listener
	faults   faults
	server   *http.Server
}

// Host runs the simulated services. A program that starts a Host may use its fields directly.
// The methods are safe for concurrent use.
type Host struct {
	Memory  *store.Memory
	Store   *store.Faulty
	VMs     *vmlist.Memory
	Weights *weightsim.Sim

	log   *event.Log
	nodes []*Node
}

// Start listens on every address of c and serves. If it fails, it closes all listeners again.
func Start(c Config, log *event.Log) (*Host, error) {
	memory := store.NewMemory()
	h := &Host{
		Memory:  memory,
		Store:   store.NewFaulty(memory),
		VMs:     vmlist.NewMemory(c.VMList.Lag, c.Entries...),
		Weights: weightsim.New(max(c.Weights.MaxConcurrentFetches, 1), c.Weights.FetchTime),
		log:     log,
	}
	h.Store.SetLimits(c.Store.ReadsPerSecond, c.Store.WritesPerSecond)
	if err := h.start(c); err != nil {
		h.Close()
		return nil, err
	}
	return h, nil
}

func (h *Host) start(c Config) error {
	for _, address := range c.Store.Listen {
		node := &Node{Name: NameStore, faults: storeFaults(h.Store)}
		if err := h.serve(node, address, storesim.Handler(h.Store)); err != nil {
			return err
		}
	}
	vms := &Node{Name: NameVMList, faults: vmListFaults(h.VMs)}
	if err := h.serve(vms, c.VMList.Listen, vmlist.Handler(h.VMs)); err != nil {
		return err
	}
	weights := &Node{Name: NameWeights, faults: weightFaults(h.Weights)}
	if err := h.serve(weights, c.Weights.Listen, weightsim.Handler(h.Weights)); err != nil {
		return err
	}
	for i := range c.Pools {
		if err := h.startPool(&c.Pools[i], c.Seed+uint64(i)<<32); err != nil {
			return err
		}
	}
	return h.serve(&Node{Name: NameAdmin}, c.Admin, h.Admin())
}

func (h *Host) startPool(p *PoolConfig, seed uint64) error {
	servers, err := p.servers(seed)
	if err != nil {
		return err
	}
	for _, s := range servers {
		node, handler := h.newBackend(s)
		if err := h.serve(node, s.listen, handler); err != nil {
			return err
		}
		h.VMs.PutNow(vmlist.VM{
			ID: s.id, Address: node.Address, Zone: s.zone, Region: p.Region,
			Role: vmlist.RoleBackend, Pool: p.Name, State: vmlist.Live,
		})
	}
	return nil
}

func (h *Host) newBackend(s serverSpec) (*Node, http.Handler) {
	node := &Node{Name: s.id, Zone: s.zone}
	if s.pool.Kind == KindPlain {
		node.Plain = plainsim.New(s.id, s.pool.CallTime)
		node.faults = plainFaults(node)
		return node, node.withNotices(node.withCrashInjection(node.Plain))
	}
	config := s.pool.Engine
	config.Name, config.Seed, config.Weights = s.id, s.seed, h.Weights
	node.Engine = enginesim.New(config)
	node.faults = engineFaults(node)
	return node, node.withNotices(node.withCrashInjection(enginesim.Handler(node.Engine)))
}

// withNotices adds the faults with which the server states in its responses which requests it takes.
func (n *Node) withNotices(handler http.Handler) http.Handler {
	s := &noticeSender{handler: handler}
	n.faults["name-limit"], n.faults["say-leaving"], n.faults["ask-pause"] = s.setLimit, s.setLeaving, s.setPause
	return s
}

// withCrashInjection adds the fault "crash-on", with which certain requests crash the server.
func (n *Node) withCrashInjection(handler http.Handler) http.Handler {
	c := &crashInjector{handler: handler, crash: func() { _ = n.inject("die", "") }} // "die" is always known and returns no error
	n.faults["crash-on"] = c.setTrigger
	return c
}

// serve starts to listen and serve at address and adds the node. If address is empty, it does
// nothing.
func (h *Host) serve(node *Node, address string, handler http.Handler) error {
	if address == "" {
		return nil
	}
	l, err := faultnet.Listen(address)
	if err != nil {
		return errors.Wrap(err, node.Name)
	}
	node.listener, node.Address = l, l.Addr().String()
	node.server = &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	h.nodes = append(h.nodes, node)
	go func() { _ = node.server.Serve(l) }()
	return nil
}

// Nodes returns all nodes, in the order of the configuration.
func (h *Host) Nodes() []*Node { return slices.Clone(h.nodes) }

// Node returns the first node with this name.
func (h *Host) Node(name string) (*Node, bool) {
	i := slices.IndexFunc(h.nodes, func(n *Node) bool { return n.Name == name })
	if i < 0 {
		return nil, false
	}
	return h.nodes[i], true
}

// URLs returns the base URLs of all nodes with this name.
func (h *Host) URLs(name string) []string {
	var urls []string
	for _, n := range h.nodes {
		if n.Name == name {
			urls = append(urls, "http://"+n.Address)
		}
	}
	return urls
}

// Run waits until ctx is done and then calls Close.
func (h *Host) Run(ctx context.Context) error {
	<-ctx.Done()
	h.Close()
	return nil
}

// Close closes all listeners, connections and engines without draining.
func (h *Host) Close() {
	for _, n := range h.nodes {
		_ = n.server.Close()
		_ = n.listener.Close()
		if n.Engine != nil {
			n.Engine.Close()
		}
	}
}

// String returns the name, the address and the zone for display.
func (n *Node) String() string {
	return strings.TrimSpace(n.Name + " " + n.Address + " " + n.Zone)
}
