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
		{"home before idle elsewhere", []Engine{{}, {Home: true}}, false, 1, ReasonHome},
		{"idle elsewhere before busy home", []Engine{{Home: true, Reading: 1}, {}}, false, 1, ReasonSpill},
		{"fewest runs", []Engine{{Home: true, Running: 2}, {Home: true, Copies: 1}}, false, 1, ReasonHome},
		{"fewest prompts when all read", []Engine{{Reading: 2}, {Reading: 1}}, false, 1, ReasonBusy},
		{"suspect last", []Engine{{Home: true, Suspect: true}, {Reading: 3}}, false, 1, ReasonBusy},
		{"suspect when nothing else", []Engine{{Excluded: true}, {Suspect: true}}, false, 1, ReasonSuspect},
		{"all excluded", []Engine{{Excluded: true}}, false, -1, ""},
		{"fewest answers delayed before home", []Engine{{Home: true, Running: 1}, {Copies: 3}}, true, 1, ReasonKnown},
		{"home among equals", []Engine{{Running: 1}, {Home: true, Running: 1, Copies: 2}}, true, 1, ReasonKnown},
		{"no prompt before fewer answers", []Engine{{Reading: 1}, {Running: 4}}, true, 1, ReasonKnown},
		{"suspect last of those known", []Engine{{Suspect: true}, {Reading: 1, Running: 2}}, true, 1, ReasonBusy},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := Read(c.engines, 1, c.known, 7)
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
		{"another zone before home", []Engine{{Zone: "a", Home: true}, {Zone: "b", Copies: 9}}, 1},
		{"same zone when nothing else", []Engine{{Zone: "a"}, {Zone: "b", Suspect: true}}, 0},
		{"not where a prompt is read", []Engine{{Zone: "b", Reading: 1}, {Zone: "c", Copies: 2}}, 1},
		{"home first", []Engine{{Zone: "b"}, {Zone: "c", Home: true, Copies: 1}}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			must.Eq(t, c.want, Copy(c.engines, "a", 3))
		})
	}
}

func TestReadReturnsTheBestInOrder(t *testing.T) {
	engines := []Engine{{Suspect: true}, {Reading: 2}, {Home: true}, {Excluded: true}, {Reading: 1}, {}}
	var order []int
	for _, c := range Read(engines, 4, false, 7) {
		order = append(order, c.Index)
	}
	must.Eq(t, []int{2, 5, 4, 1}, order)
	must.SliceLen(t, 5, Read(engines, 9, false, 7))
}

func TestQuietest(t *testing.T) {
	cases := []struct {
		name    string
		reports []Report
		want    int
	}{
		{"none", nil, -1},
		{"the first of equals", []Report{{Running: 2}, {Running: 2}}, 0},
		{"no prompt being read", []Report{{Unread: 1}, {Running: 9}}, 1},
		{"fewest answers delayed", []Report{{Running: 4}, {Running: 1}, {Unread: 1}}, 1},
		{"room before all else", []Report{{Used: 70000, Memory: 80000}, {Unread: 2, Used: 30000, Memory: 80000}}, 1},
		{"least full of full ones as any", []Report{{Unread: 1, Used: 79000, Memory: 80000}, {Used: 79000, Memory: 80000}}, 1},
		{"fewest prompts ahead", []Report{{Unread: 3}, {Unread: 2, Running: 8}}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { must.Eq(t, c.want, Quietest(c.reports, 8000)) })
	}
}

func TestFits(t *testing.T) {
	must.True(t, Report{}.Fits(8000))
	must.True(t, Report{Used: 52000, Memory: 80000}.Fits(8000))
	must.False(t, Report{Used: 52001, Memory: 80000}.Fits(8000))
	must.False(t, Report{Unread: 1, Memory: 80000}.Free(8000))
}
