package forward

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/external/sent"
)

// Guards against a restarted process that vouches for the one before it under the same id.
func TestProcessStateByStartTime(t *testing.T) {
	for _, c := range []struct {
		startedAtMS int64 // of the server's entry
		status      int
		born        string
		want        sent.ServerState
	}{
		{5, 200, "5", sent.ServerRuns},
		{5, 503, "5", sent.ServerRuns},
		{5, 200, "6", sent.ServerExited},
		{5, 200, "4", sent.ServerExited},
		{5, 421, "", sent.ServerExited},
		{5, 200, "", sent.ServerUnknown},
		{5, 200, "-1", sent.ServerUnknown},
		{5, 200, "now", sent.ServerUnknown},
		{0, 200, "5", sent.ServerUnknown},
		{0, 200, "", sent.ServerUnknown},
	} {
		s := routing.Server{ID: "d1", StartedAtMS: c.startedAtMS}
		must.Eq(t, c.want, DefaultCodec{}.ProcessState(s, c.status, http.Header{headerBorn: {c.born}}), must.Sprint(c))
	}
}
