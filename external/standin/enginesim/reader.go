package enginesim

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/external/engine"
)

// reader is one stream of a generation. The engine's mutex guards its mutable fields.
type reader struct {
	sim       *Sim
	gen       *generation
	next      int
	silent    bool // stalled link: nothing is delivered any more
	broken    bool
	ended     bool
	wake      chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
}

var _ engine.Stream = (*reader)(nil)

// newReader attaches a reader to g, starting at token offset from. The caller holds s.mu.
func (s *Sim) newReader(g *generation, from int) *reader {
	r := &reader{
		sim: s, gen: g, next: from,
		wake:   make(chan struct{}, 1),
		closed: make(chan struct{}),
	}
	g.readers[r] = struct{}{}
	return r
}

func (r *reader) notify() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Next implements engine.Stream.
func (r *reader) Next(ctx context.Context) (engine.Chunk, error) {
	for {
		c, ready, err := r.poll()
		if ready || err != nil {
			return c, err
		}
		select {
		case <-r.wake:
		case <-r.closed:
			return engine.Chunk{}, errors.Wrap(engine.ErrBroken, "stream closed")
		case <-ctx.Done():
			return engine.Chunk{}, ctx.Err()
		}
	}
}

// poll returns the chunk that can be read now; ready is false if there is none.
func (r *reader) poll() (c engine.Chunk, ready bool, err error) {
	s := r.sim
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r.ended:
		return c, false, io.EOF
	case r.silent || s.paused:
		return c, false, nil
	case r.broken:
		return c, false, errors.Wrap(engine.ErrBroken, "connection reset")
	}
	g := r.gen
	if r.next < len(g.tokens) {
		c = engine.Chunk{Offset: r.next, Tokens: g.tokens[r.next:len(g.tokens):len(g.tokens)]}
		r.next = len(g.tokens)
		ready = true
	}
	switch g.phase {
	case finished:
		if !ready {
			c.Offset = r.next
		}
		c.Finish, ready, r.ended = g.finish, true, true
	case cancelled:
		if !ready {
			return c, false, errors.Wrap(engine.ErrBroken, "generation cancelled")
		}
	}
	return c, ready, nil
}

// Close implements engine.Stream.
func (r *reader) Close() error {
	r.closeOnce.Do(func() {
		close(r.closed)
		r.sim.detach(r)
	})
	return nil
}

func (s *Sim) detach(r *reader) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(r.gen.readers, r)
	if len(r.gen.readers) == 0 {
		r.gen.unreadSince = time.Now()
	}
}
