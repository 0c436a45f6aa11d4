package feed

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a daemon that takes its peers' partial replies for more than they say together.
func TestToldStatesWhatIsCertain(t *testing.T) {
	type reply struct{ upTo, known int64 }
	for name, c := range map[string]struct {
		replies   []reply
		last      int64 // revision of the table of the last reply
		continues bool
		complete  int64
	}{
		"one table":                              {[]reply{{20, 50}, {40, 50}}, 50, true, 50},
		"changes meanwhile":                      {[]reply{{20, 50}, {40, 55}}, 60, true, 60},
		"older table between":                    {[]reply{{20, 50}, {40, 45}}, 60, true, 60},
		"older table last":                       {[]reply{{20, 50}, {40, 50}}, 49, false, 49},
		"entries ahead, no change meanwhile":     {[]reply{{20, 50}, {70, 50}}, 50, true, 50},
		"entries ahead, changes meanwhile":       {[]reply{{20, 50}, {70, 50}}, 80, true, 50},
		"entries ahead of two tables":            {[]reply{{70, 50}, {75, 60}}, 80, true, 50},
		"entries ahead, then a table in between": {[]reply{{70, 50}, {75, 80}}, 90, true, 50},
	} {
		var p told
		for _, r := range c.replies {
			p.add(1, r.upTo, r.known)
		}
		must.Eq(t, c.continues, p.continues(1, c.last, c.last, true), must.Sprint(name))
		must.Eq(t, c.complete, p.completeTo(c.last), must.Sprint(name))
	}
	var p told
	p.add(1, 20, 50)
	p.restart() // the entries that were told stay
	p.add(2, 10, 60)
	must.Eq(t, 50, p.lowest)
	p.restart()
	p.add(3, 10, 40) // from a table that is older than those before
	must.True(t, p.continues(3, 40, 40, true))
	must.Eq(t, 40, p.lowest)

	p = told{}
	p.add(1, 20, 50)
	must.True(t, p.continues(1, 40, 45, false))  // entries of before
	must.False(t, p.continues(2, 40, 60, true))  // what the first table held beyond its revision may be missing
	must.False(t, p.continues(1, 60, 45, false)) // what the first reply left out as changed later is missing
}
