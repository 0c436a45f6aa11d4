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
	// startPollInterval is the time between two checks of a starting daemon whether it has the state
	// that it needs to serve.
	startPollInterval = 50 * time.Millisecond
	// startTimeout bounds the wait for contact with another entry VM and for backend servers, because
	// these may be down although the platform's list contains them.
	startTimeout = 4 * time.Second
	// startSettleDelay gives the flow manager time to take over the state of the other components.
	startSettleDelay = 500 * time.Millisecond
)

// announceWhenReady announces the caller address of this entry VM once it has the state that it needs
// to serve callers.
//
// If callers were sent to a new entry VM as soon as it is alive, it would in its first second know
// neither an engine nor which daemons hold the copies of responses in progress. During a planned
// replacement it would refuse callers, and would tell a caller that retries a key that its request
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

// hasStartState reports whether this daemon has a configuration and the platform's VM list and,
// unless timedOut is set, contact with another entry VM and a backend server for each service.
func (d *Daemon) hasStartState(timedOut bool) bool {
	s := d.inforce.Current()
	rows, err := d.backends.List(context.Background())
	if s == nil || err != nil {
		return false
	}
	return timedOut || d.hasPeerContact(rows) && d.hasBackends(s)
}

// hasPeerContact reports whether this daemon knows another entry VM as a member or the list contains
// no other live one. One contact is enough, because the first exchange transfers the whole table of
// a small fleet. The function does not require every listed VM, because a VM that has just failed
// stays on the list until the platform detects it.
func (d *Daemon) hasPeerContact(rows []vmlist.VM) bool {
	listed := func(vm vmlist.VM) bool {
		return vm.Role == vmlist.RoleEntry && vm.State == vmlist.Live && vm.ID != d.opts.Settings.VM
	}
	return len(d.members.Current().Members) > 1 || !slices.ContainsFunc(rows, listed)
}

func (d *Daemon) hasBackends(s *site.Site) bool {
	pools := d.backends.Current().Pools
	for _, service := range s.Services {
		suitable := func(b *backends.Backend) bool { return canServe(b, service) }
		if !slices.ContainsFunc(pools[service.Pool], suitable) {
			return false
		}
	}
	return true
}

// canServe reports whether a backend server can currently run a service's requests.
func canServe(b *backends.Backend, service *site.Service) bool {
	if !b.Reachable {
		return false
	}
	if service.Kind == site.KindPlain {
		return true
	}
	ready := func(m engine.LoadedModel) bool {
		return m.Ref.Model == service.Model && m.State == engine.Ready
	}
	return slices.ContainsFunc(b.Status.Models, ready)
}

// runKeyOwnership takes ownership of slots of idempotency keys once this daemon can dispatch calls. If
// it owned slots in its first second, it would refuse calls with no_backend_server that any other
// entry VM could run.
func (d *Daemon) runKeyOwnership(ctx context.Context) error {
	for !d.serving.Load() {
		if !pause.For(ctx, startPollInterval) {
			return nil
		}
	}
	return d.calls.service.Run(ctx)
}
