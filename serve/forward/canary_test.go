package forward

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/rollout"
)

// addVersion starts a server with a version and registers it.
func (w *testCluster) addVersion(id, service, zone, version string, handle http.HandlerFunc) *fakeServer {
	w.t.Helper()
	s := w.start(routing.Server{ID: id, Service: service, Zone: zone, Address: id + ":80", Slots: 4, Version: version}, handle)
	w.register(s)
	return s
}

// setRollout writes a roll-out order to v2 and the roll-out's status, as other daemons would.
func (w *testCluster) setRollout(service string, stage rollout.Stage, share float64) {
	w.t.Helper()
	key := feed.OwnRolloutOrderKey(service)
	if _, err := w.store.Get(w.t.Context(), key); err != nil {
		w.put(key, `{"target":"v2","period":"15s"}`)
	}
	order, err := w.store.Get(w.t.Context(), key)
	must.NoError(w.t, err)
	raw, err := json.Marshal(map[string]any{
		"stage": stage.String(), "target": "v2", "base": "v1", "order": order.Version, "share": share,
	})
	must.NoError(w.t, err)
	w.put(feed.OwnRollouts{}.RolloutStatusKey(service), string(raw))
	time.Sleep(time.Second)
}

// Guards against cut answers at the end of a roll-out, when the servers of the old version stop
// without draining while answers of many seconds are in progress there.
func TestAnswerMigratesToTargetVersion(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		handle := streamEvents(150, time.Second, 40*time.Millisecond)
		a, b := w.addVersion("e-a", "llm", "a", "v1", handle), w.addVersion("e-b", "llm", "b", "v1", handle)
		time.Sleep(time.Second)
		var c, d *fakeServer
		w.background(func() {
			time.Sleep(2 * time.Second)
			c, d = w.addVersion("e-c", "llm", "a", "v2", handle), w.addVersion("e-d", "llm", "b", "v2", handle)
			w.setRollout("llm", rollout.Full, 1)
			w.setRollout("llm", rollout.Migrating, 1)
			w.setRollout("llm", rollout.Completed, 1)
			w.crash(a)
			w.crash(b)
		})
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.NoError(t, got.err)
		must.Eq(t, events(1, 150), got.body)
		must.Less(t, 9*time.Second, got.took) // 7 s without a migration
		must.Eq(t, 1, a.requestCount()+b.requestCount())
		must.Eq(t, 1, c.requestCount()+d.requestCount())
		for _, r := range append(c.requests(), d.requests()...) {
			must.NotEq(t, "", r.Header.Get(hCopyAt))
		}
	})
}

// A request drawn as a canary goes to the new version once. After a failure it goes to the old
// version, and so does the replica of its run.
func TestRequestTriesCanaryOnce(t *testing.T) {
	withTestCluster(t, append(streamRoute(), plainRoutes()...), func(w *testCluster) {
		failing := func(rw http.ResponseWriter, r *http.Request) {
			rw.Header().Set(hProof, "p")
			rw.WriteHeader(http.StatusInternalServerError)
		}
		old, bad := w.addVersion("d-old", "desk", "a", "v1", respondProven("yes")), w.addVersion("d-new", "desk", "a", "v2", failing)
		oldEngine, engine := w.addVersion("e-old", "llm", "b", "v1", streamEvents(5, time.Second, 40*time.Millisecond)), w.addVersion("e-new", "llm", "a", "v2", streamEvents(50, time.Second, 40*time.Millisecond))
		time.Sleep(time.Second)
		must.Eq(t, http.StatusOK, w.request(http.MethodPost, "/again/1", callerHeaders, "x").status)
		must.Zero(t, bad.requestCount()) // no order allows its version
		w.setRollout("desk", rollout.Canary, 1)
		w.setRollout("llm", rollout.Canary, 1)
		got := w.request(http.MethodPost, "/again/1", callerHeaders, "x")
		must.Eq(t, http.StatusOK, got.status)
		must.Eq(t, 1, bad.requestCount())
		must.Eq(t, 2, old.requestCount())

		answer := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.Eq(t, events(1, 50), answer.body)
		must.Eq(t, 1, engine.requestCount())
		must.Eq(t, oldEngine.server.Address, engine.requests()[0].Header.Get(hCopyTo))

		w.setRollout("desk", rollout.RolledBack, 0)
		for n := range 20 {
			must.Eq(t, http.StatusOK, w.request(http.MethodPost, fmt.Sprint("/again/", n), callerHeaders, "x").status)
		}
		must.Eq(t, 1, bad.requestCount())
	})
}

// Guards against cut answers in a roll-back: answers at the new version must migrate before its
// servers drain.
func TestAnswerMigratesOffRolledBackVersion(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		handle := streamEvents(150, time.Second, 40*time.Millisecond)
		old, bad := w.addVersion("e-old", "llm", "b", "v1", handle), w.addVersion("e-new", "llm", "a", "v2", handle)
		time.Sleep(time.Second)
		w.setRollout("llm", rollout.Canary, 1)
		w.background(func() {
			time.Sleep(2 * time.Second)
			w.setRollout("llm", rollout.RolledBack, 0)
			w.crash(bad)
		})
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.NoError(t, got.err)
		must.Eq(t, events(1, 150), got.body)
		must.Eq(t, 1, bad.requestCount())
		must.Eq(t, 1, old.requestCount())
	})
}

// Guards against lost suspicion: the failure of a canary server must count for the next choice too.
func TestCanaryServerCanBeSuspect(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		handle := streamEvents(5, time.Second, 40*time.Millisecond)
		w.addVersion("e-old", "llm", "b", "v1", handle)
		tried := w.addVersion("e-new", "llm", "a", "v2", handle)
		time.Sleep(time.Second)
		w.setRollout("llm", rollout.Canary, 1)
		pool, view := w.handler.pool, w.feed.View()
		must.SliceLen(t, 1, pool.prefillCandidates(time.Now(), view, canaryKey("llm"), "", 1, nil))
		pool.recordFailure(time.Now(), tried.server)
		pool.choose(view, canaryKey("llm"), func(l *serverSet) (choice, bool) {
			must.True(t, l.loads[0].isSuspect(time.Now()))
			return choice{}, false
		})
	})
}
