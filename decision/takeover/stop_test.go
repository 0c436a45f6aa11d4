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

// A response with a copy waits no longer for its silent server than its gap target allows.
func TestStopTimeout(t *testing.T) {
	must.LessEq(t, ResumeTime, StopTimeout(true))
	must.LessEq(t, SilenceWithoutCopy, StopTimeout(false))
	for failed, want := range []time.Duration{minStopDelay, 2 * minStopDelay, 4 * minStopDelay, maxStopDelay, maxStopDelay} {
		must.Eq(t, want, StopDelay(failed))
	}
}
