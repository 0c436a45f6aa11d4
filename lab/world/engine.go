package world

import (
	"context"

	"github.com/pkg/errors"

	"mallowwind.dev/external/engine"
)

// backend wraps a backend server's engine with the link faults that one entry VM sees.
type backend struct {
	engine.Engine // methods not overridden here bypass the network
	net           *Network
	vm, id        string
}

// call waits for the link and classifies its failure: a call refused by a cut
// link was not sent; a call that hung until its context ended may have been sent.
//
// Unlike in a really paused process, the timers of a paused entry VM keep
// running here. Calls that it makes while paused are never sent.
func (b *backend) call(ctx context.Context) error {
	paused, _ := b.net.vm(b.vm)
	err := b.net.awaitLink(ctx, b.vm, b.id)
	if paused == Hang {
		return errors.Wrap(engine.ErrNotSent, "call made while the entry VM was paused")
	}
	switch {
	case err == nil:
		return nil
	case errors.Is(err, errRefused):
		return errors.Wrap(engine.ErrNotSent, "connection refused")
	}
	return errors.Wrapf(engine.ErrBroken, "%v", err)
}

// Generate implements engine.Engine.
func (b *backend) Generate(ctx context.Context, req engine.Request) (engine.Stream, error) {
	if err := b.call(ctx); err != nil {
		return nil, err
	}
	s, err := b.Engine.Generate(ctx, req)
	return b.wrap(req.Generation, s), err
}

// Attach implements engine.Engine.
func (b *backend) Attach(ctx context.Context, id string, attempt uint64, from int) (engine.Stream, error) {
	if err := b.call(ctx); err != nil {
		return nil, err
	}
	s, err := b.Engine.Attach(ctx, id, attempt, from)
	return b.wrap(id, s), err
}

// Cancel implements engine.Engine.
func (b *backend) Cancel(ctx context.Context, id string, attempt uint64) error {
	if err := b.call(ctx); err != nil {
		return err
	}
	return b.Engine.Cancel(ctx, id, attempt)
}

func (b *backend) wrap(generation string, s engine.Stream) engine.Stream {
	if s == nil {
		return nil
	}
	out := &stream{Stream: s, backend: b}
	b.net.mu.Lock()
	defer b.net.mu.Unlock()
	b.net.streams[out] = generation
	return out
}

// stream is an engine's stream with the faults of its link applied.
type stream struct {
	engine.Stream
	backend *backend
}

// Close implements engine.Stream.
func (s *stream) Close() error {
	n := s.backend.net
	n.mu.Lock()
	delete(n.streams, s)
	n.mu.Unlock()
	return s.Stream.Close()
}

// StreamingGenerations returns the ids of the generations with an open stream from an engine.
func (w *World) StreamingGenerations(engine int) []string {
	w.Net.mu.Lock()
	defer w.Net.mu.Unlock()
	var out []string
	for s, id := range w.Net.streams {
		if s.backend.id == EngineID(engine) {
			out = append(out, id)
		}
	}
	return out
}

// Next implements engine.Stream.
func (s *stream) Next(ctx context.Context) (engine.Chunk, error) {
	b := s.backend
	for {
		if err := b.net.awaitLink(ctx, b.id, b.vm); err != nil {
			return engine.Chunk{}, s.broken(ctx)
		}
		f, changed := b.net.link(b.id, b.vm)
		if f != Healthy {
			continue
		}
		wait, cancel := context.WithCancel(ctx)
		stop := make(chan struct{})
		go func() {
			select {
			case <-changed:
				cancel()
			case <-stop:
			}
		}()
		c, err := s.Stream.Next(wait)
		close(stop)
		cancel()
		if err != nil && wait.Err() != nil && ctx.Err() == nil && errors.Is(err, context.Canceled) {
			continue // a fault changed; check the link again
		}
		if err != nil {
			return c, err
		}
		// A chunk in flight waits for the link like any other message.
		if b.net.awaitLink(ctx, b.id, b.vm) != nil {
			return engine.Chunk{}, s.broken(ctx)
		}
		return c, nil
	}
}

func (s *stream) broken(ctx context.Context) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return errors.Wrap(engine.ErrBroken, "connection reset")
}
