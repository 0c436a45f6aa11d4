package api

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"

	"mallowwind.dev/decision/epochs"
	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/serve/generation"
)

const (
	// keepAliveInterval is how often a waiting stream sends a comment, so that the caller can
	// distinguish a slow answer from a dead connection.
	keepAliveInterval = 5 * time.Second
	// writeTimeout limits one write to a caller. Otherwise a caller whose connection has stalled
	// would hold its generation for as long as TCP retransmits.
	writeTimeout = 15 * time.Second
)

// writeStream sends a generation from pos on as server-sent events. An error is returned only if
// nothing has been sent. Later errors are sent as an error event without the terminal event, so
// that the caller can tell that the answer is incomplete.
func writeStream(ctx context.Context, w http.ResponseWriter, h *generation.Handle, pos epochs.Position, format responseFormat) error {
	s := &streamWriter{w: w, controller: http.NewResponseController(w), format: format}
	for {
		readCtx, cancel := context.WithTimeout(ctx, keepAliveInterval)
		b, err := h.Read(readCtx, pos)
		cancel()
		switch {
		case ctx.Err() != nil:
			return nil // the caller has disconnected; it may resume while the generation runs on
		case errors.Is(err, context.DeadlineExceeded):
			if s.writeKeepAlive() != nil {
				return nil
			}
			continue
		case err != nil:
			return s.finishWithError(err)
		}
		pos = b.Position
		if s.writeBatch(h.ID(), b) != nil || b.Finish != "" {
			return nil
		}
	}
}

// streamWriter writes server-sent events and flushes each of them.
type streamWriter struct {
	w             http.ResponseWriter
	controller    *http.ResponseController
	format        responseFormat
	headerWritten bool
}

func (s *streamWriter) writeHeader() {
	if s.headerWritten {
		return
	}
	s.headerWritten = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("X-Generation-Id", s.format.id)
	s.w.WriteHeader(http.StatusOK)
}

// send writes one message and flushes it within writeTimeout.
func (s *streamWriter) send(m *sse.Message) error {
	s.writeHeader()
	// Writers without support for deadlines, as in tests, never stall.
	_ = s.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := m.WriteTo(s.w); err != nil {
		return err
	}
	return s.controller.Flush()
}

func (s *streamWriter) writeKeepAlive() error {
	m := &sse.Message{}
	m.AppendComment("keep-alive")
	return s.send(m)
}

// writeBatch writes a batch of tokens as one event. After the last batch it also writes the usage,
// if requested, and the terminal event.
func (s *streamWriter) writeBatch(id string, b generation.Batch) error {
	m := &sse.Message{ID: sse.ID(epochs.Cursor{Generation: id, Position: b.Position}.String())}
	m.AppendData(s.format.chunk(strings.Join(b.Tokens, ""), string(b.Finish)))
	if err := s.send(m); err != nil || b.Finish == "" {
		return err
	}
	if s.format.includeUsage {
		u := &sse.Message{}
		u.AppendData(s.format.usageChunk(b.Position.Offset))
		if err := s.send(u); err != nil {
			return err
		}
	}
	done := &sse.Message{}
	done.AppendData("[DONE]")
	return s.send(done)
}

// finishWithError returns err if nothing has been sent yet, and otherwise sends it as an error event.
func (s *streamWriter) finishWithError(err error) error {
	if !s.headerWritten {
		return err
	}
	body, _ := json.Marshal(newErrorBody(verdict.FromError(err)))
	m := &sse.Message{Type: sse.Type("error")}
	m.AppendData(string(body))
	_ = s.send(m) // without this event the caller still notices the missing terminal event
	return nil
}
