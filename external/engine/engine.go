// Package engine is the narrow interface to a model engine: a backend server
// that generates tokens in a continuously batched loop. Client is the wire
// adapter: the completions API over HTTP with the extensions documented in
// docs/engine-protocol.md. The stand-in server lives in platform/standin.
package engine

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors that every implementation returns, possibly wrapped.
var (
	// ErrNotSent means that nothing of the request reached the engine.
	ErrNotSent = errors.New("engine: not sent")
	// ErrRefused means that the engine answered that it did not and will not run the request.
	ErrRefused = errors.New("engine: refused")
	// ErrNotReady is an ErrRefused that says only that the engine does not have
	// the version ready; it may serve other versions well.
	ErrNotReady = errors.WithMessage(ErrRefused, "engine: version not ready")
	// ErrBroken means that the stream or connection failed after the request was sent.
	ErrBroken = errors.New("engine: connection broken")
	// ErrUnknownGeneration means that Attach or Cancel named no generation the engine holds.
	ErrUnknownGeneration = errors.New("engine: unknown generation")
	// ErrStaleFence means that an order carried an old fencing number.
	ErrStaleFence = errors.New("engine: stale fencing number")
)

// Request asks for one attempt of a generation. Prefix holds the tokens that
// earlier attempts already released: the engine continues after exactly these
// and numbers its first new token len(Prefix).
type Request struct {
	Generation  string // id of the generation, the same for every attempt
	Attempt     uint64 // grows with every attempt; an engine may refuse an older one
	Model       string
	Adapter     string
	Version     string
	Prompt      string
	Prefix      []string
	MaxTokens   int // of the whole answer, Prefix included
	Priority    int // larger runs first
	Temperature float64
	Seed        *int64
	Stop        []string
}

// FinishReason says why a generation ended; empty while it runs.
type FinishReason string

// The reasons of the completions API.
const (
	FinishStop   FinishReason = "stop"
	FinishLength FinishReason = "length"
)

// Chunk is a run of consecutive tokens. Offset is the position of Tokens[0]
// in the whole answer. Finish is set on the last chunk, which may be empty.
type Chunk struct {
	Offset int
	Tokens []string
	Finish FinishReason
}

// Stream reads one attempt. It is not safe for concurrent use, but Close may
// be called at any time from any goroutine.
type Stream interface {
	// Next waits for the next chunk. After the chunk with Finish set it returns io.EOF.
	// Any other end is an error, never io.EOF.
	Next(ctx context.Context) (Chunk, error)
	// Close drops the connection. It does not cancel the generation.
	Close() error
}

// Role is what an engine's accelerators work on.
type Role string

// The roles an order may set.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// ModelRef names one servable set of weights.
type ModelRef struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
}

// LoadState says how far an engine is with a set of weights.
type LoadState string

// The load states an engine reports.
const (
	Loading   LoadState = "loading"
	Ready     LoadState = "ready"
	Unloading LoadState = "unloading"
	Failed    LoadState = "failed"
)

// LoadedModel is one set of weights on an engine.
type LoadedModel struct {
	Ref   ModelRef  `json:"ref"`
	State LoadState `json:"state"`
	// Remaining is the engine's own estimate until Ready, zero if unknown.
	Remaining time.Duration `json:"remaining_ns,omitempty"`
}

// Status is what an engine reports of itself. Load figures lag by up to Age.
type Status struct {
	Incarnation     string        `json:"incarnation"` // changes when the engine restarts
	Role            Role          `json:"role"`
	Models          []LoadedModel `json:"models"`
	Fence           uint64        `json:"fence"` // highest fencing number seen, 0 if it keeps none
	Running         int           `json:"running"`
	Waiting         int           `json:"waiting"`
	Slots           int           `json:"slots"` // largest batch
	TokensPerSecond float64       `json:"tokens_per_s"`
	Age             time.Duration `json:"age_ns"`
}

// OrderKind is what an order asks for.
type OrderKind string

// The orders an engine takes.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
)

// Order changes what an engine holds. Orders are idempotent: repeating one
// has no further effect. ID names the order in logs and reports.
type Order struct {
	ID    string    `json:"id"`
	Kind  OrderKind `json:"kind"`
	Ref   ModelRef  `json:"ref"`
	Role  Role      `json:"role,omitempty"`
	Fence uint64    `json:"fence"`
}

// CacheEvent says that an engine now holds, or has dropped, the prompt prefix
// whose hash is Prefix. Seq has gaps where events were lost.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Prefix uint64 `json:"prefix"`
	Held   bool   `json:"held"`
}

// Engine is one model engine. It is safe for concurrent use.
type Engine interface {
	// Generate starts an attempt. Errors wrap ErrNotSent, ErrRefused or ErrBroken.
	Generate(ctx context.Context, req Request) (Stream, error)
	// Attach reads a generation that the engine still runs or keeps, from token
	// offset from on, if the attempt matches.
	Attach(ctx context.Context, generation string, attempt uint64, from int) (Stream, error)
	// Cancel ends every attempt of a generation up to and including attempt.
	Cancel(ctx context.Context, generation string, attempt uint64) error
	// Status returns the engine's report of itself.
	Status(ctx context.Context) (Status, error)
	// Order gives an order and returns when the engine accepted it, not when it is done.
	Order(ctx context.Context, o Order) error
	// CacheEvents returns events after seq, late and with gaps.
	CacheEvents(ctx context.Context, seq uint64) ([]CacheEvent, error)
}
