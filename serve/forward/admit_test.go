package forward

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A burst fills the memory of every engine. A prompt that is sent all the same waits
// until its caller's time is over, and makes the engine throw out runs. Its caller is
// told at once that nothing ran and when to come back.
func TestFullEnginesRefuseAtOnce(t *testing.T) {
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

// The daemon of a caller died in a burst, and the caller comes with the id of its last
// event. It holds a part of the answer, so the rest is owed, and engines that are
// full get it all the same.
func TestFullEnginesTakeWhatIsOwed(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		a := w.add("e-a", "llm", "a", streamEvents(5, time.Second, 40*time.Millisecond))
		a.setRuns("full run-1")
		got := w.request(http.MethodPost, "/s/1", withHeaders(map[string]string{hTokens: "80", hAfter: "2"}), "prompt")
		must.Eq(t, events(3, 5), got.body)
	})
}

// All engines have several prompts to read. The first event would come after the
// route's objective: the caller is sent away before it waits for that, and one whose
// objective has passed already is let in as long as half of its time would be left.
func TestPromptsThatWaitTooLongAreRefused(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		a := w.add("e-a", "llm", "a", streamEvents(5, time.Second, 40*time.Millisecond))
		sized := withHeaders(map[string]string{hTokens: "8000"})
		must.Eq(t, http.StatusOK, w.request(http.MethodPost, "/s/1", sized, "prompt").status) // a prompt takes a second
		a.setRuns("-1 -2 -3 -4")
		must.Eq(t, http.StatusServiceUnavailable, w.request(http.MethodPost, "/s/1", sized, "prompt").status)
		late := withHeaders(map[string]string{hTokens: "8000", hWait: "16000"})
		must.Eq(t, http.StatusOK, w.request(http.MethodPost, "/s/1", late, "prompt").status)
		a.setRuns("-1 -2 -3 -4 -5 -6 -7 -8")
		must.Eq(t, http.StatusServiceUnavailable, w.request(http.MethodPost, "/s/1", late, "prompt").status)
	})
}

// A VM lost its power and the connection of a caller hung until the caller gave it up. It
// comes back with more time than its prompt takes to read and less than the rest of its
// answer. It hears at once that nothing ran; no engine reads and makes events in vain.
func TestAnswerThatCannotBeWholeIsRefusedAtOnce(t *testing.T) {
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
		sized[hAfter] = "80" // the rest may well be whole
		must.Eq(t, events(81, 100), w.request(http.MethodPost, "/s/1", withHeaders(sized), "prompt").body)
	})
}
