// Package members benchmarks the cost of membership and zone leases and the speed of failure
// detection. It runs the production managers over twirp on loopback, in one process and in real time,
// with an in-memory platform.
package members

import (
	"context"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"mallowwind.dev/control/lease"
	"mallowwind.dev/control/membership"
	"mallowwind.dev/external/store"
	"mallowwind.dev/external/vmlist"
	"mallowwind.dev/lab/bench/wire"
	"mallowwind.dev/peer/link"
	"mallowwind.dev/peer/peerpb"
)

const (
	zones   = 7
	regions = 3
	// idleConns bounds a daemon's idle connections, because all daemons share the file
	// descriptors of this process.
	idleConns = 16
)

// fleet is a number of daemons on loopback that run only membership and leases.
type fleet struct {
	vms          []vmlist.VM
	store        *store.Faulty
	daemons      []*daemon
	trafficBytes atomic.Int64 // of all connections, both directions, each byte once
	lossPPM      atomic.Uint64
	rng          *lockedRand
}

type daemon struct {
	id       string
	members  *membership.Manager
	registry *prometheus.Registry
	server   *http.Server
	listener net.Listener
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	isKilled bool
}

// lockedRand is a seeded random source that is safe for concurrent use.
type lockedRand struct {
	mu  sync.Mutex
	rng *rand.Rand
}

// chance returns true with the given probability.
func (l *lockedRand) chance(perMillion uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.Uint64N(1_000_000) < perMillion
}

// newFleet opens n listeners, on which start runs the daemons.
func newFleet(n int, seed uint64) (*fleet, error) {
	f := &fleet{
		store: store.NewFaulty(store.NewMemory()),
		rng:   &lockedRand{rng: rand.New(rand.NewPCG(seed, uint64(n)))},
	}
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			f.stop()
			return nil, errors.Wrap(err, "bench members")
		}
		d := &daemon{id: fmt.Sprintf("vm%03d", i), listener: &countedListener{Listener: l, bytes: &f.trafficBytes}}
		f.daemons = append(f.daemons, d)
		f.vms = append(f.vms, vmlist.VM{
			ID: d.id, Address: l.Addr().String(), Zone: fmt.Sprint("z", i%zones), Region: fmt.Sprint("r", i%zones%regions),
			Role: vmlist.RoleEntry, State: vmlist.Live,
		})
	}
	return f, nil
}

// List implements vmlist.Source. The list keeps killed daemons, because the platform's list lags too
// far behind to reflect a crash in time.
func (f *fleet) List(context.Context) ([]vmlist.VM, error) { return f.vms, nil }

func (f *fleet) start(ctx context.Context) {
	for i, d := range f.daemons {
		f.startDaemon(ctx, d, f.vms[i])
	}
}

func (f *fleet) startDaemon(ctx context.Context, d *daemon, vm vmlist.VM) {
	ctx, d.cancel = context.WithCancel(ctx)
	d.registry = prometheus.NewRegistry()
	transport := &http.Transport{
		MaxIdleConns: idleConns, MaxIdleConnsPerHost: 4, IdleConnTimeout: 90 * time.Second, DisableCompression: true,
	}
	d.members = membership.NewManager(membership.Deps{
		Self: membership.Member{
			ID: d.id, Incarnation: uint64(time.Now().UnixNano()), Zone: vm.Zone, Region: vm.Region,
			CallerAddr: vm.Address, PeerAddr: vm.Address,
		},
		VMs:        f,
		Dialer:     link.NewDialerWithClient(&http.Client{Transport: &lossyTransport{RoundTripper: transport, f: f}}),
		Registerer: d.registry,
	})
	holder := lease.NewManager(lease.Deps{Store: f.store, Members: d.members})
	d.server = &http.Server{Handler: peerpb.NewMembershipServer(d.members), ReadHeaderTimeout: 10 * time.Second, ErrorLog: log.New(io.Discard, "", 0)}
	d.wg.Go(func() { _ = d.server.Serve(d.listener) })
	d.wg.Go(func() { _ = d.members.Run(ctx) })
	d.wg.Go(func() { _ = holder.Run(ctx) })
}

// kill stops a daemon without notice to the others.
func (d *daemon) kill() {
	d.isKilled = true
	if d.server != nil {
		_ = d.server.Close()
	}
	if d.cancel != nil {
		d.cancel()
	}
	_ = d.listener.Close()
	d.wg.Wait()
}

func (f *fleet) stop() {
	var wg sync.WaitGroup
	for _, d := range f.daemons {
		if !d.isKilled {
			wg.Go(d.kill)
		}
	}
	wg.Wait()
}

// hasConverged reports whether every running daemon counts as many members alive as there are running
// daemons.
func (f *fleet) hasConverged() bool {
	running := 0
	for _, d := range f.daemons {
		if !d.isKilled {
			running++
		}
	}
	for _, d := range f.daemons {
		if !d.isKilled && countAlive(d.members.Current()) != running {
			return false
		}
	}
	return true
}

func countAlive(v *membership.View) int {
	n := 0
	for _, m := range v.Members {
		if m.State == membership.Alive {
			n++
		}
	}
	return n
}

// countListing returns the number of running daemons that list id as a member.
func (f *fleet) countListing(id string) int {
	n := 0
	for _, d := range f.daemons {
		if d.isKilled {
			continue
		}
		if _, ok := d.members.Current().Find(id); ok {
			n++
		}
	}
	return n
}

// countStateChanges returns how often daemons changed a member to state, summed over all daemons.
func (f *fleet) countStateChanges(state string) float64 {
	var sum float64
	for _, d := range f.daemons {
		families, err := d.registry.Gather()
		if err != nil {
			continue
		}
		for _, family := range families {
			if family.GetName() != "mallowwind_membership_changes_total" {
				continue
			}
			for _, m := range family.GetMetric() {
				if m.GetLabel()[0].GetValue() == state {
					sum += m.GetCounter().GetValue()
				}
			}
		}
	}
	return sum
}

// lossyTransport drops requests and responses with the fleet's current loss probability.
type lossyTransport struct {
	http.RoundTripper
	f *fleet
}

// RoundTrip implements http.RoundTripper.
func (l *lossyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	p := l.f.lossPPM.Load()
	if p > 0 && l.f.rng.chance(p) {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	resp, err := l.RoundTripper.RoundTrip(r)
	if err == nil && p > 0 && l.f.rng.chance(p) {
		_ = resp.Body.Close()
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	return resp, err
}

// countedListener counts the bytes of the connections it accepts.
type countedListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (c *countedListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return wire.Count(conn, c.bytes), nil
}
