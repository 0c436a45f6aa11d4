package stand

import (
	"fmt"
	"net/http"

	"mallowwind.dev/external/standin/enginesim"
	"mallowwind.dev/external/standin/storesim"
	"mallowwind.dev/external/vmlist"
)

// serve starts an HTTP server for h at a new address.
func (d *Deployment) serve(h http.Handler) (address string, err error) {
	l, err := d.fabric.listen()
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: readyTimeout}
	d.servers = append(d.servers, srv)
	d.wg.Go(func() { _ = srv.Serve(l) }) // ends with ErrServerClosed
	return l.Addr().String(), nil
}

// startPlatform starts the simulated store, VM list, engines and plain backend.
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
	plainAt, err := d.serve(d.PlainBackend)
	if err != nil {
		return err
	}
	d.plainBackendAddress = plainAt
	d.VMs.Put(vmlist.VM{ID: "desk-1", Address: plainAt, Zone: d.opts.Zones[0], Role: vmlist.RoleBackend, Pool: "desks", State: vmlist.Live})
	return nil
}

// StartEngine adds a model engine to a zone.
func (d *Deployment) StartEngine(zone string) error {
	_, err := d.AddEngine(zone)
	return err
}

// AddEngine adds a model engine to a zone and returns its VM id.
func (d *Deployment) AddEngine(zone string) (string, error) {
	id := fmt.Sprintf("engine-%d", len(d.Engines)+1)
	sim := enginesim.New(enginesim.Config{
		Name: id, Seed: d.opts.Seed + uint64(len(d.Engines)), EnforceFencing: !d.opts.IgnoreFencing,
		Weights: d.Weights, LoadTime: loadTime,
	})
	at, err := d.serve(d.attempts.wrap(enginesim.Handler(sim)))
	if err != nil {
		return "", err
	}
	d.Engines[id] = sim
	d.fabric.setLocation(at, location{id, zone})
	d.VMs.Put(vmlist.VM{ID: id, Address: at, Zone: zone, Role: vmlist.RoleBackend, Pool: "engines", State: vmlist.Live})
	return id, nil
}
