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
func (w *world) addVersion(id, service, zone, version string, handle http.HandlerFunc) *fakeServer {
	w.t.Helper()
	s := w.start(routing.Server{ID: id, Service: service, Zone: zone, Address: id + ":80", Slots: 4, Version: version}, handle)
	w.register(s)
	return s
}

// rollOut writes an order to v2 and how far the roll-out is, as other daemons would.
func (w *world) rollOut(service string, stage rollout.Stage, share float64) {
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
	inWorld(t, streamRoute(), func(w *world) {
		handle := streaming(150, time.Second, 40*time.Millisecond)
		a, b := w.addVersion("e-a", "llm", "a", "v1", handle), w.addVersion("e-b", "llm", "b", "v1", handle)
		time.Sleep(time.Second)
		var c, d *fakeServer
		w.during(func() {
			time.Sleep(2 * time.Second)
			c, d = w.addVersion("e-c", "llm", "a", "v2", handle), w.addVersion("e-d", "llm", "b", "v2", handle)
			w.rollOut("llm", rollout.Full, 1)
			w.rollOut("llm", rollout.Migrating, 1)
			w.rollOut("llm", rollout.Completed, 1)
			w.crash(a)
			w.crash(b)
		})
		got := w.ask(http.MethodPost, "/s/1", caller, "prompt")
		must.NoError(t, got.err)
		must.Eq(t, events(1, 150), got.body)
		must.Less(t, 9*time.Second, got.took) // 7 s alone
		must.Eq(t, 1, a.requests()+b.requests())
		must.Eq(t, 1, c.requests()+d.requests())
		for _, r := range append(c.asked(), d.asked()...) {
			must.NotEq(t, "", r.Header.Get(hCopyAt))
		}
	})
}

// A request that is drawn for a new version goes there once; what follows a failure goes to the
// version before, and so does the copy of its run.
func TestRequestGoesToANewVersionOnce(t *testing.T) {
	inWorld(t, append(streamRoute(), plainRoutes()...), func(w *world) {
		failing := func(rw http.ResponseWriter, r *http.Request) {
			rw.Header().Set(hProof, "p")
			rw.WriteHeader(http.StatusInternalServerError)
		}
		old, bad := w.addVersion("d-old", "desk", "a", "v1", proven("yes")), w.addVersion("d-new", "desk", "a", "v2", failing)
		oldEngine, engine := w.addVersion("e-old", "llm", "b", "v1", streaming(5, time.Second, 40*time.Millisecond)), w.addVersion("e-new", "llm", "a", "v2", streaming(50, time.Second, 40*time.Millisecond))
		time.Sleep(time.Second)
		must.Eq(t, http.StatusOK, w.ask(http.MethodPost, "/again/1", caller, "x").status)
		must.Zero(t, bad.requests()) // no order allows its version
		w.rollOut("desk", rollout.Canary, 1)
		w.rollOut("llm", rollout.Canary, 1)
		got := w.ask(http.MethodPost, "/again/1", caller, "x")
		must.Eq(t, http.StatusOK, got.status)
		must.Eq(t, 1, bad.requests())
		must.Eq(t, 2, old.requests())

		answer := w.ask(http.MethodPost, "/s/1", caller, "prompt")
		must.Eq(t, events(1, 50), answer.body)
		must.Eq(t, 1, engine.requests())
		must.Eq(t, oldEngine.server.Address, engine.asked()[0].Header.Get(hCopyTo))

		w.rollOut("desk", rollout.RolledBack, 0)
		for n := range 20 {
			must.Eq(t, http.StatusOK, w.ask(http.MethodPost, fmt.Sprint("/again/", n), caller, "x").status)
		}
		must.Eq(t, 1, bad.requests())
	})
}

// Answers at a version that is rolled back go on at the other one before its servers drain.
func TestAnswerLeavesAVersionThatIsRolledBack(t *testing.T) {
	inWorld(t, streamRoute(), func(w *world) {
		handle := streaming(150, time.Second, 40*time.Millisecond)
		old, bad := w.addVersion("e-old", "llm", "b", "v1", handle), w.addVersion("e-new", "llm", "a", "v2", handle)
		time.Sleep(time.Second)
		w.rollOut("llm", rollout.Canary, 1)
		w.during(func() {
			time.Sleep(2 * time.Second)
			w.rollOut("llm", rollout.RolledBack, 0)
			w.crash(bad)
		})
		got := w.ask(http.MethodPost, "/s/1", caller, "prompt")
		must.NoError(t, got.err)
		must.Eq(t, events(1, 150), got.body)
		must.Eq(t, 1, bad.requests())
		must.Eq(t, 1, old.requests())
	})
}

// A server of a new version fails: whoever chooses next must know of it.
func TestSuspicionOfAServerOfANewVersion(t *testing.T) {
	inWorld(t, streamRoute(), func(w *world) {
		handle := streaming(5, time.Second, 40*time.Millisecond)
		w.addVersion("e-old", "llm", "b", "v1", handle)
		tried := w.addVersion("e-new", "llm", "a", "v2", handle)
		time.Sleep(time.Second)
		w.rollOut("llm", rollout.Canary, 1)
		pool, view := w.handler.pool, w.feed.View()
		must.SliceLen(t, 1, pool.readers(time.Now(), view, trialOf("llm"), "", 1, nil))
		pool.failed(time.Now(), tried.server)
		pool.in(view, trialOf("llm"), func(l *layout) (choice, bool) {
			must.True(t, l.loads[0].suspect(time.Now()))
			return choice{}, false
		})
	})
}
