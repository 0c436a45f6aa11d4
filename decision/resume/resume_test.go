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
	r.Start(1)
	_, drop := r.Offer(1, 0, 5, false)
	must.Eq(t, Accepted, drop)
	r.Start(2)
	_, drop = r.Offer(2, 5, 3, false)
	must.Eq(t, Accepted, drop)
	_, drop = r.Offer(1, 5, 3, false)
	must.Eq(t, Outrun, drop)
	must.Eq(t, []uint64{1}, r.Losers())
	must.Eq(t, 8, r.Length())
}

func TestOffers(t *testing.T) {
	for _, c := range []struct {
		name      string
		offset, n int
		finish    bool
		skip      int
		drop      Drop
	}{
		{"next", 10, 2, false, 0, Accepted},
		{"overlapping", 8, 4, false, 2, Accepted},
		{"repeated", 8, 2, false, 0, Repeated},
		{"gap", 11, 2, false, 0, Gap},
		{"empty finish", 10, 0, true, 0, Accepted},
		{"finish before the end", 4, 2, true, 0, Repeated},
	} {
		var r Race
		r.Restore(10, false)
		r.Start(1)
		skip, drop := r.Offer(1, c.offset, c.n, c.finish)
		must.Eq(t, c.drop, drop, must.Sprint(c.name))
		must.Eq(t, c.skip, skip, must.Sprint(c.name))
		must.Eq(t, c.finish && drop == Accepted, r.Finished())
	}
	var whole Race
	whole.Restore(10, true)
	whole.Start(1)
	_, drop := whole.Offer(1, 10, 1, false)
	must.Eq(t, AfterFinish, drop)
}

func TestDecide(t *testing.T) {
	p := ForService(1, 0)
	const threshold = 300 * time.Millisecond
	for _, c := range []struct {
		name   string
		view   View
		action Action
		reason Reason
	}{
		{"healthy", View{Running: 1, Silent: threshold / 3, Threshold: threshold, Reattachable: true}, Wait, ReasonHealthy},
		{"half the suspicion", View{Running: 1, Silent: threshold / 2, Threshold: threshold, Reattachable: true}, Reattach, ReasonProbe},
		{"suspected", View{Running: 2, Silent: threshold, Threshold: threshold}, Attempt, ReasonSuspected},
		{"all stalled", View{Running: 1, Silent: threshold, Threshold: threshold, GlobalStall: true}, Wait, ReasonStalled},
		{"stalled for long", View{Running: 1, Silent: p.Certain, Threshold: threshold, GlobalStall: true}, Attempt, ReasonSuspected},
		{"silent for long", View{Running: 1, Silent: p.Certain, Threshold: threshold}, Attempt, ReasonCertain},
		{"three race", View{Running: 3, Racing: 3, Silent: threshold, Threshold: threshold}, Wait, ReasonRacing},
		{"two race and one reads again", View{Running: 3, Racing: 2, Silent: threshold, Threshold: threshold}, Attempt, ReasonSuspected},
		{"three race for long", View{Running: 3, Racing: 3, Silent: p.Certain, Threshold: threshold}, Attempt, ReasonCertain},
		{"connection broke", View{Reattachable: true}, Reattach, ReasonBroken},
		{"engine gone", View{}, Attempt, ReasonBroken},
		{"every engine it meets dies", View{Fruitless: maxAttempts}, Fail, ReasonExhausted},
		{"nothing for too long", View{Running: 1, Stopped: p.Deadline}, Fail, ReasonDeadline},
	} {
		action, reason := Decide(p, c.view)
		must.Eq(t, c.action, action, must.Sprint(c.name))
		must.Eq(t, c.reason, reason, must.Sprint(c.name))
	}
}
