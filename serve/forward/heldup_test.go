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
	"mallowwind.dev/decision/repeats"
)

// dialTimedOut is what a connection ends with that was not made in time.
type dialTimedOut struct{ error }

// Timeout implements net.Error.
func (dialTimedOut) Timeout() bool { return true }

// Temporary implements net.Error.
func (dialTimedOut) Temporary() bool { return true }

// gate holds up new connections while it is shut, as a full link does.
type gate struct {
	mu   sync.Mutex
	open chan struct{} // closed while connections are made
}

// gateDials makes the daemon's new connections to servers wait at a gate, open at first.
func (w *testCluster) gateDials() *gate {
	g := &gate{open: make(chan struct{})}
	close(g.open)
	w.handler.transport = newTransport(func(ctx context.Context, network, address string) (net.Conn, error) {
		g.mu.Lock()
		free := g.open
		g.mu.Unlock()
		select {
		case <-free:
			return w.dial(ctx, network, address)
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Net: network, Err: dialTimedOut{ctx.Err()}}
		}
	})
	return g
}

// block holds up connections for a time.
func (g *gate) block(d time.Duration) {
	free := make(chan struct{})
	g.mu.Lock()
	g.open = free
	g.mu.Unlock()
	time.Sleep(d)
	close(free)
}

// holdLink holds everything between the daemon and all servers for a time, without
// losing any of it.
func (w *testCluster) holdLink(after, d time.Duration) {
	time.Sleep(after)
	for _, s := range w.servers {
		s.listener.Stall()
	}
	time.Sleep(d)
	for _, s := range w.servers {
		s.listener.Unstall()
	}
}

// Callers see answers cut although no engine failed. The link of the daemon's VM is full
// for a second, so that all streams fall silent at once and no other engine can be reached
// either. A daemon that takes each silence for the death of an engine gives the answer up
// before it knows that it can go on elsewhere. Evidence: with 88 daemons restarted in turn
// 1,160 of 1,169 legs that broke did so within a second of a question to all engines from
// the same VM, which filled its link, and engines ran on until their connection was closed.
func TestAnswersBehindALinkHeldUp(t *testing.T) {
	for _, c := range []struct {
		name string
		rule repeats.Policy
		held time.Duration // before the link is held up: while prompts are read, or in mid-answer
	}{
		{"in mid-answer, repeats used up", noRetries, 1500 * time.Millisecond},
		{"in mid-answer, repeats left", testRetryRule, 1500 * time.Millisecond},
		{"before the first event, repeats used up", noRetries, 200 * time.Millisecond},
		{"before the first event, repeats left", testRetryRule, 200 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			withTestCluster(t, streamRoute(), func(w *testCluster) {
				for _, id := range []string{"a", "b", "c"} {
					w.add("e-"+id, "llm", id, streamEvents(60, time.Second, 40*time.Millisecond))
				}
				w.setRetryBudget(c.rule)
				w.background(func() { w.holdLink(c.held, 1200*time.Millisecond) })
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

// Callers arrive while the link of the daemon's VM is held up. No engine answers the
// questions before their prompts, which says nothing of the engines: once the link is free
// all are as good as before. Evidence: during such a second daemons named dozens of engines
// suspect that worked, and chose among suspects only for seconds after.
func TestEnginesBehindALinkHeldUpAreNotSuspect(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		for _, id := range []string{"a", "b", "c", "d"} {
			w.add("e-"+id, "llm", id, streamEvents(20, 100*time.Millisecond, 40*time.Millisecond))
		}
		w.background(func() { w.holdLink(0, time.Second) })
		time.Sleep(time.Millisecond)
		w.askMany(4)
		for _, s := range w.servers {
			must.False(t, w.handler.pool.isSuspect(time.Now(), s.server.Incarnation()), must.Sprint(s.server.ID))
		}
	})
}

// The link of the daemon's VM is full in the middle of answers: what is on its way waits, and
// no connection is made in time either. Four answers of a service with engines must go on.
func TestAnswersBehindALinkThatMakesNoConnections(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		for _, id := range []string{"a", "b", "c"} {
			w.add("e-"+id, "llm", id, streamEvents(60, time.Second, 40*time.Millisecond))
		}
		link := w.gateDials()
		w.background(func() { w.holdLink(1500*time.Millisecond, 1200*time.Millisecond) })
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

// A stream of a service without engines falls silent, since the link of the daemon's VM is
// held up for two seconds. No server of such a service can be asked for a sign of life. A
// daemon that closes the first connection before another server has taken the request cuts
// the answer, or makes it late, although no server failed.
func TestStreamWithoutEnginesBehindALinkHeldUp(t *testing.T) {
	route := streamRoute()
	route[0].Targets = []routing.Target{{Service: "desk", Weight: 1}}
	withTestCluster(t, route, func(w *testCluster) {
		for _, id := range []string{"a", "b", "c"} {
			w.add("d-"+id, "desk", id, streamEvents(60, time.Second, 40*time.Millisecond))
		}
		link := w.gateDials()
		w.background(func() { w.holdLink(1500*time.Millisecond, 2*time.Second) })
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

// A silent answer goes on at the engine with the copy, which cannot be connected to for 450 ms:
// nothing was sent, so the copy is still there. A daemon that believes it used reads the whole
// prompt anew, for a second of an engine, and the caller's pause is as long.
func TestCopyThatWasNotAskedForIsNotForgotten(t *testing.T) {
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
			time.Sleep(351 * time.Millisecond) // the question is answered, the request is next
			link.block(450 * time.Millisecond)
		})
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.NoError(w.t, got.err)
		must.Eq(w.t, events(1, 20), got.body)
		anew := 0
		for _, s := range w.servers {
			for _, r := range s.requests() {
				if r.Header.Get(hCopyAt) == "" {
					anew++
				}
			}
		}
		must.Eq(w.t, 1, anew, must.Sprint("prompts read"))
	})
}

// A caller comes back after its daemon has ended, at one whose link is held up a moment later.
// The engine found to hold its prompt is not reached in time. A daemon that rules it out for
// this request reads the prompt anew, and one that looks at all caches before each further try
// fills its link again. Evidence: after 15 of 42 looks that found the engine the first leg there
// was not sent; one request looked 11 times in eight seconds.
func TestPromptThatWasFoundIsNotLookedForAgain(t *testing.T) {
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
		looks := testutil.ToFloat64(w.handler.metrics.cacheScans)
		at := w.servers["e-4"].requestCount()
		if looks != 1 || at != 1 {
			w.t.Fatalf("%v looks, %d requests at the engine that holds the prompt, %d elsewhere", looks, at, w.totalRequests()-at)
		}
	})
}

// Callers look something up while the link of the daemon's VM is held up for a second, so that
// no connection is made in time. No server is at fault; once the link is free all must be as
// good as before. Evidence: 581 times a server of calls was named suspect in 90 s of planned
// restarts in which none failed, each time because a connection was not made in time.
func TestServersOfCallsBehindALinkHeldUpAreNotSuspect(t *testing.T) {
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

// losesSYN makes the next connection to the server at an address wait for a second, as after
// a lost SYN.
func (w *testCluster) losesSYN(lossy *atomic.Value) {
	w.handler.transport = newTransport(func(ctx context.Context, network, address string) (net.Conn, error) {
		if at, _ := lossy.Load().(string); at == address {
			lossy.Store("") // one packet
			select {
			case <-time.After(time.Second):
			case <-ctx.Done():
				return nil, &net.OpError{Op: "dial", Net: network, Err: dialTimedOut{ctx.Err()}}
			}
		}
		return w.dial(ctx, network, address)
	})
}

// An engine that works pauses for 600 ms in mid-answer. The route allows no further run. One
// packet of a question to the engine is lost while others answer. The engine must not count as
// dead for it: the caller would see an answer cut that was on its way.
func TestOneLostPacketIsNoDarkEngine(t *testing.T) {
	route := streamRoute()
	route[0].MaxAttempts = 1
	withTestCluster(t, route, func(w *testCluster) {
		var lossy atomic.Value
		handle := func(rw http.ResponseWriter, r *http.Request) { pausing(rw, r, 600*time.Millisecond) }
		for _, id := range []string{"a", "b", "c"} {
			w.add("e-"+id, "llm", id, handle)
		}
		w.losesSYN(&lossy)
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

// An engine pauses for 900 ms and the one with the copy is asked. Then the link of the VM is
// held up for 450 ms, so that neither is heard of. A daemon that lets go of the working engine
// for that has nothing left when the other turns the request away, and no repeat.
func TestLinkHeldUpWhileBothHaveTheRequest(t *testing.T) {
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
		w.setRetryBudget(repeats.Policy{Slack: 1.2, Window: 10 * time.Second}) // one repeat
		w.background(func() {
			<-asked
			w.holdLink(20*time.Millisecond, 450*time.Millisecond)
		})
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.NoError(w.t, got.err)
		must.Eq(w.t, events(1, 20), got.body)
	})
}

// The way to the engine with the copy is held up for 450 ms when an answer is to go on there,
// and again when it goes on a second time, seconds later. Each hold-up is one of its own: the
// copy is used both times, and no prompt is read anew.
func TestSecondHoldUpOfOneAnswer(t *testing.T) {
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
		anew := func() (n int) {
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
		must.Eq(w.t, 1, anew(), must.Sprint("prompts read"))
	})
}

// A run's copy was made again at a third engine. The link of the daemon's VM is held up for
// 400 ms while that copy is brought up to date, so that the call fails; the copy still lies
// where it was. The engine that runs the request dies a moment later. If the copy was forgotten
// the prompt is read anew, and the caller's pause is a second.
func TestCopyIsNotForgottenForTheOwnLink(t *testing.T) {
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

// A caller arrives while no connection is made for a second, and its prompt is sent to the
// best known engine all the same. That this engine is not reached says nothing of it.
func TestEngineThatIsTriedBlindIsNotSuspect(t *testing.T) {
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

// The link of the VM is held up while two engines have the request of one answer, and free
// again while both are asked whether they respond. The events of the first engine arrive in
// the moment in which the question to it has failed. The daemon must look at them before it
// lets go of that engine: the other turns the request away, and no repeat is left. Evidence:
// one of some seventy seeds of the soak with links held up cut one answer; its cause was found
// by reading, and was not seen at work there.
func TestSilentEngineRespondsInTheLastMoment(t *testing.T) {
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
		w.setRetryBudget(repeats.Policy{Slack: 1.2, Window: 10 * time.Second}) // one repeat
		w.background(func() {
			<-asked
			w.holdLink(20*time.Millisecond, 265*time.Millisecond)
		})
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.NoError(w.t, got.err)
		must.Eq(w.t, events(1, 20), got.body)
	})
}
