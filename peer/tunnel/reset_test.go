package tunnel_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/external/standin/rawserver"
	"mallowwind.dev/peer/link"
	"mallowwind.dev/peer/tunnel"
)

const (
	// longUpload is the length of a request body that kernels and the daemon between do not buffer.
	longUpload = 16 << 20
	// uploadTries is how often an upload is tried: which end notices a reset first depends on the scheduler.
	uploadTries = 20
)

// openOverTCP opens a tunnel over a daemon that uses TCP, to a server at an address.
func openOverTCP(t *testing.T, daemon net.Listener) net.Conn {
	t.Helper()
	conn, err := tunnel.Open(t.Context(), link.NewDialer(nil), daemon.Addr().String(), tunnel.Request{Server: "s", Wait: tunnel.MaxWait})
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// Guards against part of an answer that looks complete because its server reset its connection to the daemon
// between while the request was still being written.
func TestResetDuringUploadIsNoCleanEnd(t *testing.T) {
	for name, c := range map[string]struct {
		end   func(*rawserver.Conn)
		clean bool
	}{
		"reset":     {func(c *rawserver.Conn) { time.Sleep(30 * time.Millisecond); c.Reset() }, false},
		"clean end": {func(c *rawserver.Conn) { c.EndAnswer(); _ = c.ReadUpload() }, true},
	} {
		t.Run(name, func(t *testing.T) {
			server, err := rawserver.Listen("127.0.0.1:0", func(conn *rawserver.Conn) {
				conn.Send("answer")
				c.end(conn)
			})
			must.NoError(t, err)
			defer server.Close()
			daemon, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			service := &http.Server{ReadHeaderTimeout: time.Second, Handler: tunnel.NewServer(tunnel.Options{
				Dial: func(ctx context.Context, address string) (net.Conn, error) {
					return (&net.Dialer{}).DialContext(ctx, "tcp", address)
				},
				Address:    func(string) (string, bool) { return server.Address(), true },
				IsPathLost: func() bool { return false },
				OnEnd:      func(tunnel.Ended) {},
			})}
			go service.Serve(daemon)
			defer service.Close()
			for range uploadTries {
				conn := openOverTCP(t, daemon)
				go func() {
					_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: s\r\nContent-Length: 16777216\r\n\r\n")
					_, _ = conn.Write(make([]byte, longUpload)) // fails once the server is gone
				}()
				got, err := io.ReadAll(conn)
				must.Eq(t, c.clean, err == nil, must.Sprint(err))
				if c.clean {
					must.Eq(t, "answer", string(got))
				}
			}
		})
	}
}
