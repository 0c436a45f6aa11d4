package forward

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// An account key is taken away while a daemon has lost the store, and its caller goes
// on with it. The daemon cannot know; so it stops trusting keys before the bound after
// which a removed key must not work, says that nothing ran, and serves again once the
// store has answered. Routes without a key are served all along.
func TestKeysAreNotTrustedBeyondTheirAge(t *testing.T) {
	public := *plainRoutes()[0]
	public.Name, public.Prefix, public.Public = "open", "/open/", true
	withTestCluster(t, append(plainRoutes(), &public), func(w *testCluster) {
		desk := w.add("d-1", "desk", "a", respondProven("ok"))
		ask := func(path string) response { return w.request(http.MethodPost, path, callerHeaders, "x") }
		w.daemonStore.SetDown(true)
		lost := time.Now()
		lastTrusted := time.Duration(0)
		for time.Since(lost) < 8*time.Second {
			if got := ask("/once/1"); got.status == http.StatusOK {
				lastTrusted = time.Since(lost)
			} else {
				must.Eq(t, http.StatusServiceUnavailable, got.status)
				must.StrContains(t, got.body, "not_run")
				seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
				must.NoError(t, err)
				must.Positive(t, seconds)
			}
			must.Eq(t, http.StatusOK, ask("/open/1").status)
			time.Sleep(50 * time.Millisecond)
		}
		must.Between(t, 3*time.Second, lastTrusted, 5*time.Second-keyAgeMargin)
		before := desk.requestCount()
		must.Eq(t, http.StatusServiceUnavailable, ask("/once/1").status)
		must.Eq(t, before, desk.requestCount())
		w.daemonStore.SetDown(false)
		time.Sleep(3 * time.Second)
		must.Eq(t, http.StatusOK, ask("/once/1").status)
	})
}

// A daemon is asked with a key that no configuration holds, by a request without one,
// and with one that holds.
func TestKeysOfAccounts(t *testing.T) {
	withTestCluster(t, plainRoutes(), func(w *testCluster) {
		desk := w.add("d-1", "desk", "a", respondProven("ok"))
		for key, status := range map[string]int{"key-1": http.StatusOK, "key-2": http.StatusOK, "key-3": http.StatusUnauthorized, "": http.StatusUnauthorized} {
			must.Eq(t, status, w.request(http.MethodPost, "/once/1", withHeaders(map[string]string{hKey: key}), "x").status)
		}
		must.Eq(t, 2, desk.requestCount())
		for _, r := range desk.requests() {
			must.Eq(t, "", r.Header.Get(hKey))
		}
	})
}

// All daemons were killed and start again. A caller comes back to one of them before it
// has read the store, and has no further try. The request waits for the configuration,
// which ninety daemons read side by side, a quarter of its caller's time at most.
func TestRequestWaitsForTheFirstConfiguration(t *testing.T) {
	cases := []struct {
		name   string
		reads  time.Duration // what reading the store takes
		wait   string
		status int
		most   time.Duration
	}{
		{"read in time", 120 * time.Millisecond, "25000", http.StatusOK, 150 * time.Millisecond},
		{"read late, before a thousand servers", 600 * time.Millisecond, "25000", http.StatusOK, 650 * time.Millisecond},
		{"not read in time", time.Second, "25000", http.StatusServiceUnavailable, maxFirstConfigWait},
		{"its caller has little time", 120 * time.Millisecond, "200", http.StatusServiceUnavailable, 50 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withTestCluster(t, streamRoute(), func(w *testCluster) {
				w.add("e-a", "llm", "a", streamEvents(1, 0, 0))
				w.restartDaemon(c.reads)
				got := w.request(http.MethodPost, "/s/1", withHeaders(map[string]string{hWait: c.wait}), "x")
				must.Eq(t, c.status, got.status)
				must.LessEq(t, c.most, got.took)
			})
		})
	}
}
