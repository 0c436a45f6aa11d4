package flow_test

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"mallowwind.dev/control/backends"
	"mallowwind.dev/control/site"
	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/external/engine"
	"mallowwind.dev/external/vmlist"
	"mallowwind.dev/serve/flow"
)

var reviewRef = engine.ModelRef{Model: "m", Version: "1"}

// fakeSources is the source of a fixed site and of a snapshot that tests replace.
type fakeSources struct {
	site *site.Site
	snap atomic.Pointer[backends.Snapshot]
}

func (f *fakeSources) Current() *site.Site { return f.site }

type fakeSnapshots struct{ f *fakeSources }

func (s fakeSnapshots) Current() *backends.Snapshot { return s.f.snap.Load() }

func newFakeSources(servers, slots int) *fakeSources {
	f := &fakeSources{site: &site.Site{
		Services: map[string]*site.Service{
			"review": {
				Name: "review", Kind: site.KindGeneration, Pool: "p", Model: "m", Version: "1",
				Class: site.ClassLong, Deadline: 20 * time.Second,
			},
			"status": {
				Name: "status", Kind: site.KindGeneration, Pool: "p", Model: "m", Version: "1",
				Class: site.ClassUrgent, Deadline: 2 * time.Second,
			},
		},
		Pools: map[string]*site.Pool{"p": {Name: "p", Slots: slots}},
	}}
	rows := make([]*backends.Backend, servers)
	for i := range rows {
		rows[i] = backend(fmt.Sprintf("b%d", i), vmlist.Live)
	}
	f.replace(rows...)
	return f
}

func backend(id string, state vmlist.State) *backends.Backend {
	return &backends.Backend{
		VM:        vmlist.VM{ID: id, Address: "127.0.0.1:1", Zone: "a", Role: vmlist.RoleBackend, Pool: "p", State: state},
		Status:    engine.Status{Incarnation: "1", Models: []engine.LoadedModel{{Ref: reviewRef, State: engine.Ready}}},
		Reachable: true,
	}
}

func (f *fakeSources) replace(rows ...*backends.Backend) {
	f.snap.Store(&backends.Snapshot{Version: f.version() + 1, Pools: map[string][]*backends.Backend{"p": rows}})
}

func (f *fakeSources) version() uint64 {
	if s := f.snap.Load(); s != nil {
		return s.Version
	}
	return 0
}

// startManager returns a running Manager and stops it when the test ends.
func startManager(t *testing.T, f *fakeSources) *flow.Manager {
	m := flow.New(flow.Config{
		Location: flow.Location{VM: "e0", Zone: "a"}, Site: f, Backends: fakeSnapshots{f},
		Registerer: prometheus.NewRegistry(), Seed: 1,
	})
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go func() { _ = m.Run(ctx) }()
	return m
}

func newRequest(f *fakeSources, service string) flow.Request {
	return flow.Request{
		RequestID: "r", Service: f.site.Services[service], CostTokens: 100,
		Account: &site.Account{Name: "acc", Share: 1},
	}
}

func requireRefusal(t *testing.T, err error) *verdict.Error {
	t.Helper()
	var e *verdict.Error
	must.True(t, errors.As(err, &e))
	must.Eq(t, verdict.NotRun, e.Verdict)
	return e
}

func TestWaitingRequestStartsWhenSlotIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeSources(1, 1)
		m := startManager(t, f)
		first, err := m.Acquire(t.Context(), newRequest(f, "review"))
		must.NoError(t, err)
		go func() {
			time.Sleep(3 * time.Second)
			first.Done(flow.Outcome{Tokens: 100})
			first.Done(flow.Outcome{Tokens: 100}) // a second call releases nothing
		}()
		begin := time.Now()
		second, err := m.Acquire(t.Context(), newRequest(f, "review"))
		must.NoError(t, err)
		must.Eq(t, 3*time.Second, time.Since(begin))
		must.Eq(t, "b0", second.Backend().ID)
	})
}

// All slots are taken by long work when a request's deadline passes. The request
// must be refused with not_run and a Retry-After at its deadline, and not later.
func TestExpiredRequestIsRefusedAtItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeSources(1, 1)
		m := startManager(t, f)
		_, err := m.Acquire(t.Context(), newRequest(f, "review"))
		must.NoError(t, err)
		a := newRequest(f, "review")
		a.Deadline = time.Now().Add(1500 * time.Millisecond)
		begin := time.Now()
		_, err = m.Acquire(t.Context(), a)
		e := requireRefusal(t, err)
		test.Eq(t, verdict.CodeDeadlineExceeded, e.Code)
		test.Positive(t, e.RetryAfter)
		test.Eq(t, 1500*time.Millisecond, time.Since(begin))
	})
}

// Work is sent to a backend server that is leaving and is cut off when the server
// stops. The platform's VM list marks the server as leaving between two requests.
func TestLeavingBackendServerGetsNoNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeSources(2, 8)
		m := startManager(t, f)
		f.replace(backend("b0", vmlist.Leaving), backend("b1", vmlist.Live))
		for range 8 {
			g, err := m.Acquire(t.Context(), newRequest(f, "status"))
			must.NoError(t, err)
			must.Eq(t, "b1", g.Backend().ID)
		}
		f.replace(backend("b0", vmlist.Leaving), backend("b1", vmlist.Leaving))
		_, err := m.Acquire(t.Context(), newRequest(f, "status"))
		must.Eq(t, verdict.CodeNoBackend, requireRefusal(t, err).Code)
	})
}

func TestContinuationPrefersAndExcludes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeSources(4, 8)
		m := startManager(t, f)
		a := newRequest(f, "review")
		a.Resume, a.Exclude, a.Prefer = true, []string{"b0", "b1"}, "b3"
		g, err := m.Acquire(t.Context(), a)
		must.NoError(t, err)
		must.Eq(t, "b3", g.Backend().ID)
		a.Prefer = "b0"
		for range 6 {
			g, err = m.Acquire(t.Context(), a)
			must.NoError(t, err)
			must.SliceNotContains(t, a.Exclude, g.Backend().ID)
		}
	})
}

func TestCancelledRequestLeavesTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeSources(1, 1)
		m := startManager(t, f)
		first, err := m.Acquire(t.Context(), newRequest(f, "review"))
		must.NoError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = m.Acquire(ctx, newRequest(f, "review"))
		requireRefusal(t, err)
		first.Done(flow.Outcome{})
		_, err = m.Acquire(t.Context(), newRequest(f, "review"))
		must.NoError(t, err)
	})
}
