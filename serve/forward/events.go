package forward

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

const (
	// maxEventBytes bounds one event of a stream, in bytes.
	maxEventBytes = 1 << 20
	// eventBufferBytes holds some tens of the usual events, in bytes.
	eventBufferBytes = 4 << 10
)

// streamEvent is one whole event as the server wrote it.
type streamEvent struct {
	raw []byte // with the blank line that ends it
	id  int64  // 0 if it has none
	err error  // the end of the stream; io.EOF after its last event
}

// errTruncatedEvent means that a stream stopped within an event.
var errTruncatedEvent = errors.New("forward: stream torn within an event")

// readEvent reads up to the blank line that ends an event. A piece of an event
// at the end of the stream is never returned.
func readEvent(r *bufio.Reader) streamEvent {
	var e streamEvent
	for {
		line, err := r.ReadSlice('\n')
		e.raw = append(e.raw, line...)
		switch {
		case err == bufio.ErrBufferFull:
		case err == io.EOF && len(e.raw) > 0:
			return streamEvent{err: errTruncatedEvent}
		case err != nil:
			return streamEvent{err: err}
		case len(bytes.TrimRight(line, "\r\n")) == 0 && len(e.raw) > len(line):
			return e
		default:
			e.parseField(line)
		}
		if len(e.raw) > maxEventBytes {
			return streamEvent{err: errors.Errorf("an event of more than %d bytes", maxEventBytes)}
		}
	}
}

// parseField takes the id out of a line.
func (e *streamEvent) parseField(line []byte) {
	value, ok := bytes.CutPrefix(line, []byte("id:"))
	if !ok {
		return
	}
	// An id that is no number leaves the event without one; it is passed on as
	// it is and cannot be resumed after.
	if id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil {
		e.id = id
	}
}
