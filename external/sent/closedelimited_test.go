package sent_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"mallowwind.dev/external/sent"
)

// Guards against a response that counts as complete although nothing tells whether its server has died.
func TestEndOfCloseDelimitedResponse(t *testing.T) {
	for state, want := range map[sent.ServerState]error{
		sent.ServerRuns: nil, sent.ServerExited: sent.ErrServerExited, sent.ServerUnknown: sent.ErrEndUnknown,
	} {
		resp := &http.Response{ContentLength: -1, Body: io.NopCloser(strings.NewReader("answer"))}
		sent.CheckEnd(resp, func() sent.ServerState { return state })
		body, err := io.ReadAll(resp.Body)
		must.Eq(t, "answer", string(body))
		must.ErrorIs(t, err, want)
	}
}
