// Package health decides which backend servers are left out for a while.
//
// Load it answers: one backend server that answers, but many times slower than
// its peers, and one that fails every request at once.
//
// Without it, a straggler holds its requests for minutes while its low count
// of finished work keeps attracting more, and a server that fails fast attracts
// everything because it always has room. Absolute thresholds do not help: under
// saturation all servers are slow, and leaving any out makes the rest slower.
// So a server is compared with its peers only, and never more than a share of
// them is left out.
package health

import (
	"slices"
	"time"
)

const (
	// slowFactor is how many times slower than the median of its peers a server
	// is a straggler. A full batch is about half again as slow as a single
	// stream, so uneven load alone stays well below.
	slowFactor = 2.0
	// trialFactor is how close to the median a server on trial must come.
	trialFactor = 1.5
	// minSamples is how many gaps must be seen before a server is compared.
	minSamples = 16
	// failureStreak is how many failures in a row eject a server. One may be the
	// caller's request, three in a row across requests are the server's.
	failureStreak = 3
	// maxEjected is the largest share of peers left out at once. Beyond it the
	// fault is common to them, and the rest could not carry the load.
	maxEjected = 0.2
	// minPeers is the least number of peers with which a median means anything.
	minPeers = 3
	// firstPause and longestPause bound the time out; it doubles with each
	// ejection that follows a trial that failed.
	firstPause   = 5 * time.Second
	longestPause = time.Minute
	// rampTime is the slow start: after a return or a restart caches are cold
	// and the first requests all prefill.
	rampTime = 10 * time.Second
	// rampFloor is the weight at the beginning of the slow start.
	rampFloor = 0.1
	// memory is how many gaps the averages look back on.
	memory = 16
)

// State of a server as this daemon treats it.
type State uint8

// The states.
const (
	Healthy State = iota
	Ejected
	Probation // one request at a time
	Warming   // slow start
)

// String returns the lower-case name.
func (s State) String() string {
	return [...]string{"healthy", "ejected", "trial", "warming"}[s]
}

// Reason says why a state changed.
type Reason string

// The reasons.
const (
	ReasonSlowerThanPeers     Reason = "slower_than_peers"
	ReasonConsecutiveFailures Reason = "failures_in_a_row"
	ReasonProbationDue        Reason = "trial_due"
	ReasonProbationPassed     Reason = "trial_succeeded"
	ReasonProbationFailed     Reason = "trial_failed"
	ReasonRestart             Reason = "restarted"
	ReasonWarm                Reason = "warm"
)

// Server is what one daemon knows of one server. The zero value is a healthy
// server of which nothing is known. It is not safe for concurrent use.
type Server struct {
	state    State
	since    time.Time
	until    time.Time // end of the ejection
	pause    time.Duration
	gap      float64 // seconds, decayed mean
	samples  int
	failures int // in a row
}

// State returns the present state.
func (p *Server) State() State { return p.state }

// ObserveTokenGap records the time between two tokens, or per token of a plain answer.
func (p *Server) ObserveTokenGap(gap time.Duration) {
	g := gap.Seconds()
	if p.samples == 0 {
		p.gap = g
	}
	p.samples++
	p.gap += (g - p.gap) / memory
}

// RecordSuccess records an attempt that ended well.
func (p *Server) RecordSuccess() { p.failures = 0 }

// RecordFailure records an attempt that the server did not finish.
func (p *Server) RecordFailure() { p.failures++ }

// RecordRestart begins a slow start, because the caches are cold.
func (p *Server) RecordRestart(now time.Time) Transition {
	p.samples, p.failures = 0, 0
	return p.become(now, Warming, ReasonRestart)
}

// Weight is the share of its usual work the server gets now.
func (p *Server) Weight(now time.Time) float64 {
	switch p.state {
	case Ejected:
		return 0
	case Probation:
		return rampFloor
	case Warming:
		part := now.Sub(p.since).Seconds() / rampTime.Seconds()
		return min(1, rampFloor+(1-rampFloor)*part)
	default:
		return 1
	}
}

// Limit is the number of requests that may be in flight out of limit.
func (p *Server) Limit(now time.Time, limit int) int {
	switch p.state {
	case Ejected:
		return 0
	case Probation:
		return min(1, limit)
	case Warming:
		return max(1, int(float64(limit)*p.Weight(now)+0.5))
	default:
		return limit
	}
}

// Transition is a change of state with its reason.
type Transition struct {
	Index  int // of the peer in the slice given to Evaluate
	From   State
	To     State
	Reason Reason
	Gap    time.Duration
	Median time.Duration
}

func (p *Server) become(now time.Time, to State, why Reason) Transition {
	t := Transition{From: p.state, To: to, Reason: why}
	p.state, p.since = to, now
	return t
}

// Evaluator compares the servers of one set. Its zero value is usable; it
// keeps scratch space, so that the steady state allocates nothing.
type Evaluator struct {
	gaps        []float64
	transitions []Transition
}

// Evaluate moves each peer's state and returns what changed. The slice is
// valid until the next call.
func (e *Evaluator) Evaluate(now time.Time, peers []*Server) []Transition {
	e.transitions = e.transitions[:0]
	median := e.median(peers)
	out := 0
	for _, p := range peers {
		if p.state == Ejected || p.state == Probation {
			out++
		}
	}
	for i, p := range peers {
		t, changed := p.step(now, median, out < allowedOut(len(peers)))
		if !changed {
			continue
		}
		if t.To == Ejected && t.From != Probation {
			out++
		}
		t.Index = i
		t.Gap, t.Median = seconds(p.gap), seconds(median)
		e.transitions = append(e.transitions, t)
	}
	return e.transitions
}

func allowedOut(peers int) int {
	if peers < minPeers {
		return 0
	}
	return max(1, int(maxEjected*float64(peers)))
}

func (p *Server) step(now time.Time, median float64, mayEject bool) (Transition, bool) {
	switch p.state {
	case Ejected:
		if now.Before(p.until) {
			return Transition{}, false
		}
		p.samples, p.failures = 0, 0
		return p.become(now, Probation, ReasonProbationDue), true
	case Probation:
		return p.judgeTrial(now, median)
	case Warming:
		if now.Sub(p.since) >= rampTime {
			p.pause = 0
			return p.become(now, Healthy, ReasonWarm), true
		}
	}
	switch {
	case !mayEject:
		return Transition{}, false
	case p.failures >= failureStreak:
		return p.eject(now, ReasonConsecutiveFailures), true
	case p.samples >= minSamples && median > 0 && p.gap > slowFactor*median:
		return p.eject(now, ReasonSlowerThanPeers), true
	}
	return Transition{}, false
}

// judgeTrial ends a trial once enough tokens were seen. A trial on which no
// request falls stays open and costs nothing.
func (p *Server) judgeTrial(now time.Time, median float64) (Transition, bool) {
	switch {
	case p.failures > 0:
		return p.eject(now, ReasonProbationFailed), true
	case p.samples < minSamples:
		return Transition{}, false
	case median > 0 && p.gap > trialFactor*median:
		return p.eject(now, ReasonProbationFailed), true
	}
	return p.become(now, Warming, ReasonProbationPassed), true
}

func (p *Server) eject(now time.Time, why Reason) Transition {
	p.pause = min(max(2*p.pause, firstPause), longestPause)
	p.until = now.Add(p.pause)
	return p.become(now, Ejected, why)
}

// median of the gaps of peers that serve normally and are known well enough.
func (e *Evaluator) median(peers []*Server) float64 {
	e.gaps = e.gaps[:0]
	for _, p := range peers {
		if p.samples >= minSamples && (p.state == Healthy || p.state == Warming) {
			e.gaps = append(e.gaps, p.gap)
		}
	}
	if len(e.gaps) < minPeers {
		return 0
	}
	slices.Sort(e.gaps)
	return e.gaps[len(e.gaps)/2]
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
