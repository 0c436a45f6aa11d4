package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// maxRequestsInPause is how many requests of one daemon may reach a server in the pause that it asked
// the daemon for.
const maxRequestsInPause = 2

// A server rejects requests with a Retry-After. No daemon may send it more before that time is over.
func TestServerGetsThePauseThatItAsksFor(t *testing.T) {
	const pause = 3 * time.Second
	for _, c := range []struct {
		name      string
		daemons   int
		path      string
		service   string
		perSecond int
		servers   int
		pausing   int
		answered  float64 // minimum fraction of the calls
	}{
		{"calls", 7, "/once/", "desk", 84, 3, 1, 0.99},
		{"idempotent calls", 7, "/again/", "desk", 84, 3, 1, 0.99},
		{"forty daemons", 40, "/once/", "desk", 240, 3, 1, 0.99},
		{"all servers", 7, "/once/", "desk", 84, 3, 3, 0},
		{"engines", 7, "/stream/", "llm", 30, 8, 3, 0.99},
		{"all engines", 7, "/stream/", "llm", 30, 8, 8, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, c.daemons, func(f *fleet) {
				f.startServers(c.service, c.servers)
				f.load(c.path+"first", c.perSecond, 3*time.Second)
				for n := range c.pausing {
					f.server(c.service, n).setPause("3")
				}
				got := f.load(c.path, c.perSecond, 15*time.Second)
				f.background.Wait()
				for n := range c.pausing {
					must.LessEq(f.t, maxRequestsInPause, f.server(c.service, n).maxArrivalsDuringPause(pause))
				}
				must.GreaterEq(f.t, c.answered*float64(got.sent.Load()), float64(got.answered.Load()))
				must.Eq(f.t, got.sent.Load(), got.answered.Load()+got.refused.Load())
			})
		})
	}
}

// A server asked for a pause and serves again. It must get its share of the calls again.
func TestServerIsUsedAgainAfterItsPause(t *testing.T) {
	withFleet(t, 40, func(f *fleet) {
		f.startServers("desk", 3)
		s := f.server("desk", 1)
		s.setPause("3")
		f.load("/once/a", 240, 4*time.Second)
		s.setPause("")
		f.load("/once/b", 240, 8*time.Second)
		recoveredBy := time.Now()
		f.load("/once/c", 240, 5*time.Second)
		f.background.Wait()
		must.Greater(t, 240*5/3/2, s.arrivalsBetween(recoveredBy, time.Now()))
	})
}

// The process that asked for a pause ends. The next one at its address must get requests.
func TestPauseEndsWithTheServerProcess(t *testing.T) {
	withFleet(t, 7, func(f *fleet) {
		f.startServers("desk", 3)
		s := f.server("desk", 1)
		s.setPause("600")
		f.load("/once/a", 84, 4*time.Second)
		s.setPause("")
		s.crash()
		f.load("/once/b", 84, 5*time.Second)
		restartedBy := time.Now()
		f.load("/once/c", 84, 5*time.Second)
		f.background.Wait()
		must.Greater(t, 84*5/3/2, s.arrivalsBetween(restartedBy, time.Now()))
	})
}
