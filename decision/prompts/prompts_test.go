package prompts

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"mallowwind.dev/decision/route"
)

func TestPrefillEngineOrder(t *testing.T) {
	cases := []struct {
		name     string
		engines  []Engine
		complete bool
		want     int
		reason   Reason
	}{
		{"none", nil, false, -1, ""},
		{"preferred before idle other", []Engine{{}, {Preferred: true}}, false, 1, ReasonPreferred},
		{"idle other before busy preferred", []Engine{{Preferred: true, Prefilling: 1}, {}}, false, 1, ReasonSpill},
		{"fewest runs", []Engine{{Preferred: true, Running: 2}, {Preferred: true, Copies: 1}}, false, 1, ReasonPreferred},
		{"fewest prompts when all prefill", []Engine{{Prefilling: 2}, {Prefilling: 1}}, false, 1, ReasonBusy},
		{"suspect last", []Engine{{Preferred: true, Suspect: true}, {Prefilling: 3}}, false, 1, ReasonBusy},
		{"suspect when nothing else", []Engine{{Excluded: true}, {Suspect: true}}, false, 1, ReasonSuspect},
		{"all excluded", []Engine{{Excluded: true}}, false, -1, ""},
		{"fewest answers delayed before preferred", []Engine{{Preferred: true, Running: 1}, {Copies: 3}}, true, 1, ReasonKnown},
		{"preferred among equals", []Engine{{Running: 1}, {Preferred: true, Running: 1, Copies: 2}}, true, 1, ReasonKnown},
		{"no prefill before fewer answers", []Engine{{Prefilling: 1}, {Running: 4}}, true, 1, ReasonKnown},
		{"suspect last with complete counts", []Engine{{Suspect: true}, {Prefilling: 1, Running: 2}}, true, 1, ReasonBusy},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := ChoosePrefillEngines(c.engines, 1, c.complete, 7)
			if c.want < 0 {
				must.SliceEmpty(t, got)
				return
			}
			must.Eq(t, []Choice{{Index: c.want, Reason: c.reason}}, got)
		})
	}
}

func TestCopyEngineOrder(t *testing.T) {
	cases := []struct {
		name    string
		engines []Engine
		want    int
	}{
		{"none", nil, -1},
		{"another zone before preferred", []Engine{{Zone: "a", Preferred: true}, {Zone: "b", Copies: 9}}, 1},
		{"same zone when nothing else", []Engine{{Zone: "a"}, {Zone: "b", Suspect: true}}, 0},
		{"not beside a prefill", []Engine{{Zone: "b", Prefilling: 1}, {Zone: "c", Copies: 2}}, 1},
		{"preferred first", []Engine{{Zone: "b"}, {Zone: "c", Preferred: true, Copies: 1}}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			must.Eq(t, c.want, ChooseCopyEngine(c.engines, "a", 3))
		})
	}
}

func TestPrefillEnginesAreSorted(t *testing.T) {
	engines := []Engine{{Suspect: true}, {Prefilling: 2}, {Preferred: true}, {Excluded: true}, {Prefilling: 1}, {}}
	var order []int
	for _, c := range ChoosePrefillEngines(engines, 4, false, 7) {
		order = append(order, c.Index)
	}
	must.Eq(t, []int{2, 5, 4, 1}, order)
	must.SliceLen(t, 5, ChoosePrefillEngines(engines, 9, false, 7))
}

func TestLeastLoaded(t *testing.T) {
	cases := []struct {
		name    string
		reports []Report
		want    int
	}{
		{"none", nil, -1},
		{"the first of equals", []Report{{Running: 2}, {Running: 2}}, 0},
		{"no prefill", []Report{{PendingPrompts: 1}, {Running: 9}}, 1},
		{"fewest answers delayed", []Report{{Running: 4}, {Running: 1}, {PendingPrompts: 1}}, 1},
		{"capacity before all else", []Report{{UsedTokens: 70000, CapacityTokens: 80000}, {PendingPrompts: 2, UsedTokens: 30000, CapacityTokens: 80000}}, 1},
		{"least loaded if all are full", []Report{{PendingPrompts: 1, UsedTokens: 79000, CapacityTokens: 80000}, {UsedTokens: 79000, CapacityTokens: 80000}}, 1},
		{"fewest pending prompts", []Report{{PendingPrompts: 3}, {PendingPrompts: 2, Running: 8}}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { must.Eq(t, c.want, LeastLoaded(c.reports, 8000)) })
	}
}

// rankWithoutPace is the order of engines without paces, as it was before engines had any.
func rankWithoutPace(engines []Engine, complete bool, seed uint64) (order []int) {
	for i, e := range engines {
		if !e.Excluded {
			order = append(order, i)
		}
	}
	flag := func(b bool) int {
		if b {
			return 1
		}
		return 0
	}
	slices.SortFunc(order, func(i, k int) int {
		a, b := engines[i], engines[k]
		delayed := 0
		if complete {
			delayed = cmp.Compare(a.Running, b.Running)
		}
		return cmp.Or(
			flag(a.Suspect)-flag(b.Suspect), cmp.Compare(a.Prefilling, b.Prefilling), delayed,
			flag(b.Preferred)-flag(a.Preferred), cmp.Compare(a.Running+a.Copies, b.Running+b.Copies),
			cmp.Compare(route.Mix(seed+uint64(i)), route.Mix(seed+uint64(k))),
		)
	})
	return order
}

// Guards against another order where engines are not observed to differ in speed. If all of them are
// of average pace, the order is the same too.
func TestOrderIsUnchangedWithoutPaces(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	for seed := range uint64(500) {
		engines := make([]Engine, 12)
		for i := range engines {
			engines[i] = Engine{
				Prefilling: rng.IntN(3), Running: rng.IntN(4), Copies: rng.IntN(3), Preferred: rng.IntN(2) == 0,
				Suspect: rng.IntN(8) == 0, Excluded: rng.IntN(8) == 0,
			}
		}
		for _, pace := range []float64{0, 1} {
			for i := range engines {
				engines[i].Pace = pace
			}
			for _, complete := range []bool{false, true} {
				var order []int
				for _, c := range ChoosePrefillEngines(engines, len(engines), complete, seed) {
					order = append(order, c.Index)
				}
				must.Eq(t, rankWithoutPace(engines, complete, seed), order)
			}
		}
	}
}

// Guards against another choice by reports where engines are not observed to differ in speed.
func TestLeastLoadedIsUnchangedWithoutPaces(t *testing.T) {
	rng := rand.New(rand.NewPCG(4, 4))
	for range 500 {
		reports, best := make([]Report, 6), 0
		for i := range reports {
			reports[i] = Report{PendingPrompts: rng.IntN(3), Running: rng.IntN(4), UsedTokens: 1000 * rng.IntN(80), CapacityTokens: 80000}
		}
		for i, r := range reports {
			b := reports[best]
			if room(r) != room(b) {
				if room(r) {
					best = i
				}
			} else if cmp.Or(cmp.Compare(r.PendingPrompts, b.PendingPrompts), cmp.Compare(r.Running, b.Running)) < 0 {
				best = i
			}
			must.Eq(t, r.PendingPrompts == 0 && room(r), r.CanPrefillNow(8000))
		}
		must.Eq(t, best, LeastLoaded(reports, 8000))
	}
}

func room(r Report) bool { return r.HasCapacity(8000) }

// Guards against prompts at slow engines that wait longer, or delay answers more, than at others.
func TestOrderByPace(t *testing.T) {
	slow, usual, fast := Engine{Pace: 1.67, Slow: true}, Engine{Pace: 1}, Engine{Pace: 0.63}
	with := func(e Engine, prefilling, running int) Engine {
		e.Prefilling, e.Running = prefilling, running
		return e
	}
	untested := Engine{Pace: 1, Untested: true}
	for _, c := range []struct {
		name          string
		first, second Engine
	}{
		{"fast before average", fast, usual},
		{"average before slow", usual, slow},
		{"average before fast with two answers", usual, with(fast, 0, 2)},
		{"fast with an answer before average with one", with(fast, 0, 1), with(usual, 0, 1)},
		{"short queue at a fast one before idle slow", with(fast, 1, 0), slow},
		{"idle slow before a long queue", slow, with(fast, 3, 0)},
		{"queue at an average one before slow with answers", with(usual, 1, 3), with(slow, 0, 1)},
		{"unknown counts as average", untested, slow},
		{"one prompt at a time at an unknown one", with(slow, 1, 1), with(untested, 1, 0)},
		{"suspect last", slow, Engine{Pace: 0.63, Suspect: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(20) {
				got := ChoosePrefillEngines([]Engine{c.second, c.first}, 1, true, seed)
				must.Eq(t, 1, got[0].Index)
			}
		})
	}
}

// Guards against a crowd at an engine of unknown pace where the counts of other daemons are not known.
func TestUntestedEngineGetsOnePromptByReports(t *testing.T) {
	untested, slow := Report{Pace: 1, Untested: true}, Report{Pace: 1.67, Slow: true, PendingPrompts: 1, Running: 2}
	must.Eq(t, 0, LeastLoaded([]Report{untested, slow}, 8000))
	untested.PendingPrompts = 1
	must.Eq(t, 1, LeastLoaded([]Report{untested, slow}, 8000))
	must.False(t, untested.CanPrefillNow(8000))
}

// Guards against a copy at a slow engine, but not at the price of the same zone as the run.
func TestCopyAvoidsSlowEngines(t *testing.T) {
	slow, busy := Engine{Zone: "b", Slow: true}, Engine{Zone: "c", Prefilling: 1}
	must.Eq(t, 1, ChooseCopyEngine([]Engine{slow, busy}, "a", 3))
	must.Eq(t, 0, ChooseCopyEngine([]Engine{slow, busy}, "c", 3))
}

func TestHasCapacity(t *testing.T) {
	must.True(t, Report{}.HasCapacity(8000))
	must.True(t, Report{UsedTokens: 52000, CapacityTokens: 80000}.HasCapacity(8000))
	must.False(t, Report{UsedTokens: 52001, CapacityTokens: 80000}.HasCapacity(8000))
	must.False(t, Report{PendingPrompts: 1, CapacityTokens: 80000}.CanPrefillNow(8000))
}
