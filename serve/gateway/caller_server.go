package gateway

import (
	"context"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/routing"
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

// callerServer accepts connections of callers and serves them within the limits of the
// configuration. net/http reads its limits without a lock, so a change of the limits starts a new
// server for later connections; open connections keep the limits with which they were opened.
type callerServer struct {
	listener net.Listener
	handler  http.Handler
	log      *event.Log
	errorLog *log.Logger
	mu       sync.Mutex
	current  *connListener
	servers  []*http.Server
	limits   routing.Limits
	closed   bool
}

// connListener is a net.Listener whose connections come from callerServer.accept.
type connListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
	addr  net.Addr
}

// Accept implements net.Listener.
func (l *connListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *connListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *connListener) Addr() net.Addr { return l.addr }

func newCallerServer(l net.Listener, handler http.Handler, events *event.Log, errorLog *log.Logger) *callerServer {
	c := &callerServer{listener: l, handler: handler, log: events, errorLog: errorLog}
	c.apply(routing.Limits{})
	return c
}

// apply starts a server with new limits for later connections. It is called at the start and by
// watchLimits.
func (c *callerServer) apply(limits routing.Limits) {
	s := &http.Server{
		Handler: c.handler, ErrorLog: c.errorLog,
		ReadHeaderTimeout: valueOrDefault(limits.HeaderTimeout, defaultHeaderTimeout),
		IdleTimeout:       valueOrDefault(limits.IdleTimeout, defaultIdleTimeout),
		MaxHeaderBytes:    valueOrDefault(limits.HeaderBytes, defaultMaxHeaderBytes),
	}
	l := &connListener{conns: make(chan net.Conn), done: make(chan struct{}), addr: c.listener.Addr()}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.current, c.limits = l, limits
	c.servers = append(c.servers, s)
	go func() {
		if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			c.log.Emit(event.ListenerFailed, c.listener.Addr().String(), err)
		}
	}()
}

// valueOrDefault returns value, or defaultValue if value is not positive.
func valueOrDefault[T time.Duration | int](value, defaultValue T) T {
	if value > 0 {
		return value
	}
	return defaultValue
}

// watchLimits applies changes of the configured limits until ctx is done.
func (c *callerServer) watchLimits(ctx context.Context, source *feed.Manager) {
	for ctx.Err() == nil {
		changed := source.ControlChanged()
		if cfg := source.View().Config; cfg != nil && !equalServerLimits(cfg.Limits, c.limits) {
			c.apply(cfg.Limits)
			c.log.Emit(event.LimitsInForce, cfg.Version, cfg.Limits.HeaderBytes, cfg.Limits.HeaderTimeout, cfg.Limits.IdleTimeout)
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// equalServerLimits reports whether a and b are equal except for the limit on bodies, which the
// handler enforces.
func equalServerLimits(a, b routing.Limits) bool {
	a.BodyBytes, b.BodyBytes = 0, 0
	return a == b
}

// accept passes connections to the current server until the listener is closed.
func (c *callerServer) accept() {
	for {
		conn, err := c.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			// The usual cause is a lack of file descriptors; connections that end free some.
			c.log.Emit(event.ListenerFailed, c.listener.Addr().String(), err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		c.dispatch(conn)
	}
}

func (c *callerServer) dispatch(conn net.Conn) {
	c.mu.Lock()
	l := c.current
	c.mu.Unlock()
	select {
	case l.conns <- conn:
	case <-l.done:
		conn.Close()
	}
}

// Close closes the listener and all connections.
func (c *callerServer) Close() error {
	firstErr := c.listener.Close()
	c.mu.Lock()
	c.closed = true
	servers := c.servers
	c.mu.Unlock()
	for _, s := range servers {
		if err := s.Close(); err != nil && firstErr == nil {
			firstErr = err
		}
	}
	return errors.Wrap(firstErr, "close")
}
