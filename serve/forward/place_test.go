package forward

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/peer/link"
	"mallowwind.dev/telemetry/event"
)

// Other daemons send prompts to engines that this daemon considers idle. Another prompt would wait
// a second for each of them and stall the runs there. The engines' reports show the prefills, so
// the idle engine is chosen.
func TestPromptGoesToIdleEngine(t *testing.T) {
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

// All engines are busy with prefills. The prompt goes to the one with the fewest.
func TestPromptGoesToEngineWithFewestQueued(t *testing.T) {
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

// A burst of prompts fills the engines' KV caches, and an engine that runs out of memory evicts
// the newest run, whose prompt has to be prefilled again. An engine without room therefore gets
// neither a prompt nor a copy while another has room.
func TestFullEngineGetsNeitherPromptNorCopy(t *testing.T) {
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

// The engines run requests but no probe gets a response, for instance because the daemon's link
// loses it. The request is sent anyway.
func TestPromptIsSentWhenNoEngineRespondsToProbes(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		a := w.add("e-a", "llm", "a", streamEvents(5, 300*time.Millisecond, 40*time.Millisecond))
		a.failStatus()
		got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
		must.Eq(t, http.StatusOK, got.status)
		must.Eq(t, events(1, 5), got.body)
	})
}

// An engine becomes unreachable after it has received a request and before its first event. No
// connection is reset and nothing arrives. Probes detect it, and another engine prefills the
// prompt.
func TestEngineBecomesUnreachableDuringPrefill(t *testing.T) {
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

// An engine restarts while the store is unreachable. Its entry names the old ID, so the new engine
// rejects requests as misdirected, and retrying each of them would exhaust the fleet's retry
// budget. The first rejection names the new engine, which is used from then on unless a server of
// another service has the address.
func TestRestartedEngineIsUsedUnderItsNewID(t *testing.T) {
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

// peerDaemons serves the requests to other daemons by their handlers, by address.
type peerDaemons map[string]*Handler

// RoundTrip implements http.RoundTripper.
func (o peerDaemons) RoundTrip(r *http.Request) (*http.Response, error) {
	h := o[r.URL.Host]
	if h == nil {
		return nil, errors.New("no such daemon")
	}
	w := httptest.NewRecorder()
	_, service := h.WorkService()
	if prefix, poison := h.PoisonService(); strings.HasPrefix(r.URL.Path, prefix) {
		service = poison
	}
	service.ServeHTTP(w, r)
	return w.Result(), nil
}

// severablePeers is peerDaemons with a network partition that can be switched on.
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

// addDaemons creates count more daemons, so many that each engine has a tracking daemon, and
// returns them. No daemon can reach another one once cut is set.
func (w *testCluster) addDaemons(count int) (others []*Handler, cut *atomic.Bool) {
	cut = &atomic.Bool{}
	reach := severablePeers{peerDaemons{"vm-1:1": w.handler}, cut}
	w.put("mallowwind/vm/vm-1", `{"id":"vm-1","zone":"a","address":"vm-1:2","peer":"vm-1:1"}`)
	for n := range count {
		id := fmt.Sprintf("vm-%d", n+2)
		o := w.handler.opts
		o.Self, o.Registerer, o.Dialer = routing.VM{ID: id, Zone: "b"}, nil, link.NewDialerWithClient(&http.Client{Transport: reach})
		others = append(others, New(o))
		reach.peerDaemons[id+":1"] = others[n]
		w.put("mallowwind/vm/"+id, fmt.Sprintf(`{"id":%q,"zone":"b","address":"%s:2","peer":"%s:1"}`, id, id, id))
	}
	w.handler.peers.dialer = link.NewDialerWithClient(&http.Client{Transport: reach})
	time.Sleep(time.Second)
	return others, cut
}

// Thirteen daemons are too many to query all of them before each prompt. Two daemons have prefills
// and runs in progress at all engines but one, which the engines' reports, a tenth of a second old,
// do not show yet. The tracking daemons of the engines know of them, so the prompt goes to the free
// engine. Once these are unreachable, the engines' reports decide.
func TestPromptPlacementAsksTrackingDaemonsInLargeFleet(t *testing.T) {
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

// One engine resets every request immediately but responds to probes, so it always looks idle.
// Without the suspicions of other daemons, each daemon would lose a prompt there to find out. With
// them, prompts go to other engines while the engine is suspect.
func TestEngineSuspectedByOtherDaemonsIsAvoided(t *testing.T) {
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

// addDaemon creates another daemon with its own state, which the daemon under test queries.
func (w *testCluster) addDaemon(id string) *Handler {
	other := New(Options{
		Feed: w.feed, Codec: testCodec{}, Log: event.Discard(), Self: routing.VM{ID: id, Zone: "b"},
		RetryBudget: testRetryRule, Dial: w.dial,
	})
	w.handler.peers.dialer = link.NewDialerWithClient(&http.Client{Transport: peerDaemons{id + ":1": other}})
	w.put("mallowwind/vm/vm-1", `{"id":"vm-1","zone":"a","address":"vm-1:2","peer":"vm-1:1"}`)
	w.put("mallowwind/vm/"+id, `{"id":"`+id+`","zone":"b","address":"`+id+`:2","peer":"`+id+`:1"}`)
	time.Sleep(time.Second)
	return other
}

// Another daemon has a prefill in progress at one engine and a run at a second, which the engines'
// reports, a tenth of a second old, do not show yet. A prompt sent to the first would wait, and one
// sent to the second would stall the run. The daemon learns of both from the other daemon and
// chooses the third engine.
func TestPromptPlacementCountsWorkOfOtherDaemons(t *testing.T) {
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
		must.Eq(t, 1, w.servers["e-2"].requestCount()) // stalling a run is better than queueing behind a prefill
	})
}

// Two daemons place a prompt at the same time. The second daemon queries the first before the
// first prompt has reached an engine. Unless that prompt is already counted, both are prefilled at
// one engine, one after the other.
func TestPlacedPromptIsCountedBeforeItIsSent(t *testing.T) {
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

// Another daemon is unreachable. Prompts must not wait for its timeout one after the other: it is
// not queried for a second, and prompts are placed by the reports of engines meanwhile.
func TestUnresponsiveDaemonDoesNotDelayPlacement(t *testing.T) {
	withTestCluster(t, streamRoute(), func(w *testCluster) {
		w.add("e-1", "llm", "a", streamEvents(3, 100*time.Millisecond, 10*time.Millisecond))
		w.addDaemon("vm-2")
		asked := 0
		w.handler.peers.dialer = link.NewDialerWithClient(&http.Client{Transport: unresponsivePeers{&asked}})
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

// unresponsivePeers counts requests to other daemons and never responds.
type unresponsivePeers struct{ asked *int }

// RoundTrip implements http.RoundTripper.
func (s unresponsivePeers) RoundTrip(r *http.Request) (*http.Response, error) {
	*s.asked++
	<-r.Context().Done()
	return nil, r.Context().Err()
}
