package gateway

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/decision/verdict"
)

const (
	// bodyBytesInBuffer is how many bytes of the body may be read together with the end of the
	// header: the size of the buffer of net/http.
	bodyBytesInBuffer = 4 << 10
	// refusalTimeout is how long a refused caller may take to read the response, and maxDiscardedBytes
	// how much it may send until then, which is discarded: a connection that is closed with unread
	// bytes is reset, which may destroy the response.
	refusalTimeout    = 500 * time.Millisecond
	maxDiscardedBytes = 256 << 10
)

// connPhase says what a connection of a caller is used for, and so which limit applies.
type connPhase int

const (
	// readingHeader begins with the connection or with the first byte of a later request.
	readingHeader connPhase = iota
	// serving begins after the header of a request; the handler bounds the body.
	serving
	// idle begins after a response.
	idle
	// refused begins when a header is too large; the connection is closed.
	refused
)

// callerConn is a connection of a caller. It bounds the header of each request and the time that it
// may take by the limits in force while it is read.
type callerConn struct {
	net.Conn
	server *callerServer

	mu          sync.Mutex // guards the fields below
	phase       connPhase
	since       time.Time // start of phase
	deadline    time.Time // for reading by the limits in force; zero in other phases
	headerBytes int       // read in phase readingHeader
}

// setConnPhase is the http.Server.ConnState of callerServer.
func setConnPhase(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateActive:
		conn.(*callerConn).begin(serving)
	case http.StateIdle:
		conn.(*callerConn).begin(idle)
	}
}

// begin starts a phase.
func (c *callerConn) begin(phase connPhase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since, c.headerBytes, c.deadline = phase, time.Now(), 0, time.Time{}
	if phase == readingHeader || phase == idle {
		c.deadline = c.since.Add(c.timeout())
	}
	// An error means that the connection is closed, which the next read reports.
	_ = c.Conn.SetReadDeadline(c.deadline)
}

// timeout returns the time limit of the phase. The caller holds the lock.
func (c *callerConn) timeout() time.Duration {
	limits := c.server.limits()
	if c.phase == idle {
		return limits.idleTimeout
	}
	return limits.headerTimeout
}

// applyTimeLimits applies changed limits to the phase that has begun.
func (c *callerConn) applyTimeLimits() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.deadline.IsZero() {
		return
	}
	c.deadline = changedDeadline(c.since, c.deadline, time.Now(), c.timeout())
	_ = c.Conn.SetReadDeadline(c.deadline) // as in begin
}

// changedDeadline returns the deadline of a phase whose time limit changes now. A shorter limit
// counts from the change, within the previous deadline: what was within the limit is not ended
// without notice, and not all idle connections of a fleet are closed at once.
func changedDeadline(since, previous, now time.Time, timeout time.Duration) time.Time {
	notice := now.Add(timeout)
	if notice.After(previous) {
		notice = previous
	}
	if d := since.Add(timeout); d.After(notice) {
		return d
	}
	return notice
}

// SetReadDeadline implements net.Conn. It sets the deadline for the body; net/http also calls it in
// the other phases, in which the limits in force set the deadline.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != serving {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	if phase := c.current(); phase == serving || phase == refused {
		return c.Conn.Read(p)
	}
	room, err := c.headerRoom()
	if err != nil {
		c.refuse(err)
		return c.Conn.Read(p) // returns that the connection is closed
	}
	n, err := c.Conn.Read(p[:min(len(p), room)])
	if n > 0 {
		c.countHeader(n)
	}
	return n, err
}

func (c *callerConn) current() connPhase {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase
}

// countHeader counts n bytes of a header, which begins with them if the connection was idle.
func (c *callerConn) countHeader(n int) {
	if c.current() == idle {
		c.begin(readingHeader)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headerBytes += n
}

// headerRoom returns how many bytes may be read until the header is too large. While the limit is
// not known, a header that exceeds the default waits for the first configuration.
func (c *callerConn) headerRoom() (int, error) {
	if room := c.remainingRoom(); room > 0 {
		return room, nil
	}
	if err := c.server.handler.AwaitConfig(c.server.closing); err != nil {
		return 0, err
	}
	if room := c.remainingRoom(); room > 0 {
		return room, nil
	}
	return 0, verdict.New(verdict.NotRun, verdict.CodeHeaderTooLarge, "more than %d bytes", c.server.limits().headerBytes)
}

func (c *callerConn) remainingRoom() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.server.limits().headerBytes + bodyBytesInBuffer - c.headerBytes
}

// refuse answers a request whose header was not read to its end and closes the connection, so that
// net/http adds no response of its own.
func (c *callerConn) refuse(refusal error) {
	c.begin(refused)
	// Errors mean that the caller has closed the connection.
	_ = c.Conn.SetDeadline(time.Now().Add(refusalTimeout))
	c.server.handler.RefuseUnread(c.Conn, refusal)
	_ = c.CloseWrite()
	_, _ = io.CopyN(io.Discard, c.Conn, maxDiscardedBytes)
	_ = c.Conn.Close()
}

// CloseWrite closes the direction to the caller, if the connection can. net/http uses it as well.
func (c *callerConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return errors.New("the connection has no directions")
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.server.remove(c)
	return c.Conn.Close()
}
