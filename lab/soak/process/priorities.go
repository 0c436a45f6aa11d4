package process

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	// The account with its own priority, which is between those of the routes.
	priorityAccount, accountPriority = "account-2", 1
	// A burst of less urgent requests comes from burstCallers callers and lasts at least minBurst.
	burstCallers = 18
	minBurst     = 1500 * time.Millisecond
	maxBurst     = 3 * time.Second
	// firstBurstCaller is above the numbers of all other callers.
	firstBurstCaller = 2000
	// slowdownFactor and the durations of a temporary slowdown of an engine.
	slowdownFactor = 2.5
	minSlowdown    = 600 * time.Millisecond
	maxSlowdown    = 2 * time.Second
	// maxConnectionRace is the time within which a daemon that stops may close a connection without a
	// response, because it had not read the request yet.
	maxConnectionRace = 500 * time.Millisecond
	// progressLimit is the time within which each caller must be served, also on a busy machine.
	progressLimit = time.Minute
	// progressCallers is the number of callers of each kind that must be served.
	progressCallers = 6
)

// routePriorities are the priorities of the routes of each kind.
var routePriorities = [callKindCount]int{callLessUrgent: 2}

// engineSpeeds are the speeds of engines relative to the usual one. Each occurs in two zones.
var engineSpeeds = []float64{0.6, 1, 1.6}

// priorityFaults are the faults of scenarios with priorities.
var priorityFaults = append(
	slices.Repeat([]fault{{"burst of less urgent requests", true, (*harness).sendBurst}, {"engine slowed down", true, (*harness).slowDownEngine}}, 4),
	fault{"settings reloaded", true, (*harness).reloadSettings},
	fault{"engine replaced", true, (*harness).drainServer},
	fault{"engine restarts under the same ID", false, (*harness).restartServer},
	fault{"engine restarts under the same ID", false, (*harness).restartServer},
	fault{"engine crashes", false, (*harness).crashServer},
	fault{"engine crashes", false, (*harness).crashServer},
	fault{"key removed while the store refuses calls", false, (*harness).removeKeyInOutage},
	fault{"daemon paused", false, (*harness).pauseDaemon},
	fault{"store refuses calls", false, (*harness).refuseStoreCalls},
)

// burstDisturbances occur in the middle of a burst, while requests wait.
var burstDisturbances = []fault{
	{"daemon stopped", true, (*harness).restartRandomDaemon},
	{"key removed", true, (*harness).removeKey},
	{"daemon killed", false, (*harness).killDaemon},
}

// hasPriorities reports whether two stream routes of one service differ in priority and engines have
// limited capacity.
func (s Scenario) hasPriorities() bool { return s.hasUnequalEngines() || s.hasSilentServers() }

// hasUnequalEngines reports whether engines differ in speed and a prefill slows their events down.
func (s Scenario) hasUnequalEngines() bool { return s == PriorityBursts || s == PriorityFaults }

// engineLimits returns the capacity of an engine. Where it is limited, memory is scarcer than slots if
// prompts are long.
func (s Scenario) engineLimits() engineLimits {
	if s.hasPriorities() {
		return engineLimits{slots: 4, tokens: 5000}
	}
	return engineLimits{slots: 32}
}

// engineSpeed returns the speed of an engine by its number.
func (s Scenario) engineSpeed(n int) float64 {
	if s.hasUnequalEngines() {
		return engineSpeeds[n*len(engineSpeeds)/engineCount]
	}
	return 1
}

// objective returns the latency objective of a route.
func (s Scenario) objective(kind callKind) time.Duration {
	switch {
	case !s.hasPriorities() || !kind.isStream():
		return 200 * time.Millisecond
	case kind == callLessUrgent:
		return 3 * time.Second
	}
	return 1500 * time.Millisecond
}

// callerKinds returns the kinds of requests that a caller sends. With priorities, one caller in three
// is urgent.
func (s Scenario) callerKinds(caller int) []callKind {
	switch {
	case !s.hasPriorities(), s.hasSilentServers() && caller%3 == 0:
		return baseKinds
	case caller%3 == 0:
		return []callKind{callResumable}
	}
	return []callKind{callLessUrgent}
}

// promptTokens returns the length of a prompt: the usual length, or up to 1.75 times as many tokens.
func (s Scenario) promptTokens(sent int) int {
	if s.hasPriorities() {
		return usualPromptTokens * (4 + sent%4) / 4
	}
	return usualPromptTokens
}

// expectedRank returns the rank of a stream among those of its service. The priority of the account
// takes precedence over that of the route.
func expectedRank(sent sentRequest) int {
	hasOwn, lessUrgent := sent.account == priorityAccount, sent.kind == callLessUrgent
	switch {
	case !hasOwn && !lessUrgent:
		return 0
	case hasOwn && !lessUrgent:
		return 1
	case hasOwn:
		return 2
	}
	return 3
}

// sendBurst sends less urgent requests from many callers for a while.
func (h *harness) sendBurst(ctx context.Context) {
	d := minBurst + h.randomDuration(maxBurst-minBurst)
	h.mu.Lock()
	disturb := burstDisturbances[h.random.IntN(len(burstDisturbances))]
	h.mu.Unlock()
	stop := h.startBurst(ctx)
	defer stop()
	sleepFor(ctx, d/2)
	if disturb.planned || h.opts.Scenario == PriorityFaults {
		h.logFault("        %s in a burst", disturb.name)
		h.restarts.Go(func() { disturb.inject(h, ctx) })
	}
	sleepFor(ctx, d/2)
}

func sleepFor(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// startBurst starts the callers of a burst. stop ends them and waits for their last requests.
func (h *harness) startBurst(ctx context.Context) (stop func()) {
	burst, cancel := context.WithCancel(ctx)
	h.mu.Lock()
	first := firstBurstCaller + h.burstCallersStarted
	h.burstCallersStarted += burstCallers
	h.mu.Unlock()
	var callers sync.WaitGroup
	for n := range burstCallers {
		c := h.newCaller(first + n)
		c.kinds = []callKind{callLessUrgent}
		callers.Go(func() { c.run(burst) })
	}
	return func() {
		cancel()
		callers.Wait()
	}
}

// slowDownEngine makes an engine slower for a short time.
func (h *harness) slowDownEngine(ctx context.Context) {
	s := h.randomServer()
	set := func(factor float64) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.slowdown = factor
	}
	set(slowdownFactor)
	sleepFor(ctx, minSlowdown+h.randomDuration(maxSlowdown-minSlowdown))
	set(1)
}

// checkProgress checks that urgent callers are served while a burst of less urgent requests lasts, and
// that less urgent callers are served after it.
func (h *harness) checkProgress(ctx context.Context) {
	stop := h.startBurst(ctx)
	before := h.recorder.countOf(callLessUrgent, "served")
	h.checkAllServed(ctx, callResumable, "during a burst")
	n := h.recorder.countOf(callLessUrgent, "served") - before
	h.recorder.addCount("less urgent before urgent", n)
	if h.opts.Timed && n > maxOvertaking {
		h.recorder.recordViolation("%d less urgent requests were served before %d urgent callers were", n, progressCallers)
	}
	stop()
	h.checkAllServed(ctx, callLessUrgent, "after a burst")
}

// checkAllServed checks that each of several callers is served once within progressLimit.
func (h *harness) checkAllServed(ctx context.Context, kind callKind, when string) {
	began := time.Now()
	var all sync.WaitGroup
	for n := range progressCallers {
		all.Go(func() {
			c := h.newCaller(firstProgressCaller + int(kind)*progressCallers + n)
			defer c.http.CloseIdleConnections()
			for !c.request(ctx, kind) {
				if time.Since(began) > progressLimit || ctx.Err() != nil {
					h.recorder.recordViolation("a caller of kind %s was not served within %v %s", kindNames[kind], progressLimit, when)
					return
				}
			}
		})
	}
	all.Wait()
}

// firstProgressCaller is above the numbers of the regular callers.
const firstProgressCaller = 500

const (
	// Urgent callers may be served less often, and later, than less urgent ones by no more than this.
	maxServedDeficit  = 0.1
	maxHeaderTimeLead = 500 * time.Millisecond
	// maxOvertaking is how many less urgent requests may be served before each of progressCallers urgent
	// callers is: one of each caller of the burst for each urgent caller.
	maxOvertaking = progressCallers * burstCallers
)

// checkUrgency checks that urgent callers were not worse off than less urgent ones, and adds to the
// report how long both waited for their responses.
func (h *harness) checkUrgency() {
	rec := h.recorder
	rec.mu.Lock()
	defer rec.mu.Unlock()
	served := func(kind callKind) float64 {
		return float64(rec.counts[kindNames[kind]+" served"]) / float64(max(1, rec.counts[kindNames[kind]+" asked"]))
	}
	late := func(kind callKind) time.Duration {
		times := rec.headerTimes[kind]
		if len(times) == 0 {
			return 0
		}
		slices.Sort(times)
		objective := h.opts.Scenario.objective(kind)
		inTime, _ := slices.BinarySearch(times, objective)
		rec.counts[kindNames[kind]+" in time"] = inTime
		late := times[len(times)*9/10]
		rec.counts[kindNames[kind]+" p90 ms"] = int(late.Milliseconds())
		return late
	}
	urgentLate, otherLate := late(callResumable), late(callLessUrgent)
	if !h.opts.Timed {
		return
	}
	if u, o := served(callResumable), served(callLessUrgent); u < o-maxServedDeficit {
		rec.violations = append(rec.violations, fmt.Sprintf("%.2f of urgent requests were served, and %.2f of less urgent ones", u, o))
	}
	if urgentLate > otherLate+maxHeaderTimeLead {
		rec.violations = append(rec.violations, fmt.Sprintf("one of ten urgent responses began after %v, of less urgent ones after %v", urgentLate, otherLate))
	}
}
