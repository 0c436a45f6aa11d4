package faultnet

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/pkg/errors"

	"mallowwind.dev/external/sent"
)

// CutKind says what a cut path does to connections.
type CutKind uint8

// The kinds of a cut.
const (
	// CutResets resets open connections and refuses new ones.
	CutResets CutKind = iota
	// CutHangs holds back all traffic of open connections until the path is restored. New
	// connections are never established.
	CutHangs
	// CutRefusesNew leaves open connections as they are and refuses new ones.
	CutRefusesNew
)

// Path is the network path between one client and a set of servers, which can be cut and restored.
// The servers and the paths of other clients are not affected.
type Path struct {
	dial sent.DialFunc

	mu       sync.Mutex
	cut      bool
	kind     CutKind
	only     []string      // the addresses that are cut off; empty for all
	restored chan struct{} // closed while the path is not cut
	conns    map[*pathConn]struct{}
}

// NewPath returns a path that is not cut and on which dial opens connections.
func NewPath(dial sent.DialFunc) *Path {
	restored := make(chan struct{})
	close(restored)
	return &Path{dial: dial, restored: restored, conns: map[*pathConn]struct{}{}}
}

// Dial opens a connection over the path.
func (p *Path) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	p.mu.Lock()
	cut, kind := p.isCut(address), p.kind
	p.mu.Unlock()
	switch {
	case cut && kind == CutHangs:
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
	case cut:
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	}
	inner, err := p.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &pathConn{Conn: inner, path: p, address: address, closed: make(chan struct{})}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = struct{}{}
	return c, nil
}

// isCut reports whether the path to an address is cut. The caller holds p.mu.
func (p *Path) isCut(address string) bool {
	return p.cut && (len(p.only) == 0 || slices.Contains(p.only, address))
}

// Cut cuts the path to all servers or, if addresses are given, to those.
func (p *Path) Cut(kind CutKind, addresses ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut, p.kind, p.only = true, kind, addresses
	switch kind {
	case CutHangs:
		p.restored = make(chan struct{})
	case CutResets:
		for c := range p.conns {
			if p.isCut(c.address) {
				c.reset()
			}
		}
	case CutRefusesNew:
	}
}

// Restore reverts Cut.
func (p *Path) Restore() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut && p.kind == CutHangs {
		close(p.restored)
	}
	p.cut = false
}

func (p *Path) remove(c *pathConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// pathConn is the client side of a connection over a path.
type pathConn struct {
	net.Conn
	path      *Path
	address   string
	closed    chan struct{}
	closeOnce sync.Once
	wasReset  atomic.Bool
}

// waitRestored blocks while the path to the server hangs. It fails once the connection is closed.
func (c *pathConn) waitRestored() error {
	c.path.mu.Lock()
	hangs, restored := c.path.isCut(c.address), c.path.restored
	c.path.mu.Unlock()
	if !hangs {
		return nil
	}
	select {
	case <-restored:
		return nil
	case <-c.closed:
		return net.ErrClosed
	}
}

// reset closes the connection; reads and writes then fail as after a reset by the network.
func (c *pathConn) reset() {
	c.wasReset.Store(true)
	_ = c.Conn.Close() // the other end sees the close, whatever the result
}

// cause returns the error of a reset in place of the one that its close led to.
func (c *pathConn) cause(err error) error {
	if err != nil && c.wasReset.Load() {
		return errors.Wrap(syscall.ECONNRESET, "faultnet")
	}
	return err
}

// Read implements net.Conn.
func (c *pathConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if pathErr := c.waitRestored(); pathErr != nil {
		return 0, pathErr
	}
	return n, c.cause(err)
}

// Write implements net.Conn.
func (c *pathConn) Write(b []byte) (int, error) {
	if err := c.waitRestored(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	return n, c.cause(err)
}

// Close implements net.Conn.
func (c *pathConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.path.remove(c)
	return c.Conn.Close()
}
