// Package control benchmarks the distribution of the site text: the time from its acceptance until it
// is in force at every daemon, and the resources this costs the daemons.
//
// The control stacks of all daemons (membership and configuration in force) run in one process over
// loopback TCP, with a simulation of the platform's store behind its wire protocol. No further
// processes are started, and many daemons fit on one machine. CPU time and memory are those of the
// process divided by the number of daemons, including the share of the simulated store.
package control

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/inforce"
	"mallowwind.dev/control/membership"
	"mallowwind.dev/control/operate"
	"mallowwind.dev/external/standin/storesim"
	"mallowwind.dev/external/store"
	"mallowwind.dev/external/vmlist"
	"mallowwind.dev/lab/bench/wire"
	"mallowwind.dev/peer/link"
	"mallowwind.dev/peer/peerpb"
	"mallowwind.dev/telemetry/event"
)

const (
	zones = 7
	// readyTimeout bounds the start-up of a fleet.
	readyTimeout = 3 * time.Minute
	// pollInterval is the interval at which revisions are polled; it bounds the precision of
	// measured times.
	pollInterval = time.Millisecond
	site         = "bench"
)

// fleet is the control stacks of a number of daemons with their store.
type fleet struct {
	store     *store.Faulty
	storeWire *byteCounter
	peerWire  byteCounter // of all peer listeners
	daemons   []*daemon
	operator  *operate.Client
	revision  int64
	servers   []*http.Server
	cancel    context.CancelFunc
	wg        sync.WaitGroup
}

type daemon struct {
	config  *inforce.Manager
	members *membership.Manager
}

// byteCounter counts the bytes of connections in both directions, including HTTP headers and
// excluding TCP and IP headers.
type byteCounter struct{ bytes atomic.Int64 }

type countedListener struct {
	net.Listener
	*byteCounter
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return wire.Count(conn, &l.byteCounter.bytes), nil
}

// startFleet starts n daemons and waits until text is accepted and in force at all of them.
func startFleet(ctx context.Context, n int, text string) (*fleet, error) {
	f := &fleet{store: store.NewFaulty(store.NewMemory()), storeWire: &byteCounter{}}
	ctx, f.cancel = context.WithCancel(ctx)
	storeAddress, err := f.serve(storesim.Handler(f.store), f.storeWire)
	if err != nil {
		return nil, err
	}
	// The operator uses a listener of its own, so that its bytes are not counted.
	operatorAddress, err := f.serve(storesim.Handler(f.store), &byteCounter{})
	if err != nil {
		return nil, err
	}
	operatorStore, err := store.NewEtcdClient([]string{"http://" + operatorAddress}, nil)
	if err != nil {
		return nil, err
	}
	f.operator = &operate.Client{Store: operatorStore, Site: site, Author: "bench"}
	if err := f.apply(ctx, text); err != nil {
		return nil, err
	}
	vms := vmlist.NewMemory(0)
	for i := range n {
		if err := f.addDaemon(ctx, i, storeAddress, vms); err != nil {
			return nil, err
		}
	}
	return f, f.waitReady(ctx)
}

func (f *fleet) addDaemon(ctx context.Context, i int, storeAddress string, vms *vmlist.Memory) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	kv, err := store.NewEtcdClient([]string{"http://" + storeAddress}, nil)
	if err != nil {
		return err
	}
	id, zone, address := fmt.Sprintf("entry-%03d", i), fmt.Sprintf("zone-%d", i%zones), listener.Addr().String()
	dialer := link.NewDialer(nil)
	members := membership.NewManager(membership.Deps{
		Self: membership.Member{ID: id, Zone: zone, CallerAddr: address, PeerAddr: address, Incarnation: uint64(i + 1)},
		VMs:  vms, Dialer: dialer,
	})
	config := inforce.New(inforce.Config{
		Site: site, VM: id, Zone: zone, Store: kv, Members: members, Dialer: dialer,
		Log: event.Discard(), Announce: members.SetDigest, Seed: uint64(i),
	})
	members.OnDigest(func(from membership.Member, name string, version uint64) {
		if name == inforce.DigestName {
			config.ObserveRevision(from.ID, version)
		}
	})
	mux := http.NewServeMux()
	mux.Handle(config.Handler())
	membersServer := peerpb.NewMembershipServer(members)
	mux.Handle(membersServer.PathPrefix(), membersServer)
	f.listen(mux, countedListener{listener, &f.peerWire})
	vms.Put(vmlist.VM{ID: id, Address: address, Zone: zone, Role: vmlist.RoleEntry, State: vmlist.Live})
	f.daemons = append(f.daemons, &daemon{config, members})
	for _, run := range []func(context.Context) error{members.Run, config.Run} {
		f.wg.Go(func() { _ = run(ctx) })
	}
	return nil
}

func (f *fleet) serve(h http.Handler, c *byteCounter) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	f.listen(h, countedListener{listener, c})
	return listener.Addr().String(), nil
}

func (f *fleet) listen(h http.Handler, l net.Listener) {
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	f.servers = append(f.servers, s)
	f.wg.Go(func() { _ = s.Serve(l) })
}

// waitReady waits until every daemon lists all members and has the text in force.
func (f *fleet) waitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if f.hasFullMembership() && f.countInForce(f.revision) == len(f.daemons) {
			return nil
		}
		time.Sleep(100 * pollInterval)
	}
	return errors.Errorf("the fleet of %d daemons was not ready in %s", len(f.daemons), readyTimeout)
}

func (f *fleet) hasFullMembership() bool {
	for _, d := range f.daemons {
		if len(d.members.Current().Members) < len(f.daemons) {
			return false
		}
	}
	return true
}

// countInForce returns the number of daemons that have revision or a later one in force.
func (f *fleet) countInForce(revision int64) int {
	n := 0
	for _, d := range f.daemons {
		if int64(d.config.Digest()) >= revision {
			n++
		}
	}
	return n
}

// apply submits text through the operator client, and records the accepted revision.
func (f *fleet) apply(ctx context.Context, text string) error {
	r, err := f.operator.Apply(ctx, operate.Request{Text: text, BaseRevision: f.revision})
	if err == nil {
		f.revision = r.Revision
	}
	return err
}

// close stops the daemons and servers that startFleet started.
func (f *fleet) close() {
	f.cancel()
	for _, s := range f.servers {
		s.Close()
	}
	f.wg.Wait()
}
