// Package store is the narrow interface to the platform's key-value service:
// compare-and-swap, leases and watches. Adapters speak the published
// JSON-over-HTTP form of etcd's v3 API; Memory is the in-process fake.
//
// The service counts every call, a waiting watch as one, holds values up to
// MaxValue bytes and has outages. Callers keep off it on the request path.
package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// MaxValue is the largest value the service holds, in bytes.
const MaxValue = 1 << 20

// Errors that every implementation returns, possibly wrapped.
var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("store: key not found")
	// ErrConflict means that the compare of a compare-and-swap failed; nothing was written.
	ErrConflict = errors.New("store: version conflict")
	// ErrUnavailable means that the service refused or could not be reached
	// before the request was sent; nothing was written.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrUnknown means that a write was sent and its answer lost: it may have
	// taken effect. The caller reads back before it concludes anything.
	ErrUnknown = errors.New("store: outcome unknown")
	// ErrLeaseGone means that the lease expired or was revoked.
	ErrLeaseGone = errors.New("store: lease gone")
	// ErrTooLarge means that the value exceeds MaxValue.
	ErrTooLarge = errors.New("store: value too large")
	// ErrCompacted means that a watch asked for history that is gone; list again.
	ErrCompacted = errors.New("store: revision compacted")
)

// LeaseID names a lease; zero means no lease.
type LeaseID int64

// KV is one key with its value. Version is the store revision of its last
// write and grows with every write to any key.
type KV struct {
	Key     string
	Value   []byte
	Version int64
	Lease   LeaseID
}

// EventKind tells a write from a removal.
type EventKind uint8

// The kinds of watch events.
const (
	Put EventKind = iota
	Deleted
)

// Event is one change seen by a watch. A Deleted event carries only Key and Version.
type Event struct {
	Kind EventKind
	KV   KV
}

// Watcher delivers changes in revision order.
type Watcher interface {
	// Next waits for the next batch, which may be empty: nothing has changed
	// then. It returns ErrCompacted, ErrUnavailable or the context's error; after
	// an error the watcher is dead.
	Next(ctx context.Context) ([]Event, error)
	// Revision is the store revision up to which changes were delivered, where a
	// new watch goes on.
	Revision() int64
	// Close releases the call that the service counts.
	Close() error
}

// Store is safe for concurrent use. Every method honours the context's deadline.
type Store interface {
	// Get returns one key or ErrNotFound.
	Get(ctx context.Context, key string) (KV, error)
	// List returns all keys under prefix, ordered by key, and the store revision they were read at.
	List(ctx context.Context, prefix string) ([]KV, int64, error)
	// ListStale is List with an answer that may be seconds old, at the revision it was
	// read at. Services charge less for it.
	ListStale(ctx context.Context, prefix string) ([]KV, int64, error)
	// CompareAndSwap writes value if key's Version equals version, where 0 means
	// that the key must not exist. It returns the new Version. A lease other
	// than 0 removes the key when the lease ends.
	CompareAndSwap(ctx context.Context, key string, version int64, value []byte, lease LeaseID) (int64, error)
	// Delete removes key if its Version equals version.
	Delete(ctx context.Context, key string, version int64) error
	// Grant starts a lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease and returns the time it now has, or ErrLeaseGone.
	KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error)
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, id LeaseID) error
	// Watch reports changes under prefix after revision from.
	Watch(ctx context.Context, prefix string, from int64) (Watcher, error)
}
