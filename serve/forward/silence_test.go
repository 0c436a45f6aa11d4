package forward

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/shoenig/test/must"
)

// silentServers are servers that are silent for a time: their connections deliver nothing, and new ones
// are not accepted until the silence ends. No data is lost.
type silentServers struct {
	w     *testCluster
	mu    sync.Mutex
	until map[string]chan struct{} // by address; closed at the end of the silence
}

// trackSilence makes the daemon's connections, also those that only probe a server, subject to silence.
func (w *testCluster) trackSilence() *silentServers {
	s := &silentServers{w: w, until: map[string]chan struct{}{}}
	w.handler.dial = s.dial
	w.handler.transport = newTransport(s.dial)
	return s
}

func (s *silentServers) dial(ctx context.Context, network, address string) (net.Conn, error) {
	s.mu.Lock()
	until := s.until[address]
	s.mu.Unlock()
	if until != nil {
		select {
		case <-until:
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Net: network, Err: dialTimeoutError{ctx.Err()}}
		}
	}
	return s.w.dial(ctx, network, address)
}

// silence makes servers silent for a time.
func (s *silentServers) silence(d time.Duration, ids ...string) {
	s.holdConnections(d, ids...)
	for _, id := range ids {
		s.w.servers[id].listener.Stall()
	}
	time.Sleep(d)
	for _, id := range ids {
		s.w.servers[id].listener.Unstall()
	}
}

// holdConnections makes servers accept no new connections for a time. It does not wait for its end.
func (s *silentServers) holdConnections(d time.Duration, ids ...string) {
	until := make(chan struct{})
	s.mu.Lock()
	for _, id := range ids {
		s.until[s.w.servers[id].server.Address] = until
	}
	s.mu.Unlock()
	s.w.background(func() {
		time.Sleep(d)
		s.mu.Lock()
		for _, id := range ids {
			delete(s.until, s.w.servers[id].server.Address)
		}
		s.mu.Unlock()
		close(until)
	})
}

// respondInParts sends a response in two parts, with a time before each.
func respondInParts(first, second time.Duration, parts ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		sleep(r, first)
		w.Header().Set(hProof, "p")
		_, _ = w.Write([]byte(parts[0]))
		_ = http.NewResponseController(w).Flush()
		sleep(r, second)
		_, _ = w.Write([]byte(parts[1]))
	}
}

// Guards against calls that fail, or run twice, because their sound servers are silent for a time.
func TestSilenceOfServersFailsNoCall(t *testing.T) {
	const objective, timeout = 6 * time.Second, 10 * time.Second
	long := strings.Repeat("a", 2*bufferedResponseBytes)
	for _, c := range []struct {
		name   string
		handle http.HandlerFunc
		after  time.Duration // from the arrival of the call to the silence
		body   string
	}{
		{"before the call", respondProven("ok"), 0, "ok"},
		{"before the response", respondInParts(200*time.Millisecond, 0, "o", "k"), 100 * time.Millisecond, "ok"},
		{"inside the response", respondInParts(0, 200*time.Millisecond, "o", "k"), 100 * time.Millisecond, "ok"},
		{"inside a long response", respondInParts(0, 200*time.Millisecond, long, "k"), 100 * time.Millisecond, long + "k"},
	} {
		for _, path := range []string{"/once/1", "/again/1"} {
			for _, d := range []time.Duration{500 * time.Millisecond, time.Second, 2500 * time.Millisecond} {
				t.Run(c.name+path+" "+d.String(), func(t *testing.T) {
					routes := plainRoutes()
					for _, r := range routes {
						r.Objective, r.Timeout = objective, timeout
					}
					withTestCluster(t, routes, func(w *testCluster) {
						ids := []string{"d-1", "d-2", "d-3"}
						for _, id := range ids {
							w.add(id, "desk", "a", c.handle)
						}
						s := w.trackSilence()
						w.background(func() {
							time.Sleep(c.after)
							s.silence(d, ids...)
						})
						time.Sleep(time.Millisecond)
						got := w.request(http.MethodPost, path, callerHeaders, "x")
						must.NoError(w.t, got.err)
						must.Eq(w.t, http.StatusOK, got.status, must.Sprint(got.took, got.body))
						must.Eq(w.t, c.body, got.body)
						must.Less(w.t, d+time.Second, got.took)
						if path == "/once/1" {
							must.Eq(w.t, 1, w.totalRequests())
						}
					})
				})
			}
		}
	}
}

// Guards against calls that wait longer for silent servers than they can be answered in time, and against
// a daemon that exits while one waits.
func TestWaitForSilentServersIsBounded(t *testing.T) {
	for _, c := range []struct {
		name   string
		exitIn time.Duration // 0 if the daemon is not shutting down
		max    time.Duration
	}{
		{"half of the objective", 0, 3*time.Second + dialTimeout + recoveryPollInterval},
		{"before the exit", 2 * time.Second, 2 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			routes := plainRoutes()
			routes[0].Objective, routes[0].Timeout = 6*time.Second, 10*time.Second
			withTestCluster(t, routes, func(w *testCluster) {
				for _, id := range []string{"d-1", "d-2"} {
					w.add(id, "desk", "a", respondProven("ok"))
				}
				s := w.trackSilence()
				w.background(func() { s.silence(5*time.Second, "d-1", "d-2") })
				time.Sleep(time.Millisecond)
				if c.exitIn > 0 {
					now := time.Now()
					w.handler.BeginShutdown(ShutdownSchedule{RequestsUntil: now.Add(time.Second), ExitAt: now.Add(c.exitIn)})
				}
				got := w.request(http.MethodPost, "/once/1", callerHeaders, "x")
				must.NoError(w.t, got.err)
				must.Eq(w.t, http.StatusServiceUnavailable, got.status)
				must.StrContains(w.t, got.body, "not_run")
				must.NotEq(w.t, "", got.header.Get("Retry-After"))
				must.Between(w.t, time.Second, got.took, c.max)
				must.Eq(w.t, 0, w.totalRequests())
			})
		})
	}
}

// Guards against a whole response that counts as broken, when its connection is its end, because its
// server is silent in the next moment.
func TestSilenceAfterResponseThatEndsWithItsConnection(t *testing.T) {
	for _, path := range []string{"/once/1", "/again/1"} {
		for _, d := range []time.Duration{500 * time.Millisecond, time.Second, 2500 * time.Millisecond} {
			t.Run(path+" "+d.String(), func(t *testing.T) {
				routes := plainRoutes()
				for _, r := range routes {
					r.Timeout = 10 * time.Second
					r.Objective = 6 * time.Second
				}
				withTestCluster(t, routes, func(w *testCluster) {
					var s *silentServers
					w.add("d-1", "desk", "a", respondUnframed(func(send func(string), _ int) {
						send("ok")
						s.holdConnections(d, "d-1")
					}))
					w.add("d-2", "desk", "b", respondProven("other"))
					s = w.trackSilence()
					got := w.request(http.MethodPost, path, callerHeaders, "x")
					must.NoError(w.t, got.err)
					must.Eq(w.t, http.StatusOK, got.status, must.Sprint(got.took, got.body))
					must.Eq(w.t, "ok", got.body)
					must.Eq(w.t, 1, w.totalRequests())
					must.False(w.t, w.handler.pool.isSuspect(time.Now(), w.servers["d-1"].server.Incarnation()))
				})
			})
		}
	}
}

// Guards against a call that waits until its deadline for a server that has gone without a word, after a
// response that may not be whole.
func TestEndOfResponseIsUnknownOnceServerIsRemoved(t *testing.T) {
	routes := plainRoutes()
	routes[0].Timeout = 10 * time.Second
	withTestCluster(t, routes, func(w *testCluster) {
		var s *silentServers
		w.add("d-1", "desk", "a", respondUnframed(func(send func(string), _ int) {
			send("ok")
			s.holdConnections(time.Minute, "d-1")
		}))
		s = w.trackSilence()
		w.background(func() {
			time.Sleep(time.Second)
			w.remove("server/d-1")
		})
		got := w.request(http.MethodPost, "/once/1", callerHeaders, "x")
		must.Eq(w.t, http.StatusBadGateway, got.status)
		must.Between(w.t, time.Second, got.took, 2*time.Second)
	})
}

// Guards against suspicion that grows with the number of requests that notice one silence.
func TestSuspicionIsAsLongAsTheFailure(t *testing.T) {
	withTestCluster(t, plainRoutes(), func(w *testCluster) {
		s := w.add("d-1", "desk", "a", respondProven("ok"))
		w.request(http.MethodPost, "/once/1", callerHeaders, "x")
		pool := w.handler.pool
		suspectFor := func() time.Duration { return pool.workReport(time.Now(), s.server.Incarnation()).SuspectFor }
		for _, c := range []struct{ at, want time.Duration }{
			{0, minSuspicion},
			{time.Second, minSuspicion},
			{2500 * time.Millisecond, 3500 * time.Millisecond},
			{4 * time.Second, 7500 * time.Millisecond},
			{8 * time.Second, maxSuspicion},
			{15 * time.Second, minSuspicion}, // it was not tried for a while
		} {
			time.Sleep(c.at)
			for range 20 {
				pool.recordFailure(time.Now(), s.server)
			}
			must.Eq(w.t, c.want, suspectFor())
		}
		time.Sleep(time.Minute)
		w.request(http.MethodPost, "/once/1", callerHeaders, "x")
		pool.recordFailure(time.Now(), s.server)
		must.Eq(w.t, minSuspicion, suspectFor())
	})
}

// Guards against refusals while a third of the servers are silent, and against servers that get no work
// for many seconds after a short silence.
func TestSilentThirdOfServersGetsWorkAgain(t *testing.T) {
	for _, path := range []string{"/s/1", "/once/1", "/again/1"} {
		for _, d := range []time.Duration{500 * time.Millisecond, time.Second, 2500 * time.Millisecond} {
			t.Run(path+" "+d.String(), func(t *testing.T) {
				routes := append(plainRoutes(), streamRoute()...)
				routes[0].Timeout, routes[0].Objective = 10*time.Second, 2*time.Second
				routes[1].Timeout, routes[1].Objective = 10*time.Second, 2*time.Second
				withTestCluster(t, routes, func(w *testCluster) { w.checkSilentThird(path, d) })
			})
		}
	}
}

// checkSilentThird sends requests while two of six servers are silent for a time, and for some time after.
func (w *testCluster) checkSilentThird(path string, d time.Duration) {
	service, handle := "desk", respondInParts(100*time.Millisecond, 200*time.Millisecond, "o", "k")
	if path == "/s/1" {
		service, handle = "llm", streamEvents(10, 100*time.Millisecond, 20*time.Millisecond)
	}
	ids := []string{"e-a", "e-b", "e-c", "e-d", "e-e", "e-f"}
	for _, id := range ids {
		w.add(id, service, id, handle)
	}
	silent := w.trackSilence()
	began := time.Now()
	w.background(func() {
		time.Sleep(500 * time.Millisecond)
		silent.silence(d, ids[:2]...)
	})
	var all sync.WaitGroup
	responses := make([]response, 300)
	for n := range responses {
		time.Sleep(25 * time.Millisecond)
		all.Go(func() {
			responses[n] = w.request(http.MethodPost, path, withHeaders(map[string]string{hID: fmt.Sprintf("r%d", n)}), "prompt")
		})
	}
	all.Wait()
	for _, got := range responses {
		must.NoError(w.t, got.err)
		must.Eq(w.t, http.StatusOK, got.status, must.Sprint(got.body))
	}
	end := began.Add(500*time.Millisecond + d)
	for _, id := range ids[:2] {
		s := w.servers[id]
		must.Positive(w.t, s.requestsBetween(end.Add(50*time.Millisecond), end.Add(2*minSuspicion)), must.Sprint(id))
	}
}

// requestsBetween returns how many requests the server was asked to run between two times.
func (s *fakeServer) requestsBetween(from, until time.Time) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, at := range s.receivedAt {
		if at.After(from) && at.Before(until) {
			n++
		}
	}
	return n
}

// Guards against a request that counts as one that crashes servers, because its connections broke and the
// servers were silent in the next moment.
func TestSilenceAfterBrokenConnectionIsNoCrash(t *testing.T) {
	withTestCluster(t, plainRoutes(), func(w *testCluster) {
		var s *silentServers
		for _, id := range []string{"d-1", "d-2", "d-3", "d-4"} {
			w.add(id, "desk", "a", func(rw http.ResponseWriter, r *http.Request) {
				s.holdConnections(time.Second, id)
				breaking(rw, r)
			})
		}
		s = w.trackSilence()
		for range 12 {
			must.NotEq(w.t, http.StatusOK, w.request(http.MethodPost, "/once/1", callerHeaders, "x").status)
			time.Sleep(2 * time.Second)
		}
		must.Eq(w.t, 12, w.totalRequests()) // none was refused for the crashes of the others
		must.Zero(w.t, testutil.CollectAndCount(w.handler.metrics.poisonMarks))
	})
}

// Guards against a replica that is given up because the engine that runs its request is silent: when that
// engine dies, the prompt would be prefilled again.
func TestReplicaIsKeptWhileEngineIsSilent(t *testing.T) {
	for _, d := range []time.Duration{500 * time.Millisecond, time.Second, 2500 * time.Millisecond} {
		t.Run(d.String(), func(t *testing.T) {
			withTestCluster(t, streamRoute(), func(w *testCluster) {
				handle := streamEvents(150, time.Second, 40*time.Millisecond)
				a, b, c := w.add("e-a", "llm", "a", handle), w.add("e-b", "llm", "b", handle), w.add("e-c", "llm", "c", handle)
				s := w.trackSilence()
				w.background(func() {
					runner, holder, _ := awaitRunner(a, b, c)
					w.crash(holder)
					w.remove("server/" + holder.server.ID)
					time.Sleep(1500 * time.Millisecond)
					s.silence(d, runner.server.ID)
					w.crash(runner)
				})
				got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
				must.NoError(w.t, got.err)
				must.Eq(w.t, events(1, 150), got.body)
				prefills := 0
				for _, s := range w.servers {
					for _, r := range s.requests() {
						if r.Header.Get(hCopyAt) == "" {
							prefills++
						}
					}
				}
				must.Eq(w.t, 1, prefills)
			})
		})
	}
}
