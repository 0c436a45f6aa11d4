package versions

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/rollout"
)

// A long response that turns slow after its first event must count as evidence while it runs, not
// only when it ends. Its reported pace must never exceed the final one.
func TestSlowStreamIsReportedWhileItRuns(t *testing.T) {
	var now time.Duration
	m := New(Options{Clock: func() time.Duration { return now }})
	state := rollout.State{OrderRevision: 1, Baseline: "v1", Target: "v2", Stage: rollout.Canary}
	m.current.Store(&Snapshot{active: true, states: map[string]rollout.State{"llm": state}})
	first := m.StartTrial(routing.Server{ID: "s", Service: "llm", Version: "v2"}, "r", rollout.TimeToFirstEvent)

	now = time.Second
	whole := first.ForKind(rollout.ResponseTime)
	first.Done(rollout.Succeeded)
	pace := whole.ForPace(10)
	now = 3 * time.Second
	must.Eq(t, map[rollout.Kind]time.Duration{rollout.ResponseTime: 3 * time.Second, rollout.EventInterval: 200 * time.Millisecond}, unansweredDurations(m, now))

	now = 4 * time.Second
	pace.Done(rollout.Succeeded)
	must.Eq(t, map[rollout.Kind]time.Duration{rollout.ResponseTime: 4 * time.Second}, unansweredDurations(m, now))
	whole.Done(rollout.Succeeded)
	must.MapEmpty(t, unansweredDurations(m, now))
	samples := m.services["llm"].samples
	must.SliceLen(t, 3, samples)
	must.Eq(t, 300*time.Millisecond, samples[1].Duration)
}

func unansweredDurations(m *Manager, now time.Duration) map[rollout.Kind]time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	got := map[rollout.Kind]time.Duration{}
	for _, s := range m.services["llm"].unansweredSamples(now) {
		got[s.Kind] = s.Duration
	}
	return got
}
