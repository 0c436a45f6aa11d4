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

// One endpoint of the service is dead: nothing can be sent to it, so reads and
// writes go to the other, and the caller notices nothing.
func TestFailoverFromADeadEndpoint(t *testing.T) {
	overWireTest(t, func(t *testing.T, s *service) {
		s.nets[0].Cut()
		v, err := s.CompareAndSwap(t.Context(), "a", 0, []byte("1"), 0)
		must.NoError(t, err)
		kv, err := s.Get(t.Context(), "a")
		must.NoError(t, err)
		must.Eq(t, v, kv.Version)
	})
}

// Both endpoints are dead: nothing was sent, and the error says so.
func TestNothingSentIsUnavailable(t *testing.T) {
	overWireTest(t, func(t *testing.T, s *service) {
		s.nets[0].Cut()
		s.nets[1].Cut()
		_, err := s.CompareAndSwap(t.Context(), "a", 0, nil, 0)
		must.ErrorIs(t, err, store.ErrUnavailable)
	})
}

// The pooled connection to an endpoint went silent for good. A write on it was
// sent and has no answer: it is unknown, and is not sent again to the other
// endpoint. The next write goes there over a fresh connection.
func TestSilentConnectionMakesAWriteUnknown(t *testing.T) {
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

// A read on a silent connection is asked again at the other endpoint, within
// the caller's deadline.
func TestSilentConnectionDelaysARead(t *testing.T) {
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

// The service takes five seconds for every call, for a long stretch. A caller
// that gives it ten reads and watches all the same, instead of giving up on one
// endpoint after the other.
func TestSlowServiceStaysReadable(t *testing.T) {
	overWireTest(t, func(t *testing.T, s *service) {
		s.faults.SetDelay(5 * time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		_, _, err := s.List(ctx, "")
		must.NoError(t, err)
		ctx, cancel = context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		w, err := s.Watch(ctx, "", 0)
		must.NoError(t, err)
		must.NoError(t, w.Close())
	})
}

// A watch loses its connection again and again, by a reset, by a dead endpoint
// and by a connection that goes silent for good, while a writer goes on. The
// watcher sees every write once and in order.
func TestWatchLosesNothingOverBrokenConnections(t *testing.T) {
	overWireTest(t, func(t *testing.T, s *service) {
		const writes = 400 // long enough for several idle watches
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
				breakOne(s, i)
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

func breakOne(s *service, i int) {
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
