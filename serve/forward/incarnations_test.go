package forward

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/control/routing"
)

// firstBorn is the start time of the first incarnation of engines that report one.
const firstBorn = 1_796_266_800_000

// addWithBorn starts an engine that reports its start time and waits until the handler knows it.
func (w *testCluster) addWithBorn(id, zone string, handle http.HandlerFunc) *fakeServer {
	w.t.Helper()
	s := w.start(routing.Server{ID: id, Service: "llm", Zone: zone, Address: id + ":80", Slots: 4, StartedAtMS: firstBorn}, handle)
	w.register(s)
	time.Sleep(time.Second)
	return s
}

// Guards against waiting for a run that was lost. An engine restarts under its id during a prefill,
// behind a connection that stays open and silent, while the new incarnation answers every probe.
// Only the start time in these answers shows that the request is gone.
func TestRestartBehindSilentConnection(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		handle := streamEvents(5, time.Second, 40*time.Millisecond)
		a, b := w.addWithBorn("e-a", "a", handle), w.addWithBorn("e-b", "b", handle)
		go func() {
			time.Sleep(500 * time.Millisecond)
			runner, _ := runnerAndHolder(a, b)
			w.restartInPlace(runner, true)
		}()
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.NoError(t, got.err)
		must.Eq(t, events(1, 5), got.body)
		must.Less(t, 4*time.Second, got.took)
	})
}

// Guards against trusting a replica that a restart has wiped. The engine with the replica restarts
// under its id and registers; two seconds later the engine that runs the request crashes. Another
// replica must have been made in time for the answer to resume from.
func TestReplicaLostByRestartIsRemade(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		var fromCopy atomic.Int32
		handle := func(rw http.ResponseWriter, r *http.Request) {
			if r.Header.Get(hCopyAt) != "" {
				fromCopy.Add(1)
			}
			streamEvents(100, time.Second, 40*time.Millisecond)(rw, r)
		}
		a, b, c := w.addWithBorn("e-a", "a", handle), w.addWithBorn("e-b", "b", handle), w.addWithBorn("e-c", "c", handle)
		runners := make(chan *fakeServer, 1)
		go func() {
			runner, holder, _ := awaitRunner(a, b, c)
			runners <- runner
			w.register(w.restartInPlace(holder, false))
			time.Sleep(2 * time.Second)
			w.crash(runner)
		}()
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.NoError(t, got.err)
		must.Eq(t, events(1, 100), got.body)
		must.Less(t, 6*time.Second, got.took)
		must.Eq(t, 1, fromCopy.Load())
		targets, _ := (<-runners).copyCalls()
		must.Positive(t, len(targets))
	})
}

// Guards against resuming from a replica made on demand at an engine that has since restarted under
// its id. The engine would reject the request at best, and at worst resume from whatever the new
// incarnation keeps under the same name. The request must repeat its prefill instead.
func TestOnDemandReplicaIsLostByRestart(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		s := w.addWithBorn("e-a", "a", streamEvents(5, time.Second, 40*time.Millisecond))
		view := w.feed.View()
		c, ok := w.handler.pool.serverAt(view, "llm", s.server.Address)
		must.True(t, ok)
		r := &relay{h: w.handler, service: "llm"}
		_, ok = r.findCopyHolder(view, replica{at: c, onDemand: true})
		must.True(t, ok)
		w.register(w.restartInPlace(s, false))
		time.Sleep(time.Second)
		_, ok = r.findCopyHolder(w.feed.View(), replica{at: c, onDemand: true})
		must.False(t, ok)
		at, ok := r.findCopyHolder(w.feed.View(), replica{at: c})
		must.True(t, ok) // a replica that grows with its run is sent to the new incarnation too
		must.Eq(t, int64(firstBorn+1), at.server.StartedAtMS)
	})
}

// Guards against suspecting a new process for the failures of the old one: an engine fails, becomes
// suspect and restarts under its id.
func TestRestartClearsSuspicion(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		s := w.addWithBorn("e-a", "a", streamEvents(5, time.Second, 40*time.Millisecond))
		pool := w.handler.pool
		pool.prefillCandidates(time.Now(), w.feed.View(), "llm", "", 1, nil)
		pool.recordFailure(time.Now(), s.server)
		must.True(t, pool.isSuspect(time.Now(), s.server.Incarnation()))
		restarted := w.restartInPlace(s, false)
		w.register(restarted)
		time.Sleep(time.Second)
		list := pool.prefillCandidates(time.Now(), w.feed.View(), "llm", "", 1, nil)
		must.SliceLen(t, 1, list)
		must.False(t, pool.isSuspect(time.Now(), list[0].server.Incarnation()))
		must.Eq(t, restarted.server.Incarnation(), list[0].server.Incarnation())
	})
}

// The store lists an old incarnation of an engine that itself reports a newer one. The engine's own
// report takes precedence, and a delayed report of the older incarnation must not undo that or add
// its load and runs to the current incarnation.
func TestReportsOfDifferentIncarnations(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		s := w.addWithBorn("e-a", "a", streamEvents(5, time.Second, 40*time.Millisecond))
		s.setRuns("run-1 full")
		restarted := w.restartInPlace(s, false)
		restarted.setRuns("run-2")
		_, err := w.handler.probe(w.t.Context(), s.server, time.Second)
		must.ErrorIs(t, err, errRestarted)
		list := w.handler.pool.prefillCandidates(time.Now(), w.feed.View(), "llm", "", 1, nil)
		must.Eq(t, restarted.server.Incarnation(), list[0].server.Incarnation())
		report, err := w.handler.probe(w.t.Context(), list[0].server, time.Second)
		must.NoError(t, err)
		must.MapContainsKey(t, report.Events, "run-2")

		third := list[0].server
		third.StartedAtMS++ // a third incarnation, known before the second one's answer arrives
		must.True(t, w.handler.pool.recordRestart(w.feed.View(), list[0].server.Incarnation(), third.Incarnation()))
		report, err = w.handler.probe(w.t.Context(), third, time.Second)
		must.NoError(t, err)
		must.MapEmpty(t, report.Events)
		must.Zero(t, report.CapacityTokens)
		must.False(t, w.handler.pool.recordRestart(w.feed.View(), third.Incarnation(), restarted.server.Incarnation()))
	})
}

// Guards against sending a resumed request to an engine whose delayed list of cached prompts is
// from an incarnation before its restart. The caller's daemon died, and the engine that had
// prefilled the prompt restarted under its id.
func TestPromptsOfOlderIncarnationAreNotLocated(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		s := w.addWithBorn("e-a", "a", streamEvents(12, time.Second, 40*time.Millisecond))
		s.setCache("p7")
		incarnation, parts, err := w.handler.cachedParts(w.t.Context(), s.server)
		must.NoError(t, err)
		must.Eq(t, []string{"p7"}, parts)
		must.Eq(t, s.server.Incarnation(), incarnation)
		known := s.server
		known.StartedAtMS += 5
		_, parts, err = w.handler.cachedParts(w.t.Context(), known)
		must.NoError(t, err)
		must.SliceEmpty(t, parts)
		restarted := w.restartInPlace(s, false)
		restarted.setCache("p8")
		incarnation, parts, err = w.handler.cachedParts(w.t.Context(), s.server)
		must.NoError(t, err)
		must.Eq(t, []string{"p8"}, parts)
		must.Eq(t, restarted.server.Incarnation(), incarnation)
	})
}

// Guards against using a successor that is already gone. An engine replaces a crashed one and
// leaves before this daemon has seen its entry; the entry's end arrives in the same batch.
func TestDepartedSuccessorGetsNoRequests(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		old := w.add("e-a", "llm", "a", streamEvents(5, time.Second, 40*time.Millisecond))
		next := w.replaceServer(old, "e-new", "llm")
		must.Eq(t, http.StatusOK, w.request(http.MethodPost, "/s/1", callerHeaders, "prompt").status)
		w.put("config", "{}") // the next batch starts after a pause
		time.Sleep(10 * time.Millisecond)
		w.register(next)
		w.remove("server/e-new")
		time.Sleep(time.Second)
		must.True(t, w.feed.View().HasDeparted("e-new"))
		asked := next.requestCount()
		must.NotEq(t, http.StatusOK, w.request(http.MethodPost, "/s/1", callerHeaders, "prompt").status)
		must.Eq(t, asked, next.requestCount())
	})
}
