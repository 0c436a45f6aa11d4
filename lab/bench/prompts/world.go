package prompts

import (
	"math"
	"math/rand/v2"
	"time"

	decide "mallowwind.dev/decision/prompts"
	"mallowwind.dev/decision/retryafter"
)

// Timing of the zone losses: the engines of one zone fail together for outageDuration, the zones in
// turn. In every other loss the engines fall silent instead of resetting connections.
const (
	zones          = 3
	outageDuration = 1200 * time.Millisecond
	// reportInterval is the maximum age of an engine's load report.
	reportInterval = 200 * time.Millisecond
	// copyLossDetectionTime is how long a daemon takes to notice that the engine with a copy has
	// restarted and to have another copy made.
	copyLossDetectionTime = 800 * time.Millisecond
	// resetDetectionTime and silentDetectionTime are how long a daemon takes to notice a failed
	// engine that resets its connections or falls silent.
	resetDetectionTime  = 5 * time.Millisecond
	silentDetectionTime = 350 * time.Millisecond
	// silentPrefillDetectionTime is the detection time by probes, for a silent engine that has
	// not sent the first event.
	silentPrefillDetectionTime = 700 * time.Millisecond
	// suspectDuration is how long a daemon uses a failed engine only as a last resort.
	suspectDuration = 2 * time.Second
	// splitEvents is how many events a prefill engine emits before the run moves to its copy,
	// which is complete after about 300 ms.
	splitEvents = 8
	// copyResumeTime is the overhead of resuming from a copy.
	copyResumeTime = 20 * time.Millisecond
)

// startTime is the virtual wall-clock time at which trials begin.
var startTime = time.Unix(1, 0)

// Latency objectives and caller behavior.
const (
	firstEventObjective = 4500 * time.Millisecond
	pauseObjective      = 700 * time.Millisecond
	// defaultCallerTimeout is how long a caller waits for its complete answer.
	defaultCallerTimeout = 25 * time.Second
	// defaultMeanPromptTokens is the mean prompt length of the users' first platform.
	defaultMeanPromptTokens = 8200
	// maxAttempts is how often a caller sends a request that is refused with a retry-after.
	maxAttempts = 2
)

// world is the state of one trial in virtual time. Daemons know only their own requests, unless the
// policy has them poll each other.
type world struct {
	deployment      deployment
	policy          policy
	rng             *rand.Rand
	loadRNG         *rand.Rand // draws the requests
	engines         []*engine
	homeEngines     [][]bool // by daemon and engine, like the next four fields
	suspectUntil    [][]time.Duration
	prefilling      [][]int
	running         [][]int
	copies          [][]int
	reports         []decide.Report     // by engine
	estimators      []*decide.Estimator // by daemon
	overloadStreaks []*retryafter.Streak
	scheduled       []scheduledResume
	requests        []*request
	// preemptions counts runs that engines took out of their batch because memory was full.
	preemptions int
}

// scheduledResume is a request that is sent or resumed at a later time.
type scheduledResume struct {
	at          time.Duration
	request     *request
	fromCopy    bool // resumes from its copy
	callerRetry bool // the caller retries after a refusal
}

func newWorld(d deployment, p policy, seed uint64) *world {
	d = d.withDefaults()
	w := &world{deployment: d, policy: p, rng: rand.New(rand.NewPCG(seed, seed))}
	w.loadRNG = w.rng
	if d.pairedLoad {
		w.loadRNG = rand.New(rand.NewPCG(seed, ^seed))
	}
	speeds := []float64{1, 1, 1.3}
	for i := range d.engines {
		w.engines = append(w.engines, &engine{
			id: i, zone: i * zones / d.engines, slowdown: speeds[i%len(speeds)], kind: d.engineKind, capacityTokens: d.memoryTokens,
		})
	}
	for n := range d.daemons {
		w.homeEngines = append(w.homeEngines, w.chooseHomeEngines(n))
		w.suspectUntil = append(w.suspectUntil, make([]time.Duration, d.engines))
		w.prefilling = append(w.prefilling, make([]int, d.engines))
		w.running = append(w.running, make([]int, d.engines))
		w.copies = append(w.copies, make([]int, d.engines))
		w.estimators = append(w.estimators, &decide.Estimator{})
		w.overloadStreaks = append(w.overloadStreaks, &retryafter.Streak{})
	}
	return w
}

// simulate generates requests for length and runs the trial 20 s longer, for running requests to end.
func (w *world) simulate(length time.Duration) {
	w.refreshReports()
	next := w.nextArrivalGap(0)
	loss := w.deployment.lossInterval
	for now := time.Duration(0); now < length+20*time.Second; now += time.Millisecond {
		for now >= next && now < length {
			w.arrive(now)
			next += w.nextArrivalGap(now)
		}
		if now%reportInterval == 0 {
			w.expireRequests(now)
			w.refreshReports()
		}
		turn := int(loss / w.deployment.lossInterval)
		switch {
		case now == loss && now < length:
			w.failZone(now, turn%zones, turn%2 == 0)
		case now == loss+outageDuration:
			w.restoreZone(turn % zones)
		case now == loss+outageDuration+copyLossDetectionTime:
			w.recreateCopies(now)
			loss += w.deployment.lossInterval
		}
		w.resumeDue(now)
		for _, e := range w.engines {
			for !e.down && e.nextStepAt <= now && len(e.prefilling)+len(e.running) > 0 {
				e.nextStepAt = e.step(max(e.nextStepAt, now-time.Millisecond), w)
			}
			if len(e.prefilling)+len(e.running) == 0 {
				e.nextStepAt = now
			}
		}
	}
}

func (w *world) nextArrivalGap(now time.Duration) time.Duration {
	return time.Duration(w.loadRNG.ExpFloat64() / (w.deployment.requestsPerSecond * w.deployment.burst.factorAt(now)) * float64(time.Second))
}

// expireRequests ends the requests whose callers have timed out.
func (w *world) expireRequests(now time.Duration) {
	for _, r := range w.requests {
		if r.endedAt > 0 || r.abandoned || now-r.arrivedAt < w.deployment.callerTimeout {
			continue
		}
		r.abandoned = true
		if r.engine != nil {
			r.engine.remove(r)
			w.removeLoad(r)
			r.engine = nil
		}
		w.dropCopy(r)
	}
}

func (w *world) arrive(now time.Duration) {
	r := &request{
		daemon: w.loadRNG.IntN(w.deployment.daemons), arrivedAt: now,
		promptTokens: int(w.deployment.meanPromptTokens * math.Exp(0.3*w.loadRNG.NormFloat64()-0.045)),
		events:       max(20, int(130*math.Exp(0.2*w.loadRNG.NormFloat64()-0.02))),
	}
	w.requests = append(w.requests, r)
	w.estimators[r.daemon].ObservePrompt(r.promptTokens)
	w.sendPrompt(now, r)
}

// rejectIfOverloaded applies admission control to a request that has not been sent to an engine yet,
// and reports whether the daemon refuses it. It schedules the caller's retry unless the request was
// refused maxAttempts times.
func (w *world) rejectIfOverloaded(now time.Duration, r *request, e int) bool {
	if !w.policy.hasAdmissionControl || r.wasSent {
		return false
	}
	pace := w.estimators[r.daemon]
	due := pace.FirstEventBudget(r.promptTokens, firstEventObjective, w.deployment.callerTimeout, w.deployment.callerTimeout-(now-r.arrivedAt))
	if pace.Admit(w.reports[e], r.promptTokens, due) == decide.Admitted {
		return false
	}
	lasted := w.overloadStreaks[r.daemon].Extend(startTime.Add(now))
	if r.refusals++; r.refusals >= maxAttempts {
		r.abandoned = true
		return true
	}
	back := retryafter.AfterOverload(lasted, max(pace.MeanAnswerTime(), firstEventObjective), w.rng.Float64())
	w.scheduled = append(w.scheduled, scheduledResume{at: now + back, request: r, callerRetry: true})
	return true
}

// sendPrompt sends a prompt, with the answer so far, to the engine that the policy chooses. An answer
// that has begun continues after its last event.
func (w *world) sendPrompt(now time.Duration, r *request) {
	i := w.policy.choose(w, w.engineView(now, r.daemon, true), r)
	e := w.engines[i]
	if w.rejectIfOverloaded(now, r, i) {
		return
	}
	r.wasSent, r.sentAt = true, now
	if e.down {
		w.suspectUntil[r.daemon][i] = now + suspectDuration
		w.scheduled = append(w.scheduled, scheduledResume{at: now + resetDetectionTime, request: r})
		return
	}
	w.addLoad(r, e, true)
	e.prefilling = append(e.prefilling, &run{request: r, pendingPromptTokens: r.contextTokens(), readyAt: now + prefillDelay})
	w.placeCopy(now, r)
}

// placeCopy chooses the engine that holds the copy of a run.
func (w *world) placeCopy(now time.Duration, r *request) {
	if !w.policy.makesCopies {
		return
	}
	engines := w.engineView(now, r.daemon, false)
	engines[r.engine.id].Excluded = true
	for i, report := range w.reports {
		engines[i].Excluded = engines[i].Excluded || !report.HasCapacity(r.promptTokens)
	}
	i := decide.ChooseCopyEngine(engines, string(rune('a'+r.engine.zone)), w.rng.Uint64())
	if i >= 0 {
		r.copyEngine = w.engines[i]
		w.copies[r.daemon][i]++
	}
}

// recordEvent records one event and reports whether the run leaves the engine: the answer is
// complete or the run moved to its copy.
func (w *world) recordEvent(now time.Duration, r *request) bool {
	if r.firstEventAt == 0 {
		r.firstEventAt = now
		w.estimators[r.daemon].ObservePrefill(r.promptTokens, now-r.sentAt)
	} else {
		r.longestPause = max(r.longestPause, now-r.lastEventAt)
	}
	if r.prefilling {
		w.removeLoad(r)
		w.addLoad(r, r.engine, false)
	}
	r.lastEventAt = now
	if r.emittedEvents++; r.emittedEvents < r.events {
		return w.policy.splitsPrefill && r.emittedEvents == splitEvents && w.moveToCopy(now, r)
	}
	r.endedAt = now
	w.estimators[r.daemon].ObserveAnswerTime(now - r.arrivedAt)
	w.removeLoad(r)
	w.dropCopy(r)
	return true
}

// moveToCopy moves a run to the engine with its copy and reports whether that engine is up.
func (w *world) moveToCopy(now time.Duration, r *request) bool {
	if r.copyEngine == nil || r.copyEngine.down {
		return false
	}
	w.removeLoad(r)
	w.resumeFromCopy(now, r)
	return true
}
