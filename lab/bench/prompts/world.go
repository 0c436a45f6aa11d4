package prompts

import (
	"math"
	"math/rand/v2"
	"time"

	decide "mallowwind.dev/decision/prompts"
	"mallowwind.dev/decision/retryafter"
)

// Times of the losses: the engines of one zone die together for lossFor, the
// zones in turn, every other time without a sign.
const (
	zones   = 3
	lossFor = 1200 * time.Millisecond
	// reportEvery is how old an engine's report of itself may be.
	reportEvery = 200 * time.Millisecond
	// copyMissed is how long a daemon takes to see that the engine with a copy has
	// started anew, and to have another copy made.
	copyMissed = 800 * time.Millisecond
	// resetSeen and darkSeen are how long a daemon takes to notice.
	resetSeen = 5 * time.Millisecond
	darkSeen  = 350 * time.Millisecond
	// unreadSeen holds for a dark engine before the first event, found by probes.
	unreadSeen = 700 * time.Millisecond
	// suspicion is how long an engine that failed is a last resort.
	suspicion = 2 * time.Second
	// splitEvents is how many events an engine that reads makes before the run goes
	// on elsewhere: the copy is whole after about 300 ms.
	splitEvents = 8
	// moveTime is what going on from a copy takes beside the next step.
	moveTime = 20 * time.Millisecond
)

// start is the time of day at which trials begin.
var start = time.Unix(1, 0)

// Objectives of the answers.
const (
	firstObjective = 4500 * time.Millisecond
	pauseObjective = 700 * time.Millisecond
	// usualPatience is how long a caller waits for the end of its answer.
	usualPatience = 25 * time.Second
	// usualPrompt is the mean length of a prompt in tokens.
	usualPrompt = 8200
	// tries is how often a caller asks that is told to come back.
	tries = 2
)

// world is one trial in virtual time. Daemons know their own requests only, unless the
// policy has them ask each other.
type world struct {
	d        deployment
	p        policy
	random   *rand.Rand
	load     *rand.Rand // of the requests
	engines  []*engine
	homes    [][]bool // by daemon and engine
	suspect  [][]time.Duration
	reading  [][]int
	running  [][]int
	copies   [][]int
	reports  []decide.Report     // of the engines
	paces    []*decide.Estimator // of the daemons
	crowds   []*retryafter.Streak
	pending  []pending
	requests []*request
	// thrownOut counts runs that an engine without memory took out of its batch.
	thrownOut int
}

// pending is a request that goes on at a time.
type pending struct {
	at   time.Duration
	r    *request
	copy bool // from its copy
	back bool // the caller comes back that was refused
}

func newWorld(d deployment, p policy, seed uint64) *world {
	d = d.withDefaults()
	w := &world{d: d, p: p, random: rand.New(rand.NewPCG(seed, seed))}
	w.load = w.random
	if d.paired {
		w.load = rand.New(rand.NewPCG(seed, ^seed))
	}
	speeds := []float64{1, 1, 1.3}
	for i := range d.engines {
		w.engines = append(w.engines, &engine{
			id: i, zone: i * zones / d.engines, speed: speeds[i%len(speeds)], kind: d.kind, memory: d.memory,
		})
	}
	for n := range d.daemons {
		w.homes = append(w.homes, w.window(n))
		w.suspect = append(w.suspect, make([]time.Duration, d.engines))
		w.reading = append(w.reading, make([]int, d.engines))
		w.running = append(w.running, make([]int, d.engines))
		w.copies = append(w.copies, make([]int, d.engines))
		w.paces = append(w.paces, &decide.Estimator{})
		w.crowds = append(w.crowds, &retryafter.Streak{})
	}
	return w
}

// play runs the trial for a time and lets what runs end.
func (w *world) play(length time.Duration) {
	w.report()
	next := w.gap(0)
	loss := w.d.lossEvery
	for now := time.Duration(0); now < length+20*time.Second; now += time.Millisecond {
		for now >= next && now < length {
			w.arrive(now)
			next += w.gap(now)
		}
		if now%reportEvery == 0 {
			w.giveUp(now)
			w.report()
		}
		turn := int(loss / w.d.lossEvery)
		switch {
		case now == loss && now < length:
			w.lose(now, turn%zones, turn%2 == 0)
		case now == loss+lossFor:
			w.back(turn % zones)
		case now == loss+lossFor+copyMissed:
			w.copyAgain(now)
			loss += w.d.lossEvery
		}
		w.goOn(now)
		for _, e := range w.engines {
			for !e.down && e.next <= now && len(e.reading)+len(e.running) > 0 {
				e.next = e.step(max(e.next, now-time.Millisecond), w)
			}
			if len(e.reading)+len(e.running) == 0 {
				e.next = now
			}
		}
	}
}

func (w *world) gap(now time.Duration) time.Duration {
	return time.Duration(w.load.ExpFloat64() / (w.d.rate * w.d.burst.at(now)) * float64(time.Second))
}

// giveUp ends the requests whose callers wait no more.
func (w *world) giveUp(now time.Duration) {
	for _, r := range w.requests {
		if r.end > 0 || r.over || now-r.arrived < w.d.patience {
			continue
		}
		r.over = true
		if r.at != nil {
			r.at.drop(r)
			w.leave(r)
			r.at = nil
		}
		w.drop(r)
	}
}

func (w *world) arrive(now time.Duration) {
	r := &request{
		daemon: w.load.IntN(w.d.daemons), arrived: now,
		prompt: int(w.d.prompt * math.Exp(0.3*w.load.NormFloat64()-0.045)),
		events: max(20, int(130*math.Exp(0.2*w.load.NormFloat64()-0.02))),
	}
	w.requests = append(w.requests, r)
	w.paces[r.daemon].ObservePrompt(r.prompt)
	w.read(now, r)
}

// refuse reports whether a request that has not run is turned away by its daemon, and
// has its caller come back if it has not before.
func (w *world) refuse(now time.Duration, r *request, e int) bool {
	if !w.p.admits || r.ran {
		return false
	}
	pace := w.paces[r.daemon]
	due := pace.FirstEventBudget(r.prompt, firstObjective, w.d.patience, w.d.patience-(now-r.arrived))
	if pace.Admit(w.reports[e], r.prompt, due) == decide.Admitted {
		return false
	}
	lasted := w.crowds[r.daemon].Extend(start.Add(now))
	if r.refused++; r.refused >= tries {
		r.over = true
		return true
	}
	back := retryafter.AfterOverload(lasted, max(pace.MeanAnswerTime(), firstObjective), w.random.Float64())
	w.pending = append(w.pending, pending{at: now + back, r: r, back: true})
	return true
}

// read sends a prompt to the engine that the policy chooses. An answer that had
// begun goes on after its last event.
func (w *world) read(now time.Duration, r *request) {
	i := w.p.choose(w, w.view(now, r.daemon, true), r)
	e := w.engines[i]
	if w.refuse(now, r, i) {
		return
	}
	r.ran, r.sent = true, now
	if e.down {
		w.suspect[r.daemon][i] = now + suspicion
		w.pending = append(w.pending, pending{at: now + resetSeen, r: r})
		return
	}
	w.enter(r, e, true)
	e.reading = append(e.reading, &run{request: r, unread: r.size(), ready: now + firstWait})
	w.copy(now, r)
}

// copy chooses where the copy of a run lies.
func (w *world) copy(now time.Duration, r *request) {
	if !w.p.copies {
		return
	}
	engines := w.view(now, r.daemon, false)
	engines[r.at.id].Excluded = true
	for i, report := range w.reports {
		engines[i].Excluded = engines[i].Excluded || !report.HasCapacity(r.prompt)
	}
	i := decide.ChooseCopyEngine(engines, string(rune('a'+r.at.zone)), w.random.Uint64())
	if i >= 0 {
		r.copyAt = w.engines[i]
		w.copies[r.daemon][i]++
	}
}

// event records one event; it reports whether the answer is whole.
func (w *world) event(now time.Duration, r *request) bool {
	if r.first == 0 {
		r.first = now
		w.paces[r.daemon].ObservePrefill(r.prompt, now-r.sent)
	} else {
		r.pause = max(r.pause, now-r.last)
	}
	if r.reading {
		w.leave(r)
		w.enter(r, r.at, false)
	}
	r.last = now
	if r.made++; r.made < r.events {
		return w.p.split && r.made == splitEvents && w.split(now, r)
	}
	r.end = now
	w.paces[r.daemon].ObserveAnswerTime(now - r.arrived)
	w.leave(r)
	w.drop(r)
	return true
}

// split moves a run to its copy once the copy is whole.
func (w *world) split(now time.Duration, r *request) bool {
	if r.copyAt == nil || r.copyAt.down {
		return false
	}
	w.leave(r)
	w.move(now, r)
	return true
}
