package stand

import (
	"context"

	"mallowwind.dev/external/standin/enginesim"
	"mallowwind.dev/external/standin/faultnet"
	"mallowwind.dev/external/vmlist"
)

// listeners are the entry VM's addresses.
func (e *Entry) listeners() []*faultnet.Listener {
	return []*faultnet.Listener{e.Callers(), e.Peers(), e.d.fabric.listenerAt(e.admin)}
}

// Cut takes the entry VM off the network at once: its connections are reset in
// both directions and new ones refused. Seen from outside it has died; its
// process goes on and knows nothing.
func (e *Entry) Cut() {
	for _, l := range e.listeners() {
		l.Cut()
	}
	e.d.fabric.gateOf(vmGate(e.ID)).setCut(true)
	e.d.fabric.reset(e.ID)
}

// Restore ends Cut.
func (e *Entry) Restore() error {
	e.d.fabric.gateOf(vmGate(e.ID)).setCut(false)
	for _, l := range e.listeners() {
		if err := l.Restore(); err != nil {
			return err
		}
	}
	return nil
}

// Pause stops all traffic of the entry VM, open connections included, and
// reports nothing to either end.
func (e *Entry) Pause() {
	e.d.fabric.gateOf(vmGate(e.ID)).block()
	for _, l := range e.listeners() {
		l.Stall()
	}
}

// Unpause ends Pause.
func (e *Entry) Unpause() {
	for _, l := range e.listeners() {
		l.Unstall()
	}
	e.d.fabric.gateOf(vmGate(e.ID)).unblock()
}

// Remove takes the entry VM off the platform's list, as after its end.
func (e *Entry) Remove() { e.d.VMs.Remove(e.ID) }

// Kill ends the process of an entry VM that is cut off, without a drain.
func (e *Entry) Kill() {
	e.kill()
	e.drain()
	<-e.done
}

// Done is closed or has a value when the daemon has ended.
func (e *Entry) Done() <-chan error { return e.done }

// CutZones loses all traffic over connections opened from one availability
// zone to the other, until HealZones.
func (d *Deployment) CutZones(from, to string) { d.fabric.gateOf(zonesGate(from, to)).block() }

// HealZones ends CutZones.
func (d *Deployment) HealZones(from, to string) { d.fabric.gateOf(zonesGate(from, to)).unblock() }

// EngineNet is the network at an engine's address.
func (d *Deployment) EngineNet(id string) *faultnet.Listener {
	vm, _ := d.VMs.Latest(id)
	return d.fabric.listenerAt(vm.Address)
}

// PlainBackendNet is the network at the plain service's address.
func (d *Deployment) PlainBackendNet() *faultnet.Listener {
	return d.fabric.listenerAt(d.plainBackendAddress)
}

// DrainEngine marks an engine as leaving on the platform's list.
func (d *Deployment) DrainEngine(id string) {
	vm, ok := d.VMs.Latest(id)
	if !ok {
		return
	}
	vm.State = vmlist.Leaving
	d.VMs.Put(vm)
}

// RemoveEngine ends an engine for good and takes it off the list.
func (d *Deployment) RemoveEngine(id string, sim *enginesim.Sim) {
	sim.Die()
	d.EngineNet(id).Cut()
	d.VMs.Remove(id)
}

// IsReady reports whether an entry VM answers every generation service.
func (d *Deployment) IsReady(ctx context.Context, e *Entry) bool { return d.isReady(ctx, e) }
