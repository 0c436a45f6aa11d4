package forward

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/decision/retrybudget"
)

// rejectOthers handles the first request with handle and rejects all others as a full server does.
func rejectOthers(handle http.HandlerFunc) http.HandlerFunc {
	var begun atomic.Bool
	return func(rw http.ResponseWriter, r *http.Request) {
		if begun.CompareAndSwap(false, true) {
			handle(rw, r)
			return
		}
		rw.Header().Set(hNotRun, "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
	}
}

// silenceRunner makes the server that has a request fall silent for d. Its run goes on meanwhile.
func (w *testCluster) silenceRunner(after, d time.Duration) {
	time.Sleep(after)
	for id, s := range w.servers {
		if s.requestCount() > 0 {
			w.silenceInTurn(0, d, id)
			return
		}
	}
}

// Guards against cutting an answer because its server is silent and nothing can replace it now.
func TestSilentServerKeepsAnswerThatCannotMove(t *testing.T) {
	for _, c := range []struct {
		name        string
		silence     time.Duration
		maxAttempts int
		rule        retrybudget.Policy
	}{
		{"others are full", 2600 * time.Millisecond, 5, testRetryRule},
		{"no retries left", 2600 * time.Millisecond, 5, noRetries},
		{"no attempts left", 1200 * time.Millisecond, 1, testRetryRule},
	} {
		t.Run(c.name, func(t *testing.T) {
			route := streamRoute()
			route[0].MaxAttempts = c.maxAttempts
			withTestCluster(t, route, func(w *testCluster) {
				handle := rejectOthers(streamEvents(60, time.Second, 40*time.Millisecond))
				for _, id := range []string{"a", "b", "c", "d"} {
					w.add("e-"+id, "llm", id, handle)
				}
				w.setRetryBudget(c.rule)
				w.background(func() { w.silenceRunner(1500*time.Millisecond, c.silence) })
				w.background(func() {
					time.Sleep(1700 * time.Millisecond)
					now := time.Now()
					w.handler.BeginShutdown(ShutdownSchedule{StreamsUntil: now.Add(time.Second), RequestsUntil: now.Add(2 * time.Second), ExitAt: now.Add(7 * time.Second)})
				})
				got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
				must.NoError(w.t, got.err)
				must.Eq(w.t, events(1, 60), got.body)
			})
		})
	}
}

// checkMoved checks that an answer is whole that is moved off a silent server while all others are full for a
// time. isLate says which requests, counted from 1, a full server rejects late.
func checkMoved(t *testing.T, fullFor time.Duration, isLate func(n int32) bool) {
	t.Helper()
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		var begun atomic.Int32
		var full atomic.Bool
		full.Store(true)
		handle := func(rw http.ResponseWriter, r *http.Request) {
			n := begun.Add(1)
			if n == 1 || !full.Load() {
				streamEvents(60, time.Second, 40*time.Millisecond)(rw, r)
				return
			}
			if isLate(n) {
				sleep(r, 600*time.Millisecond)
			}
			rw.Header().Set(hNotRun, "1")
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
		for _, id := range []string{"a", "b", "c", "d"} {
			w.add("e-"+id, "llm", id, handle)
		}
		w.background(func() { w.silenceRunner(1500*time.Millisecond, 2*time.Second) })
		w.background(func() {
			time.Sleep(fullFor)
			full.Store(false)
		})
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.NoError(w.t, got.err)
		must.Eq(w.t, events(1, 60), got.body)
	})
}

// Guards against cutting an answer that was moved off a silent server when the next one rejects it.
func TestAnswerMovedOffSilentServerSurvivesLateRejection(t *testing.T) {
	checkMoved(t, 6*time.Second, func(int32) bool { return true })
}

// Guards against cutting an answer that was moved off a silent server while a full service rejects at once.
func TestAnswerMovedOffSilentServerSurvivesFullService(t *testing.T) {
	checkMoved(t, 12*time.Second, func(n int32) bool { return n == 2 })
}

// Guards against ending an answer in its prefill because its server leaves and is silent for a moment.
func TestLeavingServerSilentDuringPrefillKeepsAnswer(t *testing.T) {
	route := streamRoute()
	route[0].MaxAttempts = 1
	withTestCluster(t, route, func(w *testCluster) {
		for _, id := range []string{"a", "b", "c"} {
			w.add("e-"+id, "llm", id, streamEvents(20, 5*time.Second, 40*time.Millisecond))
		}
		w.background(func() {
			time.Sleep(time.Second)
			for id, s := range w.servers {
				if s.requestCount() > 0 {
					w.remove("server/" + id) // leaves unannounced, and serves on
				}
			}
			w.silenceRunner(2200*time.Millisecond, 1400*time.Millisecond)
		})
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.NoError(w.t, got.err)
		must.Eq(w.t, events(1, 20), got.body)
	})
}

// Guards against releasing a silent server for one that is silent too, when nothing else can replace it.
func TestAnswerStaysWhereNextServerIsSilentToo(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		handle := rejectOthers(streamEvents(60, time.Second, 40*time.Millisecond))
		for _, id := range []string{"a", "b", "c"} {
			w.add("e-"+id, "llm", id, func(rw http.ResponseWriter, r *http.Request) {
				if r.Header.Get(hCopyAt) != "" {
					sleep(r, time.Hour)
					return
				}
				handle(rw, r)
			})
		}
		w.background(func() {
			time.Sleep(1500 * time.Millisecond)
			for w.totalRequests() == 0 {
				time.Sleep(time.Millisecond)
			}
			var runner string
			for id, s := range w.servers {
				if s.requestCount() > 0 {
					runner = id
				}
			}
			w.background(func() { w.silenceInTurn(0, 3*time.Second, runner) })
			for w.totalRequests() < 2 {
				time.Sleep(time.Millisecond)
			}
			for id := range w.servers {
				if id != runner {
					w.background(func() { w.silenceInTurn(0, 2500*time.Millisecond, id) })
				}
			}
		})
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.NoError(w.t, got.err)
		must.Eq(w.t, events(1, 60), got.body)
		must.Eq(w.t, 2, w.totalRequests())
	})
}
