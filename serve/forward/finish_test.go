package forward

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A VM fails, and its callers resume at another daemon with little time left. If the daemon
// assumed that an engine still holds the prompt when it checks the deadline, and the lookup then
// found none, the prompt would be prefilled for a second although the response cannot be completed
// in time. The check is repeated after the lookup, so the request is refused at once.
func TestResumedStreamWithLostPromptIsRefusedIfItCannotComplete(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		reading := time.Second
		handle := func(rw http.ResponseWriter, r *http.Request) {
			streamEvents(101, reading, 30*time.Millisecond)(rw, r)
		}
		for _, id := range []string{"e-1", "e-2", "e-3"} {
			w.add(id, "llm", "a", handle)
		}
		for range 5 { // the daemon learns the pace of the engines
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

		w.servers["e-2"].setCache("p7") // with the prompt cached there is enough time
		reading, late[hAfter] = 0, "90"
		must.Eq(t, events(91, 101), w.request(http.MethodPost, "/s/1", withHeaders(late), "prompt").body)
	})
}

// After a restart of all daemons, callers resume with little time left at a daemon that has not
// seen a complete response and does not know the pace of the engines. It asks daemons that do, so
// that a request which cannot complete in time is refused.
func TestNewDaemonLearnsPaceFromPeers(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		w.add("e-1", "llm", "a", streamEvents(101, time.Second, 30*time.Millisecond))
		other := w.addDaemon("vm-2")
		for range 5 {
			other.pressure.recordPrefill("llm", 8000, time.Second)
			other.pressure.recordAnswer("llm", 101, 0, 3*time.Second)
		}
		late := withHeaders(map[string]string{hAfter: "60", hPart: "p7", hTokens: "8000", hWait: "900"})
		got := w.request(http.MethodPost, "/s/1", late, "prompt")
		must.Eq(t, http.StatusServiceUnavailable, got.status)
		must.Zero(t, w.servers["e-1"].requestCount())
	})
}
