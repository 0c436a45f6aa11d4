package daemon

import (
	"context"
	"slices"
	"time"

	"mallowwind.dev/control/backends"
	"mallowwind.dev/control/pause"
	"mallowwind.dev/control/site"
	"mallowwind.dev/external/engine"
	"mallowwind.dev/external/vmlist"
)

const (
	// startPollInterval is how often a daemon that starts looks whether it knows enough.
	startPollInterval = 50 * time.Millisecond
	// startTimeout is how long it waits for other entry VMs and backend servers
	// that the platform's list names: they may be what is broken.
	startTimeout = 4 * time.Second
	// startSettleDelay lets the flow take up what the other parts know.
	startSettleDelay = 500 * time.Millisecond
)

// announceWhenReady names this entry VM to callers when it knows enough to serve them.
//
// The failure it guards against: a new entry VM is in the address answers as
// soon as it is alive, and in its first second knows neither an engine nor who
// holds the copies of running answers. A caller sent there during a planned
// replacement is refused, and one that repeats its key is told that its request
// was not run while another entry VM runs it.
func (d *Daemon) announceWhenReady(ctx context.Context) error {
	began := time.Now()
	for !d.hasStartState(time.Since(began) >= startTimeout) {
		if !pause.For(ctx, startPollInterval) {
			return nil
		}
	}
	if !pause.For(ctx, startSettleDelay) {
		return nil
	}
	d.serving.Store(true)
	if !d.drain.isLeaving() {
		d.members.AnnounceCallerAddr(d.opts.Listeners.Callers.Addr().String())
	}
	return nil
}

// hasStartState reports whether this daemon has a text, has heard of the other
// entry VMs and has a backend server for each service. When late, the text and
// the platform's list are enough.
func (d *Daemon) hasStartState(late bool) bool {
	s := d.inforce.Current()
	rows, err := d.backends.List(context.Background())
	if s == nil || err != nil {
		return false
	}
	return late || d.hasPeerContact(rows) && d.hasBackends(s)
}

// hasPeerContact reports whether this daemon has heard from another entry VM, if
// the list shows one: the first exchange brings the whole table of a small
// fleet. It does not wait for each VM on the list, since one that has just died
// stays there until the platform notices.
func (d *Daemon) hasPeerContact(rows []vmlist.VM) bool {
	listed := func(vm vmlist.VM) bool {
		return vm.Role == vmlist.RoleEntry && vm.State == vmlist.Live && vm.ID != d.opts.Settings.VM
	}
	return len(d.members.Current().Members) > 1 || !slices.ContainsFunc(rows, listed)
}

func (d *Daemon) hasBackends(s *site.Site) bool {
	pools := d.backends.Current().Pools
	for _, service := range s.Services {
		fit := func(b *backends.Backend) bool { return canServe(b, service) }
		if !slices.ContainsFunc(pools[service.Pool], fit) {
			return false
		}
	}
	return true
}

// canServe reports whether a backend server can run a service's requests now.
func canServe(b *backends.Backend, service *site.Service) bool {
	if !b.Reachable {
		return false
	}
	if service.Kind == site.KindPlain {
		return true
	}
	ready := func(m engine.Loaded) bool {
		return m.Ref.Model == service.Model && m.State == engine.Ready
	}
	return slices.ContainsFunc(b.Status.Models, ready)
}

// runKeyOwnership takes slots of idempotency keys from the time on at which this daemon
// can dispatch calls. One that owned slots in its first second refused calls
// with no_backend_server that every other entry VM could have run.
func (d *Daemon) runKeyOwnership(ctx context.Context) error {
	for !d.serving.Load() {
		if !pause.For(ctx, startPollInterval) {
			return nil
		}
	}
	return d.calls.service.Run(ctx)
}
