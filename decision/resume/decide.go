package resume

import (
	"time"

	"mallowwind.dev/decision/silence"
)

// Action is what to do next about an answer.
type Action uint8

// The actions.
const (
	Wait         Action = iota // let the running attempts go on
	Reattach                   // read the leading attempt again on a fresh connection
	StartAttempt               // start one more attempt
	Fail                       // tell the caller that the answer stops here
)

// Reason explains an Action, for logs and metrics.
type Reason string

// The reasons.
const (
	ReasonHealthy           Reason = "healthy"
	ReasonProbe             Reason = "probe"
	ReasonSuspected         Reason = "suspected"
	ReasonSilentTooLong     Reason = "silent_too_long"
	ReasonNoAttemptRunning  Reason = "broken"
	ReasonGlobalStall       Reason = "global_stall"
	ReasonAlreadyRacing     Reason = "already_racing"
	ReasonAttemptsExhausted Reason = "attempts_exhausted"
	ReasonDeadline          Reason = "resume_deadline"
)

const (
	// maxAttempts bounds attempts in a row that an engine took and that
	// delivered nothing. A request that brings down every engine it reaches
	// shows like this; five covers two engine deaths and a rack switch in one resume.
	maxAttempts = 5
	// maxRacing bounds attempts that run at once. Two cover the usual loss; the
	// third is for a takeover that lands on another engine of the same lost zone.
	maxRacing = 3
	// minDeadline is the least time without any token before an answer fails.
	minDeadline = 60 * time.Second
	// certainCeilings is how many ceilings of silence make an engine's loss
	// certain for all practical ends: past it a takeover is owed, not speculative.
	certainCeilings = 2
)

// Policy bounds what is done for one answer.
type Policy struct {
	// Silence says when an attempt is suspected.
	Silence silence.Config
	// MaxAttempts bounds attempts in a row that delivered nothing.
	MaxAttempts int
	// MaxConcurrentAttempts bounds attempts that run at once. 1 means that a suspected
	// attempt is given up before its successor starts.
	MaxConcurrentAttempts int
	// Deadline bounds the time without any token before the answer fails.
	Deadline time.Duration
	// CertainAfter is the silence from which a takeover is no longer speculative.
	CertainAfter time.Duration
	// Reattach allows reading an attempt again on a fresh connection.
	Reattach bool
	// StandbyIntervalTokens is how many tokens apart another engine is made to read the
	// answer so far, so that a takeover there needs no prefill; 0 means never.
	StandbyIntervalTokens int
}

// PolicyForService returns the policy of a service by its weight of resume latency
// against extra resources and the time it may wait for its first token.
func PolicyForService(weight float64, deadline time.Duration) Policy {
	s := silence.ConfigForWeight(weight)
	return Policy{
		Silence:               s,
		MaxAttempts:           maxAttempts,
		MaxConcurrentAttempts: maxRacing,
		// A service that may wait long for its first token may also wait as long
		// for a continuation: its answer is owed, and the engines may come back.
		Deadline:     max(minDeadline, deadline),
		CertainAfter: certainCeilings * s.Ceiling,
		Reattach:     true,
	}
}

// AnswerState is what is known about an answer when a decision is due. Silent and
// Threshold are those of the attempt that is least suspicious, since as long as
// one is healthy the answer goes on.
type AnswerState struct {
	RunningAttempts int           // attempts that may still win, those waiting for a backend server included
	RacingAttempts  int           // those of them that do not merely read an engine again
	SilentFor       time.Duration // since the attempt last delivered or was granted its engine
	StalledFor      time.Duration // since the last accepted token or, before it, since the start
	SuspectAfter    time.Duration // silence at which the attempt is suspected
	FailedAttempts  int           // attempts since the last accepted token that an engine took and that failed
	GlobalStall     bool
	// CanReattach says that the leading attempt may still run at its engine
	// and was not yet read again since it last delivered.
	CanReattach bool
}

// Decide chooses the next action. Whether extra work is affordable is decided
// in one place for all of it, where a backend server is asked for.
func Decide(p Policy, v AnswerState) (Action, Reason) {
	switch {
	case v.StalledFor >= p.Deadline:
		return Fail, ReasonDeadline
	case v.RunningAttempts == 0 && v.FailedAttempts >= p.MaxAttempts:
		return Fail, ReasonAttemptsExhausted
	case v.RunningAttempts == 0 && p.Reattach && v.CanReattach:
		return Reattach, ReasonNoAttemptRunning
	case v.RunningAttempts == 0:
		return StartAttempt, ReasonNoAttemptRunning
	case p.Reattach && v.CanReattach && v.SilentFor >= p.ProbeAfter(v.SuspectAfter) && v.SilentFor < v.SuspectAfter:
		return Reattach, ReasonProbe
	case v.SilentFor < v.SuspectAfter:
		return Wait, ReasonHealthy
	case p.MaxConcurrentAttempts > 1 && v.RacingAttempts >= p.MaxConcurrentAttempts && v.SilentFor < p.CertainAfter:
		return Wait, ReasonAlreadyRacing
	case v.SilentFor >= p.CertainAfter && !v.GlobalStall:
		return StartAttempt, ReasonSilentTooLong
	case v.GlobalStall && v.SilentFor < p.CertainAfter:
		return Wait, ReasonGlobalStall
	default:
		return StartAttempt, ReasonSuspected
	}
}

// ProbeAfter is the silence after which the leading attempt is read again on a
// fresh connection. That costs one message and no prefill, so half the
// suspicion is enough; it mends connections that went silent while the engine
// works on, and leaves the other half for a takeover when it does not.
func (p Policy) ProbeAfter(threshold time.Duration) time.Duration { return threshold / 2 }
