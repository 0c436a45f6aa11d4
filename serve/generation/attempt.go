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

// cancelTimeout bounds a request to an engine to cancel an attempt.
const cancelTimeout = 2 * time.Second

// primingTimeout bounds a priming request to a standby engine.
const primingTimeout = 5 * time.Second

// attempt is one attempt to generate on one engine. Its goroutine communicates
// with flow and the engine and reports to the generation's loop, which makes all
// decisions.
type attempt struct {
	number uint64
	ctx    context.Context
	cancel context.CancelFunc
	params chan startParams // the loop's reply to reportGranted

	// The fields below are written by the loop only.
	backend      flow.Backend
	granted      bool
	lastActivity time.Time // last chunk, or the time of the grant
	chunkCount   int
	suspected    bool
	// reattach marks an attempt that reads the output of an earlier attempt which
	// its engine still runs. engineNumber is the number of that earlier attempt.
	reattach           bool
	engineNumber       uint64
	takeover           bool        // not the first attempt started by this owner
	lostWhileSuspected atomic.Bool // set when the attempt loses a race while it is suspected
	prefillTokens      int         // tokens of prompt and prefix that the engine processes first
}

// startParams tells an attempt how to start.
type startParams struct {
	prefix   []string
	reattach bool
}

type reportKind uint8

const (
	reportGranted reportKind = iota
	reportRefused            // flow granted no backend server
	reportChunk
	reportFailed // the engine's stream ended in an error
)

// report is a message from an attempt to its loop.
type report struct {
	attempt *attempt
	kind    reportKind
	backend flow.Backend
	chunk   engine.Chunk
	err     error
}

// send sends a report to the loop. It returns false if the attempt was cancelled.
func (a *attempt) send(reports chan<- report, r report) bool {
	r.attempt = a
	select {
	case reports <- r:
		return true
	case <-a.ctx.Done():
		return false
	}
}

// run acquires a backend server, generates or reattaches, and reports every chunk.
func (a *attempt) run(dispatcher flow.Dispatcher, request flow.Request, spec *Spec, reports chan<- report) {
	defer a.cancel()
	grant, err := dispatcher.Acquire(a.ctx, request)
	if err != nil {
		a.send(reports, report{kind: reportRefused, err: err})
		return
	}
	outcome := flow.Outcome{Cancelled: true}
	defer func() { grant.Done(outcome) }()
	if !a.send(reports, report{kind: reportGranted, backend: grant.Backend()}) {
		return
	}
	var params startParams
	select {
	case params = <-a.params:
	case <-a.ctx.Done():
		return
	}
	outcome = a.stream(grant, spec, params, reports)
	if outcome.Err != nil {
		a.send(reports, report{kind: reportFailed, err: outcome.Err})
	}
}

// stream reads the engine's output to its end.
func (a *attempt) stream(grant flow.Grant, spec *Spec, params startParams, reports chan<- report) flow.Outcome {
	openedAt := time.Now()
	stream, err := a.open(grant.Backend().Engine, spec, params)
	if err != nil {
		return a.outcome(err, 0, 0)
	}
	defer stream.Close()
	var first time.Duration
	tokens := 0
	last := openedAt
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
			first = now.Sub(openedAt)
		}
		tokens += len(chunk.Tokens)
		grant.Progress(len(chunk.Tokens), now.Sub(last))
		if !a.send(reports, report{kind: reportChunk, chunk: chunk}) {
			return flow.Outcome{Cancelled: true, FirstToken: first, Tokens: tokens}
		}
		last = time.Now()
	}
}

func (a *attempt) open(e engine.Engine, spec *Spec, params startParams) (engine.Stream, error) {
	if params.reattach {
		return e.Attach(a.ctx, spec.ID, a.engineNumber, len(params.prefix))
	}
	return e.Generate(a.ctx, engine.Request{
		Generation:  spec.ID,
		Attempt:     a.number,
		Model:       spec.Service.Model,
		Adapter:     spec.Service.Adapter,
		Version:     spec.Service.Version,
		Prompt:      spec.Prompt,
		Prefix:      params.prefix,
		MaxTokens:   spec.MaxTokens,
		Priority:    priority(spec.Service.Class),
		Temperature: spec.Temperature,
		Seed:        spec.Seed,
		Stop:        spec.Stop,
	})
}

// priority maps a class to the engines' priority; larger values run first.
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

// errSilent is the outcome of an attempt that lost a race while it was suspected.
var errSilent = errors.New("the engine was silent for longer than it usually is")

// outcome returns the outcome to report to flow. An attempt cancelled by this
// daemon is reported as cancelled, except if its engine was silent: nothing else
// tells flow to stop sending new work to that engine.
func (a *attempt) outcome(err error, first time.Duration, tokens int) flow.Outcome {
	if a.lostWhileSuspected.Load() {
		return flow.Outcome{Err: errSilent, FirstToken: first, Tokens: tokens}
	}
	if a.ctx.Err() != nil {
		return flow.Outcome{Cancelled: true, FirstToken: first, Tokens: tokens}
	}
	return flow.Outcome{Err: err, FirstToken: first, Tokens: tokens}
}

// cancelAtEngine cancels an attempt at its engine, where it would otherwise keep
// occupying an accelerator without a reader. If the engine cannot be reached, the
// error is ignored: a crashed engine has lost the attempt, and one that is cut off
// ends it when its own linger time has passed.
func cancelAtEngine(e engine.Engine, id string, number uint64) {
	if e == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = e.Cancel(ctx, id, number)
}

// primeStandby makes a backend server prefill a request's prefix. It returns the
// server's id, or "" if priming failed.
func (m *Manager) primeStandby(ctx context.Context, request flow.Request, req engine.Request) string {
	grant, err := m.dispatcher.Acquire(ctx, request)
	if err != nil {
		return ""
	}
	outcome := flow.Outcome{Cancelled: true}
	defer func() { grant.Done(outcome) }()
	ctx, cancel := context.WithTimeout(ctx, primingTimeout)
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
