package refill

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// tick is the resolution of the simulation.
const tick = 10 * time.Millisecond

// job is one prompt in the simulation.
type job struct {
	rank      int
	lost      bool // its answer broke off; otherwise it is new
	held      bool
	due       time.Duration // of its first event
	arrivedAt time.Duration
	lookAt    time.Duration
	startedAt time.Duration
	firstAt   time.Duration
	refused   bool
}

// fleet is a set of engines that prefill one prompt after the other.
type fleet struct {
	random    *rand.Rand
	busyUntil []time.Duration
	ordered   bool // lost prompts are ordered by Decide
	losses    Losses
}

// best returns the engine with the shortest queue among a few at random.
func (f *fleet) best() int {
	best := f.random.IntN(len(f.busyUntil))
	for range 2 {
		if i := f.random.IntN(len(f.busyUntil)); f.busyUntil[i] < f.busyUntil[best] {
			best = i
		}
	}
	return best
}

// place starts a job, refuses it, or sets when it looks for room again.
func (f *fleet) place(now time.Duration, j *job) {
	const timeout = 25 * time.Second
	engine := f.best()
	if f.ordered && j.lost {
		p := Prompt{Rank: j.rank, PartHeld: j.held, Slack: j.due - now - prefill, CannotBeInTime: j.due-now < prefill, TimeLeft: timeout - now}
		d := Decide(p, Situation{
			Losses: f.losses.Recent(time.Unix(0, 0).Add(now)), Busy: f.busyUntil[engine] > now,
			Waited: now - j.arrivedAt, Prefill: prefill,
		})
		switch d.Action {
		case Refuse:
			j.refused = true
			return
		case Delay:
			j.lookAt = now + max(d.Delay, tick)
			return
		}
	}
	f.busyUntil[engine] = max(now, f.busyUntil[engine]) + prefill
	j.startedAt, j.firstAt, j.lookAt = now, f.busyUntil[engine], -1
}

// newJobs returns the prompts of a run: new ones at a rate per second for eight seconds, and a
// hundred whose answers break off within 300 ms.
func newJobs(random *rand.Rand, rate float64) []*job {
	const lossAt, lost = 3 * time.Second, 100
	var jobs []*job
	add := func(at time.Duration, change func(*job)) {
		j := &job{rank: 1, arrivedAt: at, lookAt: at, due: at + 4500*time.Millisecond}
		if random.Float64() < 0.1 {
			j.rank, j.due = 0, at+4*time.Second
		}
		change(j)
		jobs = append(jobs, j)
	}
	for at := time.Duration(0); at < 8*time.Second; at += time.Duration(random.ExpFloat64() / rate * float64(time.Second)) {
		add(at, func(*job) {})
	}
	for n := range lost {
		add(lossAt+time.Duration(random.Int64N(int64(300*time.Millisecond))), func(j *job) {
			j.lost, j.held = true, n%3 > 0
			if j.held {
				j.due = j.arrivedAt + 350*time.Millisecond // of the permitted pause, the rest is over
				return
			}
			j.due -= time.Duration(random.Int64N(int64(1500 * time.Millisecond)))
		})
	}
	return jobs
}

// simulate returns all jobs after they were served.
func simulate(seed uint64, engines int, rate float64, ordered bool) []*job {
	jobs := newJobs(rand.New(rand.NewPCG(seed, 1)), rate)
	f := &fleet{random: rand.New(rand.NewPCG(seed, 2)), busyUntil: make([]time.Duration, engines), ordered: ordered}
	slices.SortStableFunc(jobs, func(a, b *job) int { return int(a.arrivedAt - b.arrivedAt) })
	for now := time.Duration(0); now < 25*time.Second; now += tick {
		for _, j := range jobs {
			if j.lookAt < 0 || j.refused || j.lookAt > now {
				continue
			}
			if j.lost && j.startedAt == 0 {
				f.losses.Record(time.Unix(0, 0).Add(j.arrivedAt))
			}
			f.place(now, j)
		}
	}
	return jobs
}

// outcome counts how a group of jobs was served.
type outcome struct {
	total, punctual int
	meanFirst       time.Duration
	longest         time.Duration // from arrival to start
}

func measure(jobs []*job, in func(*job) bool) (o outcome) {
	for _, j := range jobs {
		if !in(j) {
			continue
		}
		o.total++
		if !j.refused && j.firstAt <= j.due {
			o.punctual++
		}
		o.meanFirst += j.firstAt - j.arrivedAt
		o.longest = max(o.longest, j.startedAt-j.arrivedAt)
	}
	o.meanFirst /= time.Duration(max(o.total, 1))
	return o
}

// group is a set of jobs that are measured together.
type group func(*job) bool

// The groups of a run. New jobs are those that arrive after the loss.
func (j *job) isNew() bool          { return !j.lost && j.arrivedAt > 3*time.Second }
func (j *job) isLostUrgent() bool   { return j.lost && !j.held && j.rank == 0 }
func (j *job) isLostOrdinary() bool { return j.lost && !j.held && j.rank > 0 }
func (j *job) isHeld() bool         { return j.held }

// A zone of 36 engines is lost with a hundred answers, of which callers hold two thirds in part,
// while new prompts keep arriving. If all are sent at once, the prompts that have missed the
// permitted pause already delay those that can be in time: urgent ones are late where engines are
// scarce. With the order, more of all that can be in time are, in any state of the fleet, and each
// answer that has begun still starts soon.
func TestLossOfZone(t *testing.T) {
	cases := []struct {
		name    string
		engines int // that are left
		rate    float64
		scarce  bool
	}{
		{"usual load", 108, 46, false},
		{"burst", 108, 110, false},
		{"another zone lost before", 48, 46, true},
		{"saturation", 36, 46, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var atOnce, ordered []*job
			for seed := range uint64(10) {
				atOnce = append(atOnce, simulate(seed, c.engines, c.rate, false)...)
				ordered = append(ordered, simulate(seed, c.engines, c.rate, true)...)
			}
			for name, in := range map[string]group{"new": (*job).isNew, "lost urgent": (*job).isLostUrgent, "lost": (*job).isLostOrdinary} {
				before, after := measure(atOnce, in), measure(ordered, in)
				t.Log(name, before, after)
				must.GreaterEq(t, before.punctual, after.punctual)
			}
			before, after := measure(atOnce, (*job).isLostUrgent), measure(ordered, (*job).isLostUrgent)
			must.Less(t, before.meanFirst, after.meanFirst)
			must.GreaterEq(t, after.total*19/20, after.punctual)
			if c.scarce {
				must.Greater(t, before.punctual, after.punctual)
			}
			must.Less(t, 3*prefill, measure(ordered, (*job).isHeld).longest)
			for _, j := range ordered {
				must.True(t, j.firstAt > 0 || j.refused)
				must.False(t, j.refused && (j.held || !j.lost))
			}
		})
	}
}

// Three seconds after the loss, nothing is held back any more, although all engines are busy.
func TestOrderEndsWithTheLoss(t *testing.T) {
	var l Losses
	lostAt := time.Unix(1000, 0)
	l.Record(lostAt)
	p := Prompt{Rank: 1, Slack: -time.Second, PartHeld: true, TimeLeft: 20 * time.Second}
	at := func(since time.Duration) Action {
		return Decide(p, Situation{Losses: l.Recent(lostAt.Add(since)), Busy: true, Prefill: prefill}).Action
	}
	must.Eq(t, Delay, at(0))
	must.Eq(t, Start, at(lossPeriod))
}
