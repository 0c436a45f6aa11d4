// Package refill decides when a prompt is prefilled again whose answer broke off or was rejected, in
// a service whose requests differ in priority.
//
// Load pattern: a zone of engines is lost, and about a hundred answers have to continue at the same
// time as new prompts arrive. Some of them have reached their callers in part. Of these, those that
// have no copy have missed the permitted pause in any case, because a prefill takes longer.
//
// Without it, all prompts are sent at once. Those that can't be in time any more delay the first
// events of those that can, by the time of a prefill for each prompt that is pending at the engine.
//
// Decision: urgent prompts that can be in time start at once. All others start when an engine has
// room for them, and otherwise wait for a bounded time before they start regardless: those that can
// be in time for a short one, those that can't for a longer one. While they wait, they look for room
// the more often the earlier they are in this order, so that over all daemons the earlier ones find
// most of the room without a message between daemons. A prompt that no engine can serve in time is
// refused if its caller holds nothing and it did not run; the caller of an answer that has begun is
// always served.
package refill

import "time"

const (
	// maxPunctualWait is the longest wait of a prompt that can be in time, in prefills, and
	// maxSlackRatio bounds it by the slack: after the wait, other prompts may be pending at the
	// engine.
	maxPunctualWait = 0.5
	maxSlackRatio   = 0.25
	// maxLateWait is the longest wait of a prompt that can't be in time for each recent loss, and
	// maxCountedLosses the largest number of losses that is counted. After the loss of a zone, a
	// daemon of a large fleet has lost one or two answers; the engines left are busy with the
	// prompts of all daemons for about two prefills.
	maxLateWait      = 1.0
	maxCountedLosses = 2
	// lessUrgentWait is how much longer a prompt waits that is not among the most urgent.
	lessUrgentWait = 1.0
	// maxTimeLeftRatio bounds the wait by the time that the caller still waits. An answer takes
	// about a quarter of the usual timeout.
	maxTimeLeftRatio = 1.0 / 8
	// The intervals at which a waiting prompt looks for room, in prefills. They also bound the
	// number of times.
	punctualInterval   = 0.25
	lateUrgentInterval = 0.5
	lateInterval       = 1.0
	// minDelay is the shortest wait for which an engine is chosen anew: the choice takes several
	// round trips and probes.
	minDelay = 50 * time.Millisecond
	// lossPeriod is how long a lost answer counts. It is longer than it takes to notice all losses
	// of one zone, and shorter than the time until its answers have started again.
	lossPeriod = 3 * time.Second
)

// Prompt is a prompt that has to be prefilled again.
type Prompt struct {
	// Rank is 0 for the most urgent requests of the service.
	Rank int
	// Slack is the time until the latest start with which the caller is served in time; negative if
	// that has passed.
	Slack time.Duration
	// CannotBeInTime is set if no engine can serve the caller in time, by a lower bound of the prefill.
	// Slack is an estimate and may be negative without it.
	CannotBeInTime bool
	// LateFromStart is set if it could not be in time when it arrived. It was admitted regardless.
	LateFromStart bool
	// PartHeld is set if the caller holds a part of the answer.
	PartHeld bool
	// MayHaveRun is set if the request may have run at a server.
	MayHaveRun bool
	// TimeLeft is how long the caller still waits.
	TimeLeft time.Duration
}

// Situation is what is known when an engine was chosen for a prompt.
type Situation struct {
	// Losses is the number of answers that this daemon lost recently.
	Losses int
	// Busy is set if the chosen engine, the best of those asked, has prompts pending or no memory
	// for this one.
	Busy bool
	// Waited is how long the prompt has waited.
	Waited time.Duration
	// Prefill is the expected time from sending a prompt to its first event; 0 if unknown.
	Prefill time.Duration
}

// Action is what is done with a prompt.
type Action uint8

// The actions.
const (
	Start Action = iota
	Delay
	Refuse
)

// String returns the name used in logs and metrics.
func (a Action) String() string { return [...]string{"start", "delay", "refuse"}[a] }

// Reason says why.
type Reason string

// The reasons.
const (
	ReasonNoLoss   Reason = "no_loss"  // nothing was lost recently, or prefills are unknown
	ReasonRoom     Reason = "room"     // the engine has room
	ReasonPermit   Reason = "permit"   // holds a permit of a server that limits its rate
	ReasonUrgent   Reason = "urgent"   // urgent and can be in time
	ReasonWaited   Reason = "waited"   // has waited as long as it may
	ReasonAdmitted Reason = "admitted" // had room before it waited, and its caller holds a part
	ReasonPunctual Reason = "punctual" // can be in time after urgent prompts
	ReasonLate     Reason = "late"     // can't be in time; others come first
	ReasonTooLate  Reason = "too_late" // can't be in time, and its caller holds nothing
)

// Decision is a decision with its reason.
type Decision struct {
	Action Action
	Reason Reason
	Delay  time.Duration // until the prompt looks for room again; set for Delay
}

// MustBeRefused reports whether a prompt is refused, wherever there is room.
func (p Prompt) MustBeRefused() bool {
	return p.CannotBeInTime && !p.LateFromStart && !p.PartHeld && !p.MayHaveRun
}

// Decide decides whether a prompt starts now at the engine that was chosen for it.
func Decide(p Prompt, s Situation) Decision {
	switch {
	case p.MustBeRefused():
		return Decision{Action: Refuse, Reason: ReasonTooLate}
	case s.Losses == 0 || s.Prefill <= 0:
		return Decision{Action: Start, Reason: ReasonNoLoss}
	case !s.Busy:
		return Decision{Action: Start, Reason: ReasonRoom}
	case p.Slack >= 0 && p.Rank == 0:
		return Decision{Action: Start, Reason: ReasonUrgent}
	}
	left := maxWait(p, s) - s.Waited
	if left < minDelay {
		return Decision{Action: Start, Reason: ReasonWaited}
	}
	reason, interval := lookInterval(p)
	return Decision{Action: Delay, Reason: reason, Delay: min(left, max(scale(s.Prefill, interval), minDelay))}
}

// maxWait returns how long a prompt waits for room before it starts regardless.
func maxWait(p Prompt, s Situation) time.Duration {
	bound := scale(p.TimeLeft, maxTimeLeftRatio)
	if p.Slack >= 0 {
		return min(scale(p.Slack, maxSlackRatio), scale(s.Prefill, maxPunctualWait), bound)
	}
	prefills := maxLateWait * float64(min(s.Losses, maxCountedLosses))
	if p.Rank > 0 {
		prefills += lessUrgentWait
	}
	return min(scale(s.Prefill, prefills), bound)
}

// lookInterval returns why a prompt waits and how often it looks for room, in prefills.
func lookInterval(p Prompt) (Reason, float64) {
	switch {
	case p.Slack >= 0:
		return ReasonPunctual, punctualInterval
	case p.Rank == 0:
		return ReasonLate, lateUrgentInterval
	}
	return ReasonLate, lateInterval
}

func scale(d time.Duration, ratio float64) time.Duration { return time.Duration(ratio * float64(d)) }

// Losses counts the answers that a daemon lost recently at the servers of one service. The zero
// value has seen none. It is not safe for concurrent use.
type Losses struct{ times []time.Time }

// Record records that an answer broke off.
func (l *Losses) Record(now time.Time) {
	l.Recent(now)
	if len(l.times) < maxCountedLosses {
		l.times = append(l.times, now)
		return
	}
	copy(l.times, l.times[1:])
	l.times[len(l.times)-1] = now
}

// Recent returns the number of recent losses, of which only the last few are counted.
func (l *Losses) Recent(now time.Time) int {
	kept := l.times[:0]
	for _, at := range l.times {
		if now.Sub(at) < lossPeriod {
			kept = append(kept, at)
		}
	}
	l.times = kept
	return len(kept)
}
