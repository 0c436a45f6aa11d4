package forward

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"math"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/pace"
	"mallowwind.dev/decision/prompts"
	"mallowwind.dev/peer/peerpb"
	"mallowwind.dev/telemetry/event"
)

// threePaces are intervals between events at engines of three speeds.
var threePaces = []time.Duration{50 * time.Millisecond, 30 * time.Millisecond, 19 * time.Millisecond}

// paceRoute is a stream route with a gap target.
func paceRoute() []*routing.Route {
	route := streamRoute()
	route[0].GapTarget = 700 * time.Millisecond
	return route
}

// addEngines adds twelve engines, three to a zone.
func (w *testCluster) addEngines(handle http.HandlerFunc) {
	for n := range 12 {
		w.add(fmt.Sprintf("e-%d", n), "llm", string(rune('a'+n/3)), handle)
	}
}

// pacesOf returns the paces that repeat among the engines of addEngines.
func pacesOf(repeated []time.Duration) map[string]time.Duration {
	paces := map[string]time.Duration{}
	for n := range 12 {
		paces[fmt.Sprintf("e-%d", n)] = repeated[n%len(repeated)]
	}
	return paces
}

// learnPaces has a daemon learn paces for as long as it takes to find engines uneven.
func (w *testCluster) learnPaces(h *Handler, paces map[string]time.Duration) {
	for range 20 {
		for id, interval := range paces {
			h.paces.learn(time.Now(), "llm", w.servers[id].server.Incarnation(), interval)
		}
		time.Sleep(time.Second)
	}
}

// isSlow reports whether an engine of pacesOf(threePaces) is slow.
func isSlow(id string) bool { return pacesOf(threePaces)[id] == threePaces[0] }

// requestsAtSlow returns the number of requests that slow engines were asked to run.
func (w *testCluster) requestsAtSlow() (n int) {
	for id, s := range w.servers {
		if isSlow(id) {
			n += s.requestCount()
		}
	}
	return n
}

// askParts sends twelve prompts of different parts one after the other.
func (w *testCluster) askParts() {
	for n := range 12 {
		part := withHeaders(map[string]string{hPart: fmt.Sprintf("p%d", n), hID: fmt.Sprintf("r%d", n)})
		must.Eq(w.t, events(1, 3), w.request(http.MethodPost, "/s/1", part, "prompt").body)
	}
}

// Guards against prompts at slow engines while faster ones are idle, as by counts alone, whether the
// engine is chosen by the trackers' counts or by the reports of sampled engines. Neither way may
// take more probes of engines than it does without paces.
func TestPromptGoesToEngineThatIsNotSlow(t *testing.T) {
	for _, tracked := range []bool{true, false} {
		t.Run(fmt.Sprint("tracked: ", tracked), func(t *testing.T) {
			withTestCluster(t, paceRoute(), func(w *testCluster) {
				w.addEngines(streamEvents(3, time.Second, 40*time.Millisecond))
				if tracked {
					w.addDaemons(12)
				}
				start := w.probeCount()
				w.askParts()
				probes, paces, before := w.probeCount()-start, map[string]time.Duration{}, map[string]int{}
				byRequests := slices.SortedFunc(maps.Keys(w.servers), func(a, b string) int {
					return w.servers[b].requestCount() - w.servers[a].requestCount()
				})
				for n, id := range byRequests { // the first four, which got most prompts, are slow
					paces[id], before[id] = threePaces[n/4], w.servers[id].requestCount()
				}
				must.Positive(t, before[byRequests[0]])
				w.learnPaces(w.handler, paces)
				start = w.probeCount()
				w.askParts()
				for _, id := range byRequests[:4] {
					must.Eq(t, before[id], w.servers[id].requestCount())
				}
				must.LessEq(t, probes, w.probeCount()-start)
				counted := 0.0
				for _, class := range []pace.Class{pace.Fast, pace.Average} {
					counted += testutil.ToFloat64(w.handler.metrics.pacedPlacements.WithLabelValues(string(class)))
				}
				must.Eq(t, 12, counted)
			})
		})
	}
}

// Guards against a prompt at a slow engine, or behind more prompts, while a fast engine has a short
// queue: all three engines that a daemon samples have work.
func TestShortQueueAtFastEngineBeforeSlowEngine(t *testing.T) {
	withTestCluster(t, paceRoute(), func(w *testCluster) {
		w.addEngines(streamEvents(3, time.Second, 40*time.Millisecond))
		w.learnPaces(w.handler, pacesOf(threePaces))
		rated := func(id string, r prompts.Report) sampledEngine {
			s := w.servers[id].server
			w.handler.paces.rateReport(time.Now(), s, &r)
			return sampledEngine{choice: choice{server: s}, report: r, answered: true}
		}
		r := &relay{h: w.handler, in: &inbound{call: Call{PromptTokens: 8000}}}
		for _, c := range []struct {
			name             string
			slow, usual, any prompts.Report // any is that of the fast engine
			want             string
		}{
			{"idle", prompts.Report{}, prompts.Report{}, prompts.Report{}, "e-2"},
			{"short queue at the fast one", prompts.Report{Running: 1}, prompts.Report{PendingPrompts: 1}, prompts.Report{PendingPrompts: 1}, "e-2"},
			{"short queue before an idle slow one", prompts.Report{}, prompts.Report{PendingPrompts: 2}, prompts.Report{PendingPrompts: 1}, "e-2"},
			{"an idle slow one before a long queue", prompts.Report{}, prompts.Report{PendingPrompts: 2}, prompts.Report{PendingPrompts: 4}, "e-0"},
			{"a queue before a slow one with answers", prompts.Report{Running: 2}, prompts.Report{PendingPrompts: 1}, prompts.Report{PendingPrompts: 4}, "e-1"},
		} {
			t.Run(c.name, func(t *testing.T) {
				best, ok := r.leastLoaded([]sampledEngine{rated("e-0", c.slow), rated("e-1", c.usual), rated("e-2", c.any)})
				must.True(t, ok)
				must.Eq(t, c.want, best.server.ID)
			})
		}
		must.True(t, rated("e-2", prompts.Report{PendingPrompts: 1}).report.CanPrefillNow(8000))
		must.False(t, rated("e-1", prompts.Report{PendingPrompts: 1}).report.CanPrefillNow(8000))
	})
}

// Guards against a copy at a slow engine, where the answer would continue.
func TestCopyIsNotKeptAtSlowEngine(t *testing.T) {
	withTestCluster(t, paceRoute(), func(w *testCluster) {
		w.addEngines(streamEvents(3, time.Second, 40*time.Millisecond))
		w.learnPaces(w.handler, pacesOf(threePaces))
		for n := range 12 {
			server := w.servers[fmt.Sprintf("e-%d", n)].server
			c, ok := w.handler.pool.chooseReplicaEngine(time.Now(), w.feed.View(), server, nil)
			must.True(t, ok)
			must.False(t, isSlow(c.server.ID))
			must.NotEq(t, server.Zone, c.server.Zone)
		}
	})
}

// Guards against a takeover of an answer whose slow engine pauses for 430 ms because it prefills a
// prompt. At engines that are alike, the same pause leads to a takeover as before.
func TestUsualPauseOfSlowEngineIsNoFailure(t *testing.T) {
	for _, uneven := range []bool{true, false} {
		t.Run(fmt.Sprint("uneven: ", uneven), func(t *testing.T) {
			withTestCluster(t, paceRoute(), func(w *testCluster) {
				w.addEngines(func(rw http.ResponseWriter, r *http.Request) {
					if r.Header.Get(hCopyAt) != "" {
						streamEvents(20, 0, 40*time.Millisecond)(rw, r)
						return
					}
					pausing(rw, r, 390*time.Millisecond) // beside the interval of 40 ms
				})
				paces := pacesOf([]time.Duration{30 * time.Millisecond})
				if uneven {
					paces = pacesOf(threePaces)
				}
				w.learnPaces(w.handler, paces)
				for id, s := range w.servers {
					if !isSlow(id) {
						s.setRuns("-one -two -three -four -five -six")
					}
				}
				got := w.request(http.MethodPost, "/s/1", callerHeaders, "prompt")
				must.Eq(t, events(1, 20), got.body)
				must.Positive(t, w.requestsAtSlow())
				must.Eq(t, uneven, w.totalRequests() == 1)
			})
		})
	}
}

// Guards against a change for services whose engines are alike, or of which too few are known: the
// ranking and the silence get the same input as without any paces.
func TestEvenEnginesAreRankedAsBefore(t *testing.T) {
	for name, paces := range map[string]map[string]time.Duration{
		"alike":   pacesOf([]time.Duration{30 * time.Millisecond, 33 * time.Millisecond, 40 * time.Millisecond}),
		"few":     {"e-0": threePaces[0], "e-1": threePaces[1], "e-2": threePaces[2]},
		"unknown": {},
	} {
		t.Run(name, func(t *testing.T) {
			withTestCluster(t, paceRoute(), func(w *testCluster) {
				w.addEngines(streamEvents(3, time.Second, 40*time.Millisecond))
				w.learnPaces(w.handler, paces)
				w.handler.pool.choose(w.feed.View(), "llm", func(l *serverSet) (choice, bool) {
					with := w.handler.pool.engineStates(time.Now(), l, nil)
					known := w.handler.pool.paces
					w.handler.pool.paces = nil
					must.Eq(t, w.handler.pool.engineStates(time.Now(), l, nil), with)
					w.handler.pool.paces = known
					return choice{}, false
				})
				for _, s := range w.servers {
					report := prompts.Report{PendingPrompts: 1}
					w.handler.paces.rateReport(time.Now(), s.server, &report)
					must.Eq(t, prompts.Report{PendingPrompts: 1}, report)
					must.Zero(t, w.handler.paces.usualPause(time.Now(), s.server))
				}
			})
		})
	}
}

// trackerOf returns the daemon that tracks an engine.
func (w *testCluster) trackerOf(all map[string]*Handler, s routing.Server) *Handler {
	vms, hashes := routing.Serving(w.feed.View().VMs)
	return all[vms[prompts.Tracker(xxhash.Sum64String(s.ID), hashes)].ID]
}

// Guards against paces that each daemon has to measure for itself: the interval between the events of
// a stream reaches the tracking daemon of its engine with the next note, and from there the daemons
// that ask it.
func TestPaceIsSharedByTrackingDaemon(t *testing.T) {
	withTestCluster(t, paceRoute(), func(w *testCluster) {
		w.addEngines(streamEvents(60, 100*time.Millisecond, 40*time.Millisecond))
		others, _ := w.addDaemons(12)
		all := map[string]*Handler{"vm-1": w.handler}
		for _, o := range others {
			all[o.opts.Self.ID] = o
		}
		must.Eq(t, events(1, 60), w.request(http.MethodPost, "/s/1", withHeaders(map[string]string{hPart: "p"}), "prompt").body)
		time.Sleep(workTimeout)
		var server routing.Server
		for _, s := range w.servers {
			if s.requestCount() > 0 {
				server = s.server
			}
		}
		must.Eq(t, 40*time.Millisecond, w.trackerOf(all, server).paces.trackedInterval(time.Now(), server.Incarnation()))
		for _, h := range others {
			_, ok := h.workTracker.trackedWork(context.Background(), w.feed.View(), "llm", "p", nil)
			must.True(t, ok)
			must.Eq(t, 40*time.Millisecond, h.paces.services["llm"].learned[server.Incarnation()].interval)
		}
		time.Sleep(2 * learnedPaceTTL)
		must.Zero(t, w.trackerOf(all, server).paces.trackedInterval(time.Now(), server.Incarnation()))
	})
}

// Guards against an engine whose pace stays unknown for as long as its first answer takes: the first
// sample is reported at once if the tracking daemon did not know the pace.
func TestFirstSampleOfUnknownEngineIsReportedAtOnce(t *testing.T) {
	withTestCluster(t, paceRoute(), func(w *testCluster) {
		w.addEngines(streamEvents(200, 100*time.Millisecond, 40*time.Millisecond))
		others, _ := w.addDaemons(12)
		w.background(func() { w.request(http.MethodPost, "/s/1", withHeaders(map[string]string{hPart: "p"}), "prompt") })
		time.Sleep(3 * time.Second) // of eight
		known := 0
		for _, h := range append(others, w.handler) {
			for _, s := range w.servers {
				if h.paces.trackedInterval(time.Now(), s.server.Incarnation()) > 0 {
					known++
				}
			}
		}
		must.Eq(t, 1, known)
		time.Sleep(6 * time.Second)
	})
}

// Guards against a service that becomes uneven, or even again, without a line in the log.
func TestUnevenEnginesAreLoggedOnce(t *testing.T) {
	var out bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&out)
	p, now := newEnginePaces(event.New(logger, "vm-1", "a")), time.Unix(1_000_005, 0)
	for _, repeated := range [][]time.Duration{threePaces, {30 * time.Millisecond}} {
		for range 40 {
			for id, interval := range pacesOf(repeated) {
				p.learn(now, "llm", routing.Incarnation{ID: id}, interval)
			}
			now = now.Add(time.Second)
		}
		must.Eq(t, 1, strings.Count(out.String(), event.EnginesUneven.Name))
		out.Reset()
	}
}

// Guards against a note to the tracking daemon that names an engine's pace in the wrong unit, or that
// repeats an old sample as a new one.
func TestSampleInNote(t *testing.T) {
	p, now, server := newEnginePaces(nil), time.Unix(1_000_005, 0), routing.Server{ID: "e", Service: "llm"}
	note := &peerpb.ServerWork{}
	p.addSample(now, server, note)
	must.Zero(t, note.GetEventUs())
	p.recordSample(now, server, 30*time.Millisecond)
	p.addSample(now.Add(4*time.Second), server, note)
	must.Eq(t, [2]int64{30_000, 4_000}, [2]int64{note.GetEventUs(), note.GetObservedMs()})
}

// Guards against busy engines that are taken for slow ones: while the trackers count prompts at almost
// all engines, the engines are not compared.
func TestSaturatedEnginesStayEven(t *testing.T) {
	for _, busy := range []bool{true, false} {
		p, now, server := newEnginePaces(event.Discard()), time.Unix(1_000_005, 0), routing.Server{ID: "e-0", Service: "llm"}
		for range 20 {
			work := workloads{}
			for id, interval := range pacesOf(threePaces) {
				p.learn(now, "llm", routing.Incarnation{ID: id}, interval)
				if work[routing.Incarnation{ID: id}] = (workload{running: 3}); busy {
					work[routing.Incarnation{ID: id}] = workload{prefilling: 1, running: 3}
				}
			}
			p.recordWork("llm", work)
			now = now.Add(time.Second)
		}
		fleet, _ := p.of(now, server)
		must.Eq(t, !busy, fleet.Uneven)
	}
}

// Guards against a note for every sample of an engine whose tracking daemon did not know the pace.
func TestOnlyFirstSampleIsNews(t *testing.T) {
	p, now, server := newEnginePaces(nil), time.Unix(1_000_005, 0), routing.Server{ID: "e", Service: "llm"}
	must.False(t, p.recordSample(now, server, 30*time.Millisecond)) // no tracking daemon was asked
	now = now.Add(learnedPaceTTL)
	p.learn(now, "llm", server.Incarnation(), 0)
	must.True(t, p.recordSample(now, server, 30*time.Millisecond))
	must.False(t, p.recordSample(now, server, 30*time.Millisecond))
	other := routing.Server{ID: "f", Service: "llm"}
	p.learn(now, "llm", other.Incarnation(), 30*time.Millisecond)
	must.False(t, p.recordSample(now, other, 30*time.Millisecond))
}

// Guards against paces that are lost with their tracking daemons, and against ones that are kept for
// good: they count until they expire, then the engines rank by counts.
func TestPacesOutliveTrackersForABoundedTime(t *testing.T) {
	withTestCluster(t, paceRoute(), func(w *testCluster) {
		w.addEngines(streamEvents(3, 100*time.Millisecond, 10*time.Millisecond))
		_, cut := w.addDaemons(12)
		w.learnPaces(w.handler, pacesOf(threePaces))
		cut.Store(true)
		slow := w.servers["e-0"].server
		must.Eq(t, events(1, 3), w.request(http.MethodPost, "/s/1", callerHeaders, "prompt").body)
		must.Positive(t, w.handler.paces.usualPause(time.Now(), slow))
		time.Sleep(learnedPaceTTL)
		must.Zero(t, w.handler.paces.usualPause(time.Now(), slow))
		fleet, _ := w.handler.paces.of(time.Now(), slow)
		must.False(t, fleet.Uneven)
	})
}

// Guards against a tracker that takes over without knowledge: its 0 does not replace a known pace
// that has not expired. A new incarnation of an engine has no pace.
func TestUnknownPaceDoesNotReplaceKnownOne(t *testing.T) {
	withTestCluster(t, paceRoute(), func(w *testCluster) {
		w.addEngines(streamEvents(3, 100*time.Millisecond, 10*time.Millisecond))
		w.learnPaces(w.handler, pacesOf(threePaces))
		server := w.servers["e-0"].server
		w.handler.paces.learn(time.Now(), "llm", server.Incarnation(), 0)
		_, interval := w.handler.paces.of(time.Now(), server)
		must.Eq(t, threePaces[0], interval)
		server.StartedAtMS++
		fleet, interval := w.handler.paces.of(time.Now(), server)
		must.Eq(t, pace.Unknown, fleet.ClassOf(interval))
	})
}

// Guards against notes and replies of a faulty daemon: values out of range are ignored.
func TestInvalidPacesAreIgnored(t *testing.T) {
	p := newEnginePaces(nil)
	life := routing.Incarnation{ID: "e"}
	now := time.Unix(1_000_005, 0)
	for _, note := range []*peerpb.ServerWork{
		{},
		{EventUs: -1},
		{EventUs: 1},
		{EventUs: math.MaxInt64},
		{EventUs: math.MinInt64},
		{EventUs: 30_000, ObservedMs: -1},
		{EventUs: 30_000, ObservedMs: math.MaxInt64},
		{EventUs: 30_000, ObservedMs: 60_000},
	} {
		p.recordNote(now, life, note)
		must.Zero(t, p.trackedInterval(now, life), must.Sprint(note))
	}
	p.recordNote(now, life, &peerpb.ServerWork{EventUs: 30_000, ObservedMs: 2_000})
	must.Eq(t, 30*time.Millisecond, p.trackedInterval(now, life))
	for _, interval := range []time.Duration{-1, time.Microsecond, time.Hour} {
		p.learn(now, "llm", life, interval)
	}
	must.MapEmpty(t, p.services)
}
