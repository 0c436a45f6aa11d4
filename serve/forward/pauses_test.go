package forward

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"mallowwind.dev/decision/rollout"
)

// Guards against a healthy version that is taken back because one of its servers pauses.
func TestPauseSaysNothingOfTheVersion(t *testing.T) {
	rejected := outcome{notRun: true, rejected: true, full: true, status: http.StatusServiceUnavailable}
	result, ok := rejected.trialOutcome(t.Context())
	must.True(t, ok)
	must.Eq(t, rollout.Failed, result)
	rejected.reply.RetryAfter = "3"
	_, ok = rejected.trialOutcome(t.Context())
	must.False(t, ok)
}
