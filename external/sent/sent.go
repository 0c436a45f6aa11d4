// Package sent establishes one fact about a failed HTTP request: whether any
// byte of it was written. A connection counts what is written to it, and a
// Probe on the request's context reads the count of the connection used.
//
// The hooks of httptrace alone do not suffice: a connection may break after a
// part of the headers left and before any of the hooks about writing runs.
package sent

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrSealed is what a write gets on a connection that was declared unwritten.
var ErrSealed = errors.New("sent: connection sealed")

// DialFunc is the DialContext of an http.Transport.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Conn counts the bytes handed to the underlying connection.
type Conn struct {
	net.Conn
	mu      sync.Mutex
	written int64
	sealed  bool
}

// NewConn wraps c.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Write counts before it writes, so that a write in progress counts as one.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, ErrSealed
	}
	c.written += int64(len(p))
	c.mu.Unlock()
	return c.Conn.Write(p)
}

func (c *Conn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal reports whether nothing was written since the count stood at since, and
// if so forbids every later write. Without that, a write that the transport
// still had under way could follow the answer "nothing was sent".
func (c *Conn) seal(since int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written != since {
		return false
	}
	c.sealed = true
	return true
}

// CountingDial returns dial with its connections wrapped in Conn.
func CountingDial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
}

// Probe watches one request.
type Probe struct {
	mu   sync.Mutex
	uses []use
}

type use struct {
	conn  *Conn // nil when the connection does not count
	since int64
}

// WithProbe returns a context whose request is watched.
func WithProbe(ctx context.Context) (context.Context, *Probe) {
	p := &Probe{}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: p.gotConn}), p
}

func (p *Probe) gotConn(info httptrace.GotConnInfo) {
	c := info.Conn
	if t, ok := c.(interface{ NetConn() net.Conn }); ok { // TLS
		c = t.NetConn()
	}
	u := use{}
	if counting, ok := c.(*Conn); ok {
		u = use{conn: counting, since: counting.count()}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.uses = append(p.uses, u)
}

// NothingSent reports whether no byte of the request was written and none will be.
// Call it after the request has failed. A connection that does not count is
// taken as written to.
func (p *Probe) NothingSent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range p.uses {
		if u.conn == nil || !u.conn.seal(u.since) {
			return false
		}
	}
	return true
}

// Times of the default transports.
const (
	dialTimeout = 2 * time.Second
	// idleTimeout is short: a connection that went silent while idle shows only
	// when it is used, so none is kept idle for long.
	idleTimeout = 15 * time.Second
	idlePerHost = 4
)

// NewTransport returns a transport that counts what it writes, follows no
// proxy and speaks HTTP/1.1 only. With fresh set, each request has its own
// connection: one that went silent while idle can then not swallow a request,
// and one that the other end just closed can not lose it.
func NewTransport(fresh bool) *http.Transport {
	d := &net.Dialer{Timeout: dialTimeout}
	return NewTransportWith(d.DialContext, fresh)
}

// NewTransportWith is NewTransport with a given dialer.
func NewTransportWith(dial DialFunc, fresh bool) *http.Transport {
	return &http.Transport{
		DialContext:         CountingDial(dial),
		DisableKeepAlives:   fresh,
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// NoRedirect is the CheckRedirect of clients that must send a request once only.
func NoRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// DialByAddress returns a dialer that knows only these addresses, for stand-ins
// reached without a network.
func DialByAddress(dials map[string]DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		dial, ok := dials[address]
		if !ok {
			return nil, errors.Errorf("sent: no route to %s", address)
		}
		return dial(ctx, network, address)
	}
}
