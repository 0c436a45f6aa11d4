package resume

import (
	"time"

	"mallowwind.dev/decision/silence"
)

// Action is the next step for an answer.
type Action uint8

// The actions.
const (
	Wait         Action = iota // let the running attempts continue
	Reattach                   // read the leading attempt again on a fresh connection
	StartAttempt               // start one more attempt
	Fail                       // tell the caller that the answer ends here
)

// Reason explains an Action in logs and metrics.
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
	// maxAttempts bounds the consecutive attempts that an engine accepted and that delivered
	// nothing. A request that crashes every engine it reaches looks like this. Five covers two
	// engine deaths and the failure of a rack switch in one resume.
	maxAttempts = 5
	// maxConcurrentAttempts bounds the attempts that run at once. Two cover the usual loss;
	// the third is for a takeover that lands on another engine in the same lost zone.
	maxConcurrentAttempts = 3
	// minDeadline is the least time without any token before an answer fails.
	minDeadline = 60 * time.Second
	// certainCeilingCount is the silence, in multiples of the silence ceiling, after which the
	// loss of an engine is treated as certain: from then on a takeover is required and not
	// speculative.
	certainCeilingCount = 2
)

// Policy bounds the attempts made for one answer.
type Policy struct {
	// Silence configures when an attempt is suspected.
	Silence silence.Config
	// MaxAttempts bounds the consecutive attempts that delivered nothing.
	MaxAttempts int
	// MaxConcurrentAttempts bounds the attempts that run at once. With 1 a suspected attempt
	// is cancelled before its successor starts.
	MaxConcurrentAttempts int
	// Deadline bounds the time without any token before the answer fails.
	Deadline time.Duration
	// CertainAfter is the silence after which a takeover is no longer speculative.
	CertainAfter time.Duration
	// Reattach allows reading an attempt again on a fresh connection.
	Reattach bool
	// StandbyIntervalTokens is the number of tokens after which another engine reads the
	// answer so far once more, so that a takeover there needs no prefill; 0 disables it.
	StandbyIntervalTokens int
}

// PolicyForService returns the policy of a service, given its weight of resume latency against
// extra resources and the time that it may wait for its first token.
func PolicyForService(weight float64, deadline time.Duration) Policy {
	s := silence.ConfigForWeight(weight)
	return Policy{
		Silence:               s,
		MaxAttempts:           maxAttempts,
		MaxConcurrentAttempts: maxConcurrentAttempts,
		// A service that may wait long for its first token may wait as long for a
		// continuation: its caller still needs the answer, and the engines may come back.
		Deadline:     max(minDeadline, deadline),
		CertainAfter: certainCeilingCount * s.Ceiling,
		Reattach:     true,
	}
}

// AnswerState describes an answer when a decision is due. SilentFor and SuspectAfter are those
// of the least suspicious attempt, because the answer continues as long as one attempt is
// healthy.
type AnswerState struct {
	RunningAttempts int           // that can still win, including those that wait for a backend server
	RacingAttempts  int           // running, without those that only read an engine's output again
	SilentFor       time.Duration // since the attempt last delivered or was given its engine
	StalledFor      time.Duration // since the last accepted token or, before the first one, since the start
	SuspectAfter    time.Duration // silence after which the attempt is suspected
	FailedAttempts  int           // accepted by an engine and failed, since the last accepted token
	GlobalStall     bool
	// CanReattach reports that the leading attempt may still run at its engine and has not
	// been read again since it last delivered.
	CanReattach bool
}

// Decide chooses the next action. Whether extra work is affordable is not decided here but in
// one place for all extra work, when a backend server is requested.
func Decide(p Policy, s AnswerState) (Action, Reason) {
	switch {
	case s.StalledFor >= p.Deadline:
		return Fail, ReasonDeadline
	case s.RunningAttempts == 0 && s.FailedAttempts >= p.MaxAttempts:
		return Fail, ReasonAttemptsExhausted
	case s.RunningAttempts == 0 && p.Reattach && s.CanReattach:
		return Reattach, ReasonNoAttemptRunning
	case s.RunningAttempts == 0:
		return StartAttempt, ReasonNoAttemptRunning
	case p.Reattach && s.CanReattach && s.SilentFor >= p.ProbeAfter(s.SuspectAfter) && s.SilentFor < s.SuspectAfter:
		return Reattach, ReasonProbe
	case s.SilentFor < s.SuspectAfter:
		return Wait, ReasonHealthy
	case p.MaxConcurrentAttempts > 1 && s.RacingAttempts >= p.MaxConcurrentAttempts && s.SilentFor < p.CertainAfter:
		return Wait, ReasonAlreadyRacing
	case s.SilentFor >= p.CertainAfter && !s.GlobalStall:
		return StartAttempt, ReasonSilentTooLong
	case s.GlobalStall && s.SilentFor < p.CertainAfter:
		return Wait, ReasonGlobalStall
	default:
		return StartAttempt, ReasonSuspected
	}
}

// ProbeAfter returns the silence after which the leading attempt is read again on a fresh
// connection. Reading again costs one message and no prefill, so half the suspicion threshold
// is enough. It recovers connections that went silent while the engine continues, and
// otherwise leaves the other half of the threshold before a takeover.
func (p Policy) ProbeAfter(threshold time.Duration) time.Duration { return threshold / 2 }
