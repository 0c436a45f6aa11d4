// Package enginesim is the stand-in for a model engine. Sim implements
// engine.Engine in process, on timers only, so that it runs in virtual time
// under testing/synctest; Handler serves the wire form over it.
//
// It batches continuously: each step gives every running generation one token
// and works off some prefill, and takes longer the more it holds. With a bound of
// memory, prompts wait for room, and the newest of the least urgent generations is
// taken out of the batch, to be read again, where answers outgrow it. Its tokens
// check themselves (package tokencheck). Faults are injected by methods.
package enginesim

import (
	"context"
	"time"

	"mallowwind.dev/external/engine"
)

// Fetcher gives weights at the rate of the weight store. Fetch blocks until
// they are here.
type Fetcher interface {
	Fetch(ctx context.Context, ref engine.ModelRef) error
}

// Config sizes an engine. A zero field takes its default, but for the fields
// that say otherwise.
type Config struct {
	Name   string
	Seed   uint64
	Models []engine.ModelRef // ready from the start

	Slots      int // largest batch
	QueueLimit int // longest waiting queue; a further request is refused
	MaxModels  int // sets of weights held at once

	StepBase           time.Duration // time of a step, apart from its load
	StepPerRequest     time.Duration // added for each running generation
	PrefillPerToken    time.Duration // added for each prompt token worked off
	PrefillChunkTokens int           // most prompt tokens worked off in one step
	CacheBlocks        int           // prompt blocks kept, least recently used first out
	MemoryTokens       int           // tokens that the batch may hold; 0 means no bound

	UnreadTimeout time.Duration // how long a generation runs on with no reader
	Retention     time.Duration // how long a finished or cancelled one is remembered

	StatusLag      time.Duration // age of load figures; 0 means none
	EventDelay     time.Duration // lateness of cache events; 0 means none
	EventLossRatio float64       // share of cache events lost; 0 means none

	EnforceFencing bool // refuse orders with an old fencing number
	LoadTime       time.Duration
	Weights        Fetcher // nil means that loading takes LoadTime alone
}

// WithDefaults returns c with zero fields set. At the defaults an engine alone
// gives a token each 12 ms and at a full batch of 32 one each 28 ms.
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

// Stats counts the work of an engine since it was made, across restarts.
type Stats struct {
	Started   int64 `json:"started"`    // attempts taken in
	Refused   int64 `json:"refused"`    // attempts refused
	Tokens    int64 `json:"tokens"`     // tokens generated
	Prefilled int64 `json:"prefilled"`  // prompt and prefix tokens worked off
	Cached    int64 `json:"cached"`     // prompt and prefix tokens found in the cache
	Cancelled int64 `json:"cancelled"`  // attempts ended by Cancel
	Abandoned int64 `json:"abandoned"`  // attempts ended because nobody read them
	Lost      int64 `json:"lost"`       // attempts lost by Die
	Preempted int64 `json:"thrown_out"` // attempts taken out of the batch for want of memory
}
