package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestWhichEndsCount(t *testing.T) {
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
	} {
		must.Eq(t, c.want, c.ending.Attribute(), must.Sprint(c.ending))
	}
}

func TestMarkGrowsWithTheServersThatEnded(t *testing.T) {
	var l CrashCounter[string]
	now := time.Now()
	for _, c := range []struct {
		life  string
		fresh bool
		want  Mark
	}{
		{"a", true, Unmarked},
		{"a", false, Unmarked}, // under a second attempt at the same server
		{"b", true, Watched},
		{"c", true, Refused},
		{"d", true, Refused},
	} {
		must.Eq(t, c.fresh, l.Record(now, "x", c.life))
		must.Eq(t, c.want, l.Mark("x"))
	}
	must.True(t, l.Clear("x"))
	must.False(t, l.Clear("x"))
	must.Eq(t, Unmarked, l.Mark("x"))
}

// Requests that are unlucky once each must not push out one that has ended more servers.
func TestFullLedgerKeepsThoseThatEndedMore(t *testing.T) {
	var l CrashCounter[string]
	now := time.Now()
	l.Record(now, "worst", "a")
	l.Record(now, "worst", "b")
	for i := range 3 * MaxTrackedRequests {
		l.Record(now.Add(time.Duration(i)*time.Millisecond), fmt.Sprint(i), "a")
	}
	must.MapLen(t, MaxTrackedRequests, l.requests)
	must.Eq(t, Watched, l.Mark("worst"))
}

func TestLongUnchangedCountsBeginAnew(t *testing.T) {
	var l CrashCounter[string]
	now := time.Now()
	l.Record(now, "x", "a")
	l.Record(now, "x", "b")
	l.Record(now.Add(remembered), "x", "c")
	must.Eq(t, Unmarked, l.Mark("x"))
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
	must.Eq(t, Unmarked, m.Get(now.Add(markedFor), "x"))
	m.Delete("x")
	must.Eq(t, Unmarked, m.Get(now, "x"))
	m.Raise(now, "y", Watched)
	must.True(t, m.ClearWatched("y"))
}

func TestFullMarksKeepRefusals(t *testing.T) {
	var m Marks
	now := time.Now()
	for i := range maxMarks {
		m.Raise(now.Add(time.Duration(i)), fmt.Sprint(i), Watched)
	}
	must.True(t, m.Raise(now, "worst", Refused))
	must.Eq(t, Unmarked, m.Get(now, "0"))
	for i := range maxMarks {
		m.Raise(now, fmt.Sprint(i), Refused)
	}
	must.Eq(t, Refused, m.Get(now, "worst"))
	must.False(t, m.Raise(now, "late", Refused))
	must.True(t, m.Raise(now.Add(markedFor), "late", Refused))
}
