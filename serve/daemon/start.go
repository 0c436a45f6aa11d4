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
	// startPoll is how often a daemon that starts looks whether it knows enough.
	startPoll = 50 * time.Millisecond
	// startLimit is how long it waits for other entry VMs and backend servers
	// that the platform's list names: they may be what is broken.
	startLimit = 4 * time.Second
	// startSettle lets the flow take up what the other parts know.
	startSettle = 500 * time.Millisecond
)

// starting names this entry VM to callers when it knows enough to serve them.
//
// The failure it guards against: a new entry VM is in the address answers as
// soon as it is alive, and in its first second knows neither an engine nor who
// holds the copies of running answers. A caller sent there during a planned
// replacement is refused, and one that repeats its key is told that its request
// was not run while another entry VM runs it.
func (d *Daemon) starting(ctx context.Context) error {
	began := time.Now()
	for !d.knowsEnough(time.Since(began) >= startLimit) {
		if !pause.For(ctx, startPoll) {
			return nil
		}
	}
	if !pause.For(ctx, startSettle) {
		return nil
	}
	d.serving.Store(true)
	if !d.drain.leaving() {
		d.members.AnnounceCallerAddr(d.opts.Listeners.Callers.Addr().String())
	}
	return nil
}

// knowsEnough reports whether this daemon has a text, has heard of the other
// entry VMs and has a backend server for each service. When late, the text and
// the platform's list are enough.
func (d *Daemon) knowsEnough(late bool) bool {
	s := d.inforce.Current()
	rows, err := d.backends.List(context.Background())
	if s == nil || err != nil {
		return false
	}
	return late || d.knowsMembers(rows) && d.knowsBackends(s)
}

// knowsMembers reports whether this daemon has heard from another entry VM, if
// the list shows one: the first exchange brings the whole table of a small
// fleet. It does not wait for each VM on the list, since one that has just died
// stays there until the platform notices.
func (d *Daemon) knowsMembers(rows []vmlist.VM) bool {
	listed := func(vm vmlist.VM) bool {
		return vm.Role == vmlist.RoleEntry && vm.State == vmlist.Live && vm.ID != d.opts.Settings.VM
	}
	return len(d.members.Current().Members) > 1 || !slices.ContainsFunc(rows, listed)
}

func (d *Daemon) knowsBackends(s *site.Site) bool {
	pools := d.backends.Current().Pools
	for _, service := range s.Services {
		fit := func(b *backends.Backend) bool { return serves(b, service) }
		if !slices.ContainsFunc(pools[service.Pool], fit) {
			return false
		}
	}
	return true
}

// serves reports whether a backend server can run a service's requests now.
func serves(b *backends.Backend, service *site.Service) bool {
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

// ownKeys takes slots of idempotency keys from the time on at which this daemon
// can dispatch calls. One that owned slots in its first second refused calls
// with no_backend_server that every other entry VM could have run.
func (d *Daemon) ownKeys(ctx context.Context) error {
	for !d.serving.Load() {
		if !pause.For(ctx, startPoll) {
			return nil
		}
	}
	return d.calls.service.Run(ctx)
}
