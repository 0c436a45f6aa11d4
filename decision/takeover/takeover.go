// Package takeover decides when an answer that has fallen silent goes on at another
// server, and which of two servers keeps it meanwhile.
//
// Load it answers: the link of a VM that is full for a second, so that everything a
// daemon waits for is late at once; a server that pauses, since it reads prompts or has
// thrown out the run; a zone of servers that stops responding without a reset.
//
// Without it every silence counts as the death of a server. The daemon closes the
// connection first and looks for another server afterwards. Behind a full link it gives up
// all its answers so, none of which was lost, finds no server that answers and no repeat
// that the budget affords, and cuts them.
//
// How it holds: a silent server keeps its answer until another one has answered a question
// a moment ago, which shows that the link works, until the budget affords the repeat, and
// until the other has taken the request. A server that has shown that the run is over, by a
// reset or by starting anew, is no concern of this package. One that gives no sign of life
// while others do is given up where the answer can never go on.
package takeover

import "time"

const (
	// SilenceWithCopy is how long an answer whose run has a copy may be silent at least, and
	// half of the route's target for pauses if that is more: going on from the copy has
	// to fit into the other half.
	SilenceWithCopy = 350 * time.Millisecond
	// SilenceWithoutCopy holds without a copy, where going on costs the reading of the whole prompt:
	// the answer is late then in any case.
	SilenceWithoutCopy = 1500 * time.Millisecond
	// RetryInterval is how soon another try is made after one that came to nothing.
	RetryInterval = 200 * time.Millisecond
	// GiveUpAfter is how long an answer is silent before it is given up for want of a
	// repeat, a server or room, where its server responds to no question either. Part of
	// the budget is free again by then.
	GiveUpAfter = 2 * time.Second
	// SettleTime is how long the silent server is listened to once another has answered:
	// what a full link held up arrives in the same moment as that answer.
	SettleTime = 5 * time.Millisecond
	// MaxLinkStall is the longest that the own link is taken to be held up.
	MaxLinkStall = 2 * time.Second
	// MaxOverlap is how long two engines may have the request of one answer while the silent
	// one gives no sign of life: longer than one step of a batch beside a prompt, and less
	// than the time within which a run that is given up must have ended.
	MaxOverlap = 250 * time.Millisecond
)

// MaxSilence is how long an answer may be silent. gapTarget is the route's target for
// pauses, 0 if it has none.
func MaxSilence(hasCopy bool, gapTarget time.Duration) time.Duration {
	if hasCopy {
		return min(max(SilenceWithCopy, gapTarget/2), SilenceWithoutCopy)
	}
	return max(SilenceWithoutCopy, 2*gapTarget)
}

// Outcome is what came of a try to go on elsewhere.
type Outcome uint8

// The outcomes. With all but TakenOver the silent server keeps the answer.
const (
	TakenOver      Outcome = iota + 1
	NoAttemptsLeft         // the route allows no further run
	NoServer               // no other server answers
	StillAlive             // the silent server answers questions, and its run has no copy
	NoCapacity             // the servers that answer cannot read the prompt in time
	NoRetryBudget          // the budget affords none
	Rejected               // the other server did not take the request
	NotNeeded              // the silent server responded again, its connection broke, or the caller left
)

// String returns the word used in logs.
func (o Outcome) String() string {
	return [...]string{"", "taken_over", "no_tries", "no_server", "alive", "no_room", "no_repeat", "turned_away", "not_needed"}[o]
}

// ServerState is what a server has done since both are connected.
type ServerState uint8

// The states.
const (
	Silent ServerState = iota
	Responding
	Broken // its connection broke, or it did not take the request
)

// Action is what is done next with the two servers.
type Action uint8

// The steps.
const (
	Wait   Action = iota
	Keep          // the silent server keeps the answer, the other is let go
	Switch        // the answer goes on at the other server
)

// Decide decides between the silent server and the one that was sent the request after it.
// over says that the two are not waited for any longer.
func Decide(silent, other ServerState, over bool) Action {
	switch {
	case silent == Responding:
		return Keep // nothing was lost, and its run is the further one
	case other == Responding:
		return Switch
	case other == Broken:
		return Keep // a broken connection of the first is dealt with as any other
	case silent == Broken || over:
		return Switch
	}
	return Wait
}

// IsOverlapOver reports whether two servers that both have the request, and of which neither has
// responded to it for Overlap, are not waited for any longer. Each was asked a question since.
// While the silent one answers, the link from here works, and the other's response would be
// here if it ran the request. While neither does, the link is held up, for HeldUp at most.
func IsOverlapOver(silentAnswers, otherAnswers bool, waited time.Duration) bool {
	return !silentAnswers && (otherAnswers || waited >= MaxLinkStall)
}

// ShouldGiveUp reports whether a silent answer is given up if its server answers no question
// either: at once where it can never go on, and after a while where nothing came of waiting. The caller is told then,
// so that it comes back elsewhere. An answer whose server works is waited for.
func ShouldGiveUp(o Outcome, silent time.Duration) bool {
	switch o {
	case NoAttemptsLeft:
		return true
	case NoRetryBudget, NoServer, NoCapacity:
		return silent >= GiveUpAfter
	}
	return false
}
