package forward

import (
	"cmp"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/takeover"
)

// respondUnframed answers with a body that has neither a length nor chunks. The body is what write
// sends; the connection is closed after it.
func respondUnframed(write func(send func(string), after int)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, buf, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		defer conn.Close()
		send := func(text string) {
			_, _ = buf.WriteString(text)
			_ = buf.Flush()
		}
		after, _ := strconv.Atoi(r.Header.Get(hAfter))
		send(fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: p\r\n%s: %s\r\nContent-Type: text/event-stream\r\n\r\n", hProof, hID, r.Header.Get(hID)))
		write(send, after)
	}
}

// unframedEvents sends the events up to last.
func unframedEvents(last int) http.HandlerFunc {
	return respondUnframed(func(send func(string), after int) {
		for id := after + 1; id <= last; id++ {
			send(events(id, id))
			time.Sleep(20 * time.Millisecond)
		}
	})
}

// Guards against a stream that looks complete although its server died, when its connection is its end.
func TestStreamThatEndsWithItsConnection(t *testing.T) {
	for _, c := range []struct {
		name  string
		first func(crash func()) http.HandlerFunc // of the first engine
		runs  int                                 // that the answer takes
	}{
		{"whole", func(func()) http.HandlerFunc { return unframedEvents(20) }, 1},
		{"inside an event", func(func()) http.HandlerFunc {
			return respondUnframed(func(send func(string), _ int) { send(events(1, 7) + "id: 8\nda") })
		}, 2},
		{"inside an event, engine dies", func(crash func()) http.HandlerFunc {
			return respondUnframed(func(send func(string), _ int) {
				send(events(1, 7) + "id: 8\nda")
				crash()
			})
		}, 2},
		{"between events, engine dies", func(crash func()) http.HandlerFunc {
			return respondUnframed(func(send func(string), _ int) {
				send(events(1, 7))
				crash()
			})
		}, 2},
		{"before the first event, engine dies", func(crash func()) http.HandlerFunc {
			return respondUnframed(func(func(string), int) { crash() })
		}, 2},
		{"before the first event", func(func()) http.HandlerFunc {
			return respondUnframed(func(func(string), int) {})
		}, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			withTestCluster(t, streamRoute(), func(w *testCluster) {
				runs := 0
				for _, id := range []string{"e1", "e2"} {
					var s *fakeServer
					s = w.add(id, "llm", "a", func(rw http.ResponseWriter, r *http.Request) {
						if runs++; runs == 1 {
							c.first(func() { w.crash(s) })(rw, r)
							return
						}
						streamEvents(20, 0, 20*time.Millisecond)(rw, r)
					})
				}
				got := w.request("POST", "/s/x", callerHeaders, "prompt")
				must.NoError(t, got.err)
				must.Eq(t, events(1, 20), got.body)
				must.Eq(t, c.runs, runs)
			})
		})
	}
}

// Guards against a stream that looks complete because another process has taken the port of its engine.
func TestStreamOfReplacedEngineIsNotComplete(t *testing.T) {
	for name, newID := range map[string]string{"same id": "", "another id": "e3"} {
		t.Run(name, func(t *testing.T) {
			withTestCluster(t, streamRoute(), func(w *testCluster) {
				runs := 0
				whole := streamEvents(20, 0, 20*time.Millisecond)
				for _, id := range []string{"e1", "e2"} {
					var s *fakeServer
					s = w.start(routing.Server{ID: id, StartedAtMS: 1, Service: "llm", Zone: "a", Address: id + ":80", Slots: 4}, func(rw http.ResponseWriter, r *http.Request) {
						if runs++; runs > 1 {
							whole(rw, r)
							return
						}
						respondUnframed(func(send func(string), _ int) {
							send(events(1, 7))
							w.mu.Lock()
							w.replaced = append(w.replaced, s) // its connections end in order
							w.mu.Unlock()
							next := s.server
							next.ID, next.StartedAtMS = cmp.Or(newID, next.ID), 2
							w.start(next, whole)
						})(rw, r)
					})
					w.register(s)
				}
				time.Sleep(time.Second) // until the handler knows them
				got := w.request("POST", "/s/x", callerHeaders, "prompt")
				must.NoError(w.t, got.err)
				must.Eq(w.t, events(1, 20), got.body)
			})
		})
	}
}

// Guards against part of a call's answer that looks complete, when its connection is its end.
func TestCallThatEndsWithItsConnection(t *testing.T) {
	const long = 2 * bufferedResponseBytes
	for _, c := range []struct {
		name   string
		path   string
		body   string
		dies   bool
		status int // 0 if the answer is truncated
	}{
		{"whole", "/once/x", "answer", false, http.StatusOK},
		{"server dies", "/once/x", "answer", true, http.StatusBadGateway},
		{"idempotent, server dies", "/again/x", "answer", true, http.StatusOK},
		{"long", "/once/x", strings.Repeat("a", long), false, http.StatusOK},
		{"long, server dies", "/once/x", strings.Repeat("a", long), true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			withTestCluster(t, plainRoutes(), func(w *testCluster) {
				died := false
				for _, id := range []string{"d1", "d2"} {
					var s *fakeServer
					s = w.add(id, "desk", "a", func(rw http.ResponseWriter, r *http.Request) {
						respondUnframed(func(send func(string), _ int) {
							send(c.body)
							if c.dies && !died {
								died = true
								w.crash(s)
							}
						})(rw, r)
					})
				}
				got := w.request("POST", c.path, callerHeaders, "")
				if c.status == 0 {
					must.Error(t, got.err)
					return
				}
				must.NoError(t, got.err)
				must.Eq(t, c.status, got.status)
				if c.status == http.StatusOK {
					must.Eq(t, c.body, got.body)
				}
			})
		})
	}
}

// slowAnswer is a response whose end comes later than another process could take the port of its server.
const slowAnswer = minRestartTime + 50*time.Millisecond

// endRoutes are routes to plain servers, and to servers that do not tell which process they are, with time
// for a slowAnswer.
func endRoutes() []*routing.Route {
	route := func(name, service string, kind routing.Kind) *routing.Route {
		return &routing.Route{
			Name: name, Host: "host", Prefix: "/" + name + "/", Kind: kind, Timeout: 5 * time.Second, MaxAttempts: 2,
			Targets: []routing.Target{{Service: service, Weight: 1}},
		}
	}
	stream, engine := route("stream", "desk", routing.Stream), route("engine", "llm", routing.Stream)
	stream.Resumable, engine.Resumable = true, true
	return []*routing.Route{
		route("once", "desk", routing.AtMostOnce), route("again", "desk", routing.Idempotent), stream, engine,
		route("anonymous", "anonymous", routing.AtMostOnce),
	}
}

// replaceInOrder ends a server's process, whose connections end in order, and starts another one at its address.
func (w *testCluster) replaceInOrder(old *fakeServer, id string, handle http.HandlerFunc) *fakeServer {
	w.mu.Lock()
	w.replaced = append(w.replaced, old)
	w.mu.Unlock()
	next := old.server
	next.ID = id
	return w.start(next, handle)
}

// Guards against an answer that ends early and looks complete, and a whole one that does not, for each way in
// which a server and the process at its address are found after it.
func TestEndOfSlowCloseDelimitedAnswer(t *testing.T) {
	rejectOnce := func(s *fakeServer) http.HandlerFunc {
		return func(rw http.ResponseWriter, _ *http.Request) {
			if s.healthRequestCount() == 1 {
				rw.Header().Set(hNotRun, "1")
				rw.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			rw.Header().Set(hInstance, s.server.ID)
		}
	}
	for _, c := range []struct {
		name   string
		path   string // of the service that answers
		delay  time.Duration
		after  func(w *testCluster, s *fakeServer) // at the end of the answer
		whole  bool
		asked  int // requests to the health path of the server
		atMost time.Duration
	}{
		{"quick", "/once/x", 0, func(*testCluster, *fakeServer) {}, true, 0, minRestartTime},
		{"slow", "/once/x", slowAnswer, func(*testCluster, *fakeServer) {}, true, 1, 2 * slowAnswer},
		{"server full for a moment", "/once/x", slowAnswer, func(_ *testCluster, s *fakeServer) { s.setHealth(rejectOnce(s)) }, true, 2, 2 * slowAnswer},
		{"server leaves", "/once/x", slowAnswer, func(_ *testCluster, s *fakeServer) {
			s.setHealth(func(rw http.ResponseWriter, _ *http.Request) {
				rw.Header().Set(hInstance, s.server.ID)
				rw.WriteHeader(http.StatusServiceUnavailable)
			})
		}, true, 1, 2 * slowAnswer},
		{"server does not tell who it is", "/once/x", slowAnswer, func(_ *testCluster, s *fakeServer) {
			s.setHealth(func(http.ResponseWriter, *http.Request) {})
		}, false, -1, 6 * time.Second},
		{"server silent for a second", "/once/x", slowAnswer, func(w *testCluster, s *fakeServer) {
			s.listener.Stall()
			w.background(func() { time.Sleep(time.Second); s.listener.Unstall() })
		}, true, -1, 4 * time.Second},
		{"server gone", "/once/x", slowAnswer, func(w *testCluster, s *fakeServer) { w.crash(s) }, false, 0, 2 * slowAnswer},
		{"another process", "/once/x", slowAnswer, func(w *testCluster, s *fakeServer) { w.replaceInOrder(s, "new", nil) }, false, 0, 2 * slowAnswer},
		{"another process of another service", "/once/x", slowAnswer, func(w *testCluster, s *fakeServer) {
			w.replaceInOrder(s, "new", nil).server.Service = "llm"
		}, false, 0, 2 * slowAnswer},
		{"another process of the same id", "/once/x", slowAnswer, func(w *testCluster, s *fakeServer) {
			next := w.replaceInOrder(s, s.server.ID, nil)
			next.server.StartedAtMS++
			w.register(next)
			time.Sleep(time.Second) // until the handler knows it
		}, false, 0, time.Second + 2*slowAnswer},
		{"quick, no health path", "/anonymous/x", 0, func(*testCluster, *fakeServer) {}, true, 0, minRestartTime},
		{"slow, no health path", "/anonymous/x", slowAnswer, func(*testCluster, *fakeServer) {}, false, 0, 2 * slowAnswer},
		{"server gone, no health path", "/anonymous/x", slowAnswer, func(w *testCluster, s *fakeServer) { w.crash(s) }, false, 0, 2 * slowAnswer},
	} {
		t.Run(c.name, func(t *testing.T) {
			withTestCluster(t, endRoutes(), func(w *testCluster) {
				service := map[bool]string{true: "desk", false: "anonymous"}[strings.HasPrefix(c.path, "/once/")]
				var s *fakeServer
				s = w.start(routing.Server{ID: "d1", StartedAtMS: 1, Service: service, Zone: "a", Address: "d1:80"}, respondUnframed(func(send func(string), _ int) {
					send("answer")
					time.Sleep(c.delay)
					c.after(w, s)
				}))
				w.register(s)
				time.Sleep(time.Second) // until the handler knows it
				got := w.request("POST", c.path, callerHeaders, "")
				must.NoError(w.t, got.err)
				must.Eq(w.t, c.whole, got.status == http.StatusOK, must.Sprint(got.status, got.body))
				must.LessEq(w.t, c.atMost, got.took)
				if c.whole {
					must.Eq(w.t, "answer", got.body)
				}
				if c.asked >= 0 {
					must.Eq(w.t, c.asked, s.healthRequestCount())
				}
			})
		})
	}
}

// Guards against part of an answer that looks complete because its server has crashed and started again by
// the time at which the daemon sees the end: an answer that had begun is cut, others are asked for again.
func TestAnswerOfRestartedServerIsNotComplete(t *testing.T) {
	part, whole := strings.Repeat("a", 2*bufferedResponseBytes), strings.Repeat("a", 3*bufferedResponseBytes)
	for _, c := range []struct {
		name, service, path string
		first, then, want   string // what the server sends before its crash, what others send, what the caller gets; "" if it is cut
	}{
		{"call", "desk", "/again/x", "part", "answer", "answer"},
		{"long call", "desk", "/again/x", part, whole, ""},
		{"stream", "desk", "/stream/x", events(1, 7), "", events(1, 20)},
		{"stream of an engine that states no start time", "llm", "/engine/x", events(1, 7), "", events(1, 20)},
	} {
		t.Run(c.name, func(t *testing.T) {
			withTestCluster(t, endRoutes(), func(w *testCluster) {
				runs := 0
				later := respondUnframed(func(send func(string), after int) { send(cmp.Or(c.then, events(after+1, 20))) })
				for _, id := range []string{"d1", "d2"} {
					var s *fakeServer
					s = w.add(id, c.service, "a", func(rw http.ResponseWriter, r *http.Request) {
						if runs++; runs > 1 {
							later(rw, r)
							return
						}
						respondUnframed(func(send func(string), _ int) {
							send(c.first)
							w.replaceInOrder(s, "new", later)
							time.Sleep(slowAnswer)
						})(rw, r)
					})
				}
				got := w.request("POST", c.path, callerHeaders, "")
				if c.want == "" {
					must.Error(w.t, got.err)
					return
				}
				must.NoError(w.t, got.err)
				must.Eq(w.t, http.StatusOK, got.status)
				must.Eq(w.t, c.want, got.body)
				must.Eq(w.t, 2, runs)
			})
		})
	}
}

// Guards against a stream that looks complete because its engine stopped the run as asked and closed the connection.
func TestStoppedStreamThatEndsWithItsConnectionIsNotComplete(t *testing.T) {
	for _, c := range []struct {
		name  string
		reply time.Duration // from the end of the connection to the reply of the engine
		next  http.HandlerFunc
	}{
		{"the next engine sends nothing", 300 * time.Millisecond, func(_ http.ResponseWriter, r *http.Request) { sleep(r, time.Hour) }},
		{"the next engine rejects the request late", 300 * time.Millisecond, func(rw http.ResponseWriter, r *http.Request) {
			sleep(r, takeover.AcceptTime+20*time.Millisecond)
			rw.Header().Set(hNotRun, "1")
			rw.WriteHeader(http.StatusServiceUnavailable)
		}},
		{"the next engine continues", 0, streamEvents(20, 0, 40*time.Millisecond)},
	} {
		t.Run(c.name, func(t *testing.T) {
			withTestCluster(t, streamRoute(), func(w *testCluster) {
				var resumed atomic.Int32
				stopped := make(chan struct{})
				handle := func(rw http.ResponseWriter, r *http.Request) {
					switch {
					case r.Header.Get(hCopyAt) == "":
						respondUnframed(func(send func(string), _ int) {
							send(events(1, 10))
							<-stopped
						})(rw, r)
					case resumed.Add(1) == 1:
						c.next(rw, r)
					default:
						streamEvents(20, 0, 40*time.Millisecond)(rw, r)
					}
				}
				for _, s := range []*fakeServer{w.add("e-a", "llm", "a", handle), w.add("e-b", "llm", "b", handle)} {
					s.onStop(func(rw http.ResponseWriter, _ *http.Request) {
						select {
						case <-stopped:
							rw.WriteHeader(http.StatusNotFound)
							return
						default:
						}
						close(stopped)
						time.Sleep(c.reply)
						fmt.Fprint(rw, "state")
					})
				}
				got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
				must.NoError(t, got.err)
				must.Eq(t, events(1, 20), got.body)
			})
		})
	}
}
