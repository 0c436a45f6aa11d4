package process

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/external/sent"
)

// linkMode is how a proxy treats connections and data.
type linkMode uint8

const (
	linkPass    linkMode = iota
	linkReset            // new connections are reset
	linkSilent           // new connections are accepted, and no data passes
	linkOneWay           // requests pass, responses do not
	linkSlow             // each read is delayed
	linkRefused          // the port is closed, as after a process has exited
	linkClosed           // the port is closed, and open connections live on
)

// slowLinkDelay is the delay of each read on a slow link.
const slowLinkDelay = 40 * time.Millisecond

// proxy forwards TCP connections to one address and injects link faults.
type proxy struct {
	listenAddress             string
	requestPath, responsePath []*linkDirection // simulated links on the way; may be empty
	mu                        sync.Mutex
	listener                  net.Listener // nil while connections are refused
	target                    string
	mode                      linkMode
	conns                     map[*proxiedConn]struct{}
	disturbed                 disturbances // times in another mode than linkPass
}

// proxiedConn is a client connection with its upstream connection. Reads of both tell an end in order from
// a reset, so that the proxy passes each on as what it is.
type proxiedConn struct {
	client, upstream *sent.Conn
	mode             linkMode // guarded by the proxy's mutex
}

// newProxy listens on address and forwards connections to target.
func newProxy(address, target string) (*proxy, error) { return newProxyVia(address, target, nil, nil) }

// newProxyVia is newProxy for connections that pass simulated links.
func newProxyVia(address, target string, requestPath, responsePath []*linkDirection) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "proxy")
	}
	p := &proxy{listenAddress: l.Addr().String(), listener: l, target: target, requestPath: requestPath, responsePath: responsePath, conns: map[*proxiedConn]struct{}{}}
	go p.accept(l)
	return p, nil
}

func (p *proxy) address() string { return p.listenAddress }

func (p *proxy) accept(l net.Listener) {
	for {
		client, err := l.Accept()
		if err != nil {
			return // listener closed
		}
		go p.serve(client)
	}
}

func (p *proxy) serve(client net.Conn) {
	p.mu.Lock()
	mode, target := p.mode, p.target
	p.mu.Unlock()
	if mode == linkReset {
		reset(client)
		return
	}
	upstream, err := net.Dial("tcp", target)
	if err != nil {
		reset(client)
		return
	}
	c := &proxiedConn{client: sent.NewConn(client), upstream: sent.NewConn(upstream), mode: mode}
	p.mu.Lock()
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	p.forwardBoth(c)
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// forwardBoth copies data both ways until the connection has ended.
func (p *proxy) forwardBoth(c *proxiedConn) {
	var directions sync.WaitGroup
	if len(p.requestPath) == 0 {
		directions.Go(func() { p.forward(c, c.client, c.upstream, false) })
		directions.Go(func() { p.forward(c, c.upstream, c.client, true) })
		directions.Wait()
		return
	}
	directions.Go(func() { forwardVia(c.client, c.upstream, p.requestPath) })
	directions.Go(func() { forwardVia(c.upstream, c.client, p.responsePath) })
	directions.Wait()
	_ = c.client.Close() // all data has been delivered
	_ = c.upstream.Close()
}

// forward copies data one way until a connection closes. A silent link reads on and drops the data.
func (p *proxy) forward(c *proxiedConn, from, to net.Conn, isResponse bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		p.mu.Lock()
		mode := c.mode
		p.mu.Unlock()
		if mode == linkSlow {
			time.Sleep(slowLinkDelay)
		}
		dropped := mode == linkSilent || mode == linkOneWay && isResponse
		if n > 0 && !dropped {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			if dropped {
				return // the other end does not learn of it
			}
			if half, ok := tcpConn(to); ok && errors.Is(err, io.EOF) {
				_ = half.CloseWrite() // fails only if the peer has closed
				return
			}
			reset(from)
			reset(to)
			return
		}
	}
}

// setMode changes the treatment of new and open connections. Open connections that were silent or
// one-way stay so until they are reset.
func (p *proxy) setMode(mode linkMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	if mode == linkPass {
		p.disturbed.end()
	} else {
		p.disturbed.begin()
	}
	p.setListening(mode != linkRefused && mode != linkClosed)
	for c := range p.conns {
		switch {
		case mode == linkReset || mode == linkRefused:
			reset(c.client)
			reset(c.upstream)
		case c.mode != linkSilent && c.mode != linkOneWay:
			c.mode = mode
		}
	}
}

// setListening opens or closes the port. The caller holds p.mu.
func (p *proxy) setListening(open bool) {
	switch {
	case open && p.listener == nil:
		l, err := net.Listen("tcp", p.listenAddress)
		if err != nil {
			return // connections are refused until the next change of mode
		}
		p.listener = l
		go p.accept(l)
	case !open && p.listener != nil:
		_ = p.listener.Close() // the port is closed either way
		p.listener = nil
	}
}

// resetConns resets all open connections.
func (p *proxy) resetConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c.client)
		reset(c.upstream)
	}
}

func (p *proxy) close() {
	p.mu.Lock()
	p.setListening(false)
	p.mu.Unlock()
	p.resetConns()
}

// reset closes a connection so that its peer sees a TCP reset.
func reset(c net.Conn) {
	if tcp, ok := tcpConn(c); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is closed
	}
	_ = c.Close()
}

// tcpConn returns the TCP connection of c.
func tcpConn(c net.Conn) (conn *net.TCPConn, ok bool) {
	if counted, isCounted := c.(*sent.Conn); isCounted {
		c = counted.Conn
	}
	conn, ok = c.(*net.TCPConn)
	return conn, ok
}
