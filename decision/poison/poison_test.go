package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestAttribute(t *testing.T) {
	for _, c := range []struct {
		ending Termination
		want   Attribution
	}{
		{Termination{}, Attributed},
		{Termination{Streamed: 100 * time.Millisecond}, Attributed},
		{Termination{Streamed: 2 * time.Second}, KeptRunning},
		{Termination{PromptUnread: true}, NotStarted},
		{Termination{Planned: true}, Planned},
		{Termination{Planned: true, Streamed: 2 * time.Second}, Planned},
		{Termination{DownBefore: true}, NotStarted},
		{Termination{PeersChecked: 3, PeersDown: 2}, ZoneFailure},
		{Termination{PeersChecked: 2, PeersDown: 1, OthersChecked: 3, OthersDown: 3}, Attributed},
		{Termination{OthersChecked: 2, OthersDown: 2}, ServiceFailure},
		{Termination{PeersChecked: 1, PeersDown: 1, OthersChecked: 1, OthersDown: 1}, ServiceFailure},
		{Termination{OthersChecked: 2, OthersDown: 1}, Attributed},
		{Termination{OthersChecked: 2, OthersDown: 2, OthersDownBefore: 1}, Attributed},
	} {
		must.Eq(t, c.want, c.ending.Attribute(), must.Sprint(c.ending))
	}
}

func TestMarkRisesWithCrashes(t *testing.T) {
	var counter CrashCounter[string]
	now := time.Now()
	for _, c := range []struct {
		life  string
		fresh bool
		want  Mark
	}{
		{"a", true, Unmarked},
		{"a", false, Unmarked}, // second attempt at the same server
		{"b", true, Watched},
		{"c", true, Refused},
		{"d", true, Refused},
	} {
		must.Eq(t, c.fresh, counter.Record(now, "x", c.life))
		must.Eq(t, c.want, counter.Mark("x"))
	}
	must.True(t, counter.Clear("x"))
	must.False(t, counter.Clear("x"))
	must.Eq(t, Unmarked, counter.Mark("x"))
}

// Requests with one unrelated termination each must not evict a request with more of them.
func TestFullCounterKeepsRequestsWithMoreCrashes(t *testing.T) {
	var counter CrashCounter[string]
	now := time.Now()
	counter.Record(now, "worst", "a")
	counter.Record(now, "worst", "b")
	for i := range 3 * MaxTrackedRequests {
		counter.Record(now.Add(time.Duration(i)*time.Millisecond), fmt.Sprint(i), "a")
	}
	must.MapLen(t, MaxTrackedRequests, counter.requests)
	must.Eq(t, Watched, counter.Mark("worst"))
}

func TestCountsExpire(t *testing.T) {
	var counter CrashCounter[string]
	now := time.Now()
	counter.Record(now, "x", "a")
	counter.Record(now, "x", "b")
	counter.Record(now.Add(retention), "x", "c")
	must.Eq(t, Unmarked, counter.Mark("x"))
}

func TestMarksOnlyRise(t *testing.T) {
	var m Marks
	now := time.Now()
	must.True(t, m.Raise(now, "x", Watched))
	must.False(t, m.Raise(now, "x", Watched))
	must.True(t, m.Raise(now, "x", Refused))
	must.False(t, m.Raise(now, "x", Watched))
	must.False(t, m.ClearWatched("x"))
	must.Eq(t, []string{"x"}, m.DigestsWith(now, Refused))
	must.Eq(t, Unmarked, m.Get(now.Add(markTTL), "x"))
	m.Delete("x")
	must.Eq(t, Unmarked, m.Get(now, "x"))
	m.Raise(now, "y", Watched)
	must.True(t, m.ClearWatched("y"))
}

func TestFullMarksKeepRefusals(t *testing.T) {
	var m Marks
	now := time.Now()
	for i := range maxMarkedRequests {
		m.Raise(now.Add(time.Duration(i)), fmt.Sprint(i), Watched)
	}
	must.True(t, m.Raise(now, "worst", Refused))
	must.Eq(t, Unmarked, m.Get(now, "0"))
	for i := range maxMarkedRequests {
		m.Raise(now, fmt.Sprint(i), Refused)
	}
	must.Eq(t, Refused, m.Get(now, "worst"))
	must.False(t, m.Raise(now, "late", Refused))
	must.True(t, m.Raise(now.Add(markTTL), "late", Refused))
}
