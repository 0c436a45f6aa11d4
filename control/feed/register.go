package feed

import (
	"bytes"
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/pause"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/external/store"
	"mallowwind.dev/telemetry/event"
)

const (
	// leaseTTL is how long a daemon that crashed stays registered. Callers leave an address that
	// fails at once, so it only bounds how long new callers are sent there. It is longer than a
	// daemon takes to restart, so that the restarted daemon can renew the same lease.
	leaseTTL = 6 * time.Second
	// renewalsPerTTL is the number of renewals within the lifetime of a lease. After a lost renewal
	// there is time for two more attempts.
	renewalsPerTTL = 2
	// ownEntryTimeout bounds the wait for the feed's first read, which shows the entry of the
	// previous process.
	ownEntryTimeout = time.Second
	// writePropagationTime is how long the feed may take to show an entry that was written.
	writePropagationTime = 3 * time.Second
	// minRegisterBackoff is the mean wait after the first failed attempt. The store charges a
	// refused renewal as a whole call, and a lease outlasts a few such waits.
	minRegisterBackoff = 750 * time.Millisecond
	// maxRegisterBackoff bounds the wait after failed attempts, which doubles with each. It makes
	// the entry return within two seconds of the store's return.
	maxRegisterBackoff = 2 * time.Second
	// maxOutageWait bounds the wait while no daemon can reach the store.
	maxOutageWait = 30 * time.Second
	// outageCheckInterval is the mean interval at which the end of an outage is checked for.
	outageCheckInterval = 250 * time.Millisecond
	// registerTimeout bounds one attempt to write or remove the entry.
	registerTimeout = 2 * time.Second
)

// Registrar keeps this daemon's entry in the store while the daemon serves.
type Registrar struct {
	Store store.Store
	VM    routing.VM
	Log   *event.Log
	// MinLeaseTTL is the shortest lease that the store grants.
	MinLeaseTTL time.Duration
	// Feed provides the entry of the previous process and the current version of the entry. It may
	// be nil.
	Feed *Manager

	lease     store.LeaseID // 0 if the entry has to be written
	version   int64         // of the entry; 0 if there is none
	value     []byte        // of the entry as last written or adopted
	writtenAt time.Time
}

// Run registers the daemon until ctx ends, and then removes the entry.
func (r *Registrar) Run(ctx context.Context) {
	r.adoptLease(ctx)
	backoff := minRegisterBackoff
	for ctx.Err() == nil {
		err := r.renewOrRegister(ctx)
		wait := r.ttl() / renewalsPerTTL
		switch {
		case err == nil:
			backoff = minRegisterBackoff
		case ctx.Err() == nil:
			r.Log.Emit(event.RegistrationFailed, err)
			wait, backoff = backoff, min(2*backoff, maxRegisterBackoff)
		}
		pause.For(ctx, wait*3/4+rand.N(wait/2))
		if err != nil {
			r.awaitRecovery(ctx)
		}
	}
	r.deregister()
}

// awaitRecovery waits while no daemon can reach the store. The few that watch the store detect its
// return.
//
// It protects a store that refuses every daemon for long and charges for each refusal. Without it,
// hundreds of daemons try to renew their leases every two seconds, and all call the store in the
// second in which it returns.
func (r *Registrar) awaitRecovery(ctx context.Context) {
	if r.Feed == nil {
		return
	}
	start := r.Feed.opts.Clock()
	for r.Feed.IsStoreDown() && r.Feed.opts.Clock()-start < maxOutageWait {
		if !pause.For(ctx, outageCheckInterval/2+rand.N(outageCheckInterval)) {
			return
		}
	}
}

// ttl returns how long the entry outlives the last renewal of its lease.
func (r *Registrar) ttl() time.Duration { return max(leaseTTL, r.MinLeaseTTL) }

// adoptLease takes over the entry and the lease of the previous process if the entry is still
// correct. Without it, a fleet whose daemons all restart writes all entries again, at three calls
// each, while callers wait for the fleet.
func (r *Registrar) adoptLease(ctx context.Context) {
	if r.Feed == nil {
		return
	}
	entry := r.Feed.awaitOwnEntry(ctx)
	r.version = entry.Version
	if vm, err := decodeVM(r.VM.ID, entry.Value); err == nil && vm == r.VM {
		r.lease, r.value = entry.Lease, entry.Value
	}
}

// renewOrRegister renews the lease, or writes the entry under a new lease.
func (r *Registrar) renewOrRegister(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	if r.lease != 0 {
		_, err := r.Store.KeepAlive(store.WithPurpose(ctx, store.PurposeRenew), r.lease)
		switch {
		case err == nil && !r.isOverwritten():
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
		r.lease, r.version = 0, r.feedVersion()
	}
	if err := r.write(ctx, r.VM, lease); err != nil {
		return err
	}
	r.lease = lease
	return nil
}

// isOverwritten reports whether the feed shows a different version of the entry than the one
// written, or no entry. A write whose answer was lost may have taken effect later, and a lease may
// no longer hold any entry.
func (r *Registrar) isOverwritten() bool {
	if r.Feed == nil || !r.Feed.isFresh() || time.Since(r.writtenAt) < writePropagationTime {
		return false
	}
	if r.Feed.holdsSince(vmPrefix+r.VM.ID, r.version, r.value) {
		r.version = r.feedVersion()
		return false
	}
	return r.feedVersion() != r.version
}

// feedVersion returns the version of the entry that the feed shows; 0 if there is no entry or no
// feed.
func (r *Registrar) feedVersion() int64 {
	if r.Feed == nil {
		return 0
	}
	return r.Feed.entryVersion(vmPrefix + r.VM.ID)
}

// write writes the entry, over whatever an earlier process of this VM left.
func (r *Registrar) write(ctx context.Context, vm routing.VM, lease store.LeaseID) error {
	value, err := encodeVM(vm)
	if err != nil {
		return err
	}
	key := vmPrefix + r.VM.ID
	version, err := r.Store.CompareAndSwap(ctx, key, r.version, value, lease)
	if errors.Is(err, store.ErrConflict) {
		if version, err = r.storedVersion(ctx, key); err != nil {
			return err
		}
		version, err = r.Store.CompareAndSwap(ctx, key, version, value, lease)
	}
	if err != nil {
		return err
	}
	r.version, r.value, r.writtenAt = version, value, time.Now()
	return nil
}

// storedVersion reads the version of a key from the store; 0 if the key does not exist.
func (r *Registrar) storedVersion(ctx context.Context, key string) (int64, error) {
	old, err := r.Store.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return 0, nil
	}
	return old.Version, err
}

// deregister removes this daemon's entry, so that other daemons no longer send callers to it. It
// first marks the entry as leaving: an entry that only vanishes may have expired during an outage,
// and other daemons keep it for a grace period.
func (r *Registrar) deregister() {
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

// awaitOwnEntry waits for the first read of the store and returns this daemon's entry from it. It
// returns an empty entry if there was none or the read takes longer than ownEntryTimeout.
func (m *Manager) awaitOwnEntry(ctx context.Context) store.KV {
	timeout := time.NewTimer(ownEntryTimeout)
	defer timeout.Stop()
	select {
	case <-m.ownEntryRead:
		return m.ownEntry
	case <-timeout.C:
	case <-ctx.Done():
	}
	return store.KV{}
}

// holdsSince reports whether a restored store still holds a key as it was written at a version of an
// earlier era. If every daemon wrote its entry again, a large fleet would exceed the store's rate.
func (m *Manager) holdsSince(key string, version int64, value []byte) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	kv, ok := m.table.entries.kvs[key]
	return ok && store.EraOf(kv.Version) > store.EraOf(version) && bytes.Equal(kv.Value, value)
}

// entryVersion returns the version of a key as last read; 0 if there is none.
func (m *Manager) entryVersion(key string) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.entries.kvs[key].Version
}
