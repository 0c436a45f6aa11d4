// Package store is the interface to the platform's key-value service: compare-and-swap, leases and
// watches. EtcdClient uses the JSON gateway of etcd's v3 API; Memory is an in-process fake.
//
// The service counts every call, and an open watch as one call. It accepts values of up to MaxValue
// bytes and has outages. Callers do not access it on the request path.
package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// MaxValue is the size of the largest value that the service accepts, in bytes.
const MaxValue = 1 << 20

// Errors that implementations of Store return, possibly wrapped.
var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("store: key not found")
	// ErrConflict means that the key is at another version than expected; nothing was written.
	ErrConflict = errors.New("store: version conflict")
	// ErrUnavailable means that the service refused the request or that the request was not sent;
	// nothing was written.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrUnknown means that a write was sent but its response was lost: it may have taken effect. The
	// caller must read the key to learn the outcome.
	ErrUnknown = errors.New("store: outcome unknown")
	// ErrLeaseGone means that the lease expired or was revoked.
	ErrLeaseGone = errors.New("store: lease gone")
	// ErrTooLarge means that the value exceeds MaxValue.
	ErrTooLarge = errors.New("store: value too large")
	// ErrCompacted means that a watch requested history that was discarded; the caller must list again.
	ErrCompacted = errors.New("store: revision compacted")
	// ErrResponseTooLong means that the service answered with more than the client reads, as it would
	// again. The caller of a watch must list instead.
	ErrResponseTooLong = errors.New("store: response too long")
)

// LeaseID identifies a lease; zero means no lease.
type LeaseID int64

// KV is one key with its value. Version is the store revision of the key's last write. The revision
// increases with every write to any key.
type KV struct {
	Key     string
	Value   []byte
	Version int64
	Lease   LeaseID
}

// EventKind distinguishes writes from deletions.
type EventKind uint8

// The kinds of watch events.
const (
	Put EventKind = iota
	Deleted
)

// Event is one change delivered by a watch. A Deleted event has only Key and Version.
type Event struct {
	Kind EventKind
	KV   KV
}

// Watcher delivers changes in revision order.
type Watcher interface {
	// Next waits for the next batch of events. An empty batch means that nothing has changed. Its
	// errors include ErrCompacted, ErrResponseTooLong, ErrUnavailable and the context's error; after an
	// error the watcher must not be used.
	Next(ctx context.Context) ([]Event, error)
	// Revision returns the store revision up to which changes were delivered. A new watch can
	// continue from it.
	Revision() int64
	// Close ends the watch, which the service counts as a call while it is open.
	Close() error
}

// Store accesses the key-value service. Implementations are safe for concurrent use. Every method
// respects the context's deadline.
type Store interface {
	// Get returns one key or ErrNotFound.
	Get(ctx context.Context, key string) (KV, error)
	// List returns all keys under prefix. Each page holds every write that was acknowledged before the
	// call, and is no older than the page before it.
	List(ctx context.Context, prefix string) (Listing, error)
	// ListStale is like List, but each page may be seconds old, by a time of its own. Services charge
	// less for it.
	ListStale(ctx context.Context, prefix string) (Listing, error)
	// CompareAndSwap writes value if the Version of key equals version, where 0 means that the key
	// must not exist. It returns the new Version. If lease is not 0, the key is removed when the lease
	// ends.
	CompareAndSwap(ctx context.Context, key string, version int64, value []byte, lease LeaseID) (int64, error)
	// Delete deletes key if its Version equals version.
	Delete(ctx context.Context, key string, version int64) error
	// Grant creates a lease with the given time to live.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease and returns its remaining time, or ErrLeaseGone.
	KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error)
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
	// Watch delivers the changes under prefix after revision from.
	Watch(ctx context.Context, prefix string, from int64) (Watcher, error)
}
