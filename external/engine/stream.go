package engine

import (
	"context"
	"encoding/json"
	"io"
	"sync"

	"github.com/pkg/errors"
	"github.com/tmaxmax/go-sse"
)

const (
	// maxEvent bounds one event, in bytes; an engine sends a few tokens at a time.
	maxEvent = 256 << 10
	// readAhead is how many chunks are read before Next takes them. When it is
	// full the connection fills and the engine feels the slow reader.
	readAhead = 16
)

type result struct {
	chunk Chunk
	err   error
}

// stream reads the events of one connection in its own goroutine, so that Next
// can give up on its context while the connection stays good.
type stream struct {
	body    io.ReadCloser
	end     context.CancelFunc
	results chan result
	closed  chan struct{}
	once    sync.Once
	last    error // sticky; only Next uses it
}

func newStream(body io.ReadCloser, end context.CancelFunc, attempt uint64, from int) *stream {
	s := &stream{
		body: body, end: end,
		results: make(chan result, readAhead),
		closed:  make(chan struct{}),
	}
	go s.read(attempt, from)
	return s
}

// Next implements Stream.
func (s *stream) Next(ctx context.Context) (Chunk, error) {
	if s.last != nil {
		return Chunk{}, s.last
	}
	select {
	case r := <-s.results:
		s.last = r.err
		if r.chunk.Finish != "" {
			s.last = io.EOF
		}
		return r.chunk, r.err
	case <-s.closed:
		s.last = errors.Wrap(ErrBroken, "stream closed")
		return Chunk{}, s.last
	case <-ctx.Done():
		return Chunk{}, ctx.Err()
	}
}

// Close implements Stream.
func (s *stream) Close() error {
	s.once.Do(func() {
		close(s.closed)
		s.end()
	})
	return nil
}

func (s *stream) read(attempt uint64, from int) {
	defer s.end()
	defer s.body.Close()
	err := readEvents(s.body, attempt, from, func(c Chunk) bool {
		return s.put(result{chunk: c})
	})
	if err != nil {
		s.put(result{err: err})
	}
}

func (s *stream) put(r result) bool {
	select {
	case s.results <- r:
		return true
	case <-s.closed:
		return false
	}
}

// readEvents parses a stream and yields its chunks up to the one with Finish
// set, after which it returns nil. Everything else is ErrBroken: the end of the
// connection alone never ends an answer, and a chunk that is not the next of
// its attempt is not passed on.
func readEvents(r io.Reader, attempt uint64, from int, yield func(Chunk) bool) error {
	next := from
	for e, err := range sse.Read(r, &sse.ReadConfig{MaxEventSize: maxEvent}) {
		if err != nil {
			return errors.Wrapf(ErrBroken, "read: %v", err)
		}
		if e.Data == StreamDone {
			return errors.Wrap(ErrBroken, "stream ended without a finish reason")
		}
		c, err := parseEvent(e.Data, attempt)
		if err != nil {
			return err
		}
		if c.Offset != next {
			return errors.Wrapf(ErrBroken, "chunk at offset %d, expected %d", c.Offset, next)
		}
		next += len(c.Tokens)
		if !yield(c) || c.Finish != "" {
			return nil
		}
	}
	return errors.Wrap(ErrBroken, "connection ended before the answer")
}

func parseEvent(data string, attempt uint64) (Chunk, error) {
	var e CompletionEvent
	if err := json.Unmarshal([]byte(data), &e); err != nil {
		return Chunk{}, errors.Wrapf(ErrBroken, "event: %v", err)
	}
	if e.Attempt != attempt {
		return Chunk{}, errors.Wrapf(ErrBroken, "event of attempt %d in the stream of attempt %d", e.Attempt, attempt)
	}
	if len(e.Choices) != 1 {
		return Chunk{}, errors.Wrapf(ErrBroken, "event with %d choices", len(e.Choices))
	}
	c := Chunk{Offset: e.Offset, Tokens: e.Tokens}
	if f := e.Choices[0].FinishReason; f != nil {
		c.Finish = *f
	}
	return c, nil
}
