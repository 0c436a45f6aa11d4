package forward

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// awaitRunner waits until one of the engines runs a request, and returns it with the
// engine that keeps the copy and the others.
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

// The engine that keeps the copy of a run is replaced by a new one, and two
// seconds later the engine that runs the request dies. The copy was gone by then,
// the prompt would be read anew, and the caller waits for it in mid-answer. A
// second copy was made in time, and the answer goes on there.
func TestLostCopyIsMadeAgain(t *testing.T) {
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
		must.Greater(t, 1, len(targets)) // brought up to date
		for _, target := range targets {
			must.Eq(t, other.server.Address, target)
		}
	})
}

// A copy made on demand holds a place in the batch of its engine until it is
// freed. After a whole answer it is freed at once; without a lost copy none is made.
func TestCopyMadeAgainIsFreed(t *testing.T) {
	for name, lost := range map[string]bool{"first copy lost": true, "first copy kept": false} {
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

// The engine chosen for the second copy has no room for it after all. Another is
// asked a second later, so that the run is without a copy for no longer.
func TestCopyThatFailsIsMadeElsewhere(t *testing.T) {
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
