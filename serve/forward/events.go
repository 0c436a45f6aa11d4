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
	maxEventBytes = 1 << 20
	// eventBufferBytes is the read buffer of a stream. It holds some tens of typical events.
	eventBufferBytes = 4 << 10
)

// streamEvent is one complete server-sent event as the server wrote it.
type streamEvent struct {
	raw []byte // includes the blank line that ends the event
	id  int64  // 0 if the event has none
	err error  // why the stream ended; io.EOF after its last event
}

// errTruncatedEvent means that a stream ended in the middle of an event.
var errTruncatedEvent = errors.New("forward: the stream ended in the middle of an event")

// readEvent reads up to the blank line that ends an event. A partial event at the end of the
// stream is discarded.
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
			return streamEvent{err: errors.Errorf("the event exceeds %d bytes", maxEventBytes)}
		}
	}
}

// parseField sets the ID of the event if the line contains one.
func (e *streamEvent) parseField(line []byte) {
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
