package forward

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/decision/retrybudget"
)

// noRetries is a retry budget without any retries.
var noRetries = retrybudget.Policy{Window: 10 * time.Second}

// setRetryBudget replaces the fleet's retry budget. The daemon has its share of the slack.
func (w *testCluster) setRetryBudget(rule retrybudget.Policy) {
	w.handler.pool.mu.Lock()
	defer w.handler.pool.mu.Unlock()
	w.handler.pool.retryRule, w.handler.pool.startedAt = rule, time.Now().Add(-rule.Window)
	clear(w.handler.pool.budgets)
}

// askMany sends n streams 5 ms apart and returns what their callers received.
func (w *testCluster) askMany(n int) []response {
	got := make([]response, n)
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() {
			time.Sleep(time.Duration(i) * 5 * time.Millisecond)
			got[i] = w.request(http.MethodPost, "/s/1", withHeaders(map[string]string{hID: fmt.Sprintf("r%d", i)}), "prompt")
		})
	}
	all.Wait()
	return got
}

// totalRequests returns how many requests all servers were asked to run.
func (w *testCluster) totalRequests() int {
	n := 0
	for _, s := range w.servers {
		n += s.requestCount()
	}
	return n
}

// An engine pauses a stream for 600 ms because it prefills prompts, and the engine with the copy
// rejects the request because it has freed the copy. If the daemon had closed the connection to the
// first engine by then, and the retry budget permitted no further send, the response would be
// truncated although the run completed 0.6 s before the second engine was asked; the caller's
// connection was closed half a second later.
func TestStalledStreamIsKeptWhenCopyIsGone(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		handle := withCopyReleased(0, 600*time.Millisecond)
		w.add("e-a", "llm", "a", handle)
		w.add("e-b", "llm", "b", handle)
		w.setRetryBudget(retrybudget.Policy{Slack: 1.2, Window: 10 * time.Second}) // one repeat
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.NoError(w.t, got.err)
		must.Eq(w.t, events(1, 20), got.body)
	})
}

// withCopyReleased is an engine that has freed the copy it is asked for, and rejects such requests
// after a wait. Its other streams pause in the middle.
func withCopyReleased(wait, pause time.Duration) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		if r.Header.Get(hCopyAt) == "" {
			pausing(rw, r, pause)
			return
		}
		sleep(r, wait)
		rw.Header().Set(hNotRun, "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
	}
}

// pausing generates twenty events and pauses after the tenth.
func pausing(rw http.ResponseWriter, r *http.Request, pause time.Duration) {
	rw.Header().Set(hProof, "p")
	for id := 1; id <= 20; id++ {
		if r.Context().Err() != nil {
			return
		}
		writeEvent(rw, id)
		sleep(r, 40*time.Millisecond)
		if id == 10 {
			sleep(r, pause)
		}
	}
}

// An engine becomes unreachable during a stream while the retry budget is exhausted. The response
// must not be truncated at once: the budget permits a retry a second later, and the caller waits
// for two seconds. In 90 s of restarts 744 retries were denied, and each denial truncated a
// response.
func TestStalledStreamResumesOnceRetryBudgetPermits(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		handle := streamEvents(40, time.Second, 40*time.Millisecond)
		a := w.add("e-a", "llm", "a", handle)
		b := w.add("e-b", "llm", "b", handle)
		w.setRetryBudget(retrybudget.Policy{Slack: 1.2, Window: 1500 * time.Millisecond})
		w.background(func() {
			time.Sleep(1500 * time.Millisecond)
			runner, _ := runnerAndHolder(a, b)
			runner.listener.Stall()
			w.handler.pool.tryTakeRetry(time.Now(), "llm", false) // for another stream
		})
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.NoError(w.t, got.err)
		must.Eq(w.t, events(1, 40), got.body)
		must.Less(w.t, 5*time.Second, got.took)
	})
}

// A stream stalls, and the engine with the copy takes a second to respond because it prefills
// prompts. Both engines must not work on the response for long: the abandoned run ends within
// 400 ms of the request to the second engine if the first does not respond to probes, otherwise
// within 400 ms of the second engine's first event. The caller receives each event once.
func TestStalledRunEndsAfterTakeover(t *testing.T) {
	for _, alive := range []bool{false, true} {
		t.Run(fmt.Sprint("responds to probes: ", alive), func(t *testing.T) {
			withTestCluster(t, streamRoute(), func(w *testCluster) {
				asked, began, ended := make(chan time.Time, 1), make(chan time.Time, 1), make(chan time.Time, 1)
				handle := func(rw http.ResponseWriter, r *http.Request) {
					if r.Header.Get(hCopyAt) != "" {
						asked <- time.Now()
						sleep(r, time.Second)
						began <- time.Now()
						streamEvents(20, 0, 40*time.Millisecond)(rw, r)
						return
					}
					rw.Header().Set(hProof, "p")
					writeEvent(rw, 1)
					if !alive {
						w.servers[r.Header.Get(hServer)].failStatus()
					}
					<-r.Context().Done()
					ended <- time.Now()
				}
				w.add("e-a", "llm", "a", handle)
				w.add("e-b", "llm", "b", handle)
				got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
				must.NoError(w.t, got.err)
				must.Eq(w.t, events(1, 20), got.body)
				from := <-asked
				if alive {
					from = <-began
				}
				must.Less(w.t, 400*time.Millisecond, (<-ended).Sub(from))
			})
		})
	}
}

// A stalled engine continues its stream when the engine with the copy has already received the
// request. The response stays with the first engine, the caller receives each event once, and the
// second run is cancelled.
func TestStalledEngineRecoversDuringTakeover(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		ended := make(chan struct{})
		handle := func(rw http.ResponseWriter, r *http.Request) {
			if r.Header.Get(hCopyAt) == "" {
				pausing(rw, r, 400*time.Millisecond)
				return
			}
			defer close(ended)
			sleep(r, 150*time.Millisecond)
			streamEvents(20, 0, 40*time.Millisecond)(rw, r)
		}
		w.add("e-a", "llm", "a", handle)
		w.add("e-b", "llm", "b", handle)
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.NoError(t, got.err)
		must.Eq(t, events(1, 20), got.body)
		<-ended
		for _, s := range w.servers {
			must.Eq(t, 1, s.requestCount())
			must.Eq(t, 0, w.handler.pool.localWork(w.feed.View(), "llm")[s.server.Incarnation()].running)
			must.Eq(t, 0, w.handler.pool.localWork(w.feed.View(), "llm")[s.server.Incarnation()].prefilling)
		}
	})
}

// One engine becomes unreachable while others respond. It is marked as suspect, so that later
// requests do not wait for it.
func TestSingleUnreachableEngineIsSuspect(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		for _, id := range []string{"a", "b", "c"} {
			w.add("e-"+id, "llm", id, streamEvents(3, 10*time.Millisecond, 10*time.Millisecond))
		}
		dark := w.servers["e-a"]
		dark.listener.Stall()
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.Eq(t, events(1, 3), got.body)
		must.True(t, w.handler.pool.isSuspect(time.Now(), dark.server.Incarnation()))
	})
}

// The engine with the copy has freed it and needs 300 ms to reject the request. The stalled engine
// pauses for 900 ms but responds to probes. If the daemon abandoned it meanwhile, no retry would be
// left and the response would be truncated.
func TestStalledStreamIsKeptWhenTakeoverIsRejectedLate(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		handle := withCopyReleased(300*time.Millisecond, 900*time.Millisecond)
		w.add("e-a", "llm", "a", handle)
		w.add("e-b", "llm", "b", handle)
		w.setRetryBudget(retrybudget.Policy{Slack: 1.2, Window: 10 * time.Second}) // one repeat
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.NoError(w.t, got.err)
		must.Eq(w.t, events(1, 20), got.body)
	})
}

// silenceUntilUnregistered makes the engines that have a request silent for good. Their registrations end
// when three heartbeats are missing, the first of which was due at once.
func (w *testCluster) silenceUntilUnregistered() {
	const heartbeat = 1200 * time.Millisecond
	var silent []string
	for id, s := range w.servers {
		if s.requestCount() > 0 {
			s.listener.Stall()
			silent = append(silent, id)
		}
	}
	time.Sleep(2 * heartbeat)
	for _, id := range silent {
		w.remove("server/" + id)
	}
}

// Guards against a caller that waits until its deadline for an engine that is gone, while no run is left.
func TestStreamOfDeadEngineIsTruncatedWithoutRetries(t *testing.T) {
	route := streamRoute()
	route[0].MaxAttempts = 1
	withTestCluster(t, route, func(w *testCluster) {
		for _, id := range []string{"a", "b", "c"} {
			w.add("e-"+id, "llm", id, streamEvents(60, 100*time.Millisecond, 40*time.Millisecond))
		}
		w.background(func() {
			time.Sleep(time.Second)
			w.silenceUntilUnregistered()
		})
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.Error(w.t, got.err)
		must.Less(w.t, 5*time.Second, got.took)
	})
}

// A stalled engine continues its stream after the next engine was chosen, while a target for the
// next copy is looked for. The request that is then not sent must not remain counted as a prefill
// of the next engine, or prompts would avoid that engine until the daemon exits.
func TestCancelledTakeoverLeavesNoCounts(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		handle := func(rw http.ResponseWriter, r *http.Request) { pausing(rw, r, 360*time.Millisecond) }
		for _, id := range []string{"a", "b", "c"} {
			w.add("e-"+id, "llm", id, handle)
		}
		link := w.gateDials()
		w.background(func() {
			time.Sleep(712 * time.Millisecond) // the tenth event came at 360 ms
			link.block(200 * time.Millisecond)
		})
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.NoError(w.t, got.err)
		must.Eq(w.t, events(1, 20), got.body)
		must.Eq(w.t, 1, w.totalRequests())
		time.Sleep(time.Second)
		for _, s := range w.servers {
			one := w.handler.pool.loads[s.server.Incarnation()]
			must.Eq(w.t, [3]int{}, [3]int{one.prefilling, one.running, one.replicas}, must.Sprint(s.server.ID))
		}
	})
}

// An engine runs a request whose response is lost, and the route permits no further run. The
// response can never continue although the engine responds to probes, so the request must end well
// before the caller's deadline.
func TestLostResponseEndsEarlyWithoutRetries(t *testing.T) {
	route := streamRoute()
	route[0].MaxAttempts = 1
	withTestCluster(t, route, func(w *testCluster) {
		handle := func(_ http.ResponseWriter, r *http.Request) {
			w.servers[r.Header.Get(hServer)].setRuns(r.Header.Get(hID))
			sleep(r, time.Hour)
		}
		w.add("e-a", "llm", "a", handle)
		w.add("e-b", "llm", "b", handle)
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.Less(w.t, 5*time.Second, got.took)
	})
}

// Guards against a caller that waits until its deadline for an engine that is gone, while all others are full.
func TestStreamOfUnreachableEngineEndsWhenOthersReject(t *testing.T) {
	for _, n := range []int{2, 4, 7} {
		withTestCluster(t, streamRoute(), func(w *testCluster) {
			var begun atomic.Int32
			handle := func(rw http.ResponseWriter, r *http.Request) {
				if begun.Add(1) == 1 {
					streamEvents(60, 100*time.Millisecond, 40*time.Millisecond)(rw, r)
					return
				}
				rw.Header().Set(hNotRun, "1")
				rw.WriteHeader(http.StatusServiceUnavailable)
			}
			for _, id := range []string{"a", "b", "c", "d", "e", "f", "g"}[:n] {
				w.add("e-"+id, "llm", id, handle)
			}
			w.background(func() {
				time.Sleep(time.Second)
				w.silenceUntilUnregistered()
			})
			got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
			if got.took > 5*time.Second {
				t.Errorf("%d engines: the request took %s, want at most 5s", n, got.took)
			}
		})
	}
}

// The copy is gone and the retry budget is not exhausted. The engine that held the copy is asked to
// resume from it only once, since every further request wastes a retry of the fleet's budget.
func TestMissingCopyIsRequestedOnce(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		handle := withCopyReleased(0, 600*time.Millisecond)
		w.add("e-a", "llm", "a", handle)
		w.add("e-b", "llm", "b", handle)
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.NoError(w.t, got.err)
		copies := map[string]int{}
		for _, s := range w.servers {
			for _, r := range s.requests() {
				copies[r.Header.Get(hCopyAt)]++
			}
		}
		for name, n := range copies {
			must.Eq(w.t, 1, n, must.Sprint(name))
		}
	})
}
