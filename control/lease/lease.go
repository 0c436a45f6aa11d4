// Package lease decides which daemon of an availability zone gives orders to
// the zone's engines: the one whose value stands under the zone's key in the
// platform's store, bound to a lease there.
//
// The fencing number of a holder is the store revision that created its key.
// Revisions grow with every write, so a later holder's number is always higher.
//
// A holder may be paused, or learn late that its lease ended. It therefore
// keeps a deadline of its own, measured from before the call that renewed the
// lease was sent, less a margin for clocks that run at different speeds, and
// Hold.Valid must be asked immediately before anything is done under the hold.
// A pause between that check and the effect remains; the fencing number
// covers it at engines that check it, and idempotent orders that are verified
// afterwards at those that do not.
//
// Only a few daemons of a zone, chosen by rendezvous hashing over its members,
// try for the lease at all. With 56 daemons in a zone the rest never call.
package lease

import (
	"time"
)

// Lease is a lease as its holder knows it.
type Lease struct {
	// FencingToken is the fencing number; it grows from holder to holder.
	FencingToken uint64
	// AcquiredAt is when this daemon knew that it held the lease.
	AcquiredAt time.Time
	// ExpiresAt is when the hold ends unless it is renewed.
	ExpiresAt time.Time
	// wall is Until without the monotonic reading.
	wall time.Time
}

// newHold returns a hold that lasts until the given time.
func newHold(fence uint64, taken, until time.Time) Lease {
	return Lease{FencingToken: fence, AcquiredAt: taken, ExpiresAt: until, wall: until.Round(0)}
}

// IsValid reports whether the hold lasts at now.
//
// Both clocks must agree. The failure: a virtual machine is frozen and thawed,
// and its monotonic clock stood still meanwhile. It shows as a holder that
// goes on for what it takes to be the rest of its lease. The wall clock is
// set right after a thaw and gives it away; while the wall clock is wrong the
// monotonic one still bounds the hold.
func (h Lease) IsValid(now time.Time) bool {
	return h.FencingToken != 0 && now.Before(h.ExpiresAt) && now.Round(0).Before(h.wall)
}

// Source tells whether this daemon holds the lease.
type Source interface {
	// Current returns the hold; it is the zero Hold, which is never valid, while
	// another daemon or nobody holds the lease.
	Current() Lease
}

// Config holds the intervals of a Manager.
type Config struct {
	// TTL is how long a lease lasts after its last renewal: the longest time
	// a zone is without orders after its holder died, together with Check.
	TTL time.Duration
	// ExpiryMargin is taken off TTL at the holder. A tenth covers clocks that differ
	// by a tenth in speed, far more than any that works.
	ExpiryMargin time.Duration
	// RenewInterval is the time between renewals; three fit into a TTL.
	RenewInterval time.Duration
	// CheckInterval is the time between two looks of a candidate that does not hold.
	CheckInterval time.Duration
	// CallTimeout bounds one call to the store.
	CallTimeout time.Duration
	// Candidates is how many daemons of a zone try for the lease.
	Candidates int
	// JitterRatio is the share by which Check varies.
	JitterRatio float64
}

// DefaultConfig returns the values in use.
func DefaultConfig() Config {
	return Config{
		TTL: 10 * time.Second, ExpiryMargin: time.Second, RenewInterval: 3 * time.Second, CheckInterval: 4 * time.Second,
		CallTimeout: 2 * time.Second, Candidates: 3, JitterRatio: 0.2,
	}
}
