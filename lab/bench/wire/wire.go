// Package wire counts the bytes that connections carry in both directions, including HTTP headers and
// excluding TCP and IP headers.
package wire

import (
	"net"
	"sync/atomic"
)

// Count wraps c in a connection that adds the number of bytes read and written to bytes.
func Count(c net.Conn, bytes *atomic.Int64) net.Conn { return &conn{Conn: c, bytes: bytes} }

type conn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}
