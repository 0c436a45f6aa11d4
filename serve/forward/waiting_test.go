package forward

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/control/routing"
)

// priorityRoutes returns an urgent and a less urgent stream route of one service.
func priorityRoutes() []*routing.Route {
	urgent, club := *streamRoute()[0], *streamRoute()[0]
	urgent.Name, urgent.Prefix = "urgent", "/u/"
	club.Name, club.Prefix, club.Priority, club.Objective = "club", "/c/", 2, 8*time.Second
	return []*routing.Route{&urgent, &club}
}

func sized(id string) map[string]string {
	return withHeaders(map[string]string{hID: id, hTokens: "80", hPart: id})
}

// async sends a request concurrently with the test.
func (w *testCluster) async(path string, header map[string]string) <-chan response {
	got := make(chan response, 1)
	w.background(func() { got <- w.request(http.MethodPost, path, header, "prompt") })
	return got
}

// mustRefuse checks that a response says that the request did not run.
func mustRefuse(t *testing.T, got response, status int) {
	t.Helper()
	must.NoError(t, got.err)
	must.Eq(t, status, got.status)
	must.StrContains(t, got.body, "not_run")
}

// A burst fills all engines for a second and a half. Without the wait, a prompt that arrives then is
// refused, although an engine has room long before its latest start.
func TestPromptWaitsForRoom(t *testing.T) {
	withTestCluster(t, priorityRoutes(), func(w *testCluster) {
		a := w.add("e-a", "llm", "a", streamEvents(5, time.Second, 40*time.Millisecond))
		a.setRuns("full run-1")
		pending := w.async("/c/1", sized("r1"))
		time.Sleep(1500 * time.Millisecond)
		must.Eq(t, 0, a.requestCount())
		must.Eq(t, 1, w.handler.waiting.len())
		a.setRuns("run-1")
		got := <-pending
		must.Eq(t, events(1, 5), got.body)
		must.Less(t, 3500*time.Millisecond, got.took)
		must.Eq(t, 0, w.handler.waiting.len())
	})
}

// Engines stay full. Without a bound, a prompt waits for an answer that is late in any case. It is
// refused at its latest start: the objective without the second that its prefill takes.
func TestWaitEndsAtLatestStart(t *testing.T) {
	withTestCluster(t, priorityRoutes(), func(w *testCluster) {
		a := w.add("e-a", "llm", "a", streamEvents(5, time.Second, 40*time.Millisecond))
		must.Eq(t, http.StatusOK, w.request(http.MethodPost, "/u/1", sized("r0"), "prompt").status) // the prefill takes a second
		a.setRuns("full run-1")
		got := w.request(http.MethodPost, "/u/1", sized("r1"), "prompt")
		mustRefuse(t, got, http.StatusServiceUnavailable)
		must.Between(t, 3*time.Second, got.took, 3500*time.Millisecond)
		seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		must.NoError(t, err)
		must.Between(t, 2, seconds, 30)
		must.Eq(t, 1, a.requestCount())
	})
}
