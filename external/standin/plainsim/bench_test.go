package plainsim_test

import (
	"net/http/httptest"
	"strings"
	"testing"

	"mallowwind.dev/external/plain"
	"mallowwind.dev/external/sent"
	"mallowwind.dev/external/standin/plainsim"
)

// BenchmarkCall compares a new connection for each call, as plain.NewClient uses by default, with
// pooled connections.
func BenchmarkCall(b *testing.B) {
	server := httptest.NewServer(plainsim.New("orders", 0))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	for name, fresh := range map[string]bool{"fresh": true, "pooled": false} {
		b.Run(name, func(b *testing.B) {
			transport := sent.NewTransport(fresh)
			defer transport.CloseIdleConnections()
			client := plain.NewClient(transport, 0)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := client.Do(b.Context(), address, newCall("k")); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
