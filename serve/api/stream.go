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
	// keepAlive is how often a waiting stream sends a comment, so that a caller
	// can tell a slow answer from a connection that went silent for good.
	keepAlive = 5 * time.Second
	// writeTimeout bounds one write to a caller. A caller whose connection went
	// silent would otherwise hold its generation for as long as TCP keeps trying.
	writeTimeout = 15 * time.Second
)

// stream sends an answer as server-sent events from pos on. An error is
// returned only while nothing has been sent; later ones become an error event,
// and the terminal event stays away, so that the answer is visibly incomplete.
func stream(ctx context.Context, w http.ResponseWriter, h *generation.Handle, pos epochs.Position, form answerForm) error {
	s := &streamWriter{w: w, control: http.NewResponseController(w), form: form}
	for {
		wait, cancel := context.WithTimeout(ctx, keepAlive)
		b, err := h.Read(wait, pos)
		cancel()
		switch {
		case ctx.Err() != nil:
			return nil // the caller went away; the generation lingers for its return
		case errors.Is(err, context.DeadlineExceeded):
			if s.comment() != nil {
				return nil
			}
			continue
		case err != nil:
			return s.fail(err)
		}
		pos = b.Position
		if s.batch(h.ID(), b) != nil || b.Finish != "" {
			return nil
		}
	}
}

// streamWriter writes events and flushes each.
type streamWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	form    answerForm
	begun   bool
}

func (s *streamWriter) begin() {
	if s.begun {
		return
	}
	s.begun = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("X-Generation-Id", s.form.id)
	s.w.WriteHeader(http.StatusOK)
}

// send writes one message under the write deadline.
func (s *streamWriter) send(m *sse.Message) error {
	s.begin()
	// A writer without deadlines, as in tests, is never silent.
	_ = s.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := m.WriteTo(s.w); err != nil {
		return err
	}
	return s.control.Flush()
}

func (s *streamWriter) comment() error {
	m := &sse.Message{}
	m.AppendComment("keep-alive")
	return s.send(m)
}

// batch writes tokens as one event and, after the last, the terminal event.
func (s *streamWriter) batch(id string, b generation.Batch) error {
	m := &sse.Message{ID: sse.ID(epochs.Cursor{Generation: id, Position: b.Position}.String())}
	m.AppendData(s.form.chunk(strings.Join(b.Tokens, ""), string(b.Finish)))
	if err := s.send(m); err != nil || b.Finish == "" {
		return err
	}
	if s.form.usage {
		u := &sse.Message{}
		u.AppendData(s.form.usageChunk(b.Position.Offset))
		if err := s.send(u); err != nil {
			return err
		}
	}
	done := &sse.Message{}
	done.AppendData("[DONE]")
	return s.send(done)
}

// fail reports an error: as a refusal when nothing was sent, else as an event.
func (s *streamWriter) fail(err error) error {
	if !s.begun {
		return err
	}
	body, _ := json.Marshal(bodyOf(verdict.FromError(err)))
	m := &sse.Message{Type: sse.Type("error")}
	m.AppendData(string(body))
	_ = s.send(m) // the caller sees the missing terminal event in any case
	return nil
}
