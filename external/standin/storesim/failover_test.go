package storesim_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/external/store"
)

func overWireTest(t *testing.T, f func(t *testing.T, s *service)) {
	synctest.Test(t, func(t *testing.T) {
		s := overWire()
		defer s.close()
		f(t, s)
	})
}

// One endpoint refuses connections. Nothing was sent to it, so reads and writes must fail over to the
// other endpoint without an error.
func TestFailoverFromDownEndpoint(t *testing.T) {
	overWireTest(t, func(t *testing.T, s *service) {
		s.nets[0].Cut()
		v, err := s.CompareAndSwap(t.Context(), "a", 0, []byte("1"), 0)
		must.NoError(t, err)
		kv, err := s.Get(t.Context(), "a")
		must.NoError(t, err)
		must.Eq(t, v, kv.Version)
	})
}

// Both endpoints refuse connections. Nothing was sent, so the write must fail with ErrUnavailable.
func TestNothingSentIsUnavailable(t *testing.T) {
	overWireTest(t, func(t *testing.T, s *service) {
		s.nets[0].Cut()
		s.nets[1].Cut()
		_, err := s.CompareAndSwap(t.Context(), "a", 0, nil, 0)
		must.ErrorIs(t, err, store.ErrUnavailable)
	})
}

// The pooled connection to an endpoint has stalled permanently. A write on it was sent but gets no
// response: it must fail with ErrUnknown and must not be retried at the other endpoint. The next write
// must succeed over a new connection.
func TestWriteOnStalledConnectionIsUnknown(t *testing.T) {
	overWireTest(t, func(t *testing.T, s *service) {
		_, err := s.Get(t.Context(), "a")
		must.ErrorIs(t, err, store.ErrNotFound)
		s.nets[0].Silence()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = s.CompareAndSwap(ctx, "a", 0, nil, 0)
		must.ErrorIs(t, err, store.ErrUnknown)
		must.SliceEmpty(t, s.memory.Keys())
		_, err = s.CompareAndSwap(t.Context(), "a", 0, nil, 0)
		must.NoError(t, err)
	})
}

// A read on a permanently stalled connection must be retried at the other endpoint within the caller's
// deadline.
func TestReadOnStalledConnectionIsRetried(t *testing.T) {
	overWireTest(t, func(t *testing.T, s *service) {
		_, err := s.CompareAndSwap(t.Context(), "a", 0, nil, 0)
		must.NoError(t, err)
		s.nets[0].Silence()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err = s.Get(ctx, "a")
		must.NoError(t, err)
	})
}

// The service takes five seconds per call. A caller with a deadline of ten seconds must be able to
// read and watch; the client must not time out on every endpoint in turn.
func TestSlowServiceStaysReadable(t *testing.T) {
	overWireTest(t, func(t *testing.T, s *service) {
		s.faults.SetDelay(5 * time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		_, err := s.List(ctx, "")
		must.NoError(t, err)
		ctx, cancel = context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		w, err := s.Watch(ctx, "", 0)
		must.NoError(t, err)
		must.NoError(t, w.Close())
	})
}

// A watch loses its connection repeatedly, through resets, endpoints that are down and connections
// that stall permanently, while a writer continues. The watch must deliver every write once and in
// order.
func TestWatchAcrossBrokenConnections(t *testing.T) {
	overWireTest(t, func(t *testing.T, s *service) {
		const writes = 400 // long enough for several idle timeouts of the watch
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		defer cancel()
		w, err := s.Watch(ctx, "n/", 0)
		must.NoError(t, err)
		defer w.Close()
		done := make(chan struct{})
		go func() {
			defer close(done)
			for i := range writes {
				key := fmt.Sprintf("n/%03d", i)
				_, _ = s.memory.CompareAndSwap(ctx, key, 0, nil, 0)
				time.Sleep(time.Second)
				injectNetworkFault(s, i)
			}
		}()
		var seen []string
		for len(seen) < writes {
			events, err := w.Next(ctx)
			must.NoError(t, err)
			for _, e := range events {
				seen = append(seen, e.KV.Key)
			}
		}
		<-done
		must.Eq(t, s.memory.Keys(), seen)
	})
}

func injectNetworkFault(s *service, i int) {
	net := s.nets[i/7%2]
	switch i % 7 {
	case 2:
		net.Cut()
	case 4:
		_ = net.Restore()
	case 6:
		s.nets[0].Silence()
		s.nets[1].Silence()
	}
}
