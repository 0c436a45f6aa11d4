package forward

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/promptqueue"
	"mallowwind.dev/peer/peerpb"
)

// waitingRoutes returns an urgent and a less urgent stream route of one service.
func waitingRoutes() []*routing.Route {
	urgent, less := *streamRoute()[0], *streamRoute()[0]
	urgent.Name, urgent.Prefix = "urgent", "/u/"
	less.Name, less.Prefix, less.Priority, less.Objective = "less", "/c/", 2, 8*time.Second
	return []*routing.Route{&urgent, &less}
}

func sized(id string) map[string]string {
	return withHeaders(map[string]string{hID: id, hTokens: "80", hPart: id})
}

// async sends a request concurrently with the test.
func (w *testCluster) async(path string, header map[string]string) <-chan response {
	got := make(chan response, 1)
	w.background(func() { got <- w.request(http.MethodPost, path, header, "prompt") })
	return got
}

// mustRefuse checks that a response says that the request did not run.
func mustRefuse(t *testing.T, got response, status int) {
	t.Helper()
	must.NoError(t, got.err)
	must.Eq(t, status, got.status)
	must.StrContains(t, got.body, "not_run")
}

// A burst fills all engines for a second and a half. Without the wait, a prompt that arrives then is
// refused, although an engine has room long before its latest start.
func TestPromptWaitsForRoom(t *testing.T) {
	withTestCluster(t, waitingRoutes(), func(w *testCluster) {
		a := w.add("e-a", "llm", "a", streamEvents(5, time.Second, 40*time.Millisecond))
		a.setRuns("full run-1")
		pending := w.async("/c/1", sized("r1"))
		time.Sleep(1500 * time.Millisecond)
		must.Eq(t, 0, a.requestCount())
		must.Eq(t, 1, w.handler.waiting.len())
		a.setRuns("run-1")
		got := <-pending
		must.Eq(t, events(1, 5), got.body)
		must.Less(t, 3500*time.Millisecond, got.took)
		must.Eq(t, 0, w.handler.waiting.len())
	})
}

// Engines stay full. Without a bound, a prompt waits for an answer that is late in any case. It is
// refused at its latest start: the objective without the second that its prefill takes.
func TestWaitEndsAtLatestStart(t *testing.T) {
	withTestCluster(t, waitingRoutes(), func(w *testCluster) {
		a := w.add("e-a", "llm", "a", streamEvents(5, time.Second, 40*time.Millisecond))
		must.Eq(t, http.StatusOK, w.request(http.MethodPost, "/u/1", sized("r0"), "prompt").status) // the prefill takes a second
		a.setRuns("full run-1")
		got := w.request(http.MethodPost, "/u/1", sized("r1"), "prompt")
		mustRefuse(t, got, http.StatusServiceUnavailable)
		must.Between(t, 3*time.Second, got.took, 3500*time.Millisecond)
		seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		must.NoError(t, err)
		must.Between(t, 2, seconds, 30)
		must.Eq(t, 1, a.requestCount())
	})
}

// Guards against a prompt larger than the memory of the engines that waits in vain until its latest
// start, and against others that wait behind such a prompt: it arrives while others wait, so that no
// engine was probed for it.
func TestPromptThatFitsNowhere(t *testing.T) {
	withTestCluster(t, waitingRoutes(), func(w *testCluster) {
		a, first := w.waitingPrompt("/u/1")
		large := sized("large")
		large[hTokens] = "200"
		behind := w.async("/u/1", large)
		time.Sleep(500 * time.Millisecond)
		a.setRuns("used=0/100")
		must.Eq(t, events(1, 5), (<-first).body)
		got := w.request(http.MethodPost, "/c/1", sized("r2"), "prompt")
		must.Eq(t, events(1, 5), got.body)
		must.Less(t, 3*time.Second, got.took)
		mustRefuse(t, <-behind, http.StatusServiceUnavailable)
		got = w.request(http.MethodPost, "/u/1", large, "prompt")
		mustRefuse(t, got, http.StatusServiceUnavailable)
		must.Less(t, 100*time.Millisecond, got.took)
	})
}

// Guards against an urgent prompt that does not look for room, although there is some, until a less
// urgent one leaves that may use the minimum share and finds none.
func TestUrgentPromptLooksAfterLessUrgentOne(t *testing.T) {
	withTestCluster(t, waitingRoutes(), func(w *testCluster) {
		a := w.add("e-a", "llm", "a", streamEvents(5, time.Second, 40*time.Millisecond))
		fill(a)
		var less []<-chan response
		for n := range 6 { // one after the other is about to miss its latest start
			large := sized(fmt.Sprint("large-", n))
			large[hTokens] = "90"
			less = append(less, w.async("/c/1", large))
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(5800 * time.Millisecond) // until 400 ms before the latest start of the first
		urgent := w.async("/u/1", sized("r1"))
		time.Sleep(10 * time.Millisecond)
		w.handler.waiting.mu.Lock()
		for range 8 {
			w.handler.waiting.services["llm"].StartedAtOnce(0)
		}
		w.handler.waiting.mu.Unlock()
		began := time.Now()
		a.setRuns("used=15/100") // room for 80 tokens
		for ; a.requestCount() == 0 && time.Since(began) < 3*time.Second; time.Sleep(time.Millisecond) {
		}
		must.Less(t, 800*time.Millisecond, time.Since(began))
		a.mustStartFirst(t, "r1")
		must.Eq(t, events(1, 5), (<-urgent).body)
		for _, c := range less {
			<-c
		}
	})
}

// Guards against a prompt that waits although an engine is idle: the engine ranked first has so many
// prompts pending that the prompt would be late there. The idle one is ranked last since it is suspect.
func TestLookContinuesBehindEngineWithPendingPrompts(t *testing.T) {
	withTestCluster(t, waitingRoutes(), func(w *testCluster) {
		a := w.add("e-a", "llm", "a", streamEvents(5, time.Second, 40*time.Millisecond))
		must.Eq(t, http.StatusOK, w.request(http.MethodPost, "/u/1", sized("r0"), "prompt").status) // the prefill takes a second
		b := w.add("e-b", "llm", "a", streamEvents(5, time.Second, 40*time.Millisecond))
		w.handler.pool.markSuspect(time.Now(), b.server)
		r := w.relay("/u/1")
		others := workloads{a.server.Incarnation(): {prefilling: 20}}
		before := a.probeCount()
		c, ok := r.lookByFleetWork(w.t.Context(), w.feed.View(), r.newWaiter(time.Now()), others, false)
		must.True(t, ok)
		must.Eq(t, "e-b", c.server.ID)
		must.Eq(t, before, a.probeCount())
		w.handler.pool.addLoad(c.choice, -1, 0, 0)
	})
}

// Guards against probes of an engine whose slots are in use by runs of this daemon, and against an
// engine that is still skipped although one of them has ended since its report showed no room.
func TestLookCountsOwnRuns(t *testing.T) {
	withTestCluster(t, waitingRoutes(), func(w *testCluster) {
		a := w.add("e-a", "llm", "a", streamEvents(5, time.Second, 40*time.Millisecond))
		fill(a)
		own, ok := w.handler.pool.findServer(w.feed.View(), "llm", a.server.Incarnation())
		must.True(t, ok)
		w.handler.pool.addLoad(own, 0, 4, 0)
		r := w.relay("/c/1")
		waiting := r.newWaiter(time.Now())
		look := func() (probes int, found bool) {
			before := a.probeCount()
			c, found := r.lookByFleetWork(w.t.Context(), w.feed.View(), waiting, workloads{a.server.Incarnation(): {}}, false)
			if found {
				w.handler.pool.addLoad(c.choice, -1, 0, 0)
			}
			return a.probeCount() - before, found
		}
		for _, step := range []struct {
			ended, probes int
			found         bool
		}{{0, 0, false}, {1, 1, false}, {0, 0, false}, {1, 1, true}} {
			w.handler.pool.addLoad(own, 0, -step.ended, 0)
			if step.found {
				free(a)
			}
			probes, found := look()
			must.Eq(t, step.probes, probes)
			must.Eq(t, step.found, found)
		}
		w.handler.pool.addLoad(own, 0, -2, 0)
	})
}

// Guards against a result of an earlier placement that is taken for one of the next: the prompt joins
// the queue without a look for room.
func TestPlacementForgetsEnginesLeftToOthers(t *testing.T) {
	withTestCluster(t, waitingRoutes(), func(w *testCluster) {
		w.add("e-a", "llm", "a", streamEvents(5, time.Second, 40*time.Millisecond))
		r := w.relay("/c/1")
		w.handler.waiting.join(time.Now(), r.newWaiter(time.Now()))
		w.handler.waiting.beginShutdown() // ends the wait at once
		r.leftToOthers = true
		_, err := r.placeOrWait(w.t.Context(), w.feed.View())
		must.Error(t, err)
		must.False(t, r.leftToOthers)
	})
}

// Guards against a second prompt that waits for its timer although the start of the first shows that
// there is room again: two engines become free, and two prompts wait.
func TestStartWakesNextPrompt(t *testing.T) {
	withTestCluster(t, waitingRoutes(), func(w *testCluster) {
		b := w.add("e-b", "llm", "a", streamEvents(5, time.Second, 40*time.Millisecond))
		fill(b)
		a, first := w.waitingPrompt("/c/1")
		second := w.async("/c/1", sized("r2"))
		time.Sleep(1010 * time.Millisecond)
		free(a)
		free(b)
		for _, c := range []<-chan response{first, second} {
			must.Eq(t, events(1, 5), (<-c).body)
		}
		must.Eq(t, 1, a.requestCount())
		must.Eq(t, 1, b.requestCount())
		must.Less(t, 20*time.Millisecond, a.receivedAt[0].Sub(b.receivedAt[0]).Abs())
	})
}

// Guards against less urgent prompts that get no share while urgent ones start without waiting.
func TestPromptsStartedAtOnceEarnMinimumShare(t *testing.T) {
	withTestCluster(t, waitingRoutes(), func(w *testCluster) {
		w.add("e-a", "llm", "a", streamEvents(5, time.Second, 40*time.Millisecond))
		less, urgent := w.relay("/c/1"), w.relay("/u/1")
		waiting := less.newWaiter(time.Now())
		waiting.LatestStart = time.Now().Add(300 * time.Millisecond)
		first, _, _ := w.handler.waiting.join(time.Now(), waiting)
		must.True(t, first)
		for range 8 {
			c, err := urgent.placeOrWait(w.t.Context(), w.feed.View())
			must.NoError(t, err)
			w.handler.pool.addLoad(c.choice, -1, 0, 0)
		}
		first, _, _ = w.handler.waiting.join(time.Now(), urgent.newWaiter(time.Now()))
		must.False(t, first) // the next look belongs to the less urgent prompt
	})
}

// relay returns the relay of a request that has just arrived.
func (w *testCluster) relay(path string) *relay {
	now := time.Now()
	in := &inbound{
		call: Call{ID: "r1", PromptTokens: 80, Timeout: 25 * time.Second}, arrived: now, deadline: now.Add(25 * time.Second),
		host: "host", target: path, route: w.feed.View().Config.Match("host", path),
	}
	return &relay{h: w.handler, in: in, service: "llm", rank: in.route.Priority}
}

// fill makes an engine report that it has no room.
func fill(engines ...*fakeServer) {
	for _, e := range engines {
		e.setRuns("full run-1")
	}
}

func free(e *fakeServer) { e.setRuns("run-1") }

// mustStartFirst checks that the server was asked to run a request, and no other one before it.
// Requests of one instant of virtual time may arrive in any order.
func (s *fakeServer) mustStartFirst(t *testing.T, id string) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.IndexFunc(s.received, func(r *http.Request) bool { return r.Header.Get(hID) == id })
	must.NonNegative(t, i)
	must.Eq(t, s.receivedAt[0], s.receivedAt[i])
}

// waitingPrompt starts an engine without room and a request that waits for room there.
func (w *testCluster) waitingPrompt(path string) (*fakeServer, <-chan response) {
	w.t.Helper()
	a := w.add("e-a", "llm", "a", streamEvents(5, time.Second, 40*time.Millisecond))
	fill(a)
	got := w.async(path, sized("r1"))
	time.Sleep(time.Second)
	must.Eq(w.t, 1, w.handler.waiting.len())
	return a, got
}

// Guards against less urgent prompts that take the room for which urgent ones wait: three that came
// earlier wait, and one arrives at the moment at which there is room.
func TestUrgentPromptStartsFirst(t *testing.T) {
	withTestCluster(t, waitingRoutes(), func(w *testCluster) {
		a, first := w.waitingPrompt("/c/1")
		pending := []<-chan response{first, w.async("/c/1", sized("r2")), w.async("/c/1", sized("r3"))}
		time.Sleep(time.Second)
		urgent := w.async("/u/1", sized("r4"))
		time.Sleep(500 * time.Millisecond)
		free(a)
		pending = append(pending, w.async("/c/1", sized("r5")))
		must.Eq(t, events(1, 5), (<-urgent).body)
		a.mustStartFirst(t, "r4")
		for _, p := range pending {
			must.Eq(t, events(1, 5), (<-p).body)
		}
	})
}

// Guards against an urgent request that is refused because less urgent ones fill the queue.
func TestUrgentPromptWaitsWhenQueueIsFull(t *testing.T) {
	withTestCluster(t, waitingRoutes(), func(w *testCluster) {
		a := w.add("e-a", "llm", "a", streamEvents(5, time.Second, 40*time.Millisecond))
		fill(a)
		var others []<-chan response
		for n := range maxWaitingPrompts {
			others = append(others, w.async("/c/1", sized(strconv.Itoa(n))))
		}
		time.Sleep(time.Second)
		must.Eq(t, maxWaitingPrompts, w.handler.waiting.len())
		urgent := w.async("/u/1", sized("urgent"))
		time.Sleep(200 * time.Millisecond)
		must.Eq(t, maxWaitingPrompts, w.handler.waiting.len())
		var waiting []<-chan response
		for _, c := range others {
			select {
			case got := <-c:
				mustRefuse(t, got, http.StatusServiceUnavailable)
			default:
				waiting = append(waiting, c)
			}
		}
		must.Len(t, maxWaitingPrompts-1, waiting)
		free(a)
		must.Eq(t, events(1, 5), (<-urgent).body)
		a.mustStartFirst(t, "urgent")
		for _, c := range waiting {
			<-c
		}
	})
}

// Guards against a prompt that is sent although its caller has left, and that keeps its place in the
// queue until its latest start.
func TestDisconnectedCallerLeavesQueue(t *testing.T) {
	withTestCluster(t, waitingRoutes(), func(w *testCluster) {
		a := w.add("e-a", "llm", "a", streamEvents(5, time.Second, 40*time.Millisecond))
		fill(a)
		w.background(func() {
			_, aborted := w.requestAndLeave("/c/1", sized("r1"), time.Second+time.Millisecond)
			must.True(w.t, aborted)
		})
		time.Sleep(time.Second)
		must.Eq(t, 1, w.handler.waiting.len())
		time.Sleep(time.Millisecond) // it leaves
		synctest.Wait()
		must.Eq(t, 0, w.handler.waiting.len())
		free(a)
		time.Sleep(5 * time.Second)
		must.Eq(t, 0, a.requestCount())
	})
}

// Guards against a prompt that is sent, or refused with another status than a new request would get,
// although the configuration has changed while it waits: its key is removed, its route is gone.
func TestConfigurationChangesWhilePromptWaits(t *testing.T) {
	services := []*routing.Service{{Name: "llm", Engine: &routing.Engine{Slots: 4}}}
	account := func(key string) map[string]*routing.Account {
		return map[string]*routing.Account{key: {Name: "mill", Priority: -1}}
	}
	for name, c := range map[string]struct {
		config *routing.Config
		status int
	}{
		"key removed": {routing.New(2, routing.Limits{}, services, waitingRoutes(), account("key-2")), http.StatusUnauthorized},
		"route gone":  {routing.New(2, routing.Limits{}, services, waitingRoutes()[:1], account("key-1")), http.StatusNotFound},
	} {
		t.Run(name, func(t *testing.T) {
			withTestCluster(t, waitingRoutes(), func(w *testCluster) {
				a, pending := w.waitingPrompt("/c/1")
				second := w.async("/c/1", sized("r2")) // waits behind the first
				time.Sleep(500 * time.Millisecond)
				w.schema.named["next"] = c.config
				w.put("config", "next")
				changed := time.Now()
				for _, p := range []<-chan response{pending, second} {
					mustRefuse(t, <-p, c.status)
				}
				must.Less(t, 1500*time.Millisecond, time.Since(changed))
				must.Eq(t, 0, a.requestCount())
			})
		})
	}
}

// probeHook calls a function before each report of an engine is read.
type probeHook struct {
	testCodec
	call func()
}

func (c probeHook) Report(body []byte) (Report, error) {
	c.call()
	return c.testCodec.Report(body)
}

// Guards against a prompt that is sent although its key is removed while the engine that has room for
// it is probed.
func TestKeyIsRemovedDuringLook(t *testing.T) {
	withTestCluster(t, waitingRoutes(), func(w *testCluster) {
		a, pending := w.waitingPrompt("/c/1")
		services := []*routing.Service{{Name: "llm", Engine: &routing.Engine{Slots: 4}}}
		accounts := map[string]*routing.Account{"key-2": {Name: "mill", Priority: -1}}
		w.schema.named["next"] = routing.New(2, routing.Limits{}, services, waitingRoutes(), accounts)
		var once sync.Once
		w.handler.opts.Codec = probeHook{call: func() {
			once.Do(func() {
				w.put("config", "next")
				time.Sleep(10 * time.Millisecond) // until the daemon knows it
			})
		}}
		free(a)
		got := <-pending
		mustRefuse(t, got, http.StatusUnauthorized)
		must.Eq(t, 0, a.requestCount())
		w.checkLoadReleased()
	})
}

// Guards against a prompt that is sent to the old service of its route. It is sent to the new one,
// whether or not that has streams of different priority, and is counted in the demand there.
func TestServiceOfRouteChangesWhilePromptWaits(t *testing.T) {
	for _, both := range []bool{true, false} {
		t.Run(fmt.Sprint("both routes move: ", both), func(t *testing.T) {
			withTestCluster(t, waitingRoutes(), func(w *testCluster) {
				a, pending := w.waitingPrompt("/c/1")
				b := w.add("e-b", "llm2", "a", streamEvents(5, time.Second, 40*time.Millisecond))
				routes := waitingRoutes()
				for i, r := range routes {
					if both || i == 1 {
						r.Targets = []routing.Target{{Service: "llm2", Weight: 1}}
					}
				}
				engine := &routing.Engine{Slots: 4}
				services := []*routing.Service{{Name: "llm", Engine: engine}, {Name: "llm2", Engine: engine}}
				accounts := map[string]*routing.Account{"key-1": {Name: "mill", Priority: -1}}
				w.schema.named["next"] = routing.New(2, routing.Limits{}, services, routes, accounts)
				w.put("config", "next")
				must.Eq(t, events(1, 5), (<-pending).body)
				must.Eq(t, 1, b.requestCount())
				must.Eq(t, 0, a.requestCount())
				h, now := w.handler, time.Now()
				must.Positive(t, h.pressure.meanPromptTokens("llm2"))
				if both { // the streams of the new service differ in priority
					must.Positive(t, h.headroom.urgentShare(now, "llm2", 3))
					r := w.relay("/c/1")
					r.in.call.Key, r.room = "key-1", roomFound // at the old service
					c, err := r.placeAtNewService(w.t.Context())
					must.NoError(t, err)
					h.pool.addLoad(c.choice, -1, 0, 0)
					must.Eq(t, roomAsked, r.room)
				}
			})
		})
	}
}

// Guards against a prompt whose key can't be confirmed any more, and against one that is refused
// while the configuration still may be used: the store is unreachable while two prompts wait, and an
// engine has room soon for the first.
func TestStoreIsUnreachableWhilePromptWaits(t *testing.T) {
	withTestCluster(t, waitingRoutes(), func(w *testCluster) {
		a, pending := w.waitingPrompt("/c/1")
		w.daemonStore.SetDown(true)
		time.Sleep(time.Second)
		free(a)
		must.Eq(t, events(1, 5), (<-pending).body)
		fill(a)
		second := w.request(http.MethodPost, "/c/1", sized("r2"), "prompt")
		mustRefuse(t, second, http.StatusServiceUnavailable)
		must.StrContains(t, second.body, "configuration_unconfirmed")
		must.Less(t, 4*time.Second, second.took)
		must.Eq(t, 1, a.requestCount())
	})
}

// Guards against callers that lose time at a daemon that is stopping: waiting prompts are refused at
// once, and their callers return at once to another daemon. New ones do not wait.
func TestShutdownRefusesWaitingPrompts(t *testing.T) {
	withTestCluster(t, waitingRoutes(), func(w *testCluster) {
		a, pending := w.waitingPrompt("/c/1")
		began := time.Now()
		w.handler.BeginShutdown(ShutdownSchedule{StreamsUntil: began.Add(time.Second), ExitAt: began.Add(10 * time.Second)})
		got := <-pending
		must.Less(t, 10*time.Millisecond, time.Since(began))
		for _, got := range []response{got, w.request(http.MethodPost, "/u/1", sized("r2"), "prompt")} {
			mustRefuse(t, got, http.StatusServiceUnavailable)
			must.StrContains(t, got.body, "shutting_down")
			must.Eq(t, "0.05", got.header.Get("Retry-After"))
		}
		must.Eq(t, 0, a.requestCount())
	})
}

// Guards against a prompt that is lost with the engine at which it would wait: both engines are full,
// one dies, and the prompt starts at the other.
func TestEngineDiesWhilePromptWaits(t *testing.T) {
	withTestCluster(t, waitingRoutes(), func(w *testCluster) {
		b := w.add("e-b", "llm", "b", streamEvents(5, time.Second, 40*time.Millisecond))
		fill(b)
		a, pending := w.waitingPrompt("/c/1")
		w.crash(a)
		time.Sleep(time.Second)
		free(b)
		must.Eq(t, events(1, 5), (<-pending).body)
		must.Eq(t, 1, b.requestCount())
	})
}

// Guards against answers that are held back: a caller that holds a part of the answer, and a request
// whose engine failed, are sent at once although engines are full and others wait.
func TestBegunRequestsDoNotWait(t *testing.T) {
	withTestCluster(t, waitingRoutes(), func(w *testCluster) {
		a, pending := w.waitingPrompt("/c/1")
		resumed := sized("r2")
		resumed[hAfter] = "2"
		got := w.request(http.MethodPost, "/c/1", resumed, "prompt")
		must.Eq(t, events(3, 5), got.body)
		must.Less(t, 1500*time.Millisecond, got.took)
		b := w.add("e-b", "llm", "b", streamEvents(5, time.Second, 40*time.Millisecond))
		must.Eq(t, events(1, 5), (<-pending).body) // at the new engine
		fill(b)
		free(a)
		broken := w.async("/c/1", sized("r3"))
		time.Sleep(1100 * time.Millisecond) // events 1 to 3 are sent
		fill(a)
		w.crash(a)
		must.Eq(t, events(1, 5), (<-broken).body)
	})
}

// Guards against a change for services without priorities: a prompt without room is refused at once,
// does not yield to a waiting prompt of another daemon, and trackers are told nothing.
func TestServiceWithoutPrioritiesIsTreatedAsBefore(t *testing.T) {
	routes := waitingRoutes()
	routes[1].Priority = 0
	withTestCluster(t, routes, func(w *testCluster) {
		var engines []*fakeServer
		for n := range 4 {
			engines = append(engines, w.add(fmt.Sprintf("e-%d", n), "llm", "a", streamEvents(5, time.Second, 40*time.Millisecond)))
		}
		others, _ := w.addDaemons(12)
		fill(engines...)
		got := w.request(http.MethodPost, "/c/1", sized("r1"), "prompt")
		mustRefuse(t, got, http.StatusServiceUnavailable)
		must.Less(t, 100*time.Millisecond, got.took)
		for _, o := range append(others, w.handler) {
			must.Eq(t, 0, o.waiting.len()+o.workTracker.waiting.Len())
			for _, e := range engines {
				o.workTracker.waiting.Update(time.Now(), promptqueue.RemotePrompt{Daemon: "vm-x", ID: "r9"}, []routing.Incarnation{e.server.Incarnation()})
			}
		}
		free(engines[2])
		must.Eq(t, events(1, 5), w.request(http.MethodPost, "/c/1", sized("r2"), "prompt").body)
	})
}

// serve sends a request to another daemon.
func (w *testCluster) serve(h *Handler, path, id string) <-chan *httptest.ResponseRecorder {
	got := make(chan *httptest.ResponseRecorder, 1)
	w.background(func() {
		r := httptest.NewRequestWithContext(w.t.Context(), http.MethodPost, "http://host"+path, strings.NewReader("prompt"))
		for k, v := range sized(id) {
			r.Header.Set(k, v)
		}
		recorder := httptest.NewRecorder()
		h.ServeHTTP(recorder, r)
		got <- recorder
	})
	return got
}

// occupied is an engine with runs of another daemon, as many as it has slots.
type occupied struct {
	*fakeServer
	by   *Handler
	load choice
}

func (o occupied) release() {
	free(o.fakeServer)
	o.by.pool.addLoad(o.load, 0, -4, 0)
}

// occupy starts six engines, and 12 more daemons, of which the last one uses all slots.
func (w *testCluster) occupy() (engines []occupied, others []*Handler, cut *atomic.Bool) {
	w.t.Helper()
	for n := range 6 {
		engines = append(engines, occupied{fakeServer: w.add(fmt.Sprintf("e-%d", n), "llm", "a", streamEvents(5, 500*time.Millisecond, 40*time.Millisecond))})
	}
	others, cut = w.addDaemons(12)
	for n := range engines {
		e := &engines[n]
		fill(e.fakeServer)
		e.by = others[11]
		c, ok := e.by.pool.findServer(w.feed.View(), "llm", e.server.Incarnation())
		must.True(w.t, ok)
		e.load = c
		e.by.pool.addLoad(c, 0, 4, 0)
	}
	time.Sleep(workTimeout)
	return engines, others, cut
}

// Guards against a room that goes to whichever daemon looks first: an urgent prompt waits at one
// daemon, less urgent ones at two others, and one arrives at a fourth. Each engine that gets room is
// left to the prompt that comes first by its trackers, and a prompt that has started does not keep
// the next engine empty. While no daemon reaches another one, prompts start in any order.
func TestRoomGoesToFirstPromptOfAllDaemons(t *testing.T) {
	withTestCluster(t, waitingRoutes(), func(w *testCluster) {
		engines, others, cut := w.occupy()
		lessUrgent := []<-chan *httptest.ResponseRecorder{w.serve(others[0], "/c/1", "less-0"), w.serve(others[1], "/c/1", "less-1")}
		time.Sleep(time.Second)
		urgent := w.serve(others[2], "/u/1", "urgent")
		time.Sleep(time.Second)
		engines[3].release()
		lessUrgent = append(lessUrgent, w.serve(others[3], "/c/1", "less-3"))
		for began := time.Now(); engines[3].requestCount() == 0; time.Sleep(time.Millisecond) {
			must.Less(t, 400*time.Millisecond, time.Since(began))
		}
		engines[3].mustStartFirst(t, "urgent")
		fill(engines[3].fakeServer)
		time.Sleep(workTimeout)
		for _, o := range others {
			o.workTracker.mu.Lock()
			urgents := o.workTracker.waiting.Ahead(time.Now(), engines[4].server.Incarnation(), "", &promptqueue.RemotePrompt{Rank: 1})
			o.workTracker.mu.Unlock()
			must.Eq(t, 0, urgents)
		}
		engines[4].release()
		time.Sleep(noRoomTTL + 500*time.Millisecond)
		must.Positive(t, engines[4].requestCount())
		must.Eq(t, events(1, 5), (<-urgent).Body.String())
		cut.Store(true)
		for _, e := range engines {
			free(e.fakeServer)
		}
		for _, c := range lessUrgent {
			must.Eq(t, events(1, 5), (<-c).Body.String())
		}
		cut.Store(false)
		time.Sleep(time.Second)
		for _, o := range append(others, w.handler) {
			o.workTracker.recordWaiting("vm-x", &peerpb.WaitingPrompt{Id: "sweep"}, nil)
			must.Eq(t, 0, o.workTracker.waiting.Len())
		}
	})
}

// Guards against probes of engines that have no room by what their trackers know: all slots are in
// use for three seconds, and none of the engines is probed meanwhile.
func TestWaitingPromptProbesOnlyWhereTrackersShowRoom(t *testing.T) {
	withTestCluster(t, waitingRoutes(), func(w *testCluster) {
		engines, _, _ := w.occupy()
		pending := w.async("/c/1", sized("r1"))
		time.Sleep(500 * time.Millisecond) // the first look probes engines
		before := w.probeCount()
		time.Sleep(3 * time.Second)
		must.Eq(t, before, w.probeCount())
		engines[2].release()
		must.Eq(t, events(1, 5), (<-pending).body)
		must.Eq(t, 1, engines[2].requestCount())
	})
}

// Guards against a cut answer: a prompt left all engines to one of another daemon, waited and
// started, and its engine dies together with the one that has the copy. The retry goes to any engine
// at once.
func TestRetryAfterWaitLeavesNoEngineToOthers(t *testing.T) {
	withTestCluster(t, waitingRoutes(), func(w *testCluster) {
		var lives []routing.Incarnation
		for n := range 6 {
			e := w.add(fmt.Sprintf("e-%d", n), "llm", "a", streamEvents(5, 500*time.Millisecond, 40*time.Millisecond))
			lives = append(lives, e.server.Incarnation())
		}
		others, _ := w.addDaemons(12)
		state := func() {
			for _, o := range append(others, w.handler) {
				o.workTracker.recordWaiting("vm-x", &peerpb.WaitingPrompt{Id: "other", SlackMs: 1000}, lives)
			}
		}
		state()
		pending := w.async("/c/1", sized("r1"))
		time.Sleep(200 * time.Millisecond)
		must.Eq(t, 1, w.handler.waiting.len())
		for began := time.Now(); w.handler.waiting.len() > 0; time.Sleep(time.Millisecond) {
			must.Less(t, 2*time.Second, time.Since(began)) // trackers forget the other prompt
		}
		time.Sleep(600 * time.Millisecond) // the first events are sent
		state()
		for _, e := range w.servers {
			if e.requestCount() > 0 {
				w.crash(e)
				if copyAt, ok := strings.CutSuffix(e.requests()[0].Header.Get(hCopyTo), ":80"); ok {
					w.crash(w.servers[copyAt])
				}
			}
		}
		must.Eq(t, events(1, 5), (<-pending).body)
	})
}
