// Package control measures what spreading the site text takes: how long from
// acceptance until it is in force at every daemon, and what it costs them.
//
// All daemons' control stacks (membership and configuration in force) run in
// one process over loopback TCP, with a stand-in of the platform's store behind
// its wire form. A process starts no process, and this way many of them fit one
// machine; processor time and memory are the process's divided by the number
// of daemons, the store stand-in's share included.
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
	// readyLimit bounds the start of a fleet.
	readyLimit = 3 * time.Minute
	// look is how often revisions are looked at; it bounds the precision of a time.
	look = time.Millisecond
	site = "bench"
)

// fleet is daemons' control stacks with their store.
type fleet struct {
	store     *store.Faulty
	storeWire *counter
	peerWire  counter // all peer listeners together
	daemons   []*daemon
	operator  *operate.Client
	revision  int64
	servers   []*http.Server
	stop      context.CancelFunc
	wg        sync.WaitGroup
}

type daemon struct {
	config  *inforce.Manager
	members *membership.Manager
}

// counter counts the bytes of connections in both directions, with the headers
// of HTTP and without the frames of TCP and IP.
type counter struct{ bytes atomic.Int64 }

type countedListener struct {
	net.Listener
	*counter
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return wire.Count(conn, &l.counter.bytes), nil
}

// start runs n daemons with text accepted and in force.
func start(ctx context.Context, n int, text string) (*fleet, error) {
	f := &fleet{store: store.NewFaulty(store.NewMemory()), storeWire: &counter{}}
	ctx, f.stop = context.WithCancel(ctx)
	storeAddress, err := f.serve(storesim.Handler(f.store), f.storeWire)
	if err != nil {
		return nil, err
	}
	// The operator has a listener of its own, so that its bytes are not counted.
	operatorAddress, err := f.serve(storesim.Handler(f.store), &counter{})
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
		if err := f.add(ctx, i, storeAddress, vms); err != nil {
			return nil, err
		}
	}
	return f, f.ready(ctx)
}

func (f *fleet) add(ctx context.Context, i int, storeAddress string, vms *vmlist.Memory) error {
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

func (f *fleet) serve(h http.Handler, c *counter) (address string, err error) {
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

// ready waits until every daemon knows all others and has the text in force.
func (f *fleet) ready(ctx context.Context) error {
	deadline := time.Now().Add(readyLimit)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if f.complete() && f.reached(f.revision) == len(f.daemons) {
			return nil
		}
		time.Sleep(100 * look)
	}
	return errors.Errorf("the fleet of %d daemons was not ready in %s", len(f.daemons), readyLimit)
}

func (f *fleet) complete() bool {
	for _, d := range f.daemons {
		if len(d.members.Current().Members) < len(f.daemons) {
			return false
		}
	}
	return true
}

// reached counts the daemons that have revision in force.
func (f *fleet) reached(revision int64) int {
	n := 0
	for _, d := range f.daemons {
		if int64(d.config.Digest()) >= revision {
			n++
		}
	}
	return n
}

// apply accepts text as an operator would.
func (f *fleet) apply(ctx context.Context, text string) error {
	r, err := f.operator.Apply(ctx, operate.Request{Text: text, BaseRevision: f.revision})
	if err == nil {
		f.revision = r.Revision
	}
	return err
}

// close ends everything that start began.
func (f *fleet) close() {
	f.stop()
	for _, s := range f.servers {
		s.Close()
	}
	f.wg.Wait()
}
