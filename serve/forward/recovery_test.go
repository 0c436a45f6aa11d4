package forward

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// replaceAll crashes engines and, after a while, starts new ones at their addresses under other
// ids.
func (w *testCluster) replaceAll(engines []*fakeServer, downtime time.Duration, generation int) []*fakeServer {
	for _, e := range engines {
		w.crash(e)
	}
	time.Sleep(downtime)
	var next []*fakeServer
	for _, e := range engines {
		w.remove("server/" + e.server.ID)
		one := w.replaceServer(e, fmt.Sprintf("%s-%d", e.server.ID, generation), "llm")
		w.register(one)
		next = append(next, one)
	}
	return next
}

// Guards against refusals during a restart of all engines. The engines are down for a second, and
// the daemon already knows how long a restart takes. A caller that is refused meanwhile retries
// half a second later, is refused again, and has used up its only retry although the engines are
// back by then. Instead, the request must wait and be complete within the objective, and a broken
// answer must resume.
func TestRequestsWaitForRestartedEngines(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		handle := streamEvents(30, 500*time.Millisecond, 40*time.Millisecond)
		engines := []*fakeServer{w.add("e-a", "llm", "a", handle), w.add("e-b", "llm", "b", handle)}
		replaced := make(chan []*fakeServer)
		go func() {
			time.Sleep(time.Second)
			replaced <- w.replaceAll(engines, time.Second, 1)
		}()
		// No downtime is known yet, so the answer is cut soon.
		must.Error(t, w.request(http.MethodPost, "/s/1", callerHeaders, "prompt").err)
		engines = <-replaced
		time.Sleep(time.Second)

		go func() {
			time.Sleep(time.Second)
			replaced <- w.replaceAll(engines, time.Second, 2)
		}()
		cut := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.NoError(t, cut.err)
		must.Eq(t, events(1, 30), cut.body)
		engines = <-replaced
		time.Sleep(time.Second)

		go func() { replaced <- w.replaceAll(engines, time.Second, 3) }()
		time.Sleep(100 * time.Millisecond)
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.Eq(t, events(1, 30), got.body)
		must.Less(t, 4*time.Second, got.took)
		<-replaced
	})
}

// Guards against requests that wait for engines which do not return. A request must wait no longer
// than past downtimes suggest, be answered as not run, and carry a Retry-After of about as long.
func TestWaitIsBoundedWhileEnginesStayDown(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		engines := []*fakeServer{w.add("e-a", "llm", "a", streamEvents(3, 100*time.Millisecond, 10*time.Millisecond))}
		w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		w.handler.pool.recordFailure(time.Now(), engines[0].server)
		engines = w.replaceAll(engines, time.Second, 1)
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
		must.Eq(t, http.StatusServiceUnavailable, got.status) // no engine is registered
		must.Less(t, 100*time.Millisecond, got.took)
	})
}
