package prompts

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/decision/route"
)

func TestLedger(t *testing.T) {
	var l Ledger[string]
	now := time.Unix(1000, 0)
	at := func(except string) [2]int {
		sum := l.At(now, "e", except)
		return [2]int{sum.Reading, sum.Running}
	}
	must.Eq(t, [2]int{}, at(""))
	l.Take(now, "e", "a", Note{Boot: 1, Sequence: 2, Reading: 1})
	l.Take(now, "e", "b", Note{Boot: 7, Sequence: 1, Running: 2})
	must.Eq(t, [2]int{1, 2}, at("c"))
	must.Eq(t, [2]int{0, 2}, at("a"))                             // who asks knows its own
	l.Take(now, "e", "a", Note{Boot: 1, Sequence: 1, Reading: 9}) // came late
	must.Eq(t, [2]int{1, 2}, at(""))
	l.Take(now, "e", "a", Note{Boot: 1, Sequence: 3, Running: 1})
	must.Eq(t, [2]int{0, 3}, at(""))
	l.Take(now, "e", "a", Note{Boot: 2, Sequence: 1}) // the daemon started again
	must.Eq(t, [2]int{0, 2}, at(""))

	// An engine fails the requests of one daemon, which suspects it for two seconds.
	l.Take(now, "e", "c", Note{Boot: 3, Sequence: 1, Suspect: 2 * time.Second})
	must.Eq(t, 1, l.At(now, "e", "a").Suspects)
	must.Zero(t, l.At(now, "e", "c").Suspects)
	must.Zero(t, l.At(now.Add(2*time.Second), "e", "a").Suspects)

	now = now.Add(noteKept) // daemon b died
	must.Eq(t, [2]int{}, at(""))
	now = now.Add(sweepEvery)
	l.Take(now, "f", "a", Note{Boot: 2, Sequence: 2, Reading: 1})
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
		was := Keeper(route.Mix(e), all)
		kept[was]++
		now := Keeper(route.Mix(e), all[1:])
		if was != 0 {
			must.Eq(t, all[was], all[1:][now])
		}
	}
	for _, n := range kept {
		must.LessEq(t, 8, n) // nobody keeps many
	}
	must.Eq(t, -1, Keeper(1, nil))
}
