package prompts

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestReadOrder(t *testing.T) {
	cases := []struct {
		name    string
		engines []Engine
		known   bool
		want    int
		reason  Reason
	}{
		{"none", nil, false, -1, ""},
		{"home before idle elsewhere", []Engine{{}, {Preferred: true}}, false, 1, ReasonHome},
		{"idle elsewhere before busy home", []Engine{{Preferred: true, Prefilling: 1}, {}}, false, 1, ReasonSpill},
		{"fewest runs", []Engine{{Preferred: true, Running: 2}, {Preferred: true, Copies: 1}}, false, 1, ReasonHome},
		{"fewest prompts when all read", []Engine{{Prefilling: 2}, {Prefilling: 1}}, false, 1, ReasonBusy},
		{"suspect last", []Engine{{Preferred: true, Suspect: true}, {Prefilling: 3}}, false, 1, ReasonBusy},
		{"suspect when nothing else", []Engine{{Excluded: true}, {Suspect: true}}, false, 1, ReasonSuspect},
		{"all excluded", []Engine{{Excluded: true}}, false, -1, ""},
		{"fewest answers delayed before home", []Engine{{Preferred: true, Running: 1}, {Copies: 3}}, true, 1, ReasonKnown},
		{"home among equals", []Engine{{Running: 1}, {Preferred: true, Running: 1, Copies: 2}}, true, 1, ReasonKnown},
		{"no prompt before fewer answers", []Engine{{Prefilling: 1}, {Running: 4}}, true, 1, ReasonKnown},
		{"suspect last of those known", []Engine{{Suspect: true}, {Prefilling: 1, Running: 2}}, true, 1, ReasonBusy},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := ChoosePrefillEngines(c.engines, 1, c.known, 7)
			if c.want < 0 {
				must.SliceEmpty(t, got)
				return
			}
			must.Eq(t, []Choice{{Index: c.want, Reason: c.reason}}, got)
		})
	}
}

func TestCopyOrder(t *testing.T) {
	cases := []struct {
		name    string
		engines []Engine
		want    int
	}{
		{"none", nil, -1},
		{"another zone before home", []Engine{{Zone: "a", Preferred: true}, {Zone: "b", Copies: 9}}, 1},
		{"same zone when nothing else", []Engine{{Zone: "a"}, {Zone: "b", Suspect: true}}, 0},
		{"not where a prompt is read", []Engine{{Zone: "b", Prefilling: 1}, {Zone: "c", Copies: 2}}, 1},
		{"home first", []Engine{{Zone: "b"}, {Zone: "c", Preferred: true, Copies: 1}}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			must.Eq(t, c.want, ChooseCopyEngine(c.engines, "a", 3))
		})
	}
}

func TestReadReturnsTheBestInOrder(t *testing.T) {
	engines := []Engine{{Suspect: true}, {Prefilling: 2}, {Preferred: true}, {Excluded: true}, {Prefilling: 1}, {}}
	var order []int
	for _, c := range ChoosePrefillEngines(engines, 4, false, 7) {
		order = append(order, c.Index)
	}
	must.Eq(t, []int{2, 5, 4, 1}, order)
	must.SliceLen(t, 5, ChoosePrefillEngines(engines, 9, false, 7))
}

func TestQuietest(t *testing.T) {
	cases := []struct {
		name    string
		reports []Report
		want    int
	}{
		{"none", nil, -1},
		{"the first of equals", []Report{{Running: 2}, {Running: 2}}, 0},
		{"no prompt being read", []Report{{PendingPrompts: 1}, {Running: 9}}, 1},
		{"fewest answers delayed", []Report{{Running: 4}, {Running: 1}, {PendingPrompts: 1}}, 1},
		{"room before all else", []Report{{UsedTokens: 70000, CapacityTokens: 80000}, {PendingPrompts: 2, UsedTokens: 30000, CapacityTokens: 80000}}, 1},
		{"least full of full ones as any", []Report{{PendingPrompts: 1, UsedTokens: 79000, CapacityTokens: 80000}, {UsedTokens: 79000, CapacityTokens: 80000}}, 1},
		{"fewest prompts ahead", []Report{{PendingPrompts: 3}, {PendingPrompts: 2, Running: 8}}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { must.Eq(t, c.want, LeastLoaded(c.reports, 8000)) })
	}
}

func TestFits(t *testing.T) {
	must.True(t, Report{}.HasCapacity(8000))
	must.True(t, Report{UsedTokens: 52000, CapacityTokens: 80000}.HasCapacity(8000))
	must.False(t, Report{UsedTokens: 52001, CapacityTokens: 80000}.HasCapacity(8000))
	must.False(t, Report{PendingPrompts: 1, CapacityTokens: 80000}.CanPrefillNow(8000))
}
