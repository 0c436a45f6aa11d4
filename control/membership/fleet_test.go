package membership

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/external/vmlist"
	"mallowwind.dev/peer/link"
	"mallowwind.dev/peer/peerpb"
)

// hop is the one-way delay of the test network.
const hop = 2 * time.Millisecond

// fleet runs Managers on a network in memory that a test can cut.
type fleet struct {
	t     *testing.T
	mu    sync.Mutex
	nodes map[string]*node
	list  []vmlist.VM
	cut   func(from, to *node) bool // loses a message; nil loses none
	calls int
}

type node struct {
	*Manager
	id, zone, region string
	handler          http.Handler
	stop             func()
	done             chan struct{}
}

// newFleet starts n daemons over zones a, b, c and, with more, further ones;
// zone z belongs to region z modulo regions.
func newFleet(t *testing.T, n, zones, regions int) *fleet {
	f := &fleet{t: t, nodes: make(map[string]*node)}
	for i := range n {
		id, zone := fmt.Sprintf("vm%03d", i), fmt.Sprint("z", i%zones)
		region := fmt.Sprint("r", i%zones%regions)
		f.list = append(f.list, vmlist.VM{ID: id, Address: id, Zone: zone, Region: region, Role: vmlist.RoleEntry, State: vmlist.Live})
		f.nodes[id] = &node{id: id, zone: zone, region: region}
	}
	for _, vm := range f.list {
		f.start(f.nodes[vm.ID], 1)
	}
	t.Cleanup(func() {
		for _, nd := range f.nodes {
			nd.stop()
		}
	})
	return f
}

func (f *fleet) start(nd *node, incarnation uint64) {
	nd.Manager = NewManager(Deps{
		Self:   Member{ID: nd.id, Incarnation: incarnation, Zone: nd.zone, Region: nd.region, PeerAddr: nd.id, CallerAddr: nd.id},
		VMs:    f,
		Dialer: link.NewDialerWithClient(&http.Client{Transport: &wire{f: f, from: nd}}),
	})
	nd.handler = peerpb.NewMembershipServer(nd.Manager)
	ctx, cancel := context.WithCancel(context.Background())
	nd.done = make(chan struct{})
	go func(m *Manager, done chan struct{}) { _ = m.Run(ctx); close(done) }(nd.Manager, nd.done)
	done := nd.done
	nd.stop = func() { cancel(); <-done }
}

// kill stops a daemon without a word; the VM list goes on showing it.
func (f *fleet) kill(id string) *node {
	nd := f.nodes[id]
	f.mu.Lock()
	nd.handler = nil
	f.mu.Unlock()
	nd.stop()
	return nd
}

func (f *fleet) List(context.Context) ([]vmlist.VM, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]vmlist.VM(nil), f.list...), nil
}

func (f *fleet) listState(i int, state vmlist.State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list[i].State = state
}

func (f *fleet) setCut(cut func(from, to *node) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = cut
}

func (f *fleet) lost(from, to *node) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return to == nil || to.handler == nil || (f.cut != nil && f.cut(from, to))
}

// wire carries one daemon's calls.
type wire struct {
	f    *fleet
	from *node
}

func (w *wire) RoundTrip(r *http.Request) (*http.Response, error) {
	f, to := w.f, w.f.nodes[r.URL.Host]
	f.mu.Lock()
	f.calls++
	f.mu.Unlock()
	time.Sleep(hop)
	if f.lost(w.from, to) {
		<-r.Context().Done()
		return nil, errors.Wrap(r.Context().Err(), "request lost")
	}
	rec := httptest.NewRecorder()
	to.handler.ServeHTTP(rec, r)
	time.Sleep(hop)
	if f.lost(to, w.from) {
		<-r.Context().Done()
		return nil, errors.Wrap(r.Context().Err(), "answer lost")
	}
	return rec.Result(), nil
}

// believed counts the daemons among those running that believe state of id.
func (f *fleet) believed(id string, state State) int {
	n := 0
	for _, nd := range f.nodes {
		if nd.handler == nil || nd.id == id {
			continue
		}
		m, ok := nd.Current().Find(id)
		if (!ok && state == Gone) || (ok && m.State == state) {
			n++
		}
	}
	return n
}

// whole reports whether every running daemon believes every running one alive.
func (f *fleet) whole() bool {
	running := 0
	for _, nd := range f.nodes {
		if nd.handler != nil {
			running++
		}
	}
	for _, nd := range f.nodes {
		if nd.handler != nil && f.alive(nd) != running {
			return false
		}
	}
	return true
}

func (f *fleet) alive(nd *node) int {
	n := 0
	for _, m := range nd.Current().Members {
		if m.State == Alive {
			n++
		}
	}
	return n
}

// until lets virtual time pass until ok and returns how long that took.
func (f *fleet) until(what string, limit time.Duration, ok func() bool) time.Duration {
	f.t.Helper()
	start := time.Now()
	for !ok() {
		if time.Since(start) > limit {
			f.t.Fatalf("not within %s: %s", limit, what)
		}
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
	}
	f.t.Logf("%s after %s", what, time.Since(start))
	return time.Since(start)
}

// lossy loses each message with probability p, from a fixed seed.
func lossy(p float64) func(_, _ *node) bool {
	rng := rand.New(rand.NewPCG(7, 7))
	return func(_, _ *node) bool { return rng.Float64() < p }
}
