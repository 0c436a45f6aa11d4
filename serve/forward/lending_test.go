package forward

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/repeats"
	"mallowwind.dev/peer/link"
)

// otherPools are those of other daemons, by address, that only lend.
type otherPools map[string]*pool

// RoundTrip implements http.RoundTripper.
func (n otherPools) RoundTrip(r *http.Request) (*http.Response, error) {
	p := n[r.URL.Host]
	if p == nil {
		return nil, errors.New("no such daemon")
	}
	w := httptest.NewRecorder()
	_, h := (&Handler{pool: p}).RetryBudgetService()
	h.ServeHTTP(w, r)
	return w.Result(), nil
}

// An engine dies with a stream of a daemon that has used up its part of the
// fleet's budget of repeats. A neighbour has repeats left. Without a question the
// answer is cut; with it the neighbour gives one up and the stream goes on.
func TestStreamGoesOnWithARepeatOfANeighbour(t *testing.T) {
	cases := []struct {
		name   string
		slack  float64 // of the neighbour
		whole  bool
		remain bool // the neighbour may still repeat
	}{
		{"neighbour has one", 1.5, true, false},
		{"neighbour has none", 0, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withTestCluster(t, streamRoute(), func(w *testCluster) {
				lender := newPool(routing.VM{ID: "vm-3"}, repeats.Policy{Slack: c.slack, Window: 10 * time.Second}, w.handler.versions)
				w.handler.SetBounds(5*time.Second, repeats.Policy{Window: 10 * time.Second})
				w.handler.borrower.dialer = link.NewDialerWith(&http.Client{Transport: otherPools{"three:1": lender}})
				lender.startedAt = lender.startedAt.Add(-10 * time.Second)
				w.handler.pool.startedAt = lender.startedAt
				w.put("mallowwind/vm/vm-2", `{"id":"vm-2","zone":"b","address":"two:2","peer":"two:1"}`) // died
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
