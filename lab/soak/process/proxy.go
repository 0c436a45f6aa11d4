package process

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// linkMode is how a proxy treats what passes.
type linkMode uint8

const (
	linkPass    linkMode = iota
	linkReset            // new connections are reset
	linkSilent           // new connections are taken and nothing passes
	linkOneWay           // requests pass and answers do not
	linkSlow             // each read waits
	linkRefused          // nobody listens, as where a process has ended
)

// slowLinkDelay is the delay of a slow link for each read.
const slowLinkDelay = 40 * time.Millisecond

// proxy passes TCP connections on to one address and misbehaves on demand.
type proxy struct {
	listenAddress             string           // address
	requestPath, responsePath []*linkDirection // that requests and answers pass, where there are any
	mu                        sync.Mutex
	listener                  net.Listener // nil while connections are refused
	target                    string
	mode                      linkMode
	conns                     map[*proxiedConn]struct{}
}

// proxiedConn is one connection and its other half.
type proxiedConn struct {
	client, upstream net.Conn
	mode             linkMode // guarded by the proxy's mutex
}

// newProxy listens at address and passes connections on to target.
func newProxy(address, target string) (*proxy, error) { return newProxyVia(address, target, nil, nil) }

// newProxyVia is newProxy for connections that pass lanes.
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
			return // closed
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
	c := &proxiedConn{client: client, upstream: upstream, mode: mode}
	p.mu.Lock()
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	p.forwardBoth(c)
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// forwardBoth copies both ways until the connection has ended.
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
	_ = c.client.Close() // all has arrived
	_ = c.upstream.Close()
}

// forward copies one way until an end closes. A silent way reads on and drops.
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
				return // the other end hears nothing of it
			}
			if half, ok := to.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
				_ = half.CloseWrite() // the other end may be gone already
				return
			}
			reset(from)
			reset(to)
			return
		}
	}
}

// setMode changes what happens to new connections, and to those that are open; after
// a silence open ones stay silent for good.
func (p *proxy) setMode(mode linkMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	p.setListening(mode != linkRefused)
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

// setListening opens or closes the port. It is called under the lock.
func (p *proxy) setListening(open bool) {
	switch {
	case open && p.listener == nil:
		l, err := net.Listen("tcp", p.listenAddress)
		if err != nil {
			return // connections are refused until the next change
		}
		p.listener = l
		go p.accept(l)
	case !open && p.listener != nil:
		_ = p.listener.Close() // it has no other end
		p.listener = nil
	}
}

// resetConns resets the connections that are open.
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

// reset closes a connection so that its other end sees a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // a closed connection needs none
	}
	_ = c.Close()
}
