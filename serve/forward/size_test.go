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

const sizedConfig = `{"version":1,"services":[{"name":"llm","engine":{"slots":4}},{"name":"desk"}],"routes":[]}`

// plainChoiceBytes returns the mean number of bytes that the first choice of a plain server costs
// after a change of one of so many engines.
func plainChoiceBytes(t *testing.T, engines int) (bytes float64) {
	synctest.Test(t, func(t *testing.T) {
		memory := store.NewMemory()
		put := func(key, value string) {
			kv, _ := memory.Get(t.Context(), key)
			_, err := memory.CompareAndSwap(t.Context(), key, kv.Version, []byte(value), 0)
			must.NoError(t, err)
		}
		putServer := func(s routing.Server) {
			raw, err := json.Marshal(s)
			must.NoError(t, err)
			put(feed.OwnServerPrefix+s.ID, string(raw))
		}
		put(feed.OwnConfigKey, sizedConfig)
		for n := range engines {
			putServer(routing.Server{ID: fmt.Sprint("e-", n), Service: "llm", Address: fmt.Sprintf("10.0.%d.%d:80", n/250, n%250), Zone: "a", Slots: 4})
		}
		for n := range 4 {
			putServer(routing.Server{ID: fmt.Sprint("d-", n), Service: "desk", Address: fmt.Sprintf("10.9.0.%d:80", n), Zone: "a", Slots: 4})
		}
		ctx, stop := context.WithCancel(t.Context())
		f := feed.New(feed.Options{Store: storesim.BoundedWatch{Store: memory, MaxWait: time.Second}, Schema: feed.OwnSchema{}, Clock: monotonic, Log: event.Discard(), Self: "vm-1"})
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.Run(ctx)
		}()
		time.Sleep(2 * time.Second)
		self := routing.VM{ID: "vm-1", Zone: "a"}
		p := newPool(self, retrybudget.Policy{}, versions.New(versions.Options{Feed: f, Clock: monotonic, Log: event.Discard(), Self: self}))
		choose := func() {
			c, ok := p.choosePlain(time.Now(), f.View(), "desk", nil)
			must.True(t, ok)
			must.True(t, strings.HasPrefix(c.server.ID, "d-"))
			p.release(c)
		}
		choose()
		const changes = 20
		var before, after runtime.MemStats
		for n := range changes {
			old := f.View()
			putServer(routing.Server{ID: fmt.Sprint("e-", n), Service: "llm", Address: fmt.Sprintf("10.8.0.%d:80", n), Zone: "a", Slots: 4})
			time.Sleep(2 * time.Second)
			must.True(t, f.View() != old)
			runtime.ReadMemStats(&before)
			choose()
			runtime.ReadMemStats(&after)
			bytes += float64(after.TotalAlloc-before.TotalAlloc) / changes
		}
		stop()
		<-done
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
