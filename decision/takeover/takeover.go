// Package takeover decides when a response whose server has gone silent continues on another
// server, and which of the two servers keeps the response in the meantime.
//
// Load pattern: a VM's network link that is saturated for a second, so that everything a daemon
// waits for is late at the same time; a server that pauses because it processes prompts or has
// evicted the run; an availability zone whose servers stop responding without a connection reset.
//
// Without this package, every silence is treated as a server failure: the daemon closes the
// connection first and looks for another server afterwards. Behind a saturated link it thereby
// gives up all its responses, none of which was lost, finds no reachable server and no retry left
// in the budget, and cuts the responses off.
//
// Decision: a silent server keeps its response until another server has just answered a probe,
// which shows that the link works, until the budget permits the retry, and until the other server
// has accepted the request. Then it is asked to stop its run, for two servers must not work on one
// response. Silence alone never ends a response: a sound server may pause for a second or more and then
// go on. A response that cannot continue elsewhere ends only with evidence that its server produces it
// no more.
package takeover

import "time"

const (
	// SilenceWithCopy is the least value of MaxSilence if a copy of the run's state exists. Half of
	// the route's gap target applies instead if that is longer: resuming from the copy must fit
	// into the other half.
	SilenceWithCopy = 350 * time.Millisecond
	// SilenceWithoutCopy is the same without a copy, and the greatest value with one. Without a
	// copy, resuming means processing the whole prompt again, so the response is late in any case.
	SilenceWithoutCopy = 1500 * time.Millisecond
	// ResumeTime is the part of a gap target that is left for resuming from a copy: a probe, the
	// request, and one step of a batch that also processes a prompt.
	ResumeTime = 200 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the time to the next attempt to continue a response. Each
	// attempt probes several engines.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// minResendDelay and maxResendDelay bound the time between two requests for a response that has begun,
	// once fullAfter servers in a row rejected it: with that many the whole service is full, not a
	// single server.
	minResendDelay = 200 * time.Millisecond
	maxResendDelay = 800 * time.Millisecond
	fullAfter      = 3
	// GiveUpAfter is how long a response whose server has ended may be silent before it is given up for
	// lack of retry budget, servers or capacity. Part of the budget is available again by then.
	GiveUpAfter = 2 * time.Second
	// maxPause is longer than the pauses of a server that runs.
	maxPause = 3 * time.Second
	// SettleTime is how long the daemon still listens to the silent server after another server has
	// answered: data held up by a saturated link arrives together with that answer.
	SettleTime = 5 * time.Millisecond
	// MaxLinkStall is the longest time for which silence is attributed to the daemon's own link.
	MaxLinkStall = 2 * time.Second
	// MaxOverlap is how long two engines may hold the request of one response while the silent one
	// does not answer either. It is longer than one step of a batch that also processes a prompt, and
	// shorter than the time within which an abandoned run must have ended.
	MaxOverlap = 250 * time.Millisecond
	// OverlapCheckInterval is how often both engines are probed while they hold the request. With the lag
	// of a report, a run that has begun is seen within MaxOverlap.
	OverlapCheckInterval = 70 * time.Millisecond
	// maxUnansweredOverlap is how long the second engine may not answer probes while the silent one does. A
	// single probe may be lost.
	maxUnansweredOverlap = 3 * OverlapCheckInterval
	// maxResumeOverlap is how long the silent engine may go on while the other one does not list a request
	// that resumes from a copy. It begins such a request at once, but its report may lag.
	maxResumeOverlap = 5 * OverlapCheckInterval
)

// MaxSilence returns how long a response may be silent. gapTarget is the route's target for the
// longest gap in a response, 0 if it has none.
func MaxSilence(hasCopy bool, gapTarget time.Duration) time.Duration {
	if hasCopy {
		return min(max(SilenceWithCopy, gapTarget/2), SilenceWithoutCopy)
	}
	return max(SilenceWithoutCopy, 2*gapTarget)
}

// MaxSilenceAt is MaxSilence at a server of known pace. usualPause is the longest pause between two
// events that is usual there, 0 if the server is not slower than others. A usual pause is no sign of
// a failure, so the silence is that long, but resuming from the copy must still fit into the gap
// target.
//
// Without it, responses of slow servers are taken over while these process prompts. Most takeovers
// are cancelled because the server sends again, and the others use up the copy and a retry.
func MaxSilenceAt(hasCopy bool, gapTarget, usualPause time.Duration) time.Duration {
	silence := MaxSilence(hasCopy, gapTarget)
	if !hasCopy {
		return silence // resuming means a whole prefill, so a usual pause does not matter
	}
	limit := SilenceWithoutCopy
	if gapTarget > 0 {
		limit = min(limit, gapTarget-ResumeTime)
	}
	return max(silence, min(usualPause, limit))
}

// Outcome is the result of an attempt to continue on another server.
type Outcome uint8

// The outcomes. With all but TakenOver the silent server keeps the response.
const (
	TakenOver      Outcome = iota + 1
	NoAttemptsLeft         // the route allows no further run
	NoServer               // no other server answers
	StillAlive             // the silent server answers probes, and its run has no copy
	NoCapacity             // the servers that answer cannot process the prompt in time
	NoRetryBudget          // the retry budget is exhausted
	Rejected               // the other server did not accept the request
	NotNeeded              // the silent server responded again, its connection broke, or the caller left
)

// String returns the name used in logs.
func (o Outcome) String() string {
	return [...]string{"", "taken_over", "no_tries", "no_server", "alive", "no_room", "no_repeat", "turned_away", "not_needed"}[o]
}

// ServerState is what a server has sent since both servers have a connection.
type ServerState uint8

// The server states.
const (
	Silent ServerState = iota
	Responding
	Broken // its connection broke, or it did not accept the request
)

// Action is what the daemon does next with the two servers.
type Action uint8

// The actions.
const (
	Wait   Action = iota
	Keep          // the silent server keeps the response, the other one is released
	Switch        // the response continues on the other server
)

// Decide chooses between the silent server and the one that received the request after it. onOverlap is
// the result of AfterOverlap, Wait before that.
func Decide(silent, other ServerState, onOverlap Action) Action {
	switch {
	case silent == Responding:
		return Keep // nothing was lost, and its run is further ahead
	case other == Responding:
		return Switch
	case other == Broken:
		return Keep // a broken connection of the silent server is handled like any other
	case silent == Broken:
		return Switch
	}
	return onOverlap
}

// OverlapReports is what probes of two servers that both hold the request show.
type OverlapReports struct {
	SilentAnswers bool // the silent server answers
	OtherAnswers  bool // the other server answers
	OtherRuns     bool // the other server reports that it has begun the request
	OtherResumes  bool // the other server was asked to resume from a copy
}

// AfterOverlap returns what the daemon does with two servers that have held the request for the given time and
// have sent nothing. Once the other server runs the request, the silent one is released, for only one of them may
// work on it. Before that, the silent one keeps the response while it answers, and the other one is released if it
// does not answer, for it may run the request all the same. If neither answers, as behind a link of the daemon that
// is held up, the first one's run is further ahead.
func AfterOverlap(r OverlapReports, waited time.Duration) Action {
	switch {
	case r.OtherRuns:
		return Switch
	case r.SilentAnswers && !r.OtherAnswers && waited >= maxUnansweredOverlap:
		return Keep
	case r.OtherAnswers && r.OtherResumes && waited >= maxResumeOverlap:
		return Switch
	case r.SilentAnswers, waited < MaxOverlap:
		return Wait
	case r.OtherAnswers:
		return Switch
	}
	return Keep
}

// IsExhausted reports whether a silent response is given up if its server has ended: immediately if no
// other server can ever continue it, and after GiveUpAfter if waiting did not help. The caller is then
// told and can retry elsewhere.
func IsExhausted(o Outcome, silent time.Duration) bool {
	switch o {
	case NoAttemptsLeft:
		return true
	case NoRetryBudget, NoServer, NoCapacity:
		return silent >= GiveUpAfter
	}
	return false
}

// Evidence is what shows, beside its silence, that a server does not produce its response any more.
type Evidence uint8

// The kinds of evidence.
const (
	NoEvidence   Evidence = iota // silence, and failed probes at most
	Exited                       // its port refuses connections, or another process has it
	Unregistered                 // its registration has ended, and it answers no probe while others do
	ResponseLost                 // it has generated events for the response, and none has arrived
)

// String returns the name used in logs.
func (e Evidence) String() string {
	return [...]string{"none", "exited", "unregistered", "response_lost"}[e]
}

// ShowsEnd reports whether the response of a server ends, given how long it has been silent. A server
// without registration may still be serving, and a response may arrive late: both are waited for as long
// as a pause may take.
func (e Evidence) ShowsEnd(silent time.Duration) bool {
	switch e {
	case Exited:
		return true
	case Unregistered, ResponseLost:
		return silent >= maxPause
	}
	return false
}

// RetryDelay returns the time to the next attempt to continue a response, after some that failed.
func RetryDelay(failed int) time.Duration { return doubled(minRetryDelay, failed, maxRetryDelay) }

// ResendDelay returns the time until a response that has begun is requested from another server, after some
// that rejected it in a row. Each request uses a retry of the fleet's budget.
func ResendDelay(rejections int) time.Duration {
	if rejections < fullAfter {
		return 0
	}
	return doubled(minResendDelay, rejections-fullAfter, maxResendDelay)
}

// LookDelay returns the time until servers are looked at again for a response that has begun and that none
// could continue in some looks before. A look probes several engines.
func LookDelay(looks int) time.Duration { return doubled(minRetryDelay, looks, maxResendDelay) }

// doubled returns d doubled n times, up to limit.
func doubled(d time.Duration, n int, limit time.Duration) time.Duration {
	for range n {
		d = min(2*d, limit)
	}
	return d
}
