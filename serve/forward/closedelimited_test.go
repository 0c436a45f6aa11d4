package forward

import (
	"cmp"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/control/routing"
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
