package process

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a silent server that loses data or refuses connections in place of holding it back:
// the scenario would then blame the daemon for what the harness did.
func TestSilentServerLosesNothing(t *testing.T) {
	t.Parallel()
	target, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer target.Close()
	go echoConnections(target)
	s := &server{harness: &harness{opts: Options{Scenario: SilentServers}}}
	requests, responses := s.linkPaths()
	p, err := newProxyVia("127.0.0.1:0", target.Addr().String(), requests, responses)
	must.NoError(t, err)
	defer p.close()
	open, err := net.Dial("tcp", p.address())
	must.NoError(t, err)
	defer open.Close()
	exchange(t, open)

	go s.silence(t.Context(), minSilence)
	for !s.isSilent() {
		time.Sleep(time.Millisecond)
	}
	fresh, err := net.Dial("tcp", p.address())
	must.NoError(t, err)
	defer fresh.Close()
	exchange(t, open)
	exchange(t, fresh)
	must.False(t, time.Now().Before(s.silentUntil))
}

// echoConnections returns to each connection what it sends, until the listener closes.
func echoConnections(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			_, _ = io.Copy(c, c) // ends with the connection
			_ = c.Close()
		}()
	}
}

// exchange sends a message on a connection and expects it back.
func exchange(t *testing.T, c net.Conn) {
	t.Helper()
	const message = "message"
	_, err := io.WriteString(c, message)
	must.NoError(t, err)
	got := make([]byte, len(message))
	_, err = io.ReadFull(c, got)
	must.NoError(t, err)
	must.EqOp(t, message, string(got))
}
