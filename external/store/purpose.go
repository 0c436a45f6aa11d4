package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Purpose says why a call to the store is made, so that the price and load of a
// fleet can be told apart by what causes them.
type Purpose string

// The purposes of calls.
const (
	PurposeOther    Purpose = "other"    // the caller named none
	PurposeStart    Purpose = "start"    // the first read of a daemon
	PurposeReread   Purpose = "reread"   // a read after an outage or lost history
	PurposeWatch    Purpose = "watch"    // waiting for changes
	PurposeRegister Purpose = "register" // writing the daemon's own entry
	PurposeRenew    Purpose = "renew"    // keeping the lease of that entry
	PurposeLeave    Purpose = "leave"    // removing that entry
	PurposeRefuse   Purpose = "refuse"   // writing which request is sent to no server
	PurposeRollout  Purpose = "rollout"  // writing how far a roll-out has come
)

type purposeKey struct{}

// WithPurpose returns a context whose calls to a store are made for p.
func WithPurpose(ctx context.Context, p Purpose) context.Context {
	return context.WithValue(ctx, purposeKey{}, p)
}

// PurposeOf returns why calls with ctx are made.
func PurposeOf(ctx context.Context) Purpose {
	if p, ok := ctx.Value(purposeKey{}).(Purpose); ok {
		return p
	}
	return PurposeOther
}

// Call is one call that a service counted, or would have counted had it arrived.
type Call struct {
	Purpose Purpose
	// Path is the call's path without what follows a '?'.
	Path     string
	Duration time.Duration
	Err      error // nil where it succeeded
}

// Result names how the call ended, in one word.
func (c Call) Result() string {
	for _, known := range []struct {
		err  error
		name string
	}{
		{nil, "ok"},
		{ErrNotFound, "not_found"},
		{ErrLeaseGone, "lease_gone"},
		{ErrConflict, "conflict"},
		{ErrCompacted, "compacted"},
		{ErrUnavailable, "unavailable"},
	} {
		if errors.Is(c.Err, known.err) {
			return known.name
		}
	}
	return "unknown"
}

// Observer is told of each call after its end. It must not block.
type Observer func(Call)
