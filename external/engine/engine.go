// Package engine is the interface to a model engine: a backend server that generates tokens with
// continuous batching. Client implements it over HTTP with the completions API and the extensions
// documented in docs/engine-protocol.md. The simulated engine is in external/standin/enginesim.
package engine

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors that implementations of Engine return, possibly wrapped.
var (
	// ErrNotSent means that no byte of the request reached the engine.
	ErrNotSent = errors.New("engine: not sent")
	// ErrRefused means that the engine reported that it did not run the request and will not run it.
	ErrRefused = errors.New("engine: refused")
	// ErrNotReady is an ErrRefused for an engine that does not have the requested version ready. The
	// engine may serve other versions.
	ErrNotReady = errors.WithMessage(ErrRefused, "engine: version not ready")
	// ErrBroken means that the stream or connection failed after the request was sent.
	ErrBroken = errors.New("engine: connection broken")
	// ErrUnknownGeneration means that the engine holds no generation with the ID given to Attach or
	// Cancel.
	ErrUnknownGeneration = errors.New("engine: unknown generation")
	// ErrStaleFence means that an order carried an outdated fencing token.
	ErrStaleFence = errors.New("engine: stale fencing token")
)

// Request starts one attempt of a generation. Prefix holds the tokens that earlier attempts have
// already delivered: the engine continues after exactly these tokens, and its first new token has
// offset len(Prefix).
type Request struct {
	Generation  string // ID of the generation, the same for every attempt
	Attempt     uint64 // increases with every attempt; an engine may refuse an older attempt
	Model       string
	Adapter     string
	Version     string
	Prompt      string
	Prefix      []string
	MaxTokens   int // of the whole completion, including Prefix
	Priority    int // requests with a larger value run first
	Temperature float64
	Seed        *int64
	Stop        []string
}

// FinishReason is the reason why a generation ended. It is empty while the generation runs.
type FinishReason string

// The finish reasons of the completions API.
const (
	FinishStop   FinishReason = "stop"
	FinishLength FinishReason = "length"
)

// Chunk is a sequence of consecutive tokens. Offset is the position of Tokens[0] in the whole
// completion. Finish is set on the last chunk, which may have no tokens.
type Chunk struct {
	Offset int
	Tokens []string
	Finish FinishReason
}

// Stream reads the tokens of one attempt. It is not safe for concurrent use, except that Close may be
// called at any time from any goroutine.
type Stream interface {
	// Next waits for the next chunk. After the chunk with Finish set it returns io.EOF. If the stream
	// ends in any other way, it returns an error other than io.EOF.
	Next(ctx context.Context) (Chunk, error)
	// Close closes the connection. It does not cancel the generation.
	Close() error
}

// Role is the phase of a generation that an engine's accelerators run.
type Role string

// The roles that an order can set.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// ModelRef identifies one servable set of weights.
type ModelRef struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
}

// LoadState is the state of a set of weights on an engine.
type LoadState string

// The load states that an engine reports.
const (
	Loading   LoadState = "loading"
	Ready     LoadState = "ready"
	Unloading LoadState = "unloading"
	Failed    LoadState = "failed"
)

// LoadedModel is the state of one set of weights on an engine.
type LoadedModel struct {
	Ref   ModelRef  `json:"ref"`
	State LoadState `json:"state"`
	// Remaining is the engine's estimate of the time until State is Ready, or zero if unknown.
	Remaining time.Duration `json:"remaining_ns,omitempty"`
}

// Status is an engine's report on itself. The load figures are up to Age old.
type Status struct {
	Incarnation     string        `json:"incarnation"` // changes when the engine restarts
	Role            Role          `json:"role"`
	Models          []LoadedModel `json:"models"`
	Fence           uint64        `json:"fence"` // highest fencing token seen, 0 if the engine keeps none
	Running         int           `json:"running"`
	Waiting         int           `json:"waiting"`
	Slots           int           `json:"slots"` // maximum batch size
	TokensPerSecond float64       `json:"tokens_per_s"`
	Age             time.Duration `json:"age_ns"`
}

// OrderKind is the kind of change that an order requests.
type OrderKind string

// The kinds of orders that an engine accepts.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
)

// Order changes the loaded weights or the role of an engine. Orders are idempotent. ID identifies the
// order in logs and reports, and Fence is its fencing token.
type Order struct {
	ID    string    `json:"id"`
	Kind  OrderKind `json:"kind"`
	Ref   ModelRef  `json:"ref"`
	Role  Role      `json:"role,omitempty"`
	Fence uint64    `json:"fence"`
}

// CacheEvent reports that an engine has cached or evicted the prompt prefix whose hash is Prefix. Seq
// has gaps where events were lost.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Prefix uint64 `json:"prefix"`
	Held   bool   `json:"held"`
}

// Engine is one model engine. Implementations are safe for concurrent use.
type Engine interface {
	// Generate starts an attempt. Errors wrap ErrNotSent, ErrRefused or ErrBroken.
	Generate(ctx context.Context, req Request) (Stream, error)
	// Attach reads a generation that the engine still runs or retains, starting at token offset from,
	// if the attempt matches.
	Attach(ctx context.Context, generation string, attempt uint64, from int) (Stream, error)
	// Cancel ends every attempt of a generation up to and including attempt.
	Cancel(ctx context.Context, generation string, attempt uint64) error
	// Status returns the engine's report on itself.
	Status(ctx context.Context) (Status, error)
	// Order sends an order. It returns when the engine has accepted the order, which may be before the
	// order is carried out.
	Order(ctx context.Context, o Order) error
	// CacheEvents returns the events after seq. They arrive late and some may be missing.
	CacheEvents(ctx context.Context, seq uint64) ([]CacheEvent, error)
}
