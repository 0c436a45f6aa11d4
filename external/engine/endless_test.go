package engine

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/external/sent"
	"mallowwind.dev/external/standin/endless"
)

// endlessClient returns a client of an engine that answers each request with a text and then another one
// without end, and a counter of the bytes that the client reads.
func endlessClient(t *testing.T, begin, repeat string) (*Client, *atomic.Int64) {
	read := new(atomic.Int64)
	transport := sent.NewTransportWith(endless.Dial(begin, repeat, read), true)
	t.Cleanup(transport.CloseIdleConnections)
	return NewClient("http://engine", &http.Client{Transport: transport, CheckRedirect: sent.NoRedirect}), read
}

// checkEndless checks a call and a stream of an engine that answers without end.
func checkEndless(t *testing.T, begin, repeat string, maxRead int64) {
	t.Helper()
	client, read := endlessClient(t, begin, repeat)
	_, err := client.Status(t.Context())
	must.ErrorIs(t, err, ErrBroken)
	must.LessEq(t, maxRead, read.Load())

	client, read = endlessClient(t, begin, repeat)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	s, err := client.Generate(ctx, Request{Generation: "g", Attempt: 1})
	for err == nil {
		_, err = s.Next(ctx)
	}
	must.ErrorIs(t, err, ErrBroken)
	must.LessEq(t, maxRead, read.Load())
}

// Guards against an engine whose responses never end: each would be read until its caller gives up.
func TestEndlessResponses(t *testing.T) {
	for _, head := range endless.Heads {
		t.Run("head, "+head.Name, func(t *testing.T) { checkEndless(t, head.Begin, head.Repeat, endless.MaxHeadRead) })
	}
	const (
		ok      = "HTTP/1.1 200 OK\r\n\r\n"
		refused = "HTTP/1.1 503 Service Unavailable\r\n\r\n{\"error\":{\"message\":\""
		buffers = 64 << 10
	)
	for name, c := range map[string]struct {
		begin, repeat string
		maxRead       int64
	}{
		"refusal":        {refused, "garbage ", maxRefusalBytes + buffers},
		"body":           {ok, "garbage ", maxControlBodyBytes + buffers},
		"comments":       {ok + eventA, ": garbage\n\n", maxControlBodyBytes + buffers},
		"blank lines":    {ok, "\n", maxControlBodyBytes + buffers},
		"the same event": {ok, eventA, maxControlBodyBytes + buffers},
	} {
		t.Run(name, func(t *testing.T) { checkEndless(t, c.begin, c.repeat, c.maxRead) })
	}
}
