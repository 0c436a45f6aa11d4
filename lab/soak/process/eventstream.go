package process

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// spoiledEventBytes is more than a daemon takes for one event.
const spoiledEventBytes = 300 << 10

// eventStream is the response to which an engine writes the events of a run. An engine learns that its
// daemon has closed the connection by a read at once, or at its next write.
type eventStream struct {
	w           http.ResponseWriter
	r           *http.Request
	isUnframed  bool // ends with its connection
	readsCloses bool // learns of a close by a read
	mutedUntil  time.Time
	held        strings.Builder // not sent yet, because the stream is mute
	conn        net.Conn        // taken from the HTTP server to break the response; nil before
	isReset     bool
	peerGone    chan struct{} // closed once the engine learns that its daemon has closed conn
	failed      chan struct{} // closed once a write has failed
}

func newEventStream(w http.ResponseWriter, r *http.Request, readsCloses bool) *eventStream {
	return &eventStream{w: w, r: r, isUnframed: w.Header().Get("Transfer-Encoding") == identityEncoding, readsCloses: readsCloses, failed: make(chan struct{})}
}

// gone returns a channel that is closed once the engine learns that its daemon has closed the
// connection. An engine that has reset the connection learns nothing more.
func (s *eventStream) gone() <-chan struct{} {
	switch {
	case s.isReset:
		return nil
	case !s.readsCloses:
		return s.failed
	case s.conn != nil:
		return s.peerGone
	}
	return s.r.Context().Done()
}

// sendHead sends the head of the response before its first event.
func (s *eventStream) sendHead() { s.flush() }

// send sends the text of an event, and the events that were held back before, unless the stream is mute
// or reset.
func (s *eventStream) send(text string) {
	s.held.WriteString(text)
	if time.Now().Before(s.mutedUntil) || s.isReset {
		return
	}
	text = s.held.String()
	s.held.Reset()
	if s.conn == nil {
		fmt.Fprint(s.w, text)
		s.flush()
		return
	}
	if !s.isUnframed {
		text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
	}
	if _, err := io.WriteString(s.conn, text); err != nil {
		s.fail()
	}
}

func (s *eventStream) flush() {
	if err := http.NewResponseController(s.w).Flush(); err != nil {
		s.fail()
	}
}

func (s *eventStream) fail() {
	select {
	case <-s.failed:
	default:
		close(s.failed)
	}
}

// mute holds back all events until a time.
func (s *eventStream) mute(until time.Time) { s.mutedUntil = until }

// finish sends what a mute stream still holds, unless the daemon closes the connection before.
func (s *eventStream) finish() {
	select {
	case <-time.After(time.Until(s.mutedUntil)):
		if s.held.Len() > 0 {
			s.send("")
		}
	case <-s.gone():
	}
}

// takeConn takes the connection from the HTTP server, and reports false if that fails.
func (s *eventStream) takeConn() bool {
	if s.conn != nil {
		return true
	}
	conn, _, err := http.NewResponseController(s.w).Hijack()
	if err != nil {
		return false
	}
	s.conn, s.peerGone = conn, make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, conn) // ends when either side closes the connection
		close(s.peerGone)
	}()
	return true
}

// reset resets the connection.
func (s *eventStream) reset() {
	if s.takeConn() {
		s.isReset = true
		reset(s.conn)
	}
}

// spoil sends bytes that are no chunk, or no event if the response is not in chunks.
func (s *eventStream) spoil() {
	if !s.takeConn() {
		return
	}
	garbage := "no chunk\r\n"
	if s.isUnframed {
		garbage = "data: " + strings.Repeat("x", spoiledEventBytes)
	}
	if _, err := io.WriteString(s.conn, garbage); err != nil {
		s.fail()
	}
}

// abort ends the connection before the end of the response, in the middle of an event if the daemon would
// otherwise take it for complete.
func (s *eventStream) abort(partial string) {
	if s.conn != nil {
		reset(s.conn)
		return
	}
	if partial != "" || s.isUnframed {
		fmt.Fprint(s.w, partial)
	}
	panic(http.ErrAbortHandler)
}

// close closes a connection that was taken from the HTTP server.
func (s *eventStream) close() {
	if s.conn != nil {
		_ = s.conn.Close() // may be reset already
	}
}
