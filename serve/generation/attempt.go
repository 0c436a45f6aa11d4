package generation

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"mallowwind.dev/control/site"
	"mallowwind.dev/external/engine"
	"mallowwind.dev/serve/flow"
)

// cancelTimeout bounds the order to an engine to stop a generation nobody wants.
const cancelTimeout = 2 * time.Second

// primeTimeout bounds the reading of an answer by a standby engine.
const primeTimeout = 5 * time.Second

// attempt is one try of one engine. Its goroutine talks to flow and the engine
// and reports to the generation's loop, which alone decides.
type attempt struct {
	number uint64
	ctx    context.Context
	cancel context.CancelFunc
	begin  chan begin // the loop's answer to reportGranted

	// The fields below belong to the loop.
	backend   flow.Backend
	granted   bool
	last      time.Time // last chunk, or the time of the grant
	chunks    int
	suspected bool
	// reattach marks an attempt that reads what its engine already runs; the
	// engine knows it by engineNumber, which belongs to the attempt that began it.
	reattach     bool
	engineNumber uint64
	takeover     bool        // not the first attempt of this owner
	silent       atomic.Bool // lost a race after it had been suspected
	reads        int         // tokens of prompt and prefix that the engine must read first
}

// begin tells an attempt where to begin.
type begin struct {
	prefix   []string
	reattach bool
}

type reportKind uint8

const (
	reportGranted reportKind = iota
	reportRefused            // flow has no backend server for it
	reportChunk
	reportFailed // the engine's stream ended in an error
)

// report is what an attempt tells its loop.
type report struct {
	attempt *attempt
	kind    reportKind
	backend flow.Backend
	chunk   engine.Chunk
	err     error
}

// post hands a report to the loop, unless the attempt was cancelled.
func (a *attempt) post(to chan<- report, r report) bool {
	r.attempt = a
	select {
	case to <- r:
		return true
	case <-a.ctx.Done():
		return false
	}
}

// run acquires a backend server, generates or attaches, and reports every chunk.
func (a *attempt) run(d flow.Dispatcher, ask flow.Request, spec *Spec, to chan<- report) {
	defer a.cancel()
	grant, err := d.Acquire(a.ctx, ask)
	if err != nil {
		a.post(to, report{kind: reportRefused, err: err})
		return
	}
	out := flow.Outcome{Cancelled: true}
	defer func() { grant.Done(out) }()
	if !a.post(to, report{kind: reportGranted, backend: grant.Backend()}) {
		return
	}
	var s begin
	select {
	case s = <-a.begin:
	case <-a.ctx.Done():
		return
	}
	out = a.stream(grant, spec, s, to)
	if out.Err != nil {
		a.post(to, report{kind: reportFailed, err: out.Err})
	}
}

// stream reads the engine's answer to the end.
func (a *attempt) stream(grant flow.Grant, spec *Spec, s begin, to chan<- report) flow.Outcome {
	began := time.Now()
	stream, err := a.open(grant.Backend().Engine, spec, s)
	if err != nil {
		return a.outcome(err, 0, 0)
	}
	defer stream.Close()
	var first time.Duration
	tokens := 0
	last := began
	for {
		chunk, err := stream.Next(a.ctx)
		if errors.Is(err, io.EOF) {
			return flow.Outcome{FirstToken: first, Tokens: tokens}
		}
		if err != nil {
			return a.outcome(err, first, tokens)
		}
		now := time.Now()
		if tokens == 0 {
			first = now.Sub(began)
		}
		tokens += len(chunk.Tokens)
		grant.Progress(len(chunk.Tokens), now.Sub(last))
		if !a.post(to, report{kind: reportChunk, chunk: chunk}) {
			return flow.Outcome{Cancelled: true, FirstToken: first, Tokens: tokens}
		}
		last = time.Now()
	}
}

func (a *attempt) open(e engine.Engine, spec *Spec, s begin) (engine.Stream, error) {
	if s.reattach {
		return e.Attach(a.ctx, spec.ID, a.engineNumber, len(s.prefix))
	}
	return e.Generate(a.ctx, engine.Request{
		Generation:  spec.ID,
		Attempt:     a.number,
		Model:       spec.Service.Model,
		Adapter:     spec.Service.Adapter,
		Version:     spec.Service.Version,
		Prompt:      spec.Prompt,
		Prefix:      s.prefix,
		MaxTokens:   spec.MaxTokens,
		Priority:    priority(spec.Service.Class),
		Temperature: spec.Temperature,
		Seed:        spec.Seed,
		Stop:        spec.Stop,
	})
}

// priority maps a class to the engines' scale, larger first.
func priority(c site.Class) int {
	switch c {
	case site.ClassUrgent:
		return 2
	case site.ClassLong:
		return 0
	default:
		return 1
	}
}

// errSilent is the outcome of an attempt that was silent until another one won.
var errSilent = errors.New("the engine was silent for longer than it usually is")

// outcome reports err to flow, unless the end was ours. A silent engine is
// reported too: nothing else tells flow to stop sending it new work.
func (a *attempt) outcome(err error, first time.Duration, tokens int) flow.Outcome {
	if a.silent.Load() {
		return flow.Outcome{Err: errSilent, FirstToken: first, Tokens: tokens}
	}
	if a.ctx.Err() != nil {
		return flow.Outcome{Cancelled: true, FirstToken: first, Tokens: tokens}
	}
	return flow.Outcome{Err: err, FirstToken: first, Tokens: tokens}
}

// cancelAtEngine stops a generation at its engine, where it would go on to
// occupy an accelerator for nobody. An engine that cannot be reached has
// nothing left to cancel: a dead one has forgotten, one that is cut off ends
// the generation when its linger is over.
func cancelAtEngine(e engine.Engine, id string, number uint64) {
	if e == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = e.Cancel(ctx, id, number)
}

// primeOne makes a backend server read a request's prefix and returns its id.
func (m *Manager) primeOne(ctx context.Context, ask flow.Request, req engine.Request) string {
	grant, err := m.flow.Acquire(ctx, ask)
	if err != nil {
		return ""
	}
	out := flow.Outcome{Cancelled: true}
	defer func() { grant.Done(out) }()
	ctx, cancel := context.WithTimeout(ctx, primeTimeout)
	defer cancel()
	stream, err := grant.Backend().Engine.Generate(ctx, req)
	if err != nil {
		return ""
	}
	defer stream.Close()
	for {
		c, err := stream.Next(ctx)
		if err != nil {
			return ""
		}
		if c.Finish != "" {
			return grant.Backend().ID
		}
	}
}
