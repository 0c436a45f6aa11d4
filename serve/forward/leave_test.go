package forward

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// requestAndLeave passes a request to the handler, whose caller leaves after a time: the server then ends
// the request's context. It returns what was written and whether the connection is closed without a
// complete response.
func (w *testCluster) requestAndLeave(path string, header map[string]string, after time.Duration) (got *httptest.ResponseRecorder, aborted bool) {
	ctx, leave := context.WithCancel(w.t.Context())
	defer leave()
	req := httptest.NewRequestWithContext(ctx, http.MethodPost, "http://host"+path, strings.NewReader("x"))
	for name, value := range header {
		req.Header.Set(name, value)
	}
	defer time.AfterFunc(after, leave).Stop()
	got = httptest.NewRecorder()
	defer func() { aborted = recover() == http.ErrAbortHandler }()
	w.handler.ServeHTTP(got, req)
	return got, false
}

// respondInHalves answers with two halves, 200 ms apart.
func respondInHalves(w http.ResponseWriter, r *http.Request) {
	half := strings.Repeat("x", bufferedResponseBytes+1)
	w.Header().Set(hProof, "p")
	_, _ = w.Write([]byte(half))
	w.(http.Flusher).Flush()
	sleep(r, 200*time.Millisecond)
	_, _ = w.Write([]byte(half))
}

// Guards against a response that looks complete, empty or in part, to a caller that closes its sending
// side and reads on.
func TestResponseOfCallerThatLeavesIsComplete(t *testing.T) {
	hang := func(_ http.ResponseWriter, r *http.Request) { sleep(r, time.Hour) }
	for name, c := range map[string]struct {
		path    string
		handle  http.HandlerFunc // nil if there is no server
		after   time.Duration
		aborted bool
	}{
		"call, before its response":        {"/once/1", hang, 100 * time.Millisecond, true},
		"idempotent call, before it":       {"/again/1", hang, 100 * time.Millisecond, true},
		"call, in its response":            {"/once/1", respondInHalves, 100 * time.Millisecond, true},
		"call, after its response":         {"/once/1", respondInHalves, 300 * time.Millisecond, false},
		"call, refused before":             {"/once/1", rejecting, 100 * time.Millisecond, false},
		"stream, before its first event":   {"/s/1", streamEvents(20, time.Second, 0), 500 * time.Millisecond, true},
		"stream, between events":           {"/s/1", streamEvents(20, 0, 100*time.Millisecond), time.Second, true},
		"stream, after its last event":     {"/s/1", streamEvents(20, 0, 100*time.Millisecond), 3 * time.Second, false},
		"stream, while no server is there": {"/s/1", nil, time.Hour, false},
	} {
		t.Run(name, func(t *testing.T) {
			withTestCluster(t, append(plainRoutes(), streamRoute()...), func(w *testCluster) {
				if c.handle != nil {
					w.add("d", "desk", "a", c.handle)
					w.add("e", "llm", "a", c.handle)
				}
				_, aborted := w.requestAndLeave(c.path, callerHeaders, c.after)
				must.Eq(w.t, c.aborted, aborted)
			})
		})
	}
}
