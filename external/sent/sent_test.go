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

// brokenConn fails its writes after letting n bytes through.
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

// post sends a request with large headers over conn and returns the probe.
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
		here, there := net.Pipe()
		go func() { _, _ = io.CopyN(io.Discard, there, 1); _ = there.Close() }()
		return wrap(here), nil
	}
}

// The headers leave in part and the connection breaks before any hook about
// writing has run. The request may have arrived in part: it was sent.
func TestPartOfTheHeadersCountsAsSent(t *testing.T) {
	dial := sent.CountingDial(pipe(func(c net.Conn) net.Conn { return &brokenConn{c, 8 << 10} }))
	must.False(t, post(t, dial).NothingSent())
}

func TestRefusedDialIsNothing(t *testing.T) {
	refused := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }
	must.True(t, post(t, refused).NothingSent())
}

// A client made elsewhere does not count what it writes. The probe then cannot
// know and does not promise that nothing was sent.
func TestUncountedConnectionCountsAsSent(t *testing.T) {
	must.False(t, post(t, pipe(func(c net.Conn) net.Conn { return c })).NothingSent())
}

// recordingConn keeps what is written.
type recordingConn struct {
	net.Conn
	written []byte
}

func (c *recordingConn) Write(p []byte) (int, error) {
	c.written = append(c.written, p...)
	return len(p), nil
}

// A request is given up on while the transport still has its write before it.
// Once the probe has said that nothing was sent, that write fails, so that the
// word stays true.
func TestSealedConnectionWritesNothingLater(t *testing.T) {
	inner := &recordingConn{}
	c := sent.NewConn(inner)
	ctx, probe := sent.WithProbe(t.Context())
	gotConn(ctx, c)
	must.True(t, probe.NothingSent())
	_, err := c.Write([]byte("late"))
	must.ErrorIs(t, err, sent.ErrSealed)
	must.SliceEmpty(t, inner.written)
}

// gotConn tells the probe in ctx, as the transport does, which connection it took.
func gotConn(ctx context.Context, c net.Conn) {
	httptrace.ContextClientTrace(ctx).GotConn(httptrace.GotConnInfo{Conn: c})
}
