package forward

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/control/routing"
)

// A burst fills the KV cache of every engine. A prompt sent regardless would wait past its
// caller's deadline and make the engine evict runs. It is refused at once with verdict not_run and
// a Retry-After.
func TestPromptIsRefusedWhenAllEnginesAreFull(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		handle := streamEvents(5, time.Second, 40*time.Millisecond)
		engines := []*fakeServer{w.add("e-a", "llm", "a", handle), w.add("e-b", "llm", "b", handle)}
		for _, e := range engines {
			e.setRuns("full run-1")
		}
		got := w.request(http.MethodPost, "/s/1", withHeaders(map[string]string{hTokens: "80"}), "prompt")
		must.Eq(t, http.StatusServiceUnavailable, got.status)
		must.StrContains(t, got.body, "not_run")
		seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		must.NoError(t, err)
		must.Between(t, 2, seconds, 30)
		must.Less(t, 500*time.Millisecond, got.took)
		for _, e := range engines {
			must.Eq(t, 0, e.requestCount())
		}
	})
}

// A caller whose daemon crashed in a burst resumes its stream with the ID of its last event. It has
// received a part of the response, so the request is sent even though all engines are full.
func TestResumedStreamIsAdmittedToFullEngine(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		a := w.add("e-a", "llm", "a", streamEvents(5, time.Second, 40*time.Millisecond))
		a.setRuns("full run-1")
		got := w.request(http.MethodPost, "/s/1", withHeaders(map[string]string{hTokens: "80", hAfter: "2"}), "prompt")
		must.Eq(t, events(3, 5), got.body)
	})
}

// All engines have several prompts to prefill, so the first event would miss the route's
// objective. The request is refused before it waits. A retried request whose objective has passed
// already is admitted as long as its first event leaves half of the remaining time.
func TestPromptIsRefusedBeyondQueueingObjective(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		a := w.add("e-a", "llm", "a", streamEvents(5, time.Second, 40*time.Millisecond))
		sized := withHeaders(map[string]string{hTokens: "8000"})
		must.Eq(t, http.StatusOK, w.request(http.MethodPost, "/s/1", sized, "prompt").status) // the prefill takes a second
		a.setRuns("-1 -2 -3 -4")
		must.Eq(t, http.StatusServiceUnavailable, w.request(http.MethodPost, "/s/1", sized, "prompt").status)
		late := withHeaders(map[string]string{hTokens: "8000", hWait: "16000"})
		must.Eq(t, http.StatusOK, w.request(http.MethodPost, "/s/1", late, "prompt").status)
		a.setRuns("-1 -2 -3 -4 -5 -6 -7 -8")
		must.Eq(t, http.StatusServiceUnavailable, w.request(http.MethodPost, "/s/1", late, "prompt").status)
	})
}

// A VM fails, and a caller's connection hangs until the caller gives up. It retries with enough
// time for the prefill of its prompt, but not for the rest of the response. The request is refused
// at once with verdict not_run, so that no engine works on a response that cannot be completed.
func TestRequestThatCannotCompleteInTimeIsRefused(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		a := w.add("e-a", "llm", "a", streamEvents(100, 200*time.Millisecond, 40*time.Millisecond))
		sized := map[string]string{hTokens: "8000"}
		for range 5 {
			must.Eq(t, http.StatusOK, w.request(http.MethodPost, "/s/1", withHeaders(sized), "prompt").status)
		}
		for after, wait := range map[string]string{"0": "2000", "20": "1000"} {
			sized[hAfter], sized[hWait] = after, wait
			got := w.request(http.MethodPost, "/s/1", withHeaders(sized), "prompt")
			must.Eq(t, http.StatusServiceUnavailable, got.status)
			must.StrContains(t, got.body, "not_run")
			must.Less(t, 50*time.Millisecond, got.took)
		}
		must.Eq(t, 5, a.requestCount())
		sized[hAfter] = "80" // the rest can be completed in time
		must.Eq(t, events(81, 100), w.request(http.MethodPost, "/s/1", withHeaders(sized), "prompt").body)
	})
}

// Guards against short answers that are refused for good after long ones of their service, because their
// route is used later and nothing states how long they are.
func TestShortAnswersAreServedAfterLongOnes(t *testing.T) {
	routes := append(streamRoute(), &routing.Route{
		Name: "q", Host: "host", Prefix: "/q/", Kind: routing.Stream, Timeout: 2 * time.Second,
		Objective: time.Second, MaxAttempts: 5, Targets: []routing.Target{{Service: "llm", Weight: 1}},
	})
	for _, stated := range []string{"", "120"} {
		withTestCluster(t, routes, func(w *testCluster) {
			w.add("e-a", "llm", "a", func(rw http.ResponseWriter, r *http.Request) {
				length := 100
				if strings.HasPrefix(r.URL.Path, "/q/") {
					length = 20
				}
				streamEvents(length, 50*time.Millisecond, 40*time.Millisecond)(rw, r)
			})
			for range 10 {
				must.Eq(w.t, http.StatusOK, w.request(http.MethodPost, "/s/1", withHeaders(map[string]string{hTokens: "8000", hAnswer: "600"}), "p").status)
			}
			served := 0
			for range 40 {
				if w.request(http.MethodPost, "/q/1", withHeaders(map[string]string{hTokens: "200", hAnswer: stated, hWait: "2000"}), "p").status == http.StatusOK {
					served++
				}
				time.Sleep(time.Second)
			}
			must.GreaterEq(w.t, 39, served, must.Sprint(stated)) // the trial is the first of all
		})
	}
}
