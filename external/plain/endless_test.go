package plain

import (
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"mallowwind.dev/external/sent"
	"mallowwind.dev/external/standin/endless"
)

// maxTestResponseBytes is the limit of the client under test.
const maxTestResponseBytes = 1 << 20

// checkEndless checks a call of a service that answers without end.
func checkEndless(t *testing.T, begin, repeat string, maxRead int64) {
	t.Helper()
	var read atomic.Int64
	client := NewClient(sent.NewTransportWith(endless.Dial(begin, repeat, &read), true), maxTestResponseBytes)
	_, err := client.Do(t.Context(), "service", Call{Method: "POST", Path: "/x"})
	must.ErrorIs(t, err, ErrNoResponse)
	must.LessEq(t, maxRead, read.Load())
}

// Guards against a service whose response never ends: it would be read until the call times out.
func TestEndlessResponses(t *testing.T) {
	for _, head := range endless.Heads {
		t.Run("head, "+head.Name, func(t *testing.T) { checkEndless(t, head.Begin, head.Repeat, endless.MaxHeadRead) })
	}
	t.Run("body", func(t *testing.T) {
		checkEndless(t, "HTTP/1.1 200 OK\r\n\r\n", "garbage ", maxTestResponseBytes+endless.MaxHeadRead)
	})
	t.Run("stated length", func(t *testing.T) {
		checkEndless(t, "HTTP/1.1 200 OK\r\nContent-Length: 1099511627776\r\n\r\n", "garbage ", endless.MaxHeadRead)
	})
}
