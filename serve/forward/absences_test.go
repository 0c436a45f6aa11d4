package forward

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// loseAll crashes engines, and puts new ones at their addresses under other ids after a while.
func (w *testCluster) loseAll(engines []*fakeServer, away time.Duration, generation int) []*fakeServer {
	for _, e := range engines {
		w.crash(e)
	}
	time.Sleep(away)
	var next []*fakeServer
	for _, e := range engines {
		w.remove("server/" + e.server.ID)
		one := w.replaceServer(e, fmt.Sprintf("%s-%d", e.server.ID, generation), "llm")
		w.register(one)
		next = append(next, one)
	}
	return next
}

// All engines are lost for a second, and it is known by then how long that takes. A caller
// that arrives meanwhile is refused, and so it is when it comes back half a second later:
// its one repeat is used up though the engines are back by then. It waits instead, and its
// answer is whole within the objective; an answer that was cut goes on.
func TestCallersWaitForEnginesThatReturn(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		handle := streamEvents(30, 500*time.Millisecond, 40*time.Millisecond)
		engines := []*fakeServer{w.add("e-a", "llm", "a", handle), w.add("e-b", "llm", "b", handle)}
		lost := make(chan []*fakeServer)
		go func() {
			time.Sleep(time.Second)
			lost <- w.loseAll(engines, time.Second, 1)
		}()
		// Nothing is known the first time: the answer is cut soon.
		must.Error(t, w.request(http.MethodPost, "/s/1", callerHeaders, "prompt").err)
		engines = <-lost
		time.Sleep(time.Second)

		go func() {
			time.Sleep(time.Second)
			lost <- w.loseAll(engines, time.Second, 2)
		}()
		cut := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.NoError(t, cut.err)
		must.Eq(t, events(1, 30), cut.body)
		engines = <-lost
		time.Sleep(time.Second)

		go func() { lost <- w.loseAll(engines, time.Second, 3) }()
		time.Sleep(100 * time.Millisecond)
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.Eq(t, events(1, 30), got.body)
		must.Less(t, 4*time.Second, got.took)
		<-lost
	})
}

// All engines are lost and none returns. Callers wait no longer than engines were away
// before, hear that nothing ran, and are told to come back after as long again.
func TestCallersOfEnginesThatStayAway(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		engines := []*fakeServer{w.add("e-a", "llm", "a", streamEvents(3, 100*time.Millisecond, 10*time.Millisecond))}
		w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		w.handler.pool.recordFailure(time.Now(), engines[0].server)
		engines = w.loseAll(engines, time.Second, 1)
		time.Sleep(time.Second)
		w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		w.crash(engines[0])
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.Eq(t, http.StatusServiceUnavailable, got.status)
		must.StrContains(t, got.body, "not_run")
		must.Between(t, time.Second, got.took, 2300*time.Millisecond)
		seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		must.NoError(t, err)
		must.Between(t, 0.75, seconds, 2)
		w.remove("server/" + engines[0].server.ID)
		time.Sleep(time.Second)
		got = w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.Eq(t, http.StatusServiceUnavailable, got.status) // none is registered
		must.Less(t, 100*time.Millisecond, got.took)
	})
}
