package process

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
)

// Scenario is what a run plays.
type Scenario uint8

const (
	// RandomFaults is every fault, singly and together.
	RandomFaults Scenario = iota
	// PlannedOperations leaves out faults: only stops, changes of the configuration and
	// servers that leave, which must cut nothing.
	PlannedOperations
	// StalledLinks is planned work with stops in a series, while the link of a daemon to
	// everything beside its callers and the store is held up for a moment at a time.
	// Nothing is lost, so nothing may be cut.
	StalledLinks
	// LowBandwidthLinks is the same with links that carry little, and never held up
	// otherwise.
	LowBandwidthLinks
)

// String returns the word used in reports.
func (s Scenario) String() string {
	return [...]string{"random faults", "planned work", "held links", "narrow links"}[s]
}

// hasDaemonLinks reports whether each daemon has a link of its own.
func (s Scenario) hasDaemonLinks() bool { return s == StalledLinks || s == LowBandwidthLinks }

// requiresWholeAnswers reports whether no answer that a server makes may be cut.
func (s Scenario) requiresWholeAnswers() bool { return s != RandomFaults }

// drainGrace is the time between SIGTERM and SIGKILL. With links that delay answers it is
// longer than callers wait, so that no answer outlasts it.
func (s Scenario) drainGrace() time.Duration {
	if s.hasDaemonLinks() {
		return callTimeouts[callResumable] + 2*time.Second
	}
	return 5 * time.Second
}

// retrySlack is what the fleet may repeat beside its share of the requests. Five of ninety
// daemons that divide 150 have 8.
func (s Scenario) retrySlack() float64 {
	if s.hasDaemonLinks() {
		return 8
	}
	return 150
}

// minEventInterval is the least time between two events of an answer.
const minEventInterval = 20 * time.Millisecond

// eventInterval is the time between two events of an answer.
func (s Scenario) eventInterval() time.Duration {
	if s.hasDaemonLinks() {
		return 3 * minEventInterval
	}
	return minEventInterval
}

// settleTime is how long callers go on after all is healed.
func (s Scenario) settleTime() time.Duration {
	if s.hasDaemonLinks() {
		return 0
	}
	return settleTime
}

// callerProfile of callers. Those that leave come back elsewhere with the id of the last event
// that they hold.
func (s Scenario) callerProfile() callerProfile {
	if s.hasDaemonLinks() {
		return callerProfile{resumableRatio: 0.7, abandonRatio: 0.25, abandonWithin: 2 * time.Second, maxAttempts: 3}
	}
	return callerProfile{abandonRatio: 0.05, abandonWithin: 400 * time.Millisecond, maxAttempts: 2}
}

// linkFaults are those of runs in which daemons have links of their own, beside the stops.
// Most are links held up, so that some of them meet a daemon with many answers under way.
var linkFaults = append(slices.Repeat([]fault{{"link held up", false, (*harness).stallLink}}, 10),
	fault{"settings read again", true, (*harness).reloadSettings},
	fault{"key removed", true, (*harness).removeKey},
	fault{"server leaves", true, (*harness).drainServer},
	fault{"route moved", true, (*harness).moveRoute},
)

// nextFault is the next fault.
func (h *harness) nextFault() fault {
	list := faults
	if h.opts.Scenario.hasDaemonLinks() {
		list = linkFaults
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for {
		f := list[h.random.IntN(len(list))]
		if f.planned || h.opts.Scenario == RandomFaults || h.opts.Scenario == StalledLinks {
			return f
		}
	}
}

const (
	// A link is held up for a half to one and a half seconds, and then passes for a while.
	minStall   = 500 * time.Millisecond
	maxStall   = 1500 * time.Millisecond
	stallPause = 500 * time.Millisecond
	// meanStopPause is the mean time between two stops; each takes three seconds.
	meanStopPause = 900 * time.Millisecond
	// maxConcurrentStops leaves a daemon that serves.
	maxConcurrentStops = daemonCount - 1
)

// randomUplink is a daemon's link: of any or, as often, of one that is not being stopped, which
// has most answers under way.
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

// stallLink holds up the link of a daemon.
func (h *harness) stallLink(ctx context.Context) {
	u := h.randomUplink()
	d := minStall + h.randomDuration(maxStall-minStall)
	u.stallMu.Lock()
	defer u.stallMu.Unlock()
	u.stall(d)
	h.suspendBounds(ctx, d+stallPause)
}

// restartDaemonsInTurn stops one daemon after the other, round after round. The next is stopped
// while answers of those before are under way.
func (h *harness) restartDaemonsInTurn(ctx context.Context, began time.Time) {
	random := rand.New(rand.NewPCG(h.opts.Seed, 8))
	var stops errgroup.Group
	stops.SetLimit(maxConcurrentStops)
	defer func() { _ = stops.Wait() }() // none returns an error
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
