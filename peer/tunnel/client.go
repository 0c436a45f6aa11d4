package tunnel

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/peer/link"
)

// Request describes a tunnel to be opened.
type Request struct {
	Server  string        // id of the server
	Wait    time.Duration // for the connection to the server
	Caller  string        // id of this daemon
	ForCall string        // id of the request for which the tunnel is opened; may be empty
	Stream  bool          // the tunnel carries a stream
}

// Open opens a tunnel over the daemon at a peer address. If that daemon refuses, the error is an
// *Error. Once ctx ends, a tunnel that is not open yet is given up.
func Open(ctx context.Context, dialer *link.Dialer, peerAddress string, r Request) (net.Conn, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, dialer.URL(peerAddress)+Path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "tunnel")
	}
	req.Header.Set("Connection", "Upgrade")
	req.Header.Set("Upgrade", protocol)
	req.Header.Set(headerServer, r.Server)
	req.Header.Set(headerWait, strconv.FormatInt(r.Wait.Milliseconds(), 10))
	req.Header.Set(headerCaller, r.Caller)
	req.Header.Set(headerRequest, r.ForCall)
	if r.Stream {
		req.Header.Set(headerStream, "1")
	}
	resp, err := dialer.Client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "tunnel")
	}
	stream, upgraded := resp.Body.(io.ReadWriteCloser)
	if resp.StatusCode != http.StatusSwitchingProtocols || !upgraded {
		resp.Body.Close()
		if refusal := resp.Header.Get(headerRefusal); refusal != "" {
			return nil, &Error{Refusal: Refusal(refusal)}
		}
		return nil, errors.Wrapf(errNotUpgraded, "status %d", resp.StatusCode)
	}
	return &conn{stream: stream, chunks: httputil.NewChunkedReader(bufio.NewReaderSize(stream, bufferBytes)), server: serverID(r.Server)}, nil
}

// conn is the end of a tunnel at the daemon that opened it.
type conn struct {
	stream io.ReadWriteCloser
	chunks io.Reader
	server serverID
}

// Read implements net.Conn. It returns io.EOF only after a clean end of the server's connection.
func (c *conn) Read(p []byte) (int, error) { return c.chunks.Read(p) }

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) { return c.stream.Write(p) }

// Close implements net.Conn. The other daemon closes the connection to the server.
func (c *conn) Close() error { return c.stream.Close() }

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return serverID("") }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.server }

// errNoDeadlines means that a tunnel has no deadlines; those of requests come from their contexts.
var errNoDeadlines = errors.New("tunnel: no deadlines")

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(time.Time) error { return errNoDeadlines }

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(time.Time) error { return errNoDeadlines }

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(time.Time) error { return errNoDeadlines }

// serverID names the server behind a tunnel in place of an address.
type serverID string

// Network implements net.Addr.
func (serverID) Network() string { return "tunnel" }

// String implements net.Addr.
func (id serverID) String() string { return string(id) }
