package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Purpose is the reason for a call to the store. It allows the cost and load of a fleet to be
// attributed to their causes.
type Purpose string

// The purposes of calls.
const (
	PurposeOther    Purpose = "other"    // the caller set no purpose
	PurposeStart    Purpose = "start"    // the first read after a daemon starts
	PurposeReread   Purpose = "reread"   // a read after an outage or after the history was compacted
	PurposeWatch    Purpose = "watch"    // waiting for changes
	PurposeRegister Purpose = "register" // writing the daemon's own entry
	PurposeRenew    Purpose = "renew"    // renewing the lease of that entry
	PurposeLeave    Purpose = "leave"    // removing that entry
	PurposeRefuse   Purpose = "refuse"   // recording a request that must not be sent to any server
	PurposeRollout  Purpose = "rollout"  // recording the progress of a rollout
)

type purposeKey struct{}

// WithPurpose returns a context that marks calls to a store with purpose p.
func WithPurpose(ctx context.Context, p Purpose) context.Context {
	return context.WithValue(ctx, purposeKey{}, p)
}

// PurposeOf returns the purpose of calls with ctx.
func PurposeOf(ctx context.Context) Purpose {
	if p, ok := ctx.Value(purposeKey{}).(Purpose); ok {
		return p
	}
	return PurposeOther
}

// Call is one call to the service, whether or not it arrived there.
type Call struct {
	Purpose Purpose
	// Path is the path of the call without the query.
	Path     string
	Duration time.Duration
	Err      error // nil if the call succeeded
}

// Result returns the outcome of the call as a short name.
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
		{ErrResponseTooLong, "too_long"},
		{ErrUnavailable, "unavailable"},
	} {
		if errors.Is(c.Err, known.err) {
			return known.name
		}
	}
	return "unknown"
}

// Observer is called after the end of each call. It must not block.
type Observer func(Call)
