package gateway

import (
	"context"
	"log"
	"maps"
	"math"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/serve/forward"
	"mallowwind.dev/telemetry/event"
)

const (
	// acceptRetryDelay is the delay after a failed accept, so that a persistent error does not
	// use up a CPU core. Callers wait one second for a connection.
	acceptRetryDelay = 50 * time.Millisecond
	// defaultIdleTimeout, defaultHeaderTimeout and defaultMaxHeaderBytes apply until the
	// configuration sets the limits.
	defaultIdleTimeout    = 15 * time.Second
	defaultHeaderTimeout  = 5 * time.Second
	defaultMaxHeaderBytes = 16 << 10
)

// callerServer accepts connections of callers and serves their requests. net/http keeps its limits
// for as long as it serves, so it gets none here: each connection applies those of the configuration
// in force.
type callerServer struct {
	http    *http.Server
	handler *forward.Handler
	feed    *feed.Manager
	closing context.Context // done when the server closes

	mu    sync.Mutex
	conns map[*callerConn]struct{} // open connections
}

func newCallerServer(ctx context.Context, handler *forward.Handler, source *feed.Manager, errorLog *log.Logger) *callerServer {
	s := &callerServer{handler: handler, feed: source, closing: ctx, conns: map[*callerConn]struct{}{}}
	s.http = &http.Server{Handler: handler, ErrorLog: errorLog, ConnState: setConnPhase, MaxHeaderBytes: math.MaxInt32}
	return s
}

// callerLimits are the limits that a connection applies.
type callerLimits struct {
	headerBytes                int
	headerTimeout, idleTimeout time.Duration
}

// newCallerLimits returns the limits of a configuration, with defaults for those that it does not
// set. cfg is nil before the first one is known.
func newCallerLimits(cfg *routing.Config) callerLimits {
	var limits routing.Limits
	if cfg != nil {
		limits = cfg.Limits
	}
	return callerLimits{
		headerBytes:   valueOrDefault(limits.HeaderBytes, defaultMaxHeaderBytes),
		headerTimeout: valueOrDefault(limits.HeaderTimeout, defaultHeaderTimeout),
		idleTimeout:   valueOrDefault(limits.IdleTimeout, defaultIdleTimeout),
	}
}

// valueOrDefault returns value, or defaultValue if value is not positive.
func valueOrDefault[T time.Duration | int](value, defaultValue T) T {
	if value > 0 {
		return value
	}
	return defaultValue
}

// limits returns the limits in force.
func (s *callerServer) limits() callerLimits { return newCallerLimits(s.feed.View().Config) }

// watchLimits applies changed time limits to the open connections until the server closes.
func (s *callerServer) watchLimits(events *event.Log) {
	applied := newCallerLimits(nil)
	for s.closing.Err() == nil {
		changed := s.feed.ControlChanged()
		cfg := s.feed.View().Config
		if limits := newCallerLimits(cfg); limits != applied {
			applied = limits
			s.applyTimeLimits()
			events.Emit(event.LimitsInForce, cfg.Version, limits.headerBytes, limits.headerTimeout, limits.idleTimeout)
		}
		select {
		case <-s.closing.Done():
		case <-changed:
		}
	}
}

func (s *callerServer) applyTimeLimits() {
	s.mu.Lock()
	open := slices.Collect(maps.Keys(s.conns))
	s.mu.Unlock()
	for _, c := range open {
		c.applyTimeLimits()
	}
}

// Close closes the listener and all connections.
func (s *callerServer) Close() error { return errors.Wrap(s.http.Close(), "close") }

// callerListener is a net.Listener whose connections apply the limits of a callerServer.
type callerListener struct {
	net.Listener
	server *callerServer
	log    *event.Log
}

// Accept implements net.Listener. It returns only errors that end the listener.
func (l callerListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil {
			return l.server.newConn(conn), nil
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		// The usual cause is a lack of file descriptors; connections that end free some.
		l.log.Emit(event.ListenerFailed, l.Addr().String(), err)
		time.Sleep(acceptRetryDelay)
	}
}

func (s *callerServer) newConn(conn net.Conn) *callerConn {
	c := &callerConn{Conn: conn, server: s}
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	c.begin(readingHeader)
	return c
}

func (s *callerServer) remove(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}
