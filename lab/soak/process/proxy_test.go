package process

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/external/sent"
	"mallowwind.dev/external/standin/rawserver"
)

// Guards against a proxy that makes a clean end of a reset, or the other way round: a scenario would then
// blame a daemon for what the harness did.
func TestProxyPassesOnHowAConnectionEnds(t *testing.T) {
	const head = "POST / HTTP/1.1\r\nHost: s\r\nContent-Length: 16777216\r\n\r\n"
	for name, path := range map[string][]*linkDirection{"plain": nil, "delayed": {{}}} {
		for end, c := range map[string]struct {
			end   func(*rawserver.Conn)
			clean bool
		}{
			"reset":    {func(c *rawserver.Conn) { time.Sleep(30 * time.Millisecond); c.Reset() }, false},
			"in order": {func(c *rawserver.Conn) { c.EndAnswer(); c.ReadUpload() }, true},
		} {
			t.Run(name+", "+end, func(t *testing.T) {
				server, err := rawserver.Listen("127.0.0.1:0", func(conn *rawserver.Conn) {
					conn.Send("answer")
					c.end(conn)
				})
				must.NoError(t, err)
				defer server.Close()
				p, err := newProxyVia("127.0.0.1:0", server.Address(), path, path)
				must.NoError(t, err)
				defer p.close()
				for range brokenTries {
					raw, err := net.Dial("tcp", p.address())
					must.NoError(t, err)
					conn := sent.NewConn(raw)
					go func() {
						_, _ = io.WriteString(conn, head)
						_, _ = conn.Write(make([]byte, 16<<20)) // fails once the server is gone
					}()
					_, err = io.ReadAll(conn)
					must.Eq(t, c.clean, err == nil, must.Sprint(err))
					_ = conn.Close()
				}
			})
		}
	}
}
