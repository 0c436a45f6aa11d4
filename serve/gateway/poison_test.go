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
	// crashesBeforeDetection is how many servers a request may end before anything has to be known.
	crashesBeforeDetection = 3
	// poisonDetectionTime is how long after that the fleet may take to know.
	poisonDetectionTime = 3 * time.Second
	// maxSendsAfterDetection is how many more sends the fleet may make then.
	maxSendsAfterDetection = 3
)

// A request ends each server that runs it and comes again at all daemons: it must reach few more.
func TestPoisonRequestReachesFewServers(t *testing.T) {
	all := []int{0, 1, 2, 3, 4, 5, 6}
	for _, c := range []struct {
		name    string
		path    string
		service string
		during  func(*fleet) // beside the requests
	}{
		{"stream", "/stream/1", "llm", nil},
		{"idempotent call", "/again/1", "desk", nil},
		{"call that runs at most once", "/once/1", "desk", nil},
		{"another query each time", "/again/1", "desk", nil},
		{"all daemons start again later", "/stream/1", "llm", func(f *fleet) {
			time.Sleep(25 * time.Second)
			f.restart(all...)
		}},
		{"daemons start again in turn", "/again/1", "desk", func(f *fleet) {
			for n := range all {
				time.Sleep(4 * time.Second)
				f.restart(n)
			}
		}},
		{"the store is away first", "/stream/1", "llm", func(f *fleet) {
			f.setStoreDown(true)
			time.Sleep(20 * time.Second)
			f.setStoreDown(false)
			time.Sleep(10 * time.Second)
			f.restart(all...)
		}},
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
					if c.name == "another query each time" {
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

// crashUntilRefused has a request end its servers until it is refused, and returns its digest.
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

// The answer must neither say that nothing ran nor invite the caller back.
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

// An operator lifts a refusal: no daemon may hold on to it.
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

// Servers that end by themselves under a call that many make: it must not be refused.
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

// Three ends at one daemon, with whole answers elsewhere between them, must refuse no request.
func TestCompleteResponseClearsCrashCountsOfOtherDaemons(t *testing.T) {
	withFleet(t, 7, func(f *fleet) {
		f.startServers("desk", 9)
		for n := range 9 {
			f.background.Go(func() { f.send(0, "/once/1", "fine") })
			time.Sleep(10 * time.Millisecond)
			f.crashLastServerOf("/once/1")
			time.Sleep(4 * time.Second) // it is back, so that one is down at a time
			if n%2 == 1 {
				got := f.send(3, "/once/1", "fine")
				must.Eq(f.t, http.StatusOK, got.status, must.Sprint(got.body))
			}
		}
		must.Eq(f.t, http.StatusOK, f.send(0, "/once/1", "fine").status)
	})
}

// crashLastServerOf ends the server that a request of a path reached last.
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
