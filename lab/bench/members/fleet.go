// Package members measures what membership and the zones' leases cost and how
// fast they are: real Managers over twirp on loopback, in one process and real
// time, with a platform in memory.
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
	// idleConns bounds a daemon's idle connections: all daemons share this
	// process's file descriptors.
	idleConns = 16
)

// fleet is n daemons on loopback, as far as membership and leases go.
type fleet struct {
	list    []vmlist.VM
	store   *store.Faulty
	daemons []*daemon
	bytes   atomic.Int64 // of all connections, both directions, each byte once
	loss    atomic.Uint64
	rng     *lockedRand
}

type daemon struct {
	id       string
	members  *membership.Manager
	registry *prometheus.Registry
	server   *http.Server
	listener net.Listener
	cancel   context.CancelFunc
	running  sync.WaitGroup
	dead     bool
}

// lockedRand is a seeded source for use by many goroutines.
type lockedRand struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func (l *lockedRand) below(perMillion uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.Uint64N(1_000_000) < perMillion
}

// newFleet opens n listeners; start runs the daemons on them.
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
		d := &daemon{id: fmt.Sprintf("vm%03d", i), listener: &counted{Listener: l, bytes: &f.bytes}}
		f.daemons = append(f.daemons, d)
		f.list = append(f.list, vmlist.VM{
			ID: d.id, Address: l.Addr().String(), Zone: fmt.Sprint("z", i%zones), Region: fmt.Sprint("r", i%zones%regions),
			Role: vmlist.RoleEntry, State: vmlist.Live,
		})
	}
	return f, nil
}

// List implements vmlist.Source: the platform's list, which lags too far to
// notice a death.
func (f *fleet) List(context.Context) ([]vmlist.VM, error) { return f.list, nil }

func (f *fleet) start(ctx context.Context) {
	for i, d := range f.daemons {
		f.startOne(ctx, d, f.list[i])
	}
}

func (f *fleet) startOne(ctx context.Context, d *daemon, vm vmlist.VM) {
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
		Dialer:     link.NewDialerWithClient(&http.Client{Transport: &lossy{RoundTripper: transport, f: f}}),
		Registerer: d.registry,
	})
	holder := lease.NewManager(lease.Deps{Store: f.store, Members: d.members})
	d.server = &http.Server{Handler: peerpb.NewMembershipServer(d.members), ReadHeaderTimeout: 10 * time.Second, ErrorLog: log.New(io.Discard, "", 0)}
	d.running.Go(func() { _ = d.server.Serve(d.listener) })
	d.running.Go(func() { _ = d.members.Run(ctx) })
	d.running.Go(func() { _ = holder.Run(ctx) })
}

// kill ends a daemon without a word to the others.
func (d *daemon) kill() {
	d.dead = true
	if d.server != nil {
		_ = d.server.Close()
	}
	if d.cancel != nil {
		d.cancel()
	}
	_ = d.listener.Close()
	d.running.Wait()
}

func (f *fleet) stop() {
	var wg sync.WaitGroup
	for _, d := range f.daemons {
		if !d.dead {
			wg.Go(d.kill)
		}
	}
	wg.Wait()
}

// whole reports whether every running daemon believes all running ones alive
// and no other.
func (f *fleet) whole() bool {
	running := 0
	for _, d := range f.daemons {
		if !d.dead {
			running++
		}
	}
	for _, d := range f.daemons {
		if !d.dead && alive(d.members.Current()) != running {
			return false
		}
	}
	return true
}

func alive(v *membership.View) int {
	n := 0
	for _, m := range v.Members {
		if m.State == membership.Alive {
			n++
		}
	}
	return n
}

// believers counts the running daemons to which id is a member.
func (f *fleet) believers(id string) int {
	n := 0
	for _, d := range f.daemons {
		if d.dead {
			continue
		}
		if _, ok := d.members.Current().Find(id); ok {
			n++
		}
	}
	return n
}

// changes returns how often some daemon came to believe state of another.
func (f *fleet) changes(state string) float64 {
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

// lossy loses requests and answers with the fleet's present probability.
type lossy struct {
	http.RoundTripper
	f *fleet
}

// RoundTrip implements http.RoundTripper.
func (l *lossy) RoundTrip(r *http.Request) (*http.Response, error) {
	p := l.f.loss.Load()
	if p > 0 && l.f.rng.below(p) {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	resp, err := l.RoundTripper.RoundTrip(r)
	if err == nil && p > 0 && l.f.rng.below(p) {
		_ = resp.Body.Close()
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	return resp, err
}

// counted counts the bytes of the connections that a listener accepts.
type counted struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (c *counted) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return wire.Count(conn, c.bytes), nil
}
