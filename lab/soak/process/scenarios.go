package process

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
)

// Scenario selects the faults and the load of a run.
type Scenario uint8

const (
	// RandomFaults injects every fault, singly and overlapping.
	RandomFaults Scenario = iota
	// PlannedOperations injects no failures, only planned work such as restarts, configuration
	// changes and draining servers. No response may be cut.
	PlannedOperations
	// StalledLinks restarts daemons in turn with other planned work, while the link between a daemon
	// and everything except its callers and the store stalls for a moment at a time. No data is
	// lost, so no response may be cut.
	StalledLinks
	// LowBandwidthLinks is StalledLinks with links of low bandwidth in place of stalls.
	LowBandwidthLinks
	// LostPaths restarts daemons in turn with other planned work, while some daemons lose their paths
	// to all servers for seconds. Callers, the store and the other daemons still reach them.
	LostPaths
	// PriorityBursts sends streams of two priorities to engines of different speed and limited
	// capacity, with bursts of the less urgent kind and planned work. No response may be cut.
	PriorityBursts
	// PriorityFaults is PriorityBursts with failures of engines, daemons and the store.
	PriorityFaults
	// SilentServers restarts daemons in turn with other planned work and bursts, while sound servers
	// are silent for a moment at a time, engines that are full refuse requests, and few retries are
	// allowed. No response may be cut.
	SilentServers
	// TwoRuns lets engines reset, spoil and hold back the responses of runs on which they work on, delays
	// links one way, and makes runs that go on elsewhere begin slowly.
	TwoRuns
)

// String returns the name used in reports.
func (s Scenario) String() string {
	return [...]string{"random faults", "planned work", "held links", "narrow links", "lost paths", "bursts", "bursts with failures", "silent servers", "two runs"}[s]
}

// hasDaemonLinks reports whether each daemon has its own simulated link.
func (s Scenario) hasDaemonLinks() bool { return s.delaysLinks() || s == LostPaths }

// delaysLinks reports whether the links of daemons delay responses.
func (s Scenario) delaysLinks() bool { return s == StalledLinks || s == LowBandwidthLinks }

// restartsInTurn reports whether daemons are restarted one after another all the time.
func (s Scenario) restartsInTurn() bool { return s.hasDaemonLinks() || s.hasSilentServers() }

// hasPlainCalls reports whether callers also send requests to plain services.
func (s Scenario) hasPlainCalls() bool { return !s.hasPriorities() || s.hasSilentServers() }

// requiresWholeAnswers reports whether no response that a server has started may be cut.
func (s Scenario) requiresWholeAnswers() bool {
	return s != RandomFaults && s != LostPaths && s != PriorityFaults && s != TwoRuns
}

// answersAllRequests reports whether each request that has not run is refused or waits for its
// caller's timeout.
func (s Scenario) answersAllRequests() bool { return s == PriorityBursts || s.hasSilentServers() }

// drainGrace returns the time between SIGTERM and SIGKILL. Where links or full engines delay responses
// it is longer than the callers' timeout, so that no response outlasts it.
func (s Scenario) drainGrace() time.Duration {
	if s.hasDaemonLinks() || s.hasPriorities() {
		return callTimeouts[callResumable] + 2*time.Second
	}
	return 5 * time.Second
}

// retrySlack returns the number of retries that the fleet may make beyond its ratio. 8 is the share
// of five daemons if ninety divide 150.
func (s Scenario) retrySlack() float64 {
	if s.delaysLinks() || s.hasSilentServers() {
		return 8
	}
	return 150
}

// retryRatio returns the retries allowed for each request. Where engines shed, that is less than they
// cause.
func (s Scenario) retryRatio() float64 {
	if s.hasSilentServers() {
		return 0.05
	}
	return 0.8
}

// minEventInterval is the shortest time between two events of a response.
const minEventInterval = 20 * time.Millisecond

// eventInterval returns the time between two events of a response.
func (s Scenario) eventInterval() time.Duration {
	if s.hasDaemonLinks() || s.hasSilentServers() || s.hasEngineFaults() {
		return 3 * minEventInterval
	}
	return minEventInterval
}

// settleTime returns how long callers go on after all faults have ended.
func (s Scenario) settleTime() time.Duration {
	if s.delaysLinks() || s.hasPriorities() {
		return 0
	}
	return settleTime
}

// callerProfile returns the behaviour of callers. A caller that cancels a request may resume it
// through another daemon with the ID of the last event that it holds.
func (s Scenario) callerProfile() callerProfile {
	if s.hasDaemonLinks() {
		return callerProfile{resumableRatio: 0.7, abandonRatio: 0.25, halfCloseRatio: 0.3, abandonWithin: 2 * time.Second, maxAttempts: 3}
	}
	if s.hasEngineFaults() {
		return callerProfile{resumableRatio: 0.9, abandonRatio: 0.05, halfCloseRatio: 0.3, abandonWithin: 2 * time.Second, maxAttempts: 2}
	}
	return callerProfile{abandonRatio: 0.05, halfCloseRatio: 0.3, abandonWithin: 400 * time.Millisecond, maxAttempts: 2}
}

// linkFaults are the faults of scenarios with daemon links, besides the restarts in turn. Most are
// stalls, so that some of them hit a daemon with many responses in flight.
var linkFaults = append(slices.Repeat([]fault{{"link stalled", false, (*harness).stallLink}}, 10),
	fault{"settings reloaded", true, (*harness).reloadSettings},
	fault{"key removed", true, (*harness).removeKey},
	fault{"server drained", true, (*harness).drainServer},
	fault{"route moved", true, (*harness).moveRoute},
)

// nextFault draws the next fault of the scenario.
func (h *harness) nextFault() fault {
	list := faults
	switch {
	case h.opts.Scenario.delaysLinks():
		list = linkFaults
	case h.opts.Scenario == LostPaths:
		list = pathFaults
	case h.opts.Scenario.hasSilentServers():
		list = silenceFaults
	case h.opts.Scenario.hasEngineFaults():
		list = engineFaults
	case h.opts.Scenario.hasPriorities():
		list = priorityFaults
	}
	list = slices.DeleteFunc(slices.Clone(list), func(f fault) bool { return !h.opts.Faults.MatchString(f.name) })
	h.mu.Lock()
	defer h.mu.Unlock()
	for {
		f := list[h.random.IntN(len(list))]
		if f.planned || h.opts.Scenario == RandomFaults || h.opts.Scenario == TwoRuns || h.opts.Scenario == StalledLinks || h.opts.Scenario == LostPaths || h.opts.Scenario == PriorityFaults {
			return f
		}
	}
}

const (
	// A link stalls for 0.5 to 1.5 seconds and then passes data for a while.
	minStall   = 500 * time.Millisecond
	maxStall   = 1500 * time.Millisecond
	stallPause = 500 * time.Millisecond
	// meanStopPause is the mean time between two stops; each takes three seconds.
	meanStopPause = 900 * time.Millisecond
	// maxConcurrentStops leaves one daemon that serves.
	maxConcurrentStops = daemonCount - 1
)

// randomUplink returns the uplink of any daemon or, equally often, of one that is not being
// stopped, which has the most responses in flight.
func (h *harness) randomUplink() *uplink {
	h.mu.Lock()
	n, anyDaemon := h.random.IntN(daemonCount), h.random.IntN(2) == 0
	h.mu.Unlock()
	for range daemonCount {
		if anyDaemon || !h.daemons[n].isStopping() {
			break
		}
		n = (n + 1) % daemonCount
	}
	return h.uplinks[n]
}

// stallLink stalls the uplink of a daemon.
func (h *harness) stallLink(ctx context.Context) {
	u := h.randomUplink()
	d := minStall + h.randomDuration(maxStall-minStall)
	u.stallMu.Lock()
	defer u.stallMu.Unlock()
	u.stall(d)
	h.suspendBounds(ctx, d+stallPause)
}

// restartDaemonsInTurn restarts one daemon after another, round after round. The next one stops
// while responses of earlier ones are still in flight.
func (h *harness) restartDaemonsInTurn(ctx context.Context, began time.Time) {
	random := rand.New(rand.NewPCG(h.opts.Seed, 8))
	var stops errgroup.Group
	stops.SetLimit(maxConcurrentStops)
	defer func() { _ = stops.Wait() }() // the functions return no errors
	for {
		for _, n := range random.Perm(len(h.daemons)) {
			time.Sleep(meanStopPause/2 + time.Duration(random.Int64N(int64(meanStopPause))))
			if time.Since(began) > h.opts.Length || ctx.Err() != nil {
				return
			}
			d := h.daemons[n]
			stops.Go(func() error {
				h.logFault("%6.2fs %s stopped", time.Since(began).Seconds(), d.settings.VM)
				h.restartDaemon(d)
				return nil
			})
		}
	}
}
