package forward

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/decision/retrybudget"
	"mallowwind.dev/decision/rollout"
	"mallowwind.dev/decision/takeover"
)

// setStop sets how an engine answers requests to stop a run.
func (s *fakeServer) setStop(stop func(id string) (int, string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopRun = stop
}

// Guards against an answer that is cut because its sound engine was stopped and the next one rejects the request.
func TestStoppedStreamContinuesWhenCopyIsGone(t *testing.T) {
	for _, kept := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		t.Run(http.StatusText(kept), func(t *testing.T) {
			withTestCluster(t, streamRoute(), func(w *testCluster) {
				handle := withCopyReleased(0, 600*time.Millisecond)
				for _, s := range []*fakeServer{w.add("e-a", "llm", "a", handle), w.add("e-b", "llm", "b", handle)} {
					s.setStop(func(string) (int, string) { return kept, "state" })
				}
				w.setRetryBudget(retrybudget.Policy{Slack: 1.2, Window: 10 * time.Second}) // one retry
				got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
				must.NoError(t, got.err)
				must.Eq(t, events(1, 20), got.body)
				must.Less(t, 3*time.Second, got.took)
			})
		})
	}
}

// Guards against a stream that waits without limit for the engine after the one that was stopped for it.
func TestStreamLeavesMuteEngineAfterStop(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		handle := func(rw http.ResponseWriter, r *http.Request) {
			if r.Header.Get(hCopyAt) != "" {
				<-r.Context().Done()
				return
			}
			pausing(rw, r, 600*time.Millisecond)
		}
		for _, s := range []*fakeServer{w.add("e-a", "llm", "a", handle), w.add("e-b", "llm", "b", handle), w.add("e-c", "llm", "b", handle)} {
			s.setStop(func(string) (int, string) { return http.StatusOK, "state" })
		}
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.NoError(t, got.err)
		must.Eq(t, events(1, 20), got.body)
	})
}

// Guards against a stopped run that resumes at its own engine although nothing of its response arrives from there.
func TestKeptRunDoesNotStayAtMuteEngine(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		w.schema.config.Engine("llm").CanReplicate = false
		stuck := func(rw http.ResponseWriter, r *http.Request) {
			if r.Header.Get(hCopyAt) == "" {
				streamEvents(10, 0, 40*time.Millisecond)(rw, r)
			}
			<-r.Context().Done()
		}
		a := w.add("e-a", "llm", "a", stuck)
		a.refuseCopies(1000)
		a.setStop(func(string) (int, string) { return http.StatusServiceUnavailable, "state" })
		w.background(func() {
			time.Sleep(100 * time.Millisecond)
			w.add("e-b", "llm", "b", streamEvents(20, time.Second, 40*time.Millisecond))
		})
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.NoError(t, got.err)
		must.Eq(t, events(1, 20), got.body)
	})
}

// Guards against a second prefill for an answer whose rest arrived while its engine was asked to stop.
func TestAnswerCompletedDuringStopIsForwarded(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		handle := func(rw http.ResponseWriter, r *http.Request) {
			if r.Header.Get(hCopyAt) != "" { // the run has ended, so its copy was freed
				rw.Header().Set(hNotRun, "1")
				rw.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			streamEvents(10, time.Second, 40*time.Millisecond)(rw, r)
			sleep(r, takeover.SilenceWithCopy+15*time.Millisecond-40*time.Millisecond)
			writeEvent(rw, 11)
			writeEvent(rw, 12)
		}
		a, b := w.add("e-a", "llm", "a", handle), w.add("e-b", "llm", "b", handle)
		for _, s := range []*fakeServer{a, b} {
			s.onStop(func(rw http.ResponseWriter, _ *http.Request) {
				time.Sleep(20 * time.Millisecond) // the run ends meanwhile
				rw.WriteHeader(http.StatusNotFound)
			})
		}
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.NoError(t, got.err)
		must.Eq(t, events(1, 12), got.body)
		prefills := 0
		for _, r := range append(a.requests(), b.requests()...) {
			if r.Header.Get(hCopyAt) == "" {
				prefills++
			}
		}
		must.Eq(t, 1, prefills)
	})
}

// Guards against a second prefill for an answer that was completed while it moved off a version.
func TestAnswerCompletedWhileItMovesIsForwarded(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		completed := make(chan struct{})
		handle := func(rw http.ResponseWriter, r *http.Request) {
			select {
			case <-completed: // its copy was freed
				if r.Header.Get(hCopyAt) != "" {
					rw.Header().Set(hNotRun, "1")
					rw.WriteHeader(http.StatusServiceUnavailable)
					return
				}
			default:
			}
			rw.Header().Set(hProof, "p")
			after, _ := strconv.Atoi(r.Header.Get(hAfter))
			for id := after + 1; id <= 150 && r.Context().Err() == nil; id++ {
				writeEvent(rw, id)
				select {
				case <-completed: // that was the last event
					return
				case <-time.After(40 * time.Millisecond):
				case <-r.Context().Done():
				}
			}
		}
		old := w.addVersion("e-old", "llm", "b", "v1", handle)
		fresh := w.addVersion("e-new", "llm", "a", "v2", handle)
		var once sync.Once
		fresh.onStop(func(rw http.ResponseWriter, _ *http.Request) {
			once.Do(func() { close(completed) })
			time.Sleep(20 * time.Millisecond)
			rw.WriteHeader(http.StatusNotFound)
		})
		time.Sleep(time.Second)
		w.setRollout("llm", rollout.Canary, 1)
		w.background(func() {
			time.Sleep(2 * time.Second)
			w.setRollout("llm", rollout.RolledBack, 0)
		})
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.NoError(t, got.err)
		must.Eq(t, 1, fresh.requestCount())
		for _, r := range old.requests() {
			must.NotEq(t, "", r.Header.Get(hCopyAt))
		}
	})
}

// onStop replaces how an engine answers requests to stop a run. Unlike stopRun, the function may take its time, and it
// goes on when its caller has left.
func (s *fakeServer) onStop(stop http.HandlerFunc) {
	s.http.Handler = http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/stop/") {
			stop(rw, r)
			return
		}
		s.ServeHTTP(rw, r)
	})
}

// Guards against a run that is stopped by a request meant for the run before it at the same engine.
func TestLateStopSparesNextRunOfSameEngine(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		var mu sync.Mutex
		var stopRun context.CancelFunc
		var prefilled, late atomic.Bool
		late.Store(true)
		handle := func(rw http.ResponseWriter, r *http.Request) {
			if !prefilled.Swap(true) {
				w.servers[r.Header.Get(hServer)].setCache(r.Header.Get(hPart))
				panic(http.ErrAbortHandler)
			}
			ctx, cancel := context.WithCancel(r.Context())
			mu.Lock()
			stopRun = cancel
			mu.Unlock()
			streamEvents(40, 0, 40*time.Millisecond)(rw, r.WithContext(ctx))
			if ctx.Err() != nil {
				panic(http.ErrAbortHandler)
			}
		}
		for _, s := range []*fakeServer{w.add("e-a", "llm", "a", handle), w.add("e-b", "llm", "b", handle)} {
			s.onStop(func(rw http.ResponseWriter, _ *http.Request) {
				if !late.Swap(false) {
					rw.WriteHeader(http.StatusNotFound)
					return
				}
				time.Sleep(400 * time.Millisecond) // the engine is slow; its caller has left by then
				mu.Lock()
				defer mu.Unlock()
				if stopRun != nil {
					stopRun()
				}
				fmt.Fprint(rw, "state")
			})
		}
		got := w.request(http.MethodPost, "/s/1", withHeaders(map[string]string{hPart: "p7"}), "prompt")
		must.NoError(t, got.err)
		must.Eq(t, events(1, 40), got.body)
		must.Eq(t, 2, w.totalRequests())
	})
}

// Guards against an engine that works on because it copies the run, and refuses to stop, for a second.
func TestRunIsStoppedAfterLongCopy(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		runs := newRunLog()
		handle := func(rw http.ResponseWriter, r *http.Request) {
			s := w.servers[r.Header.Get(hServer)]
			runs.beginStoppable(s, runLength)
			if r.Header.Get(hCopyAt) != "" {
				streamEvents(40, 0, 40*time.Millisecond)(rw, r)
				return
			}
			s.mu.Lock()
			stop, until := s.stopRun, time.Now().Add(time.Second)
			s.stopRun = func(id string) (int, string) {
				if time.Now().Before(until) {
					return http.StatusConflict, ""
				}
				return stop(id)
			}
			s.mu.Unlock()
			streamEvents(3, 0, 40*time.Millisecond)(rw, r)
			panic(http.ErrAbortHandler)
		}
		w.add("e-a", "llm", "a", handle)
		w.add("e-b", "llm", "b", handle)
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.NoError(t, got.err)
		must.Eq(t, events(1, 40), got.body)
		time.Sleep(runLength)
		_, both := runs.longestOverlap()
		must.LessEq(t, time.Second+maxTwoRuns, both) // it cannot be stopped in the first second
	})
}

// Guards against a queued request that begins after its engine was asked to stop it.
func TestQueuedRequestDoesNotBeginAfterStop(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		var mu sync.Mutex
		var firstEnded, secondBegan, secondEnded time.Time
		handle := func(rw http.ResponseWriter, r *http.Request) {
			if r.Header.Get(hCopyAt) != "" {
				time.Sleep(300 * time.Millisecond) // in the queue, where a closed connection is not noticed
				mu.Lock()
				secondBegan, secondEnded = time.Now(), time.Now().Add(runLength)
				mu.Unlock()
				return
			}
			w.servers[r.Header.Get(hServer)].failStatus()
			streamEvents(10, 0, 40*time.Millisecond)(rw, r)
			sleep(r, 410*time.Millisecond)
			for id := 11; id <= 60; id++ {
				writeEvent(rw, id)
				sleep(r, 40*time.Millisecond)
			}
			mu.Lock()
			firstEnded = time.Now()
			mu.Unlock()
		}
		for _, s := range []*fakeServer{w.add("e-a", "llm", "a", handle), w.add("e-b", "llm", "b", handle)} {
			s.setStop(func(string) (int, string) {
				mu.Lock()
				defer mu.Unlock()
				if !secondBegan.IsZero() && time.Now().Before(secondEnded) {
					secondEnded = time.Now()
					return http.StatusOK, "state"
				}
				return http.StatusNotFound, ""
			})
		}
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.NoError(t, got.err)
		must.Eq(t, events(1, 60), got.body)
		time.Sleep(runLength)
		mu.Lock()
		defer mu.Unlock()
		both := min(firstEnded.UnixMilli(), secondEnded.UnixMilli()) - secondBegan.UnixMilli()
		must.LessEq(t, maxTwoRuns, time.Duration(both)*time.Millisecond)
	})
}

// Guards against an engine that works on because the report of the next one lags.
func TestSilentRunEndsWhileReportOfNextOneLags(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		var mu sync.Mutex
		var secondBegan, firstEnded time.Time
		handle := func(rw http.ResponseWriter, r *http.Request) {
			s := w.servers[r.Header.Get(hServer)]
			if r.Header.Get(hCopyAt) != "" {
				mu.Lock()
				secondBegan = time.Now()
				mu.Unlock()
				w.background(func() {
					time.Sleep(320 * time.Millisecond)
					s.setRuns(callerHeaders[hID])
				})
				sleep(r, 1200*time.Millisecond)
				streamEvents(20, 0, 40*time.Millisecond)(rw, r)
				return
			}
			streamEvents(3, 0, 40*time.Millisecond)(rw, r)
			sleep(r, runLength)
			mu.Lock()
			firstEnded = time.Now()
			mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		w.add("e-a", "llm", "a", handle)
		w.add("e-b", "llm", "b", handle)
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.NoError(t, got.err)
		must.Eq(t, events(1, 20), got.body)
		must.LessEq(t, maxTwoRuns, firstEnded.Sub(secondBegan))
	})
}

// Guards against memory and a slot that stay occupied because the copy of a stopped run took longer than the call.
func TestStateOfSlowlyStoppedRunIsFreed(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		handle := func(rw http.ResponseWriter, r *http.Request) {
			if r.Header.Get(hCopyAt) != "" {
				streamEvents(20, 0, 40*time.Millisecond)(rw, r)
				return
			}
			streamEvents(3, 0, 40*time.Millisecond)(rw, r)
			panic(http.ErrAbortHandler)
		}
		a, b := w.add("e-a", "llm", "a", handle), w.add("e-b", "llm", "b", handle)
		var stopped atomic.Bool
		for _, s := range []*fakeServer{a, b} {
			s.onStop(func(rw http.ResponseWriter, _ *http.Request) {
				if stopped.Swap(true) {
					rw.WriteHeader(http.StatusNotFound)
					return
				}
				time.Sleep(250 * time.Millisecond) // the copy, queued behind others
				fmt.Fprint(rw, "state")
			})
		}
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.NoError(t, got.err)
		must.Eq(t, events(1, 20), got.body)
		time.Sleep(takeover.MaxStopTime)
		_, freedA := a.copyCalls()
		_, freedB := b.copyCalls()
		must.SliceContains(t, append(freedA, freedB...), "state")
	})
}

// Guards against copies that stay occupied because a stopped run leaves two and its response resumes from one.
func TestCopiesOfStoppedRunAreUsedOrFreed(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		w.schema.config.Engine("llm").CanReplicate = false
		handle := func(rw http.ResponseWriter, r *http.Request) {
			if r.Header.Get(hCopyAt) != "" {
				streamEvents(60, 0, 40*time.Millisecond)(rw, r)
				return
			}
			streamEvents(30, 0, 40*time.Millisecond)(rw, r)
			<-r.Context().Done()
		}
		a := w.add("e-a", "llm", "a", handle)
		a.setStop(func(string) (int, string) { return http.StatusOK, "state" })
		w.background(func() {
			time.Sleep(100 * time.Millisecond)
			w.add("e-b", "llm", "b", handle)
		})
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.NoError(t, got.err)
		must.Eq(t, events(1, 60), got.body)
		time.Sleep(time.Second)
		made, freed := a.copyCalls()
		must.SliceNotEmpty(t, made)
		must.SliceContains(t, freed, "state")
		must.Eq(t, fmt.Sprintf("e-a:80/h%d", len(made)), w.servers["e-b"].requests()[0].Header.Get(hCopyAt))
	})
}

// Guards against events that wait while their engine, which goes on, does not answer the request to stop.
func TestEventsAreForwardedDuringStop(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		w.schema.config.Engine("llm").CanReplicate = false
		var resumed time.Time
		a := w.add("e-a", "llm", "a", func(rw http.ResponseWriter, r *http.Request) {
			streamEvents(10, 0, 40*time.Millisecond)(rw, r)
			sleep(r, takeover.SilenceWithoutCopy)
			resumed = time.Now()
			writeEvent(rw, 11)
		})
		a.refuseCopies(1000)
		a.onStop(func(http.ResponseWriter, *http.Request) { time.Sleep(time.Second) })

		w.background(func() {
			time.Sleep(100 * time.Millisecond)
			w.add("e-b", "llm", "b", streamEvents(11, time.Second, 40*time.Millisecond))
		})
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.NoError(t, got.err)
		must.Eq(t, events(1, 11), got.body)
		must.LessEq(t, 100*time.Millisecond, time.Since(resumed))
	})
}

// Guards against an engine that works on beside the next one because it could not be stopped at an earlier takeover.
func TestEngineIsAskedToStopAtEachTakeover(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		runs := newRunLog()
		var takeovers atomic.Int32
		handle := func(rw http.ResponseWriter, r *http.Request) {
			s := w.servers[r.Header.Get(hServer)]
			if r.Header.Get(hCopyAt) != "" {
				if takeovers.Add(1) == 1 {
					<-r.Context().Done()
					return
				}
				runs.beginStoppable(s, runLength)
				streamEvents(30, 0, 40*time.Millisecond)(rw, r)
				return
			}
			over := runs.beginStoppable(s, 2*runLength)
			s.mu.Lock()
			stop := s.stopRun
			s.stopRun = func(id string) (int, string) {
				if takeovers.Load() == 1 {
					return http.StatusConflict, "" // it copies the run
				}
				return stop(id)
			}
			s.mu.Unlock()
			streamEvents(10, 0, 40*time.Millisecond)(rw, r)
			sleep(r, 500*time.Millisecond)
			for id := 11; id <= 20; id++ {
				writeEvent(rw, id)
				sleep(r, 40*time.Millisecond)
			}
			<-over
		}
		w.add("e-a", "llm", "a", handle)
		w.add("e-b", "llm", "b", handle)
		w.add("e-c", "llm", "c", handle)
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.NoError(t, got.err)
		must.Eq(t, events(1, 30), got.body)
		time.Sleep(2 * runLength)
		runs.assertNoTwoRuns(t)
	})
}
