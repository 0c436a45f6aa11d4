package forward

import (
	"bufio"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/external/standin/faultnet"
)

func failing(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(hProof, "p")
		w.WriteHeader(status)
	}
}

func rejecting(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(hNotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// breaking closes the connection in the middle of an answer.
func breaking(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(hProof, "p")
	w.Header().Set("Content-Length", "100")
	_, _ = w.Write([]byte("half"))
	panic(http.ErrAbortHandler)
}

func TestPlainRequests(t *testing.T) {
	cases := []struct {
		name   string
		path   string
		first  http.HandlerFunc // in the caller's zone, asked first
		second http.HandlerFunc
		status int
		body   string // "" is not compared
		runs   [2]int // at the first and second server
	}{
		{"answered", "/once/1", respondProven("ok"), respondProven("other"), 200, "ok", [2]int{1, 0}},
		{"failure passed on once", "/once/1", failing(500), respondProven("ok"), 500, "", [2]int{1, 0}},
		{"failure repeated where it may be", "/again/1", failing(500), respondProven("ok"), 200, "ok", [2]int{1, 1}},
		{"rejected, so sent elsewhere", "/once/1", rejecting, respondProven("ok"), 200, "ok", [2]int{1, 1}},
		{"rejected by all: nothing ran", "/once/1", rejecting, rejecting, 503, "", [2]int{1, 1}},
		{"broken off: may have run", "/once/1", breaking, respondProven("ok"), 502, "", [2]int{1, 0}},
		{"broken off, repeated", "/again/1", breaking, respondProven("ok"), 200, "ok", [2]int{1, 1}},
		{"promise without the server's word", "/once/1", failing(503), respondProven("ok"), 502, "", [2]int{1, 0}},
		{"both fail: the last answer", "/again/1", failing(500), failing(500), 500, "", [2]int{1, 1}},
		{"no route", "/none/1", respondProven("ok"), respondProven("ok"), 404, "", [2]int{0, 0}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withTestCluster(t, plainRoutes(), func(w *testCluster) {
				near := w.add("d-1", "desk", "a", c.first)
				far := w.add("d-2", "desk", "b", c.second)
				got := w.request(http.MethodPost, c.path, callerHeaders, "x")
				must.NoError(t, got.err)
				must.Eq(t, c.status, got.status)
				if c.body != "" {
					must.Eq(t, c.body, got.body)
				}
				must.Eq(t, c.runs, [2]int{near.requestCount(), far.requestCount()})
			})
		})
	}
}

// A server hangs. The caller of a call that may not be repeated hears at the
// route's timeout, not later, and no second server runs it.
func TestTimeoutIsAnsweredAtOnce(t *testing.T) {
	withTestCluster(t, plainRoutes(), func(w *testCluster) {
		w.add("d-1", "desk", "a", func(_ http.ResponseWriter, r *http.Request) { sleep(r, time.Hour) })
		far := w.add("d-2", "desk", "b", respondProven("ok"))
		got := w.request(http.MethodPost, "/once/1", callerHeaders, "x")
		must.Eq(t, http.StatusGatewayTimeout, got.status)
		must.Eq(t, 600*time.Millisecond, got.took)
		must.Eq(t, 0, far.requestCount())
	})
}

// A server hangs on an idempotent request. The second server is asked early
// enough to answer within the route's objective of 100 ms.
func TestHangingServerIsHedged(t *testing.T) {
	withTestCluster(t, plainRoutes(), func(w *testCluster) {
		w.add("d-1", "desk", "a", func(_ http.ResponseWriter, r *http.Request) { sleep(r, time.Hour) })
		w.add("d-2", "desk", "b", respondProven("ok"))
		got := w.request(http.MethodGet, "/again/1", callerHeaders, "")
		must.Eq(t, http.StatusOK, got.status)
		must.Less(t, 100*time.Millisecond, got.took)
	})
}

// The store is gone for longer than a removed key may be used. A daemon cannot
// know whether a key still holds, so it says that the request has not run; it
// serves again as soon as the store answers.
func TestKeysAreRefusedOnceTheConfigurationIsOld(t *testing.T) {
	withTestCluster(t, plainRoutes(), func(w *testCluster) {
		w.add("d-1", "desk", "a", respondProven("ok"))
		ask := func() int { return w.request(http.MethodPost, "/once/1", callerHeaders, "x").status }
		must.Eq(t, http.StatusOK, ask())
		must.Eq(t, http.StatusUnauthorized, w.request(http.MethodPost, "/once/1", withHeaders(map[string]string{hKey: "no"}), "x").status)
		w.cancel()
		time.Sleep(3 * time.Second)
		must.Eq(t, http.StatusOK, ask())
		time.Sleep(2 * time.Second)
		must.Eq(t, http.StatusServiceUnavailable, ask())
	})
}

// Callers' headers that are the system's to set never reach a server, and the
// path arrives byte by byte.
func TestRequestArrivesUnchanged(t *testing.T) {
	withTestCluster(t, plainRoutes(), func(w *testCluster) {
		s := w.add("d-1", "desk", "a", respondProven("ok"))
		for _, path := range []string{"/once/a%2Fb?x=%20&&y", "/once//c/../d?"} {
			w.request(http.MethodPost, path, withHeaders(map[string]string{hAccount: "thief", "Connection": "X-Hop", "X-Hop": "1"}), "x")
			r := s.requests()[s.requestCount()-1]
			must.Eq(t, path, r.RequestURI)
			must.Eq(t, "mill", r.Header.Get(hAccount))
			must.Eq(t, "", r.Header.Get("X-Hop"))
			must.Eq(t, "", r.Header.Get(hKey))
		}
	})
}

// A caller announces a body and sends half of it. Once its time is over the
// daemon answers that nothing ran and keeps nothing of it.
func TestSlowSenderIsGivenUp(t *testing.T) {
	withTestCluster(t, plainRoutes(), func(w *testCluster) {
		s := w.add("d-1", "desk", "a", respondProven("ok"))
		listener := faultnet.Pipe()
		server := &http.Server{Handler: w.handler}
		go server.Serve(listener)
		defer server.Close()
		conn, err := listener.Dial(w.t.Context(), "", "")
		must.NoError(t, err)
		defer conn.Close()
		began := time.Now()
		_, err = conn.Write([]byte("POST /once/1 HTTP/1.1\r\nHost: host\r\nKey: key-1\r\nContent-Length: 10\r\n\r\nhalf"))
		must.NoError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		must.NoError(t, err)
		must.Eq(t, http.StatusGatewayTimeout, resp.StatusCode)
		must.Eq(t, 600*time.Millisecond, time.Since(began))
		must.Eq(t, 0, s.requestCount())
		must.Eq(t, 0, w.handler.Running())
	})
}

// An account with a priority of its own ranks by it, others by the route's.
func TestPriorityOfTheAccountGoesFirst(t *testing.T) {
	routes := plainRoutes()
	routes[0].Priority = 1
	withTestCluster(t, routes, func(w *testCluster) {
		s := w.add("d-1", "desk", "a", respondProven("ok"))
		for key, want := range map[string]string{"key-1": "1", "key-2": "3"} {
			w.request(http.MethodPost, "/once/1", withHeaders(map[string]string{hKey: key}), "x")
			must.Eq(t, want, s.requests()[s.requestCount()-1].Header.Get(hPriority))
		}
	})
}

func TestAnswerToHeadKeepsItsLength(t *testing.T) {
	withTestCluster(t, plainRoutes(), func(w *testCluster) {
		w.add("d-1", "desk", "a", func(rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set(hProof, "p")
			rw.Header().Set("Content-Length", "1234")
		})
		got := w.request(http.MethodHead, "/again/1", callerHeaders, "")
		must.NoError(t, got.err)
		must.Eq(t, "1234", got.header.Get("Content-Length"))
	})
}

// The servers left of a service are full and turn every request away after a wait in
// their queues. Callers wait for that three times, at one server after the other, and
// learn nothing sooner. After some the daemon says so itself, at once, that nothing ran
// and when to come back; once the servers have room again it sends as before.
func TestFullServiceIsNotAskedAgain(t *testing.T) {
	withTestCluster(t, plainRoutes(), func(w *testCluster) {
		var room atomic.Bool
		handle := func(rw http.ResponseWriter, r *http.Request) {
			if room.Load() {
				respondProven("ok")(rw, r)
				return
			}
			sleep(r, 100*time.Millisecond)
			rejecting(rw, r)
		}
		servers := []*fakeServer{w.add("d-1", "desk", "a", handle), w.add("d-2", "desk", "b", handle)}
		sent := func() int { return servers[0].requestCount() + servers[1].requestCount() }
		statuses := map[int]int{}
		for range 20 {
			got := w.request(http.MethodPost, "/once/1", callerHeaders, "x")
			statuses[got.status]++
			must.StrContains(t, got.body, "not_run")
			must.NotEq(t, "", got.header.Get("Retry-After"))
		}
		must.Eq(t, map[int]int{http.StatusServiceUnavailable: 20}, statuses)
		must.Less(t, 10, sent())
		room.Store(true)
		time.Sleep(2 * time.Second)
		for range 20 {
			must.Eq(t, http.StatusOK, w.request(http.MethodPost, "/once/1", callerHeaders, "x").status)
		}
	})
}

// A server of two turns away whatever it gets, and the other takes it. No caller
// notices, and none is refused.
func TestServerThatTurnsAwayAloneIsNoCrowd(t *testing.T) {
	withTestCluster(t, plainRoutes(), func(w *testCluster) {
		w.add("d-1", "desk", "a", rejecting)
		w.add("d-2", "desk", "b", respondProven("ok"))
		for range 40 {
			must.Eq(t, http.StatusOK, w.request(http.MethodPost, "/once/1", callerHeaders, "x").status)
		}
	})
}

// The store is away and all servers of a service have started anew: each turns away
// what is meant for the one before it. That says nothing of their load. Once the
// entries are right nobody is refused.
func TestRestartedServersAreNoCrowd(t *testing.T) {
	withTestCluster(t, plainRoutes(), func(w *testCluster) {
		var known atomic.Bool
		handle := func(rw http.ResponseWriter, r *http.Request) {
			if known.Load() {
				respondProven("ok")(rw, r)
				return
			}
			rw.WriteHeader(http.StatusMisdirectedRequest)
		}
		w.add("d-1", "desk", "a", handle)
		w.add("d-2", "desk", "b", handle)
		for range 10 {
			must.Eq(t, http.StatusServiceUnavailable, w.request(http.MethodPost, "/once/1", callerHeaders, "x").status)
		}
		known.Store(true)
		for range 20 {
			must.Eq(t, http.StatusOK, w.request(http.MethodPost, "/once/1", callerHeaders, "x").status)
		}
	})
}
