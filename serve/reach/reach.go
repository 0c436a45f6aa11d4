// Package reach opens this daemon's connections to backend servers, directly or through another
// daemon where this VM's own path is lost, and lets other daemons connect through this one.
package reach

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/reach"
	"mallowwind.dev/external/sent"
	"mallowwind.dev/peer/link"
	"mallowwind.dev/peer/tunnel"
	"mallowwind.dev/telemetry/event"
)

// Options configure a Dialer.
type Options struct {
	Self routing.VM
	Feed *feed.Manager
	// Direct opens connections to servers; nil means TCP.
	Direct sent.DialFunc
	// Peers connects to other daemons. If it is nil, all connections are direct.
	Peers *link.Dialer
	Log   *event.Log
	// Registerer receives the metrics; it may be nil.
	Registerer prometheus.Registerer
}

// Dialer opens connections to backend servers. It is safe for concurrent use.
type Dialer struct {
	opts    Options
	tunnels *tunnel.Server
	servers *addressIndex
	metrics *metrics
	// unproven holds a token for the one peer that may be asked without a proof that the path of
	// this VM is lost.
	unproven chan struct{}

	mu      sync.Mutex
	tracker reach.Tracker
	table   reach.PeerTable
	peers   peerList
	lost    chan struct{} // closed when the path is lost; replaced when it is restored
}

// New returns a Dialer.
func New(o Options) *Dialer {
	if o.Direct == nil {
		o.Direct = (&net.Dialer{}).DialContext
	}
	d := &Dialer{
		opts: o, servers: &addressIndex{}, metrics: newMetrics(o.Registerer),
		unproven: make(chan struct{}, 1), lost: make(chan struct{}),
	}
	d.tunnels = tunnel.NewServer(tunnel.Options{
		Address: d.addressOf, Dial: d.dialForPeer, IsPathLost: d.isPathLost, OnEnd: d.tunnelEnded,
	})
	return d
}

// TunnelService returns the path and handler of the endpoint for tunnels of other daemons.
func (d *Dialer) TunnelService() (path string, handler http.Handler) { return tunnel.Path, d.tunnels }

// BeginShutdown makes the daemon refuse new tunnels of other daemons as scheduled.
func (d *Dialer) BeginShutdown(schedule tunnel.ShutdownSchedule) { d.tunnels.BeginShutdown(schedule) }

// Tunnels returns the number of open tunnels of other daemons.
func (d *Dialer) Tunnels() int { return d.tunnels.Active() }

// requestKey is the key of a Request in the context of a connection.
type requestKey struct{}

// Request is the request for which a connection is opened.
type Request struct {
	ID     string // for logs
	Stream bool   // its answer may last longer than a graceful shutdown
}

// WithRequest returns a context that states the request for which connections are opened.
func WithRequest(ctx context.Context, r Request) context.Context {
	return context.WithValue(ctx, requestKey{}, r)
}

func requestOf(ctx context.Context) Request {
	r, _ := ctx.Value(requestKey{}).(Request)
	return r
}

// choose returns the path of a connection opened now, whether peers may be asked for it, and a
// channel that is closed once the path of this VM is lost.
func (d *Dialer) choose(now time.Time, address string) (path reach.Path, mayAsk bool, lost <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.opts.Peers == nil {
		return reach.Direct, false, nil
	}
	return d.tracker.Choose(now, address), d.tracker.MayAskPeer(now, address), d.lost
}

// isPathLost reports whether this daemon has no path to any server.
func (d *Dialer) isPathLost() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tracker.IsLost()
}

// recordDirect records a direct connection.
func (d *Dialer) recordDirect(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	lostFor, restored := d.tracker.RecordDirect(time.Now(), address)
	if !restored {
		return
	}
	d.lost = make(chan struct{})
	d.metrics.pathLost.Set(0)
	d.opts.Log.Emit(event.ServerPathRestored, address, lostFor)
}

// recordProof records that a peer reached a server that this daemon did not.
func (d *Dialer) recordProof(address, peer string, how reach.Failure, cause error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.tracker.RecordProof(time.Now(), address, how) {
		return
	}
	close(d.lost)
	d.metrics.pathLost.Set(1)
	d.opts.Log.Emit(event.ServerPathLost, address, peer, cause)
}

func (d *Dialer) recordUnreachable(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tracker.RecordUnreachable(time.Now(), address)
}

// pickPeer chooses a peer that was not asked yet and counts a connection through it.
func (d *Dialer) pickPeer(asked []askedPeer) (reach.Peer, bool) {
	vms := d.opts.Feed.View().VMs
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	peers := d.peers.update(now, vms, d.opts.Self.ID)
	wasAsked := func(id string) bool {
		return slices.ContainsFunc(asked, func(p askedPeer) bool { return p.ID == id })
	}
	i := d.table.Choose(now, peers, d.opts.Self.Zone, wasAsked, rand.IntN)
	if i < 0 {
		return reach.Peer{}, false
	}
	d.table.Begin(peers[i].ID)
	return peers[i], true
}

// endPeer ends a connection that pickPeer counted.
func (d *Dialer) endPeer(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.End(id)
}

// recordPeers records what the results of asking peers for one server show of them. The peers that
// did not reach a server that another one reached have no path to it. If no peer reached it, their
// failures show nothing of the peers, but of the server.
func (d *Dialer) recordPeers(asked []askedPeer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	reached := slices.ContainsFunc(asked, func(p askedPeer) bool { return p.result == connected })
	for _, p := range asked {
		switch p.result {
		case connected:
			d.table.RecordSuccess(p.ID)
		case busy:
			d.table.RecordBusy(now, p.ID)
		case unable:
			d.table.RecordFailure(now, p.ID)
		case serverNotReached:
			if reached {
				d.table.RecordFailure(now, p.ID)
			}
		case pending:
			if reached && now.Sub(p.askedAt) >= peerHeadStart {
				d.table.RecordFailure(now, p.ID)
			}
		case unknownServer:
		}
	}
}

// addressOf returns the address of the server with an id.
func (d *Dialer) addressOf(id string) (address string, known bool) {
	s, known := d.opts.Feed.View().Server(id)
	return s.Address, known
}

// dialForPeer connects to a server for another daemon.
func (d *Dialer) dialForPeer(ctx context.Context, address string) (net.Conn, error) {
	conn, err := d.opts.Direct(ctx, "tcp", address)
	if err == nil {
		d.recordDirect(address)
	}
	return conn, err
}

func (d *Dialer) tunnelEnded(e tunnel.Ended) {
	d.metrics.countTunnel(e.Refusal)
	d.opts.Log.Emit(event.TunnelEnded, e.Request, e.Caller, e.Server, string(e.Refusal), e.Took, e.Err)
}
