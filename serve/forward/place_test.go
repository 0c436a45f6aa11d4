package forward

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/peer/link"
	"mallowwind.dev/telemetry/event"
)

// Other daemons send their prompts to engines that this one believes idle. A
// prompt that goes there waits a second for each of them, and every answer that
// runs there stalls. The engine says that it reads; another is chosen.
func TestPromptGoesToAnEngineThatReadsNone(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		handle := streamEvents(5, time.Second, 40*time.Millisecond)
		var idle *fakeServer
		for i := range 9 {
			s := w.add(fmt.Sprintf("e-%d", i), "llm", string(rune('a'+i%3)), handle)
			s.setRuns("-other")
			if i == 7 {
				idle = s
				s.setRuns("other")
			}
		}
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.Eq(t, events(1, 5), got.body)
		must.Eq(t, 1, idle.requestCount())
	})
}

// All engines read a prompt, one of them only one. The prompt goes there.
func TestPromptGoesWhereFewestWait(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		handle := streamEvents(5, time.Second, 40*time.Millisecond)
		a := w.add("e-a", "llm", "a", handle)
		b := w.add("e-b", "llm", "b", handle)
		a.setRuns("-one -two")
		b.setRuns("-one run-1 run-2")
		for range 3 {
			got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
			must.Eq(t, events(1, 5), got.body)
		}
		must.Eq(t, 0, a.requestCount())
		must.Eq(t, 3, b.requestCount())
	})
}

// A burst of prompts fills the engines' memory, and an engine that runs out throws
// out the newest run, whose caller waits while its prompt is read again. So one
// without room gets neither a prompt nor a copy while another has room.
func TestFullEngineGetsNothing(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		handle := streamEvents(5, time.Second, 40*time.Millisecond)
		a, b, c := w.add("e-a", "llm", "a", handle), w.add("e-b", "llm", "b", handle), w.add("e-c", "llm", "c", handle)
		a.setRuns("full")
		b.setRuns("-one")
		c.setRuns("full run-1")
		got := w.request(http.MethodPost, "/s/1", withHeaders(map[string]string{hTokens: "80"}), "prompt")
		must.Eq(t, events(1, 5), got.body)
		must.Eq(t, 1, b.requestCount())
		must.Eq(t, "", b.requests()[0].Header.Get(hCopyTo))
	})
}

// The engines answer no question for their load but run requests: the answers
// are lost on the way, or asking fails here. The request is sent all the same.
func TestPromptIsSentWhereNoEngineAnswers(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		a := w.add("e-a", "llm", "a", streamEvents(5, 300*time.Millisecond, 40*time.Millisecond))
		a.failStatus()
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.Eq(t, http.StatusOK, got.status)
		must.Eq(t, events(1, 5), got.body)
	})
}

// An engine goes dark after it has taken a request and before its first event.
// Nothing is reset and nothing arrives. Probes find it, and another engine reads
// the prompt.
func TestEngineGoesDarkWhileItReads(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		handle := streamEvents(5, time.Second, 40*time.Millisecond)
		a := w.add("e-a", "llm", "a", handle)
		b := w.add("e-b", "llm", "b", handle)
		go func() {
			time.Sleep(300 * time.Millisecond)
			if a.requestCount() > 0 {
				a.listener.Stall()
			} else {
				b.listener.Stall()
			}
		}()
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.Eq(t, events(1, 5), got.body)
		must.Eq(t, 1, a.requestCount())
		must.Eq(t, 1, b.requestCount())
		must.Less(t, 4*time.Second, got.took)
	})
}

// The store is away and an engine restarts. Its entry names the old id, so the new
// engine turns requests away. Each is sent once more, and the fleet's budget of
// repeats runs out. The first such answer names the new engine; it is sent to from
// then on, unless a server of another service was given the address.
func TestRestartedEngineIsRemembered(t *testing.T) {
	for service, turnedAway := range map[string]int{"llm": 1, "desk": 0} {
		t.Run(service, func(t *testing.T) {
			withTestCluster(t, streamRoute(), func(w *testCluster) {
				handle := streamEvents(5, 300*time.Millisecond, 40*time.Millisecond)
				a := w.add("e-a", "llm", "a", handle)
				now := w.replaceServer(a, "e-new", service)
				for range 4 {
					got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
					must.Eq(t, service == "llm", got.body == events(1, 5))
				}
				old, next := 0, 0
				for _, r := range now.requests() {
					switch r.Header.Get(hServer) {
					case "e-a":
						old++
					case "e-new":
						next++
					}
				}
				must.Eq(t, 4*turnedAway, next)
				if service == "llm" {
					must.Eq(t, turnedAway, old)
				}
			})
		})
	}
}

// peerDaemons are the handlers of other daemons, by address.
type peerDaemons map[string]*Handler

// RoundTrip implements http.RoundTripper.
func (o peerDaemons) RoundTrip(r *http.Request) (*http.Response, error) {
	h := o[r.URL.Host]
	if h == nil {
		return nil, errors.New("no such daemon")
	}
	w := httptest.NewRecorder()
	_, telling := h.WorkService()
	telling.ServeHTTP(w, r)
	return w.Result(), nil
}

// severablePeers are other daemons until they are cut off.
type severablePeers struct {
	peerDaemons
	isCut *atomic.Bool
}

// RoundTrip implements http.RoundTripper.
func (s severablePeers) RoundTrip(r *http.Request) (*http.Response, error) {
	if s.isCut.Load() {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	return s.peerDaemons.RoundTrip(r)
}

// addDaemons makes more daemons, enough that each engine has a keeper, and returns them. All are
// out of each other's reach once cut is set.
func (w *testCluster) addDaemons(count int) (others []*Handler, cut *atomic.Bool) {
	cut = &atomic.Bool{}
	reach := severablePeers{peerDaemons{"vm-1:1": w.handler}, cut}
	w.put("mallowwind/vm/vm-1", `{"id":"vm-1","zone":"a","address":"vm-1:2","peer":"vm-1:1"}`)
	for n := range count {
		id := fmt.Sprintf("vm-%d", n+2)
		o := w.handler.opts
		o.Self, o.Registerer, o.Dialer = routing.VM{ID: id, Zone: "b"}, nil, link.NewDialerWith(&http.Client{Transport: reach})
		others = append(others, New(o))
		reach.peerDaemons[id+":1"] = others[n]
		w.put("mallowwind/vm/"+id, fmt.Sprintf(`{"id":%q,"zone":"b","address":"%s:2","peer":"%s:1"}`, id, id, id))
	}
	w.handler.neighbours.dialer = link.NewDialerWith(&http.Client{Transport: reach})
	time.Sleep(time.Second)
	return others, cut
}

// Thirteen daemons are too many for each to ask all others before a prompt. Two of them have
// prompts read and answers made at all engines but one, of which the engines' reports, a
// tenth of a second old, show nothing yet. The keepers of the engines know, and the prompt
// goes to the one that is free; once the keepers are cut off, reports decide.
func TestPromptGoesWhereKeepersKnowOfNoWork(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		handle := streamEvents(3, time.Second, 40*time.Millisecond)
		for n := range 6 {
			w.add(fmt.Sprintf("e-%d", n), "llm", "a", handle)
		}
		others, cut := w.addDaemons(12)
		view := w.feed.View()
		for n := range 5 {
			c, ok := others[n%2].pool.findServer(view, "llm", routing.Incarnation{ID: fmt.Sprintf("e-%d", n)})
			must.True(t, ok)
			others[n%2].pool.addLoad(c, n%2, 1-n%2, 0)
		}
		time.Sleep(workTimeout)
		for n := range 5 {
			got := w.request(http.MethodPost, "/s/1", withHeaders(map[string]string{hPart: fmt.Sprintf("p%d", n)}), "prompt")
			must.Eq(t, events(1, 3), got.body)
		}
		must.Eq(t, 5, w.servers["e-5"].requestCount())

		cut.Store(true)
		got := w.request(http.MethodPost, "/s/1", withHeaders(map[string]string{hPart: "p9"}), "prompt")
		must.Eq(t, events(1, 3), got.body)
		must.LessEq(t, time.Second+3*40*time.Millisecond+2*workTimeout, got.took)
	})
}

// One engine resets every request at once while it answers questions well, so that it is
// always idle. Each daemon finds that out by a prompt of its own, unless the others tell:
// then their prompts go elsewhere for as long as it is suspect.
func TestEngineThatFailsOthersIsLeftAlone(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		handle := streamEvents(3, time.Second, 40*time.Millisecond)
		for n := range 6 {
			w.add(fmt.Sprintf("e-%d", n), "llm", "a", handle)
		}
		others, _ := w.addDaemons(12)
		must.NoError(t, w.request(http.MethodPost, "/s/1", withHeaders(map[string]string{hPart: "p"}), "prompt").err)
		preferred := ""
		for id, s := range w.servers {
			if s.requestCount() > 0 {
				preferred = id
			}
		}
		failing := w.servers[preferred].server
		for _, other := range others[:2] {
			_, ok := other.pool.findServer(w.feed.View(), "llm", failing.Incarnation())
			must.True(t, ok)
			other.pool.recordFailure(time.Now(), failing)
		}
		time.Sleep(workTimeout)
		for n := range 20 {
			part := withHeaders(map[string]string{hPart: fmt.Sprintf("p%d", n)})
			must.Eq(t, events(1, 3), w.request(http.MethodPost, "/s/1", part, "prompt").body)
			for _, other := range others[:2] {
				other.pool.recordFailure(time.Now(), failing)
			}
		}
		must.Eq(t, 1, w.servers[preferred].requestCount())
	})
}

// addDaemon makes another daemon with work of its own, and has the world's daemon ask it.
func (w *testCluster) addDaemon(id string) *Handler {
	other := New(Options{
		Feed: w.feed, Codec: testCodec{}, Log: event.Discard(), Self: routing.VM{ID: id, Zone: "b"},
		RetryBudget: testRetryRule, Dial: w.dial,
	})
	w.handler.neighbours.dialer = link.NewDialerWith(&http.Client{Transport: peerDaemons{id + ":1": other}})
	w.put("mallowwind/vm/vm-1", `{"id":"vm-1","zone":"a","address":"vm-1:2","peer":"vm-1:1"}`)
	w.put("mallowwind/vm/"+id, `{"id":"`+id+`","zone":"b","address":"`+id+`:2","peer":"`+id+`:1"}`)
	time.Sleep(time.Second)
	return other
}

// Another daemon has a prompt read at one engine and an answer made at a second, which
// the engines' reports, a tenth of a second old, do not show yet. A prompt sent to either
// would wait for the one or hold up the other; told of both, the daemon takes the third.
func TestPromptGoesWhereNoDaemonHasWork(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		handle := streamEvents(3, time.Second, 40*time.Millisecond)
		for _, id := range []string{"e-1", "e-2", "e-3"} {
			w.add(id, "llm", "a", handle)
		}
		other := w.addDaemon("vm-2")
		view := w.feed.View()
		engine := func(id string) choice {
			c, ok := other.pool.findServer(view, "llm", routing.Incarnation{ID: id})
			must.True(t, ok)
			return c
		}
		other.pool.addLoad(engine("e-1"), 1, 0, 0)
		other.pool.addLoad(engine("e-2"), 0, 1, 0)
		for range 5 {
			must.Eq(t, events(1, 3), w.request(http.MethodPost, "/s/1", callerHeaders, "prompt").body)
		}
		must.Eq(t, 5, w.servers["e-3"].requestCount())
		other.pool.addLoad(engine("e-3"), 1, 0, 0)
		must.Eq(t, events(1, 3), w.request(http.MethodPost, "/s/1", callerHeaders, "prompt").body)
		must.Eq(t, 1, w.servers["e-2"].requestCount()) // an answer is held up rather than two prompts
	})
}

// Two prompts come to two daemons in the same moment. The second daemon asks the first
// before anything of its prompt has reached an engine, and must hear of it all the same:
// both would be read at one engine, the second after the first.
func TestPromptCountsAtOnce(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		handle := streamEvents(3, time.Second, 40*time.Millisecond)
		w.add("e-1", "llm", "a", handle)
		w.add("e-2", "llm", "a", handle)
		view := w.feed.View()
		first, _, ok := w.handler.pool.reservePrefill(time.Now(), view, "llm", nil, false, nil)
		must.True(t, ok)
		other := newPool(routing.VM{ID: "vm-2"}, testRetryRule, w.handler.versions)
		second, _, ok := other.reservePrefill(time.Now(), view, "llm", w.handler.pool.localWork(view, "llm"), false, nil)
		must.True(t, ok)
		must.NotEq(t, first.server.ID, second.server.ID)
		w.handler.pool.addLoad(first, -1, 0, 0) // no request follows
	})
}

// A neighbour is cut off. Prompts must not wait for it one after the other: it is left
// out for a second, and prompts are placed by the reports of engines meanwhile.
func TestSilentNeighbourHoldsNothingUp(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		w.add("e-1", "llm", "a", streamEvents(3, 100*time.Millisecond, 10*time.Millisecond))
		w.addDaemon("vm-2")
		asked := 0
		w.handler.neighbours.dialer = link.NewDialerWith(&http.Client{Transport: unresponsivePeers{&asked}})
		for range 4 {
			got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
			must.Eq(t, events(1, 3), got.body)
			must.LessEq(t, 100*time.Millisecond+3*10*time.Millisecond+workTimeout, got.took)
		}
		must.Eq(t, 1, asked)
		time.Sleep(peerBackoff)
		w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.Eq(t, 2, asked)
	})
}

// unresponsivePeers answer no question and count them.
type unresponsivePeers struct{ asked *int }

// RoundTrip implements http.RoundTripper.
func (s unresponsivePeers) RoundTrip(r *http.Request) (*http.Response, error) {
	*s.asked++
	<-r.Context().Done()
	return nil, r.Context().Err()
}
