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

// registration is the entry of daemon 1, written by successive processes.
type registration struct {
	*fleet
	vm     routing.VM
	cancel context.CancelFunc
}

func inRegistration(t *testing.T, test func(*registration)) {
	inFleet(t, 2, func(f *fleet) {
		r := &registration{fleet: f, vm: routing.VM{ID: "1", Zone: "z", Address: "x:2", PeerAddress: "1:1"}}
		f.start(0)
		r.startProcess()
		test(r)
		r.cancel()
	})
}

// startProcess starts a process of daemon 1.
func (r *registration) startProcess() {
	r.faultyStores[1] = store.NewFaulty(r.store)
	o := r.feeds[1].opts
	o.Store = storesim.BoundedWatch{Store: r.faultyStores[1], MaxWait: time.Second}
	r.feeds[1] = New(o)
	processCtx, cancel := context.WithCancel(r.ctx)
	r.cancel = cancel
	feed, confirming := r.feeds[1], o.Store
	r.wg.Go(func() { feed.Run(processCtx) })
	r.wg.Go(func() {
		(&Registrar{Store: confirming, VM: r.vm, Log: event.Discard(), Feed: feed}).Run(processCtx)
	})
}

// crashProcess ends the process so that none of its calls reaches the store any more.
func (r *registration) crashProcess() {
	r.faultyStores[1].SetDown(true)
	r.cancel()
}

// entry returns the daemon's entry in the store.
func (r *registration) entry() (store.KV, bool) {
	kv, err := r.store.Get(r.t.Context(), vmPrefix+r.vm.ID)
	return kv, err == nil
}

// All daemons of a large fleet are killed at once and restart. If each requested a new lease and
// rewrote its entry, hundreds of calls would reach the store while callers wait for the first
// configuration. The previous process left the same entry under a lease that is still valid, so a
// renewal is enough.
func TestRestartedDaemonKeepsItsLease(t *testing.T) {
	inRegistration(t, func(r *registration) {
		time.Sleep(5 * time.Second)
		before, ok := r.entry()
		must.True(t, ok)
		r.crashProcess()
		time.Sleep(1600 * time.Millisecond)
		r.startProcess()
		time.Sleep(4 * leaseTTL)
		after, ok := r.entry()
		must.True(t, ok)
		must.Eq(t, before, after)
		counts := r.faultyStores[1].Counts()
		must.Zero(t, counts.Grant+counts.CompareAndSwap)
	})
}

// A daemon is stopped, and restarts while its entry still says that it is leaving. The other
// daemons must not treat it as leaving any longer.
func TestLeavingEntryIsRewrittenAtRestart(t *testing.T) {
	inRegistration(t, func(r *registration) {
		time.Sleep(5 * time.Second)
		r.crashProcess()
		leaving, ok := r.entry()
		must.True(t, ok)
		_, err := r.store.CompareAndSwap(t.Context(), leaving.Key, leaving.Version,
			[]byte(`{"id":"1","zone":"z","address":"x:2","peer":"1:1","leaving":true}`), leaving.Lease)
		must.NoError(t, err)
		r.startProcess()
		time.Sleep(4 * leaseTTL)
		must.Eq(t, []routing.VM{r.vm}, r.feeds[0].View().VMs)
	})
}

// A daemon restarts after its lease has expired.
func TestExpiredLeaseIsNotAdopted(t *testing.T) {
	inRegistration(t, func(r *registration) {
		time.Sleep(5 * time.Second)
		r.crashProcess()
		time.Sleep(2 * leaseTTL)
		_, ok := r.entry()
		must.False(t, ok)
		r.startProcess()
		time.Sleep(time.Second)
		_, ok = r.entry()
		must.True(t, ok)
	})
}

// The entry vanishes although the lease is renewed: a late write of the previous process put it
// under another lease. If the entry were not written again, callers would never be sent to the
// daemon.
func TestVanishedEntryIsRewritten(t *testing.T) {
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

// The store's shortest lease may be longer than leaseTTL. With the shorter time, the daemon would
// renew too often, or never register if the store rejects the lease.
func TestLeaseIsAtLeastStoreMinimum(t *testing.T) {
	for least, want := range map[time.Duration]time.Duration{0: leaseTTL, time.Second: leaseTTL, time.Minute: time.Minute} {
		must.Eq(t, want, (&Registrar{MinLeaseTTL: least}).ttl())
	}
}
