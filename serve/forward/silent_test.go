package forward

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/decision/repeats"
)

// noRetries is a budget that is used up.
var noRetries = repeats.Policy{Window: 10 * time.Second}

// setRetryBudget replaces the fleet's budget of repeats, with the daemon's part of the slack.
func (w *testCluster) setRetryBudget(rule repeats.Policy) {
	w.handler.pool.mu.Lock()
	defer w.handler.pool.mu.Unlock()
	w.handler.pool.retryRule, w.handler.pool.startedAt = rule, time.Now().Add(-rule.Window)
	clear(w.handler.pool.budgets)
}

// askMany sends n streams a moment apart and returns what their callers got.
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

// totalRequests is how many requests all servers were asked to run.
func (w *testCluster) totalRequests() int {
	n := 0
	for _, s := range w.servers {
		n += s.requestCount()
	}
	return n
}

// An engine pauses for 600 ms in the middle of an answer, since it reads prompts, and the
// engine with the copy turns the request away, since it has freed the copy. The caller sees
// the answer cut if the daemon has closed the connection to the first engine by then, and the
// budget affords no further repeat. Evidence: the engine's run ended well 0.6 s before the
// engine with the copy was asked, and the caller's connection was closed half a second later.
func TestSilentAnswerWhoseCopyIsGone(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		handle := withCopyReleased(0, 600*time.Millisecond)
		w.add("e-a", "llm", "a", handle)
		w.add("e-b", "llm", "b", handle)
		w.setRetryBudget(repeats.Policy{Slack: 1.2, Window: 10 * time.Second}) // one repeat
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.NoError(w.t, got.err)
		must.Eq(w.t, events(1, 20), got.body)
	})
}

// withCopyReleased is an engine that has freed the copy it is asked for, and says so after a wait.
// Other answers pause in the middle.
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

// pausing makes twenty events and pauses after the tenth.
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

// An engine goes dark in the middle of an answer while the budget of repeats is used up.
// The caller must not see its answer cut at once, for the budget affords a repeat a second
// later and the caller waits for two. Evidence: 744 repeats denied in 90 s of restarts, each
// of which ended an answer.
func TestSilentAnswerGoesOnOnceARepeatIsFree(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		handle := streamEvents(40, time.Second, 40*time.Millisecond)
		a := w.add("e-a", "llm", "a", handle)
		b := w.add("e-b", "llm", "b", handle)
		w.setRetryBudget(repeats.Policy{Slack: 1.2, Window: 1500 * time.Millisecond})
		w.background(func() {
			time.Sleep(1500 * time.Millisecond)
			runner, _ := runnerAndHolder(a, b)
			runner.listener.Stall()
			w.handler.pool.tryTakeRetry(time.Now(), "llm") // another stream's
		})
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.NoError(w.t, got.err)
		must.Eq(w.t, events(1, 40), got.body)
		must.Less(w.t, 5*time.Second, got.took)
	})
}

// An engine falls silent and the one with the copy takes a second to answer, since it reads
// prompts. The two must not work on one answer side by side: the run that is given up ends
// within 400 ms, of the request to the other if it gives no sign of life, or else of the
// other's first event. The caller has each event once.
func TestSilentRunEndsOnceAnotherHasTheRequest(t *testing.T) {
	for _, alive := range []bool{false, true} {
		t.Run(fmt.Sprint("gives a sign of life: ", alive), func(t *testing.T) {
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

// A silent engine speaks again while the one with the copy has the request already. The
// answer stays where it was, the caller has each event once, and the second run is ended.
func TestSilentEngineSpeaksAgain(t *testing.T) {
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

// An engine goes dark while others answer. It is suspect then, so that the next callers do
// not wait for it.
func TestEngineThatIsSilentAloneIsSuspect(t *testing.T) {
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

// The engine with the copy needs 300 ms to turn the request away: it has freed the copy and
// is busy. The silent engine pauses for 900 ms and gives signs of life. A daemon that lets go
// of it meanwhile has no repeat left, and the caller sees its answer cut.
func TestSilentAnswerTurnedAwayLate(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		handle := withCopyReleased(300*time.Millisecond, 900*time.Millisecond)
		w.add("e-a", "llm", "a", handle)
		w.add("e-b", "llm", "b", handle)
		w.setRetryBudget(repeats.Policy{Slack: 1.2, Window: 10 * time.Second}) // one repeat
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.NoError(w.t, got.err)
		must.Eq(w.t, events(1, 20), got.body)
	})
}

// An engine goes dark in mid-answer; others answer, but the route allows no further run. The
// caller's answer cannot go on here: it must be told at once so that it goes on elsewhere, and
// not be held until its time is over.
func TestCallerOfADeadEngineIsTold(t *testing.T) {
	route := streamRoute()
	route[0].MaxAttempts = 1
	withTestCluster(t, route, func(w *testCluster) {
		for _, id := range []string{"a", "b", "c"} {
			w.add("e-"+id, "llm", id, streamEvents(60, 100*time.Millisecond, 40*time.Millisecond))
		}
		w.background(func() {
			time.Sleep(time.Second)
			for _, s := range w.servers {
				if s.requestCount() > 0 {
					s.listener.Stall()
				}
			}
		})
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.Error(w.t, got.err)
		must.Less(w.t, 5*time.Second, got.took)
	})
}

// A silent engine speaks again while a place for the next copy is being sought, when the next
// engine has been chosen. The request that was not sent must not stay counted as one that the
// next engine reads, or prompts avoid that engine until the daemon ends.
func TestCountsOfATryThatWasNotNeeded(t *testing.T) {
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

// An engine runs a request and its answer is lost; the route allows no further run. The answer
// can never go on here although the engine answers questions: the caller must be told, and not
// be held until its time is over.
func TestLostAnswerThatCannotGoOnIsTold(t *testing.T) {
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

// An engine goes dark in mid-answer, and all others turn the request away, since they are full.
// No server is left that was not tried: the caller must be told within seconds, and not be
// held until its time is over.
func TestDarkEngineWhileAllOthersTurnAway(t *testing.T) {
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
				for _, s := range w.servers {
					if s.requestCount() > 0 {
						s.listener.Stall()
					}
				}
			})
			got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
			if got.took > 5*time.Second {
				t.Errorf("%d engines: held for %s", n, got.took)
			}
		})
	}
}

// The copy is gone and repeats are left. The engine with the copy is asked once and no more:
// each further question is a repeat of the whole system spent in vain.
func TestCopyThatIsGoneIsAskedForOnce(t *testing.T) {
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
