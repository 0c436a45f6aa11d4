// Package lease elects the daemon of an availability zone that gives orders to the zone's engines:
// the daemon whose value is stored under the zone's key in the platform's store. The key is bound
// to a store lease and disappears when that lease expires.
//
// The fencing token of a holder is the store revision that created its key. Revisions grow with
// every write, so a later holder's token is always higher.
//
// A holder may be paused, or learn late that its lease has expired. It therefore keeps its own
// expiry time, counted from before the renewal call was sent and reduced by a margin for clocks
// that run at different speeds. Lease.IsValid must be called immediately before each action that
// requires the lease. A pause between that check and the action remains possible; engines that
// check the fencing token reject such a late order, and orders to other engines are idempotent and
// are verified afterwards.
//
// Only a few daemons of a zone, selected by rendezvous hashing over the zone's members, compete for
// the lease. In a zone of 56 daemons, the others make no store calls for it.
package lease

import (
	"time"
)

// Lease is the holder's view of the zone's lease. The zero Lease is never valid.
type Lease struct {
	// FencingToken increases from holder to holder; 0 means that the lease is not held.
	FencingToken uint64
	// AcquiredAt is when this daemon learned that it holds the lease.
	AcquiredAt time.Time
	// ExpiresAt is when the lease stops being valid for this daemon unless it is renewed.
	ExpiresAt time.Time
	// expiresAtWall is ExpiresAt without the monotonic reading.
	expiresAtWall time.Time
}

// newLease returns a lease that is valid until the given time.
func newLease(fencingToken uint64, acquiredAt, expiresAt time.Time) Lease {
	return Lease{FencingToken: fencingToken, AcquiredAt: acquiredAt, ExpiresAt: expiresAt, expiresAtWall: expiresAt.Round(0)}
}

// IsValid reports whether the lease is held at now, by both the monotonic and the wall clock.
//
// When a virtual machine is suspended and resumed, its monotonic clock may have stood still; by
// that clock alone the holder would go on for what it takes to be the rest of its lease. The wall
// clock is corrected after the resume and shows that the lease has expired. While the wall clock is
// wrong, the monotonic clock still bounds the lease.
func (h Lease) IsValid(now time.Time) bool {
	return h.FencingToken != 0 && now.Before(h.ExpiresAt) && now.Round(0).Before(h.expiresAtWall)
}

// Source tells whether this daemon holds the lease.
type Source interface {
	// Current returns the lease, or the zero Lease, which is never valid, while this daemon does
	// not hold it.
	Current() Lease
}

// Config configures a Manager.
type Config struct {
	// TTL is how long a lease lasts after its last renewal. Together with CheckInterval it determines
	// for how long a zone gets no orders after its holder has died.
	TTL time.Duration
	// ExpiryMargin is subtracted from TTL at the holder. A tenth of TTL covers clocks whose speeds
	// differ by a tenth, far more than those of working clocks do.
	ExpiryMargin time.Duration
	// RenewInterval is the time between renewals; three fit into a TTL.
	RenewInterval time.Duration
	// CheckInterval is the time between two checks of the key by a candidate that does not hold the
	// lease.
	CheckInterval time.Duration
	// CallTimeout bounds one call to the store.
	CallTimeout time.Duration
	// Candidates is the number of daemons of a zone that compete for the lease.
	Candidates int
	// JitterRatio is the fraction by which the intervals between checks and between retries vary.
	JitterRatio float64
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{
		TTL: 10 * time.Second, ExpiryMargin: time.Second, RenewInterval: 3 * time.Second, CheckInterval: 4 * time.Second,
		CallTimeout: 2 * time.Second, Candidates: 3, JitterRatio: 0.2,
	}
}
