package slopes

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	"mallowwind.dev/lab/bench/wire"
)

// counter counts the bytes of all connections that a listener accepted, in
// both directions, headers included and the frames of TCP and IP left out.
type counter struct {
	net.Listener
	bytes atomic.Int64
}

// Accept implements net.Listener.
func (c *counter) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return wire.Count(conn, &c.bytes), nil
}

// serve starts h on loopback and counts its bytes.
func serve(h http.Handler) (*httptest.Server, *counter) {
	s := httptest.NewUnstartedServer(h)
	c := &counter{Listener: s.Listener}
	s.Listener = c
	s.Config.ReadHeaderTimeout = 10 * time.Second
	s.Start()
	return s, c
}
