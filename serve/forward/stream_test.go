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

// An engine resets its connections in the middle of an answer. The caller sees
// one whole answer without a repeated or missing event; the second part comes
// from the engine that holds the copy.
func TestStreamGoesOnFromCopy(t *testing.T) {
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

// An engine falls silent in the middle of an answer; its connections stay open.
// The answer goes on elsewhere within the 700 ms that callers accept as a pause.
func TestSilentStreamGoesOnInTime(t *testing.T) {
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

// An engine goes dark while it reads a prompt: nothing is reset and nothing
// arrives. Probes find it and another engine reads the prompt.
func TestDarkEngineBeforeFirstEvent(t *testing.T) {
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

// A daemon dies and its caller goes on at this one, which knows nothing of the
// run. The engine that read the prompt still holds it; sent anywhere else, the
// prompt would be read a second time and the answer wait for a second.
func TestResumedStreamFindsThePrompt(t *testing.T) {
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

// All daemons were killed, and callers come back with their answers at VMs with slow
// links. Asking 120 engines what they hold takes a quarter of a second there. Given up
// sooner, half of the prompts were read anew, each for a second of an engine. The one
// that holds the prompt is used as soon as it has answered, without the others.
func TestPromptIsFoundBehindASlowLink(t *testing.T) {
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

// A caller comes back with an answer that another daemon began, and this daemon asks 120
// engines whether they hold its prompt. Each has more to tell than is expected of it, 14 KB.
// A small VM has a link of 10 Mbit/s, which carries 125 KB in a tenth of a second; all
// streams at this daemon come through it, and they are given up when they are silent for
// 350 ms. Whatever engines have to tell, less than that is read of it. All 120 were asked at
// once and read to the end, 1.7 MB; as many are asked now as the largest answer so far allows.
func TestLookLeavesTheLinkToStreams(t *testing.T) {
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

// Daemons die, and their callers go on at others, before hundreds of engines: too many to
// ask all of them what they hold. Each prompt was read a second time then. It lies at one of
// the few engines among which every daemon places that prompt, and only those are asked.
func TestPromptIsFoundAmongHundredsOfEngines(t *testing.T) {
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

// A stream ends in the middle of an event and no engine is left to go on. The
// caller gets the whole events only, and the answer does not look complete.
func TestTornStreamIsCut(t *testing.T) {
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

// The store is away. The engine that was to hold the copy restarts, so that the
// copy lies at an engine nobody has registered; then the run's engine dies. The
// answer goes on from the copy, and never at a server of another service that
// was given the address.
func TestCopyAtAnEngineThatRestarted(t *testing.T) {
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

// A caller comes back after an outage with less time than its prompt takes to
// read. It hears at once that nothing ran, and no engine reads in vain.
func TestHopelessPromptIsRefusedAtOnce(t *testing.T) {
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

// The engine that holds a copy restarts at its address, registers, and leaves;
// its entry may be gone by the time the run's engine dies. The answer must not
// go on at an engine that leaves, although it names itself when it is asked for
// by the old id.
func TestCopyAtAnEngineThatLeaves(t *testing.T) {
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

// A caller stops reading in the middle of an answer and keeps its connection.
// Once its time is over nothing of the request is left at the daemon or at an engine.
func TestCallerThatStopsReadingIsGivenUp(t *testing.T) {
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

// A caller holds all events but not the end of the answer and asks for the rest.
// The engine has no event left; the caller gets its proven, empty answer.
func TestStreamWithoutEventsIsPassedOn(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		w.add("e-a", "llm", "a", streamEvents(9, 0, 0))
		got := w.request(http.MethodPost, "/s/1", withHeaders(map[string]string{hAfter: "9"}), "prompt")
		must.NoError(t, got.err)
		must.Eq(t, http.StatusOK, got.status)
		must.Eq(t, "p", got.header.Get(hProof))
		must.Eq(t, "", got.body)
	})
}

// A stream that may not go on elsewhere, from a server that is no engine, is
// silent for seconds. Nothing is gained by ending it sooner: it is waited for.
func TestStreamThatCannotGoOnIsWaitedFor(t *testing.T) {
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

// Half of all engines die at once and their entries stay for seconds. A caller
// that arrives then gets its answer from one that lives, however many are tried
// in vain before.
func TestManyDeadEnginesBeforeOneThatLives(t *testing.T) {
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

// An engine runs a request and its answer is lost: the connection stays open and
// says nothing, while the engine is alive. Its report shows that it makes events;
// the answer goes on from the copy and not after the caller's whole time.
func TestLostAnswerGoesOnFromCopy(t *testing.T) {
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

// An engine resets the connection of one request after it has read its prompt,
// and lives on. The prompt is still there: the request goes to the same engine
// again, where it needs no reading.
func TestResetAfterReadingGoesToTheSameEngine(t *testing.T) {
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

// The engine chosen for a copy has died and its entry is still there. The copy
// goes to one that lives, or the answer would have none when its engine dies.
func TestCopyIsSentToAnEngineThatLives(t *testing.T) {
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

// An answer outlasts the graceful shutdown and is cut when the daemon ends. Who looks for
// the cause must not read that the caller left.
func TestAnswerThatOutlastsTheDaemonSaysSo(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		r := &relay{h: w.handler, in: &inbound{deadline: time.Now().Add(time.Minute)}}
		must.ErrorIs(t, r.expiryError(), errCallerGone)
		w.handler.BeginShutdown(ShutdownSchedule{ExitAt: time.Now().Add(time.Second)})
		must.ErrorIs(t, r.expiryError(), errCallerGone)
		time.Sleep(time.Second)
		must.ErrorIs(t, r.expiryError(), errDaemonExiting)
	})
}
