package watchplan

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a fleet in which too many daemons read the whole store at once, or in which none does.
func TestReadDelay(t *testing.T) {
	alone, few, many := New(fleet(1, 1)), New(fleet(7, 3)), New(fleet(984, 5))
	peerTime := func(vms time.Duration) time.Duration { return minPeerTime + vms*peerTimePerVM }
	for name, c := range map[string]struct {
		plan  *Plan
		start Start
		want  time.Duration
	}{
		"no VM is known":               {New(nil), Start{"vm-0", 1, 1}, 0},
		"the only VM":                  {alone, Start{"vm-0", 1, 1}, 0},
		"a VM of a small fleet":        {few, Start{"vm-3", 1, 1}, 0},
		"a new VM of a small fleet":    {few, Start{"new", 1, 0}, peerTime(7)},
		"a watcher":                    {many, Start{many.Watchers()[0], 1, 1}, 0},
		"a new VM beside a single one": {alone, Start{"new", 1, 0}, peerTime(1)},
		"the first of the others":      {many, Start{"new", 1, 0}, peerTime(984)},
		"the last of the others":       {many, Start{"new", 1, 1}, peerTime(984) + 984*readSpacing},
		"a VM that half answer":        {many, Start{"new", 0.5, 1}, peerTime(984) + 492*readSpacing},
		"a VM that nobody answers":     {many, Start{"new", 0, 1}, peerTime(984)},
	} {
		must.Eq(t, c.want, c.plan.ReadDelay(c.start), must.Sprint(name))
	}
}
