// Package faultnet is a listener whose connections fail on demand. Every
// stand-in is served through one, so that a death, a pause or a lost
// connection looks on the wire as it does between machines.
package faultnet

import (
	"context"
	"net"
	"os"
	"sync"

	"github.com/pkg/errors"
)

// ErrRefused is what Dial returns while the listener is cut.
var ErrRefused = errors.New("faultnet: connection refused")

// acceptQueueSize is how many connections of Dial may wait for Accept.
const acceptQueueSize = 128

// Listener hands out connections that it can reset, stall or silence. Over TCP
// it also lets go of its port while cut, so that callers find it refused.
type Listener struct {
	address net.Addr
	accept  chan net.Conn
	closed  chan struct{}
	once    sync.Once

	mu    sync.Mutex
	tcp   net.Listener // nil for Pipe and while cut
	cut   bool
	stall chan struct{} // closed when traffic flows; nil never
	conns map[*conn]struct{}
}

// Listen serves a TCP address.
func Listen(address string) (*Listener, error) {
	t, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	l := newListener(t.Addr())
	l.tcp = t
	go l.acceptTCP(t)
	return l, nil
}

// Pipe returns a listener that is reached by Dial only, within one process and
// without a network.
func Pipe() *Listener {
	return newListener(&net.IPAddr{IP: net.IPv4(127, 0, 0, 1)})
}

func newListener(address net.Addr) *Listener {
	flowing := make(chan struct{})
	close(flowing)
	return &Listener{
		address: address,
		accept:  make(chan net.Conn, acceptQueueSize),
		closed:  make(chan struct{}),
		stall:   flowing,
		conns:   make(map[*conn]struct{}),
	}
}

// acceptTCP moves connections of t into the accept queue until t is closed.
func (l *Listener) acceptTCP(t net.Listener) {
	for {
		c, err := t.Accept()
		if err != nil {
			return
		}
		if l.enqueue(c) != nil {
			_ = c.Close()
		}
	}
}

func (l *Listener) enqueue(inner net.Conn) error {
	l.mu.Lock()
	c := &conn{Conn: inner, owner: l, silent: make(chan struct{}), closed: make(chan struct{})}
	if l.cut {
		l.mu.Unlock()
		return ErrRefused
	}
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	select {
	case l.accept <- c:
		return nil
	case <-l.closed:
		return net.ErrClosed
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return l.address }

// Close implements net.Listener and resets all connections.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	l.Cut()
	return nil
}

// Dial connects within the process; it has the form of http.Transport.DialContext.
func (l *Listener) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	here, there := net.Pipe()
	if err := l.enqueue(there); err != nil {
		return nil, err
	}
	return here, nil
}

// Cut resets every connection and refuses new ones, as a dead process does.
func (l *Listener) Cut() {
	l.mu.Lock()
	l.cut = true
	if l.tcp != nil {
		_ = l.tcp.Close()
		l.tcp = nil
	}
	conns := l.conns
	l.conns = make(map[*conn]struct{})
	l.mu.Unlock()
	for c := range conns {
		c.reset()
	}
}

// Restore listens again after Cut, on the same address.
func (l *Listener) Restore() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.cut {
		return nil
	}
	if _, overTCP := l.address.(*net.TCPAddr); overTCP {
		t, err := net.Listen("tcp", l.address.String())
		if err != nil {
			return errors.Wrap(err, "listen again")
		}
		l.tcp = t
		go l.acceptTCP(t)
	}
	l.cut = false
	return nil
}

// Silence makes every connection open now silent for good: reads wait, writes
// vanish, and the other end sees neither. New connections work.
func (l *Listener) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.silence()
	}
}

// Stall stops traffic on all connections, old and new, until Unstall.
func (l *Listener) Stall() {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.stall:
		l.stall = make(chan struct{})
	default:
	}
}

// Unstall lets traffic go on.
func (l *Listener) Unstall() {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.stall:
	default:
		close(l.stall)
	}
}

func (l *Listener) unstalled() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stall
}

func (l *Listener) removeConn(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// conn is the server's end of one connection.
type conn struct {
	net.Conn
	owner      *Listener
	silent     chan struct{} // closed by Silence
	closed     chan struct{}
	silenceOne sync.Once
	closeOne   sync.Once
}

func (c *conn) silence() { c.silenceOne.Do(func() { close(c.silent) }) }

func (c *conn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

// waitWhileStalled holds traffic while the listener is stalled.
func (c *conn) waitWhileStalled() error {
	select {
	case <-c.owner.unstalled():
		return nil
	case <-c.closed:
		return net.ErrClosed
	}
}

// Read implements net.Conn. What arrives on a silent connection is lost.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	if werr := c.waitWhileStalled(); werr != nil {
		return 0, werr
	}
	if c.isSilent() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn. What is written to a silent connection is lost.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.waitWhileStalled(); err != nil {
		return 0, err
	}
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. A silent connection keeps the other end waiting:
// nothing of the close reaches it.
func (c *conn) Close() error {
	c.closeOne.Do(func() { close(c.closed) })
	c.owner.removeConn(c)
	if c.isSilent() {
		return nil
	}
	return c.Conn.Close()
}

// reset closes at once and throws away what was not yet delivered. A silent
// connection keeps the other end waiting also then.
func (c *conn) reset() {
	if c.isSilent() {
		c.closeOne.Do(func() { close(c.closed) })
		return
	}
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.closeOne.Do(func() { close(c.closed) })
	_ = c.Conn.Close()
}
