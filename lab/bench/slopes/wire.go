package slopes

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"
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
	return &countedConn{Conn: conn, bytes: &c.bytes}, err
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
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
