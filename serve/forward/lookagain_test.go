package forward

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/shoenig/test/must"

	"mallowwind.dev/decision/retrybudget"
	"mallowwind.dev/decision/verdict"
)

// breakOnce breaks off the first stream after its tenth event, and handles all others.
func breakOnce(handle http.HandlerFunc) http.HandlerFunc { return breakOnceAfter(10, handle) }

// breakOnceAfter breaks off the first stream after an event, and handles all others.
func breakOnceAfter(last int, handle http.HandlerFunc) http.HandlerFunc {
	var broken atomic.Bool
	return func(rw http.ResponseWriter, r *http.Request) {
		if !broken.CompareAndSwap(false, true) {
			handle(rw, r)
			return
		}
		rw.Header().Set(hProof, "p")
		for id := 1; id <= last; id++ {
			writeEvent(rw, id)
			sleep(r, 40*time.Millisecond)
		}
		panic(http.ErrAbortHandler)
	}
}

// Guards against cutting an answer whose connection broke while the retry budget is used up for a moment.
func TestBrokenAnswerAwaitsRetryBudget(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		handle := breakOnce(streamEvents(20, time.Second, 40*time.Millisecond))
		for _, id := range []string{"a", "b", "c"} {
			w.add("e-"+id, "llm", id, handle)
		}
		w.setRetryBudget(retrybudget.Policy{Slack: 1.2, Window: 1500 * time.Millisecond})
		must.True(w.t, w.handler.pool.tryTakeRetry(time.Now(), "llm", false)) // for another stream
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.NoError(w.t, got.err)
		must.Eq(w.t, events(1, 20), got.body)
		must.Less(w.t, 5*time.Second, got.took)
	})
}

// Guards against waiting until the deadline for a server when the prompt cannot be prefilled by then.
func TestBrokenAnswerEndsWhenItsPromptIsTooLate(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		w.withoutCopies()
		handle := breakOnce(streamEvents(20, time.Second, 40*time.Millisecond))
		for _, id := range []string{"a", "b", "c"} {
			w.add("e-"+id, "llm", id, handle)
		}
		w.setRetryBudget(noRetries)
		const tokens, prefill = 8000, 4 * time.Second
		for range 100 {
			w.handler.pressure.recordPrefill("llm", tokens, prefill)
		}
		got := w.request(http.MethodPost, "/s/1", withHeaders(map[string]string{hTokens: "8000", hWait: "10000"}), "prompt")
		must.Error(w.t, got.err)
		must.Less(w.t, 10*time.Second-prefill/2, got.took)
	})
}

// Guards against cutting an answer whose copy exists because its prompt could not be prefilled again in time.
func TestAnswerWithCopyAwaitsRetryBudget(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		handle := breakOnceAfter(175, streamEvents(190, 0, 40*time.Millisecond))
		for _, id := range []string{"a", "b", "c"} {
			w.add("e-"+id, "llm", id, handle)
		}
		for range 100 {
			w.handler.pressure.recordPrefill("llm", 8000, 4*time.Second)
		}
		w.setRetryBudget(retrybudget.Policy{Slack: 1.2, Window: 1500 * time.Millisecond})
		w.background(func() {
			time.Sleep(6500 * time.Millisecond)
			w.handler.pool.tryTakeRetry(time.Now(), "llm", false) // for another stream
		})
		got := w.request(http.MethodPost, "/s/1", withHeaders(map[string]string{hTokens: "8000", hWait: "10000"}), "prompt")
		must.NoError(w.t, got.err)
		must.Eq(w.t, events(1, 190), got.body)
	})
}

// Guards against retries of the fleet that are used up without a request while all servers are lost.
func TestAnswerOfLostServiceUsesNoRetries(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		for _, id := range []string{"a", "b", "c", "d"} {
			w.add("e-"+id, "llm", id, streamEvents(200, time.Second, 40*time.Millisecond))
		}
		w.background(func() { w.silenceRunner(1500*time.Millisecond, 3*time.Second) })
		w.background(func() {
			time.Sleep(8 * time.Second)
			w.setRetryBudget(retrybudget.Policy{Slack: 20, Window: time.Minute})
			for _, s := range w.servers {
				w.crash(s)
			}
		})
		must.Error(w.t, w.request(http.MethodPost, "/s/1", callerHeaders, "prompt").err)
		left := 0
		for w.handler.pool.tryTakeRetry(time.Now(), "llm", false) {
			left++
		}
		must.GreaterEq(w.t, 15, left)
	})
}

// Guards against cut answers whose cause no metric shows.
func TestTruncatedAnswersAreCountedByCause(t *testing.T) {
	for _, c := range []struct {
		cause string
		err   error
	}{
		{causeDaemonExiting, errDaemonExiting},
		{string(verdict.CodeNoBackend), verdict.New(verdict.MayHaveRun, verdict.CodeNoBackend, "none")},
		{causeOther, errNoEvents},
	} {
		must.Eq(t, c.cause, truncationCause((&relay{headersSent: true}).giveUp(c.err)))
	}
	route := streamRoute()
	route[0].MaxAttempts = 1
	withTestCluster(t, route, func(w *testCluster) {
		w.add("e-a", "llm", "a", breakOnce(streamEvents(20, time.Second, 40*time.Millisecond)))
		must.Error(w.t, w.request(http.MethodPost, "/s/1", callerHeaders, "prompt").err)
		must.Eq(w.t, 1, testutil.ToFloat64(w.handler.metrics.truncated.WithLabelValues(string(verdict.CodeBackendFailed))))
	})
}
