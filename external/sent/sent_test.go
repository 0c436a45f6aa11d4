package sent_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"mallowwind.dev/external/sent"
)

// brokenConn accepts n bytes and then closes and fails.
type brokenConn struct {
	net.Conn
	n int
}

func (c *brokenConn) Write(p []byte) (int, error) {
	if len(p) <= c.n {
		c.n -= len(p)
		return len(p), nil
	}
	_ = c.Close()
	return c.n, io.ErrClosedPipe
}

// post sends a request with large headers over a connection of dial, expects it to fail and returns
// its probe.
func post(t *testing.T, dial sent.DialFunc) *sent.Probe {
	ctx, probe := sent.WithProbe(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://there/", nil)
	must.NoError(t, err)
	sent.SetBody(req, []byte("body"))
	req.Header.Set("Large", strings.Repeat("x", 64<<10))
	resp, err := (&http.Transport{DialContext: dial, DisableKeepAlives: true}).RoundTrip(req)
	if resp != nil {
		_ = resp.Body.Close()
	}
	must.Error(t, err)
	return probe
}

func pipe(wrap func(net.Conn) net.Conn) sent.DialFunc {
	return func(context.Context, string, string) (net.Conn, error) {
		client, server := net.Pipe()
		go func() { _, _ = io.CopyN(io.Discard, server, 1); _ = server.Close() }()
		return wrap(client), nil
	}
}

// The connection breaks after part of the headers was written and before any write hook of httptrace
// was called. The server may have received part of the request, so it counts as sent.
func TestPartialHeadersCountAsSent(t *testing.T) {
	dial := sent.CountingDial(pipe(func(c net.Conn) net.Conn { return &brokenConn{c, 8 << 10} }))
	must.False(t, post(t, dial).NothingSent())
}

func TestRefusedDialSendsNothing(t *testing.T) {
	refused := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }
	must.True(t, post(t, refused).NothingSent())
}

// The transport does not wrap its connections in Conn. The probe cannot tell whether bytes were
// written and must not report that nothing was sent.
func TestUncountedConnectionCountsAsSent(t *testing.T) {
	must.False(t, post(t, pipe(func(c net.Conn) net.Conn { return c })).NothingSent())
}

// recordingConn records the bytes written.
type recordingConn struct {
	net.Conn
	written []byte
}

func (c *recordingConn) Write(p []byte) (int, error) {
	c.written = append(c.written, p...)
	return len(p), nil
}

// A request is abandoned before the transport has written it. Once the probe has reported that
// nothing was sent, that pending write must fail; otherwise the report would become false.
func TestSealedConnectionRejectsLateWrite(t *testing.T) {
	inner := &recordingConn{}
	c := sent.NewConn(inner)
	ctx, probe := sent.WithProbe(t.Context())
	gotConn(ctx, c)
	must.True(t, probe.NothingSent())
	_, err := c.Write([]byte("late"))
	must.ErrorIs(t, err, sent.ErrSealed)
	must.SliceEmpty(t, inner.written)
}

// gotConn reports c to the probe in ctx as the connection in use, as http.Transport does.
func gotConn(ctx context.Context, c net.Conn) {
	httptrace.ContextClientTrace(ctx).GotConn(httptrace.GotConnInfo{Conn: c})
}
