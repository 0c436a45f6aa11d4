package flow_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"mallowwind.dev/control/membership"
	"mallowwind.dev/control/site"
	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/external/engine"
	"mallowwind.dev/external/vmlist"
	"mallowwind.dev/serve/flow"
)

// cachingEngine is an engine that reports holding one prefix in its cache.
type cachingEngine struct {
	engine.Engine
	prefix uint64
}

func (h cachingEngine) CacheEvents(context.Context, uint64) ([]engine.CacheEvent, error) {
	return []engine.CacheEvent{{Seq: 1, Prefix: h.prefix, Held: true}}, nil
}

func TestCacheEventsAreUsedAsHints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeSources(8, 8)
		for i, b := range f.snap.Load().Pools["p"] {
			b.Engine = cachingEngine{prefix: uint64(100 + i)}
		}
		m := startManager(t, f)
		a := newRequest(f, "review")
		_, err := m.Acquire(t.Context(), a)
		must.NoError(t, err)
		time.Sleep(5 * time.Second)
		for i := range 8 {
			a.PrefixHash = uint64(100 + i)
			g, err := m.Acquire(t.Context(), a)
			must.NoError(t, err)
			test.Eq(t, "prefix_cached", g.Reason())
			test.Eq(t, fmt.Sprintf("b%d", i), g.Backend().ID)
			g.Done(flow.Outcome{})
		}
	})
}

// A request arrives for a version that no server has ready and one is loading. A
// request whose deadline allows it waits for the load and starts; any other is
// refused at once, with the remaining load time as Retry-After.
func TestRequestWaitsForModelLoadedBeforeDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeSources(2, 4)
		b := backend("b0", vmlist.Live)
		b.Status.Models[0].State, b.Status.Models[0].Remaining = engine.Loading, 10*time.Second
		f.replace(b)
		m := startManager(t, f)
		begin := time.Now()
		_, err := m.Acquire(t.Context(), newRequest(f, "status")) // waits 2 s at most
		e := requireRefusal(t, err)
		test.Eq(t, verdict.CodeNoBackend, e.Code)
		test.Eq(t, 10*time.Second, e.RetryAfter)
		test.Zero(t, time.Since(begin))
		go func() {
			time.Sleep(9 * time.Second)
			f.replace(backend("b0", vmlist.Live))
		}()
		g, err := m.Acquire(t.Context(), newRequest(f, "review")) // waits 20 s at most
		must.NoError(t, err)
		test.Eq(t, "b0", g.Backend().ID)
		test.Between(t, 9*time.Second, time.Since(begin), 10*time.Second)
	})
}

// An account exceeds its limit through one of the two entry VMs selected for it.
// This VM admits half of the limit. Requests beyond that are refused with a
// Retry-After, after which a request is admitted.
func TestAccountLimitIsDividedAmongSelectedVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeSources(4, 1000)
		view := &membership.View{Members: []membership.Member{
			{ID: "e0", Zone: "a", CallerAddr: "127.0.0.1:1"}, {ID: "e1", Zone: "b", CallerAddr: "127.0.0.1:2"},
		}}
		m := flow.New(flow.Config{
			Location: flow.Location{VM: "e0", Zone: "a"}, Site: f, Backends: fakeSnapshots{f},
			Members: membership.Static{View: view}, Seed: 1,
		})
		a := newRequest(f, "review")
		a.Account = &site.Account{Name: "acc", Share: 1, TokensPerSecond: 100}
		f.site.Accounts = map[string]*site.Account{"acc": a.Account}
		granted := 0
		var err error
		for range 600 {
			time.Sleep(time.Second)
			var g flow.Grant
			if g, err = m.Acquire(t.Context(), a); err == nil {
				granted += a.CostTokens
				g.Done(flow.Outcome{})
			}
		}
		test.Between(t, 600*50, granted, 660*50+2*a.CostTokens)
		for err == nil {
			_, err = m.Acquire(t.Context(), a)
		}
		e := requireRefusal(t, err)
		must.Eq(t, verdict.CodeAccountLimit, e.Code)
		time.Sleep(e.RetryAfter)
		_, err = m.Acquire(t.Context(), a)
		test.NoError(t, err)
	})
}

// All engines stall at once and many generations request a second attempt. Each
// attempt may cost a prefill, so together they must not exceed the retry budget.
// Answers whose engine is certainly lost must always continue.
func TestSpeculativeTakeoversAreBoundedByBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeSources(4, 1000)
		m := startManager(t, f)
		a := newRequest(f, "review")
		a.Resume, a.Speculative, a.ExtraTokens = true, true, 500
		granted := 0
		var denied *verdict.Error
		for range 100 {
			g, err := m.Acquire(t.Context(), a)
			if err != nil {
				denied = requireRefusal(t, err)
				continue
			}
			granted++
			g.Done(flow.Outcome{Cancelled: true})
		}
		test.Between(t, 1, granted, 20)
		must.NotNil(t, denied)
		test.Eq(t, verdict.CodeOverloaded, denied.Code)
		test.Positive(t, denied.RetryAfter)
		a.Speculative = false
		_, err := m.Acquire(t.Context(), a)
		test.NoError(t, err)
	})
}

// One backend server of a plain service answers ten times slower than its peers.
// The health comparison must cover plain services too, so that calls soon avoid
// the slow server.
func TestSlowServerOfPlainServiceIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeSources(6, 16)
		f.site.Services["dispatch"] = &site.Service{
			Name: "dispatch", Kind: site.KindPlain, Pool: "p", Class: site.ClassUrgent, Deadline: time.Second,
		}
		m := startManager(t, f)
		slow := 0
		for i := range 600 {
			time.Sleep(20 * time.Millisecond)
			g, err := m.Acquire(t.Context(), newRequest(f, "dispatch"))
			must.NoError(t, err)
			took := 10 * time.Millisecond
			if g.Backend().ID == "b2" {
				took *= 10
				if i >= 300 {
					slow++
				}
			}
			go func() {
				time.Sleep(took)
				g.Done(flow.Outcome{FirstToken: took})
			}()
		}
		test.Less(t, 300/6/2, slow)
		time.Sleep(time.Second)
	})
}

// Requests wait until their deadline although engines have free slots. This
// happens if an engine unloads a version and refuses a few requests for it, the
// refusals count as failures, and the engine is ejected for its other versions
// too.
func TestEngineUnloadingOneVersionServesOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeSources(4, 4)
		m := startManager(t, f)
		for range 40 {
			g, err := m.Acquire(t.Context(), newRequest(f, "review"))
			must.NoError(t, err)
			if g.Backend().ID != "b1" {
				g.Done(flow.Outcome{FirstToken: time.Millisecond, Tokens: 1})
				continue
			}
			g.Done(flow.Outcome{Err: errors.Wrap(engine.ErrNotReady, "unloading")})
		}
		time.Sleep(2 * time.Second)
		a := newRequest(f, "review")
		a.Exclude, a.Resume = []string{"b0", "b2", "b3"}, true
		begin := time.Now()
		g, err := m.Acquire(t.Context(), a)
		must.NoError(t, err)
		test.Eq(t, "b1", g.Backend().ID)
		test.Less(t, time.Second, time.Since(begin))
	})
}
