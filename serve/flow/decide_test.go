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

// holder is an engine that says it holds one prefix.
type holder struct {
	engine.Engine
	prefix uint64
}

func (h holder) CacheEvents(context.Context, uint64) ([]engine.CacheEvent, error) {
	return []engine.CacheEvent{{Seq: 1, Prefix: h.prefix, Held: true}}, nil
}

func TestCacheEventsAreFollowedAsHints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixed(8, 8)
		for i, b := range f.snap.Load().Pools["p"] {
			b.Engine = holder{prefix: uint64(100 + i)}
		}
		m := manager(t, f)
		a := ask(f, "review")
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

// A new version is loading everywhere when a request for it comes.
// One that can wait until the load ends is answered; one that cannot hears at
// once when the model will be there.
func TestRequestWaitsForAModelThatIsLoadingInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixed(2, 4)
		b := backend("b0", vmlist.Live)
		b.Status.Models[0].State, b.Status.Models[0].Remaining = engine.Loading, 10*time.Second
		f.replace(b)
		m := manager(t, f)
		begin := time.Now()
		_, err := m.Acquire(t.Context(), ask(f, "status")) // waits 2 s at most
		e := refusal(t, err)
		test.Eq(t, verdict.CodeNoBackend, e.Code)
		test.Eq(t, 10*time.Second, e.RetryAfter)
		test.Zero(t, time.Since(begin))
		go func() {
			time.Sleep(9 * time.Second)
			f.replace(backend("b0", vmlist.Live))
		}()
		g, err := m.Acquire(t.Context(), ask(f, "review")) // waits 20 s at most
		must.NoError(t, err)
		test.Eq(t, "b0", g.Backend().ID)
		test.Between(t, 9*time.Second, time.Since(begin), 10*time.Second)
	})
}

// One account asks ten times its limit through one of two entry VMs.
// This VM gives half of the limit; the rest is refused at once with the time
// after which it is let in.
func TestAccountLimitIsDividedAmongTheVMsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixed(4, 1000)
		view := &membership.View{Members: []membership.Member{
			{ID: "e0", Zone: "a", CallerAddr: "127.0.0.1:1"}, {ID: "e1", Zone: "b", CallerAddr: "127.0.0.1:2"},
		}}
		m := flow.New(flow.Config{
			Location: flow.Location{VM: "e0", Zone: "a"}, Site: f, Backends: snapshots{f},
			Members: membership.Static{View: view}, Seed: 1,
		})
		a := ask(f, "review")
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
		e := refusal(t, err)
		must.Eq(t, verdict.CodeAccountLimit, e.Code)
		time.Sleep(e.RetryAfter)
		_, err = m.Acquire(t.Context(), a)
		test.NoError(t, err)
	})
}

// Every engine stalls at once and generations ask for second attempts.
// Each may cost a prefill; together they must not exceed the budget, while
// answers whose engine is certainly gone always continue.
func TestSpeculativeTakeoversStopAtTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixed(4, 1000)
		m := manager(t, f)
		a := ask(f, "review")
		a.Resume, a.Speculative, a.ExtraTokens = true, true, 500
		granted := 0
		var denied *verdict.Error
		for range 100 {
			g, err := m.Acquire(t.Context(), a)
			if err != nil {
				denied = refusal(t, err)
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

// One plain service answers ten times slower than its peers.
// It goes through the same machinery: calls must soon avoid it.
func TestSlowPlainServiceIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixed(6, 16)
		f.site.Services["dispatch"] = &site.Service{
			Name: "dispatch", Kind: site.KindPlain, Pool: "p", Class: site.ClassUrgent, Deadline: time.Second,
		}
		m := manager(t, f)
		slow := 0
		for i := range 600 {
			time.Sleep(20 * time.Millisecond)
			g, err := m.Acquire(t.Context(), ask(f, "dispatch"))
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

// Requests wait until their deadline although engines have free slots. Order:
// an engine begins to unload a version and turns a few requests for it away;
// they count as failures; the engine is left out for its other versions too.
func TestEngineWithoutAVersionServesTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixed(4, 4)
		m := manager(t, f)
		for range 40 {
			g, err := m.Acquire(t.Context(), ask(f, "review"))
			must.NoError(t, err)
			if g.Backend().ID != "b1" {
				g.Done(flow.Outcome{FirstToken: time.Millisecond, Tokens: 1})
				continue
			}
			g.Done(flow.Outcome{Err: errors.Wrap(engine.ErrNotReady, "unloading")})
		}
		time.Sleep(2 * time.Second)
		a := ask(f, "review")
		a.Exclude, a.Resume = []string{"b0", "b2", "b3"}, true
		began := time.Now()
		g, err := m.Acquire(t.Context(), a)
		must.NoError(t, err)
		test.Eq(t, "b1", g.Backend().ID)
		test.Less(t, time.Second, time.Since(began))
	})
}
