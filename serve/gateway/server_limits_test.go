package gateway

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

const (
	// limitWindow is the interval over which requests to a server with a rate limit are counted.
	// limitPropagationTime is the time after which all daemons must respect a new limit.
	limitWindow          = 4 * time.Second
	limitPropagationTime = 3 * time.Second
)

// maxArrivalsInWindow returns how many requests may reach a server within limitWindow if its limit
// is rate requests per second.
func maxArrivalsInWindow(rate float64) int { return int(1.5*rate*limitWindow.Seconds()) + 5 }

// callCounts counts the calls sent and their results.
type callCounts struct{ sent, answered, refused, inTime atomic.Int64 }

// load sends perSecond calls per second to random daemons for the given duration.
func (f *fleet) load(path string, perSecond int, duration time.Duration) *callCounts {
	var got callCounts
	random := rand.New(rand.NewPCG(1, 2))
	f.mu.Lock()
	daemons := len(f.daemons)
	f.mu.Unlock()
	for n := range int(duration.Seconds() * float64(perSecond)) {
		time.Sleep(time.Second / time.Duration(perSecond))
		daemon := random.IntN(daemons)
		f.background.Go(func() {
			got.sent.Add(1)
			began := time.Now()
			r := f.send(daemon, fmt.Sprintf("%s%d", path, n), "fine")
			switch {
			case r.status == http.StatusOK && r.err == nil:
				got.answered.Add(1)
				if time.Since(began) <= 100*time.Millisecond {
					got.inTime.Add(1)
				}
			case r.status == http.StatusServiceUnavailable:
				got.refused.Add(1)
				after, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
				test.NoError(f.t, err)
				test.Positive(f.t, after)
			}
		})
	}
	return &got
}

// Servers announce a limit on the request rate of all daemons together. They must not get more.
func TestFleetKeepsServerRateLimit(t *testing.T) {
	const rate = 5
	for _, c := range []struct {
		name      string
		daemons   int
		path      string
		service   string
		perSecond int
		servers   int
		limited   int
		answered  float64 // minimum fraction of the calls
		during    func(*fleet)
	}{
		{"two of three servers limited", 7, "/once/", "desk", 84, 3, 2, 0.99, nil},
		{"two of three servers limited, idempotent calls", 7, "/again/", "desk", 84, 3, 2, 0.99, nil},
		{"all servers limited", 7, "/once/", "desk", 84, 3, 3, 0.1, nil},
		{"forty daemons", 40, "/once/", "desk", 120, 3, 2, 0.99, nil},
		{"forty daemons, all servers limited", 40, "/once/", "desk", 120, 3, 3, 0.08, nil},
		{"rolling restart of the daemons", 7, "/once/", "desk", 84, 3, 2, 0, func(f *fleet) {
			for n := range 7 {
				time.Sleep(2 * time.Second)
				f.restart(n)
			}
		}},
		{"store outage", 7, "/once/", "desk", 84, 3, 2, 0.99, func(f *fleet) { f.setStoreDown(true) }},
		{"engines", 7, "/stream/", "llm", 80, 8, 6, 0.9, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, c.daemons, func(f *fleet) {
				f.startServers(c.service, c.servers)
				f.load(c.path+"first", c.perSecond, 3*time.Second)
				f.background.Wait()
				for n := range c.limited {
					f.server(c.service, n).setLimit(strconv.Itoa(rate))
				}
				limitSetAt := time.Now()
				if c.during != nil {
					f.background.Go(func() { c.during(f) })
				}
				got := f.load(c.path, c.perSecond, 20*time.Second)
				f.background.Wait()
				for n := range c.limited {
					must.LessEq(f.t, maxArrivalsInWindow(rate), f.server(c.service, n).maxArrivalsWithin(limitWindow, limitSetAt.Add(limitPropagationTime)))
				}
				must.GreaterEq(f.t, c.answered*float64(got.sent.Load()), float64(got.answered.Load()))
			})
		})
	}
}

// A server no longer announces a limit. It must get its share of the calls again.
func TestServerIsUsedAgainAfterItsLimitEnds(t *testing.T) {
	withFleet(t, 7, func(f *fleet) {
		f.startServers("desk", 3)
		limited := f.server("desk", 1)
		limited.setLimit("2")
		f.load("/once/a", 84, 6*time.Second)
		limited.setLimit("")
		f.load("/once/b", 84, 5*time.Second)
		recoveredBy := time.Now()
		f.load("/once/c", 84, 5*time.Second)
		f.background.Wait()
		must.Greater(t, 84*5/3/2, limited.arrivalsBetween(recoveredBy, time.Now()))
	})
}

// The server process that announced a limit crashes. The limit must not apply to the next process at
// the same address.
func TestServerLimitEndsWithItsProcess(t *testing.T) {
	withFleet(t, 7, func(f *fleet) {
		f.startServers("desk", 3)
		limited := f.server("desk", 1)
		limited.setLimit("0")
		f.load("/once/a", 84, 6*time.Second)
		limited.setLimit("")
		limited.crash()
		f.load("/once/b", 84, 5*time.Second)
		recoveredBy := time.Now()
		f.load("/once/c", 84, 5*time.Second)
		f.background.Wait()
		must.Greater(t, 84*5/3/2, limited.arrivalsBetween(recoveredBy, time.Now()))
	})
}

// An unreadable limit must neither be treated as no limit nor stop all calls to the server.
func TestUnreadableServerLimit(t *testing.T) {
	for _, text := range []string{"soon", "-3", "NaN", "0"} {
		t.Run(text, func(t *testing.T) {
			withFleet(t, 7, func(f *fleet) {
				f.startServers("desk", 2)
				limited := f.server("desk", 1)
				limited.setLimit(text)
				f.load("/once/a", 84, 3*time.Second)
				propagatedBy := time.Now()
				got := f.load("/once/b", 84, 10*time.Second)
				f.background.Wait()
				must.LessEq(f.t, 5, limited.maxArrivalsWithin(limitWindow, propagatedBy))
				must.Positive(f.t, limited.arrivalsBetween(propagatedBy, time.Now()))
				must.Eq(f.t, got.sent.Load(), got.answered.Load())
			})
		})
	}
}

// Three of seven daemons, which may be permit issuers, stop answering their peers. The fleet must
// still respect the limits.
func TestServerRateLimitHoldsWhenPermitDaemonsStall(t *testing.T) {
	withFleet(t, 7, func(f *fleet) {
		f.startServers("desk", 3)
		for n := range 2 {
			f.server("desk", n).setLimit("5")
		}
		f.load("/once/a", 84, 3*time.Second)
		for n := range 3 {
			f.daemons[fmt.Sprintf("vm-%d", n)].peers.Stall()
		}
		propagatedBy := time.Now()
		got := f.load("/once/b", 84, 15*time.Second)
		f.background.Wait()
		for n := range 3 {
			f.daemons[fmt.Sprintf("vm-%d", n)].peers.Unstall()
		}
		for n := range 2 {
			must.LessEq(f.t, maxArrivalsInWindow(5), f.server("desk", n).maxArrivalsWithin(limitWindow, propagatedBy))
		}
		must.Eq(f.t, got.sent.Load(), got.answered.Load())
	})
}
