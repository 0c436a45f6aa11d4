package prompts

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/decision/route"
)

func TestLoadTable(t *testing.T) {
	var l LoadTable[string]
	now := time.Unix(1000, 0)
	sum := func(except string) [2]int {
		s := l.Sum(now, "e", except)
		return [2]int{s.Prefilling, s.Running}
	}
	must.Eq(t, [2]int{}, sum(""))
	l.Update(now, "e", "a", DaemonLoad{Incarnation: 1, Sequence: 2, Prefilling: 1})
	l.Update(now, "e", "b", DaemonLoad{Incarnation: 7, Sequence: 1, Running: 2})
	must.Eq(t, [2]int{1, 2}, sum("c"))
	must.Eq(t, [2]int{0, 2}, sum("a"))                                              // without the daemon's own report
	l.Update(now, "e", "a", DaemonLoad{Incarnation: 1, Sequence: 1, Prefilling: 9}) // out of order
	must.Eq(t, [2]int{1, 2}, sum(""))
	l.Update(now, "e", "a", DaemonLoad{Incarnation: 1, Sequence: 3, Running: 1})
	must.Eq(t, [2]int{0, 3}, sum(""))
	l.Update(now, "e", "a", DaemonLoad{Incarnation: 2, Sequence: 1}) // the daemon restarted
	must.Eq(t, [2]int{0, 2}, sum(""))

	// An engine fails the requests of one daemon, which suspects it for two seconds.
	l.Update(now, "e", "c", DaemonLoad{Incarnation: 3, Sequence: 1, SuspectFor: 2 * time.Second})
	must.Eq(t, 1, l.Sum(now, "e", "a").SuspectedBy)
	must.Zero(t, l.Sum(now, "e", "c").SuspectedBy)
	must.Zero(t, l.Sum(now.Add(2*time.Second), "e", "a").SuspectedBy)

	now = now.Add(loadTTL) // daemon b failed
	must.Eq(t, [2]int{}, sum(""))
	now = now.Add(sweepInterval)
	l.Update(now, "f", "a", DaemonLoad{Incarnation: 2, Sequence: 2, Prefilling: 1})
	must.MapLen(t, 1, l.engines)
}

// The loss of a tracker moves only the engines that it tracked.
func TestTrackerLossMovesOnlyItsEngines(t *testing.T) {
	const engines, daemons = 260, 295
	all := make([]uint64, daemons)
	for i := range all {
		all[i] = route.Mix(uint64(i) + 1)
	}
	tracked := make([]int, daemons)
	for e := range uint64(engines) {
		before := Tracker(route.Mix(e), all)
		tracked[before]++
		after := Tracker(route.Mix(e), all[1:])
		if before != 0 {
			must.Eq(t, all[before], all[1:][after])
		}
	}
	for _, n := range tracked {
		must.LessEq(t, 8, n) // engines per tracker
	}
	must.Eq(t, -1, Tracker(1, nil))
}
