package stand

import (
	"context"
	"net"
	"strconv"
	"sync"

	"github.com/pkg/errors"

	"mallowwind.dev/external/standin/faultnet"
)

// fabric is the network between callers, daemons and simulated services: loopback TCP,
// or in-memory pipes for runs in virtual time. Faults are injected by address, VM or zone.
type fabric struct {
	memory bool

	mu        sync.Mutex
	listeners map[string]*faultnet.Listener
	locations map[string]location // by address
	gates     map[string]*gate
	dialed    map[string]map[*gatedConn]struct{} // by VM id
}

func newFabric(memory bool) *fabric {
	return &fabric{
		memory:    memory,
		listeners: make(map[string]*faultnet.Listener),
		locations: make(map[string]location),
		gates:     make(map[string]*gate),
		dialed:    make(map[string]map[*gatedConn]struct{}),
	}
}

// setLocation records the VM and zone of an address.
func (f *fabric) setLocation(address string, at location) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.locations[address] = at
}

// listen opens a listener at a new address.
func (f *fabric) listen() (net.Listener, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.memory {
		l, err := faultnet.Listen("127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "listen on loopback")
		}
		f.listeners[l.Addr().String()] = l
		return l, nil
	}
	at := pipeAddr("10.0.0." + strconv.Itoa(len(f.listeners)+1) + ":80")
	l := faultnet.Pipe()
	f.listeners[at.String()] = l
	return namedListener{l, at}, nil
}

// dial connects to an address. It has the signature of http.Transport.DialContext.
func (f *fabric) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if !f.memory {
		var d net.Dialer
		return d.DialContext(ctx, network, address)
	}
	f.mu.Lock()
	l := f.listeners[address]
	f.mu.Unlock()
	if l == nil {
		return nil, errors.Errorf("no listener at %s", address)
	}
	return l.Dial(ctx, network, address)
}

// listenerAt returns the listener at an address, for fault injection.
func (f *fabric) listenerAt(address string) *faultnet.Listener {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listeners[address]
}

// pipeAddr is the address of an in-memory listener, in the form host:port.
type pipeAddr string

func (pipeAddr) Network() string  { return "pipe" }
func (a pipeAddr) String() string { return string(a) }

type namedListener struct {
	net.Listener
	addr pipeAddr
}

func (l namedListener) Addr() net.Addr { return l.addr }
