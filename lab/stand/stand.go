// Package stand runs a whole deployment in one process: stand-ins of the
// platform and one daemon per availability zone or more, over loopback TCP or,
// in virtual time, over pipes in memory. The demo, tests of whole sessions and
// experiments are built on it.
package stand

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"mallowwind.dev/control/backends"
	"mallowwind.dev/control/operate"
	"mallowwind.dev/control/settings"
	"mallowwind.dev/external/engine"
	"mallowwind.dev/external/plain"
	"mallowwind.dev/external/sent"
	"mallowwind.dev/external/standin/enginesim"
	"mallowwind.dev/external/standin/faultnet"
	"mallowwind.dev/external/standin/plainsim"
	"mallowwind.dev/external/standin/storesim"
	"mallowwind.dev/external/standin/weightsim"
	"mallowwind.dev/external/store"
	"mallowwind.dev/external/vmlist"
	"mallowwind.dev/peer/link"
	"mallowwind.dev/serve/daemon"
)

const (
	// listLag is how late the stand-in VM list shows changes.
	listLag = 300 * time.Millisecond
	// watchEvery is how often daemons read the list and poll engines: faster
	// than in a real deployment, so that a short run sees changes.
	watchEvery = 500 * time.Millisecond
	// readyLimit bounds the start of the deployment.
	readyLimit = 15 * time.Second
	// waitOut is added where engines ignore fences: a holder of the zone's lease
	// then waits out what the one before may still send.
	waitOut   = 45 * time.Second
	readyPoll = 200 * time.Millisecond
	loadTime  = 200 * time.Millisecond
	fetchTime = 500 * time.Millisecond
	// fetches is how many fetches the stand-in weight store runs at once.
	fetches  = 4
	deskWork = 10 * time.Millisecond
)

// Options describe a deployment. Zero fields take the demo's values.
type Options struct {
	Seed   uint64
	Memory bool   // pipes in memory instead of loopback TCP
	Text   string // the site text
	Site   string // its name
	Zones  []string
	// EnginesPerZone is the number of engines in pool "engines" in each zone.
	EnginesPerZone int
	// EntriesPerZone is the number of daemons in each zone.
	EntriesPerZone int
	Logs           io.Writer // of the daemons
	DrainLimit     time.Duration
	// Wrap, if set, stands between daemons and the engine with this VM id.
	Wrap func(id string, e engine.Engine) engine.Engine
	// IgnoreFence makes engines take orders with old fencing numbers.
	IgnoreFence bool
}

func (o Options) withDefaults() Options {
	if o.Text == "" {
		o.Text, o.Site, o.Zones = DemoText, demoSite, demoZones
	}
	if o.EnginesPerZone == 0 {
		o.EnginesPerZone = 2
	}
	if o.EntriesPerZone == 0 {
		o.EntriesPerZone = 1
	}
	if o.Logs == nil {
		o.Logs = io.Discard
	}
	if o.DrainLimit == 0 {
		o.DrainLimit = time.Minute
	}
	return o
}

// Deployment is the running whole.
type Deployment struct {
	Engines map[string]*enginesim.Sim // by VM id
	Desk    *plainsim.Sim
	Store   *store.Faulty
	VMs     *vmlist.Memory
	Weights *weightsim.Sim
	Entries []*Entry

	opts     Options
	fabric   *fabric
	storeURL string
	vmsURL   string
	servers  []*http.Server
	ctx      context.Context
	stop     context.CancelFunc
	wg       sync.WaitGroup

	starts      starts
	deskAddress string
}

// Entry is one entry VM with its daemon.
type Entry struct {
	ID, Zone, Address string
	Daemon            *daemon.Daemon

	peer, admin string
	d           *Deployment
	soft, kill  context.CancelFunc
	done        chan error
}

// Start runs everything and applies the site text as an operator would. It
// returns when every entry VM serves every service.
func Start(ctx context.Context, o Options) (*Deployment, error) {
	d := &Deployment{
		opts:    o.withDefaults(),
		fabric:  newFabric(o.Memory),
		Engines: make(map[string]*enginesim.Sim),
		Desk:    plainsim.New("desk", deskWork),
		Store:   store.NewFaulty(store.NewMemory()),
		VMs:     vmlist.NewMemory(listLag),
		Weights: weightsim.New(fetches, fetchTime),
	}
	d.ctx, d.stop = context.WithCancel(ctx)
	if err := d.start(); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start() error {
	if err := d.startPlatform(); err != nil {
		return err
	}
	client := d.Operator()
	if _, err := client.Apply(d.ctx, operate.Request{Text: d.opts.Text, Comment: "first text"}); err != nil {
		return errors.Wrap(err, "apply the site text")
	}
	for range d.opts.EntriesPerZone {
		for _, zone := range d.opts.Zones {
			if _, err := d.StartEntry(zone); err != nil {
				return err
			}
		}
	}
	return d.awaitReady()
}

// Operator returns what an operator's command line works with.
func (d *Deployment) Operator() *operate.Client {
	return &operate.Client{Store: d.Store, Site: d.opts.Site, Who: "demo"}
}

// serve answers at a new address.
func (d *Deployment) serve(h http.Handler) (address string, err error) {
	l, err := d.fabric.listen()
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: readyLimit}
	d.servers = append(d.servers, srv)
	d.wg.Go(func() { _ = srv.Serve(l) }) // ends with ErrServerClosed
	return l.Addr().String(), nil
}

func (d *Deployment) startPlatform() error {
	storeAt, err := d.serve(storesim.Handler(d.Store))
	if err != nil {
		return err
	}
	vmsAt, err := d.serve(vmlist.Handler(d.VMs))
	if err != nil {
		return err
	}
	d.storeURL, d.vmsURL = "http://"+storeAt, "http://"+vmsAt
	for _, zone := range d.opts.Zones {
		for range d.opts.EnginesPerZone {
			if err := d.StartEngine(zone); err != nil {
				return err
			}
		}
	}
	deskAt, err := d.serve(d.Desk)
	if err != nil {
		return err
	}
	d.deskAddress = deskAt
	d.VMs.Put(vmlist.VM{ID: "desk-1", Address: deskAt, Zone: d.opts.Zones[0], Role: vmlist.RoleBackend, Pool: "desks", State: vmlist.Live})
	return nil
}

// StartEngine adds a model engine to a zone.
func (d *Deployment) StartEngine(zone string) error {
	_, err := d.AddEngine(zone)
	return err
}

// AddEngine is StartEngine and returns the engine's VM id.
func (d *Deployment) AddEngine(zone string) (string, error) {
	id := fmt.Sprintf("engine-%d", len(d.Engines)+1)
	sim := enginesim.New(enginesim.Config{
		Name: id, Seed: d.opts.Seed + uint64(len(d.Engines)), RespectFence: !d.opts.IgnoreFence,
		Weights: d.Weights, LoadTime: loadTime,
	})
	at, err := d.serve(d.starts.counting(enginesim.Handler(sim)))
	if err != nil {
		return "", err
	}
	d.Engines[id] = sim
	d.fabric.name(at, place{id, zone})
	d.VMs.Put(vmlist.VM{ID: id, Address: at, Zone: zone, Role: vmlist.RoleBackend, Pool: "engines", State: vmlist.Live})
	return id, nil
}

// StartEntry adds an entry VM to a zone.
func (d *Deployment) StartEntry(zone string) (*Entry, error) {
	e := &Entry{ID: fmt.Sprintf("entry-%d", len(d.Entries)+1), Zone: zone, d: d, done: make(chan error, 1)}
	listeners, err := d.listeners()
	if err != nil {
		return nil, err
	}
	platform, err := d.platform(place{e.ID, zone})
	if err != nil {
		return nil, err
	}
	logger := logrus.New()
	logger.SetOutput(d.opts.Logs)
	watch := backends.DefaultConfig()
	watch.ListEvery, watch.StatusEvery = watchEvery, watchEvery
	e.Daemon = daemon.New(daemon.Options{
		Settings:  &settings.Settings{Site: d.opts.Site, VM: e.ID, Zone: zone, DrainLimit: d.opts.DrainLimit},
		Listeners: listeners,
		Dialer:    link.NewDialerWith(d.httpFrom(place{e.ID, zone})),
		Logger:    logger,
		Version:   "stand",
		Backends:  &watch,
		Platform:  platform,
	})
	e.Address, e.peer, e.admin = listeners.Callers.Addr().String(), listeners.Peers.Addr().String(), listeners.Admin.Addr().String()
	d.fabric.name(e.peer, place{e.ID, zone})
	d.Entries = append(d.Entries, e)
	d.VMs.Put(vmlist.VM{ID: e.ID, Address: e.peer, Zone: zone, Role: vmlist.RoleEntry, State: vmlist.Live})
	soft, cancel := context.WithCancel(context.Background())
	hard, kill := context.WithCancel(d.ctx)
	e.soft, e.kill = cancel, kill
	d.wg.Go(func() { e.done <- e.Daemon.Run(soft, hard) })
	return e, nil
}

func (d *Deployment) listeners() (l daemon.Listeners, err error) {
	if l.Callers, err = d.fabric.listen(); err != nil {
		return l, err
	}
	if l.Peers, err = d.fabric.listen(); err != nil {
		return l, err
	}
	l.Admin, err = d.fabric.listen()
	return l, err
}

// HTTP returns a client that reaches every address of the deployment.
func (d *Deployment) HTTP() *http.Client {
	return &http.Client{Transport: sent.NewTransportWith(d.fabric.dial, false), CheckRedirect: sent.NoRedirect}
}

// httpFrom returns a client of a VM, whose faults it shares.
func (d *Deployment) httpFrom(at place) *http.Client {
	return &http.Client{Transport: sent.NewTransportWith(d.fabric.dialFrom(at), false), CheckRedirect: sent.NoRedirect}
}

func (d *Deployment) platform(at place) (daemon.Platform, error) {
	dial := d.fabric.dialFrom(at)
	kv, err := store.NewEtcdClient([]string{d.storeURL}, d.httpFrom(at))
	if err != nil {
		return daemon.Platform{}, err
	}
	fresh := func() *http.Client {
		return &http.Client{Transport: sent.NewTransportWith(dial, true), CheckRedirect: sent.NoRedirect}
	}
	return daemon.Platform{
		Store:   kv,
		VMs:     vmlist.NewClient(d.vmsURL, d.httpFrom(at)),
		Weights: d.Weights,
		Engine: func(address string) engine.Engine {
			e := engine.Engine(engine.NewClient("http://"+address, fresh()))
			if d.opts.Wrap == nil {
				return e
			}
			return d.opts.Wrap(d.engineAt(address), e)
		},
		Plain: plain.NewClient(sent.NewTransportWith(dial, true), 0),
	}, nil
}

// engineAt returns the VM id of the engine at an address.
func (d *Deployment) engineAt(address string) string {
	return d.fabric.placeAt(address).id
}

// Stop begins a graceful shutdown, as SIGTERM does, and waits for its end.
func (e *Entry) Stop() error {
	e.d.VMs.Put(vmlist.VM{ID: e.ID, Address: e.peer, Zone: e.Zone, Role: vmlist.RoleEntry, State: vmlist.Leaving})
	e.soft()
	return <-e.done
}

// Callers is the network at the entry VM's address for callers, and Peers at
// the one for other daemons.
func (e *Entry) Callers() *faultnet.Listener { return e.d.fabric.at(e.Address) }

// Peers is the network at the entry VM's address for other daemons.
func (e *Entry) Peers() *faultnet.Listener { return e.d.fabric.at(e.peer) }

// Client returns a caller of the demo's account that uses this entry VM.
func (e *Entry) Client() *Client { return e.d.Client(e.Address) }

// Client returns a caller of the demo's account at an address.
func (d *Deployment) Client(address string) *Client {
	return &Client{Base: "http://" + address, Token: DemoToken, HTTP: d.HTTP()}
}

// awaitReady waits until every entry VM serves each generation service of the
// demo's text and knows all others.
func (d *Deployment) awaitReady() error {
	limit := readyLimit
	if d.opts.IgnoreFence {
		limit += waitOut
	}
	ctx, cancel := context.WithTimeout(d.ctx, limit)
	defer cancel()
	for _, e := range d.Entries {
		for !d.ready(ctx, e) {
			select {
			case <-time.After(readyPoll):
			case <-ctx.Done():
				return errors.Errorf("%s was not ready within %s", e.ID, limit)
			}
		}
	}
	return nil
}

func (d *Deployment) ready(ctx context.Context, e *Entry) bool {
	c := e.Client()
	models, err := c.Models(ctx)
	if err != nil {
		return false
	}
	for _, service := range models {
		a := &Answer{Client: c, Service: service, Prompt: "ready?", Tokens: 1}
		if a.Run(ctx) != nil {
			return false
		}
	}
	return e.Daemon.Knows(len(d.Entries))
}

// Close ends everything at once.
func (d *Deployment) Close() {
	d.stop()
	for _, e := range d.Entries {
		e.soft()
	}
	for _, srv := range d.servers {
		_ = srv.Close() // the deployment is over
	}
	d.wg.Wait()
	for _, e := range d.Engines {
		e.Die()
	}
}
