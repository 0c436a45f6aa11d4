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

// breaking closes the connection in the middle of a response.
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
		first  http.HandlerFunc // in the daemon's zone, tried first
		second http.HandlerFunc
		status int
		body   string // "" is not compared
		runs   [2]int // at the first and second server
	}{
		{"successful response", "/once/1", respondProven("ok"), respondProven("other"), 200, "ok", [2]int{1, 0}},
		{"server error forwarded without a retry", "/once/1", failing(500), respondProven("ok"), 500, "", [2]int{1, 0}},
		{"server error retried on an idempotent route", "/again/1", failing(500), respondProven("ok"), 200, "ok", [2]int{1, 1}},
		{"rejected, so sent to another server", "/once/1", rejecting, respondProven("ok"), 200, "ok", [2]int{1, 1}},
		{"rejected by all: nothing ran", "/once/1", rejecting, rejecting, 503, "", [2]int{1, 1}},
		{"connection broken: may have run", "/once/1", breaking, respondProven("ok"), 502, "", [2]int{1, 0}},
		{"connection broken, retried on an idempotent route", "/again/1", breaking, respondProven("ok"), 200, "ok", [2]int{1, 1}},
		{"status 503 without an explicit rejection", "/once/1", failing(503), respondProven("ok"), 502, "", [2]int{1, 0}},
		{"both fail: the last response", "/again/1", failing(500), failing(500), 500, "", [2]int{1, 1}},
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

// A server hangs on a request that must not be retried. The caller gets an error at the route's
// timeout, not later, and no second server runs the request.
func TestHangingServerTimesOutAtRouteTimeout(t *testing.T) {
	withTestCluster(t, plainRoutes(), func(w *testCluster) {
		w.add("d-1", "desk", "a", func(_ http.ResponseWriter, r *http.Request) { sleep(r, time.Hour) })
		far := w.add("d-2", "desk", "b", respondProven("ok"))
		got := w.request(http.MethodPost, "/once/1", callerHeaders, "x")
		must.Eq(t, http.StatusGatewayTimeout, got.status)
		must.Eq(t, 600*time.Millisecond, got.took)
		must.Eq(t, 0, far.requestCount())
	})
}

// A server hangs on an idempotent request. The hedged request reaches the second server early
// enough for a response within the route's objective of 100 ms.
func TestHangingServerIsHedged(t *testing.T) {
	withTestCluster(t, plainRoutes(), func(w *testCluster) {
		w.add("d-1", "desk", "a", func(_ http.ResponseWriter, r *http.Request) { sleep(r, time.Hour) })
		w.add("d-2", "desk", "b", respondProven("ok"))
		got := w.request(http.MethodGet, "/again/1", callerHeaders, "")
		must.Eq(t, http.StatusOK, got.status)
		must.Less(t, 100*time.Millisecond, got.took)
	})
}

// The store is unreachable for longer than a revoked key may be used. The daemon cannot know
// whether a key is still valid, so it refuses the request.
func TestAccountKeysAreRefusedWithStaleConfiguration(t *testing.T) {
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

// Headers that only the daemon may set are not taken from the caller, and the path is forwarded
// byte by byte.
func TestRequestIsForwardedUnchanged(t *testing.T) {
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

// A caller announces a body and sends only half of it. At the deadline the daemon responds with an
// error, no server is called and nothing of the request remains in progress.
func TestSlowRequestBodyTimesOut(t *testing.T) {
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

// A request has the priority of its account if there is one, otherwise that of its route.
func TestAccountPriorityOverridesRoutePriority(t *testing.T) {
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

func TestHeadResponseKeepsContentLength(t *testing.T) {
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

// All servers of a service are full and reject every request after it has waited in their queues.
// Without throttling, each caller would wait for up to three rejections in turn. After some
// rejections the daemon refuses requests itself, at once, with verdict not_run and a Retry-After.
// Once the servers have capacity again it forwards requests as before.
func TestOverloadedServiceIsThrottled(t *testing.T) {
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

// One of two servers rejects every request and the other accepts it. No request is refused.
func TestSingleRejectingServerDoesNotThrottle(t *testing.T) {
	withTestCluster(t, plainRoutes(), func(w *testCluster) {
		w.add("d-1", "desk", "a", rejecting)
		w.add("d-2", "desk", "b", respondProven("ok"))
		for range 40 {
			must.Eq(t, http.StatusOK, w.request(http.MethodPost, "/once/1", callerHeaders, "x").status)
		}
	})
}

// While the store is unreachable, all servers of a service restart, and each rejects requests that
// name its predecessor as misdirected. Such rejections are no sign of overload: once the entries
// are correct, no request is refused.
func TestMisdirectedRequestsDoNotThrottle(t *testing.T) {
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
