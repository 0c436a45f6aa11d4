package stand

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// errUnreachable is returned when a VM that is cut off dials.
var errUnreachable = errors.New("stand: no route from a VM that is cut off")

// gate controls the traffic of the connections that a VM dials, or of those dialed from
// one availability zone to another. While it is blocked nothing passes and no
// error is reported, as with lost packets.
type gate struct {
	mu   sync.Mutex
	open chan struct{} // closed while the gate is not blocked
	cut  bool          // dials fail at once
}

func newGate() *gate {
	g := &gate{open: make(chan struct{})}
	close(g.open)
	return g
}

func (g *gate) block() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.open:
		g.open = make(chan struct{})
	default:
	}
}

func (g *gate) unblock() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.open:
	default:
		close(g.open)
	}
}

func (g *gate) setCut(cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut = cut
}

func (g *gate) isCut() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cut
}

func (g *gate) unblocked() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

// location is a VM id and its zone.
type location struct{ id, zone string }

// gateOf returns the gate with a name. It creates it unblocked if needed.
func (f *fabric) gateOf(name string) *gate {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.gates[name]
	if g == nil {
		g = newGate()
		f.gates[name] = g
	}
	return g
}

func vmGate(id string) string          { return "vm " + id }
func zonesGate(from, to string) string { return "zones " + from + " " + to }
func (f *fabric) locationOf(a string) location {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.locations[a]
}

// dialFrom returns a dial function for a VM. Its connections pass the VM's gate and, if the
// address is in another zone, the gate from the VM's zone to that zone.
func (f *fabric) dialFrom(from location) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		gates := []*gate{f.gateOf(vmGate(from.id))}
		if to := f.locationOf(address); to.zone != "" && to.zone != from.zone {
			gates = append(gates, f.gateOf(zonesGate(from.zone, to.zone)))
		}
		for _, g := range gates {
			if g.isCut() {
				return nil, errUnreachable
			}
			select {
			case <-g.unblocked():
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		inner, err := f.dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := &gatedConn{Conn: inner, gates: gates, closed: make(chan struct{})}
		c.forget = f.track(from.id, c)
		return c, nil
	}
}

// track records an open connection of a VM and returns a function that removes the record.
func (f *fabric) track(id string, c *gatedConn) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dialed[id] == nil {
		f.dialed[id] = make(map[*gatedConn]struct{})
	}
	f.dialed[id][c] = struct{}{}
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.dialed[id], c)
	}
}

// reset closes every connection that a VM has dialed.
func (f *fabric) reset(id string) {
	f.mu.Lock()
	conns := f.dialed[id]
	delete(f.dialed, id)
	f.mu.Unlock()
	for c := range conns {
		_ = c.Conn.Close() // the VM gets the error at its next read or write
	}
}

// gatedConn is the dialing end of a connection that passes through gates.
type gatedConn struct {
	net.Conn
	gates  []*gate
	forget func()
	once   sync.Once
	closed chan struct{}
}

// pass waits until no gate is blocked or the connection is closed.
func (c *gatedConn) pass() error {
	for _, g := range c.gates {
		select {
		case <-g.unblocked():
		case <-c.closed:
			return net.ErrClosed
		}
	}
	return nil
}

// Read implements net.Conn.
func (c *gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if perr := c.pass(); perr != nil {
		return 0, perr
	}
	return n, err
}

// Write implements net.Conn.
func (c *gatedConn) Write(p []byte) (int, error) {
	if err := c.pass(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. The connection is closed for the other end once the gates are unblocked.
func (c *gatedConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.forget()
		go func() {
			for _, g := range c.gates {
				<-g.unblocked()
			}
			_ = c.Conn.Close() // the connection is no longer used
		}()
	})
	return nil
}
