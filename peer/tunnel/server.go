package tunnel

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/external/sent"
)

const (
	// bufferBytes is the size of the buffer of each direction. It holds some tens of events, and it
	// bounds what a slow end keeps in the memory of the daemon between.
	bufferBytes = 4 << 10
	// maxTunnels bounds the tunnels that a daemon carries at a time. With both buffers and their
	// goroutines that is about 15 MB and a quarter of the descriptors of a small VM.
	maxTunnels = 512
	// drainTime is how long bytes of the caller are still read after the server's connection has
	// ended. Closing a connection with unread bytes resets it, and the last bytes of the answer
	// could be lost.
	drainTime = time.Second
)

// Options configure a Server.
type Options struct {
	// Address returns the address of the backend server with an id. Tunnels lead nowhere else.
	Address func(id string) (address string, known bool)
	// Dial connects to a server directly, never through a peer: a tunnel has one hop.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// IsPathLost reports whether this daemon has no path to servers itself.
	IsPathLost func() bool
	// OnEnd is called with each request for a tunnel, at its end.
	OnEnd func(Ended)
}

// Ended describes a request for a tunnel that has ended.
type Ended struct {
	Caller, Request, Server string
	Refusal                 Refusal // empty if the tunnel was opened
	Err                     error   // why it was refused, or how its bytes ended; nil after a clean end
	Took                    time.Duration
}

// Server opens tunnels for other daemons.
type Server struct {
	opts     Options
	active   atomic.Int64
	shutdown atomic.Pointer[ShutdownSchedule] // nil unless the daemon is shutting down
}

// ShutdownSchedule says which tunnels are still opened during a graceful shutdown.
type ShutdownSchedule struct {
	// StreamsUntil is until when tunnels for streams are opened. Later ones would be cut at the exit.
	StreamsUntil time.Time
	// RequestsUntil is until when other tunnels are opened.
	RequestsUntil time.Time
}

// accepts reports whether a tunnel is still opened.
func (s *ShutdownSchedule) accepts(now time.Time, stream bool) bool {
	if stream {
		return now.Before(s.StreamsUntil)
	}
	return now.Before(s.RequestsUntil)
}

// NewServer returns a Server, which is an http.Handler for Path.
func NewServer(o Options) *Server { return &Server{opts: o} }

// Active returns the number of tunnels that are open or being opened.
func (s *Server) Active() int { return int(s.active.Load()) }

// BeginShutdown makes the server refuse new tunnels as scheduled.
func (s *Server) BeginShutdown(schedule ShutdownSchedule) { s.shutdown.Store(&schedule) }

// refusesLate reports whether the daemon is shutting down and no longer opens a tunnel.
func (s *Server) refusesLate(r *http.Request) bool {
	schedule := s.shutdown.Load()
	return schedule != nil && !schedule.accepts(time.Now(), r.Header.Get(headerStream) != "")
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	ended := Ended{Caller: r.Header.Get(headerCaller), Request: r.Header.Get(headerRequest), Server: r.Header.Get(headerServer)}
	defer func() {
		ended.Took = time.Since(started)
		s.opts.OnEnd(ended)
	}()
	active := s.active.Add(1)
	defer s.active.Add(-1)
	address, refusal := s.check(r, active)
	if ended.Refusal = refusal; refusal != "" {
		s.refuse(w, refusal)
		return
	}
	server, err := s.dial(r, address)
	if err != nil {
		ended.Refusal, ended.Err = refusalOf(r.Context(), err), err
		s.refuse(w, ended.Refusal)
		return
	}
	defer server.Close()
	ended.Err = s.carry(w, server)
}

// check returns the address of the server that a request names, or why a tunnel is refused without an
// attempt to connect.
func (s *Server) check(r *http.Request, active int64) (address string, refusal Refusal) {
	switch {
	case r.Header.Get("Upgrade") != protocol:
		return "", Invalid
	case s.refusesLate(r):
		return "", Leaving
	case active > maxTunnels:
		return "", Busy
	case s.opts.IsPathLost():
		return "", PathLost
	}
	address, known := s.opts.Address(r.Header.Get(headerServer))
	if !known {
		return "", UnknownServer
	}
	return address, ""
}

// dial connects to a server for a request. The reads of the connection tell its clean end from a reset
// whose error a write of copyFrom takes.
func (s *Server) dial(r *http.Request, address string) (net.Conn, error) {
	wait := MaxWait
	if ms, err := strconv.Atoi(r.Header.Get(headerWait)); err == nil {
		wait = min(max(0, time.Duration(ms)*time.Millisecond), MaxWait)
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	conn, err := s.opts.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return sent.NewConn(conn), nil
}

// refusalOf classifies the failure of a connection to a server, for a request with the given context.
func refusalOf(ctx context.Context, err error) Refusal {
	switch {
	case ctx.Err() != nil:
		return Abandoned
	case sent.IsTimeout(err):
		return ServerSilent
	}
	return ServerRefused
}

func (s *Server) refuse(w http.ResponseWriter, reason Refusal) {
	w.Header().Set(headerRefusal, string(reason))
	w.WriteHeader(http.StatusBadGateway)
}

// carry upgrades the connection of a request and passes on the bytes of both directions until one of
// them ends.
func (s *Server) carry(w http.ResponseWriter, server net.Conn) error {
	caller, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return errors.Wrap(err, "upgrade")
	}
	defer caller.Close()
	if _, err := io.WriteString(caller, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: "+protocol+"\r\n\r\n"); err != nil {
		return errors.Wrap(err, "upgrade")
	}
	callerDone := make(chan struct{})
	go func() {
		defer close(callerDone)
		defer server.Close() // the server ends the run of a caller that has left
		copyFrom(server, buffered.Reader)
	}()
	err = copyChunks(caller, server)
	if err == nil {
		// A failure means that the connection is closed already.
		_ = caller.SetReadDeadline(time.Now().Add(drainTime))
		<-callerDone
		return nil
	}
	_ = caller.Close() // ends the copy of the other direction; a second close reports that it is closed
	<-callerDone
	if errors.Is(err, net.ErrClosed) || errors.Is(err, io.ErrClosedPipe) {
		return nil // closed here, because the caller had left
	}
	return err
}

// copyFrom copies the caller's bytes to the server until the caller's connection ends. What the
// server does not take any more is discarded.
func copyFrom(server io.Writer, caller io.Reader) {
	buf := make([]byte, bufferBytes)
	writable := true
	for {
		n, err := caller.Read(buf)
		if writable && n > 0 {
			_, writeErr := server.Write(buf[:n])
			writable = writeErr == nil
		}
		if err != nil {
			return
		}
	}
}

// copyChunks copies the server's bytes to the caller in chunks. It ends them with a last chunk if
// the server's connection ends cleanly, and returns an error otherwise.
func copyChunks(caller io.Writer, server io.Reader) error {
	out := bufio.NewWriterSize(caller, bufferBytes+chunkOverheadBytes)
	chunks := httputil.NewChunkedWriter(out)
	buf := make([]byte, bufferBytes)
	for {
		n, err := server.Read(buf)
		if n > 0 {
			if _, writeErr := chunks.Write(buf[:n]); writeErr != nil {
				return errors.Wrap(writeErr, "write to the caller")
			}
		}
		if err == io.EOF {
			_ = chunks.Close() // a failure to write is reported by Flush
		}
		if flushErr := out.Flush(); flushErr != nil {
			return errors.Wrap(flushErr, "write to the caller")
		}
		switch err {
		case nil:
		case io.EOF:
			return nil
		default:
			return errors.Wrap(err, "read from the server")
		}
	}
}

// chunkOverheadBytes is the space for the length and the line ends of a chunk.
const chunkOverheadBytes = 16
