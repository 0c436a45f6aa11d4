package plain

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/external/standin/rawserver"
)

// A call's answer without a length or chunks must not look complete if its server died at its end.
func TestAnswerOfDeadServerIsNotComplete(t *testing.T) {
	for _, dies := range []bool{false, true} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body) // closing a connection with unread bytes resets it
			conn, buf, err := w.(http.Hijacker).Hijack()
			if err != nil {
				panic(err)
			}
			defer conn.Close()
			if dies {
				listener.Close()
			}
			_, _ = io.WriteString(buf, "HTTP/1.1 200 OK\r\n\r\nanswer")
			_ = buf.Flush()
		})}
		go server.Serve(listener)
		got, err := NewClient(nil, 0).Do(t.Context(), listener.Addr().String(), Call{Method: http.MethodPost, Path: "/x"})
		if dies {
			must.ErrorIs(t, err, ErrNoResponse)
		} else {
			must.NoError(t, err)
			must.Eq(t, "answer", string(got.Body))
		}
		must.NoError(t, server.Close())
	}
}

// Guards against part of an answer that looks complete because its server reset the connection while the call
// was still being written.
func TestAnswerResetDuringUploadIsNotComplete(t *testing.T) {
	server, err := rawserver.Listen("127.0.0.1:0", func(c *rawserver.Conn) {
		c.Send("HTTP/1.1 200 OK\r\n\r\npart")
		time.Sleep(30 * time.Millisecond) // the client waits to write
		c.Reset()
	})
	must.NoError(t, err)
	defer server.Close()
	for range 10 {
		_, err := NewClient(nil, 0).Do(t.Context(), server.Address(), Call{Method: http.MethodPost, Path: "/x", Body: make([]byte, 8<<20)})
		must.ErrorIs(t, err, ErrNoResponse)
	}
}
