// Package flow takes a request from admission to a chosen backend server. It
// calls the pure packages of the decision module, waits where they decide that a
// request waits, and records the decisions in the log and in metrics.
package flow

import (
	"context"
	"time"

	"mallowwind.dev/control/site"
	"mallowwind.dev/external/engine"
)

// Request describes work that needs a backend server.
type Request struct {
	RequestID string // for logs
	Account   *site.Account
	Service   *site.Service
	// CostTokens is the expected work, prompt and answer together.
	CostTokens int
	// PrefixHash is the hash of the prompt's leading block, 0 if none.
	PrefixHash uint64
	// Deadline is the latest time at which the request may be dispatched. If it
	// is zero, the service's deadline applies.
	Deadline time.Time
	// Resume marks the continuation of an answer that has already begun. It is not
	// queued behind new work, and it is charged to the retry budget.
	Resume bool
	// Speculative marks a continuation whose previous attempt may still be
	// running. It is refused if the budget does not cover it.
	Speculative bool
	// ExtraTokens is the work charged to the budget for a continuation, mostly the
	// prefill, expressed in generated tokens. 0 means the cost of the request.
	ExtraTokens float64
	// Reattach requests the backend server in Prefer and no other. That server
	// already runs the work, so the request does not wait for a free slot.
	Reattach bool
	// Exclude lists the VM ids of backend servers that must not be chosen.
	Exclude []string
	// Prefer is the VM id of the backend server to choose if it is acceptable.
	Prefer string
}

// Backend is a chosen backend server.
type Backend struct {
	ID      string // VM id
	Address string
	Zone    string
	Engine  engine.Engine // nil for plain services
}

// Outcome is the result of dispatched work.
type Outcome struct {
	Err        error         // nil on success
	FirstToken time.Duration // time to the first token, 0 if there was none
	Tokens     int           // produced by this backend server for this attempt
	Cancelled  bool          // by this daemon; ignored when judging the backend server's health
}

// Grant is permission to use one backend server. Done must be called exactly
// once; Progress may be called for every chunk.
type Grant interface {
	Backend() Backend
	// Reason says why the backend server was chosen, for logs.
	Reason() string
	// Progress reports n more tokens, received gap after the previous ones.
	Progress(n int, gap time.Duration)
	Done(Outcome)
}

// Dispatcher admits work and picks backend servers. It is safe for concurrent use.
type Dispatcher interface {
	// Acquire waits until the work may start and returns a grant for the chosen
	// backend server. Its error is always a *verdict.Error with verdict not_run.
	Acquire(ctx context.Context, request Request) (Grant, error)
}
