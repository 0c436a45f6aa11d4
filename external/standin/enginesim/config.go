// Package enginesim simulates a model engine. Sim implements engine.Engine in
// process and waits only on timers, so that it runs in virtual time under
// testing/synctest. Handler serves the wire protocol on top of it.
//
// The simulated engine uses continuous batching: each step prefills prompt tokens up to
// a limit and generates one token for each generation that is past its prefill. A step
// takes longer the larger the batch and the more it prefills. If memory is bounded,
// prompts wait until they fit; when answers outgrow the memory, the newest generation of
// the lowest priority is preempted and prefilled again later. The generated tokens are
// self-checking (package tokencheck). Faults are injected by methods of Sim.
package enginesim

import (
	"context"
	"time"

	"mallowwind.dev/external/engine"
)

// Fetcher fetches model weights from the weight store. Fetch blocks until the
// weights have arrived.
type Fetcher interface {
	Fetch(ctx context.Context, ref engine.ModelRef) error
}

// Config holds the parameters of a simulated engine. A zero field takes its default unless
// the comment of the field says otherwise.
type Config struct {
	Name   string
	Seed   uint64
	Models []engine.ModelRef // ready from the start

	Slots      int // maximum batch size
	QueueLimit int // maximum length of the queue; further requests are refused
	MaxModels  int // maximum number of models loaded at once

	StepBase           time.Duration // fixed part of the step time
	StepPerRequest     time.Duration // step time added per generation in the batch
	PrefillPerToken    time.Duration // step time added per prefilled token
	PrefillChunkTokens int           // maximum number of tokens prefilled in one step
	CacheBlocks        int           // capacity of the prompt cache (LRU), in blocks
	MemoryTokens       int           // maximum number of tokens in the batch; 0 means no limit

	UnreadTimeout time.Duration // time after which a generation without a reader is cancelled
	Retention     time.Duration // how long ended generations and cancellations are remembered

	StatusLag      time.Duration // minimum age of reported load figures; 0 means no delay
	EventDelay     time.Duration // delay of cache events; 0 means no delay
	EventLossRatio float64       // fraction of cache events that are lost; 0 means none

	EnforceFencing bool // refuse orders with a stale fencing number
	LoadTime       time.Duration
	Weights        Fetcher // nil means that loading takes only LoadTime
}

// WithDefaults returns c with its zero fields set to their defaults. With the defaults a
// step takes about 12 ms for a single generation and 28 ms for a full batch of 32.
func (c Config) WithDefaults() Config {
	setDefault(&c.Name, "engine")
	setDefault(&c.Slots, 32)
	setDefault(&c.QueueLimit, 64)
	setDefault(&c.MaxModels, 4)
	setDefault(&c.StepBase, 12*time.Millisecond)
	setDefault(&c.StepPerRequest, 500*time.Microsecond)
	setDefault(&c.PrefillPerToken, 100*time.Microsecond)
	setDefault(&c.PrefillChunkTokens, 512)
	setDefault(&c.CacheBlocks, 4096)
	setDefault(&c.UnreadTimeout, 30*time.Second)
	setDefault(&c.Retention, 2*time.Minute)
	setDefault(&c.LoadTime, 5*time.Second)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Stats counts the work of an engine since New, across restarts.
type Stats struct {
	Started   int64 `json:"started"`    // attempts accepted
	Refused   int64 `json:"refused"`    // attempts refused
	Tokens    int64 `json:"tokens"`     // tokens generated
	Prefilled int64 `json:"prefilled"`  // prompt and prefix tokens prefilled
	Cached    int64 `json:"cached"`     // prompt and prefix tokens found in the cache
	Cancelled int64 `json:"cancelled"`  // attempts ended by Cancel
	Abandoned int64 `json:"abandoned"`  // attempts cancelled because they had no reader
	Lost      int64 `json:"lost"`       // unfinished attempts lost in a crash
	Preempted int64 `json:"thrown_out"` // removals from the batch for lack of memory
}
