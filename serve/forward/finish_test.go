package forward

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A VM lost its power, and its callers come back at another daemon when little of their
// time is left. Order: the daemon looks which engine holds the prompt, none does, and it
// has the prompt read, for a second of an engine; the caller's time is over before the end.
// Cause: whether the answer can be whole was judged before the look, as if the prompt were
// held. The caller hears at once, and no engine reads for nobody.
func TestAnswerWhosePromptIsLostIsRefusedWhereItCannotBeWhole(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		reading := time.Second
		handle := func(rw http.ResponseWriter, r *http.Request) {
			streamEvents(101, reading, 30*time.Millisecond)(rw, r)
		}
		for _, id := range []string{"e-1", "e-2", "e-3"} {
			w.add(id, "llm", "a", handle)
		}
		for range 5 { // the daemon learns how answers are made here
			must.NoError(t, w.request(http.MethodPost, "/s/1", withHeaders(map[string]string{hTokens: "8000"}), "prompt").err)
		}
		ran := func() (n int) {
			for _, s := range w.servers {
				n += s.requestCount()
			}
			return n
		}
		before := ran()
		late := map[string]string{hAfter: "60", hPart: "p7", hTokens: "8000", hWait: "900"}
		got := w.request(http.MethodPost, "/s/1", withHeaders(late), "prompt")
		must.Eq(t, http.StatusServiceUnavailable, got.status)
		must.Less(t, 500*time.Millisecond, got.took)
		must.Eq(t, before, ran())

		w.servers["e-2"].setCache("p7") // then there is time enough
		reading, late[hAfter] = 0, "90"
		must.Eq(t, events(91, 101), w.request(http.MethodPost, "/s/1", withHeaders(late), "prompt").body)
	})
}

// All daemons start at once. Callers come back with little of their time left at one that
// has seen no whole answer yet, and knows nothing of the engines' pace. Others have seen
// answers: the callers must not wait for what cannot be whole.
func TestDaemonThatKnowsNothingHearsThePace(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		w.add("e-1", "llm", "a", streamEvents(101, time.Second, 30*time.Millisecond))
		other := w.addDaemon("vm-2")
		for range 5 {
			other.pressure.recordPrefill("llm", 8000, time.Second)
			other.pressure.recordAnswer("llm", 101, 3*time.Second)
		}
		late := withHeaders(map[string]string{hAfter: "60", hPart: "p7", hTokens: "8000", hWait: "900"})
		got := w.request(http.MethodPost, "/s/1", late, "prompt")
		must.Eq(t, http.StatusServiceUnavailable, got.status)
		must.Zero(t, w.servers["e-1"].requestCount())
	})
}
