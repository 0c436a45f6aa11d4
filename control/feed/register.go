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
	leaseTTL = 4 * time.Second
	// renewEvery leaves room for two lost renewals before the lease ends.
	renewEvery = leaseTTL / 3
	// maxRegisterPause bounds the wait after failed attempts, which doubles with each:
	// an entry is back within two seconds of the store's return.
	maxRegisterPause = 2 * time.Second
	// registerTimeout bounds one attempt to write or remove the entry.
	registerTimeout = 2 * time.Second
)

// Registrar keeps this daemon's entry in the store while it serves.
type Registrar struct {
	Store store.Store
	VM    routing.VM
	Log   *event.Log
}

// Run registers the daemon until ctx ends, and then removes the entry.
func (r *Registrar) Run(ctx context.Context) {
	var lease store.LeaseID
	failed := retryPause
	for ctx.Err() == nil {
		var err error
		lease, err = r.renew(ctx, lease)
		wait := renewEvery
		switch {
		case err == nil:
			failed = retryPause
		case ctx.Err() == nil:
			r.Log.Emit(event.RegistrationFailed, err)
			wait, failed = failed, min(2*failed, maxRegisterPause)
		}
		pause.For(ctx, wait*3/4+rand.N(wait/2))
	}
	r.remove(lease)
}

// renew keeps a lease or registers under a new one.
func (r *Registrar) renew(ctx context.Context, lease store.LeaseID) (store.LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	if lease != 0 {
		_, err := r.Store.KeepAlive(store.WithPurpose(ctx, store.PurposeRenew), lease)
		if err == nil || !errors.Is(err, store.ErrLeaseGone) {
			return lease, err
		}
	}
	ctx = store.WithPurpose(ctx, store.PurposeRegister)
	lease, err := r.Store.Grant(ctx, leaseTTL)
	if err != nil {
		return 0, err
	}
	return lease, r.write(ctx, r.VM, lease)
}

// write replaces whatever an earlier process of this VM left.
func (r *Registrar) write(ctx context.Context, vm routing.VM, lease store.LeaseID) error {
	value, err := json.Marshal(vm)
	if err != nil {
		return errors.Wrap(err, "register")
	}
	key := vmPrefix + r.VM.ID
	var version int64
	switch old, err := r.Store.Get(ctx, key); {
	case err == nil:
		version = old.Version
	case !errors.Is(err, store.ErrNotFound):
		return err
	}
	_, err = r.Store.CompareAndSwap(ctx, key, version, value, lease)
	return err
}

// remove takes the daemon out of the address answers of the others. The entry says
// first that the daemon leaves: an entry that only vanishes may be one whose lease
// ran out in an outage, and is believed for a while.
func (r *Registrar) remove(lease store.LeaseID) {
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), registerTimeout)
	defer cancel()
	ctx = store.WithPurpose(ctx, store.PurposeLeave)
	leaving := r.VM
	leaving.Leaving = true
	if err := r.write(ctx, leaving, lease); err != nil {
		r.Log.Emit(event.RegistrationFailed, err)
	}
	if err := r.Store.Revoke(ctx, lease); err != nil {
		r.Log.Emit(event.RegistrationFailed, err)
	}
}
