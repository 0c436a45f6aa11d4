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

// Fault is the state of a VM or of one direction of a link.
type Fault uint8

// States of a link or VM.
const (
	Healthy Fault = iota
	Cut           // refuses at once and resets open connections
	Hang          // holds messages until the link is healthy again
)

// latency is the usual one-way delay between two VMs.
const latency = time.Millisecond

// errRefused is returned to the sender when the peer is dead or the link is cut.
var errRefused = errors.New("connection refused")

type pair struct{ from, to string }

// Network carries messages between entry VMs and to backend servers and injects
// faults for each VM and each direction of a link. It is safe for concurrent use.
type Network struct {
	mu       sync.Mutex
	handlers map[string]http.Handler
	vms      map[string]Fault
	links    map[pair]Fault
	delays   map[pair]time.Duration
	silent   map[pair]bool      // the current connection drops all messages
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

// Partition sets the fault of both directions between two VMs.
func (n *Network) Partition(a, b string, f Fault) {
	n.SetLink(a, b, f)
	n.SetLink(b, a, f)
}

// Delay adds a delay to messages from one VM to another. A message still arrives
// after its sender has timed out.
func (n *Network) Delay(from, to string, d time.Duration) {
	n.update(func() { n.delays[pair{from, to}] = d })
}

// Silence makes the current connection from one entry VM to another drop all
// messages permanently; connections opened later work.
func (n *Network) Silence(from, to string) { n.update(func() { n.silent[pair{from, to}] = true }) }

func (n *Network) handle(id string, h http.Handler) { n.update(func() { n.handlers[id] = h }) }

// vm returns the fault of a VM and a channel that is closed at the next change of any fault.
func (n *Network) vm(id string) (Fault, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.vms[id], n.changed
}

// link returns the combined fault of the link and both VMs for messages between them, and a
// channel that is closed at the next change of any fault.
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

// awaitLink waits until messages can pass from one VM to another.
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

// vmTransport is the HTTP transport of one entry VM over the Network.
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

// RoundTrip implements http.RoundTripper. The message is still delivered after its
// sender times out, like data in the buffers of a connection.
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

// deliver delivers a request and returns the response, or nil if the link failed.
func (p vmTransport) deliver(r *http.Request, to string, body []byte) *recorder {
	ctx := context.WithoutCancel(r.Context())
	n := p.net
	n.mu.Lock()
	h, delay := n.handlers[to], latency+n.delays[pair{p.self, to}]
	n.mu.Unlock()
	if n.awaitLink(ctx, p.self, to) != nil || h == nil || !n.sleep(delay) {
		return nil
	}
	// The state of the link or VM may have changed during the delay.
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

// close aborts the waits of messages in flight and waits for their goroutines.
func (n *Network) close() {
	close(n.closed)
	n.wg.Wait()
}

// recorder records a handler's response.
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
