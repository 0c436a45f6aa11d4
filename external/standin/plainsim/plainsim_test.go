package plainsim_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/external/plain"
	"mallowwind.dev/external/sent"
	"mallowwind.dev/external/standin/faultnet"
	"mallowwind.dev/external/standin/plainsim"
)

type fixture struct {
	sim    *plainsim.Sim
	net    *faultnet.Listener
	client *plain.Client
}

// withService runs f with a plain service that takes one second per call, and a client of it.
func withService(t *testing.T, f func(t *testing.T, fx fixture)) {
	synctest.Test(t, func(t *testing.T) {
		fx := fixture{sim: plainsim.New("orders", time.Second), net: faultnet.Pipe()}
		fx.client = plain.NewClient(sent.NewTransportWith(fx.net.Dial, true), 0)
		server := &http.Server{Handler: fx.sim}
		go server.Serve(fx.net)
		defer server.Close()
		f(t, fx)
	})
}

func newCall(key string) plain.Call {
	header := http.Header{plainsim.IdempotencyKeyHeader: {key}}
	return plain.Call{Method: http.MethodPost, Path: "/confirm?order=7", Header: header, Body: []byte("40 sacks")}
}

func TestCallRunsOnceAndReturnsResponse(t *testing.T) {
	withService(t, func(t *testing.T, fx fixture) {
		a, err := fx.client.Do(t.Context(), "desk", newCall("k"))
		must.NoError(t, err)
		must.Eq(t, http.StatusOK, a.Status)
		must.StrContains(t, string(a.Body), `"run":1,"method":"POST","path":"/confirm?order=7","body":"40 sacks"`)
		must.Eq(t, 1, fx.sim.Runs("k"))
	})
}

// The service runs a call and the connection closes before the response. The client must return
// ErrNoResponse, and the call must have run exactly once: the transport must not retry a call because
// it carries an Idempotency-Key.
func TestLostResponseIsNotRetried(t *testing.T) {
	withService(t, func(t *testing.T, fx fixture) {
		for i := range 3 {
			fx.sim.LoseResponses(1)
			key := fmt.Sprint(i)
			_, err := fx.client.Do(t.Context(), "desk", newCall(key))
			must.ErrorIs(t, err, plain.ErrNoResponse)
			must.Eq(t, 1, fx.sim.Runs(key))
		}
	})
}

// A pooled connection that worked before closes after the call has run. http.Transport retries in this
// case if the request has no body or can be rewound and carries an Idempotency-Key; the client must
// prevent that.
func TestPooledConnectionIsNotRetried(t *testing.T) {
	withService(t, func(t *testing.T, fx fixture) {
		transport := sent.NewTransportWith(fx.net.Dial, false)
		defer transport.CloseIdleConnections()
		pooled := plain.NewClient(transport, 0)
		for _, body := range []string{"", "40 sacks"} {
			_, err := pooled.Do(t.Context(), "desk", newCall("warm"))
			must.NoError(t, err)
			fx.sim.LoseResponses(1)
			call := newCall("key" + body)
			call.Body = []byte(body)
			_, err = pooled.Do(t.Context(), "desk", call)
			must.ErrorIs(t, err, plain.ErrNoResponse)
			must.Eq(t, 1, fx.sim.Runs("key"+body))
		}
	})
}

// The service is down and its address refuses connections. Nothing was sent, so the client must return
// ErrNotSent.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	withService(t, func(t *testing.T, fx fixture) {
		fx.net.Cut()
		_, err := fx.client.Do(t.Context(), "desk", newCall("k"))
		must.ErrorIs(t, err, plain.ErrNotSent)
		must.Eq(t, 0, fx.sim.TotalRuns())
	})
}

// The caller times out while the service holds the call. Bytes were written, so the call may have run
// and the client must return ErrNoResponse.
func TestTimeoutIsNoResponse(t *testing.T) {
	withService(t, func(t *testing.T, fx fixture) {
		fx.sim.SetSilent(true)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err := fx.client.Do(ctx, "desk", newCall("k"))
		must.ErrorIs(t, err, plain.ErrNoResponse)
		fx.sim.SetSilent(false)
	})
}

// The deadline passes before the connection is established. The client returns ErrNotSent, and nothing
// may be written later when the connection is ready.
func TestTimeoutBeforeConnectingIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, orders := faultnet.Pipe(), plainsim.New("orders", 0)
		server := &http.Server{Handler: orders}
		go server.Serve(l)
		defer server.Close()
		slow := func(_ context.Context, network, address string) (net.Conn, error) {
			time.Sleep(time.Minute)
			return l.Dial(context.Background(), network, address)
		}
		client := plain.NewClient(sent.NewTransportWith(slow, true), 0)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := client.Do(ctx, "desk", newCall("k"))
		must.ErrorIs(t, err, plain.ErrNotSent)
		time.Sleep(time.Hour)
		must.Eq(t, 0, orders.TotalRuns())
	})
}

// A response body above the limit is not read completely, so the client returns ErrNoResponse.
func TestResponseOverLimit(t *testing.T) {
	withService(t, func(t *testing.T, fx fixture) {
		small := plain.NewClient(sent.NewTransportWith(fx.net.Dial, true), 100)
		call := newCall("k")
		call.Body = []byte(strings.Repeat("x", 200))
		_, err := small.Do(t.Context(), "desk", call)
		must.ErrorIs(t, err, plain.ErrNoResponse)
	})
}
