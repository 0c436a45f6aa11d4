package forward

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/shoenig/test/must"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/prompts"
)

// rankedRoutes returns two routes to the engines. Requests below /u/ are more urgent than those below /s/
// if the routes differ in priority.
func rankedRoutes(differ bool) []*routing.Route {
	less, urgent := streamRoute()[0], streamRoute()[0]
	urgent.Name, urgent.Prefix = "u", "/u/"
	if differ {
		less.Priority = 2
	}
	return []*routing.Route{less, urgent}
}

// send sends a prompt of 80 tokens on a route and returns its status.
func (w *testCluster) send(prefix string) int {
	return w.request(http.MethodPost, prefix+"1", withHeaders(map[string]string{hTokens: "80"}), "prompt").status
}

// sendLessUrgent sends a few less urgent prompts, so that urgent ones are a small share.
func (w *testCluster) sendLessUrgent() {
	for range 4 {
		must.Eq(w.t, 200, w.send("/s/"))
	}
}

// Guards against less urgent prompts that take the last slot or the last memory of an engine, so
// that an urgent prompt one second later waits for the end of a run. Also guards against headroom
// where priorities do not differ, or for a class that sends nothing.
func TestHeadroomIsKeptForUrgentPrompts(t *testing.T) {
	for name, c := range map[string]struct {
		differ, urgentSeen bool
		runs               string
		less, urgent       int // expected status
	}{
		"last slot":              {true, true, "r1 r2 r3", 503, 200},
		"slot left":              {true, true, "r1 r2", 200, 200},
		"last memory":            {true, true, "r1 used=780/1000", 503, 200},
		"memory left":            {true, true, "r1 used=770/1000", 200, 200},
		"one priority":           {false, true, "r1 r2 r3", 200, 200},
		"no urgent prompt seen":  {true, false, "r1 r2 r3", 200, 200},
		"idle engine":            {true, true, "used=0/1000", 200, 200},
		"copies only":            {true, true, "used=850/1000", 503, 200},
		"copies only, room left": {true, true, "used=150/1000", 200, 200},
		"no slot, also not kept": {true, true, "r1 r2 r3 r4", 503, 200},
	} {
		t.Run(name, func(t *testing.T) {
			withTestCluster(t, rankedRoutes(c.differ), func(w *testCluster) {
				a := w.add("e-a", "llm", "a", streamEvents(2, 100*time.Millisecond, 40*time.Millisecond))
				w.sendLessUrgent()
				if c.urgentSeen {
					must.Eq(t, 200, w.send("/u/"))
				}
				a.setRuns(c.runs)
				must.Eq(t, c.less, w.send("/s/"))
				must.Eq(t, c.urgent, w.send("/u/"))
			})
		})
	}
}

// Guards against metrics and events of headroom for requests that are exempt from it, because they
// were sent before.
func TestExemptRequestIsNotCountedAsDenied(t *testing.T) {
	withTestCluster(t, rankedRoutes(true), func(w *testCluster) {
		w.withoutCopies()
		handle := streamEvents(40, time.Second, 40*time.Millisecond)
		a, b := w.add("e-a", "llm", "a", handle), w.add("e-b", "llm", "b", handle)
		must.Eq(t, 200, w.send("/u/"))
		before := a.requestCount()
		w.background(func() {
			time.Sleep(1500 * time.Millisecond)
			runner, other := a, b
			if a.requestCount() == before {
				runner, other = b, a
			}
			other.setRuns("r1 r2 r3")
			w.crash(runner)
		})
		got := w.request(http.MethodPost, "/s/1", withHeaders(map[string]string{hTokens: "80"}), "prompt")
		must.Eq(t, events(1, 40), got.body)
		must.Eq(t, 0, testutil.ToFloat64(w.handler.metrics.headroomDenials.WithLabelValues(deniedPrompt)))
	})
}

// Guards against room that stays reserved for a class that sends nothing any more.
func TestHeadroomEndsWhenUrgentCallersFallSilent(t *testing.T) {
	withTestCluster(t, rankedRoutes(true), func(w *testCluster) {
		a := w.add("e-a", "llm", "a", streamEvents(2, 100*time.Millisecond, 40*time.Millisecond))
		must.Eq(t, 200, w.send("/u/"))
		a.setRuns("r1 r2 r3")
		must.Eq(t, 503, w.send("/s/"))
		time.Sleep(31 * time.Second)
		must.Eq(t, 200, w.send("/s/"))
	})
}

// A daemon that sends few prompts sees hardly any urgent one itself. Guards against it filling the
// engines regardless: the priorities of the runs that engines report show the urgent class.
func TestUrgentShareIsLearnedFromReports(t *testing.T) {
	withTestCluster(t, rankedRoutes(true), func(w *testCluster) {
		a := w.add("e-a", "llm", "a", streamEvents(2, 100*time.Millisecond, 40*time.Millisecond))
		a.setRuns("r1#1 r2#1 r3#0")
		must.Eq(t, 503, w.send("/s/"))
		a.setRuns("r1#1 r2#1 r3#1")
		must.Eq(t, 503, w.send("/s/"))
	})
}

// Guards against refusals of less urgent prompts for headroom while other engines have room.
func TestLessUrgentPromptGoesToEngineWithRoom(t *testing.T) {
	withTestCluster(t, rankedRoutes(true), func(w *testCluster) {
		handle := streamEvents(2, 100*time.Millisecond, 40*time.Millisecond)
		for i := range 6 {
			w.add(fmt.Sprintf("e-%d", i), "llm", string(rune('a'+i%3)), handle)
		}
		w.sendLessUrgent()
		must.Eq(t, 200, w.send("/u/"))
		for _, s := range w.servers {
			s.setRuns("r1 r2 r3")
		}
		must.Eq(t, 503, w.send("/s/"))
		free := w.add("e-free", "llm", "a", handle)
		free.setRuns("-r1 r2") // a prefill delays the prompt, but no urgent one
		must.Eq(t, 200, w.send("/s/"))
		must.Eq(t, 1, free.requestCount())
	})
}

// Guards against probes of engines that were just found without room, which tell nothing new. One
// priority keeps the probes of before.
func TestRefusalProbesEachEngineOnce(t *testing.T) {
	for name, differ := range map[string]bool{"less urgent": true, "one priority": false} {
		t.Run(name, func(t *testing.T) {
			routes := rankedRoutes(differ)
			for _, r := range routes {
				r.Objective = 0 // without one, a prompt doesn't wait for room
			}
			withTestCluster(t, routes, func(w *testCluster) {
				handle := streamEvents(2, 100*time.Millisecond, 40*time.Millisecond)
				for i := range 10 {
					w.add(fmt.Sprintf("e-%d", i), "llm", string(rune('a'+i%3)), handle)
				}
				w.sendLessUrgent()
				must.Eq(t, 200, w.send("/u/"))
				w.addDaemon("vm-2")
				time.Sleep(2 * maxReportAge) // the reports from before are forgotten
				before, probes := map[string]int{}, 0
				for id, s := range w.servers {
					s.setRuns("-r1 r2 r3 r4 used=1000/1000")
					before[id] = s.probeCount()
				}
				must.Eq(t, 503, w.send("/s/"))
				again := 0
				for id, s := range w.servers {
					n := s.probeCount() - before[id]
					probes += n
					if n > 1 {
						again++
					}
				}
				must.Eq(t, differ, again == 0)
				if differ {
					must.LessEq(t, maxSampleRounds*SampleSize, probes)
				}
			})
		})
	}
}

// Guards against refusals for headroom at the engine with the least known work in the fleet, which
// runs requests that no daemon reported, while another engine has room.
func TestPlacementByFleetWorkLeavesHeadroom(t *testing.T) {
	withTestCluster(t, rankedRoutes(true), func(w *testCluster) {
		handle := streamEvents(2, 100*time.Millisecond, 40*time.Millisecond)
		full, free := w.add("e-full", "llm", "a", handle), w.add("e-free", "llm", "b", handle)
		w.sendLessUrgent()
		must.Eq(t, 200, w.send("/u/"))
		other := w.addDaemon("vm-2")
		c, ok := other.pool.findServer(w.feed.View(), "llm", free.server.Incarnation())
		must.True(t, ok)
		other.pool.addLoad(c, 0, 1, 0)
		full.setRuns("r1 r2 r3")
		free.setRuns("r1")
		before := free.requestCount()
		must.Eq(t, 200, w.send("/s/"))
		must.Eq(t, before+1, free.requestCount())
		free.setRuns("-r1 r2") // no engine prefills at once, so that a sample of reports decides
		must.Eq(t, 200, w.send("/s/"))
		must.Eq(t, before+2, free.requestCount())
	})
}

// Guards against headroom that is used up by several daemons at once: an engine's report does not
// show yet what they have sent there in the last 200 ms. Where priorities do not differ, the report
// decides as before.
func TestReservedPromptsOfOtherDaemonsUseRoom(t *testing.T) {
	for name, differ := range map[string]bool{"less urgent": true, "one priority": false} {
		t.Run(name, func(t *testing.T) {
			withTestCluster(t, rankedRoutes(differ), func(w *testCluster) {
				handle := streamEvents(2, 100*time.Millisecond, 40*time.Millisecond)
				reserved, free := w.add("e-reserved", "llm", "a", handle), w.add("e-free", "llm", "b", handle)
				w.sendLessUrgent()
				must.Eq(t, 200, w.send("/u/"))
				other := w.addDaemon("vm-2")
				c, ok := other.pool.findServer(w.feed.View(), "llm", reserved.server.Incarnation())
				must.True(t, ok)
				other.pool.addLoad(c, 2, 1, 0)
				reserved.setRuns("")
				free.setRuns("-r1")
				before := free.requestCount()
				must.Eq(t, 200, w.send("/s/"))
				must.Eq(t, differ, free.requestCount() > before)
			})
		})
	}
}

// Guards against refusals for headroom because the one engine with room is not in the sample, although
// this daemon received its report a moment ago.
func TestEngineSeenWithRoomIsUsed(t *testing.T) {
	withTestCluster(t, rankedRoutes(true), func(w *testCluster) {
		handle := streamEvents(2, 100*time.Millisecond, 40*time.Millisecond)
		for i := range 16 {
			w.add(fmt.Sprintf("e-%d", i), "llm", "a", handle)
		}
		w.sendLessUrgent()
		must.Eq(t, 200, w.send("/u/"))
		for _, s := range w.servers {
			s.setRuns("r1 r2 r3")
		}
		free := w.servers["e-7"]
		free.setRuns("r1")
		time.Sleep(2 * maxReportAge) // the reports from before are forgotten
		before := free.requestCount()
		for n := range 12 {
			w.handler.headroom.observeReport(time.Now(), free.server, prompts.Report{Slots: 4, Running: 1})
			must.Eq(t, 200, w.send("/s/"))
			must.Eq(t, before+n+1, free.requestCount())
		}
	})
}

// Guards against an urgent prompt that waits at an engine for a slot while another engine has a
// free one: the engine with the fewest pending prompts may have no slot left. Where priorities do not
// differ, the pending prompts decide as before.
func TestUrgentPromptPrefersFreeSlot(t *testing.T) {
	for name, differ := range map[string]bool{"urgent": true, "one priority": false} {
		t.Run(name, func(t *testing.T) {
			withTestCluster(t, rankedRoutes(differ), func(w *testCluster) {
				handle := streamEvents(2, 100*time.Millisecond, 40*time.Millisecond)
				full, free := w.add("e-full", "llm", "a", handle), w.add("e-free", "llm", "b", handle)
				full.setRuns("r1 r2 r3 r4")
				free.setRuns("-r1 r2 r3")
				for range 5 {
					must.Eq(t, 200, w.send("/u/"))
				}
				must.Eq(t, differ, free.requestCount() == 5)
				must.Eq(t, !differ, full.requestCount() == 5)
			})
		})
	}
}

// Guards against a caller that loses an answer it holds a part of: headroom does not apply to it.
func TestResumedStreamIgnoresHeadroom(t *testing.T) {
	withTestCluster(t, rankedRoutes(true), func(w *testCluster) {
		a := w.add("e-a", "llm", "a", streamEvents(5, 100*time.Millisecond, 40*time.Millisecond))
		must.Eq(t, 200, w.send("/u/"))
		a.setRuns("r1 r2 r3")
		got := w.request(http.MethodPost, "/s/1", withHeaders(map[string]string{hTokens: "80", hAfter: "2"}), "prompt")
		must.Eq(t, events(3, 5), got.body)
	})
}

// copyTarget sends a prompt on a route and returns the address that its engine was told to copy the
// run to.
func (w *testCluster) copyTarget(prefix string) string {
	counts := map[string]int{}
	for id, s := range w.servers {
		counts[id] = s.requestCount()
	}
	must.Eq(w.t, 200, w.send(prefix))
	for id, s := range w.servers {
		if s.requestCount() > counts[id] {
			return s.requests()[counts[id]].Header.Get(hCopyTo)
		}
	}
	return ""
}

// Guards against copies of less urgent runs that take the slot or the memory kept for urgent
// prompts, and against the loss of the copies of urgent runs to those of others.
func TestCopiesWhenMemoryIsScarce(t *testing.T) {
	for name, c := range map[string]struct {
		differ       bool
		runs         string
		less, urgent bool // whether a run gets a copy
	}{
		"room":                  {true, "r1 used=300/1000", true, true},
		"slot of the headroom":  {true, "r1 r2 r3 used=300/1000", false, true},
		"no slot":               {true, "r1 r2 r3 r4 used=300/1000", false, false},
		"memory for the urgent": {true, "r1 used=730/1000", false, true},
		"no memory":             {true, "r1 used=800/1000", false, false},
		"one priority":          {false, "r1 r2 r3 r4 used=300/1000", true, true},
	} {
		t.Run(name, func(t *testing.T) {
			withTestCluster(t, rankedRoutes(c.differ), func(w *testCluster) {
				handle := streamEvents(2, 100*time.Millisecond, 40*time.Millisecond)
				w.add("e-a", "llm", "a", handle)
				w.sendLessUrgent()
				must.Eq(t, 200, w.send("/u/"))
				target := w.add("e-b", "llm", "b", handle)
				target.setRuns("-x " + c.runs[3:]) // r1 in prefill: prompts go to the other engine
				must.Eq(t, c.less, w.copyTarget("/s/") != "")
				time.Sleep(2 * maxReportAge)
				must.Eq(t, c.urgent, w.copyTarget("/u/") != "")
			})
		})
	}
}

// Guards against probes of engines that are known to have no room for a copy: a burst would send
// three of them for each run and second. The run without a copy must still show in the metrics.
func TestFullEngineIsNotProbedAgainForCopy(t *testing.T) {
	probes := map[bool]int{}
	for _, differ := range []bool{true, false} {
		withTestCluster(t, rankedRoutes(differ), func(w *testCluster) {
			handle := streamEvents(2, 100*time.Millisecond, 40*time.Millisecond)
			w.add("e-a", "llm", "a", handle)
			full := w.add("e-b", "llm", "b", handle)
			full.setRuns("-x used=900/1000")
			must.Eq(t, "", w.copyTarget("/s/"))
			probes[differ] = full.probeCount()
			declined := testutil.ToFloat64(w.handler.metrics.headroomDenials.WithLabelValues(deniedCopy))
			must.Eq(t, differ, declined == 1)
		})
	}
	must.Eq(t, probes[false]-1, probes[true])
}

// Guards against a run that stays without a copy although there is room again.
func TestRunGetsCopyOnceThereIsRoom(t *testing.T) {
	withTestCluster(t, rankedRoutes(true), func(w *testCluster) {
		handle := streamEvents(100, 100*time.Millisecond, 40*time.Millisecond)
		a, b := w.add("e-a", "llm", "a", handle), w.add("e-b", "llm", "b", handle)
		b.setRuns("-x r1 r2 r3")
		w.background(func() {
			time.Sleep(2 * time.Second)
			targets, _ := a.copyCalls()
			must.Eq(t, 0, len(targets))
			b.setRuns("r1")
		})
		must.Eq(t, 200, w.send("/s/"))
		must.Eq(t, "", a.requests()[0].Header.Get(hCopyTo))
		targets, _ := a.copyCalls()
		must.Greater(t, 0, len(targets))
	})
}

// Guards against copies for runs that are about to end: one that exceeds the mean time of answers
// must not count as one of unknown time.
func TestRunPastMeanTimeIsEnding(t *testing.T) {
	withTestCluster(t, rankedRoutes(true), func(w *testCluster) {
		r := &relay{h: w.handler, in: &inbound{arrived: time.Now().Add(-5 * time.Second)}, service: "llm", rank: 1}
		must.Eq(t, 0, r.copyRule().run.Remaining) // unknown
		w.handler.pressure.recordDuration("llm", 4*time.Second)
		must.Positive(t, r.copyRule().run.Remaining)
		must.Less(t, time.Millisecond, r.copyRule().run.Remaining)
	})
}
