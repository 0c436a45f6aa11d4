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

	direct    chan attemptResult // nil unless the direct attempt is under way
	directErr error              // of the ended direct attempt
	relayed   chan attemptResult // nil unless peers are being asked
	relayErr  error              // after all peers have failed
	token     chan<- struct{}    // nil unless a peer is to be asked without a proof
	giveUp    <-chan time.Time   // ends the wait for the token after the direct attempt has failed
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
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
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
	headStart := time.NewTimer(directHeadStart)
	defer headStart.Stop()
	for {
		var conn net.Conn
		select {
		case r := <-c.direct:
			conn = c.endDirect(r)
		case r := <-c.relayed:
			conn = c.endRelayed(r)
		case <-headStart.C:
			c.awaitToken()
		case c.token <- struct{}{}:
			c.hasToken = true
			c.startRelayed()
		case <-lost:
			lost = nil
			c.startRelayed()
		case <-c.giveUp:
			return nil, c.directErr
		case <-c.ctx.Done():
			return nil, &net.OpError{Op: "dial", Net: c.network, Err: c.ctx.Err()}
		}
		if conn != nil {
			return conn, nil
		}
		if err := c.failure(); err != nil {
			return nil, err
		}
	}
}

// endDirect handles the result of the direct attempt and returns its connection, nil if it failed.
func (c *dialing) endDirect(r attemptResult) net.Conn {
	c.direct, c.directErr = nil, r.err
	if r.err != nil && c.awaitToken() {
		c.giveUp = time.After(maxTokenWait)
	}
	return r.conn
}

// endRelayed handles the result of asking peers and returns the connection, nil if they failed.
func (c *dialing) endRelayed(r attemptResult) net.Conn {
	c.relayed, c.relayErr = nil, r.err
	c.releaseToken()
	switch {
	case r.err == nil:
		c.recordRelayed(r)
	case c.path == reach.ViaPeer && errors.Is(r.err, errNoPeer):
		c.startDirect()
	}
	return r.conn
}

// hasAskedPeers reports whether peers are being asked or have failed.
func (c *dialing) hasAskedPeers() bool { return c.relayed != nil || c.relayErr != nil }

// awaitToken waits until a peer may be asked without a proof, and reports whether that is to follow.
func (c *dialing) awaitToken() bool {
	if c.hasAskedPeers() {
		return false
	}
	c.token = c.d.unproven
	return true
}

func (c *dialing) releaseToken() {
	if c.hasToken {
		c.hasToken = false
		<-c.d.unproven
	}
}

// failure returns the error of the connection if no attempt is under way or to follow.
func (c *dialing) failure() error {
	if c.direct != nil || c.relayed != nil || c.giveUp != nil {
		return nil
	}
	if c.relayErr != nil && !errors.Is(c.relayErr, errNoPeer) {
		c.d.recordUnreachable(c.address)
	}
	if c.directErr != nil {
		return c.directErr
	}
	return c.relayErr
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

// startRelayed asks peers, one after the other, until one connects, unless that has begun before.
func (c *dialing) startRelayed() {
	c.token, c.giveUp = nil, nil
	if c.hasAskedPeers() {
		return
	}
	relayed := make(chan attemptResult)
	c.relayed = relayed
	go func() {
		r := c.d.dialThroughPeers(c.ctx, c.address)
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
	d.opts.Log.Emit(event.ConnectionRelayed, requestOf(c.ctx).ID, c.address, r.peer, c.path.String(), c.directErr)
	switch {
	case c.directErr != nil && !sent.IsTimeout(c.directErr):
		d.recordProof(c.address, r.peer, reach.Refused, c.directErr)
	case c.directErr != nil || c.direct != nil && c.path == reach.Direct:
		d.recordProof(c.address, r.peer, reach.Silent, c.directErr)
	}
}
