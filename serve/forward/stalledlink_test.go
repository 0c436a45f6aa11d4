package forward

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/shoenig/test/must"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/retrybudget"
)

// dialTimeoutError is the error of a connection attempt that timed out.
type dialTimeoutError struct{ error }

// Timeout implements net.Error.
func (dialTimeoutError) Timeout() bool { return true }

// Temporary implements net.Error.
func (dialTimeoutError) Temporary() bool { return true }

// dialGate delays new connections while it is blocked, as a saturated link does.
type dialGate struct {
	mu   sync.Mutex
	open chan struct{} // closed while connections can be made
}

// gateDials makes the daemon's new connections to servers wait at a gate, which is open at first.
func (w *testCluster) gateDials() *dialGate {
	g := &dialGate{open: make(chan struct{})}
	close(g.open)
	w.handler.transport = newTransport(func(ctx context.Context, network, address string) (net.Conn, error) {
		g.mu.Lock()
		free := g.open
		g.mu.Unlock()
		select {
		case <-free:
			return w.dial(ctx, network, address)
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Net: network, Err: dialTimeoutError{ctx.Err()}}
		}
	})
	return g
}

// block delays new connections for a time.
func (g *dialGate) block(d time.Duration) {
	free := make(chan struct{})
	g.mu.Lock()
	g.open = free
	g.mu.Unlock()
	time.Sleep(d)
	close(free)
}

// stallLink delays all traffic between the daemon and the servers for a time, without losing any.
func (w *testCluster) stallLink(after, d time.Duration) {
	time.Sleep(after)
	for _, s := range w.servers {
		s.listener.Stall()
	}
	time.Sleep(d)
	for _, s := range w.servers {
		s.listener.Unstall()
	}
}

// Guards against cutting answers because of a stalled link. The link of the daemon's VM is
// saturated for a second: all streams fall silent at once, and no other engine can be reached. A
// daemon that treats silence as a crash gives the answers up before it knows that it can resume
// them elsewhere. With 88 daemons restarted in turn, 1,160 of 1,169 broken legs broke within a
// second of a cache scan by the same VM, which saturated its link; the engines ran on until their
// connection was closed.
func TestAnswersSurviveStalledLink(t *testing.T) {
	for _, c := range []struct {
		name       string
		rule       retrybudget.Policy
		stallAfter time.Duration // time before the link stalls: during prefills or in mid-answer
	}{
		{"in mid-answer, no retries left", noRetries, 1500 * time.Millisecond},
		{"in mid-answer, retries left", testRetryRule, 1500 * time.Millisecond},
		{"before the first event, no retries left", noRetries, 200 * time.Millisecond},
		{"before the first event, retries left", testRetryRule, 200 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			withTestCluster(t, streamRoute(), func(w *testCluster) {
				for _, id := range []string{"a", "b", "c"} {
					w.add("e-"+id, "llm", id, streamEvents(60, time.Second, 40*time.Millisecond))
				}
				w.setRetryBudget(c.rule)
				w.background(func() { w.stallLink(c.stallAfter, 1200*time.Millisecond) })
				for _, got := range w.askMany(4) {
					must.NoError(w.t, got.err)
					must.Eq(w.t, http.StatusOK, got.status)
					must.Eq(w.t, events(1, 60), got.body)
				}
				must.Eq(w.t, 4, w.totalRequests())
			})
		})
	}
}

// Guards against suspecting engines because of a stalled link. No engine answers the probes of the
// callers that arrive meanwhile, which says nothing about the engines. In such a second daemons
// suspected dozens of healthy engines and chose among suspects only for seconds afterwards.
func TestStalledLinkSuspectsNoEngine(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		for _, id := range []string{"a", "b", "c", "d"} {
			w.add("e-"+id, "llm", id, streamEvents(20, 100*time.Millisecond, 40*time.Millisecond))
		}
		w.background(func() { w.stallLink(0, time.Second) })
		time.Sleep(time.Millisecond)
		w.askMany(4)
		for _, s := range w.servers {
			must.False(t, w.handler.pool.isSuspect(time.Now(), s.server.Incarnation()), must.Sprint(s.server.ID))
		}
	})
}

// The link of the daemon's VM is saturated in mid-answer: data in flight is delayed, and new
// connections time out. Four answers of a service with engines must survive this.
func TestAnswersSurviveBlockedDials(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		for _, id := range []string{"a", "b", "c"} {
			w.add("e-"+id, "llm", id, streamEvents(60, time.Second, 40*time.Millisecond))
		}
		link := w.gateDials()
		w.background(func() { w.stallLink(1500*time.Millisecond, 1200*time.Millisecond) })
		w.background(func() {
			time.Sleep(1500 * time.Millisecond)
			link.block(1200 * time.Millisecond)
		})
		for _, got := range w.askMany(4) {
			must.NoError(w.t, got.err)
			must.Eq(w.t, events(1, 60), got.body)
		}
	})
}

// A stream of a service without engines falls silent because the link of the daemon's VM stalls for
// two seconds. Its servers cannot be probed. A daemon that closes the first connection before
// another server has taken the request would cut or delay the answer although no server failed.
func TestStreamWithoutProbesSurvivesStalledLink(t *testing.T) {
	route := streamRoute()
	route[0].Targets = []routing.Target{{Service: "desk", Weight: 1}}
	withTestCluster(t, route, func(w *testCluster) {
		for _, id := range []string{"a", "b", "c"} {
			w.add("d-"+id, "desk", id, streamEvents(60, time.Second, 40*time.Millisecond))
		}
		link := w.gateDials()
		w.background(func() { w.stallLink(1500*time.Millisecond, 2*time.Second) })
		w.background(func() {
			time.Sleep(1500 * time.Millisecond)
			link.block(2 * time.Second)
		})
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.NoError(w.t, got.err)
		must.Eq(w.t, events(1, 60), got.body)
		must.Eq(w.t, 1, w.totalRequests())
	})
}

// Guards against discarding an unused replica. A silent answer is to resume at the engine with the
// replica, to which connections fail for 450 ms. Nothing was sent, so the replica still exists;
// otherwise the whole prefill would be repeated, which costs a second of an engine and pauses the
// caller as long.
func TestReplicaKeptAfterFailedDial(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		handle := func(rw http.ResponseWriter, r *http.Request) {
			if r.Header.Get(hCopyAt) != "" || r.Header.Get(hAfter) != "0" {
				streamEvents(20, time.Second, 40*time.Millisecond)(rw, r)
				return
			}
			rw.Header().Set(hProof, "p")
			writeEvent(rw, 1)
			<-r.Context().Done()
		}
		for _, id := range []string{"a", "b", "c"} {
			w.add("e-"+id, "llm", id, handle)
		}
		link := w.gateDials()
		w.background(func() {
			time.Sleep(351 * time.Millisecond) // the probe is answered, the request is next
			link.block(450 * time.Millisecond)
		})
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.NoError(w.t, got.err)
		must.Eq(w.t, events(1, 20), got.body)
		prefills := 0
		for _, s := range w.servers {
			for _, r := range s.requests() {
				if r.Header.Get(hCopyAt) == "" {
					prefills++
				}
			}
		}
		must.Eq(w.t, 1, prefills, must.Sprint("prefills"))
	})
}

// Guards against repeated scans for one prompt. A caller resumes at another daemon, whose link
// stalls a moment after the scan, so that the engine that caches the prompt is not reached in time.
// A daemon that excludes this engine repeats the prefill, and one that scans again before each
// retry saturates its link again. After 15 of 42 scans that found the engine the first leg there
// was not sent; one request caused 11 scans in eight seconds.
func TestLocatedPromptIsNotScannedForAgain(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		for _, id := range []string{"e-1", "e-2", "e-3", "e-4", "e-5"} {
			w.add(id, "llm", "a", streamEvents(12, time.Second, 40*time.Millisecond)).setCacheDelay(10 * time.Millisecond)
		}
		w.servers["e-4"].setCache("p7")
		link := w.gateDials()
		w.background(func() {
			time.Sleep(5 * time.Millisecond)
			link.block(1500 * time.Millisecond)
		})
		got := w.request(http.MethodPost, "/s/1", withHeaders(map[string]string{hAfter: "9", hPart: "p7"}), "prompt")
		must.NoError(w.t, got.err)
		must.Eq(w.t, events(10, 12), got.body)
		scans := testutil.ToFloat64(w.handler.metrics.cacheScans)
		at := w.servers["e-4"].requestCount()
		if scans != 1 || at != 1 {
			w.t.Fatalf("%v scans, %d requests to the engine that caches the prompt, %d to others", scans, at, w.totalRequests()-at)
		}
	})
}

// Guards against suspecting servers because of a stalled link on calls without prompts: no
// connection is made within a second, although no server is at fault. In 90 s of planned restarts
// without a failure, servers were suspected 581 times, each time because a connection timed out.
func TestBlockedDialsSuspectNoCallServer(t *testing.T) {
	withTestCluster(t, plainRoutes(), func(w *testCluster) {
		for _, id := range []string{"a", "b", "c"} {
			w.add("d-"+id, "desk", id, respondProven("ok"))
		}
		link := w.gateDials()
		w.background(func() { link.block(time.Second) })
		time.Sleep(time.Millisecond)
		w.request(http.MethodPost, "/again/1", callerHeaders, "x")
		time.Sleep(time.Second)
		for _, s := range w.servers {
			must.False(t, w.handler.pool.isSuspect(time.Now(), s.server.Incarnation()), must.Sprint(s.server.ID))
		}
	})
}

// loseSYN delays the next connection to the server at an address by a second, like a lost SYN.
func (w *testCluster) loseSYN(lossy *atomic.Value) {
	w.handler.transport = newTransport(func(ctx context.Context, network, address string) (net.Conn, error) {
		if at, _ := lossy.Load().(string); at == address {
			lossy.Store("") // one packet only
			select {
			case <-time.After(time.Second):
			case <-ctx.Done():
				return nil, &net.OpError{Op: "dial", Net: network, Err: dialTimeoutError{ctx.Err()}}
			}
		}
		return w.dial(ctx, network, address)
	})
}

// Guards against giving up a healthy engine after one lost packet. The engine pauses for 600 ms in
// mid-answer, a packet of a probe to it is lost while other engines answer, and the route allows no
// further run. The answer must not be cut.
func TestOneLostPacketDoesNotFailEngine(t *testing.T) {
	route := streamRoute()
	route[0].MaxAttempts = 1
	withTestCluster(t, route, func(w *testCluster) {
		var lossy atomic.Value
		handle := func(rw http.ResponseWriter, r *http.Request) { pausing(rw, r, 600*time.Millisecond) }
		for _, id := range []string{"a", "b", "c"} {
			w.add("e-"+id, "llm", id, handle)
		}
		w.loseSYN(&lossy)
		w.background(func() {
			time.Sleep(600 * time.Millisecond)
			for _, s := range w.servers {
				if s.requestCount() > 0 {
					lossy.Store(s.server.Address)
				}
			}
		})
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.NoError(w.t, got.err)
		must.Eq(w.t, events(1, 20), got.body)
	})
}

// An engine pauses for 900 ms, and the engine with the replica is sent the request. Then the VM's
// link stalls for 450 ms, so that neither answers. If the daemon gave up the first engine now,
// nothing would be left once the other rejects the request and the retry budget is used up.
func TestStalledLinkDuringTakeover(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		asked := make(chan struct{}, 1)
		handle := func(rw http.ResponseWriter, r *http.Request) {
			if r.Header.Get(hCopyAt) != "" {
				asked <- struct{}{}
				sleep(r, 300*time.Millisecond)
				rw.Header().Set(hNotRun, "1")
				rw.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			pausing(rw, r, 900*time.Millisecond)
		}
		w.add("e-a", "llm", "a", handle)
		w.add("e-b", "llm", "b", handle)
		w.setRetryBudget(retrybudget.Policy{Slack: 1.2, Window: 10 * time.Second}) // one retry
		w.background(func() {
			<-asked
			w.stallLink(20*time.Millisecond, 450*time.Millisecond)
		})
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.NoError(w.t, got.err)
		must.Eq(w.t, events(1, 20), got.body)
	})
}

// Connections to the engine with the replica fail for 450 ms when an answer is to resume there, and
// again when it resumes a second time, seconds later. Each stall must be tolerated separately: both
// replicas are used, and no prefill is repeated.
func TestTwoBlockedDialsDuringOneAnswer(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		var begun atomic.Int32
		handle := func(rw http.ResponseWriter, r *http.Request) {
			switch {
			case r.Header.Get(hCopyAt) != "" && begun.Load() == 1:
				begun.Add(1)
				rw.Header().Set(hProof, "p")
				for id := 2; id <= 80; id++ {
					writeEvent(rw, id)
					sleep(r, 40*time.Millisecond)
				}
				<-r.Context().Done()
			case r.Header.Get(hCopyAt) != "" || r.Header.Get(hAfter) != "0":
				streamEvents(90, time.Second, 40*time.Millisecond)(rw, r)
			default:
				begun.Add(1)
				rw.Header().Set(hProof, "p")
				writeEvent(rw, 1)
				<-r.Context().Done()
			}
		}
		for _, id := range []string{"a", "b", "c"} {
			w.add("e-"+id, "llm", id, handle)
		}
		link := w.gateDials()
		prefills := func() (n int) {
			for _, s := range w.servers {
				for _, r := range s.requests() {
					if r.Header.Get(hCopyAt) == "" {
						n++
					}
				}
			}
			return n
		}
		w.background(func() {
			time.Sleep(351 * time.Millisecond)
			link.block(450 * time.Millisecond)
			for w.totalRequests() < 2 {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(78*40*time.Millisecond + 351*time.Millisecond)
			link.block(450 * time.Millisecond)
		})
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.NoError(w.t, got.err)
		must.Eq(w.t, events(1, 90), got.body)
		must.Eq(w.t, 1, prefills(), must.Sprint("prefills"))
	})
}

// A second replica was made at a third engine. The link of the daemon's VM stalls for 400 ms while
// the replica is refreshed, so the call fails, but the previous replica still exists. When the
// engine that runs the request crashes a moment later, the answer must resume from it; otherwise
// the prefill is repeated and the caller's pause is a second.
func TestReplicaKeptWhenRefreshTimesOut(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		handle := streamEvents(100, time.Second, 40*time.Millisecond)
		a, b, c := w.add("e-a", "llm", "a", handle), w.add("e-b", "llm", "b", handle), w.add("e-c", "llm", "c", handle)
		link := w.gateDials()
		var third *fakeServer
		w.background(func() {
			runner, holder, other := awaitRunner(a, b, c)
			third = other
			w.crash(holder)
			w.remove("server/" + holder.server.ID)
			for {
				if targets, _ := runner.copyCalls(); len(targets) > 0 {
					break
				}
				time.Sleep(time.Millisecond)
			}
			time.Sleep(900 * time.Millisecond)
			link.block(400 * time.Millisecond)
			time.Sleep(300 * time.Millisecond)
			w.crash(runner)
		})
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.NoError(w.t, got.err)
		for _, r := range third.requests() {
			must.NotEq(w.t, "", r.Header.Get(hCopyAt))
		}
	})
}

// A caller arrives while no connection succeeds for a second, and its prompt is sent to the best
// known engine without a successful probe. The failure to reach this engine must not make it
// suspect.
func TestEngineTriedWithoutProbeIsNotSuspect(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		for _, id := range []string{"a", "b", "c"} {
			w.add("e-"+id, "llm", id, streamEvents(20, 100*time.Millisecond, 40*time.Millisecond))
		}
		link := w.gateDials()
		w.background(func() { link.block(time.Second) })
		time.Sleep(time.Millisecond)
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.NoError(w.t, got.err)
		must.Eq(w.t, events(1, 20), got.body)
		for _, s := range w.servers {
			must.False(w.t, w.handler.pool.isSuspect(time.Now(), s.server.Incarnation()), must.Sprint(s.server.ID))
		}
	})
}

// The VM's link stalls while two engines have the request of one answer, and recovers while both
// are probed. The events of the first engine arrive just when the probe of it has failed. The
// daemon must check for them before it gives up that engine: the other one rejects the request, and
// no retry is left. In a soak test with stalled links one of about seventy seeds cut an answer;
// this cause was found by reading the code and was not observed there.
func TestSilentEngineRespondsDuringFinalProbe(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		asked := make(chan struct{}, 1)
		handle := func(rw http.ResponseWriter, r *http.Request) {
			if r.Header.Get(hCopyAt) != "" {
				asked <- struct{}{}
				withCopyReleased(300*time.Millisecond, 0)(rw, r)
				return
			}
			w.servers[r.Header.Get(hServer)].failStatus()
			pausing(rw, r, 400*time.Millisecond)
		}
		w.add("e-a", "llm", "a", handle)
		w.add("e-b", "llm", "b", handle)
		w.setRetryBudget(retrybudget.Policy{Slack: 1.2, Window: 10 * time.Second}) // one retry
		w.background(func() {
			<-asked
			w.stallLink(20*time.Millisecond, 265*time.Millisecond)
		})
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.NoError(w.t, got.err)
		must.Eq(w.t, events(1, 20), got.body)
	})
}

// silenceInTurn makes servers fall silent one after the other, for a time each, without losing data.
func (w *testCluster) silenceInTurn(after, d time.Duration, ids ...string) {
	time.Sleep(after)
	for _, id := range ids {
		w.servers[id].listener.Stall()
		time.Sleep(d)
		w.servers[id].listener.Unstall()
	}
}

// checkSilence checks that six answers are whole although servers fall silent one after the other, and
// that no request counts as one that crashes servers.
func checkSilence(t *testing.T, ids ...string) {
	t.Helper()
	for _, after := range []time.Duration{200 * time.Millisecond, 1500 * time.Millisecond} {
		withTestCluster(t, streamRoute(), func(w *testCluster) {
			for _, id := range []string{"a", "b", "c"} {
				w.add("e-"+id, "llm", id, streamEvents(60, time.Second, 40*time.Millisecond))
			}
			w.background(func() { w.silenceInTurn(after, 1200*time.Millisecond, ids...) })
			for _, got := range w.askMany(6) {
				must.NoError(w.t, got.err)
				must.Eq(w.t, http.StatusOK, got.status, must.Sprint(after, got.took, got.body))
				must.Eq(w.t, events(1, 60), got.body)
			}
			must.Zero(w.t, testutil.CollectAndCount(w.handler.metrics.poisonMarks))
		})
	}
}

// Guards against answers that are lost because a sound server is silent for a second.
func TestServerSilentForASecondLosesNoAnswer(t *testing.T) { checkSilence(t, "e-b") }

// Guards against answers that are given up because all servers of a service, none of which has failed,
// are silent for a second one after the other.
func TestServersSilentInTurnLoseNoAnswer(t *testing.T) { checkSilence(t, "e-a", "e-b", "e-c") }
