package forward

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// awaitRunner waits until one of the engines runs a request. It returns that engine, the one with
// the replica and another one.
func awaitRunner(engines ...*fakeServer) (runner, holder, other *fakeServer) {
	time.Sleep(1500 * time.Millisecond)
	to := ""
	for _, e := range engines {
		if asked := e.requests(); len(asked) > 0 {
			runner, to = e, asked[0].Header.Get(hCopyTo)
		}
	}
	for _, e := range engines {
		switch {
		case e == runner:
		case e.server.Address == to:
			holder = e
		default:
			other = e
		}
	}
	return runner, holder, other
}

// Guards against repeating a prefill after a double failure. The engine with the replica is
// replaced by a new one, and two seconds later the engine that runs the request crashes. A second
// replica must have been made in time for the answer to resume from.
func TestLostReplicaIsRemade(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		handle := streamEvents(100, time.Second, 40*time.Millisecond)
		a, b, c := w.add("e-a", "llm", "a", handle), w.add("e-b", "llm", "b", handle), w.add("e-c", "llm", "c", handle)
		engines := make(chan [2]*fakeServer, 1)
		go func() {
			runner, holder, other := awaitRunner(a, b, c)
			engines <- [2]*fakeServer{runner, other}
			w.crash(holder)
			w.remove("server/" + holder.server.ID)
			time.Sleep(2 * time.Second)
			w.crash(runner)
		}()
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.NoError(t, got.err)
		must.Eq(t, events(1, 100), got.body)
		must.Less(t, 6*time.Second, got.took)
		e := <-engines
		runner, other := e[0], e[1]
		must.Eq(t, 1, other.requestCount())
		at := other.requests()[0].Header.Get(hCopyAt)
		must.True(t, strings.HasPrefix(at, runner.server.Address+"/h"))
		targets, _ := runner.copyCalls()
		must.Greater(t, 1, len(targets)) // refreshed
		for _, target := range targets {
			must.Eq(t, other.server.Address, target)
		}
	})
}

// Guards against leaking replicas made on demand, each of which occupies a slot in its engine's
// batch until freed. It must be freed right after a complete answer, and none may be made while the
// first one exists.
func TestRemadeReplicaIsFreed(t *testing.T) {
	for name, lost := range map[string]bool{"first replica lost": true, "first replica kept": false} {
		t.Run(name, func(t *testing.T) {
			withTestCluster(t, streamRoute(), func(w *testCluster) {
				handle := streamEvents(60, time.Second, 40*time.Millisecond)
				a, b, c := w.add("e-a", "llm", "a", handle), w.add("e-b", "llm", "b", handle), w.add("e-c", "llm", "c", handle)
				runners := make(chan *fakeServer, 1)
				go func() {
					runner, holder, _ := awaitRunner(a, b, c)
					runners <- runner
					if lost {
						w.crash(holder)
						w.remove("server/" + holder.server.ID)
					}
				}()
				got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
				must.Eq(t, events(1, 60), got.body)
				time.Sleep(time.Second)
				targets, dropped := (<-runners).copyCalls()
				must.Eq(t, lost, len(targets) > 0)
				must.Eq(t, lost, len(dropped) == 1)
			})
		})
	}
}

// The engine chosen for the second replica has no room for it after all. Another engine must be
// asked a second later, so that the run is not without a replica for longer.
func TestReplicaIsMadeElsewhereAfterRefusal(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		handle := streamEvents(120, time.Second, 40*time.Millisecond)
		engines := []*fakeServer{
			w.add("e-a", "llm", "a", handle), w.add("e-b", "llm", "b", handle),
			w.add("e-c", "llm", "c", handle), w.add("e-d", "llm", "c", handle),
		}
		runners := make(chan *fakeServer, 1)
		go func() {
			runner, holder, _ := awaitRunner(engines...)
			runner.refuseCopies(1)
			runners <- runner
			w.crash(holder)
			w.remove("server/" + holder.server.ID)
		}()
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.Eq(t, events(1, 120), got.body)
		targets, _ := (<-runners).copyCalls()
		must.Greater(t, 1, len(targets))
	})
}
