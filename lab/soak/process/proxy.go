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

// slowBy is the delay of a slow link for each read.
const slowBy = 40 * time.Millisecond

// proxy passes TCP connections on to one address and misbehaves on demand.
type proxy struct {
	at       string  // address
	out, in  []*lane // that requests and answers pass, where there are any
	mu       sync.Mutex
	listener net.Listener // nil while connections are refused
	target   string
	mode     linkMode
	links    map[*proxied]struct{}
}

// proxied is one connection and its other half.
type proxied struct {
	near, far net.Conn
	mode      linkMode // guarded by the proxy's mutex
}

// newProxy listens at address and passes connections on to target.
func newProxy(address, target string) (*proxy, error) { return newProxyOn(address, target, nil, nil) }

// newProxyOn is newProxy for connections that pass lanes.
func newProxyOn(address, target string, out, in []*lane) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "proxy")
	}
	p := &proxy{at: l.Addr().String(), listener: l, target: target, out: out, in: in, links: map[*proxied]struct{}{}}
	go p.accept(l)
	return p, nil
}

func (p *proxy) address() string { return p.at }

func (p *proxy) accept(l net.Listener) {
	for {
		near, err := l.Accept()
		if err != nil {
			return // closed
		}
		go p.serve(near)
	}
}

func (p *proxy) serve(near net.Conn) {
	p.mu.Lock()
	mode, target := p.mode, p.target
	p.mu.Unlock()
	if mode == linkReset {
		reset(near)
		return
	}
	far, err := net.Dial("tcp", target)
	if err != nil {
		reset(near)
		return
	}
	c := &proxied{near: near, far: far, mode: mode}
	p.mu.Lock()
	p.links[c] = struct{}{}
	p.mu.Unlock()
	p.both(c)
	p.mu.Lock()
	delete(p.links, c)
	p.mu.Unlock()
}

// both copies both ways until the connection has ended.
func (p *proxy) both(c *proxied) {
	var ways sync.WaitGroup
	if len(p.out) == 0 {
		ways.Go(func() { p.pass(c, c.near, c.far, false) })
		ways.Go(func() { p.pass(c, c.far, c.near, true) })
		ways.Wait()
		return
	}
	ways.Go(func() { carry(c.near, c.far, p.out) })
	ways.Go(func() { carry(c.far, c.near, p.in) })
	ways.Wait()
	_ = c.near.Close() // all has arrived
	_ = c.far.Close()
}

// pass copies one way until an end closes. A silent way reads on and drops.
func (p *proxy) pass(c *proxied, from, to net.Conn, answers bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		p.mu.Lock()
		mode := c.mode
		p.mu.Unlock()
		if mode == linkSlow {
			time.Sleep(slowBy)
		}
		quiet := mode == linkSilent || mode == linkOneWay && answers
		if n > 0 && !quiet {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			if quiet {
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

// set changes what happens to new connections, and to those that are open; after
// a silence open ones stay silent for good.
func (p *proxy) set(mode linkMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	p.listen(mode != linkRefused)
	for c := range p.links {
		switch {
		case mode == linkReset || mode == linkRefused:
			reset(c.near)
			reset(c.far)
		case c.mode != linkSilent && c.mode != linkOneWay:
			c.mode = mode
		}
	}
}

// listen opens or closes the port. It is called under the lock.
func (p *proxy) listen(open bool) {
	switch {
	case open && p.listener == nil:
		l, err := net.Listen("tcp", p.at)
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

// cut resets the connections that are open.
func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.links {
		reset(c.near)
		reset(c.far)
	}
}

func (p *proxy) close() {
	p.mu.Lock()
	p.listen(false)
	p.mu.Unlock()
	p.cut()
}

// reset closes a connection so that its other end sees a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // a closed connection needs none
	}
	_ = c.Close()
}
