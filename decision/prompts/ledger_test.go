package prompts

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/decision/route"
)

func TestLedger(t *testing.T) {
	var l LoadTable[string]
	now := time.Unix(1000, 0)
	at := func(except string) [2]int {
		sum := l.Sum(now, "e", except)
		return [2]int{sum.Prefilling, sum.Running}
	}
	must.Eq(t, [2]int{}, at(""))
	l.Update(now, "e", "a", DaemonLoad{Incarnation: 1, Sequence: 2, Prefilling: 1})
	l.Update(now, "e", "b", DaemonLoad{Incarnation: 7, Sequence: 1, Running: 2})
	must.Eq(t, [2]int{1, 2}, at("c"))
	must.Eq(t, [2]int{0, 2}, at("a"))                                               // who asks knows its own
	l.Update(now, "e", "a", DaemonLoad{Incarnation: 1, Sequence: 1, Prefilling: 9}) // came late
	must.Eq(t, [2]int{1, 2}, at(""))
	l.Update(now, "e", "a", DaemonLoad{Incarnation: 1, Sequence: 3, Running: 1})
	must.Eq(t, [2]int{0, 3}, at(""))
	l.Update(now, "e", "a", DaemonLoad{Incarnation: 2, Sequence: 1}) // the daemon started again
	must.Eq(t, [2]int{0, 2}, at(""))

	// An engine fails the requests of one daemon, which suspects it for two seconds.
	l.Update(now, "e", "c", DaemonLoad{Incarnation: 3, Sequence: 1, SuspectFor: 2 * time.Second})
	must.Eq(t, 1, l.Sum(now, "e", "a").SuspectedBy)
	must.Zero(t, l.Sum(now, "e", "c").SuspectedBy)
	must.Zero(t, l.Sum(now.Add(2*time.Second), "e", "a").SuspectedBy)

	now = now.Add(noteKept) // daemon b died
	must.Eq(t, [2]int{}, at(""))
	now = now.Add(sweepEvery)
	l.Update(now, "f", "a", DaemonLoad{Incarnation: 2, Sequence: 2, Prefilling: 1})
	must.MapLen(t, 1, l.engines)
}

// One keeper is lost: only the engines that it kept have another one.
func TestKeepersStayWhereOneIsLost(t *testing.T) {
	const engines, daemons = 260, 295
	all := make([]uint64, daemons)
	for i := range all {
		all[i] = route.Mix(uint64(i) + 1)
	}
	kept := make([]int, daemons)
	for e := range uint64(engines) {
		was := Tracker(route.Mix(e), all)
		kept[was]++
		now := Tracker(route.Mix(e), all[1:])
		if was != 0 {
			must.Eq(t, all[was], all[1:][now])
		}
	}
	for _, n := range kept {
		must.LessEq(t, 8, n) // nobody keeps many
	}
	must.Eq(t, -1, Tracker(1, nil))
}
