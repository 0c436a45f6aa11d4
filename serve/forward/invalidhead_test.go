package forward

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/external/sent"
)

// invalidHeads are heads that no response of HTTP/1.1 has: a status line, and headers beside the usual ones.
var invalidHeads = []struct{ name, statusLine, headers string }{
	{"status 000", "HTTP/1.1 000 OK", ""},
	{"status 099", "HTTP/1.1 099 OK", ""},
	{"status 600", "HTTP/1.1 600 OK", ""},
	{"blank in a name", "HTTP/1.1 200 OK", "X Trouble: 1\r\n"},
	{"blank before a colon", "HTTP/1.1 200 OK", "Content-Length : 6\r\n"},
	{"blank before a name", "HTTP/1.1 200 OK", "X-First: 1\r\n Content-Length: 6\r\n"},
	{"control byte in a name", "HTTP/1.1 200 OK", "X\x01Trouble: 1\r\n"},
	{"tab in a name", "HTTP/1.1 200 OK", "X\tTrouble: 1\r\n"},
	{"chunks of HTTP/1.0", "HTTP/1.0 200 OK", "Transfer-Encoding: chunked\r\n"},
	{"interim response", "HTTP/1.1 103 Early Hints\r\nX Trouble: 1\r\n\r\nHTTP/1.1 200 OK", ""},
	{"unrequested protocol", "HTTP/1.1 101 Switching Protocols", "Upgrade: other\r\nConnection: Upgrade\r\n"},
}

// respondRaw answers with a head as it is written here, and a body up to the end of the connection.
func respondRaw(statusLine, headers, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		defer conn.Close()
		head := statusLine + "\r\n" + headers + proven + "\r\n" + hID + ": " + r.Header.Get(hID) + "\r\n" + hInstance + ": e1\r\n\r\n"
		_, _ = io.WriteString(conn, head+body) // the daemon may have left
	}
}

// Guards against a response with an invalid head that reaches the caller, that ends the request although
// another server is there, or that counts for its server.
func TestInvalidHeads(t *testing.T) {
	for _, head := range invalidHeads {
		t.Run(head.name, func(t *testing.T) {
			for path, c := range map[string]struct {
				status int
				body   string // of a success
			}{
				"/once/1":  {http.StatusBadGateway, ""},
				"/again/1": {http.StatusOK, "answer"},
				"/s/1":     {http.StatusOK, events(1, 20)},
			} {
				withTestCluster(t, append(plainRoutes(), streamRoute()...), func(w *testCluster) {
					var runs atomic.Int64
					firstInvalid := func(then http.HandlerFunc) http.HandlerFunc {
						return func(rw http.ResponseWriter, r *http.Request) {
							if runs.Add(1) == 1 {
								respondRaw(head.statusLine, head.headers, events(1, 20))(rw, r)
								return
							}
							then(rw, r)
						}
					}
					for _, id := range []string{"1", "2"} {
						w.add("d"+id, "desk", "a", firstInvalid(respondProven("answer")))
						w.add("e"+id, "llm", "a", firstInvalid(streamEvents(20, 0, 20*time.Millisecond)))
					}
					got := w.request(http.MethodPost, path, callerHeaders, "x")
					must.NoError(w.t, got.err, must.Sprint(path))
					must.Eq(w.t, c.status, got.status, must.Sprint(path))
					must.Eq(w.t, c.status == http.StatusOK, got.header.Get(hProof) != "", must.Sprint(path))
					if c.status == http.StatusOK {
						must.Eq(w.t, c.body, got.body, must.Sprint(path))
					}
					suspects := 0
					for _, s := range w.servers {
						if w.handler.pool.isSuspect(time.Now(), s.server.Incarnation()) {
							suspects++
						}
					}
					must.Eq(w.t, 1, suspects, must.Sprint(path))
				})
			}
		})
	}
}

// Guards against answers with invalid heads to the daemon's own questions that count as answers.
func TestInvalidHeadsOfOwnQuestions(t *testing.T) {
	for _, head := range invalidHeads {
		t.Run(head.name, func(t *testing.T) {
			withTestCluster(t, streamRoute(), func(w *testCluster) {
				engine := w.add("e1", "llm", "a", respondProven(""))
				engine.mu.Lock()
				engine.override = respondRaw(head.statusLine, head.headers, "engine")
				engine.mu.Unlock()
				_, err := w.handler.fetchReport(w.t.Context(), engine.server, time.Minute)
				must.ErrorIs(w.t, err, sent.ErrInvalidResponse)
				must.Eq(w.t, sent.ServerUnknown, w.handler.askProcessState(w.t.Context(), engine.server))
			})
		})
	}
}
