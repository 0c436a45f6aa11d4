package forward

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/external/standin/faultnet"
)

// An engine resets its connections in the middle of a stream. The caller receives a complete
// response without duplicate or missing events; the second part comes from the engine that holds
// the copy.
func TestStreamResumesFromCopy(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		var first *fakeServer
		handle := streamEvents(40, time.Second, 40*time.Millisecond)
		a := w.add("e-a", "llm", "a", handle)
		b := w.add("e-b", "llm", "b", handle)
		go func() {
			time.Sleep(1500 * time.Millisecond)
			first = a
			if b.requestCount() > 0 {
				first = b
			}
			w.crash(first)
		}()
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.NoError(t, got.err)
		must.Eq(t, http.StatusOK, got.status)
		must.Eq(t, events(1, 40), got.body)
		must.Eq(t, 1, a.requestCount())
		must.Eq(t, 1, b.requestCount())
		must.Less(t, 3*time.Second, got.took)
	})
}

// An engine stops sending in the middle of a stream while its connections stay open. The stream
// continues at another engine within the 700 ms that callers accept as a pause.
func TestStalledStreamResumesWithinGapTarget(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		quiet := func(rw http.ResponseWriter, r *http.Request) {
			if r.Header.Get(hCopyAt) != "" {
				streamEvents(20, 0, 40*time.Millisecond)(rw, r)
				return
			}
			rw.Header().Set(hProof, "p")
			writeEvent(rw, 1)
			sleep(r, time.Hour)
		}
		w.add("e-a", "llm", "a", quiet)
		w.add("e-b", "llm", "b", quiet)
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.NoError(t, got.err)
		must.Eq(t, events(1, 20), got.body)
		must.Less(t, 19*40*time.Millisecond+700*time.Millisecond, got.took)
	})
}

// An engine becomes unreachable while it prefills a prompt: no connection is reset and nothing
// arrives. Probes detect it and another engine prefills the prompt.
func TestUnreachableEngineBeforeFirstEvent(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		handle := func(rw http.ResponseWriter, r *http.Request) {
			if r.Header.Get(hCopyAt) != "" {
				rw.Header().Set(hNotRun, "1")
				rw.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			streamEvents(5, time.Second, 40*time.Millisecond)(rw, r)
		}
		a := w.add("e-a", "llm", "a", handle)
		w.add("e-b", "llm", "b", handle)
		a.listener.Stall()
		for range 4 { // whichever engine is chosen first
			got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
			must.NoError(t, got.err)
			must.Eq(t, events(1, 5), got.body)
			must.Less(t, 3500*time.Millisecond, got.took)
		}
	})
}

// A daemon crashes and its caller resumes at this one, which knows nothing of the run. The engine
// that prefilled the prompt still has it cached; at any other engine the prompt would be prefilled
// again and the response delayed by a second.
func TestResumedStreamFindsCachedPrompt(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		handle := streamEvents(12, time.Second, 40*time.Millisecond)
		for _, id := range []string{"e-1", "e-2", "e-3", "e-4", "e-5"} {
			w.add(id, "llm", "a", handle)
		}
		w.servers["e-4"].setCache("p9 p7")
		for range 5 {
			got := w.request(http.MethodPost, "/s/1", withHeaders(map[string]string{hAfter: "9", hPart: "p7"}), "prompt")
			must.NoError(t, got.err)
			must.Eq(t, events(10, 12), got.body)
		}
		must.Eq(t, 5, w.servers["e-4"].requestCount())
	})
}

// After a restart of all daemons, callers resume their streams at VMs with slow links, where
// listing the caches of 120 engines takes a quarter of a second. With a shorter timeout half of the
// prompts were prefilled again, each for a second of an engine. The engine that holds the prompt is
// used as soon as it has responded, without waiting for the others.
func TestCachedPromptIsFoundOverSlowLink(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		handle := streamEvents(12, 20*time.Millisecond, 40*time.Millisecond)
		for _, id := range []string{"e-1", "e-2", "e-3", "e-4", "e-5"} {
			w.add(id, "llm", "a", handle).setCacheDelay(time.Minute)
		}
		w.servers["e-4"].setCache("p7")
		w.servers["e-4"].setCacheDelay(250 * time.Millisecond)
		got := w.request(http.MethodPost, "/s/1", withHeaders(map[string]string{hAfter: "9", hPart: "p7"}), "prompt")
		must.Eq(t, events(10, 12), got.body)
		must.Eq(t, 1, w.servers["e-4"].requestCount())
		must.Less(t, 600*time.Millisecond, got.took)
	})
}

// A caller resumes a stream that another daemon began, and this daemon looks for the prompt in the
// caches of 120 engines. Each cache list is larger than expected, 14 KB. The link of a small VM has
// 10 Mbit/s, or 125 KB in a tenth of a second; it carries all streams of the daemon, which count as
// stalled after 350 ms without an event. A scan must read less than 125 KB, however large the lists
// are. Reading all 120 lists at once took 1.7 MB; the size of the largest list so far now limits
// how many engines are asked.
func TestCacheScanLimitsBandwidth(t *testing.T) {
	const linkPerTenth = 125_000 // bytes
	var read int64
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		handle := streamEvents(12, 20*time.Millisecond, 40*time.Millisecond)
		for n := range 120 {
			w.add(fmt.Sprintf("e-%d", n), "llm", "a", handle).setCache(strings.Repeat("p1 ", 14_000/len("p1 ")))
		}
		before := w.received.Load()
		got := w.request(http.MethodPost, "/s/1", withHeaders(map[string]string{hAfter: "9", hPart: "p7"}), "prompt")
		must.NoError(t, got.err)
		must.Eq(t, events(10, 12), got.body)
		read = w.received.Load() - before
	})
	must.Less(t, linkPerTenth, read)
}

// Daemons crash and their callers resume at others, in a service with hundreds of engines: too many
// to list the caches of all. Without a lookup each prompt would be prefilled again. Every daemon
// places a given prompt among the same few engines, and only their caches are listed.
func TestCachedPromptIsFoundAmongHundredsOfEngines(t *testing.T) {
	const engines, streams = 200, 20
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		handle := func(rw http.ResponseWriter, r *http.Request) {
			w.servers[r.Header.Get(hServer)].setCache(r.Header.Get(hPart))
			streamEvents(3, 0, time.Millisecond)(rw, r)
		}
		for n := range engines {
			w.add(fmt.Sprintf("e-%d", n), "llm", string(rune('a'+n%5)), handle)
		}
		ran := func(part string) (at []string) {
			for id, s := range w.servers {
				for _, r := range s.requests() {
					if r.Header.Get(hPart) == part {
						at = append(at, id)
					}
				}
			}
			return at
		}
		for n := range streams {
			part := fmt.Sprintf("p%d", n)
			must.NoError(t, w.request(http.MethodPost, "/s/1", withHeaders(map[string]string{hPart: part}), "prompt").err)
			before := w.cacheRequests()
			got := w.request(http.MethodPost, "/s/1", withHeaders(map[string]string{hAfter: "1", hPart: part}), "prompt")
			must.NoError(t, got.err)
			must.Eq(t, events(2, 3), got.body)
			at := ran(part)
			must.SliceLen(t, 2, at)
			must.Eq(t, at[0], at[1])
			must.LessEq(t, engines/10, w.cacheRequests()-before)
		}
	})
}

// A stream ends in the middle of an event and no engine is left to resume it. The caller receives
// only complete events, and the response does not look complete.
func TestPartialEventIsNotForwarded(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		w.add("e-a", "llm", "a", func(rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set(hProof, "p")
			writeEvent(rw, 1)
			_, _ = rw.Write([]byte("id: 2\ndata: pie"))
		})
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.Error(t, got.err)
		must.Eq(t, events(1, 1), got.body)
	})
}

// While the store is unreachable, the engine that receives the copy restarts, so that an
// unregistered engine holds the copy. Then the engine of the run crashes. The response resumes from
// the copy, but never at a server of another service that now has the address.
func TestStreamResumesFromCopyAtRestartedEngine(t *testing.T) {
	for _, service := range []string{"llm", "desk"} {
		t.Run(service, func(t *testing.T) {
			withTestCluster(t, streamRoute(), func(w *testCluster) {
				handle := streamEvents(40, time.Second, 40*time.Millisecond)
				a := w.add("e-a", "llm", "a", handle)
				b := w.add("e-b", "llm", "b", handle)
				var successor *fakeServer
				go func() {
					time.Sleep(500 * time.Millisecond)
					runner, holder := runnerAndHolder(a, b)
					successor = w.replaceServer(holder, "e-new", service)
					time.Sleep(time.Second)
					w.crash(runner)
				}()
				got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
				if service == "llm" {
					must.NoError(t, got.err)
					must.Eq(t, events(1, 40), got.body)
					must.Less(t, 3*time.Second, got.took)
					return
				}
				must.Error(t, got.err)
				for _, r := range successor.requests() {
					must.NotEq(t, "e-new", r.Header.Get(hServer))
				}
			})
		})
	}
}

// A caller retries after an outage with less time than the prefill of its prompt takes. The request
// is refused at once and no engine prefills the prompt in vain.
func TestPromptThatCannotBePrefilledInTimeIsRefused(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		a := w.add("e-a", "llm", "a", streamEvents(3, time.Second, 40*time.Millisecond))
		long := map[string]string{hTokens: "8000", hPart: "p1"}
		must.Eq(t, http.StatusOK, w.request(http.MethodPost, "/s/1", withHeaders(long), "prompt").status)
		long[hWait], long[hAfter] = "500", "2"
		got := w.request(http.MethodPost, "/s/1", withHeaders(long), "prompt")
		must.Eq(t, http.StatusServiceUnavailable, got.status)
		must.Less(t, 150*time.Millisecond, got.took)
		must.Eq(t, 1, a.requestCount())
	})
}

// The engine that holds a copy restarts at its address, registers and begins to drain. Its entry
// may be removed by the time the engine of the run crashes. The response must not resume at a
// draining engine, even though that engine names itself when it rejects a request for the old ID.
func TestStreamDoesNotResumeAtDrainingEngine(t *testing.T) {
	for _, removed := range []bool{false, true} {
		t.Run(fmt.Sprintf("removed %v", removed), func(t *testing.T) {
			withTestCluster(t, streamRoute(), func(w *testCluster) {
				handle := streamEvents(100, time.Second, 40*time.Millisecond)
				a := w.add("e-a", "llm", "a", handle)
				b := w.add("e-b", "llm", "b", handle)
				var successor *fakeServer
				go func() {
					time.Sleep(500 * time.Millisecond)
					runner, holder := runnerAndHolder(a, b)
					successor = w.replaceServer(holder, "e-new", "llm")
					w.register(successor)
					time.Sleep(time.Second)
					w.remove("server/" + holder.server.ID)
					successor.server.Draining = true
					w.register(successor)
					time.Sleep(time.Second)
					if removed {
						w.remove("server/e-new")
						time.Sleep(time.Second)
					}
					w.crash(runner)
				}()
				got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
				must.Error(t, got.err)
				for _, r := range successor.requests() {
					must.NotEq(t, "e-new", r.Header.Get(hServer))
				}
			})
		})
	}
}

// A caller stops reading in the middle of a stream and keeps its connection open. After its
// deadline nothing of the request is left at the daemon or at an engine.
func TestCallerThatStopsReadingTimesOut(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		ended := make(chan struct{})
		w.add("e-a", "llm", "a", func(rw http.ResponseWriter, r *http.Request) {
			defer close(ended)
			streamEvents(1000, 0, 10*time.Millisecond)(rw, r)
		})
		listener := faultnet.Pipe()
		server := &http.Server{Handler: w.handler}
		go server.Serve(listener)
		defer server.Close()
		conn, err := listener.Dial(w.t.Context(), "", "")
		must.NoError(t, err)
		defer conn.Close()
		req, err := http.NewRequestWithContext(w.t.Context(), http.MethodPost, "http://host/s/1", nil)
		must.NoError(t, err)
		for k, v := range withHeaders(map[string]string{hWait: "2000"}) {
			req.Header.Set(k, v)
		}
		must.NoError(t, req.Write(conn))
		_, err = conn.Read(make([]byte, 100))
		must.NoError(t, err)
		time.Sleep(2*time.Second + writeGrace + time.Second)
		must.Eq(t, 0, w.handler.Running())
		<-ended
	})
}

// A caller has received all events but not the end of the response, and resumes the stream. The
// engine has no event left; the caller receives the engine's authentic, empty response.
func TestStreamWithoutEventsIsForwarded(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		w.add("e-a", "llm", "a", streamEvents(9, 0, 0))
		got := w.request(http.MethodPost, "/s/1", withHeaders(map[string]string{hAfter: "9"}), "prompt")
		must.NoError(t, got.err)
		must.Eq(t, http.StatusOK, got.status)
		must.Eq(t, "p", got.header.Get(hProof))
		must.Eq(t, "", got.body)
	})
}

// A stream that cannot be resumed, from a server that is not an engine, delivers nothing for
// seconds. The daemon waits for it, since ending it earlier would gain nothing.
func TestNonResumableStreamMayStall(t *testing.T) {
	routes := streamRoute()
	routes[0].Resumable = false
	routes[0].Targets[0].Service = "desk"
	withTestCluster(t, routes, func(w *testCluster) {
		s := w.add("d-1", "desk", "a", streamEvents(4, 5*time.Second, 3*time.Second))
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "x")
		must.NoError(t, got.err)
		must.Eq(t, events(1, 4), got.body)
		must.Eq(t, 1, s.requestCount())
	})
}

// Many engines crash at once and their entries remain for seconds. A request that arrives then is
// served by a live engine, however many crashed ones are tried first.
func TestManyDeadEnginesAreSkipped(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		handle := streamEvents(3, 10*time.Millisecond, 10*time.Millisecond)
		for n := range 40 {
			w.crash(w.add(fmt.Sprintf("e-%d", n), "llm", "a", handle))
		}
		w.add("e-alive", "llm", "b", handle)
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.NoError(t, got.err)
		must.Eq(t, events(1, 3), got.body)
	})
}

// An engine runs a request whose response is lost: the connection stays open without data while
// the engine is alive. Its report shows that it generates events, so the response resumes from the
// copy early instead of waiting for the caller's deadline.
func TestLostResponseResumesFromCopy(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		handle := func(rw http.ResponseWriter, r *http.Request) {
			if r.Header.Get(hCopyAt) == "" {
				w.servers[r.Header.Get(hServer)].setRuns(r.Header.Get(hID))
				sleep(r, time.Hour)
				return
			}
			streamEvents(5, 0, 40*time.Millisecond)(rw, r)
		}
		w.add("e-a", "llm", "a", handle)
		w.add("e-b", "llm", "b", handle)
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.NoError(t, got.err)
		must.Eq(t, events(1, 5), got.body)
		must.Less(t, time.Second, got.took)
	})
}

// An engine resets the connection of one request after the prefill and keeps running. The prompt is
// still cached, so the request goes to the same engine again, where it needs no prefill.
func TestResetAfterPrefillRetriesSameEngine(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		var tries atomic.Int32
		handle := func(rw http.ResponseWriter, r *http.Request) {
			s := w.servers[r.Header.Get(hServer)]
			if tries.Add(1) == 1 {
				s.setCache(r.Header.Get(hPart))
				panic(http.ErrAbortHandler)
			}
			streamEvents(3, 0, 10*time.Millisecond)(rw, r)
		}
		for _, id := range []string{"e-1", "e-2", "e-3", "e-4"} {
			w.add(id, "llm", "a", handle)
		}
		got := w.request(http.MethodPost, "/s/1", withHeaders(map[string]string{hPart: "p1"}), "prompt")
		must.NoError(t, got.err)
		must.Eq(t, events(1, 3), got.body)
		must.Eq(t, 2, int(tries.Load()))
		for _, s := range w.servers {
			must.True(t, s.requestCount() == 0 || s.requestCount() == 2)
		}
	})
}

// The engine chosen for a copy has crashed and its entry remains. The copy must go to a live
// engine, or the stream could not resume when its own engine crashes.
func TestCopyIsSentToLiveEngine(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		handle := streamEvents(40, time.Second, 40*time.Millisecond)
		runner := w.add("e-a", "llm", "a", handle)
		w.add("e-b", "llm", "b", handle)
		dead := w.add("e-c", "llm", "c", handle)
		w.crash(dead)
		for range 6 {
			w.request(http.MethodPost, "/s/1", withHeaders(map[string]string{hWait: "100"}), "prompt")
			time.Sleep(10 * time.Second)
		}
		for _, s := range []*fakeServer{runner, w.servers["e-b"]} {
			for _, r := range s.requests() {
				must.NotEq(t, dead.server.Address, r.Header.Get(hCopyTo))
			}
		}
	})
}

// A response outlasts the graceful shutdown and is truncated when the daemon exits. The logged
// error must not say that the caller disconnected.
func TestResponseThatOutlastsShutdownReportsIt(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		r := &relay{h: w.handler, in: &inbound{deadline: time.Now().Add(time.Minute)}}
		must.ErrorIs(t, r.expiryError(), errCallerGone)
		w.handler.BeginShutdown(ShutdownSchedule{ExitAt: time.Now().Add(time.Second)})
		must.ErrorIs(t, r.expiryError(), errCallerGone)
		time.Sleep(time.Second)
		must.ErrorIs(t, r.expiryError(), errDaemonExiting)
	})
}
