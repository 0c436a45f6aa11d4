package takeover

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestMaxSilence(t *testing.T) {
	for _, c := range []struct {
		name    string
		hasCopy bool
		target  time.Duration
		want    time.Duration
	}{
		{"copy, no target", true, 0, SilenceWithCopy},
		{"copy, usual target", true, 700 * time.Millisecond, 350 * time.Millisecond},
		{"copy, long target", true, 2 * time.Second, time.Second},
		{"copy, target longer than processing the prompt again", true, 10 * time.Second, SilenceWithoutCopy},
		{"no copy, no target", false, 0, SilenceWithoutCopy},
		{"no copy, long target", false, 2 * time.Second, 4 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			must.Eq(t, c.want, MaxSilence(c.hasCopy, c.target))
		})
	}
}

// A slow server pauses for longer than others while it processes prompts. Its response must not be
// taken over for that, but resuming from the copy must still fit into the gap target. Without a usual
// pause, the silence is that of MaxSilence.
func TestMaxSilenceAtSlowServer(t *testing.T) {
	const target = 700 * time.Millisecond
	for _, c := range []struct {
		name                string
		hasCopy             bool
		target, pause, want time.Duration
	}{
		{"usual pause", true, target, 450 * time.Millisecond, 450 * time.Millisecond},
		{"shorter than the silence", true, target, 300 * time.Millisecond, 350 * time.Millisecond},
		{"too long for the target", true, target, 2 * time.Second, target - ResumeTime},
		{"no target", true, 0, time.Second, time.Second},
		{"no target, long pause", true, 0, 9 * time.Second, SilenceWithoutCopy},
		{"target too short to resume", true, 100 * time.Millisecond, time.Second, SilenceWithCopy},
		{"no copy", false, target, 2 * time.Second, SilenceWithoutCopy},
	} {
		t.Run(c.name, func(t *testing.T) {
			must.Eq(t, c.want, MaxSilenceAt(c.hasCopy, c.target, c.pause))
			must.Eq(t, MaxSilence(c.hasCopy, c.target), MaxSilenceAt(c.hasCopy, c.target, 0))
		})
	}
}

// The caller must get one response of one run. The server that sends first keeps the response; a
// silent server is released only for one that accepted the request.
func TestDecide(t *testing.T) {
	for _, c := range []struct {
		name          string
		silent, other ServerState
		onOverlap     Action
		want          Action
	}{
		{"no signal yet", Silent, Silent, Wait, Wait},
		{"the other accepts", Silent, Responding, Wait, Switch},
		{"the other rejects", Silent, Broken, Wait, Keep},
		{"the silent one responds", Responding, Silent, Wait, Keep},
		{"both respond", Responding, Responding, Wait, Keep},
		{"the silent one responds, overlap is over", Responding, Silent, Switch, Keep},
		{"the silent one breaks", Broken, Silent, Wait, Switch},
		{"the silent one breaks, the other accepts", Broken, Responding, Wait, Switch},
		{"both break", Broken, Broken, Wait, Keep},
		{"overlap is over", Silent, Silent, Switch, Switch},
		{"both are silent for long", Silent, Silent, Keep, Keep},
		{"overlap is over and the other rejected", Silent, Broken, Switch, Keep},
	} {
		t.Run(c.name, func(t *testing.T) {
			must.Eq(t, c.want, Decide(c.silent, c.other, c.onOverlap))
		})
	}
}

// A response that can never continue is given up at once if its server has ended. One that may continue
// soon is kept for a while.
func TestIsExhausted(t *testing.T) {
	afterWait := map[Outcome]bool{NoAttemptsLeft: true, NoRetryBudget: true, NoServer: true, NoCapacity: true}
	for o := TakenOver; o <= NotNeeded; o++ {
		must.Eq(t, o == NoAttemptsLeft, IsExhausted(o, GiveUpAfter-1), must.Sprint(o))
		must.Eq(t, afterWait[o], IsExhausted(o, GiveUpAfter), must.Sprint(o))
	}
}

// Silence ends no response, however long it lasts.
func TestSilenceIsNoEvidence(t *testing.T) {
	for _, c := range []struct {
		evidence      Evidence
		early, always bool
	}{
		{NoEvidence, false, false},
		{Exited, true, true},
		{Unregistered, false, true},
		{ResponseLost, false, true},
	} {
		t.Run(c.evidence.String(), func(t *testing.T) {
			must.Eq(t, c.early, c.evidence.ShowsEnd(maxPause-1))
			must.Eq(t, c.always, c.evidence.ShowsEnd(maxPause))
			must.Eq(t, c.always, c.evidence.ShowsEnd(time.Hour))
		})
	}
}

// The first servers that reject a response are followed by others at once, further ones ever later.
func TestResendDelay(t *testing.T) {
	for rejections, want := range []time.Duration{0, 0, 0, minResendDelay, 2 * minResendDelay, maxResendDelay, maxResendDelay} {
		must.Eq(t, want, ResendDelay(rejections))
	}
}

func TestRetryDelay(t *testing.T) {
	for failed, want := range []time.Duration{minRetryDelay, maxRetryDelay, maxRetryDelay} {
		must.Eq(t, want, RetryDelay(failed))
	}
	for looks, want := range []time.Duration{minRetryDelay, 2 * minRetryDelay, maxResendDelay, maxResendDelay} {
		must.Eq(t, want, LookDelay(looks))
	}
}

// Two servers hold one request and send nothing. The first one is released once the other one runs the request, or
// for one that answers. No wait in which the other one may run the request lasts longer than MaxOverlap.
func TestAfterOverlap(t *testing.T) {
	for _, c := range []struct {
		name    string
		reports OverlapReports
		waited  time.Duration
		want    Action
	}{
		{"both answer, the other has not begun", OverlapReports{SilentAnswers: true, OtherAnswers: true}, time.Hour, Wait},
		{"both answer, the other runs it", OverlapReports{SilentAnswers: true, OtherAnswers: true, OtherRuns: true}, OverlapCheckInterval, Switch},
		{"both answer, the other resumes and may have begun", OverlapReports{SilentAnswers: true, OtherAnswers: true, OtherResumes: true}, maxUnansweredOverlap, Wait},
		{"both answer, the other resumes and has begun by now", OverlapReports{SilentAnswers: true, OtherAnswers: true, OtherResumes: true}, maxResumeOverlap, Switch},
		{"only the other answers and runs it", OverlapReports{OtherAnswers: true, OtherRuns: true}, OverlapCheckInterval, Switch},
		{"the other does not answer a probe", OverlapReports{SilentAnswers: true}, OverlapCheckInterval, Wait},
		{"only the first answers", OverlapReports{SilentAnswers: true}, maxUnansweredOverlap, Keep},
		{"the first does not answer yet", OverlapReports{OtherAnswers: true}, OverlapCheckInterval, Wait},
		{"the first does not answer", OverlapReports{OtherAnswers: true}, MaxOverlap, Switch},
		{"neither answers a probe", OverlapReports{}, OverlapCheckInterval, Wait},
		{"neither answers", OverlapReports{}, MaxOverlap, Keep},
	} {
		t.Run(c.name, func(t *testing.T) {
			must.Eq(t, c.want, AfterOverlap(c.reports, c.waited))
		})
	}
}

func TestOutcomesHaveNames(t *testing.T) {
	for o := TakenOver; o <= NotNeeded; o++ {
		must.NotEq(t, "", o.String())
	}
}
