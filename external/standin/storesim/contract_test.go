package storesim_test

import (
	"bytes"
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/external/sent"
	"mallowwind.dev/external/standin/faultnet"
	"mallowwind.dev/external/standin/storesim"
	"mallowwind.dev/external/store"
)

// service is the store under test, accessed in process or over HTTP.
type service struct {
	store.Store
	memory *store.Memory
	faults *store.Faulty
	nets   []*faultnet.Listener // one per endpoint, for overWire only
	close  func()
}

func inProcess() *service {
	m := store.NewMemory()
	f := store.NewFaulty(m)
	return &service{Store: f, memory: m, faults: f, close: func() {}}
}

// overWire serves one store over HTTP at two endpoints, as a replicated service does.
func overWire() *service {
	s := inProcess()
	dials := make(map[string]sent.DialFunc)
	var servers []*http.Server
	for _, address := range []string{"one:80", "two:80"} {
		l := faultnet.Pipe()
		server := &http.Server{Handler: storesim.Handler(s.faults)}
		go server.Serve(l)
		dials[address] = l.Dial
		s.nets, servers = append(s.nets, l), append(servers, server)
	}
	transport := sent.NewTransportWith(sent.DialByAddress(dials), false)
	client, err := store.NewEtcdClient([]string{"http://one", "http://two"}, &http.Client{Transport: transport})
	if err != nil {
		panic(err)
	}
	s.Store = client
	s.close = func() {
		transport.CloseIdleConnections()
		for _, server := range servers {
			_ = server.Close()
		}
	}
	return s
}

// forEachTransport runs f with the store in process and over HTTP.
func forEachTransport(t *testing.T, f func(t *testing.T, s *service)) {
	for name, start := range map[string]func() *service{"memory": inProcess, "etcd": overWire} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := start()
				defer s.close()
				f(t, s)
			})
		})
	}
}

func TestCompareAndSwap(t *testing.T) {
	forEachTransport(t, func(t *testing.T, s *service) {
		ctx := t.Context()
		_, err := s.Get(ctx, "a")
		must.ErrorIs(t, err, store.ErrNotFound)
		v1, err := s.CompareAndSwap(ctx, "a", 0, []byte("1"), 0)
		must.NoError(t, err)
		_, err = s.CompareAndSwap(ctx, "a", 0, []byte("2"), 0)
		must.ErrorIs(t, err, store.ErrConflict)
		v2, err := s.CompareAndSwap(ctx, "a", v1, []byte("2"), 0)
		must.NoError(t, err)
		must.Greater(t, v1, v2)
		kv, err := s.Get(ctx, "a")
		must.NoError(t, err)
		must.Eq(t, store.KV{Key: "a", Value: []byte("2"), Version: v2}, kv)
		must.ErrorIs(t, s.Delete(ctx, "a", v1), store.ErrConflict)
		must.NoError(t, s.Delete(ctx, "a", v2))
		must.ErrorIs(t, s.Delete(ctx, "a", v2), store.ErrNotFound)
	})
}

func TestListIsSortedAndLimitedToPrefix(t *testing.T) {
	forEachTransport(t, func(t *testing.T, s *service) {
		ctx := t.Context()
		for _, key := range []string{"p/b", "q", "p/a", "o"} {
			_, err := s.CompareAndSwap(ctx, key, 0, []byte(key), 0)
			must.NoError(t, err)
		}
		list, err := s.List(ctx, "p/")
		must.NoError(t, err)
		must.Eq(t, 4, list.Pages.Oldest())
		must.Len(t, 2, list.KVs)
		must.Eq(t, []string{"p/a", "p/b"}, []string{list.KVs[0].Key, list.KVs[1].Key})
		all, err := s.List(ctx, "")
		must.NoError(t, err)
		must.Len(t, 4, all.KVs)
	})
}

func TestValueSize(t *testing.T) {
	forEachTransport(t, func(t *testing.T, s *service) {
		largest := bytes.Repeat([]byte{'x'}, store.MaxValue)
		v, err := s.CompareAndSwap(t.Context(), "a", 0, largest, 0)
		must.NoError(t, err)
		_, err = s.CompareAndSwap(t.Context(), "a", v, append(largest, 'x'), 0)
		must.ErrorIs(t, err, store.ErrTooLarge)
	})
}

// A lease holder stops renewing, for example because it is paused. Its key must be deleted when the
// lease expires, watches must deliver the deletion, and the next renewal or write with the lease must
// fail with ErrLeaseGone.
func TestLeaseExpires(t *testing.T) {
	forEachTransport(t, func(t *testing.T, s *service) {
		ctx := t.Context()
		id, err := s.Grant(ctx, 5*time.Second)
		must.NoError(t, err)
		v, err := s.CompareAndSwap(ctx, "holder", 0, []byte("me"), id)
		must.NoError(t, err)
		w, err := s.Watch(ctx, "holder", v)
		must.NoError(t, err)
		defer w.Close()
		for range 4 {
			time.Sleep(3 * time.Second)
			left, err := s.KeepAlive(ctx, id)
			must.NoError(t, err)
			must.Eq(t, 5*time.Second, left)
		}
		begin := time.Now()
		events, err := w.Next(ctx)
		must.NoError(t, err)
		must.Eq(t, 5*time.Second, time.Since(begin))
		must.Eq(t, store.Deleted, events[0].Kind)
		_, err = s.KeepAlive(ctx, id)
		must.ErrorIs(t, err, store.ErrLeaseGone)
		_, err = s.CompareAndSwap(ctx, "holder", 0, []byte("me"), id)
		must.ErrorIs(t, err, store.ErrLeaseGone)
	})
}

func TestWatchFromEarlierRevision(t *testing.T) {
	forEachTransport(t, func(t *testing.T, s *service) {
		ctx := t.Context()
		v, err := s.CompareAndSwap(ctx, "p/a", 0, []byte("1"), 0)
		must.NoError(t, err)
		_, err = s.CompareAndSwap(ctx, "other", 0, nil, 0)
		must.NoError(t, err)
		v2, err := s.CompareAndSwap(ctx, "p/a", v, []byte("2"), 0)
		must.NoError(t, err)
		w, err := s.Watch(ctx, "p/", v)
		must.NoError(t, err)
		defer w.Close()
		events, err := w.Next(ctx)
		must.NoError(t, err)
		must.Len(t, 1, events)
		must.Eq(t, store.KV{Key: "p/a", Value: []byte("2"), Version: v2}, events[0].KV)
	})
}

// A watch starts at a revision whose changes were compacted. It must fail with ErrCompacted instead of
// skipping the missing changes.
func TestWatchOfCompactedHistory(t *testing.T) {
	forEachTransport(t, func(t *testing.T, s *service) {
		ctx := t.Context()
		v, _ := s.CompareAndSwap(ctx, "a", 0, nil, 0)
		v, err := s.CompareAndSwap(ctx, "a", v, nil, 0)
		must.NoError(t, err)
		s.memory.Compact(v)
		w, err := s.Watch(ctx, "a", 0)
		if err == nil {
			defer w.Close()
			_, err = w.Next(ctx)
		}
		must.ErrorIs(t, err, store.ErrCompacted)
	})
}

// The response to one write is lost, and the request of the next write is lost. Both writes must fail
// with ErrUnknown; only a read tells whether the write took effect.
func TestLostWriteIsUnknown(t *testing.T) {
	forEachTransport(t, func(t *testing.T, s *service) {
		ctx := t.Context()
		s.faults.LoseNextWriteResponse()
		_, err := s.CompareAndSwap(ctx, "a", 0, []byte("1"), 0)
		must.ErrorIs(t, err, store.ErrUnknown)
		kv, err := s.Get(ctx, "a")
		must.NoError(t, err)
		must.Eq(t, "1", string(kv.Value))

		s.faults.DropNextWrite()
		_, err = s.CompareAndSwap(ctx, "a", kv.Version, []byte("2"), 0)
		must.ErrorIs(t, err, store.ErrUnknown)
		kv, err = s.Get(ctx, "a")
		must.NoError(t, err)
		must.Eq(t, "1", string(kv.Value))
	})
}

// During an outage calls and open watches must fail with ErrUnavailable. After it, writes must work
// again.
func TestOutage(t *testing.T) {
	forEachTransport(t, func(t *testing.T, s *service) {
		ctx := t.Context()
		w, err := s.Watch(ctx, "", 0)
		must.NoError(t, err)
		defer w.Close()
		s.faults.SetDown(true)
		_, err = s.Get(ctx, "a")
		must.ErrorIs(t, err, store.ErrUnavailable)
		_, err = s.CompareAndSwap(ctx, "a", 0, nil, 0)
		must.ErrorIs(t, err, store.ErrUnavailable)
		_, err = w.Next(ctx)
		must.ErrorIs(t, err, store.ErrUnavailable)
		s.faults.SetDown(false)
		_, err = s.CompareAndSwap(ctx, "a", 0, nil, 0)
		must.NoError(t, err)
	})
}

// The service responds after the caller's deadline. A write that timed out may still take effect, so
// it must fail with ErrUnknown; a read that timed out must fail with ErrUnavailable.
func TestServiceSlowerThanDeadline(t *testing.T) {
	forEachTransport(t, func(t *testing.T, s *service) {
		s.faults.SetDelay(10 * time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := s.CompareAndSwap(ctx, "a", 0, nil, 0)
		must.ErrorIs(t, err, store.ErrUnknown)
		ctx, cancel = context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = s.Get(ctx, "a")
		must.ErrorIs(t, err, store.ErrUnavailable)
	})
}

func TestRateLimitAndCounts(t *testing.T) {
	forEachTransport(t, func(t *testing.T, s *service) {
		ctx := t.Context()
		s.faults.SetLimits(3, 1)
		w, err := s.Watch(ctx, "", 0)
		must.NoError(t, err)
		_, err = s.CompareAndSwap(ctx, "a", 0, nil, 0)
		must.NoError(t, err)
		_, err = s.CompareAndSwap(ctx, "b", 0, nil, 0)
		must.ErrorIs(t, err, store.ErrUnavailable)
		must.Eq(t, 1, s.faults.Counts().Waiting)
		must.NoError(t, w.Close())
		synctest.Wait()
		must.Eq(t, 0, s.faults.Counts().Waiting)
		time.Sleep(time.Second)
		_, err = s.CompareAndSwap(ctx, "b", 0, nil, 0)
		must.NoError(t, err)
	})
}
