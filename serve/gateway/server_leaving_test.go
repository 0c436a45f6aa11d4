package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against requests to a server that leaves by its responses while the store lists it as ready.
func TestServerLeavingByItsResponsesGetsNoNewRequests(t *testing.T) {
	for _, c := range []struct {
		name      string
		daemons   int
		path      string
		service   string
		perSecond int
		servers   int
		leaving   int
		during    func(*fleet)
	}{
		{"calls", 7, "/once/", "desk", 84, 3, 1, nil},
		{"idempotent calls", 7, "/again/", "desk", 84, 3, 1, nil},
		{"store outage", 7, "/once/", "desk", 84, 3, 1, func(f *fleet) { f.setStoreDown(true) }},
		{"store lists it anew as ready", 7, "/once/", "desk", 84, 3, 1, func(f *fleet) {
			time.Sleep(5 * time.Second)
			f.server("desk", 0).register()
		}},
		{"forty daemons", 40, "/once/", "desk", 240, 3, 1, nil},
		{"engines", 7, "/stream/", "llm", 30, 8, 3, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, c.daemons, func(f *fleet) {
				f.startServers(c.service, c.servers)
				f.load(c.path+"first", c.perSecond, 3*time.Second)
				for n := range c.leaving {
					f.server(c.service, n).setLeaving(true)
				}
				if c.during != nil {
					f.background.Go(func() { c.during(f) })
				}
				f.load(c.path+"heard", c.perSecond, 4*time.Second)
				f.background.Wait()
				heardBy := time.Now()
				got := f.load(c.path, c.perSecond, 10*time.Second)
				f.background.Wait()
				for n := range c.leaving {
					must.Zero(f.t, f.server(c.service, n).arrivalsBetween(heardBy, time.Now()))
				}
				must.GreaterEq(f.t, 0.99*float64(got.sent.Load()), float64(got.answered.Load()))
			})
		})
	}
}

// All servers of a service leave. Requests must be refused at once, with a Retry-After.
func TestRequestsAreRefusedWhenAllServersLeave(t *testing.T) {
	withFleet(t, 7, func(f *fleet) {
		f.startServers("desk", 2)
		f.server("desk", 0).setLeaving(true)
		f.server("desk", 1).setLeaving(true)
		f.load("/once/heard", 84, 4*time.Second)
		f.background.Wait()
		got := f.load("/once/", 84, 5*time.Second)
		f.background.Wait()
		must.Eq(t, got.sent.Load(), got.refused.Load())
	})
}

// The process that stated that it leaves ends. The next one at its address must get requests.
func TestLeavingEndsWithTheServerProcess(t *testing.T) {
	withFleet(t, 7, func(f *fleet) {
		f.startServers("desk", 3)
		s := f.server("desk", 1)
		s.setLeaving(true)
		f.load("/once/heard", 84, 4*time.Second)
		s.setLeaving(false)
		s.crash()
		f.load("/once/restarting", 84, 5*time.Second)
		restartedBy := time.Now()
		f.load("/once/", 84, 5*time.Second)
		f.background.Wait()
		must.Greater(t, 84*5/3/2, s.arrivalsBetween(restartedBy, time.Now()))
	})
}
