// Package health detects outliers among the backend servers and takes them out of use for a
// while.
//
// It handles a backend server that answers, but many times slower than its peers, and one that
// fails every request at once.
//
// Without it, a straggler holds its requests for minutes while its low count of finished work
// keeps attracting more, and a server that fails fast attracts all requests because it always
// has room. Absolute thresholds do not help: under saturation all servers are slow, and
// ejecting any of them makes the rest slower. Servers are therefore compared only with their
// peers, and at most a fixed share of them is ejected at once.
package health

import (
	"slices"
	"time"
)

const (
	// ejectSlowRatio is how many times slower than the median of its peers a server must be to
	// be ejected. A full batch is about half again as slow as a single stream, so uneven load
	// alone stays well below.
	ejectSlowRatio = 2.0
	// probationSlowRatio is the largest ratio to the median with which a server passes its
	// probation.
	probationSlowRatio = 1.5
	// minSampleCount is the number of token gaps that must be observed before a server is
	// compared.
	minSampleCount = 16
	// maxConsecutiveFailures is the number of consecutive failures that ejects a server. One
	// failure may be caused by the request; three in a row across requests are caused by the
	// server.
	maxConsecutiveFailures = 3
	// maxEjectedRatio is the largest share of the peers that is ejected or on probation at
	// once. Beyond it the servers have a common fault, and the rest could not carry the load.
	maxEjectedRatio = 0.2
	// minPeerCount is the least number of peers for a meaningful median.
	minPeerCount = 3
	// minEjectionTime and maxEjectionTime bound the time of an ejection; it doubles with each
	// ejection that follows a failed probation.
	minEjectionTime = 5 * time.Second
	maxEjectionTime = time.Minute
	// slowStartTime is the duration of the slow start: after a return or a restart caches are
	// cold and the first requests all need a prefill.
	slowStartTime = 10 * time.Second
	// slowStartMinRatio is the weight at the beginning of the slow start.
	slowStartMinRatio = 0.1
	// gapWindowCount is the number of token gaps over which the mean is smoothed.
	gapWindowCount = 16
)

// State is a server's state as seen by this daemon.
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

// Reason explains a change of state.
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

// Server is one daemon's knowledge of one backend server. The zero value is a healthy server
// without observations. It is not safe for concurrent use.
type Server struct {
	state               State
	stateSince          time.Time
	ejectedUntil        time.Time
	ejectionTime        time.Duration // of the current or last ejection; reset after a slow start
	meanGapSeconds      float64       // decayed mean
	sampleCount         int
	consecutiveFailures int
}

// State returns the current state.
func (s *Server) State() State { return s.state }

// ObserveTokenGap records the time between two tokens or, for an answer that is not streamed,
// the time per token.
func (s *Server) ObserveTokenGap(gap time.Duration) {
	g := gap.Seconds()
	if s.sampleCount == 0 {
		s.meanGapSeconds = g
	}
	s.sampleCount++
	s.meanGapSeconds += (g - s.meanGapSeconds) / gapWindowCount
}

// RecordSuccess records an attempt that completed.
func (s *Server) RecordSuccess() { s.consecutiveFailures = 0 }

// RecordFailure records an attempt that the server did not complete.
func (s *Server) RecordFailure() { s.consecutiveFailures++ }

// RecordRestart begins a slow start, because the caches are cold after a restart.
func (s *Server) RecordRestart(now time.Time) Transition {
	s.sampleCount, s.consecutiveFailures = 0, 0
	return s.transition(now, Warming, ReasonRestart)
}

// Weight returns the share of its usual work that the server gets now.
func (s *Server) Weight(now time.Time) float64 {
	switch s.state {
	case Ejected:
		return 0
	case Probation:
		return slowStartMinRatio
	case Warming:
		progress := now.Sub(s.stateSince).Seconds() / slowStartTime.Seconds()
		return min(1, slowStartMinRatio+(1-slowStartMinRatio)*progress)
	default:
		return 1
	}
}

// Limit returns the number of requests that may be in flight now, given the usual limit.
func (s *Server) Limit(now time.Time, limit int) int {
	switch s.state {
	case Ejected:
		return 0
	case Probation:
		return min(1, limit)
	case Warming:
		return max(1, int(float64(limit)*s.Weight(now)+0.5))
	default:
		return limit
	}
}

// Transition is a change of state with its reason.
type Transition struct {
	Index  int // of the server in the slice given to Evaluate
	From   State
	To     State
	Reason Reason
	Gap    time.Duration
	Median time.Duration
}

func (s *Server) transition(now time.Time, to State, why Reason) Transition {
	t := Transition{From: s.state, To: to, Reason: why}
	s.state, s.stateSince = to, now
	return t
}

// Evaluator compares the servers of one set. Its zero value is usable. It reuses its buffers,
// so that calls do not allocate in the steady state.
type Evaluator struct {
	gaps        []float64
	transitions []Transition
}

// Evaluate updates the state of each server and returns the transitions. The slice is valid
// until the next call.
func (e *Evaluator) Evaluate(now time.Time, servers []*Server) []Transition {
	e.transitions = e.transitions[:0]
	median := e.median(servers)
	excluded := 0
	for _, s := range servers {
		if s.state == Ejected || s.state == Probation {
			excluded++
		}
	}
	for i, s := range servers {
		t, changed := s.update(now, median, excluded < ejectionLimit(len(servers)))
		if !changed {
			continue
		}
		if t.To == Ejected && t.From != Probation {
			excluded++
		}
		t.Index = i
		t.Gap, t.Median = toDuration(s.meanGapSeconds), toDuration(median)
		e.transitions = append(e.transitions, t)
	}
	return e.transitions
}

func ejectionLimit(servers int) int {
	if servers < minPeerCount {
		return 0
	}
	return max(1, int(maxEjectedRatio*float64(servers)))
}

func (s *Server) update(now time.Time, median float64, canEject bool) (Transition, bool) {
	switch s.state {
	case Ejected:
		if now.Before(s.ejectedUntil) {
			return Transition{}, false
		}
		s.sampleCount, s.consecutiveFailures = 0, 0
		return s.transition(now, Probation, ReasonProbationDue), true
	case Probation:
		return s.evaluateProbation(now, median)
	case Warming:
		if now.Sub(s.stateSince) >= slowStartTime {
			s.ejectionTime = 0
			return s.transition(now, Healthy, ReasonWarm), true
		}
	}
	switch {
	case !canEject:
		return Transition{}, false
	case s.consecutiveFailures >= maxConsecutiveFailures:
		return s.eject(now, ReasonConsecutiveFailures), true
	case s.sampleCount >= minSampleCount && median > 0 && s.meanGapSeconds > ejectSlowRatio*median:
		return s.eject(now, ReasonSlowerThanPeers), true
	}
	return Transition{}, false
}

// evaluateProbation ends a probation once enough token gaps were observed. While a server on
// probation gets no requests it stays on probation, which costs nothing.
func (s *Server) evaluateProbation(now time.Time, median float64) (Transition, bool) {
	switch {
	case s.consecutiveFailures > 0:
		return s.eject(now, ReasonProbationFailed), true
	case s.sampleCount < minSampleCount:
		return Transition{}, false
	case median > 0 && s.meanGapSeconds > probationSlowRatio*median:
		return s.eject(now, ReasonProbationFailed), true
	}
	return s.transition(now, Warming, ReasonProbationPassed), true
}

func (s *Server) eject(now time.Time, why Reason) Transition {
	s.ejectionTime = min(max(2*s.ejectionTime, minEjectionTime), maxEjectionTime)
	s.ejectedUntil = now.Add(s.ejectionTime)
	return s.transition(now, Ejected, why)
}

// median returns the median of the mean gaps of the servers that are healthy or warming and
// have enough samples, or 0 if fewer than minPeerCount servers do.
func (e *Evaluator) median(servers []*Server) float64 {
	e.gaps = e.gaps[:0]
	for _, s := range servers {
		if s.sampleCount >= minSampleCount && (s.state == Healthy || s.state == Warming) {
			e.gaps = append(e.gaps, s.meanGapSeconds)
		}
	}
	if len(e.gaps) < minPeerCount {
		return 0
	}
	slices.Sort(e.gaps)
	return e.gaps[len(e.gaps)/2]
}

func toDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
