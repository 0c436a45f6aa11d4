package prompts

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestReadOrder(t *testing.T) {
	cases := []struct {
		name    string
		engines []Engine
		want    int
		reason  Reason
	}{
		{"none", nil, -1, ReasonNone},
		{"home before idle elsewhere", []Engine{{}, {Home: true}}, 1, ReasonHome},
		{"idle elsewhere before busy home", []Engine{{Home: true, Reading: 1}, {}}, 1, ReasonSpill},
		{"fewest runs", []Engine{{Home: true, Running: 2}, {Home: true, Copies: 1}}, 1, ReasonHome},
		{"fewest prompts when all read", []Engine{{Reading: 2}, {Reading: 1}}, 1, ReasonBusy},
		{"suspect last", []Engine{{Home: true, Suspect: true}, {Reading: 3}}, 1, ReasonBusy},
		{"suspect when nothing else", []Engine{{Excluded: true}, {Suspect: true}}, 1, ReasonSuspect},
		{"all excluded", []Engine{{Excluded: true}}, -1, ReasonNone},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := Read(c.engines, 7)
			must.Eq(t, Choice{Index: c.want, Reason: c.reason}, got)
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
