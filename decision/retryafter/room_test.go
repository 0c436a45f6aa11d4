package retryafter

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// caller is one caller in the simulation, who returns once.
type caller struct {
	at    time.Duration // of the next attempt
	first time.Duration
	told  time.Duration // Retry-After; 0 before a refusal
	Request
	daemon   int
	served   bool
	gaveUp   bool
	attempts int
}

// arrivalQueue orders callers by their next attempt.
type arrivalQueue []*caller

func (q arrivalQueue) Len() int           { return len(q) }
func (q arrivalQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q arrivalQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *arrivalQueue) Push(x any)        { *q = append(*q, x.(*caller)) }
func (q *arrivalQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// load is what callers send.
type load struct {
	burst      float64 // rate relative to the usual one
	burstAt    time.Duration
	burstEnd   time.Duration
	fewDaemons bool // most callers use a tenth of the daemons
	impatient  bool // half of the callers retry every 200 ms, whatever they are told
}

// service has slots for answers that take six seconds. Less urgent prompts leave some of them to
// urgent ones.
type service struct {
	daemons  int
	slots    int
	headroom int
	usual    float64 // requests per second
}

const (
	answerTime = 6 * time.Second
	patience   = 25 * time.Second
)

func callers(random *rand.Rand, s service, l load) []*caller {
	var list []*caller
	for at := time.Duration(0); at < 90*time.Second; {
		rate := s.usual
		if at >= l.burstAt && at < l.burstEnd {
			rate *= l.burst
		}
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		c := &caller{at: at, first: at, Request: Request{ID: strconv.Itoa(len(list)), Account: "b", Rank: 1, TimeLeft: patience}, daemon: random.IntN(s.daemons)}
		if random.Float64() < 0.1 {
			c.Rank = 0
		}
		if l.fewDaemons && random.Float64() < 0.8 {
			c.daemon = random.IntN(s.daemons / 10)
		}
		list = append(list, c)
	}
	return list
}

// play serves all callers. byRoom says whether refused callers are told what Room forecasts.
func play(seed uint64, s service, l load, byRoom bool) []*caller {
	random := rand.New(rand.NewPCG(seed, 1))
	list := callers(random, s, l)
	q := make(arrivalQueue, 0, len(list))
	for _, c := range list {
		heap.Push(&q, c)
	}
	rooms, streaks := make([]Room, s.daemons), make([]Streak, s.daemons)
	var running []time.Duration // ends of answers, in order
	start := time.Unix(1000, 0)
	for q.Len() > 0 {
		c := heap.Pop(&q).(*caller)
		now := start.Add(c.at)
		for len(running) > 0 && running[0] <= c.at {
			running = running[1:]
		}
		c.attempts++
		room := &rooms[c.daemon]
		room.RecordArrival(now, c.Request)
		free := s.slots - len(running)
		if c.Rank > 0 {
			free -= s.headroom
		}
		if free > 0 {
			c.served = true
			running = append(running, c.at+answerTime)
			room.RecordStart(now, c.Request)
			continue
		}
		lasted, draw := streaks[c.daemon].Extend(now), random.Float64()
		told := AfterOverload(lasted, answerTime, draw)
		if byRoom {
			if f := room.TellReturn(now, c.Request, ExpectedOverload(lasted, answerTime), draw); f.Known {
				told = f.Delay
			}
		}
		switch {
		case l.impatient && int(c.first)%2 == 0 && c.attempts < 20:
			c.at += 200 * time.Millisecond
			heap.Push(&q, c)
		case c.attempts == 1 && told < patience:
			c.told = told
			c.at += told
			if int(c.first)%3 == 0 {
				c.daemon = random.IntN(s.daemons)
			}
			heap.Push(&q, c)
		default:
			c.told = told
			c.gaveUp = true
		}
	}
	return list
}

// result is what the callers of a rank got that were refused at first.
type result struct {
	refused, returned, served int
	meanTold                  time.Duration
	peak                      int // most returns within 250 ms
}

func resultOf(list []*caller, rank int) (r result) {
	returns := map[time.Duration]int{}
	for _, c := range list {
		if c.Rank != rank || c.told == 0 {
			continue
		}
		r.refused++
		r.meanTold += c.told
		if c.told < patience {
			r.returned++
			returns[c.at/(250*time.Millisecond)]++
		}
		if c.served {
			r.served++
		}
	}
	for _, n := range returns {
		r.peak = max(r.peak, n)
	}
	r.meanTold /= time.Duration(max(r.refused, 1))
	return r
}

// Prompts exceed the room of the engines, and each refused caller returns once. If it is told a time
// that depends only on the length of the overload, callers return together and are refused for good.
// With the forecast, fewer are lost and fewer return at the same moment; so they are after a long
// burst, in saturation, if a few daemons get most of the requests, and if half of the callers retry
// at once and often. A daemon that sees too few prompts tells the values of before.
func TestRefusedCallersReturnWhenThereIsRoom(t *testing.T) {
	burst := load{burst: 2.4, burstAt: 40 * time.Second, burstEnd: 46 * time.Second}
	few, impatient := burst, burst
	few.fewDaemons, impatient.impatient = true, true
	cases := []struct {
		name    string
		daemons int
		load    load
	}{
		{"burst", 67, burst},
		{"burst, few daemons", 10, burst},
		{"long burst", 67, load{burst: 3, burstAt: 40 * time.Second, burstEnd: 54 * time.Second}},
		{"saturation", 67, load{burst: 1.6, burstAt: 10 * time.Second, burstEnd: 90 * time.Second}},
		{"few daemons get most requests", 67, few},
		{"half of the callers retry often", 67, impatient},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := service{daemons: c.daemons, slots: 430, headroom: 10, usual: 46}
			var before, after []*caller
			for seed := range uint64(5) {
				before = append(before, play(seed, s, c.load, false)...)
				after = append(after, play(seed, s, c.load, true)...)
			}
			old, now := resultOf(before, 1), resultOf(after, 1)
			t.Log(old, now)
			must.Less(t, old.refused-old.served, now.refused-now.served)
			must.Less(t, old.peak, now.peak)
			must.GreaterEq(t, old.served*100/old.returned, now.served*100/now.returned)
		})
	}
}

// Urgent and less urgent prompts are refused alike, and the engines know no order. The urgent
// callers must be told to return first, but not so soon that they are refused again.
func TestUrgentCallersReturnFirst(t *testing.T) {
	s := service{daemons: 20, slots: 430, usual: 46}
	l := load{burst: 2.4, burstAt: 40 * time.Second, burstEnd: 46 * time.Second}
	var list []*caller
	for seed := range uint64(5) {
		list = append(list, play(seed, s, l, true)...)
	}
	urgent, others := resultOf(list, 0), resultOf(list, 1)
	t.Log(urgent, others)
	must.Positive(t, urgent.refused)
	must.Less(t, others.meanTold/2, urgent.meanTold)
	must.GreaterEq(t, urgent.refused*3/4, urgent.served)
}

// room returns a Room that has seen a prompt start every half second, and twice as many arrive.
func room(now time.Time) *Room {
	r := &Room{}
	for n := range 60 {
		at := now.Add(time.Duration(n-60) * 250 * time.Millisecond)
		r.RecordArrival(at, Request{ID: "n" + strconv.Itoa(n), Account: "b", Rank: 1})
		if n%2 == 0 {
			r.RecordStart(at, Request{ID: "n" + strconv.Itoa(n), Rank: 1})
		}
	}
	return r
}

// A daemon that has just started, or gets hardly any requests, must not make up a rate.
func TestNoForecastWithoutObservations(t *testing.T) {
	now := time.Unix(1000, 0)
	var r Room
	q := Request{ID: "a", TimeLeft: patience}
	must.False(t, r.TellReturn(now, q, time.Second, 0).Known)
	for n := range 3 {
		r.RecordStart(now.Add(time.Duration(n)*time.Millisecond), Request{Rank: 1})
	}
	must.False(t, r.TellReturn(now.Add(time.Second), q, time.Second, 0).Known)
	must.True(t, room(now).TellReturn(now, q, time.Second, 0).Known)
	must.False(t, room(now).TellReturn(now.Add(time.Minute), q, time.Second, 0).Known) // observed too long ago
}

// An account floods a daemon. The first refused caller of another account must be told to return
// after one caller of the flood, not after all of them.
func TestFloodOfOneAccountDoesNotDelayOthers(t *testing.T) {
	now := time.Unix(1000, 0)
	r := room(now)
	for n := range 10 {
		r.TellReturn(now, Request{ID: strconv.Itoa(n), Account: "flood", Rank: 1, TimeLeft: time.Hour}, 0, 0.5)
	}
	must.Eq(t, 1, r.TellReturn(now, Request{ID: "x", Account: "other", Rank: 1, TimeLeft: patience}, 0, 0.5).Ahead)
	must.Eq(t, 0, r.TellReturn(now, Request{ID: "y", Account: "other", Rank: 0, TimeLeft: patience}, 0, 0.5).Ahead)
}

// A caller that retries at once is told the same time again, and is not counted before others.
// Neither is one that is told a longer time than it waits, nor one whose time has passed.
func TestCallersThatDoNotReturnAreNotCounted(t *testing.T) {
	now := time.Unix(1000, 0)
	r := room(now)
	early := Request{ID: "early", Account: "a", Rank: 1, TimeLeft: patience}
	first := r.TellReturn(now, early, 0, 0.5)
	must.Eq(t, 1, r.TellReturn(now, Request{ID: "x", Account: "a", Rank: 1, TimeLeft: time.Millisecond}, 0, 0.5).Ahead)
	again := r.TellReturn(now.Add(100*time.Millisecond), early, 0, 0.9)
	must.Eq(t, first.Delay-100*time.Millisecond, again.Delay)
	must.Eq(t, 0, r.TellReturn(now, Request{ID: "y", Account: "a", Rank: 1, TimeLeft: patience}, 0, 0.5).Ahead)
	late := now.Add(20 * time.Second)
	for n := range 20 {
		r.RecordStart(late.Add(time.Duration(n-20)*500*time.Millisecond), Request{Rank: 1})
	}
	must.Eq(t, 0, r.TellReturn(late, Request{ID: "z", Account: "a", Rank: 1, TimeLeft: patience}, 0, 0.5).Ahead)
}

// Refused callers must not use memory without bound.
func TestPromisesAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	r := room(now)
	for n := range 10 * maxReturns {
		r.TellReturn(now, Request{ID: strconv.Itoa(n), Account: strconv.Itoa(n), TimeLeft: time.Hour}, 0, 0)
	}
	must.SliceLen(t, maxReturns, r.returns)
}

// Guards against callers that count among those told to return after they were served: the others
// would be told longer times.
func TestServedCallerIsNotExpected(t *testing.T) {
	now := time.Unix(1000, 0)
	r := room(now)
	first := Request{ID: "x", Account: "a", Rank: 1, TimeLeft: patience}
	must.Positive(t, r.TellReturn(now, first, 0, 0.5).Delay)
	second := Request{ID: "y", Account: "a", Rank: 1, TimeLeft: patience}
	must.Eq(t, 1, r.forecast(now, second, 0).Ahead)
	r.RecordStart(now, first)
	must.Eq(t, 0, r.forecast(now, second, 0).Ahead)
}
