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
		{"copy, wide target", true, 2 * time.Second, time.Second},
		{"copy, target beyond reading anew", true, 10 * time.Second, SilenceWithoutCopy},
		{"alone, no target", false, 0, SilenceWithoutCopy},
		{"alone, wide target", false, 2 * time.Second, 4 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			must.Eq(t, c.want, MaxSilence(c.hasCopy, c.target))
		})
	}
}

// The caller must have one answer of one run. Whichever server speaks first keeps it; a
// server that cannot be heard is let go only for one that took the request.
func TestDecide(t *testing.T) {
	for _, c := range []struct {
		name          string
		silent, other ServerState
		over          bool
		want          Action
	}{
		{"nothing yet", Silent, Silent, false, Wait},
		{"the other takes it", Silent, Responding, false, Switch},
		{"the other turns it away", Silent, Broken, false, Keep},
		{"the silent one responds", Responding, Silent, false, Keep},
		{"both respond", Responding, Responding, false, Keep},
		{"the silent one responds, time is over", Responding, Silent, true, Keep},
		{"the silent one breaks", Broken, Silent, false, Switch},
		{"the silent one breaks, the other takes it", Broken, Responding, false, Switch},
		{"both break", Broken, Broken, false, Keep},
		{"time is over", Silent, Silent, true, Switch},
		{"time is over and the other turned it away", Silent, Broken, true, Keep},
	} {
		t.Run(c.name, func(t *testing.T) {
			must.Eq(t, c.want, Decide(c.silent, c.other, c.over))
		})
	}
}

// A caller whose answer can never go on is told; one whose answer may go on in a moment, or
// whose server works, waits.
func TestShouldGiveUp(t *testing.T) {
	afterWait := map[Outcome]bool{NoAttemptsLeft: true, NoRetryBudget: true, NoServer: true, NoCapacity: true}
	for o := TakenOver; o <= NotNeeded; o++ {
		must.Eq(t, o == NoAttemptsLeft, ShouldGiveUp(o, GiveUpAfter-1), must.Sprint(o))
		must.Eq(t, afterWait[o], ShouldGiveUp(o, GiveUpAfter), must.Sprint(o))
	}
}

// Two servers have one request and say nothing. The one that had it first is let go of where
// it answers no question and the link from here is not at fault.
func TestIsOverlapOver(t *testing.T) {
	for _, c := range []struct {
		name          string
		silent, other bool // answer a question
		waited        time.Duration
		want          bool
	}{
		{"both answer", true, true, MaxOverlap, false},
		{"the first alone answers", true, false, MaxLinkStall, false},
		{"the first does not answer", false, true, MaxOverlap, true},
		{"the link is held up", false, false, MaxOverlap, false},
		{"the link is held up for long", false, false, MaxLinkStall, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			must.Eq(t, c.want, IsOverlapOver(c.silent, c.other, c.waited))
		})
	}
}

func TestOutcomesHaveNames(t *testing.T) {
	for o := TakenOver; o <= NotNeeded; o++ {
		must.NotEq(t, "", o.String())
	}
}
