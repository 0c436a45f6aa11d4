package feed

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/pause"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/external/store"
	"mallowwind.dev/telemetry/event"
)

const (
	// leaseTTL is how long a daemon that died stays registered. Callers leave
	// an address that fails them at once, so this only bounds how long new ones meet it.
	// It is longer than a daemon takes to start again, which then goes on with the lease.
	leaseTTL = 6 * time.Second
	// renewals is how many times a lease is renewed in its time: one that is lost leaves
	// room for two more attempts.
	renewals = 2
	// listedTimeout bounds the wait for the feed's first read, which shows the entry of
	// the process before.
	listedTimeout = time.Second
	// writtenTime is how long the feed may take to show what was written.
	writtenTime = 3 * time.Second
	// firstRegisterPause is the mean wait after a failed attempt. The store charges a
	// renewal that it refuses as a whole call, and a lease outlasts a few of them.
	firstRegisterPause = 750 * time.Millisecond
	// maxRegisterPause bounds the wait after failed attempts, which doubles with each:
	// an entry is back within two seconds of the store's return.
	maxRegisterPause = 2 * time.Second
	// outageRegisterPause bounds the wait while the store is out of reach for all.
	outageRegisterPause = 30 * time.Second
	// outageCheck is how often it is seen whether that has ended.
	outageCheck = 250 * time.Millisecond
	// registerTimeout bounds one attempt to write or remove the entry.
	registerTimeout = 2 * time.Second
)

// Registrar keeps this daemon's entry in the store while it serves.
type Registrar struct {
	Store store.Store
	VM    routing.VM
	Log   *event.Log
	// MinLeaseTTL is the shortest lease that the store grants.
	MinLeaseTTL time.Duration
	// Feed knows the entry that the process before left, and whether the present one is
	// still there. It may be nil.
	Feed *Manager

	lease   store.LeaseID // 0 where the entry has to be written
	version int64         // of the entry, 0 where there is none
	written time.Time
}

// Run registers the daemon until ctx ends, and then removes the entry.
func (r *Registrar) Run(ctx context.Context) {
	r.adopt(ctx)
	failed := firstRegisterPause
	for ctx.Err() == nil {
		err := r.keep(ctx)
		wait := r.ttl() / renewals
		switch {
		case err == nil:
			failed = firstRegisterPause
		case ctx.Err() == nil:
			r.Log.Emit(event.RegistrationFailed, err)
			wait, failed = failed, min(2*failed, maxRegisterPause)
		}
		pause.For(ctx, wait*3/4+rand.N(wait/2))
		if err != nil {
			r.awaitStore(ctx)
		}
	}
	r.remove()
}

// awaitStore waits while the store is out of reach for all daemons: the few that watch it
// find its return.
//
// Load it answers: a store that refuses everybody for long and charges for each refusal.
// Without it, hundreds of daemons try to renew their leases every two seconds, and all
// meet the store in the second in which it returns.
func (r *Registrar) awaitStore(ctx context.Context) {
	if r.Feed == nil {
		return
	}
	began := r.Feed.opts.Clock()
	for r.Feed.IsStoreDown() && r.Feed.opts.Clock()-began < outageRegisterPause {
		if !pause.For(ctx, outageCheck/2+rand.N(outageCheck)) {
			return
		}
	}
}

// ttl is how long the entry outlives its last renewal.
func (r *Registrar) ttl() time.Duration { return max(leaseTTL, r.MinLeaseTTL) }

// adopt goes on with the entry and the lease that the process before left, if they say
// what is to be said. Without it a fleet whose daemons all start again writes all entries
// anew, three calls each, at the moment at which callers wait for it.
func (r *Registrar) adopt(ctx context.Context) {
	if r.Feed == nil {
		return
	}
	own := r.Feed.ownEntry(ctx)
	r.version = own.Version
	if vm, err := decodeVM(r.VM.ID, own.Value); err == nil && vm == r.VM {
		r.lease = own.Lease
	}
}

// keep renews the lease, or registers under a new one.
func (r *Registrar) keep(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	if r.lease != 0 {
		_, err := r.Store.KeepAlive(store.WithPurpose(ctx, store.PurposeRenew), r.lease)
		switch {
		case err == nil && !r.overwritten():
			return nil
		case err != nil && !errors.Is(err, store.ErrLeaseGone):
			return err
		}
	}
	ctx = store.WithPurpose(ctx, store.PurposeRegister)
	lease, err := r.Store.Grant(ctx, r.ttl())
	if err != nil {
		return err
	}
	if r.lease != 0 {
		r.lease, r.version = 0, r.known()
	}
	if err := r.write(ctx, r.VM, lease); err != nil {
		return err
	}
	r.lease = lease
	return nil
}

// overwritten reports whether the feed shows another entry than the one that was written,
// or none: a write whose answer was lost may have come later, and a lease may hold no
// entry any more.
func (r *Registrar) overwritten() bool {
	if r.Feed == nil || !r.Feed.fresh() || time.Since(r.written) < writtenTime {
		return false
	}
	return r.known() != r.version
}

// known is the version of the entry as the feed shows it; 0 if there is none, or no feed.
func (r *Registrar) known() int64 {
	if r.Feed == nil {
		return 0
	}
	return r.Feed.entryVersion(vmPrefix + r.VM.ID)
}

// write replaces whatever an earlier process of this VM left.
func (r *Registrar) write(ctx context.Context, vm routing.VM, lease store.LeaseID) error {
	value, err := json.Marshal(vm)
	if err != nil {
		return errors.Wrap(err, "register")
	}
	key := vmPrefix + r.VM.ID
	version, err := r.Store.CompareAndSwap(ctx, key, r.version, value, lease)
	if errors.Is(err, store.ErrConflict) {
		if version, err = r.presentVersion(ctx, key); err != nil {
			return err
		}
		version, err = r.Store.CompareAndSwap(ctx, key, version, value, lease)
	}
	if err != nil {
		return err
	}
	r.version, r.written = version, time.Now()
	return nil
}

// presentVersion is the version of a key, 0 if there is none.
func (r *Registrar) presentVersion(ctx context.Context, key string) (int64, error) {
	old, err := r.Store.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return 0, nil
	}
	return old.Version, err
}

// remove takes the daemon out of the address answers of the others. The entry says
// first that the daemon leaves: an entry that only vanishes may be one whose lease
// ran out in an outage, and is believed for a while.
func (r *Registrar) remove() {
	if r.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), registerTimeout)
	defer cancel()
	ctx = store.WithPurpose(ctx, store.PurposeLeave)
	leaving := r.VM
	leaving.Draining = true
	if err := r.write(ctx, leaving, r.lease); err != nil {
		r.Log.Emit(event.RegistrationFailed, err)
	}
	if err := r.Store.Revoke(ctx, r.lease); err != nil {
		r.Log.Emit(event.RegistrationFailed, err)
	}
}

// ownEntry is the entry of this daemon that its first read of the store showed, if any.
// It waits for that read for a time.
func (m *Manager) ownEntry(ctx context.Context) store.KV {
	limit := time.NewTimer(listedTimeout)
	defer limit.Stop()
	select {
	case <-m.listed:
		return m.own
	case <-limit.C:
	case <-ctx.Done():
	}
	return store.KV{}
}

// entryVersion is the version of a key as it is known here, 0 if there is none.
func (m *Manager) entryVersion(key string) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.entries.kvs[key].Version
}
