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

// fixed is a source of one site and a snapshot that tests may replace.
type fixed struct {
	site *site.Site
	snap atomic.Pointer[backends.Snapshot]
}

func (f *fixed) Current() *site.Site { return f.site }

type snapshots struct{ f *fixed }

func (s snapshots) Current() *backends.Snapshot { return s.f.snap.Load() }

func newFixed(servers, slots int) *fixed {
	f := &fixed{site: &site.Site{
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

func (f *fixed) replace(rows ...*backends.Backend) {
	f.snap.Store(&backends.Snapshot{Version: f.version() + 1, Pools: map[string][]*backends.Backend{"p": rows}})
}

func (f *fixed) version() uint64 {
	if s := f.snap.Load(); s != nil {
		return s.Version
	}
	return 0
}

// manager returns a running Manager and stops it when the test ends.
func manager(t *testing.T, f *fixed) *flow.Manager {
	m := flow.New(flow.Config{
		Location: flow.Location{VM: "e0", Zone: "a"}, Site: f, Backends: snapshots{f},
		Registerer: prometheus.NewRegistry(), Seed: 1,
	})
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go func() { _ = m.Run(ctx) }()
	return m
}

func ask(f *fixed, service string) flow.Request {
	return flow.Request{
		RequestID: "r", Service: f.site.Services[service], CostTokens: 100,
		Account: &site.Account{Name: "acc", Share: 1},
	}
}

func refusal(t *testing.T, err error) *verdict.Error {
	t.Helper()
	var e *verdict.Error
	must.True(t, errors.As(err, &e))
	must.Eq(t, verdict.NotRun, e.Verdict)
	return e
}

func TestWaitingRequestStartsWhenASlotIsGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixed(1, 1)
		m := manager(t, f)
		first, err := m.Acquire(t.Context(), ask(f, "review"))
		must.NoError(t, err)
		go func() {
			time.Sleep(3 * time.Second)
			first.Done(flow.Outcome{Tokens: 100})
			first.Done(flow.Outcome{Tokens: 100}) // a second call gives nothing back
		}()
		begin := time.Now()
		second, err := m.Acquire(t.Context(), ask(f, "review"))
		must.NoError(t, err)
		must.Eq(t, 3*time.Second, time.Since(begin))
		must.Eq(t, "b0", second.Backend().ID)
	})
}

// A caller waits for an answer that cannot come in time.
// All slots are taken by long work; the request's deadline passes.
// It must hear not_run at its deadline with a time to come back, not later.
func TestExpiredRequestIsAnsweredAtItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixed(1, 1)
		m := manager(t, f)
		_, err := m.Acquire(t.Context(), ask(f, "review"))
		must.NoError(t, err)
		a := ask(f, "review")
		a.Deadline = time.Now().Add(1500 * time.Millisecond)
		begin := time.Now()
		_, err = m.Acquire(t.Context(), a)
		e := refusal(t, err)
		test.Eq(t, verdict.CodeDeadlineExceeded, e.Code)
		test.Positive(t, e.RetryAfter)
		test.Eq(t, 1500*time.Millisecond, time.Since(begin))
	})
}

// Work goes to a backend server that is leaving and is cut when it goes.
// The platform's list marks it as leaving between two requests.
func TestLeavingBackendServerGetsNoNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixed(2, 8)
		m := manager(t, f)
		f.replace(backend("b0", vmlist.Leaving), backend("b1", vmlist.Live))
		for range 8 {
			g, err := m.Acquire(t.Context(), ask(f, "status"))
			must.NoError(t, err)
			must.Eq(t, "b1", g.Backend().ID)
		}
		f.replace(backend("b0", vmlist.Leaving), backend("b1", vmlist.Leaving))
		_, err := m.Acquire(t.Context(), ask(f, "status"))
		must.Eq(t, verdict.CodeNoBackend, refusal(t, err).Code)
	})
}

func TestContinuationPrefersAndExcludes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixed(4, 8)
		m := manager(t, f)
		a := ask(f, "review")
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

func TestCallerThatLeavesGivesItsPlaceBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixed(1, 1)
		m := manager(t, f)
		first, err := m.Acquire(t.Context(), ask(f, "review"))
		must.NoError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = m.Acquire(ctx, ask(f, "review"))
		refusal(t, err)
		first.Done(flow.Outcome{})
		_, err = m.Acquire(t.Context(), ask(f, "review"))
		must.NoError(t, err)
	})
}
