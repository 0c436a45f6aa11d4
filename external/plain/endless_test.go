package plain

import (
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"mallowwind.dev/external/sent"
	"mallowwind.dev/external/standin/endless"
)

// Guards against a service whose response never ends: it would be read until the call times out.
func TestEndlessResponses(t *testing.T) {
	const maxHeadRead, maxResponseBytes = 512 << 10, 1 << 20
	for name, c := range map[string]struct {
		begin, repeat string
		maxRead       int64
	}{
		"no HTTP":           {"", "garbage ", maxHeadRead},
		"one header":        {"HTTP/1.1 200 OK\r\nName: ", "garbage ", maxHeadRead},
		"many headers":      {"HTTP/1.1 200 OK\r\n", "Name: garbage\r\n", maxHeadRead},
		"interim responses": {"", "HTTP/1.1 103 Early Hints\r\nName: garbage\r\n\r\n", maxHeadRead},
		"body":              {"HTTP/1.1 200 OK\r\n\r\n", "garbage ", maxResponseBytes + maxHeadRead},
		"stated length":     {"HTTP/1.1 200 OK\r\nContent-Length: 1099511627776\r\n\r\n", "garbage ", maxHeadRead},
	} {
		t.Run(name, func(t *testing.T) {
			var read atomic.Int64
			client := NewClient(sent.NewTransportWith(endless.Dial(c.begin, c.repeat, &read), true), maxResponseBytes)
			_, err := client.Do(t.Context(), "service", Call{Method: "POST", Path: "/x"})
			must.ErrorIs(t, err, ErrNoResponse)
			must.LessEq(t, c.maxRead, read.Load())
		})
	}
}
