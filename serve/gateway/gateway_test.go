package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/retrybudget"
	"mallowwind.dev/external/standin/faultnet"
	"mallowwind.dev/external/standin/storesim"
	"mallowwind.dev/external/store"
	"mallowwind.dev/serve/forward"
	"mallowwind.dev/telemetry/event"
	"mallowwind.dev/telemetry/metric"
)

// config returns a configuration with one route to the backend server.
func config(version int, idle string) string {
	return configWithLimits(version, fmt.Sprintf(`"idle_timeout":%q`, idle))
}

// configWithLimits returns a configuration with the given limits, as members of a JSON object.
func configWithLimits(version int, limits string) string {
	return fmt.Sprintf(`{"version":%d,"limits":{%s},"services":[{"name":"desk"}],
		"routes":[{"name":"r","host":"host","prefix":"/","kind":"at_most_once","timeout":"20s",
		"targets":[{"service":"desk","weight":1}]}]}`, version, limits)
}

// testGateway is a gateway in virtual time with one backend server, which responds after the
// duration in the request's path.
type testGateway struct {
	t                         *testing.T
	store                     *store.Memory
	callers, ready, directory *faultnet.Listener
	backend                   *faultnet.Listener
	terminate                 context.CancelFunc
	stopped                   chan struct{} // closed when Run has returned
}

func withGateway(t *testing.T, test func(*testGateway)) {
	withStartedGateway(t, func(s *testGateway) {
		s.put(feed.OwnConfigKey, config(1, "15s"))
		time.Sleep(time.Second)
		test(s)
	})
}

// withStartedGateway runs test at the start of a gateway that knows no configuration.
func withStartedGateway(t *testing.T, test func(*testGateway)) {
	synctest.Test(t, func(t *testing.T) {
		s := &testGateway{
			t: t, store: store.NewMemory(), stopped: make(chan struct{}),
			callers: faultnet.Pipe(), ready: faultnet.Pipe(), directory: faultnet.Pipe(), backend: faultnet.Pipe(),
		}
		backend := &http.Server{Handler: http.HandlerFunc(slowHandler)}
		go backend.Serve(s.backend)
		s.put(feed.OwnServerPrefix+"d", `{"service":"desk","address":"d:1","slots":4}`)
		s.put("mallowwind/vm/other", `{"id":"other","address":"other:1"}`)
		start := time.Now()
		g := New(Options{
			Self:  routing.VM{ID: "self", Address: "self:1"},
			Store: storesim.BoundedWatch{Store: s.store, MaxWait: time.Second}, Schema: feed.OwnSchema{}, Codec: forward.DefaultCodec{},
			Clock: func() time.Duration { return time.Since(start) + time.Hour }, Log: event.Discard(),
			DynamicOptions: DynamicOptions{
				MaxKeyAge: 5 * time.Second, GracePeriod: 8 * time.Second, RetryBudget: retrybudget.Policy{Ratio: 1, Slack: 10, Window: time.Second},
			},
			AddressTTL: time.Second,
			Registry:   metric.NewCatalogue(), Callers: s.callers, Readiness: s.ready, Directory: s.directory,
			ReadyHandler: readyHandler, DirectoryHandler: directoryHandler, DialServer: s.backend.Dial,
		})
		soft, term := context.WithCancel(t.Context())
		hard, kill := context.WithCancel(t.Context())
		s.terminate = term
		go func() {
			defer close(s.stopped)
			_ = g.Run(soft, hard)
		}()
		test(s)
		term()
		kill()
		<-s.stopped
		backend.Close()
		time.Sleep(time.Second) // lets connections of refused callers end
		synctest.Wait()
	})
}

func slowHandler(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	wait, err := time.ParseDuration(strings.Trim(r.URL.Path, "/"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	select {
	case <-time.After(wait):
		fmt.Fprint(w, "done")
	case <-r.Context().Done():
	}
}

func readyHandler(ready func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

func directoryHandler(addresses func(string) []string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(addresses(""))
	})
}

func (s *testGateway) put(key, value string) {
	s.t.Helper()
	var version int64
	if kv, err := s.store.Get(s.t.Context(), key); err == nil {
		version = kv.Version
	}
	_, err := s.store.CompareAndSwap(s.t.Context(), key, version, []byte(value), 0)
	must.NoError(s.t, err)
}

// get makes one request on a new connection.
func (s *testGateway) get(l *faultnet.Listener, path string) (int, string) {
	s.t.Helper()
	conn, err := l.Dial(s.t.Context(), "", "")
	if err != nil {
		return 0, ""
	}
	defer conn.Close()
	status, body, err := exchange(conn, bufio.NewReader(conn), path)
	if err != nil {
		return 0, ""
	}
	return status, body
}

func exchange(conn net.Conn, r *bufio.Reader, path string) (int, string, error) {
	req, err := http.NewRequest(http.MethodGet, "http://host"+path, nil)
	if err != nil {
		return 0, "", err
	}
	if err := req.Write(conn); err != nil {
		return 0, "", err
	}
	resp, err := http.ReadResponse(r, req)
	if err != nil {
		return 0, "", err
	}
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, strings.TrimSpace(string(body)), err
}

// The platform stops a daemon. Its readiness check and directory must reflect that at once, the
// request in progress must be answered, callers that still keep the address must be served, and
// the process must exit before it is killed.
func TestShutdownCompletesAcceptedRequests(t *testing.T) {
	withGateway(t, func(s *testGateway) {
		status, _ := s.get(s.ready, "/")
		must.Eq(t, http.StatusOK, status)
		_, list := s.get(s.directory, "/")
		must.StrContains(t, list, "self:1")
		long := make(chan string, 1)
		go func() {
			_, body := s.get(s.callers, "/4s")
			long <- body
		}()
		time.Sleep(time.Second)
		began := time.Now()
		s.terminate()
		time.Sleep(10 * time.Millisecond)
		status, _ = s.get(s.ready, "/")
		must.Eq(t, http.StatusServiceUnavailable, status)
		_, list = s.get(s.directory, "/")
		must.Eq(t, `["other:1"]`, list)
		time.Sleep(2 * time.Second)
		_, body := s.get(s.callers, "/10ms")
		must.Eq(t, "done", body)
		must.Eq(t, "done", <-long)
		<-s.stopped
		must.Between(t, 3*time.Second, time.Since(began), 4*time.Second)
	})
}

// A request takes longer than the grace period. The process must still exit before it is killed, so
// that its other work ends in order.
func TestShutdownEndsWithinGracePeriod(t *testing.T) {
	withGateway(t, func(s *testGateway) {
		go s.get(s.callers, "/19s")
		time.Sleep(time.Second)
		began := time.Now()
		s.terminate()
		<-s.stopped
		must.Less(t, 8*time.Second, time.Since(began))
	})
}

// A caller that kept the address for too long sends a request just before the process exits, with a
// deadline after the exit. The request must be refused at once, so that the caller can use another
// VM; if it were accepted, it would be interrupted.
func TestLateRequestIsRefusedDuringShutdown(t *testing.T) {
	withGateway(t, func(s *testGateway) {
		go s.get(s.callers, "/19s") // keeps the process running until the end of the grace period
		time.Sleep(time.Second)
		s.terminate()
		time.Sleep(7300 * time.Millisecond)
		began := time.Now()
		status, _ := s.get(s.callers, "/10ms")
		must.Eq(t, http.StatusServiceUnavailable, status)
		must.Eq(t, 0, time.Since(began))
	})
}

// Callers reuse a connection that was idle for less than the idle timeout. A change of the timeout
// in the configuration must apply to connections opened after it.
func TestIdleTimeoutFollowsConfiguration(t *testing.T) {
	for _, c := range []struct {
		idle time.Duration
		kept bool
	}{{10 * time.Second, true}, {40 * time.Second, false}} {
		t.Run(c.idle.String(), func(t *testing.T) {
			withGateway(t, func(s *testGateway) {
				s.put(feed.OwnConfigKey, config(2, "20s"))
				time.Sleep(2 * time.Second)
				conn, err := s.callers.Dial(s.t.Context(), "", "")
				must.NoError(t, err)
				defer conn.Close()
				r := bufio.NewReader(conn)
				_, body, err := exchange(conn, r, "/1ms")
				must.NoError(t, err)
				must.Eq(t, "done", body)
				time.Sleep(c.idle)
				_, _, err = exchange(conn, r, "/1ms")
				must.Eq(t, c.kept, err == nil)
			})
		})
	}
}
