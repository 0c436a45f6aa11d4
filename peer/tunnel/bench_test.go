package tunnel_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"mallowwind.dev/peer/link"
	"mallowwind.dev/peer/tunnel"
)

// BenchmarkCall measures a short call over a connection of its own, directly and through another
// daemon. All ends share this process: the difference is the cost at both daemons.
func BenchmarkCall(b *testing.B) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(b, err)
	defer server.Close()
	go http.Serve(server, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "done") }))
	peer, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(b, err)
	defer peer.Close()
	direct := func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}
	mux := http.NewServeMux()
	mux.Handle(tunnel.Path, tunnel.NewServer(tunnel.Options{
		Address: func(string) (string, bool) { return server.Addr().String(), true }, Dial: direct,
		IsPathLost: func() bool { return false }, OnEnd: func(tunnel.Ended) {},
	}))
	go http.Serve(peer, mux)
	dialer := link.NewDialer(nil)
	for _, c := range []struct {
		name string
		open func() (net.Conn, error)
	}{
		{"direct", func() (net.Conn, error) { return direct(b.Context(), server.Addr().String()) }},
		{"tunnel", func() (net.Conn, error) {
			return tunnel.Open(b.Context(), dialer, peer.Addr().String(), tunnel.Request{Server: "s", Wait: tunnel.MaxWait})
		}},
	} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				conn, err := c.open()
				must.NoError(b, err)
				_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n")
				must.NoError(b, err)
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				must.NoError(b, err)
				_, err = io.Copy(io.Discard, resp.Body)
				must.NoError(b, err)
				must.NoError(b, conn.Close())
			}
		})
	}
}
