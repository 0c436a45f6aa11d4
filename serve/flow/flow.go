// Package flow takes a request from admission to a chosen backend server: it
// asks the pure packages of the decision module, waits where they say wait,
// and writes one log line and one metric for each decision.
package flow

import (
	"context"
	"time"

	"mallowwind.dev/control/site"
	"mallowwind.dev/external/engine"
)

// Request describes work that wants a backend server.
type Request struct {
	RequestID string // id for logs
	Account   *site.Account
	Service   *site.Service
	// CostTokens is the expected work in tokens, prompt and answer together.
	CostTokens int
	// PrefixHash is the hash of the prompt's leading block, 0 if none.
	PrefixHash uint64
	// Deadline is when the caller no longer waits to be dispatched.
	Deadline time.Time
	// Resume marks the continuation of an answer already begun: it is not
	// queued behind new work but pays from the takeover budget.
	Resume bool
	// Speculative marks a continuation whose previous attempt may still be
	// alive: it is extra work, and refused when the budget does not afford it.
	Speculative bool
	// ExtraTokens is the work, in generated tokens, that the budget is charged for a
	// continuation: mostly the prefill. 0 means Cost.
	ExtraTokens float64
	// Reattach asks for exactly the backend server in Prefer, which already runs
	// the work: it needs no further slot there, so it does not wait for one.
	Reattach bool
	// Exclude names backend servers not to be chosen, by VM id.
	Exclude []string
	// Prefer names a backend server to take if it is acceptable.
	Prefer string
}

// Backend is a chosen backend server.
type Backend struct {
	ID      string // VM id
	Address string
	Zone    string
	Engine  engine.Engine // nil for plain services
}

// Outcome is what became of dispatched work.
type Outcome struct {
	Err        error         // nil when it ended well
	FirstToken time.Duration // 0 if none came
	Tokens     int           // produced by this backend server for this attempt
	Cancelled  bool          // ended by us: says nothing about the backend server
}

// Grant is permission to use one backend server. Done must be called exactly
// once; Progress may be called for every chunk.
type Grant interface {
	Backend() Backend
	// Reason is the typed reason of the choice, for logs.
	Reason() string
	// Progress reports n more tokens after gap since the previous ones.
	Progress(n int, gap time.Duration)
	Done(Outcome)
}

// Dispatcher admits work and picks backend servers. It is safe for concurrent use.
type Dispatcher interface {
	// Acquire waits until the work may start and returns where. Its error is
	// always a *verdict.Error with verdict not_run.
	Acquire(ctx context.Context, ask Request) (Grant, error)
}
