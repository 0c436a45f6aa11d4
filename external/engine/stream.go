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
	// maxEventBytes bounds one event. An engine sends a few tokens per event.
	maxEventBytes = 256 << 10
	// maxBytesBetweenChunks bounds what is read after a chunk and up to the end of the next one: an event
	// and the comments before it.
	maxBytesBetweenChunks = 2 * maxEventBytes
	// readAheadChunks is the number of chunks buffered for Next. When the buffer is full, the stream
	// stops reading from the connection, which puts backpressure on the engine.
	readAheadChunks = 16
)

type result struct {
	chunk Chunk
	err   error
}

// stream reads the events of one connection in its own goroutine, so that Next can return when its
// context ends while the connection remains usable.
type stream struct {
	body      io.ReadCloser
	cancel    context.CancelFunc
	results   chan result
	closed    chan struct{}
	closeOnce sync.Once
	lastErr   error // returned by every later Next; used only by Next
}

func newStream(body io.ReadCloser, cancel context.CancelFunc, attempt uint64, from int) *stream {
	s := &stream{
		body: body, cancel: cancel,
		results: make(chan result, readAheadChunks),
		closed:  make(chan struct{}),
	}
	go s.read(attempt, from)
	return s
}

// Next implements Stream.
func (s *stream) Next(ctx context.Context) (Chunk, error) {
	if s.lastErr != nil {
		return Chunk{}, s.lastErr
	}
	select {
	case r := <-s.results:
		s.lastErr = r.err
		if r.chunk.Finish != "" {
			s.lastErr = io.EOF
		}
		return r.chunk, r.err
	case <-s.closed:
		s.lastErr = errors.Wrap(ErrBroken, "stream closed")
		return Chunk{}, s.lastErr
	case <-ctx.Done():
		return Chunk{}, ctx.Err()
	}
}

// Close implements Stream.
func (s *stream) Close() error {
	s.closeOnce.Do(func() {
		close(s.closed)
		s.cancel()
	})
	return nil
}

func (s *stream) read(attempt uint64, from int) {
	defer s.cancel()
	defer s.body.Close()
	err := readEvents(s.body, attempt, from, func(c Chunk) bool {
		return s.deliver(result{chunk: c})
	})
	if err != nil {
		s.deliver(result{err: err})
	}
}

func (s *stream) deliver(r result) bool {
	select {
	case s.results <- r:
		return true
	case <-s.closed:
		return false
	}
}

// errNoChunk means that a stream goes on without a chunk.
var errNoChunk = errors.Errorf("engine: %d bytes without a chunk", maxBytesBetweenChunks)

// chunkLimiter ends a stream that goes on without a chunk, such as one of comments alone.
type chunkLimiter struct {
	r    io.Reader
	left int // bytes that may be read before the next chunk
}

// Read implements io.Reader.
func (l *chunkLimiter) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errNoChunk
	}
	n, err := l.r.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// readEvents parses a stream and yields its chunks up to the one with Finish set or until yield
// returns false, and then returns nil. Any other end is ErrBroken: the end of the connection alone
// does not complete a generation, and a chunk of another attempt or at an unexpected offset is not
// yielded.
func readEvents(r io.Reader, attempt uint64, from int, yield func(Chunk) bool) error {
	next := from
	limited := &chunkLimiter{r: r, left: maxBytesBetweenChunks}
	for e, err := range sse.Read(limited, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
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
		limited.left = maxBytesBetweenChunks
		if !yield(c) || c.Finish != "" {
			return nil
		}
	}
	return errors.Wrap(ErrBroken, "connection ended without a finish reason")
}

func parseEvent(data string, attempt uint64) (Chunk, error) {
	var e CompletionEvent
	if err := json.Unmarshal([]byte(data), &e); err != nil {
		return Chunk{}, errors.Wrapf(ErrBroken, "decode event: %v", err)
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
