package resume

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Two attempts race. As soon as one extends the answer, the other's tokens
// continue a text that is no longer the answer.
func TestRaceHasOneWinner(t *testing.T) {
	var r Race
	r.AddAttempt(1)
	_, drop := r.Offer(1, 0, 5, false)
	must.Eq(t, Accepted, drop)
	r.AddAttempt(2)
	_, drop = r.Offer(2, 5, 3, false)
	must.Eq(t, Accepted, drop)
	_, drop = r.Offer(1, 5, 3, false)
	must.Eq(t, Superseded, drop)
	must.Eq(t, []uint64{1}, r.Losers())
	must.Eq(t, 8, r.Length())
}

func TestOffers(t *testing.T) {
	for _, c := range []struct {
		name      string
		offset, n int
		finish    bool
		skip      int
		drop      DropReason
	}{
		{"next", 10, 2, false, 0, Accepted},
		{"overlapping", 8, 4, false, 2, Accepted},
		{"repeated", 8, 2, false, 0, Duplicate},
		{"gap", 11, 2, false, 0, Gap},
		{"empty finish", 10, 0, true, 0, Accepted},
		{"finish before the end", 4, 2, true, 0, Duplicate},
	} {
		var r Race
		r.Restore(10, false)
		r.AddAttempt(1)
		skip, drop := r.Offer(1, c.offset, c.n, c.finish)
		must.Eq(t, c.drop, drop, must.Sprint(c.name))
		must.Eq(t, c.skip, skip, must.Sprint(c.name))
		must.Eq(t, c.finish && drop == Accepted, r.IsFinished())
	}
	var whole Race
	whole.Restore(10, true)
	whole.AddAttempt(1)
	_, drop := whole.Offer(1, 10, 1, false)
	must.Eq(t, AfterFinish, drop)
}

func TestDecide(t *testing.T) {
	p := PolicyForService(1, 0)
	const threshold = 300 * time.Millisecond
	for _, c := range []struct {
		name   string
		view   AnswerState
		action Action
		reason Reason
	}{
		{"healthy", AnswerState{RunningAttempts: 1, SilentFor: threshold / 3, SuspectAfter: threshold, CanReattach: true}, Wait, ReasonHealthy},
		{"half the suspicion", AnswerState{RunningAttempts: 1, SilentFor: threshold / 2, SuspectAfter: threshold, CanReattach: true}, Reattach, ReasonProbe},
		{"suspected", AnswerState{RunningAttempts: 2, SilentFor: threshold, SuspectAfter: threshold}, StartAttempt, ReasonSuspected},
		{"all stalled", AnswerState{RunningAttempts: 1, SilentFor: threshold, SuspectAfter: threshold, GlobalStall: true}, Wait, ReasonGlobalStall},
		{"stalled for long", AnswerState{RunningAttempts: 1, SilentFor: p.CertainAfter, SuspectAfter: threshold, GlobalStall: true}, StartAttempt, ReasonSuspected},
		{"silent for long", AnswerState{RunningAttempts: 1, SilentFor: p.CertainAfter, SuspectAfter: threshold}, StartAttempt, ReasonSilentTooLong},
		{"three race", AnswerState{RunningAttempts: 3, RacingAttempts: 3, SilentFor: threshold, SuspectAfter: threshold}, Wait, ReasonAlreadyRacing},
		{"two race and one reads again", AnswerState{RunningAttempts: 3, RacingAttempts: 2, SilentFor: threshold, SuspectAfter: threshold}, StartAttempt, ReasonSuspected},
		{"three race for long", AnswerState{RunningAttempts: 3, RacingAttempts: 3, SilentFor: p.CertainAfter, SuspectAfter: threshold}, StartAttempt, ReasonSilentTooLong},
		{"connection broke", AnswerState{CanReattach: true}, Reattach, ReasonNoAttemptRunning},
		{"engine gone", AnswerState{}, StartAttempt, ReasonNoAttemptRunning},
		{"every engine it meets dies", AnswerState{FailedAttempts: maxAttempts}, Fail, ReasonAttemptsExhausted},
		{"nothing for too long", AnswerState{RunningAttempts: 1, StalledFor: p.Deadline}, Fail, ReasonDeadline},
	} {
		action, reason := Decide(p, c.view)
		must.Eq(t, c.action, action, must.Sprint(c.name))
		must.Eq(t, c.reason, reason, must.Sprint(c.name))
	}
}
