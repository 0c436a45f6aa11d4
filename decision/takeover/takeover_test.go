package takeover

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestPatience(t *testing.T) {
	for _, c := range []struct {
		name    string
		hasCopy bool
		target  time.Duration
		want    time.Duration
	}{
		{"copy, no target", true, 0, WithCopy},
		{"copy, usual target", true, 700 * time.Millisecond, 350 * time.Millisecond},
		{"copy, wide target", true, 2 * time.Second, time.Second},
		{"copy, target beyond reading anew", true, 10 * time.Second, Alone},
		{"alone, no target", false, 0, Alone},
		{"alone, wide target", false, 2 * time.Second, 4 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			must.Eq(t, c.want, Patience(c.hasCopy, c.target))
		})
	}
}

// The caller must have one answer of one run. Whichever server speaks first keeps it; a
// server that cannot be heard is let go only for one that took the request.
func TestSettle(t *testing.T) {
	for _, c := range []struct {
		name          string
		silent, other State
		over          bool
		want          Step
	}{
		{"nothing yet", Quiet, Quiet, false, Wait},
		{"the other takes it", Quiet, Responds, false, Move},
		{"the other turns it away", Quiet, Broken, false, Keep},
		{"the silent one responds", Responds, Quiet, false, Keep},
		{"both respond", Responds, Responds, false, Keep},
		{"the silent one responds, time is over", Responds, Quiet, true, Keep},
		{"the silent one breaks", Broken, Quiet, false, Move},
		{"the silent one breaks, the other takes it", Broken, Responds, false, Move},
		{"both break", Broken, Broken, false, Keep},
		{"time is over", Quiet, Quiet, true, Move},
		{"time is over and the other turned it away", Quiet, Broken, true, Keep},
	} {
		t.Run(c.name, func(t *testing.T) {
			must.Eq(t, c.want, Settle(c.silent, c.other, c.over))
		})
	}
}

// A caller whose answer can never go on is told; one whose answer may go on in a moment, or
// whose server works, waits.
func TestGiveUp(t *testing.T) {
	later := map[Outcome]bool{NoTries: true, NoRepeat: true, NoServer: true, NoRoom: true}
	for o := TakenOver; o <= NotNeeded; o++ {
		must.Eq(t, o == NoTries, GiveUp(o, Hopeless-1), must.Sprint(o))
		must.Eq(t, later[o], GiveUp(o, Hopeless), must.Sprint(o))
	}
}

// Two servers have one request and say nothing. The one that had it first is let go of where
// it answers no question and the link from here is not at fault.
func TestOver(t *testing.T) {
	for _, c := range []struct {
		name          string
		silent, other bool // answer a question
		waited        time.Duration
		want          bool
	}{
		{"both answer", true, true, Overlap, false},
		{"the first alone answers", true, false, HeldUp, false},
		{"the first does not answer", false, true, Overlap, true},
		{"the link is held up", false, false, Overlap, false},
		{"the link is held up for long", false, false, HeldUp, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			must.Eq(t, c.want, Over(c.silent, c.other, c.waited))
		})
	}
}

func TestOutcomesHaveWords(t *testing.T) {
	for o := TakenOver; o <= NotNeeded; o++ {
		must.NotEq(t, "", o.String())
	}
}
