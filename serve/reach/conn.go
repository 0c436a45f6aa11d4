package reach

import (
	"net"
	"sync"
)

// relayedConn is a connection through a peer, counted until it is closed.
type relayedConn struct {
	net.Conn
	d     *Dialer
	peer  string
	ended sync.Once
}

// Close implements net.Conn.
func (c *relayedConn) Close() error {
	c.ended.Do(func() { c.d.endPeer(c.peer) })
	return c.Conn.Close()
}
