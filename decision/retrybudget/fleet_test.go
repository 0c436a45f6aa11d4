package retrybudget

import (
	"fmt"
	"hash/fnv"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	// simulatedStep is the time between the steps of a simulatedFleet.
	simulatedStep = 200 * time.Millisecond
	// listDelay is how long a change of the list of daemons takes to reach a daemon, and drainTime for
	// how long a daemon goes on after it is told to stop.
	listDelay = 1200 * time.Millisecond
	drainTime = 7600 * time.Millisecond
	// entryLifetime is how long a killed daemon stays listed.
	entryLifetime = 6 * time.Second
)

// simulatedDaemon is one process of a daemon. Times are steps; -1 is never.
type simulatedDaemon struct {
	id                 string
	budget             *Budget
	fleet              *Fleet
	observed           []string
	listedAt, leavesAt int
	unlistedAt, endsAt int
}

// simulatedFleet is a fleet whose daemons retry as often as they may, without any requests.
type simulatedFleet struct {
	start   time.Time
	now     int // step
	daemons []*simulatedDaemon
	retries []int // by step
}

func newSimulatedFleet(size int) *simulatedFleet {
	f := &simulatedFleet{start: time.Unix(1000, 0)}
	for n := range size {
		f.join(n)
	}
	return f
}

func steps(d time.Duration) int { return int(d / simulatedStep) }

func (f *simulatedFleet) at(step int) time.Time {
	return f.start.Add(time.Duration(step) * simulatedStep)
}

// join starts a process of the nth daemon.
func (f *simulatedFleet) join(n int) {
	id := fmt.Sprintf("vm-%d", n)
	f.daemons = append(f.daemons, &simulatedDaemon{
		id: id, budget: New(policy, f.at(f.now)), fleet: NewFleet(id), listedAt: f.now, leavesAt: -1, unlistedAt: -1, endsAt: -1,
	})
}

// process returns the last process of the nth daemon.
func (f *simulatedFleet) process(n int) *simulatedDaemon {
	id := fmt.Sprintf("vm-%d", n)
	for i := len(f.daemons) - 1; ; i-- {
		if f.daemons[i].id == id {
			return f.daemons[i]
		}
	}
}

// terminate tells the nth daemon to stop: it is no longer listed, and goes on for drainTime.
func (f *simulatedFleet) terminate(n int) {
	d := f.process(n)
	d.leavesAt, d.unlistedAt, d.endsAt = f.now, f.now, f.now+steps(drainTime)
	d.fleet.BeginLeaving(f.at(f.now))
}

// kill ends the nth daemon at once; it stays listed for entryLifetime.
func (f *simulatedFleet) kill(n int) {
	d := f.process(n)
	d.unlistedAt, d.endsAt = f.now+steps(entryLifetime), f.now
}

// listed returns the daemons that were listed some steps ago.
func (f *simulatedFleet) listed(ago int) []string {
	var ids []string
	for _, d := range f.daemons {
		if at := f.now - ago; d.listedAt <= max(at, 0) && (d.unlistedAt < 0 || at < d.unlistedAt) {
			ids = append(ids, d.id)
		}
	}
	return ids
}

// run lets time pass. Half of the daemons learn of changes at once, the others after listDelay.
func (f *simulatedFleet) run(duration time.Duration) {
	for range steps(duration) {
		var lists [][]string
		if f.now%steps(time.Second) == 0 {
			lists = [][]string{f.listed(0), f.listed(steps(listDelay))}
		}
		granted := 0
		for n, d := range f.daemons {
			if d.endsAt >= 0 && f.now >= d.endsAt {
				continue
			}
			if lists != nil && (d.observed == nil || !slices.Equal(d.observed, lists[n%2])) {
				d.observed = lists[n%2]
				d.fleet.Observe(f.at(f.now), d.observed)
			}
			for d.budget.TryRetry(f.at(f.now), d.share(f.at(f.now)), false) {
				granted++
			}
		}
		f.retries = append(f.retries, granted)
		f.now++
	}
}

func (d *simulatedDaemon) share(now time.Time) Share {
	share := d.fleet.Share(now, policy.Window)
	if share.Daemons > 1 {
		h := fnv.New64a()
		h.Write([]byte(d.id))
		share.RoundingOffset = float64(h.Sum64()%1000) / 1000
	}
	return share
}

// most returns the most retries within one window.
func (f *simulatedFleet) most() int {
	window, most, sum := steps(policy.Window), 0, 0
	for i, n := range f.retries {
		sum += n
		if i >= window {
			sum -= f.retries[i-window]
		}
		most = max(most, sum)
	}
	return most
}

// last returns the retries of the last window.
func (f *simulatedFleet) last() (sum int) {
	for _, n := range f.retries[len(f.retries)-steps(policy.Window):] {
		sum += n
	}
	return sum
}

// Daemons that leave are no longer listed, but still retry. The parts of the slack of all daemons must not
// add up to more than the slack within any window, and the slack must be used again afterwards.
func TestPartsStayWithinSlackWhateverJoinsAndLeaves(t *testing.T) {
	roll := func(gap time.Duration) func(*simulatedFleet, int) {
		return func(f *simulatedFleet, size int) {
			restarts := map[int]int{} // daemons by the step of their restart
			for step := range steps(time.Duration(size)*gap) + steps(12*time.Second) {
				if n := step / steps(gap); step%steps(gap) == 0 && n < size {
					f.terminate(n)
					restarts[step+steps(drainTime)+steps(time.Second)] = n
				}
				if n, ok := restarts[step]; ok {
					f.join(n)
				}
				f.run(simulatedStep)
			}
		}
	}
	cases := []struct {
		name  string
		trial func(f *simulatedFleet, size int)
	}{
		{"rolling restart", roll(2 * time.Second)},
		{"fast rolling restart", roll(simulatedStep)},
		{"all leave at once and start again", func(f *simulatedFleet, size int) {
			for n := range size {
				f.terminate(n)
			}
			f.run(drainTime)
			for n := range size {
				f.join(n)
			}
		}},
		{"half is killed and starts again, twice", func(f *simulatedFleet, size int) {
			for range 2 {
				for n := range size / 2 {
					f.kill(n)
				}
				f.run(time.Second)
				for n := range size / 2 {
					f.join(n)
				}
				f.run(13 * time.Second)
			}
		}},
		{"all but two leave for good", func(f *simulatedFleet, size int) {
			for n := range size - 2 {
				f.terminate(n)
				f.run(simulatedStep)
			}
		}},
		{"another fleet takes over", func(f *simulatedFleet, size int) {
			for n := range size {
				f.terminate(n)
			}
			f.run(simulatedStep)
			for n := range size {
				f.join(size + n)
			}
		}},
		{"the fleet doubles", func(f *simulatedFleet, size int) {
			for n := range size {
				f.join(size + n)
			}
		}},
	}
	for _, c := range cases {
		for _, size := range []int{3, 7, 61, 300} {
			t.Run(fmt.Sprintf("%s, %d daemons", c.name, size), func(t *testing.T) {
				f := newSimulatedFleet(size)
				f.run(30 * time.Second)
				must.Greater(t, int(0.8*policy.Slack), f.last())
				c.trial(f, size)
				f.run(40 * time.Second)
				must.LessEq(t, int(policy.Slack), f.most())
				must.Greater(t, int(0.8*policy.Slack), f.last())
			})
		}
	}
}

func TestShareOfDaemon(t *testing.T) {
	const second = time.Second
	start := time.Unix(1000, 0)
	window := policy.Window
	cases := []struct {
		name string
		play func(*Fleet)
		at   time.Duration
		want Share
	}{
		{"nothing is known", func(*Fleet) {}, time.Hour, Share{Daemons: 1, WithoutSlack: true}},
		{"alone", func(f *Fleet) { f.Observe(start, nil) }, 15 * second, Share{Daemons: 1}},
		{"just started", func(f *Fleet) { f.Observe(start, []string{"self", "b"}) }, 14 * second, Share{Daemons: 2, WithoutSlack: true}},
		{"not listed itself", func(f *Fleet) { f.Observe(start, []string{"a", "b"}) }, 15 * second, Share{Daemons: 3}},
		{"another left", func(f *Fleet) {
			f.Observe(start, []string{"self", "b", "c"})
			f.Observe(start.Add(20*second), []string{"self", "b"})
		}, 35 * second, Share{Daemons: 3}},
		{"another left long ago", func(f *Fleet) {
			f.Observe(start, []string{"self", "b", "c"})
			f.Observe(start.Add(20*second), []string{"self", "b"})
		}, 36 * second, Share{Daemons: 2}},
		{"another restarted", func(f *Fleet) {
			f.Observe(start, []string{"self", "b"})
			f.Observe(start.Add(20*second), []string{"self"})
			f.Observe(start.Add(25*second), []string{"self", "b"})
		}, 26 * second, Share{Daemons: 2}},
		{"leaves", func(f *Fleet) {
			f.Observe(start, []string{"self", "b"})
			f.BeginLeaving(start.Add(20 * second))
			f.Observe(start.Add(21*second), []string{"b"})
		}, 24 * second, Share{Daemons: 2}},
		{"leaves, and no longer has a part", func(f *Fleet) {
			f.Observe(start, []string{"self", "b"})
			f.BeginLeaving(start.Add(20 * second))
		}, 25 * second, Share{Daemons: 2, WithoutSlack: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := NewFleet("self")
			c.play(f)
			must.Eq(t, c.want, f.Share(start.Add(c.at), window))
		})
	}
}
