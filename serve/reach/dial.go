package reach

import (
	"context"
	"net"
	"os"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/decision/reach"
	"mallowwind.dev/external/sent"
	"mallowwind.dev/telemetry/event"
)

const (
	// directHeadStart is how long a direct connection may take before a peer is asked as well. It is
	// many round trips between zones.
	directHeadStart = 30 * time.Millisecond
	// maxTokenWait is how long a refused connection waits until a peer may be asked. Another
	// connection's proof that the path is lost ends the wait.
	maxTokenWait = 30 * time.Millisecond
	// directTimeout bounds a direct attempt that goes on after a peer has connected.
	directTimeout = 250 * time.Millisecond
)

// attemptResult is the result of one attempt to connect.
type attemptResult struct {
	conn net.Conn
	err  error
	peer string // id of the peer; "" for a direct attempt
}

// dialing is one connection in the making.
type dialing struct {
	d       *Dialer
	ctx     context.Context
	network string
	address string
	path    reach.Path
	over    chan struct{} // closed when a connection was chosen or all attempts have failed

	direct    chan attemptResult // nil until the direct attempt starts
	directErr error              // of the ended direct attempt
	relayed   chan attemptResult // nil until peers are asked
	relayErr  error              // after all peers have failed
	hasToken  bool
}

// Dial connects to a server. It has the signature of http.Transport.DialContext. A failure proves
// that nothing was sent to the server.
func (d *Dialer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	path, mayAsk, lost := d.choose(time.Now(), address)
	switch {
	case !mayAsk && path == reach.ViaPeer:
		// Whether a process runs there is unknown, as after a timeout.
		return nil, relayedDialError(os.ErrDeadlineExceeded)
	case !mayAsk:
		return d.dialDirect(ctx, network, address)
	}
	c := &dialing{d: d, ctx: ctx, network: network, address: address, path: path, over: make(chan struct{})}
	defer close(c.over)
	defer c.releaseToken()
	return c.run(lost)
}

func (d *Dialer) dialDirect(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.opts.Direct(ctx, network, address)
	if err == nil {
		d.recordDirect(address)
	}
	return conn, err
}

// run starts the attempts that the path asks for and returns the first connection. lost is closed
// once the path of this VM is lost.
func (c *dialing) run(lost <-chan struct{}) (net.Conn, error) {
	if c.path != reach.ViaPeer {
		c.startDirect()
	}
	if c.path != reach.Direct {
		c.startRelayed()
	}
	var token chan<- struct{} // nil until a peer may be asked without a proof
	headStart := time.NewTimer(directHeadStart)
	defer headStart.Stop()
	var giveUp <-chan time.Time
	for {
		select {
		case r := <-c.direct:
			c.direct = nil
			if r.err == nil {
				return r.conn, nil
			}
			c.directErr = r.err
			if c.relayed == nil && c.relayErr == nil {
				token, giveUp = c.d.unproven, time.After(maxTokenWait)
			}
		case <-headStart.C:
			if c.relayed == nil && c.relayErr == nil {
				token = c.d.unproven
			}
		case token <- struct{}{}:
			token, giveUp, c.hasToken = nil, nil, true
			c.startRelayed()
		case <-lost:
			lost, token, giveUp = nil, nil, nil
			if c.relayed == nil && c.relayErr == nil {
				c.startRelayed()
			}
		case r := <-c.relayed:
			c.relayed = nil
			c.releaseToken()
			if r.err == nil {
				c.recordRelayed(r)
				return r.conn, nil
			}
			c.relayErr = r.err
			if c.path == reach.ViaPeer && errors.Is(r.err, errNoPeer) {
				c.startDirect()
			}
		case <-giveUp:
			return nil, c.directErr
		case <-c.ctx.Done():
			return nil, &net.OpError{Op: "dial", Net: c.network, Err: c.ctx.Err()}
		}
		if err := c.failure(giveUp != nil); err != nil {
			return nil, err
		}
	}
}

// failure returns the error of the connection if no attempt is under way or to follow.
func (c *dialing) failure(waiting bool) error {
	if c.direct != nil || c.relayed != nil || waiting {
		return nil
	}
	if c.relayErr != nil {
		c.d.recordUnreachable(c.address)
	}
	if c.directErr != nil {
		return c.directErr
	}
	return c.relayErr
}

func (c *dialing) releaseToken() {
	if c.hasToken {
		c.hasToken = false
		<-c.d.unproven
	}
}

// startDirect starts the direct attempt. It goes on after a peer has connected: if it succeeds in
// the end, the path is slow and not lost.
func (c *dialing) startDirect() {
	direct := make(chan attemptResult)
	c.direct = direct
	d, network, address, over := c.d, c.network, c.address, c.over
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.ctx), directTimeout)
	go func() {
		defer cancel()
		conn, err := d.dialDirect(ctx, network, address)
		select {
		case direct <- attemptResult{conn: conn, err: err}:
		case <-over:
			if err == nil {
				_ = conn.Close() // unused
			}
		}
	}()
}

// startRelayed asks peers, one after the other, until one connects.
func (c *dialing) startRelayed() {
	relayed := make(chan attemptResult)
	c.relayed = relayed
	go func() {
		ctx, cancel := context.WithCancel(c.ctx)
		defer cancel()
		r := c.d.dialThroughPeers(ctx, c.address)
		select {
		case relayed <- r:
		case <-c.over:
			if r.err == nil {
				_ = r.conn.Close() // unused
			}
		}
	}()
}

// recordRelayed records a connection through a peer and what it proves.
func (c *dialing) recordRelayed(r attemptResult) {
	d := c.d
	d.metrics.relayed.WithLabelValues(c.path.String()).Inc()
	d.opts.Log.Emit(event.ConnectionRelayed, requestOf(c.ctx), c.address, r.peer, c.path.String(), c.directErr)
	switch {
	case c.directErr != nil && !sent.IsTimeout(c.directErr):
		d.recordProof(c.address, r.peer, reach.Refused, c.directErr)
	case c.directErr != nil || c.direct != nil && c.path == reach.Direct:
		d.recordProof(c.address, r.peer, reach.Silent, c.directErr)
	}
}
