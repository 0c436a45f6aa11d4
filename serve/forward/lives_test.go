package forward

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/control/routing"
)

// firstLife is the start of engines that say it.
const firstLife = 1_796_266_800_000

// addBorn starts an engine that says when it started, and waits until the handler knows it.
func (w *testCluster) addBorn(id, zone string, handle http.HandlerFunc) *fakeServer {
	w.t.Helper()
	s := w.start(routing.Server{ID: id, Service: "llm", Zone: zone, Address: id + ":80", Slots: 4, StartedAtMS: firstLife}, handle)
	w.register(s)
	time.Sleep(time.Second)
	return s
}

// An engine restarts under its id while it reads a prompt, behind a link that tells
// nobody: the connection stays open and says nothing, and the new life answers every
// probe. The caller waits until its time is over, unless the start that the answer names
// shows that nothing of its request is left there.
func TestEngineRestartsUnderItsIDBehindASilentConnection(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		handle := streamEvents(5, time.Second, 40*time.Millisecond)
		a, b := w.addBorn("e-a", "a", handle), w.addBorn("e-b", "b", handle)
		go func() {
			time.Sleep(500 * time.Millisecond)
			runner, _ := runnerAndHolder(a, b)
			w.reborn(runner, true)
		}()
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.NoError(t, got.err)
		must.Eq(t, events(1, 5), got.body)
		must.Less(t, 4*time.Second, got.took)
	})
}

// The engine that keeps the copy of a run restarts under its id and registers. Two
// seconds later the engine that runs the request dies. The copy was gone, though its id
// was still there; another was made in time, and the answer goes on from it.
func TestCopyAtAnEngineThatRestartedUnderItsID(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		var fromCopy atomic.Int32
		handle := func(rw http.ResponseWriter, r *http.Request) {
			if r.Header.Get(hCopyAt) != "" {
				fromCopy.Add(1)
			}
			streamEvents(100, time.Second, 40*time.Millisecond)(rw, r)
		}
		a, b, c := w.addBorn("e-a", "a", handle), w.addBorn("e-b", "b", handle), w.addBorn("e-c", "c", handle)
		runners := make(chan *fakeServer, 1)
		go func() {
			runner, holder, _ := awaitRunner(a, b, c)
			runners <- runner
			w.register(w.reborn(holder, false))
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

// A copy made on demand lies at an engine that has restarted under its id since. Sent
// there, the request would be turned away at best, and at worst go on from whatever the
// new life keeps under the same name. It is sent to read its prompt instead.
func TestCopyMadeOnDemandIsLostWithItsLife(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		s := w.addBorn("e-a", "a", streamEvents(5, time.Second, 40*time.Millisecond))
		view := w.feed.View()
		c, ok := w.handler.pool.serverAt(view, "llm", s.server.Address)
		must.True(t, ok)
		r := &relay{h: w.handler, service: "llm"}
		_, ok = r.findCopyHolder(view, replica{at: c, onDemand: true})
		must.True(t, ok)
		w.register(w.reborn(s, false))
		time.Sleep(time.Second)
		_, ok = r.findCopyHolder(w.feed.View(), replica{at: c, onDemand: true})
		must.False(t, ok)
		at, ok := r.findCopyHolder(w.feed.View(), replica{at: c})
		must.True(t, ok) // one that grows is sent to the new life too
		must.Eq(t, int64(firstLife+1), at.server.StartedAtMS)
	})
}

// An engine has failed and is a last resort. It restarts under its id: what was known of
// its health was of a process that is gone, and callers need not wait for a while more.
func TestSuspicionEndsWithTheLife(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		s := w.addBorn("e-a", "a", streamEvents(5, time.Second, 40*time.Millisecond))
		pool := w.handler.pool
		pool.prefillCandidates(time.Now(), w.feed.View(), "llm", "", 1, nil)
		pool.recordFailure(time.Now(), s.server)
		must.True(t, pool.isSuspect(time.Now(), s.server.Incarnation()))
		again := w.reborn(s, false)
		w.register(again)
		time.Sleep(time.Second)
		list := pool.prefillCandidates(time.Now(), w.feed.View(), "llm", "", 1, nil)
		must.SliceLen(t, 1, list)
		must.False(t, pool.isSuspect(time.Now(), list[0].server.Incarnation()))
		must.Eq(t, again.server.Incarnation(), list[0].server.Incarnation())
	})
}

// The store shows the old life of an engine, which itself says that it has a new one.
// What the engine says counts, and a report of the life before that was on its way for
// long undoes nothing: it shows neither load nor runs of the present life.
func TestReportsOfTwoLives(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		s := w.addBorn("e-a", "a", streamEvents(5, time.Second, 40*time.Millisecond))
		s.setRuns("run-1 full")
		again := w.reborn(s, false)
		again.setRuns("run-2")
		_, err := w.handler.probe(w.t.Context(), s.server, time.Second)
		must.ErrorIs(t, err, errRestarted)
		list := w.handler.pool.prefillCandidates(time.Now(), w.feed.View(), "llm", "", 1, nil)
		must.Eq(t, again.server.Incarnation(), list[0].server.Incarnation())
		report, err := w.handler.probe(w.t.Context(), list[0].server, time.Second)
		must.NoError(t, err)
		must.MapContainsKey(t, report.Events, "run-2")

		late := list[0].server
		late.StartedAtMS++ // a third life, known already when the second still answers
		must.True(t, w.handler.pool.renewed(w.feed.View(), list[0].server.Incarnation(), late.Incarnation()))
		report, err = w.handler.probe(w.t.Context(), late, time.Second)
		must.NoError(t, err)
		must.MapEmpty(t, report.Events)
		must.Zero(t, report.CapacityTokens)
		must.False(t, w.handler.pool.renewed(w.feed.View(), late.Incarnation(), again.server.Incarnation()))
	})
}

// A daemon died and its caller goes on here. The engine that had read the prompt has
// restarted under its id since; its old list of prompts, which lags, still names it. The
// request must not be sent there for that: it takes the first engine that is free.
func TestPromptsOfAnEarlierLifeAreNotFound(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		s := w.addBorn("e-a", "a", streamEvents(12, time.Second, 40*time.Millisecond))
		s.setCache("p7")
		life, parts, err := w.handler.cachedParts(w.t.Context(), s.server)
		must.NoError(t, err)
		must.Eq(t, []string{"p7"}, parts)
		must.Eq(t, s.server.Incarnation(), life)
		known := s.server
		known.StartedAtMS += 5
		_, parts, err = w.handler.cachedParts(w.t.Context(), known)
		must.NoError(t, err)
		must.SliceEmpty(t, parts)
		again := w.reborn(s, false)
		again.setCache("p8")
		life, parts, err = w.handler.cachedParts(w.t.Context(), s.server)
		must.NoError(t, err)
		must.Eq(t, []string{"p8"}, parts)
		must.Eq(t, again.server.Incarnation(), life)
	})
}

// An engine that took the place of a crashed one leaves before this daemon has seen its entry, whose end comes in the same batch.
func TestSuccessorThatLeavesAtOnceGetsNothing(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		old := w.add("e-a", "llm", "a", streamEvents(5, time.Second, 40*time.Millisecond))
		next := w.replaceServer(old, "e-new", "llm")
		must.Eq(t, http.StatusOK, w.request(http.MethodPost, "/s/1", callerHeaders, "prompt").status)
		w.put("config", "{}") // the next batch begins a pause after this one
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
