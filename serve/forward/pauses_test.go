package forward

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"mallowwind.dev/decision/rollout"
)

// A server of a new version asks for a pause. The version must not be taken back for that: what a
// server can carry now says nothing of its version.
func TestPauseSaysNothingOfTheVersion(t *testing.T) {
	rejected := outcome{notRun: true, rejected: true, full: true, status: http.StatusServiceUnavailable}
	result, ok := rejected.trialOutcome(t.Context())
	must.True(t, ok)
	must.Eq(t, rollout.Failed, result)
	rejected.reply.RetryAfter = "3"
	_, ok = rejected.trialOutcome(t.Context())
	must.False(t, ok)
}
