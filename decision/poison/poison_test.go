package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestWhichEndsCount(t *testing.T) {
	for _, c := range []struct {
		ending Ending
		want   Finding
	}{
		{Ending{}, Counts},
		{Ending{Running: 100 * time.Millisecond}, Counts},
		{Ending{Running: 2 * time.Second}, RanOn},
		{Ending{Unread: true}, NotBegun},
		{Ending{Planned: true}, Planned},
		{Ending{Planned: true, Running: 2 * time.Second}, Planned},
	} {
		must.Eq(t, c.want, c.ending.Judge(), must.Sprint(c.ending))
	}
}

func TestMarkGrowsWithTheServersThatEnded(t *testing.T) {
	var l Ledger[string]
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
		must.Eq(t, c.fresh, l.Ended(now, "x", c.life))
		must.Eq(t, c.want, l.Mark("x"))
	}
	must.True(t, l.Clear("x"))
	must.False(t, l.Clear("x"))
	must.Eq(t, Unmarked, l.Mark("x"))
}

// Requests that are unlucky once each must not push out one that has ended more servers.
func TestFullLedgerKeepsThoseThatEndedMore(t *testing.T) {
	var l Ledger[string]
	now := time.Now()
	l.Ended(now, "worst", "a")
	l.Ended(now, "worst", "b")
	for i := range 3 * MaxRequests {
		l.Ended(now.Add(time.Duration(i)*time.Millisecond), fmt.Sprint(i), "a")
	}
	must.MapLen(t, MaxRequests, l.requests)
	must.Eq(t, Watched, l.Mark("worst"))
}

func TestLongUnchangedCountsBeginAnew(t *testing.T) {
	var l Ledger[string]
	now := time.Now()
	l.Ended(now, "x", "a")
	l.Ended(now, "x", "b")
	l.Ended(now.Add(remembered), "x", "c")
	must.Eq(t, Unmarked, l.Mark("x"))
}

func TestMarksOnlyRise(t *testing.T) {
	var m Marks
	now := time.Now()
	must.True(t, m.Set(now, "x", Watched))
	must.False(t, m.Set(now, "x", Watched))
	must.True(t, m.Set(now, "x", Refused))
	must.False(t, m.Set(now, "x", Watched))
	must.False(t, m.Clear("x"))
	must.Eq(t, []string{"x"}, m.All(now, Refused))
	must.Eq(t, Unmarked, m.Of(now.Add(markedFor), "x"))
	m.Lift("x")
	must.Eq(t, Unmarked, m.Of(now, "x"))
	m.Set(now, "y", Watched)
	must.True(t, m.Clear("y"))
}

func TestFullMarksKeepRefusals(t *testing.T) {
	var m Marks
	now := time.Now()
	for i := range maxMarks {
		m.Set(now.Add(time.Duration(i)), fmt.Sprint(i), Watched)
	}
	must.True(t, m.Set(now, "worst", Refused))
	must.Eq(t, Unmarked, m.Of(now, "0"))
	for i := range maxMarks {
		m.Set(now, fmt.Sprint(i), Refused)
	}
	must.Eq(t, Refused, m.Of(now, "worst"))
	must.False(t, m.Set(now, "late", Refused))
	must.True(t, m.Set(now.Add(markedFor), "late", Refused))
}
