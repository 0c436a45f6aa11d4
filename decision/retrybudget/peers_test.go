package retrybudget

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestNextPeer(t *testing.T) {
	now := time.Unix(1000, 0)
	daemons := []string{"a", "b", "c", "d", "e"}
	cases := []struct {
		name    string
		refused []string
		asked   []string
		want    map[string]bool
	}{
		{"any", nil, nil, map[string]bool{"a": true, "b": true, "c": true, "d": true, "e": true}},
		{"not one already asked", nil, []string{"b", "c"}, map[string]bool{"a": true, "d": true, "e": true}},
		{"not one that refused", []string{"a", "b", "c", "d"}, nil, map[string]bool{"e": true}},
		{"none after MaxPeersAsked", nil, []string{"1", "2", "3", "4", "5", "6", "7", "8"}, nil},
		{"none left", daemons, nil, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var s PeerSelector
			for _, id := range c.refused {
				s.MarkRefused(now, id)
			}
			seen := map[string]bool{}
			for draw := range uint64(100) {
				if id, ok := s.Next(now, daemons, c.asked, draw); ok {
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

func TestRefusingPeerIsAskedAgainLater(t *testing.T) {
	var s PeerSelector
	now := time.Unix(1000, 0)
	s.MarkRefused(now, "a")
	_, ok := s.Next(now.Add(refusalBackoff-1), []string{"a"}, nil, 0)
	must.False(t, ok)
	id, ok := s.Next(now.Add(refusalBackoff), []string{"a"}, nil, 0)
	must.True(t, ok)
	must.Eq(t, "a", id)
}

// lendingFleet is a fleet of daemons that lend retries to each other.
type lendingFleet struct {
	budgets   []*Budget
	selectors []*PeerSelector
	ids       []string
	random    *rand.Rand
	borrows   bool
}

func newLendingFleet(n int, borrows bool) *lendingFleet {
	f := &lendingFleet{random: rand.New(rand.NewPCG(3, 3)), borrows: borrows}
	for i := range n {
		f.budgets = append(f.budgets, New(policy, time.Unix(990, 0)))
		f.selectors = append(f.selectors, &PeerSelector{})
		f.ids = append(f.ids, strconv.Itoa(i))
	}
	return f
}

func (f *lendingFleet) share(i int) Share {
	return Share{Daemons: len(f.budgets), RoundingOffset: float64(i) / float64(len(f.budgets))}
}

// tryRetry requests one retry for daemon i, first from its own budget and then from others.
func (f *lendingFleet) tryRetry(now time.Time, i int) bool {
	if f.budgets[i].TryRetry(now, f.share(i), false) {
		return true
	}
	asked := []string{f.ids[i]}
	for f.borrows {
		id, ok := f.selectors[i].Next(now, f.ids, asked, f.random.Uint64())
		if !ok {
			return false
		}
		asked = append(asked, id)
		n, _ := strconv.Atoi(id)
		if f.budgets[n].TryRetry(now, f.share(n), false) {
			return true
		}
		f.selectors[i].MarkRefused(now, id)
	}
	return false
}

// The engines of a zone fail every three seconds, which breaks 80 streams spread at random over 73
// daemons, so a daemon has none, one or several of them. Each daemon knows only its own part of the
// budget, so without lending streams are cut off although the fleet has more than enough retries.
// With lending hardly any stream is cut off, and the fleet stays within its budget.
func TestBorrowingServesBrokenStreams(t *testing.T) {
	const daemons, perLoss, losses = 73, 80, 10
	simulate := func(borrows bool) (denied, granted int) {
		f := newLendingFleet(daemons, borrows)
		now := time.Unix(1000, 0)
		var times []time.Time
		for loss := range losses {
			for k := range 108 { // 36 requests per second
				f.budgets[f.random.IntN(daemons)].RecordRequest(now.Add(time.Duration(k) * 3 * time.Second / 108))
			}
			now = now.Add(3 * time.Second)
			for range perLoss {
				switch {
				case f.tryRetry(now, f.random.IntN(daemons)):
					granted++
					times = append(times, now)
				case loss > 2: // the windows are not full earlier
					denied++
				}
			}
		}
		for i, from := range times {
			n := 0
			for _, at := range times[i:] {
				if at.Before(from.Add(policy.Window)) {
					n++
				}
			}
			must.LessEq(t, int(policy.Ratio*360+policy.Slack), n)
		}
		return denied, granted
	}
	deniedAlone, _ := simulate(false)
	deniedBorrowing, granted := simulate(true)
	must.Greater(t, 80, deniedAlone)
	t.Log(deniedAlone, deniedBorrowing, granted)
	t.Log(deniedAlone, deniedBorrowing, granted)
	t.Log(deniedAlone, deniedBorrowing, granted)
	t.Log(deniedAlone, deniedBorrowing, granted)
	must.Less(t, 20, deniedBorrowing)
	must.Greater(t, 700, granted)
}
