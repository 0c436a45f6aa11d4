package feed

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/external/standin/storesim"
	"mallowwind.dev/external/store"
	"mallowwind.dev/telemetry/event"
)

// registration is one daemon's entry, written by one process after the other.
type registration struct {
	*fleet
	vm   routing.VM
	kill context.CancelFunc
}

func inRegistration(t *testing.T, test func(*registration)) {
	inFleet(t, 2, func(f *fleet) {
		r := &registration{fleet: f, vm: routing.VM{ID: "1", Zone: "z", Address: "x:2", PeerAddress: "1:1"}}
		f.start(0)
		r.run()
		test(r)
		r.kill()
	})
}

// run starts a process of daemon 1.
func (r *registration) run() {
	r.ways[1] = store.NewFaulty(r.store)
	o := r.feeds[1].opts
	o.Store = storesim.Confirming{Store: r.ways[1], Hold: time.Second}
	r.feeds[1] = New(o)
	life, kill := context.WithCancel(r.ctx)
	r.kill = kill
	feed, way := r.feeds[1], o.Store
	r.done.Go(func() { feed.Run(life) })
	r.done.Go(func() {
		(&Registrar{Store: way, VM: r.vm, Log: event.Discard(), Feed: feed}).Run(life)
	})
}

// crash ends the process, so that nothing of it reaches the store any more.
func (r *registration) crash() {
	r.ways[1].SetDown(true)
	r.kill()
}

// entry is what the store holds of the daemon.
func (r *registration) entry() (store.KV, bool) {
	kv, err := r.store.Get(r.t.Context(), vmPrefix+r.vm.ID)
	return kv, err == nil
}

// All daemons of a large fleet are killed at once and start again. If each asks for a new
// lease and writes its entry anew, hundreds of calls meet the store as callers wait for
// the first configuration. The process before left the same entry under a lease that
// still runs: a renewal is enough.
func TestRestartedDaemonKeepsItsLease(t *testing.T) {
	inRegistration(t, func(r *registration) {
		time.Sleep(5 * time.Second)
		before, ok := r.entry()
		must.True(t, ok)
		r.crash()
		time.Sleep(1600 * time.Millisecond)
		r.run()
		time.Sleep(4 * leaseTTL)
		after, ok := r.entry()
		must.True(t, ok)
		must.Eq(t, before, after)
		counts := r.ways[1].Counts()
		must.Zero(t, counts.Grant+counts.CompareAndSwap)
	})
}

// A daemon is stopped, and starts again while its entry still says that it leaves. The
// others must not go on believing that.
func TestEntryThatSaysLeavingIsWrittenAnew(t *testing.T) {
	inRegistration(t, func(r *registration) {
		time.Sleep(5 * time.Second)
		r.crash()
		leaving, ok := r.entry()
		must.True(t, ok)
		_, err := r.store.CompareAndSwap(t.Context(), leaving.Key, leaving.Version,
			[]byte(`{"id":"1","zone":"z","address":"x:2","peer":"1:1","leaving":true}`), leaving.Lease)
		must.NoError(t, err)
		r.run()
		time.Sleep(4 * leaseTTL)
		must.Eq(t, []routing.VM{r.vm}, r.feeds[0].View().VMs)
	})
}

// A daemon starts again after its lease has run out.
func TestLeaseThatRanOutIsNotKept(t *testing.T) {
	inRegistration(t, func(r *registration) {
		time.Sleep(5 * time.Second)
		r.crash()
		time.Sleep(2 * leaseTTL)
		_, ok := r.entry()
		must.False(t, ok)
		r.run()
		time.Sleep(time.Second)
		_, ok = r.entry()
		must.True(t, ok)
	})
}

// The entry vanishes although the lease is renewed: a write of the process before
// arrived late and put it under another lease. Callers would never be told the daemon
// again.
func TestEntryThatVanishedIsWrittenAnew(t *testing.T) {
	inRegistration(t, func(r *registration) {
		time.Sleep(5 * time.Second)
		kv, ok := r.entry()
		must.True(t, ok)
		must.NoError(t, r.store.Delete(t.Context(), kv.Key, kv.Version))
		time.Sleep(leaseTTL)
		_, ok = r.entry()
		must.True(t, ok)
	})
}

// The platform grants no lease as short as the daemon asks for: one that is renewed by the
// shorter time would be renewed too often, one that is refused never registered.
func TestLeaseIsNoShorterThanTheStoreGrants(t *testing.T) {
	for least, want := range map[time.Duration]time.Duration{0: leaseTTL, time.Second: leaseTTL, time.Minute: time.Minute} {
		must.Eq(t, want, (&Registrar{MinLeaseTTL: least}).ttl())
	}
}
