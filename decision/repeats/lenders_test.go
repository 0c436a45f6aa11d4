package repeats

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestNextLender(t *testing.T) {
	now := time.Unix(1000, 0)
	daemons := []string{"a", "b", "c", "d", "e"}
	cases := []struct {
		name    string
		refused []string
		asked   []string
		want    map[string]bool
	}{
		{"any", nil, nil, map[string]bool{"a": true, "b": true, "c": true, "d": true, "e": true}},
		{"not one asked before", nil, []string{"b", "c"}, map[string]bool{"a": true, "d": true, "e": true}},
		{"not one that refused", []string{"a", "b", "c", "d"}, nil, map[string]bool{"e": true}},
		{"nobody after enough questions", nil, []string{"1", "2", "3", "4", "5", "6", "7", "8"}, nil},
		{"nobody left", daemons, nil, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var l PeerSelector
			for _, id := range c.refused {
				l.MarkRefused(now, id)
			}
			seen := map[string]bool{}
			for draw := range uint64(100) {
				if id, ok := l.Next(now, daemons, c.asked, draw); ok {
					seen[id] = true
				}
			}
			must.MapLen(t, len(c.want), seen)
			must.MapContainsKeys(t, seen, keys(c.want))
		})
	}
}

func keys(m map[string]bool) []string {
	var list []string
	for k := range m {
		list = append(list, k)
	}
	return list
}

func TestLenderThatRefusedIsAskedAgainLater(t *testing.T) {
	var l PeerSelector
	now := time.Unix(1000, 0)
	l.MarkRefused(now, "a")
	_, ok := l.Next(now.Add(refusalKept-1), []string{"a"}, nil, 0)
	must.False(t, ok)
	id, ok := l.Next(now.Add(refusalKept), []string{"a"}, nil, 0)
	must.True(t, ok)
	must.Eq(t, "a", id)
}

// fleetOf is daemons that lend to each other.
type fleetOf struct {
	budgets []*Budget
	lenders []*PeerSelector
	ids     []string
	random  *rand.Rand
	lends   bool
}

func newFleetOf(n int, lends bool) *fleetOf {
	f := &fleetOf{random: rand.New(rand.NewPCG(3, 3)), lends: lends}
	for i := range n {
		f.budgets = append(f.budgets, New(rule, time.Unix(990, 0)))
		f.lenders = append(f.lenders, &PeerSelector{})
		f.ids = append(f.ids, strconv.Itoa(i))
	}
	return f
}

func (f *fleetOf) share(i int) Share {
	return Share{Daemons: len(f.budgets), RoundingOffset: float64(i) / float64(len(f.budgets))}
}

// repeat is one daemon's wish to send a request once more.
func (f *fleetOf) repeat(now time.Time, i int) bool {
	if f.budgets[i].TryRetry(now, f.share(i)) {
		return true
	}
	asked := []string{f.ids[i]}
	for f.lends {
		id, ok := f.lenders[i].Next(now, f.ids, asked, f.random.Uint64())
		if !ok {
			return false
		}
		asked = append(asked, id)
		n, _ := strconv.Atoi(id)
		if f.budgets[n].TryRetry(now, f.share(n)) {
			return true
		}
		f.lenders[i].MarkRefused(now, id)
	}
	return false
}

// Engines of a zone die every three seconds, with 80 streams of 73 daemons. Each
// daemon has none, one or several of them. Streams are cut for want of a repeat
// although the fleet has more than enough, because each daemon knows only its own
// part. With lending hardly any is cut, and the fleet stays within its budget.
func TestBrokenStreamsOfAFleetThatLends(t *testing.T) {
	const daemons, perLoss, losses = 73, 80, 10
	play := func(lends bool) (denied, granted int) {
		f := newFleetOf(daemons, lends)
		now := time.Unix(1000, 0)
		var times []time.Time
		for loss := range losses {
			for k := range 108 { // 36 requests a second
				f.budgets[f.random.IntN(daemons)].RecordRequest(now.Add(time.Duration(k) * 3 * time.Second / 108))
			}
			now = now.Add(3 * time.Second)
			for range perLoss {
				switch {
				case f.repeat(now, f.random.IntN(daemons)):
					granted++
					times = append(times, now)
				case loss > 2: // before, the windows are not full
					denied++
				}
			}
		}
		for i, from := range times {
			n := 0
			for _, at := range times[i:] {
				if at.Before(from.Add(rule.Window)) {
					n++
				}
			}
			must.LessEq(t, int(rule.Ratio*360+rule.Slack), n)
		}
		return denied, granted
	}
	alone, _ := play(false)
	lent, granted := play(true)
	must.Greater(t, 80, alone)
	t.Log(alone, lent, granted)
	t.Log(alone, lent, granted)
	t.Log(alone, lent, granted)
	t.Log(alone, lent, granted)
	must.Less(t, 20, lent)
	must.Greater(t, 700, granted)
}
