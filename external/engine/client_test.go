package engine_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/external/engine"
	"mallowwind.dev/external/sent"
	"mallowwind.dev/external/standin/faultnet"
)

// against runs f with a client of a server that answers every request with h.
func against(t *testing.T, h http.HandlerFunc, f func(t *testing.T, c *engine.Client, l *faultnet.Listener)) {
	synctest.Test(t, func(t *testing.T) {
		l := faultnet.Pipe()
		server := &http.Server{Handler: h}
		go server.Serve(l)
		defer server.Close()
		transport := sent.NewTransportWith(l.Dial, false)
		defer transport.CloseIdleConnections()
		f(t, engine.NewClient("http://engine", &http.Client{Transport: transport, CheckRedirect: sent.NoRedirect}), l)
	})
}

var req = engine.Request{Generation: "g", Attempt: 1, Model: "m", Prompt: "p", MaxTokens: 5}

// An error status comes back. Only the engine's own words make it a refusal:
// a 503 from something in between says nothing about whether the engine runs
// the request.
func TestOnlyTheEnginesOwnRefusalIsOne(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		body   string
		want   error
	}{
		"engine overloaded":     {503, `{"error":{"code":"overloaded","message":"full"}}`, engine.ErrRefused},
		"engine bad request":    {400, `{"error":{"code":"invalid_request"}}`, engine.ErrRefused},
		"unknown generation":    {404, `{"error":{"code":"unknown_generation"}}`, engine.ErrUnknownGeneration},
		"stale fence":           {409, `{"error":{"code":"stale_fence"}}`, engine.ErrStaleFence},
		"503 from in between":   {503, "upstream unavailable", engine.ErrBroken},
		"503 with other JSON":   {503, `{"error":"no"}`, engine.ErrBroken},
		"404 from in between":   {404, "404 page not found", engine.ErrBroken},
		"failure in the engine": {500, `{"error":{"code":"overloaded"}}`, engine.ErrBroken},
		"redirect":              {307, "", engine.ErrBroken},
	} {
		answer := func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Location", "/elsewhere")
			w.WriteHeader(c.status)
			_, _ = w.Write([]byte(c.body))
		}
		against(t, answer, func(t *testing.T, client *engine.Client, _ *faultnet.Listener) {
			_, err := client.Generate(t.Context(), req)
			must.ErrorIs(t, err, c.want, must.Sprint(name))
		})
	}
}

// The engine takes a request on a connection that worked before and cuts it.
// The request is broken, and reached the engine once: the transport must not
// send it again by itself.
func TestRequestOnAPooledConnectionIsSentOnce(t *testing.T) {
	posts := 0
	answer := func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			_, _ = w.Write([]byte("{}"))
			return
		}
		posts++
		panic(http.ErrAbortHandler)
	}
	against(t, answer, func(t *testing.T, client *engine.Client, _ *faultnet.Listener) {
		_, err := client.Status(t.Context())
		must.NoError(t, err)
		must.ErrorIs(t, client.Cancel(t.Context(), "g", 1), engine.ErrBroken)
		must.Eq(t, 1, posts)
	})
}

// The pooled connection went silent for good. The call that finds out is
// broken; the next one uses a fresh connection and is answered.
func TestFreshConnectionAfterASilentOne(t *testing.T) {
	answer := func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) }
	against(t, answer, func(t *testing.T, client *engine.Client, l *faultnet.Listener) {
		_, err := client.Status(t.Context())
		must.NoError(t, err)
		l.Silence()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = client.Status(ctx)
		must.ErrorIs(t, err, engine.ErrBroken)
		_, err = client.Status(t.Context())
		must.NoError(t, err)
	})
}

// A stream outlives the deadline of the call that opened it, and ends with
// Close from another goroutine.
func TestStreamOutlivesItsOpening(t *testing.T) {
	answer := func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}
	against(t, answer, func(t *testing.T, client *engine.Client, _ *faultnet.Listener) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		s, err := client.Generate(ctx, req)
		must.NoError(t, err)
		time.AfterFunc(time.Minute, func() { _ = s.Close() })
		begin := time.Now()
		_, err = s.Next(t.Context())
		must.ErrorIs(t, err, engine.ErrBroken)
		must.Eq(t, time.Minute, time.Since(begin))
	})
}
