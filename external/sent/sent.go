// Package sent sends HTTP requests to other processes. It determines whether any byte of a failed request
// was written, and whether a response is valid and complete.
//
// A request of which no byte was written can be retried safely; any other may have run on the server. Conn
// counts the bytes written to a connection, and a Probe in the request's context reads the count of the
// connection that the request used. The hooks of httptrace alone are not sufficient: a connection can break
// after part of the headers was written and before any write hook is called.
//
// A Transport returns only responses whose heads are valid, and its connections end with io.EOF only if the
// server has ended them in order.
package sent

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"

	"github.com/pkg/errors"
)

// ErrSealed is returned by a write to a connection on which Probe.NothingSent reported true.
var ErrSealed = errors.New("sent: connection sealed")

// DialFunc has the signature of http.Transport.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Conn counts the bytes passed to the underlying connection, tells an end in order from a reset, and checks
// the heads of responses that a Transport expects.
type Conn struct {
	net.Conn
	writing  sync.RWMutex // held for reading during each write
	mu       sync.Mutex
	written  int64
	sealed   bool
	writeErr error // of the first write that the system failed
	head     headChecker
}

// NewConn wraps c.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Write implements net.Conn. It counts the bytes before it writes them, so that a write in progress
// is included.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.RLock()
	defer c.writing.RUnlock()
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, ErrSealed
	}
	c.written += int64(len(p))
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.recordWriteError(err)
	return n, err
}

func (c *Conn) bytesWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// sealIfUnwritten reports whether nothing was written since the byte count was since. If so, every
// later write fails with ErrSealed: otherwise a write that the transport still has pending could
// reach the server after the caller was told that nothing was sent.
func (c *Conn) sealIfUnwritten(since int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written != since {
		return false
	}
	c.sealed = true
	return true
}

// CountingDial returns a DialFunc that wraps the connections of dial in Conn.
func CountingDial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
}

// Probe records the connections that one request used.
type Probe struct {
	mu   sync.Mutex
	uses []connUse
}

type connUse struct {
	conn          *Conn // nil if the connection is not a Conn
	writtenBefore int64
}

// WithProbe returns a context for one request and the Probe that observes that request.
func WithProbe(ctx context.Context) (context.Context, *Probe) {
	p := &Probe{}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: p.gotConn}), p
}

func (p *Probe) gotConn(info httptrace.GotConnInfo) {
	c := info.Conn
	if t, ok := c.(interface{ NetConn() net.Conn }); ok { // TLS
		c = t.NetConn()
	}
	u := connUse{}
	if counting, ok := c.(*Conn); ok {
		u = connUse{conn: counting, writtenBefore: counting.bytesWritten()}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.uses = append(p.uses, u)
}

// NothingSent reports whether no byte of the request was written and none will be. Call it after the
// request has failed. For a connection that is not a Conn it reports false.
func (p *Probe) NothingSent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range p.uses {
		if u.conn == nil || !u.conn.sealIfUnwritten(u.writtenBefore) {
			return false
		}
	}
	return true
}

// NoRedirect is the CheckRedirect function of clients that must send a request only once.
func NoRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// DialByAddress returns a DialFunc that selects the dialer by address and fails for any other
// address. Tests use it to reach stand-ins without a network.
func DialByAddress(dials map[string]DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		dial, ok := dials[address]
		if !ok {
			return nil, errors.Errorf("sent: no route to %s", address)
		}
		return dial(ctx, network, address)
	}
}
