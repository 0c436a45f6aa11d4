package stand

import (
	"context"
	"fmt"
	"net/http"

	"github.com/sirupsen/logrus"

	"mallowwind.dev/control/backends"
	"mallowwind.dev/control/settings"
	"mallowwind.dev/external/engine"
	"mallowwind.dev/external/plain"
	"mallowwind.dev/external/sent"
	"mallowwind.dev/external/standin/faultnet"
	"mallowwind.dev/external/store"
	"mallowwind.dev/external/vmlist"
	"mallowwind.dev/peer/link"
	"mallowwind.dev/serve/daemon"
)

// Entry is one entry VM with its daemon.
type Entry struct {
	ID, Zone, Address string
	Daemon            *daemon.Daemon

	peer, admin string
	d           *Deployment
	drain, kill context.CancelFunc
	done        chan error
}

// StartEntry adds an entry VM to a zone.
func (d *Deployment) StartEntry(zone string) (*Entry, error) {
	e := &Entry{ID: fmt.Sprintf("entry-%d", len(d.Entries)+1), Zone: zone, d: d, done: make(chan error, 1)}
	listeners, err := d.listeners()
	if err != nil {
		return nil, err
	}
	platform, err := d.platform(location{e.ID, zone})
	if err != nil {
		return nil, err
	}
	logger := logrus.New()
	logger.SetOutput(d.opts.Logs)
	watch := backends.DefaultConfig()
	watch.ListInterval, watch.MinPollInterval = watchInterval, watchInterval
	e.Daemon = daemon.New(daemon.Options{
		Settings:  &settings.Settings{Site: d.opts.Site, VM: e.ID, Zone: zone, DrainLimit: d.opts.DrainLimit},
		Listeners: listeners,
		Dialer:    link.NewDialerWithClient(d.httpFrom(location{e.ID, zone})),
		Logger:    logger,
		Version:   "stand",
		Backends:  &watch,
		Platform:  platform,
	})
	e.Address, e.peer, e.admin = listeners.Callers.Addr().String(), listeners.Peers.Addr().String(), listeners.Admin.Addr().String()
	d.fabric.setLocation(e.peer, location{e.ID, zone})
	d.Entries = append(d.Entries, e)
	d.VMs.Put(vmlist.VM{ID: e.ID, Address: e.peer, Zone: zone, Role: vmlist.RoleEntry, State: vmlist.Live})
	soft, cancel := context.WithCancel(context.Background())
	hard, kill := context.WithCancel(d.ctx)
	e.drain, e.kill = cancel, kill
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

// httpFrom returns an HTTP client whose connections are subject to the faults of the VM at a
// location.
func (d *Deployment) httpFrom(at location) *http.Client {
	return &http.Client{Transport: sent.NewTransportWith(d.fabric.dialFrom(at), false), CheckRedirect: sent.NoRedirect}
}

// platform returns clients of the platform services for the VM at a location.
func (d *Deployment) platform(at location) (daemon.Platform, error) {
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
			if d.opts.WrapEngine == nil {
				return e
			}
			return d.opts.WrapEngine(d.engineAt(address), e)
		},
		Plain: plain.NewClient(sent.NewTransportWith(dial, true), 0),
	}, nil
}

// engineAt returns the VM id of the engine at an address.
func (d *Deployment) engineAt(address string) string {
	return d.fabric.locationOf(address).id
}

// Stop begins a graceful shutdown, as SIGTERM does, and waits for its end.
func (e *Entry) Stop() error {
	e.d.VMs.Put(vmlist.VM{ID: e.ID, Address: e.peer, Zone: e.Zone, Role: vmlist.RoleEntry, State: vmlist.Leaving})
	e.drain()
	return <-e.done
}

// Callers returns the fault-injecting listener at the entry VM's address for callers.
func (e *Entry) Callers() *faultnet.Listener { return e.d.fabric.listenerAt(e.Address) }

// Peers returns the fault-injecting listener at the entry VM's address for other daemons.
func (e *Entry) Peers() *faultnet.Listener { return e.d.fabric.listenerAt(e.peer) }

// Client returns a client of the demo's account for this entry VM.
func (e *Entry) Client() *Client { return e.d.Client(e.Address) }
