package forward

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

const (
	// maxEventBytes bounds the size of one event.
	maxEventBytes = 256 << 10
	// maxComments bounds the blocks without a field in a row. Servers send one every few seconds to
	// keep a connection open.
	maxComments = 1000
	// eventBufferBytes is the read buffer of a stream. It holds some tens of typical events.
	eventBufferBytes = 4 << 10
)

// streamEvent is one complete server-sent event as the server wrote it.
type streamEvent struct {
	raw      []byte // includes the blank line that ends the event
	id       int64  // 0 if the event has none
	hasField bool   // it does not consist of comments alone
	err      error  // why the stream ended; io.EOF after its last event
}

// errTruncatedEvent means that a stream ended in the middle of an event.
var errTruncatedEvent = errors.New("forward: the stream ended in the middle of an event")

// errTooManyComments means that a stream consists of comments alone.
var errTooManyComments = errors.Errorf("forward: more than %d comments and no event", maxComments)

// eventReader reads the events of one stream.
type eventReader struct {
	r        *bufio.Reader
	comments int // blocks without a field since the last event
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(body, eventBufferBytes)}
}

// next returns the next event, or the next block of comments. It ends a stream that consists of
// comments alone, each of which would cost a write to the caller.
func (r *eventReader) next() streamEvent {
	e := readEvent(r.r)
	r.comments++
	if e.err != nil || e.hasField {
		r.comments = 0
	}
	if r.comments > maxComments {
		return streamEvent{err: errTooManyComments}
	}
	return e
}

// readEvent reads up to the blank line that ends an event, including blank lines before the event, or
// the blank lines at the end of the stream. A partial event at the end of the stream is discarded.
func readEvent(r *bufio.Reader) streamEvent {
	var e streamEvent
	hasText, isContinued := false, false
	for {
		line, err := r.ReadSlice('\n')
		e.raw = append(e.raw, line...)
		switch {
		case err == io.EOF && len(e.raw) > 0 && (hasText || len(line) > 0):
			return streamEvent{err: errTruncatedEvent}
		case err == io.EOF && len(e.raw) > 0:
			return e
		case err != nil && err != bufio.ErrBufferFull:
			return streamEvent{err: err}
		case isContinued: // the rest of a line
		case isBlank(line) && hasText:
			return e
		case !isBlank(line):
			hasText = true
			e.parseField(line)
		}
		isContinued = err == bufio.ErrBufferFull
		if len(e.raw) > maxEventBytes {
			return streamEvent{err: errors.Errorf("the event exceeds %d bytes", maxEventBytes)}
		}
	}
}

// isBlank reports whether a line has no text.
func isBlank(line []byte) bool { return len(bytes.TrimRight(line, "\r\n")) == 0 }

// parseField takes note of a field, and of the ID of the event if the line contains it.
func (e *streamEvent) parseField(line []byte) {
	e.hasField = e.hasField || line[0] != ':'
	value, ok := bytes.CutPrefix(line, []byte("id:"))
	if !ok {
		return
	}
	// An event whose ID is not a number is forwarded unchanged, but a stream cannot be resumed
	// after it.
	if id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil {
		e.id = id
	}
}
