package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/decision/verdict"
)

const (
	// crashesBeforeDetection is the number of crashes after which a request must be recognized as
	// poisonous.
	crashesBeforeDetection = 3
	// poisonDetectionTime is the time that the fleet may then take to recognize it.
	poisonDetectionTime = 3 * time.Second
	// maxSendsAfterDetection is how often the fleet may still send the request after that.
	maxSendsAfterDetection = 3
)

// A request that crashes each server that runs it is sent again and again to all daemons. Once the
// fleet has had the time to recognize it, it must reach few more servers. Other requests must not be
// refused as poisonous.
func TestPoisonRequestReachesFewServers(t *testing.T) {
	all := []int{0, 1, 2, 3, 4, 5, 6}
	for _, c := range []struct {
		name    string
		path    string
		service string
		during  func(*fleet) // runs concurrently with the requests
	}{
		{"stream", "/stream/1", "llm", nil},
		{"idempotent call", "/again/1", "desk", nil},
		{"call that runs at most once", "/once/1", "desk", nil},
		{"different query each time", "/again/1", "desk", nil},
		{"all daemons restart later", "/stream/1", "llm", func(f *fleet) {
			time.Sleep(25 * time.Second)
			f.restartAll()
		}},
		{"rolling restart of the daemons", "/again/1", "desk", func(f *fleet) {
			for n := range all {
				time.Sleep(4 * time.Second)
				f.restart(n)
			}
		}},
		{"store outage first", "/stream/1", "llm", (*fleet).restartAfterOutage},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, len(all), func(f *fleet) {
				f.startServers(c.service, 12)
				if c.during != nil {
					f.background.Go(func() { c.during(f) })
				}
				detectedBy := time.Time{}
				for n := range 120 {
					time.Sleep(500 * time.Millisecond)
					path := c.path
					if c.name == "different query each time" {
						path = fmt.Sprintf("%s?n=%d", c.path, n)
					}
					f.background.Go(func() { f.send(n*3%len(all), path, crashBody) })
					f.background.Go(func() {
						got := f.send(n*5%len(all), fmt.Sprintf("%s-%d", c.path, n), "fine")
						test.StrNotContains(f.t, got.body, string(verdict.CodePoison))
					})
					if detectedBy.IsZero() && f.crashes() >= crashesBeforeDetection {
						detectedBy = time.Now().Add(poisonDetectionTime)
					}
				}
				must.False(f.t, detectedBy.IsZero())
				must.LessEq(f.t, maxSendsAfterDetection, f.arrivals(c.path, detectedBy))
			})
		})
	}
}

// crashUntilRefused sends a request that crashes its servers until the store holds a refusal, and
// returns the digest in the refusal's key.
func (f *fleet) crashUntilRefused(path string) (digest string) {
	for n := range 6 {
		f.send(n, path, crashBody)
		time.Sleep(time.Second)
	}
	time.Sleep(2 * time.Second)
	for _, key := range f.store.Keys() {
		if found, ok := strings.CutPrefix(key, feed.RefusedKey("")); ok {
			digest = found
		}
	}
	must.NotEq(f.t, "", digest)
	return digest
}

// The refusal of a poison request must neither say that the request did not run nor ask the caller
// to retry.
func TestPoisonRefusalDoesNotInviteRetry(t *testing.T) {
	withFleet(t, 7, func(f *fleet) {
		f.startServers("desk", 6)
		digest := f.crashUntilRefused("/once/1")
		got := f.send(6, "/once/1", crashBody)
		must.Eq(f.t, http.StatusBadGateway, got.status)
		must.Eq(f.t, "", got.header.Get("Retry-After"))
		must.StrContains(f.t, got.body, string(verdict.CodePoison))
		must.StrContains(f.t, got.body, verdict.MayHaveRun.String())
		must.StrContains(f.t, got.body, digest)
	})
}

// After an operator removes a refusal, no daemon may keep refusing the request.
func TestRequestIsSentAgainAfterRefusalIsRemoved(t *testing.T) {
	withFleet(t, 7, func(f *fleet) {
		f.startServers("desk", 6)
		digest := f.crashUntilRefused("/once/1")
		before := f.arrivals("/once/1", time.Time{})
		for n := range 7 {
			must.Eq(f.t, http.StatusBadGateway, f.send(n, "/once/1", crashBody).status)
		}
		must.Eq(f.t, before, f.arrivals("/once/1", time.Time{}))
		f.remove(feed.RefusedKey(digest))
		time.Sleep(3 * time.Second)
		f.send(4, "/once/1", crashBody)
		must.Eq(f.t, before+1, f.arrivals("/once/1", time.Time{}))
	})
}

// refuseWrongly has a request to /once/1 refused because servers crash for other reasons.
func (f *fleet) refuseWrongly(path string) {
	for range crashesBeforeDetection {
		f.background.Go(func() { f.send(0, path, "fine") })
		time.Sleep(10 * time.Millisecond)
		f.crashLastServerOf("/once/1")
		time.Sleep(time.Second)
	}
	must.Eq(f.t, http.StatusBadGateway, f.send(4, path, "fine").status)
}

// Guards against a refusal that is wrong and never ends by itself, also over a restart of all daemons.
func TestWrongRefusalEndsByItself(t *testing.T) {
	for _, c := range []struct {
		name, path string
		during     func(*fleet)
	}{
		{"calm", "/once/1", func(*fleet) {}},
		{"with a query", "/once/1?n=1", func(*fleet) {}},
		{"all daemons restart", "/once/1", (*fleet).restartAll},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, 7, func(f *fleet) {
				f.startServers("desk", 9)
				f.refuseWrongly(c.path)
				c.during(f)
				for n := range 13 {
					time.Sleep(time.Second)
					f.send(n%7, c.path, "fine")
				}
				for n := range 7 {
					must.Eq(f.t, http.StatusOK, f.send(n, c.path, "fine").status)
				}
			})
		})
	}
}

// Guards against trials of a refused request that crash a server each time, at more than one daemon or again and again.
func TestTrialsReachFewServers(t *testing.T) {
	withFleet(t, 7, func(f *fleet) {
		f.startServers("desk", 12)
		f.crashUntilRefused("/again/1")
		from := time.Now()
		for n := range 15 * 60 {
			time.Sleep(time.Second)
			for d := range 2 {
				f.background.Go(func() { f.send((n+3*d)%7, "/again/1", crashBody) })
			}
			if n == 100 {
				f.restartAll()
			}
		}
		f.background.Wait()
		must.Eq(f.t, 2, f.arrivals("/again/1", from))
	})
}

// Servers crash for other reasons while they run a call that is made often. The call must not be
// refused as poisonous.
func TestFrequentCallIsNotRefusedWhenServersCrash(t *testing.T) {
	withFleet(t, 7, func(f *fleet) {
		f.startServers("desk", 6)
		for n := range 1200 {
			time.Sleep(5 * time.Millisecond)
			f.background.Go(func() {
				got := f.send(n%7, "/again/1", "fine")
				test.StrNotContains(f.t, got.body, string(verdict.CodePoison))
			})
			if n%60 == 10 {
				f.servers[fmt.Sprintf("desk-%d:80", n/60%6)].crash()
			}
		}
	})
}

// Nine times a server crashes while it runs a request sent by one daemon. After every second crash,
// another daemon gets a complete response to the same request, so there are never three crashes in
// a row. The request must not be refused.
func TestCompleteResponseClearsCrashCountsOfOtherDaemons(t *testing.T) {
	withFleet(t, 7, func(f *fleet) {
		f.startServers("desk", 9)
		for n := range 9 {
			f.background.Go(func() { f.send(0, "/once/1", "fine") })
			time.Sleep(10 * time.Millisecond)
			f.crashLastServerOf("/once/1")
			time.Sleep(4 * time.Second) // the server restarts, so that only one is down at a time
			if n%2 == 1 {
				got := f.send(3, "/once/1", "fine")
				must.Eq(f.t, http.StatusOK, got.status, must.Sprint(got.body))
			}
		}
		must.Eq(f.t, http.StatusOK, f.send(0, "/once/1", "fine").status)
	})
}

// crashLastServerOf crashes the server that most recently received a request with the given path.
func (f *fleet) crashLastServerOf(path string) {
	var last *backend
	var at time.Time
	for _, s := range f.servers {
		s.mu.Lock()
		if n := len(s.arrivals); n > 0 && s.arrivals[n-1].path == path && s.arrivals[n-1].at.After(at) {
			last, at = s, s.arrivals[n-1].at
		}
		s.mu.Unlock()
	}
	last.crash()
}
