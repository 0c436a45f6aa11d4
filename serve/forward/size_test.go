package forward

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/retrybudget"
	"mallowwind.dev/external/standin/storesim"
	"mallowwind.dev/external/store"
	"mallowwind.dev/serve/versions"
	"mallowwind.dev/telemetry/event"
)

// sizedSite is a store with a service of engines and one of four plain servers, and a daemon that
// follows it.
type sizedSite struct {
	tb     testing.TB
	memory *store.Memory
	feed   *feed.Manager
	pool   *pool
}

const sizedConfig = `{"version":1,"services":[{"name":"llm","engine":{"slots":4}},{"name":"desk"}],"routes":[]}`

// startSizedSite returns a site with so many engines; stop ends the daemon.
func startSizedSite(tb testing.TB, engines int) (s *sizedSite, stop func()) {
	s = &sizedSite{tb: tb, memory: store.NewMemory()}
	s.put(feed.OwnConfigKey, []byte(sizedConfig))
	for n := range engines {
		s.putServer("llm", n, fmt.Sprintf("10.0.%d.%d:80", n/250, n%250))
	}
	for n := range 4 {
		s.putServer("desk", n, fmt.Sprintf("10.9.0.%d:80", n))
	}
	ctx, cancel := context.WithCancel(tb.Context())
	self := routing.VM{ID: "vm-1", Zone: "a"}
	s.feed = feed.New(feed.Options{
		Store: storesim.BoundedWatch{Store: s.memory, MaxWait: time.Second}, Schema: feed.OwnSchema{}, Clock: monotonic, Log: event.Discard(), Self: self.ID,
	})
	s.pool = newPool(self, retrybudget.Policy{}, versions.New(versions.Options{Feed: s.feed, Clock: monotonic, Log: event.Discard(), Self: self}))
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.feed.Run(ctx)
	}()
	for s.feed.View().Servers["llm"].Len() < engines {
		time.Sleep(10 * time.Millisecond)
	}
	return s, func() {
		cancel()
		<-done
	}
}

func (s *sizedSite) put(key string, value []byte) {
	kv, _ := s.memory.Get(s.tb.Context(), key) // version 0 of a missing key creates it
	_, err := s.memory.CompareAndSwap(s.tb.Context(), key, kv.Version, value, 0)
	must.NoError(s.tb, err)
}

func (s *sizedSite) putServer(service string, n int, address string) {
	server := routing.Server{ID: fmt.Sprintf("%s-%d", service, n), Service: service, Address: address, Zone: string(rune('a' + n%5)), Slots: 4}
	raw, err := json.Marshal(server)
	must.NoError(s.tb, err)
	s.put(feed.OwnServerPrefix+server.ID, raw)
}

// plainChoiceBytes returns the mean number of bytes that the first choice of a plain server costs
// after a change of one of so many engines.
func plainChoiceBytes(t *testing.T, engines int) (bytes float64) {
	synctest.Test(t, func(t *testing.T) {
		s, stop := startSizedSite(t, engines)
		defer stop()
		choose := func() {
			c, ok := s.pool.choosePlain(time.Now(), s.feed.View(), "desk", nil)
			must.True(t, ok)
			must.True(t, strings.HasPrefix(c.server.ID, "desk"))
			s.pool.release(c)
		}
		choose()
		const changes = 20
		var before, after runtime.MemStats
		for n := range changes {
			old := s.feed.View()
			s.putServer("llm", n, fmt.Sprintf("10.8.0.%d:80", n))
			time.Sleep(2 * time.Second)
			must.True(t, s.feed.View() != old)
			runtime.ReadMemStats(&before)
			choose()
			runtime.ReadMemStats(&after)
			bytes += float64(after.TotalAlloc-before.TotalAlloc) / changes
		}
	})
	return bytes
}

// Guards against a delay of short calls in a large fleet: engines change all the time, and a daemon
// that looked at all of them again before its next call would take longer than the call may.
func TestPlainChoiceCostsTheSameWithManyEngines(t *testing.T) {
	few, many := plainChoiceBytes(t, 100), plainChoiceBytes(t, 1000)
	t.Logf("%.0f bytes with 100 engines, %.0f with 1000", few, many)
	must.LessEq(t, 1.2*few, many)
}

// BenchmarkEngineSet measures the first choice of an engine after a change, and a later one.
func BenchmarkEngineSet(b *testing.B) {
	for _, engines := range []int{260, 2500, 10_000} {
		s, stop := startSizedSite(b, engines)
		b.Run(fmt.Sprint("rebuild/", engines), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				s.pool.successorChanges++
				s.pool.findServer(s.feed.View(), "llm", routing.Incarnation{ID: "llm-1"})
			}
		})
		b.Run(fmt.Sprint("candidates/", engines), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				s.pool.prefillCandidates(time.Now(), s.feed.View(), "llm", "part", SampleSize, nil)
			}
		})
		stop()
	}
}
