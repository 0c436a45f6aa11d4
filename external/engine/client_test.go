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

// withServer runs f with a client of a server that handles every request with h.
func withServer(t *testing.T, h http.HandlerFunc, f func(t *testing.T, c *engine.Client, l *faultnet.Listener)) {
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

// Only a response body in the engine's own format is a refusal. An error status from an intermediary,
// such as a 503, does not tell whether the engine runs the request.
func TestOnlyEngineErrorBodyIsRefusal(t *testing.T) {
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
		handler := func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Location", "/elsewhere")
			w.WriteHeader(c.status)
			_, _ = w.Write([]byte(c.body))
		}
		withServer(t, handler, func(t *testing.T, client *engine.Client, _ *faultnet.Listener) {
			_, err := client.Generate(t.Context(), req)
			must.ErrorIs(t, err, c.want, must.Sprint(name))
		})
	}
}

// The engine receives a request on a pooled connection and closes the connection. The call fails with
// ErrBroken, and the transport must not retry it: the request reaches the engine only once.
func TestPooledConnectionSendsRequestOnce(t *testing.T) {
	posts := 0
	handler := func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			_, _ = w.Write([]byte("{}"))
			return
		}
		posts++
		panic(http.ErrAbortHandler)
	}
	withServer(t, handler, func(t *testing.T, client *engine.Client, _ *faultnet.Listener) {
		_, err := client.Status(t.Context())
		must.NoError(t, err)
		must.ErrorIs(t, client.Cancel(t.Context(), "g", 1), engine.ErrBroken)
		must.Eq(t, 1, posts)
	})
}

// The pooled connection has stalled permanently. The call that uses it fails with ErrBroken; the next
// call must open a new connection and succeed.
func TestNewConnectionAfterStalledOne(t *testing.T) {
	handler := func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) }
	withServer(t, handler, func(t *testing.T, client *engine.Client, l *faultnet.Listener) {
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

// A stream stays open beyond the deadline of the call that opened it, until Close is called from
// another goroutine.
func TestStreamOutlivesContextOfGenerate(t *testing.T) {
	handler := func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}
	withServer(t, handler, func(t *testing.T, client *engine.Client, _ *faultnet.Listener) {
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
