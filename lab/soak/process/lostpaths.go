package process

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// A daemon's paths to the servers are cut for 4 to 6 seconds.
	minCut = 4 * time.Second
	maxCut = 6 * time.Second
	// detectionTime is how long after a cut a daemon may refuse what others serve.
	detectionTime = 3 * time.Second
	// minServedRatio is the least part of the share served by other daemons that daemons without a
	// path must serve, unless only allowedFailures and one in fifty of all first attempts fail there.
	minServedRatio  = 2.0 / 3
	allowedFailures = 10
)

// pathFaults are the faults of LostPaths, besides the restarts in turn.
var pathFaults = append(slices.Repeat([]fault{{"paths to servers lost", false, (*harness).cutPaths}}, 5),
	fault{"settings reloaded", true, (*harness).reloadSettings},
	fault{"key removed", true, (*harness).removeKey},
	fault{"server drained", true, (*harness).drainServer},
	fault{"route moved", true, (*harness).moveRoute},
)

// cutPaths cuts the paths of a random daemon to all servers. At least two daemons keep theirs.
func (h *harness) cutPaths(ctx context.Context) {
	u, kind := h.randomUplink(), linkRefused
	h.mu.Lock()
	if h.random.IntN(3) == 0 {
		kind = linkClosed
	}
	h.mu.Unlock()
	u.pathMu.Lock()
	defer u.pathMu.Unlock()
	if !h.beginCut(u) {
		return
	}
	for _, p := range u.toServers {
		p.setMode(kind)
	}
	h.suspendBounds(ctx, minCut+h.randomDuration(maxCut-minCut))
	u.endCut()
	for _, p := range u.toServers {
		p.setMode(linkPass)
	}
}

// beginCut notes that the paths of a daemon are cut, unless only two daemons have theirs.
func (h *harness) beginCut(u *uplink) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	cut := 0
	for _, other := range h.uplinks {
		if !other.cutStart().IsZero() {
			cut++
		}
	}
	if cut >= daemonCount-2 {
		return false
	}
	u.cutMu.Lock()
	defer u.cutMu.Unlock()
	u.cutSince = time.Now()
	return true
}

func (u *uplink) endCut() {
	u.cutMu.Lock()
	defer u.cutMu.Unlock()
	u.cutSince = time.Time{}
}

// cutStart returns when the paths of a daemon were cut, a zero time while they are not.
func (u *uplink) cutStart() time.Time {
	u.cutMu.Lock()
	defer u.cutMu.Unlock()
	return u.cutSince
}

// firstAttempts counts the first attempts of requests at daemons without a path to any server, and
// at the others meanwhile.
type firstAttempts struct {
	mu                                       sync.Mutex
	cutSent, cutServed, othersSent, othersOK int
}

// recordFirstAttempt records a first attempt that a caller has sent to a daemon at a time. Attempts
// at daemons that are being restarted, or were recently, are left out.
func (h *harness) recordFirstAttempt(callerAddress string, sentAt time.Time, served bool) {
	n := slices.IndexFunc(h.daemons, func(d *daemon) bool { return d.callerProxy.address() == callerAddress })
	if n < 0 || n >= len(h.uplinks) || !h.daemons[n].isSteady(sentAt) || !h.isAnyPathCut() {
		return
	}
	f := &h.attempts
	f.mu.Lock()
	defer f.mu.Unlock()
	switch since := h.uplinks[n].cutStart(); {
	case since.IsZero():
		f.othersSent++
		if served {
			f.othersOK++
		}
	case sentAt.Sub(since) >= detectionTime && h.hasSteadyDaemonWithPath(sentAt):
		f.cutSent++
		if served {
			f.cutServed++
		}
	}
}

// hasSteadyDaemonWithPath reports whether a daemon that others may connect through was running at a
// time. While the only daemons with paths are being stopped, no daemon can serve.
func (h *harness) hasSteadyDaemonWithPath(at time.Time) bool {
	for n, u := range h.uplinks {
		if u.cutStart().IsZero() && h.daemons[n].isSteady(at) {
			return true
		}
	}
	return false
}

func (h *harness) isAnyPathCut() bool {
	return slices.ContainsFunc(h.uplinks, func(u *uplink) bool { return !u.cutStart().IsZero() })
}

// isSteady reports whether a daemon is not being stopped and has run for a while before a time.
func (d *daemon) isSteady(at time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.stopRequested && at.Sub(d.startedAt) >= recoveryTime
}

// checkFirstAttempts checks that daemons without a path served about as much as the others.
func (h *harness) checkFirstAttempts() {
	f := &h.attempts
	f.mu.Lock()
	defer f.mu.Unlock()
	failed, all := f.cutSent-f.cutServed, f.cutSent+f.othersSent
	if failed <= allowedFailures+all/50 {
		return
	}
	if float64(f.cutServed)*float64(max(1, f.othersSent)) < minServedRatio*float64(f.othersOK)*float64(f.cutSent) {
		h.recorder.recordViolation("daemons without a path to any server served %d of %d first attempts, the others %d of %d",
			f.cutServed, f.cutSent, f.othersOK, f.othersSent)
	}
}
