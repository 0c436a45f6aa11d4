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
				must.Eq(t, c.remain, lender.tryTakeRetry(time.Now(), "llm"))
			})
		})
	}
}
