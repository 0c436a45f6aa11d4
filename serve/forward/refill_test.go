package forward

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/retryafter"
	"mallowwind.dev/decision/retrybudget"
)

// withoutCopies makes the engines of the test cluster keep no copies, so that each answer that
// breaks off is prefilled again.
func (w *testCluster) withoutCopies() {
	engine := w.schema.config.Engine("llm")
	engine.CanReplicate, engine.CanCopy = false, false
}

// withGapTarget sets the permitted pause of routes.
func withGapTarget(routes []*routing.Route) []*routing.Route {
	for _, r := range routes {
		r.GapTarget = 700 * time.Millisecond
	}
	return routes
}

// Guards against prompts that are prefilled again before others which can still be in time. An
// engine crashes with an answer, and the other engines have prompts pending. The answer has missed
// its permitted pause already: it must wait, a less urgent one longer, but never until it is given
// up, and less if an engine has room. Where requests don't differ in priority, it starts at once.
func TestLateAnswerWaitsForOthers(t *testing.T) {
	const first, crashAt = time.Second, 1500 * time.Millisecond
	cases := []struct {
		name       string
		routes     []*routing.Route
		path       string
		runs       string        // of the engine that is left
		roomAfter  time.Duration // since the crash; 0 if there is none
		resumedMin time.Duration // since the crash
		resumedMax time.Duration
	}{
		{"less urgent", priorityRoutes(), "/s/1", "-9", 0, 3500 * time.Millisecond, 3800 * time.Millisecond},
		{"urgent", priorityRoutes(), "/u/1", "-9", 0, 2200 * time.Millisecond, 2500 * time.Millisecond},
		{"less urgent, room after a moment", priorityRoutes(), "/s/1", "-9", 200 * time.Millisecond, 2200 * time.Millisecond, 2500 * time.Millisecond},
		{"less urgent, memory for it but for no copy", priorityRoutes(), "/s/1", "r9 used=70000/100000", 0, 900 * time.Millisecond, 1100 * time.Millisecond},
		{"less urgent, no memory", priorityRoutes(), "/s/1", "r9 used=93000/100000", 0, 3500 * time.Millisecond, 3800 * time.Millisecond},
		{"one priority", streamRoute(), "/s/1", "-9", 0, 900 * time.Millisecond, 1100 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withTestCluster(t, withGapTarget(c.routes), func(w *testCluster) {
				w.withoutCopies()
				handle := streamEvents(40, first, 40*time.Millisecond)
				a, b := w.add("e-a", "llm", "a", handle), w.add("e-b", "llm", "b", handle)
				w.background(func() {
					time.Sleep(crashAt)
					runner, other := runnerAndHolder(a, b)
					other.setRuns(c.runs)
					w.crash(runner)
					if c.roomAfter > 0 {
						time.Sleep(c.roomAfter)
						other.setRuns("")
					}
				})
				got := w.request(http.MethodPost, c.path, withHeaders(map[string]string{hTokens: "8000"}), "prompt")
				must.NoError(t, got.err)
				must.Eq(t, events(1, 40), got.body)
				events := 40 * 40 * time.Millisecond
				resumed := got.took - events - first // the wait and the second prefill, less a part of an interval
				must.Between(t, c.resumedMin, resumed, c.resumedMax)
			})
		})
	}
}

// Guards against an answer that is cut because its prompt waited: the engine had room at the first
// look, and prompts of others are pending there at the next.
func TestWaitDoesNotCutAnswer(t *testing.T) {
	withTestCluster(t, withGapTarget(priorityRoutes()), func(w *testCluster) {
		w.withoutCopies()
		handle := streamEvents(40, time.Second, 40*time.Millisecond)
		a, b := w.add("e-a", "llm", "a", handle), w.add("e-b", "llm", "b", handle)
		w.background(func() {
			time.Sleep(1500 * time.Millisecond)
			runner, other := runnerAndHolder(a, b)
			other.setRuns("-9")
			w.crash(runner)
			time.Sleep(200 * time.Millisecond)
			var pending []string
			for n := range 40 { // more than fit into the time that the caller still waits
				pending = append(pending, "-"+strconv.Itoa(n))
			}
			other.setRuns(strings.Join(pending, " "))
		})
		got := w.request(http.MethodPost, "/s/1", withHeaders(map[string]string{hTokens: "8000"}), "prompt")
		must.NoError(t, got.err)
		must.Eq(t, events(1, 40), got.body)
	})
}

// Guards against more sends in a window than the retry budget permits: a retry that is taken when
// an answer breaks off and sent seconds later, after others, would leave the window before its send
// does.
func TestDelayedRetryCountsWhenItIsSent(t *testing.T) {
	withTestCluster(t, withGapTarget(priorityRoutes()), func(w *testCluster) {
		w.withoutCopies()
		const window = 10 * time.Second
		w.handler.SetBounds(5*time.Second, retrybudget.Policy{Slack: 1.2, Window: window}) // one retry
		w.handler.pool.startedAt = w.handler.pool.startedAt.Add(-window)
		var sentAt []time.Time
		stream := streamEvents(40, time.Second, 40*time.Millisecond)
		handle := func(rw http.ResponseWriter, r *http.Request) {
			sentAt = append(sentAt, time.Now())
			stream(rw, r)
		}
		a, b := w.add("e-a", "llm", "a", handle), w.add("e-b", "llm", "b", handle)
		crashedAt := time.Now().Add(1500 * time.Millisecond)
		w.background(func() {
			time.Sleep(time.Until(crashedAt))
			runner, other := runnerAndHolder(a, b)
			other.setRuns("-9")
			w.crash(runner)
		})
		got := w.request(http.MethodPost, "/s/1", withHeaders(map[string]string{hTokens: "8000"}), "prompt")
		must.Eq(t, events(1, 40), got.body)
		must.Eq(t, 2, len(sentAt))
		must.Greater(t, time.Second, sentAt[1].Sub(crashedAt)) // it waited
		time.Sleep(time.Until(sentAt[1].Add(window - 100*time.Millisecond)))
		must.False(t, w.handler.pool.tryTakeRetry(time.Now(), "llm", false))
	})
}

// Guards against engines that work for answers which are late in any case. An engine rejects a
// prompt after the objective has passed. Nobody holds anything of the answer and it did not run, so
// it must be refused with not_run and not be sent again. Where requests don't differ in priority, it
// is sent again. So is a prompt that is late by the estimate alone: an engine may be faster.
func TestHopelessPromptIsRefused(t *testing.T) {
	for _, c := range []struct {
		routes   []*routing.Route
		rejected time.Duration // after it was sent, with an objective of 4.5 s
		refused  bool
	}{
		{priorityRoutes(), 5 * time.Second, true},
		{priorityRoutes(), 3900 * time.Millisecond, true},
		{priorityRoutes(), 3500 * time.Millisecond, false}, // a prefill takes 0.7 s at least, 1.3 s by the estimate
		{streamRoute(), 5 * time.Second, false},
	} {
		withTestCluster(t, c.routes, func(w *testCluster) {
			w.withoutCopies()
			w.handler.SetBounds(5*time.Second, retrybudget.Policy{Slack: 2, Window: 10 * time.Second}) // one retry
			w.handler.pool.startedAt = w.handler.pool.startedAt.Add(-10 * time.Second)
			w.handler.pressure.recordPrefill("llm", 8000, time.Second)
			rejected := false
			handle := func(rw http.ResponseWriter, r *http.Request) {
				if rejected {
					streamEvents(5, 100*time.Millisecond, 10*time.Millisecond)(rw, r)
					return
				}
				rejected = true
				sleep(r, c.rejected)
				rw.Header().Set(hNotRun, "1")
				rw.WriteHeader(http.StatusServiceUnavailable)
			}
			a, b := w.add("e-a", "llm", "a", handle), w.add("e-b", "llm", "b", handle)
			got := w.request(http.MethodPost, "/s/1", withHeaders(map[string]string{hTokens: "8000"}), "prompt")
			if !c.refused {
				must.Eq(t, events(1, 5), got.body)
				return
			}
			must.Eq(t, http.StatusServiceUnavailable, got.status)
			must.StrContains(t, got.body, "not_run")
			must.NotEq(t, "", got.header.Get("Retry-After"))
			must.Eq(t, 1, a.requestCount()+b.requestCount())
			must.True(t, w.handler.pool.tryTakeRetry(time.Now(), "llm", false)) // the only one was not taken
		})
	}
}

// Guards against a caller that disconnects while its prompt waits to be prefilled again: no engine
// may get the prompt, and no load may stay counted.
func TestDisconnectedCallerIsNotRefilled(t *testing.T) {
	withTestCluster(t, withGapTarget(priorityRoutes()), func(w *testCluster) {
		w.withoutCopies()
		handle := streamEvents(40, time.Second, 40*time.Millisecond)
		a, b := w.add("e-a", "llm", "a", handle), w.add("e-b", "llm", "b", handle)
		w.background(func() {
			time.Sleep(1500 * time.Millisecond)
			runner, other := runnerAndHolder(a, b)
			other.setRuns("-9")
			w.crash(runner)
		})
		// The caller gives up half a second after the crash, while the prompt waits.
		header := withHeaders(map[string]string{hTokens: "8000", hWait: "2000"})
		must.Error(t, w.request(http.MethodPost, "/s/1", header, "prompt").err)
		time.Sleep(5 * time.Second)
		must.Eq(t, 1, a.requestCount()+b.requestCount())
	})
}

// Guards against a Retry-After that tells all callers about the same time, however many they are
// and however urgent. Prompts have found room, then all engines are full: less urgent callers must
// be told later and later, and an urgent one to return before. Where requests don't differ in
// priority, or nothing was observed, the values are those of before.
func TestRetryAfterFollowsRoom(t *testing.T) {
	cases := []struct {
		name     string
		routes   []*routing.Route
		urgent   string
		observed bool
		forecast bool
	}{
		{"priorities", priorityRoutes(), "/u/1", true, true},
		{"priorities, nothing observed", priorityRoutes(), "/u/1", false, false},
		{"one priority", streamRoute(), "/s/1", true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for _, r := range c.routes {
				r.Timeout = time.Minute // longer than any Retry-After
			}
			withTestCluster(t, c.routes, func(w *testCluster) {
				w.add("e-a", "llm", "a", streamEvents(5, 100*time.Millisecond, 10*time.Millisecond))
				send := func(id int, path string) response {
					return w.request(http.MethodPost, path, withHeaders(map[string]string{hID: strconv.Itoa(id), hTokens: "80"}), "prompt")
				}
				for n := range 20 {
					if c.observed {
						must.Eq(t, http.StatusOK, send(n, c.urgent).status)
						must.Eq(t, http.StatusOK, send(100+n, "/s/1").status)
						time.Sleep(500 * time.Millisecond)
					}
				}
				told := func(id int, path, part string) float64 {
					in := &inbound{
						call:    Call{ID: strconv.Itoa(id), PromptTokens: 80, PromptKey: part},
						arrived: time.Now(), deadline: time.Now().Add(time.Minute),
						route: w.feed.View().Config.Match("host", path),
					}
					r := &relay{h: w.handler, in: in, service: "llm", rank: in.route.Priority}
					if r.hasPriorities() {
						w.handler.pressure.recordRoomAsked(time.Now(), r.service, r.roomRequest())
					}
					return r.retryAfterRoom(w.handler.pressure.recordRefusal(time.Now(), r.service)).Seconds()
				}
				var others []float64
				for n := range 10 {
					others = append(others, told(200+n, "/s/1", ""))
				}
				urgent := told(300, c.urgent, "")
				if !c.forecast {
					for _, s := range append(others, urgent) {
						must.Between(t, 6.75, s, 11.25) // twice the objective, plus or minus a quarter
					}
					return
				}
				first := told(400, "/s/1", "p")
				time.Sleep(500 * time.Millisecond)
				must.Between(t, first-0.55, told(401, "/s/1", "p"), first-0.45) // it returns too early
				must.Less(t, others[0], urgent)
				must.Less(t, others[9], others[0])
				must.Less(t, 3, urgent)
			})
		})
	}
}

// Guards against a rate of room that counts prompts which found none: engines reject what is sent
// to them, and callers were told to return at the rate of the rejections. A prompt that is sent
// twice asks for room once and finds it once.
func TestRateOfRoomCountsFirstEvents(t *testing.T) {
	for name, rejected := range map[string]int{"all": 8, "first": 1} {
		t.Run(name, func(t *testing.T) {
			withTestCluster(t, priorityRoutes(), func(w *testCluster) {
				w.handler.SetBounds(5*time.Second, retrybudget.Policy{Slack: 1000, Window: 10 * time.Second})
				w.handler.pool.startedAt = w.handler.pool.startedAt.Add(-10 * time.Second)
				sends := map[string]int{}
				handle := func(rw http.ResponseWriter, r *http.Request) {
					if id := r.Header.Get(hID); sends[id] < rejected {
						sends[id]++
						rw.Header().Set(hNotRun, "1")
						rw.WriteHeader(http.StatusServiceUnavailable)
						return
					}
					streamEvents(5, 100*time.Millisecond, 10*time.Millisecond)(rw, r)
				}
				for _, id := range []string{"e-a", "e-b", "e-c"} {
					w.add(id, "llm", id[2:], handle)
				}
				for n := range 20 {
					header := withHeaders(map[string]string{hID: strconv.Itoa(n), hTokens: "80"})
					w.request(http.MethodPost, "/s/1", header, "prompt")
					time.Sleep(500 * time.Millisecond)
				}
				q := retryafter.Request{ID: "x", Rank: 1, TimeLeft: 20 * time.Second}
				f := w.handler.pressure.retryAfterRoom(time.Now(), "llm", q, time.Second)
				must.Eq(t, rejected == 1, f.Known)
				must.Eq(t, 0, f.Overload) // all that asked for room found it
			})
		})
	}
}
