// Package stand runs a complete deployment in one process: simulated platform
// services and at least one daemon per availability zone, over loopback TCP or,
// in virtual time, over in-memory pipes. The demo, end-to-end tests and
// experiments use it.
package stand

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/operate"
	"mallowwind.dev/external/engine"
	"mallowwind.dev/external/sent"
	"mallowwind.dev/external/standin/enginesim"
	"mallowwind.dev/external/standin/plainsim"
	"mallowwind.dev/external/standin/weightsim"
	"mallowwind.dev/external/store"
	"mallowwind.dev/external/vmlist"
)

const (
	// vmListDelay is the delay after which the simulated VM list shows changes.
	vmListDelay = 300 * time.Millisecond
	// watchInterval is the interval at which daemons read the VM list and poll engines.
	// It is shorter than in a real deployment, so that short runs see changes.
	watchInterval = 500 * time.Millisecond
	// readyTimeout bounds the wait for each daemon's readiness at the start of the deployment.
	readyTimeout = 15 * time.Second
	// fenceWait is added to readyTimeout where engines ignore fencing numbers: a new holder
	// of the zone's lease then waits until no order of the previous holder can still arrive.
	fenceWait         = 45 * time.Second
	readyPollInterval = 200 * time.Millisecond
	loadTime          = 200 * time.Millisecond
	fetchTime         = 500 * time.Millisecond
	// maxFetches is the number of concurrent fetches of the simulated weight store.
	maxFetches       = 4
	plainServiceTime = 10 * time.Millisecond
)

// Options configure a deployment. Zero fields take the demo's values.
type Options struct {
	Seed   uint64
	Memory bool   // in-memory pipes instead of loopback TCP
	Text   string // the site text
	Site   string // the site's name
	Zones  []string
	// EnginesPerZone is the number of engines in pool "engines" in each zone.
	EnginesPerZone int
	// EntriesPerZone is the number of daemons in each zone.
	EntriesPerZone int
	Logs           io.Writer // receives the daemons' logs
	DrainLimit     time.Duration
	// WrapEngine, if set, wraps the client that a daemon uses for the engine with this VM id.
	WrapEngine func(id string, e engine.Engine) engine.Engine
	// IgnoreFencing makes engines accept orders with stale fencing numbers.
	IgnoreFencing bool
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

// Deployment is a running deployment.
type Deployment struct {
	Engines      map[string]*enginesim.Sim // by VM id
	PlainBackend *plainsim.Sim
	Store        *store.Faulty
	VMs          *vmlist.Memory
	Weights      *weightsim.Sim
	Entries      []*Entry

	opts     Options
	fabric   *fabric
	storeURL string
	vmsURL   string
	servers  []*http.Server
	ctx      context.Context
	stop     context.CancelFunc
	wg       sync.WaitGroup

	attempts            attemptCounter
	plainBackendAddress string
}

// Start starts the platform and the daemons and applies the site text as an operator
// would. It returns when every entry VM serves every generation service.
func Start(ctx context.Context, o Options) (*Deployment, error) {
	d := &Deployment{
		opts:         o.withDefaults(),
		fabric:       newFabric(o.Memory),
		Engines:      make(map[string]*enginesim.Sim),
		PlainBackend: plainsim.New("desk", plainServiceTime),
		Store:        store.NewFaulty(store.NewMemory()),
		VMs:          vmlist.NewMemory(vmListDelay),
		Weights:      weightsim.New(maxFetches, fetchTime),
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

// Operator returns the client that an operator's command line uses.
func (d *Deployment) Operator() *operate.Client {
	return &operate.Client{Store: d.Store, Site: d.opts.Site, Author: "demo"}
}

// HTTP returns a client that reaches every address of the deployment.
func (d *Deployment) HTTP() *http.Client {
	return &http.Client{Transport: sent.NewTransportWith(d.fabric.dial, false), CheckRedirect: sent.NoRedirect}
}

// Client returns a client of the demo's account for the entry VM at an address.
func (d *Deployment) Client(address string) *Client {
	return &Client{Base: "http://" + address, Token: DemoToken, HTTP: d.HTTP()}
}

// awaitReady waits until every entry VM serves each generation service and knows
// all other entry VMs.
func (d *Deployment) awaitReady() error {
	limit := readyTimeout
	if d.opts.IgnoreFencing {
		limit += fenceWait
	}
	ctx, cancel := context.WithTimeout(d.ctx, limit)
	defer cancel()
	for _, e := range d.Entries {
		for !d.isReady(ctx, e) {
			select {
			case <-time.After(readyPollInterval):
			case <-ctx.Done():
				return errors.Errorf("%s was not ready within %s", e.ID, limit)
			}
		}
	}
	return nil
}

func (d *Deployment) isReady(ctx context.Context, e *Entry) bool {
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
	return e.Daemon.SeesAlive(len(d.Entries))
}

// Close stops the daemons and platform services at once, without draining.
func (d *Deployment) Close() {
	d.stop()
	for _, e := range d.Entries {
		e.drain()
	}
	for _, srv := range d.servers {
		_ = srv.Close() // the deployment is over
	}
	d.wg.Wait()
	for _, e := range d.Engines {
		e.Crash()
	}
}
