package world

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Fault is what a directed link does to messages.
type Fault uint8

// The faults of a link.
const (
	Healthy Fault = iota
	Cut           // refuses at once, and resets what is open
	Hang          // messages are kept back until the link heals
)

// latency is the usual one-way delay between two VMs.
const latency = time.Millisecond

// errRefused is what a caller sees of a dead peer or a refused connection.
var errRefused = errors.New("connection refused")

type pair struct{ from, to string }

// Network carries messages between entry VMs and to backend servers, with
// faults for each directed link and each VM. It is safe for concurrent use.
type Network struct {
	mu       sync.Mutex
	handlers map[string]http.Handler
	vms      map[string]Fault
	links    map[pair]Fault
	delays   map[pair]time.Duration
	silent   map[pair]bool      // the connection open now has lost its track
	streams  map[*stream]string // generations by open stream
	changed  chan struct{}      // closed and replaced at every change
	closed   chan struct{}
	wg       sync.WaitGroup
}

func newNetwork() *Network {
	return &Network{
		handlers: make(map[string]http.Handler),
		vms:      make(map[string]Fault),
		links:    make(map[pair]Fault),
		delays:   make(map[pair]time.Duration),
		silent:   make(map[pair]bool),
		streams:  make(map[*stream]string),
		changed:  make(chan struct{}),
		closed:   make(chan struct{}),
	}
}

func (n *Network) update(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	close(n.changed)
	n.changed = make(chan struct{})
}

// SetVM makes a VM dead (Cut), paused (Hang) or healthy.
func (n *Network) SetVM(id string, f Fault) { n.update(func() { n.vms[id] = f }) }

// SetLink sets the fault of one direction of a link.
func (n *Network) SetLink(from, to string, f Fault) { n.update(func() { n.links[pair{from, to}] = f }) }

// Partition cuts or heals both directions between two VMs.
func (n *Network) Partition(a, b string, f Fault) {
	n.SetLink(a, b, f)
	n.SetLink(b, a, f)
}

// Delay makes messages from one VM to another late. A message later than its
// sender waits still arrives.
func (n *Network) Delay(from, to string, d time.Duration) {
	n.update(func() { n.delays[pair{from, to}] = d })
}

// Silence makes the connection that is open now from one entry VM to another
// silent for good; connections opened later work.
func (n *Network) Silence(from, to string) { n.update(func() { n.silent[pair{from, to}] = true }) }

func (n *Network) handle(id string, h http.Handler) { n.update(func() { n.handlers[id] = h }) }

// vm returns the fault of a VM and a channel closed at the next change.
func (n *Network) vm(id string) (Fault, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.vms[id], n.changed
}

// link returns the fault that a message from one VM to another meets now.
func (n *Network) link(from, to string) (Fault, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f := n.links[pair{from, to}]
	for _, id := range []string{from, to} {
		if n.vms[id] == Cut {
			return Cut, n.changed
		}
		f = max(f, n.vms[id])
	}
	return f, n.changed
}

// awaitLink waits until a message may go from one VM to another.
func (n *Network) awaitLink(ctx context.Context, from, to string) error {
	for {
		f, changed := n.link(from, to)
		switch f {
		case Healthy:
			return nil
		case Cut:
			return errRefused
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		case <-n.closed:
			return errRefused
		}
	}
}

// vmTransport is the network as one entry VM sees it.
type vmTransport struct {
	net  *Network
	self string
}

var _ http.RoundTripper = vmTransport{}

// CloseIdleConnections makes the next message to each peer use a new connection.
func (p vmTransport) CloseIdleConnections() {
	p.net.update(func() {
		for l := range p.net.silent {
			if l.from == p.self {
				delete(p.net.silent, l)
			}
		}
	})
}

// RoundTrip implements http.RoundTripper. The message goes on when its sender
// gives up waiting, as one in the buffers of a connection does.
func (p vmTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	to := r.URL.Host
	if f, _ := p.net.link(p.self, to); f == Cut {
		return nil, errRefused
	}
	p.net.mu.Lock()
	silent := p.net.silent[pair{p.self, to}]
	p.net.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	answer := make(chan *recorder, 1)
	p.net.wg.Go(func() { answer <- p.deliver(r, to, body) })
	select {
	case a := <-answer:
		if a == nil {
			return nil, errRefused
		}
		return a.response(r), nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

// deliver carries a message there and its answer back; nil if the link broke.
func (p vmTransport) deliver(r *http.Request, to string, body []byte) *recorder {
	ctx := context.WithoutCancel(r.Context())
	n := p.net
	n.mu.Lock()
	h, delay := n.handlers[to], latency+n.delays[pair{p.self, to}]
	n.mu.Unlock()
	if n.awaitLink(ctx, p.self, to) != nil || h == nil || !n.sleep(delay) {
		return nil
	}
	// A VM that died or paused meanwhile does not take the message.
	if n.awaitLink(ctx, p.self, to) != nil {
		return nil
	}
	w := &recorder{header: make(http.Header), status: http.StatusOK}
	copied := r.Clone(ctx)
	copied.Body = io.NopCloser(bytes.NewReader(body))
	h.ServeHTTP(w, copied)
	if n.awaitLink(ctx, to, p.self) != nil {
		return nil
	}
	return w
}

func (n *Network) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-n.closed:
		return false
	}
}

// close ends every message under way and waits for it.
func (n *Network) close() {
	close(n.closed)
	n.wg.Wait()
}

// recorder keeps a handler's answer.
type recorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (w *recorder) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *recorder) WriteHeader(status int) { w.status = status }

// Write implements http.ResponseWriter.
func (w *recorder) Write(b []byte) (int, error) { return w.body.Write(b) }

func (w *recorder) response(r *http.Request) *http.Response {
	return &http.Response{
		StatusCode: w.status, Status: http.StatusText(w.status),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: w.header, Body: io.NopCloser(&w.body), ContentLength: int64(w.body.Len()), Request: r,
	}
}
