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

// Node is one stand-in that listens.
type Node struct {
	Name    string
	Address string
	Zone    string // of a backend server
	Engine  *enginesim.Sim
	Plain   *plainsim.Sim

	net    *faultnet.Listener
	faults faults
	server *http.Server
}

// Host runs the stand-ins. Its fields may be used directly by a program that
// holds it; its methods are safe for concurrent use.
type Host struct {
	Memory  *store.Memory
	Store   *store.Faulty
	VMs     *vmlist.Memory
	Weights *weightsim.Sim

	log   *event.Log
	nodes []*Node
}

// Start listens on every address and serves. On an error nothing stays open.
func Start(c Config, log *event.Log) (*Host, error) {
	memory := store.NewMemory()
	h := &Host{
		Memory:  memory,
		Store:   store.NewFaulty(memory),
		VMs:     vmlist.NewMemory(c.VMList.Lag, c.Entries...),
		Weights: weightsim.New(max(c.Weights.Capacity, 1), c.Weights.Fetch),
		log:     log,
	}
	h.Store.SetLimits(c.Store.ReadsPerS, c.Store.WritesPerS)
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

func (h *Host) startPool(p *Pool, seed uint64) error {
	servers, err := p.servers(seed)
	if err != nil {
		return err
	}
	for _, s := range servers {
		node, handler := h.backend(s)
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

func (h *Host) backend(s server) (*Node, http.Handler) {
	node := &Node{Name: s.id, Zone: s.zone}
	if s.pool.Kind == KindPlain {
		node.Plain = plainsim.New(s.id, s.pool.Work)
		node.faults = plainFaults(node)
		return node, node.limited(node.crashing(node.Plain))
	}
	config := s.pool.Engine
	config.Name, config.Seed, config.Weights = s.id, s.seed, h.Weights
	node.Engine = enginesim.New(config)
	node.faults = engineFaults(node)
	return node, node.limited(node.crashing(enginesim.Handler(node.Engine)))
}

// limited adds the fault of a server that names a limit.
func (n *Node) limited(handler http.Handler) http.Handler {
	l := &limiter{handler: handler}
	n.faults["name-limit"] = l.set
	return l
}

// crashing adds the fault of requests that end their server.
func (n *Node) crashing(handler http.Handler) http.Handler {
	c := &crasher{handler: handler, end: func() { _ = n.do("die", "") }} // it has no other end
	n.faults["crash-on"] = c.on
	return c
}

// serve listens and adds the node. An empty address means that it is not served.
func (h *Host) serve(node *Node, address string, handler http.Handler) error {
	if address == "" {
		return nil
	}
	l, err := faultnet.Listen(address)
	if err != nil {
		return errors.Wrap(err, node.Name)
	}
	node.net, node.Address = l, l.Addr().String()
	node.server = &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	h.nodes = append(h.nodes, node)
	go func() { _ = node.server.Serve(l) }()
	return nil
}

// Nodes returns what runs, in the order of the configuration.
func (h *Host) Nodes() []*Node { return slices.Clone(h.nodes) }

// Node returns the first node of this name.
func (h *Host) Node(name string) (*Node, bool) {
	i := slices.IndexFunc(h.nodes, func(n *Node) bool { return n.Name == name })
	if i < 0 {
		return nil, false
	}
	return h.nodes[i], true
}

// URLs returns the base URLs of the nodes of this name.
func (h *Host) URLs(name string) []string {
	var urls []string
	for _, n := range h.nodes {
		if n.Name == name {
			urls = append(urls, "http://"+n.Address)
		}
	}
	return urls
}

// Run waits until ctx ends and closes everything.
func (h *Host) Run(ctx context.Context) error {
	<-ctx.Done()
	h.Close()
	return nil
}

// Close stops everything at once.
func (h *Host) Close() {
	for _, n := range h.nodes {
		_ = n.server.Close()
		_ = n.net.Close()
		if n.Engine != nil {
			n.Engine.Close()
		}
	}
}

// String returns one line for people: name, address and zone.
func (n *Node) String() string {
	return strings.TrimSpace(n.Name + " " + n.Address + " " + n.Zone)
}
