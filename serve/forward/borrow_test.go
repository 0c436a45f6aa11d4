package forward

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/retrybudget"
	"mallowwind.dev/peer/link"
)

// lenderPools holds the pools of other daemons by peer address. They only lend retries.
type lenderPools map[string]*pool

// RoundTrip implements http.RoundTripper.
func (n lenderPools) RoundTrip(r *http.Request) (*http.Response, error) {
	p := n[r.URL.Host]
	if p == nil {
		return nil, errors.New("no such daemon")
	}
	w := httptest.NewRecorder()
	_, h := (&Handler{pool: p}).RetryBudgetService()
	h.ServeHTTP(w, r)
	return w.Result(), nil
}

// Guards against cut answers while a peer has retries left. An engine crashes with a stream of a
// daemon that has used up its share of the fleet's retry budget. The daemon must borrow a retry so
// that the stream resumes, and the lender must be charged for it.
func TestStreamResumesWithBorrowedRetry(t *testing.T) {
	cases := []struct {
		name   string
		slack  float64 // of the lender
		whole  bool
		remain bool // the lender may still retry
	}{
		{"lender has a retry", 1.5, true, false},
		{"lender has none", 0, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withTestCluster(t, streamRoute(), func(w *testCluster) {
				lender := newPool(routing.VM{ID: "vm-3"}, retrybudget.Policy{Slack: c.slack, Window: 10 * time.Second}, w.handler.versions)
				w.handler.SetBounds(5*time.Second, retrybudget.Policy{Window: 10 * time.Second})
				w.handler.borrower.dialer = link.NewDialerWithClient(&http.Client{Transport: lenderPools{"three:1": lender}})
				lender.startedAt = lender.startedAt.Add(-10 * time.Second)
				observeFleetLongAgo(lender)
				w.handler.pool.startedAt = lender.startedAt
				w.put("mallowwind/vm/vm-2", `{"id":"vm-2","zone":"b","address":"two:2","peer":"two:1"}`) // dead
				w.put("mallowwind/vm/vm-3", `{"id":"vm-3","zone":"c","address":"three:2","peer":"three:1"}`)
				handle := streamEvents(40, time.Second, 40*time.Millisecond)
				a := w.add("e-a", "llm", "a", handle)
				b := w.add("e-b", "llm", "b", handle)
				go func() {
					time.Sleep(1500 * time.Millisecond)
					if a.requestCount() > 0 {
						w.crash(a)
					} else {
						w.crash(b)
					}
				}()
				got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
				must.Eq(t, c.whole, got.err == nil)
				must.Eq(t, c.whole, got.body == events(1, 40))
				must.Eq(t, c.remain, lender.tryTakeRetry(time.Now(), "llm", false))
			})
		})
	}
}

// priorityRoutes returns streamRoute's route as an urgent and a less urgent one.
func priorityRoutes() []*routing.Route {
	urgent, less := *streamRoute()[0], *streamRoute()[0]
	urgent.Name, urgent.Prefix = "u", "/u/"
	less.Priority = 2
	return []*routing.Route{&urgent, &less}
}

// Guards against ordinary retries that use up the budget of answers that callers hold in part. The
// daemon has only the reserved part of its budget left. A less urgent request whose engine fails
// before the first event must not take it, locally or from a lender; an urgent request must, and so
// must a less urgent answer that breaks off. Where requests don't differ in priority, any may.
func TestReservedRetries(t *testing.T) {
	cases := []struct {
		name      string
		routes    []*routing.Route
		path      string
		crashAt   time.Duration
		borrowing bool // the daemon has nothing left, a lender has the reserve
		granted   bool
	}{
		{"less urgent, nothing held", priorityRoutes(), "/s/1", 500 * time.Millisecond, false, false},
		{"less urgent, part held", priorityRoutes(), "/s/1", 1500 * time.Millisecond, false, true},
		{"urgent, nothing held", priorityRoutes(), "/u/1", 500 * time.Millisecond, false, true},
		{"one priority, nothing held", streamRoute(), "/s/1", 500 * time.Millisecond, false, true},
		{"less urgent, nothing held, lender", priorityRoutes(), "/s/1", 500 * time.Millisecond, true, false},
		{"less urgent, part held, lender", priorityRoutes(), "/s/1", 1500 * time.Millisecond, true, true},
		{"urgent, nothing held, lender", priorityRoutes(), "/u/1", 500 * time.Millisecond, true, true},
		{"one priority, nothing held, lender", streamRoute(), "/s/1", 500 * time.Millisecond, true, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withTestCluster(t, c.routes, func(w *testCluster) {
				// One retry: nine tenths of 1.2 permit it, seven tenths of them don't.
				one := retrybudget.Policy{Slack: 1.2, Window: 10 * time.Second}
				rule := one
				if c.borrowing {
					rule.Slack = 0
				}
				lender := newPool(routing.VM{ID: "vm-3"}, one, w.handler.versions)
				w.handler.SetBounds(5*time.Second, rule)
				lender.startedAt = lender.startedAt.Add(-10 * time.Second)
				observeFleetLongAgo(lender)
				w.handler.pool.startedAt = lender.startedAt
				if c.borrowing {
					w.handler.borrower.dialer = link.NewDialerWithClient(&http.Client{Transport: lenderPools{"three:1": lender}})
					w.put("mallowwind/vm/vm-3", `{"id":"vm-3","zone":"c","address":"three:2","peer":"three:1"}`)
				}
				handle := streamEvents(40, time.Second, 40*time.Millisecond)
				a := w.add("e-a", "llm", "a", handle)
				b := w.add("e-b", "llm", "b", handle)
				go func() {
					time.Sleep(c.crashAt)
					runner, _ := runnerAndHolder(a, b)
					w.crash(runner)
				}()
				got := w.request(http.MethodPost, c.path, callerHeaders, "prompt")
				must.Eq(t, c.granted, got.body == events(1, 40))
			})
		})
	}
}
