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

// addVersion starts a server of a version and waits until the handler knows it.
func (w *testCluster) addVersion(id, service, zone, version string, handle http.HandlerFunc) *fakeServer {
	w.t.Helper()
	s := w.start(routing.Server{ID: id, Service: service, Zone: zone, Address: id + ":80", Slots: 4, Version: version}, handle)
	w.register(s)
	return s
}

// rollOut writes an order to v2 and how far the roll-out is, as other daemons would.
func (w *testCluster) rollOut(service string, stage rollout.Stage, share float64) {
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

// The servers of the version before stop without draining at the end of a roll-out, while answers
// of many seconds are under way there.
func TestAnswerGoesOnAtTheVersionThatStays(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		handle := streamEvents(150, time.Second, 40*time.Millisecond)
		a, b := w.addVersion("e-a", "llm", "a", "v1", handle), w.addVersion("e-b", "llm", "b", "v1", handle)
		time.Sleep(time.Second)
		var c, d *fakeServer
		w.background(func() {
			time.Sleep(2 * time.Second)
			c, d = w.addVersion("e-c", "llm", "a", "v2", handle), w.addVersion("e-d", "llm", "b", "v2", handle)
			w.rollOut("llm", rollout.Full, 1)
			w.rollOut("llm", rollout.Migrating, 1)
			w.rollOut("llm", rollout.Completed, 1)
			w.crash(a)
			w.crash(b)
		})
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.NoError(t, got.err)
		must.Eq(t, events(1, 150), got.body)
		must.Less(t, 9*time.Second, got.took) // 7 s alone
		must.Eq(t, 1, a.requestCount()+b.requestCount())
		must.Eq(t, 1, c.requestCount()+d.requestCount())
		for _, r := range append(c.requests(), d.requests()...) {
			must.NotEq(t, "", r.Header.Get(hCopyAt))
		}
	})
}

// A request that is drawn for a new version goes there once; what follows a failure goes to the
// version before, and so does the copy of its run.
func TestRequestGoesToANewVersionOnce(t *testing.T) {
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
		w.rollOut("desk", rollout.Canary, 1)
		w.rollOut("llm", rollout.Canary, 1)
		got := w.request(http.MethodPost, "/again/1", callerHeaders, "x")
		must.Eq(t, http.StatusOK, got.status)
		must.Eq(t, 1, bad.requestCount())
		must.Eq(t, 2, old.requestCount())

		answer := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.Eq(t, events(1, 50), answer.body)
		must.Eq(t, 1, engine.requestCount())
		must.Eq(t, oldEngine.server.Address, engine.requests()[0].Header.Get(hCopyTo))

		w.rollOut("desk", rollout.RolledBack, 0)
		for n := range 20 {
			must.Eq(t, http.StatusOK, w.request(http.MethodPost, fmt.Sprint("/again/", n), callerHeaders, "x").status)
		}
		must.Eq(t, 1, bad.requestCount())
	})
}

// Answers at a version that is rolled back go on at the other one before its servers drain.
func TestAnswerLeavesAVersionThatIsRolledBack(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		handle := streamEvents(150, time.Second, 40*time.Millisecond)
		old, bad := w.addVersion("e-old", "llm", "b", "v1", handle), w.addVersion("e-new", "llm", "a", "v2", handle)
		time.Sleep(time.Second)
		w.rollOut("llm", rollout.Canary, 1)
		w.background(func() {
			time.Sleep(2 * time.Second)
			w.rollOut("llm", rollout.RolledBack, 0)
			w.crash(bad)
		})
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.NoError(t, got.err)
		must.Eq(t, events(1, 150), got.body)
		must.Eq(t, 1, bad.requestCount())
		must.Eq(t, 1, old.requestCount())
	})
}

// A server of a new version fails: whoever chooses next must know of it.
func TestSuspicionOfAServerOfANewVersion(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		handle := streamEvents(5, time.Second, 40*time.Millisecond)
		w.addVersion("e-old", "llm", "b", "v1", handle)
		tried := w.addVersion("e-new", "llm", "a", "v2", handle)
		time.Sleep(time.Second)
		w.rollOut("llm", rollout.Canary, 1)
		pool, view := w.handler.pool, w.feed.View()
		must.SliceLen(t, 1, pool.prefillCandidates(time.Now(), view, trialOf("llm"), "", 1, nil))
		pool.recordFailure(time.Now(), tried.server)
		pool.choose(view, trialOf("llm"), func(l *serverSet) (choice, bool) {
			must.True(t, l.loads[0].isSuspect(time.Now()))
			return choice{}, false
		})
	})
}
