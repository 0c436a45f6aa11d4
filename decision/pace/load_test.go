package pace

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/decision/prompts"
)

// The simulation: engines decode one event of each answer in decodeTime, or in prefillStretch times
// that while they prefill a prompt, divided by their speed. Prompts arrive at daemons, which know the
// prompts of all others by the trackers and choose among some candidates.
const (
	tick           = 5 * ms
	decodeTime     = 30 * ms
	answerStep     = 1200 * us // more for each answer in the batch: 14 ms for twelve
	prefillTime    = 1200 * ms
	answerEvents   = 130
	candidateCount = 12
	firstEventDue  = 4500 * ms
	pauseDue       = 700 * ms
	slowPhase      = 600 * ms
	slowdown       = 2.5
)

// load is one day of the simulation.
type load struct {
	speeds []float64 // of the engines, in turn
	size   int       // number of engines
	noisy  float64   // share of the time in which an engine runs slowdown times slower
	rate   func(at time.Duration) float64
	last   time.Duration // of the arrivals
	drain  time.Duration // how long the simulation goes on after them
	// speedAt changes the speed of an engine at a time; nil if speeds don't change.
	speedAt func(at time.Duration, e int) float64
	// trackersLost is when all trackers lose their tables.
	trackersLost time.Duration
}

// request is an answer at an engine of the simulation.
type request struct {
	arrived, lastEvent, first, pause time.Duration
	left                             time.Duration // of the prefill, at an engine of speed 1
	events                           int
	meter                            Meter
}

// inTime reports whether the caller was served within the objectives.
func (r *request) inTime() bool {
	return r.events == answerEvents && r.first <= firstEventDue && r.pause <= pauseDue
}

type engine struct {
	speed     float64
	slowUntil time.Duration
	nextEvent time.Duration
	pending   []*request
	running   []*request
}

// fleet is the state of a simulation. byPace enables the decision under test.
type fleet struct {
	load       load
	byPace     bool
	rng        *rand.Rand
	engines    []*engine
	table      Table[int]
	found      Comparison
	saturation Saturation
	uneven     time.Duration // when the engines were last found uneven
	changes    int
	requests   []*request
	at         []int // engine of each request
}

var epoch = time.Unix(1_000_000, 0)

func play(l load, byPace bool, seed uint64) *fleet {
	f := &fleet{load: l, byPace: byPace, rng: rand.New(rand.NewPCG(seed, 1))}
	for e := range l.size {
		f.engines = append(f.engines, &engine{speed: l.speeds[e%len(l.speeds)]})
	}
	for now := time.Duration(0); now < l.last+l.drain; now += tick {
		f.step(now)
	}
	return f
}

func (f *fleet) step(now time.Duration) {
	if f.load.trackersLost > 0 && now == f.load.trackersLost {
		f.table = Table[int]{}
	}
	if now%time.Second == 0 {
		f.assess(now)
	}
	if now < f.load.last && f.rng.Float64() < f.load.rate(now)*tick.Seconds() {
		f.place(now)
	}
	for e, one := range f.engines {
		if f.load.speedAt != nil {
			one.speed = f.load.speedAt(now, e)
		}
		if now >= one.slowUntil && f.rng.Float64() < f.load.noisy*float64(tick)/float64(slowPhase) {
			one.slowUntil = now + slowPhase
		}
		f.advance(now, e)
	}
}

func (f *fleet) assess(now time.Duration) {
	var known []time.Duration
	busy := 0
	for e, one := range f.engines {
		if len(one.pending) > 0 {
			busy++
		}
		if interval := f.table.Interval(epoch.Add(now), e); interval > 0 {
			known = append(known, interval)
		}
	}
	f.saturation.Observe(busy, len(f.engines))
	before := f.found.Uneven
	if f.found = Assess(f.found, epoch.Add(now), known, f.saturation.IsSaturated()); f.found.Uneven != before {
		f.changes++
	}
	if f.found.Uneven {
		f.uneven = now
	}
}

// place chooses an engine for a prompt among some candidates.
func (f *fleet) place(now time.Duration) {
	candidates := f.rng.Perm(f.load.size)[:min(candidateCount, f.load.size)]
	choice := prompts.ChoosePrefillEngines(f.states(now, candidates), 1, true, f.rng.Uint64())[0]
	e := candidates[choice.Index]
	r := &request{arrived: now, left: prefillTime}
	f.requests, f.at = append(f.requests, r), append(f.at, e)
	f.engines[e].pending = append(f.engines[e].pending, r)
}

func (f *fleet) states(now time.Duration, candidates []int) (states []prompts.Engine) {
	for _, e := range candidates {
		state := prompts.Engine{Preferred: true, Prefilling: len(f.engines[e].pending), Running: len(f.engines[e].running)}
		if interval := f.table.Interval(epoch.Add(now), e); f.byPace && f.found.Uneven {
			state.Pace, state.Untested, state.Slow = f.found.Relative(interval), interval == 0, f.found.ClassOf(interval) == Slow
		}
		states = append(states, state)
	}
	return states
}

// advance runs an engine for a tick.
func (f *fleet) advance(now time.Duration, e int) {
	one := f.engines[e]
	speed := one.speed
	if now < one.slowUntil {
		speed /= slowdown
	}
	step := decodeTime + time.Duration(len(one.running))*answerStep
	if len(one.pending) > 0 {
		step += (prefillStretch - 1) * decodeTime
		r := one.pending[0]
		if r.left -= time.Duration(float64(tick) * speed); r.left <= 0 {
			one.pending, one.running = one.pending[1:], append(one.running, r)
		}
	}
	if now < one.nextEvent {
		return
	}
	one.nextEvent = now + time.Duration(float64(step)/speed)
	for _, r := range one.running {
		f.event(now, e, r)
	}
	one.running = slices.DeleteFunc(one.running, func(r *request) bool { return r.events == answerEvents })
}

// event delivers an event of an answer.
func (f *fleet) event(now time.Duration, e int, r *request) {
	if r.events++; r.events == 1 {
		r.first = now - r.arrived
	} else {
		r.pause = max(r.pause, now-r.lastEvent)
	}
	r.lastEvent = now
	if sample, ok := r.meter.Observe(now); ok {
		f.table.Observe(epoch.Add(now), e, sample, 0)
	}
}

// served returns the share of callers served in time of those that arrived in a time.
func (f *fleet) served(from, to time.Duration) float64 {
	all, inTime := 0, 0
	for _, r := range f.requests {
		if r.arrived < from || r.arrived >= to {
			continue
		}
		if all++; r.inTime() {
			inTime++
		}
	}
	return float64(inTime) / float64(max(all, 1))
}

// shareAt returns the share of the prompts of a time that went to engines for which is holds.
func (f *fleet) shareAt(from, to time.Duration, is func(e int) bool) float64 {
	all, there := 0, 0
	for i, r := range f.requests {
		if r.arrived < from || r.arrived >= to {
			continue
		}
		if all++; is(f.at[i]) {
			there++
		}
	}
	return float64(there) / float64(max(all, 1))
}

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

var threeSpeeds = []float64{0.6, 1, 1.6}

// Guards against callers served worse by pace than by counts: at a steady load, in a burst, with
// engines that run slower for a moment, and after their trackers have lost all they knew.
func TestServedByPace(t *testing.T) {
	burst := func(at time.Duration) float64 {
		if at%(20*time.Second) < 6*time.Second {
			return 24
		}
		return 8
	}
	rising := func(at time.Duration) float64 {
		if at > 40*time.Second {
			return 20
		}
		return 10
	}
	for _, c := range []struct {
		name string
		load load
		gain float64 // least rise of the share of callers served in time
	}{
		{"steady", load{speeds: threeSpeeds, size: 30, rate: steady(10), noisy: 0.15}, 0.05},
		{"heavy", load{speeds: threeSpeeds, size: 30, rate: steady(14), noisy: 0.15}, 0.05},
		{"saturated from the start", load{speeds: threeSpeeds, size: 30, rate: steady(20), noisy: 0.15}, 0},
		{"saturated after a while", load{speeds: threeSpeeds, size: 30, rate: rising, noisy: 0.15}, 0.05},
		{"burst", load{speeds: threeSpeeds, size: 30, rate: burst, noisy: 0.15}, 0.05},
		{"trackers lost", load{speeds: threeSpeeds, size: 30, rate: steady(12), noisy: 0.15, trackersLost: 60 * time.Second}, 0.05},
		{"a few slow engines", load{speeds: []float64{1, 0.4, 1}, size: 30, rate: steady(10), noisy: 0.15}, 0.05},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.load.last, c.load.drain = 120*time.Second, 25*time.Second
			var by, without float64
			for seed := range uint64(3) {
				by += play(c.load, true, seed).served(20*time.Second, 120*time.Second) / 3
				without += play(c.load, false, seed).served(20*time.Second, 120*time.Second) / 3
			}
			t.Logf("served in time: by pace %.3f, by counts %.3f", by, without)
			must.GreaterEq(t, without+c.gain, by)
		})
	}
}

// Guards against engines of one kind that are taken for slow ones because they are busy, or because
// they run slower for 600 ms at a time, also when they are saturated: every prompt is placed as if
// no pace had been measured.
func TestAlikeEnginesArePlacedByCounts(t *testing.T) {
	for _, rate := range []float64{4, 12, 18, 20, 22, 26} {
		for seed := range uint64(4) {
			l := load{speeds: []float64{1}, size: 30, rate: steady(rate), noisy: 0.15, last: 60 * time.Second}
			by, without := play(l, true, seed), play(l, false, seed)
			must.Positive(t, by.table.Interval(epoch.Add(60*time.Second), 0))
			must.Zero(t, by.uneven, must.Sprintf("%g prompts per second, seed %d", rate, seed))
			must.Eq(t, without.at, by.at)
		}
	}
}

// Guards against an engine that keeps its old pace: one in three engines becomes slow for a minute.
// The slow engines get fewer prompts than the others once they are recognised, and as many again once
// they have recovered and their paces have expired.
func TestEngineSlowsDownAndRecovers(t *testing.T) {
	const slowFrom, slowTo = 30 * time.Second, 120 * time.Second
	const recovered, last = slowTo + (keptWindows+2)*sampleWindow, 300 * time.Second
	isSlow := func(e int) bool { return e%3 == 0 }
	f := play(load{
		speeds: []float64{1}, size: 30, rate: steady(10), last: last,
		speedAt: func(at time.Duration, e int) float64 {
			if isSlow(e) && at >= slowFrom && at < slowTo {
				return 0.4
			}
			return 1
		},
	}, true, 1)
	must.Between(t, 0.28, f.shareAt(0, slowFrom, isSlow), 0.38)
	must.Less(t, 0.15, f.shareAt(slowFrom+3*sampleWindow, slowTo, isSlow))
	must.Between(t, 0.28, f.shareAt(recovered, last, isSlow), 0.38)
	must.False(t, f.found.Uneven)
	must.Less(t, recovered, f.uneven)
}

// Guards against daemons that all choose the fastest engine: they place a prompt each at the same instant,
// without the reservations of the others.
func TestDaemonsChooseDifferentEnginesAtOnce(t *testing.T) {
	const daemons = 25 // place a prompt within the 20 ms that a query takes, after the loss of a zone
	f := play(load{speeds: threeSpeeds, size: 88, rate: steady(20), last: 60 * time.Second}, true, 1)
	must.True(t, f.found.Uneven)
	for _, one := range f.engines {
		one.pending, one.running = nil, nil
	}
	chosen := map[int]int{}
	now := 60 * time.Second
	for range daemons {
		candidates := f.rng.Perm(len(f.engines))[:candidateCount]
		best := prompts.ChoosePrefillEngines(f.states(now, candidates), 1, true, f.rng.Uint64())[0]
		chosen[candidates[best.Index]]++
		must.NotEq(t, Slow, f.found.ClassOf(f.table.Interval(epoch.Add(now), candidates[best.Index])))
	}
	for e, n := range chosen {
		must.LessEq(t, 4, n, must.Sprintf("engine %d", e))
	}
	must.GreaterEq(t, daemons/2, len(chosen))
}

// Guards against a crowd at an engine that has just returned and whose pace is unknown: it gets one
// prompt at a time until a sample is known.
func TestReturnedEngineGetsOnePromptAtATime(t *testing.T) {
	f := play(load{speeds: threeSpeeds, size: 12, rate: steady(6), last: 60 * time.Second}, true, 1)
	must.True(t, f.found.Uneven)
	returned, now := 1, 60*time.Second
	delete(f.table.engines, returned)
	f.engines[returned].pending, f.engines[returned].running = nil, nil
	for e, one := range f.engines {
		if e != returned {
			one.pending = []*request{{left: prefillTime}, {left: prefillTime}}
		}
	}
	for range 10 {
		f.place(now)
	}
	must.SliceLen(t, 1, f.engines[returned].pending)
}

// Guards against engines that alternate between uneven and even: the slow ones get few prompts, and if
// their paces expired with the samples, all would count as average until they are measured again.
func TestUnevenEnginesStayUneven(t *testing.T) {
	for _, rate := range []float64{2, 6, 12} {
		f := play(load{speeds: threeSpeeds, size: 30, rate: steady(rate), noisy: 0.15, last: 240 * time.Second}, true, 1)
		must.True(t, f.found.Uneven)
		must.LessEq(t, 1, f.changes)
		slow := f.shareAt(60*time.Second, 240*time.Second, func(e int) bool { return e%3 == 0 })
		must.Less(t, 0.15, slow)
		must.Positive(t, slow) // they are measured again
	}
}
