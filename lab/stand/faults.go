package stand

import (
	"context"

	"mallowwind.dev/external/standin/enginesim"
	"mallowwind.dev/external/standin/faultnet"
	"mallowwind.dev/external/vmlist"
)

// listeners returns the listeners at the entry VM's addresses.
func (e *Entry) listeners() []*faultnet.Listener {
	return []*faultnet.Listener{e.Callers(), e.Peers(), e.d.fabric.listenerAt(e.admin)}
}

// Cut disconnects the entry VM from the network: its connections are reset in
// both directions and new ones refused. To others it looks crashed, but its
// process keeps running.
func (e *Entry) Cut() {
	for _, l := range e.listeners() {
		l.Cut()
	}
	e.d.fabric.gateOf(vmGate(e.ID)).setCut(true)
	e.d.fabric.reset(e.ID)
}

// Restore reverts Cut.
func (e *Entry) Restore() error {
	e.d.fabric.gateOf(vmGate(e.ID)).setCut(false)
	for _, l := range e.listeners() {
		if err := l.Restore(); err != nil {
			return err
		}
	}
	return nil
}

// Pause blocks all traffic of the entry VM, including open connections, without an
// error at either end.
func (e *Entry) Pause() {
	e.d.fabric.gateOf(vmGate(e.ID)).block()
	for _, l := range e.listeners() {
		l.Stall()
	}
}

// Unpause reverts Pause.
func (e *Entry) Unpause() {
	for _, l := range e.listeners() {
		l.Unstall()
	}
	e.d.fabric.gateOf(vmGate(e.ID)).unblock()
}

// Remove removes the entry VM from the platform's VM list, as after its termination.
func (e *Entry) Remove() { e.d.VMs.Remove(e.ID) }

// Kill stops the daemon of an entry VM that is cut off, without draining it.
func (e *Entry) Kill() {
	e.kill()
	e.drain()
	<-e.done
}

// Done returns a channel that receives the daemon's result when it has ended.
func (e *Entry) Done() <-chan error { return e.done }

// CutZones blocks all traffic over connections opened from one availability zone
// to the other, until HealZones is called.
func (d *Deployment) CutZones(from, to string) { d.fabric.gateOf(zonesGate(from, to)).block() }

// HealZones reverts CutZones.
func (d *Deployment) HealZones(from, to string) { d.fabric.gateOf(zonesGate(from, to)).unblock() }

// EngineNet returns the fault-injecting listener at an engine's address.
func (d *Deployment) EngineNet(id string) *faultnet.Listener {
	vm, _ := d.VMs.Latest(id)
	return d.fabric.listenerAt(vm.Address)
}

// PlainBackendNet returns the fault-injecting listener at the plain backend's address.
func (d *Deployment) PlainBackendNet() *faultnet.Listener {
	return d.fabric.listenerAt(d.plainBackendAddress)
}

// DrainEngine marks an engine as leaving in the platform's VM list.
func (d *Deployment) DrainEngine(id string) {
	vm, ok := d.VMs.Latest(id)
	if !ok {
		return
	}
	vm.State = vmlist.Leaving
	d.VMs.Put(vm)
}

// RemoveEngine stops an engine permanently and removes it from the VM list.
func (d *Deployment) RemoveEngine(id string, sim *enginesim.Sim) {
	sim.Crash()
	d.EngineNet(id).Cut()
	d.VMs.Remove(id)
}

// IsReady reports whether an entry VM serves every generation service and knows all other entry VMs.
func (d *Deployment) IsReady(ctx context.Context, e *Entry) bool { return d.isReady(ctx, e) }
