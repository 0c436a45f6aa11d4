package forward

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/external/sent"
	"mallowwind.dev/external/standin/endless"
)

const (
	// maxBodyRead bounds what may be read of a response whose body never ends, with the buffers between the
	// connection and its reader.
	maxBodyRead = maxResponseBytes + endless.MaxHeadRead
	// maxUnusedRead bounds what may be read of a body that no caller gets.
	maxUnusedRead = endless.MaxHeadRead
)

// respondEndless writes a beginning and then repeats a text until the connection is closed.
func respondEndless(begin func(r *http.Request) string, repeat string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		defer conn.Close()
		endless.Write(conn, begin(r), repeat)
	}
}

// beginText begins with a text whatever the request.
func beginText(text string) func(*http.Request) string {
	return func(*http.Request) string { return text }
}

// beginHead begins with the head of a response to the request, with further headers.
func beginHead(status int, headers ...string) func(*http.Request) string {
	return func(r *http.Request) string {
		head := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n", status, http.StatusText(status), hID, r.Header.Get(hID))
		return head + strings.Join(append(headers, "\r\n"), "\r\n")
	}
}

const (
	proven  = hProof + ": p"
	chunked = "Transfer-Encoding: chunked"
	stated  = "Content-Length: 1099511627776"
	refused = hNotRun + ": 1"
)

// chunk is a chunk of 1 KiB.
var chunk = "400\r\n" + strings.Repeat("garbage.", 128) + "\r\n"

// endlessBodies are responses of a server to a call, or to a request for a stream, whose body never ends.
var endlessBodies = map[string]struct {
	respond http.HandlerFunc
	maxRead int64
}{
	"chunks":                  {respondEndless(beginHead(200, proven, chunked), chunk), maxBodyRead},
	"until the end":           {respondEndless(beginHead(200, proven), "garbage "), maxBodyRead},
	"stated length":           {respondEndless(beginHead(200, proven, stated), "garbage "), maxUnusedRead},
	"without proof":           {respondEndless(beginHead(200), "garbage "), maxUnusedRead},
	"server error":            {respondEndless(beginHead(500, proven), "garbage "), maxBodyRead},
	"refusal":                 {respondEndless(beginHead(503, refused), "garbage "), maxUnusedRead},
	"extension of a chunk":    {respondEndless(beginHead(200, proven, chunked), "8;garbage"), endless.MaxHeadRead},
	"trailers":                {respondEndless(func(r *http.Request) string { return beginHead(200, proven, chunked)(r) + "0\r\n" }, "Name: garbage\r\n"), endless.MaxHeadRead},
	"event":                   {respondEndless(beginHead(200, proven), "data: garbage\n"), maxBodyRead},
	"blank lines":             {respondEndless(beginHead(200, proven), "\n"), maxBodyRead},
	"comments":                {respondEndless(beginHead(200, proven), ": garbage\n\n"), maxBodyRead},
	"the same event for ever": {respondEndless(beginHead(200, proven), "id: 1\ndata: garbage\n\n"), maxBodyRead},
}

// Guards against a server whose responses never end: each is read, or passed on, until the request times
// out, and takes memory and processor time from all other requests.
func TestEndlessResponses(t *testing.T) {
	for _, head := range endless.Heads {
		t.Run("head, "+head.Name, func(t *testing.T) {
			checkEndless(t, respondEndless(beginText(head.Begin), head.Repeat), endless.MaxHeadRead)
		})
	}
	for name, c := range endlessBodies {
		t.Run("body, "+name, func(t *testing.T) { checkEndless(t, c.respond, c.maxRead) })
	}
}

// checkEndless checks what callers get, and what is read, of a response that never ends.
func checkEndless(t *testing.T, respond http.HandlerFunc, maxRead int64) {
	t.Helper()
	for _, path := range []string{"/once/1", "/again/1", "/s/1"} {
		withTestCluster(t, append(plainRoutes(), streamRoute()...), func(w *testCluster) {
			var runs atomic.Int64
			counted := func(rw http.ResponseWriter, r *http.Request) {
				runs.Add(1)
				respond(rw, r)
			}
			w.add("d", "desk", "a", counted)
			w.add("e", "llm", "a", counted)
			before := w.received.Load()
			got := w.request(http.MethodPost, path, callerHeaders, "x")
			time.Sleep(time.Second)
			isCut := got.err != nil || got.status >= http.StatusInternalServerError
			must.True(w.t, isCut, must.Sprint(path, got.status))
			must.LessEq(w.t, maxRead*runs.Load(), w.received.Load()-before, must.Sprint(path))
			isSuspect := false
			for _, s := range w.servers {
				isSuspect = isSuspect || w.handler.pool.isSuspect(time.Now(), s.server.Incarnation())
			}
			must.Eq(w.t, got.status != http.StatusServiceUnavailable, isSuspect, must.Sprint(path)) // a refusal is none
		})
	}
}

// Guards against an engine whose answers to the daemon's own questions never end.
func TestEndlessAnswersToProbes(t *testing.T) {
	for name, respond := range map[string]http.HandlerFunc{
		"chunks":        respondEndless(beginHead(200, chunked), chunk),
		"until the end": respondEndless(beginHead(200), "engine "),
		"stated length": respondEndless(beginHead(200, stated), "engine "),
	} {
		t.Run(name, func(t *testing.T) {
			withTestCluster(t, streamRoute(), func(w *testCluster) {
				engine := w.add("e", "llm", "a", respondProven(""))
				engine.mu.Lock()
				engine.override = respond
				engine.mu.Unlock()
				for question, c := range map[string]struct {
					ask     func() error
					maxRead int64
				}{
					"report": {func() error { _, err := w.handler.fetchReport(w.t.Context(), engine.server, time.Minute); return err }, maxEngineReplyBytes},
					"cache":  {func() error { _, _, err := w.handler.cachedParts(w.t.Context(), engine.server); return err }, maxCacheReplyBytes},
					"copy": {func() error {
						_, err := w.handler.callServer(w.t.Context(), http.MethodPost, engine.server, "/move/1", nil)
						return err
					}, maxEngineReplyBytes},
				} {
					before := w.received.Load()
					must.ErrorIs(w.t, c.ask(), sent.ErrTooLarge, must.Sprint(question))
					must.LessEq(w.t, c.maxRead+maxUnusedRead, w.received.Load()-before, must.Sprint(question))
				}
			})
		})
	}
}
