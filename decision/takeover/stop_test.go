package takeover

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Only a reply that says so shows that a run has ended.
func TestStopResults(t *testing.T) {
	ended := map[StopResult]bool{StoppedCopied: true, StoppedKept: true, NotRunning: true, ProcessExited: true}
	for r := StopUnanswered; r <= ProcessExited; r++ {
		must.Eq(t, ended[r], r.HasEnded(), must.Sprint(r))
		must.NotEq(t, "", r.String())
	}
}

// While the silent server is asked to stop, only the other one decides.
func TestDecideWhileStopping(t *testing.T) {
	must.Eq(t, Wait, DecideWhileStopping(Silent))
	must.Eq(t, Switch, DecideWhileStopping(Responding))
	must.Eq(t, Keep, DecideWhileStopping(Broken))
}

// A response with a copy waits no longer for its silent server than its gap target allows.
func TestStopTimeout(t *testing.T) {
	must.LessEq(t, ResumeTime, StopTimeout(true))
	must.LessEq(t, SilenceWithoutCopy, StopTimeout(false))
	for failed, want := range []time.Duration{minStopDelay, 2 * minStopDelay, 4 * minStopDelay, maxStopDelay, maxStopDelay} {
		must.Eq(t, want, StopDelay(failed))
	}
}
