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

type desk struct {
	sim    *plainsim.Sim
	net    *faultnet.Listener
	client *plain.Client
}

// withDesk runs f against an order desk that takes a second for each order.
func withDesk(t *testing.T, f func(t *testing.T, d desk)) {
	synctest.Test(t, func(t *testing.T) {
		d := desk{sim: plainsim.New("orders", time.Second), net: faultnet.Pipe()}
		d.client = plain.NewClient(sent.NewTransportWith(d.net.Dial, true), 0)
		server := &http.Server{Handler: d.sim}
		go server.Serve(d.net)
		defer server.Close()
		f(t, d)
	})
}

func order(key string) plain.Call {
	header := http.Header{plainsim.IdempotencyKeyHeader: {key}}
	return plain.Call{Method: http.MethodPost, Path: "/confirm?order=7", Header: header, Body: []byte("40 sacks")}
}

func TestCallRunsOnceAndAnswersWhole(t *testing.T) {
	withDesk(t, func(t *testing.T, d desk) {
		a, err := d.client.Do(t.Context(), "desk", order("k"))
		must.NoError(t, err)
		must.Eq(t, http.StatusOK, a.Status)
		must.StrContains(t, string(a.Body), `"run":1,"method":"POST","path":"/confirm?order=7","body":"40 sacks"`)
		must.Eq(t, 1, d.sim.Runs("k"))
	})
}

// The desk confirms an order and its answer is lost with the connection. The
// caller is told that there was no answer, and the order has run exactly once:
// the transport must not send a call with an Idempotency-Key again by itself.
func TestAnswerLostAfterRunning(t *testing.T) {
	withDesk(t, func(t *testing.T, d desk) {
		for i := range 3 {
			d.sim.LoseResponses(1)
			key := fmt.Sprint(i)
			_, err := d.client.Do(t.Context(), "desk", order(key))
			must.ErrorIs(t, err, plain.ErrNoResponse)
			must.Eq(t, 1, d.sim.Runs(key))
		}
	})
}

// The same over a pooled connection that worked before, where the transport
// is keenest to repeat: no body, and a key that it reads as leave to do so.
func TestPooledConnectionIsNotRetried(t *testing.T) {
	withDesk(t, func(t *testing.T, d desk) {
		transport := sent.NewTransportWith(d.net.Dial, false)
		defer transport.CloseIdleConnections()
		pooled := plain.NewClient(transport, 0)
		for _, body := range []string{"", "40 sacks"} {
			_, err := pooled.Do(t.Context(), "desk", order("warm"))
			must.NoError(t, err)
			d.sim.LoseResponses(1)
			call := order("key" + body)
			call.Body = []byte(body)
			_, err = pooled.Do(t.Context(), "desk", call)
			must.ErrorIs(t, err, plain.ErrNoResponse)
			must.Eq(t, 1, d.sim.Runs("key"+body))
		}
	})
}

// The desk is gone and its address refuses connections: nothing was sent, and
// only then does the error say so.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	withDesk(t, func(t *testing.T, d desk) {
		d.net.Cut()
		_, err := d.client.Do(t.Context(), "desk", order("k"))
		must.ErrorIs(t, err, plain.ErrNotSent)
		must.Eq(t, 0, d.sim.TotalRuns())
	})
}

// The caller gives up while the desk works: bytes were written, so the call
// may have run, whatever the desk did with it.
func TestTimeoutIsNoAnswer(t *testing.T) {
	withDesk(t, func(t *testing.T, d desk) {
		d.sim.SetSilent(true)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err := d.client.Do(ctx, "desk", order("k"))
		must.ErrorIs(t, err, plain.ErrNoResponse)
		d.sim.SetSilent(false)
	})
}

// A deadline passes before the connection is there. Nothing was written then,
// and nothing may be written later.
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
		_, err := client.Do(ctx, "desk", order("k"))
		must.ErrorIs(t, err, plain.ErrNotSent)
		time.Sleep(time.Hour)
		must.Eq(t, 0, orders.TotalRuns())
	})
}

// An answer larger than the limit is not whole, so it is none.
func TestAnswerOverTheLimit(t *testing.T) {
	withDesk(t, func(t *testing.T, d desk) {
		small := plain.NewClient(sent.NewTransportWith(d.net.Dial, true), 100)
		call := order("k")
		call.Body = []byte(strings.Repeat("x", 200))
		_, err := small.Do(t.Context(), "desk", call)
		must.ErrorIs(t, err, plain.ErrNoResponse)
	})
}
