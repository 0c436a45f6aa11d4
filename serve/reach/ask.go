package reach

import (
	"context"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/decision/reach"
	"mallowwind.dev/peer/tunnel"
)

// peerHeadStart is how long a peer may take before the next one is asked as well: one that has lost
// its path too, and does not know yet, takes as long as tunnel.MaxWait.
const peerHeadStart = 40 * time.Millisecond

// errNoPeer means that no peer could be asked for a connection.
var errNoPeer = errors.New("reach: no other daemon can connect for this one")

// peerResult is the result of asking one peer for a connection to a server.
type peerResult uint8

const (
	pending          peerResult = iota
	connected                   // the tunnel is open
	serverNotReached            // the peer did not reach the server
	unknownServer               // the peer does not know the server
	busy                        // the peer carries as many tunnels as it may
	unable                      // the peer did not answer, is leaving, or has no path to any server
)

// peerResultOf classifies the result of opening a tunnel.
func peerResultOf(err error) peerResult {
	var refused *tunnel.Error
	switch {
	case err == nil:
		return connected
	case !errors.As(err, &refused):
		return unable
	}
	switch refused.Refusal {
	case tunnel.ServerRefused, tunnel.ServerSilent:
		return serverNotReached
	case tunnel.UnknownServer:
		return unknownServer
	case tunnel.Busy:
		return busy
	case tunnel.Leaving, tunnel.PathLost, tunnel.Invalid, tunnel.Abandoned:
	}
	return unable
}

// askedPeer is a peer that was asked for a connection.
type askedPeer struct {
	reach.Peer
	askedAt time.Time
	result  peerResult
}

// tunnelResult is the result of opening a tunnel over the peer with an index among those asked.
type tunnelResult struct {
	index int
	conn  net.Conn
	err   error
}

// asking asks peers for a connection to one server.
type asking struct {
	d       *Dialer
	server  string // id
	asked   []askedPeer
	open    int // peers that have not answered yet
	results chan tunnelResult
	lastErr error // of a peer that did not reach the server, or does not know it
}

// dialThroughPeers connects through a peer. It asks the next peer when one has failed or takes long,
// until one has connected or reach.MaxAsked were asked. If none of them reached the server, the error
// is that of the server.
func (d *Dialer) dialThroughPeers(ctx context.Context, address string) attemptResult {
	server, listed := d.servers.idAt(d.opts.Feed.View(), address)
	if !listed {
		return attemptResult{err: errNoPeer} // no peer would know it
	}
	a := &asking{d: d, server: server, results: make(chan tunnelResult)}
	defer func() {
		d.recordPeers(a.asked)
		go a.discardOthers()
	}()
	a.askNext(ctx)
	next := time.NewTicker(peerHeadStart)
	defer next.Stop()
	for a.open > 0 {
		select {
		case r := <-a.results:
			a.open--
			peer := &a.asked[r.index]
			if peer.result = peerResultOf(r.err); peer.result == connected {
				return attemptResult{conn: r.conn, peer: peer.ID}
			}
			if peer.result == serverNotReached || peer.result == unknownServer {
				a.lastErr = r.err
			}
			a.askNext(ctx)
		case <-next.C:
			a.askNext(ctx)
		case <-ctx.Done():
			return attemptResult{err: ctx.Err()}
		}
	}
	return attemptResult{err: a.failure()}
}

// askNext asks one more peer, if there is one.
func (a *asking) askNext(ctx context.Context) {
	if len(a.asked) >= reach.MaxAsked {
		return
	}
	peer, ok := a.d.pickPeer(a.asked)
	if !ok {
		return
	}
	index := len(a.asked)
	a.asked = append(a.asked, askedPeer{Peer: peer, askedAt: time.Now()})
	a.open++
	go func() {
		conn, err := a.d.openTunnel(ctx, peer, a.server)
		a.results <- tunnelResult{index: index, conn: conn, err: err}
	}()
}

// discardOthers closes the connections of peers that answer too late.
func (a *asking) discardOthers() {
	for range a.open {
		if r := <-a.results; r.err == nil {
			_ = r.conn.Close() // unused
		}
	}
}

// failure returns the error after all peers have failed.
func (a *asking) failure() error {
	if a.lastErr == nil {
		return errNoPeer
	}
	var refused *tunnel.Error
	if errors.As(a.lastErr, &refused) && refused.Refusal == tunnel.ServerSilent {
		return relayedDialError(os.ErrDeadlineExceeded)
	}
	return relayedDialError(syscall.ECONNREFUSED)
}

// relayedDialError returns the error of a connection that other daemons could not make either.
func relayedDialError(cause error) error {
	return &net.OpError{Op: "dial through another daemon", Net: "tcp", Err: cause}
}

// openTunnel opens a tunnel over a peer that pickPeer chose.
func (d *Dialer) openTunnel(ctx context.Context, peer reach.Peer, server string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*tunnel.MaxWait)
	defer cancel()
	request := requestOf(ctx)
	conn, err := tunnel.Open(ctx, d.opts.Peers, peer.Address, tunnel.Request{
		Server: server, Wait: tunnel.MaxWait, Caller: d.opts.Self.ID, ForCall: request.ID, Stream: request.Stream,
	})
	if err != nil {
		d.endPeer(peer.ID)
		return nil, err
	}
	return &relayedConn{Conn: conn, d: d, peer: peer.ID}, nil
}
