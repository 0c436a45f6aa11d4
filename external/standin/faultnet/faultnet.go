// Package faultnet provides a listener whose connections fail on demand. Stand-ins are served through
// it, so that a crash, a pause or a lost connection looks to clients as it does between machines.
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

// acceptQueueSize is the number of connections that can wait for Accept.
const acceptQueueSize = 128

// Listener accepts connections that it can reset, stall or silence. Over TCP it also closes its port
// while cut, so that clients get connection refused.
type Listener struct {
	address   net.Addr
	accept    chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once

	mu    sync.Mutex
	tcp   net.Listener // nil for Pipe and while cut
	cut   bool
	stall chan struct{} // closed while traffic is not stalled; never nil
	conns map[*conn]struct{}
}

// Listen returns a Listener on a TCP address.
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

// Pipe returns a Listener that is reached only through Dial, within one process and without a network.
func Pipe() *Listener {
	return newListener(&net.IPAddr{IP: net.IPv4(127, 0, 0, 1)})
}

func newListener(address net.Addr) *Listener {
	unstalled := make(chan struct{})
	close(unstalled)
	return &Listener{
		address: address,
		accept:  make(chan net.Conn, acceptQueueSize),
		closed:  make(chan struct{}),
		stall:   unstalled,
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
	l.closeOnce.Do(func() { close(l.closed) })
	l.Cut()
	return nil
}

// Dial connects within the process. It has the signature of http.Transport.DialContext.
func (l *Listener) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	client, server := net.Pipe()
	if err := l.enqueue(server); err != nil {
		return nil, err
	}
	return client, nil
}

// Cut resets all connections and refuses new ones, as after a crash of the process.
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

// Restore reverts Cut and listens on the same address again.
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

// Silence permanently drops all further traffic on the connections that are currently open: reads
// block, writes are discarded, and the client sees neither data nor a close. New connections work.
func (l *Listener) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.silence()
	}
}

// Stall pauses traffic on all connections, existing and new, until Unstall.
func (l *Listener) Stall() {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.stall:
		l.stall = make(chan struct{})
	default:
	}
}

// Unstall resumes traffic.
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

// conn is the server side of one connection.
type conn struct {
	net.Conn
	owner       *Listener
	silent      chan struct{} // closed by Silence
	closed      chan struct{}
	silenceOnce sync.Once
	closeOnce   sync.Once
}

func (c *conn) silence() { c.silenceOnce.Do(func() { close(c.silent) }) }

func (c *conn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

// waitWhileStalled blocks while the listener is stalled. It fails if the connection is closed.
func (c *conn) waitWhileStalled() error {
	select {
	case <-c.owner.unstalled():
		return nil
	case <-c.closed:
		return net.ErrClosed
	}
}

// Read implements net.Conn. Data that arrives on a silenced connection is discarded.
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

// Write implements net.Conn. Data written to a silenced connection is discarded.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.waitWhileStalled(); err != nil {
		return 0, err
	}
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. The close of a silenced connection does not reach the client, which keeps
// waiting.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.owner.removeConn(c)
	if c.isSilent() {
		return nil
	}
	return c.Conn.Close()
}

// reset closes the connection immediately and discards undelivered data. The reset of a silenced
// connection does not reach the client either.
func (c *conn) reset() {
	if c.isSilent() {
		c.closeOnce.Do(func() { close(c.closed) })
		return
	}
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.closeOnce.Do(func() { close(c.closed) })
	_ = c.Conn.Close()
}
