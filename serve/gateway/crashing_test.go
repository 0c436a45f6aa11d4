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
	// crashesFree is how many servers a request may end before anything has to be known.
	crashesFree = 3
	// crashesKnown is how long after that the fleet may take to know.
	crashesKnown = 3 * time.Second
	// crashesMore is how many more sends the fleet may make then.
	crashesMore = 3
)

// A request ends each server that runs it and comes again at all daemons: it must reach few more.
func TestRequestThatEndsItsServersIsSentNoMore(t *testing.T) {
	all := []int{0, 1, 2, 3, 4, 5, 6}
	for _, c := range []struct {
		name    string
		path    string
		service string
		play    func(*fleet) // beside the requests
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
			f.storeDown(true)
			time.Sleep(20 * time.Second)
			f.storeDown(false)
			time.Sleep(10 * time.Second)
			f.restart(all...)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			inServingFleet(t, len(all), func(f *fleet) {
				f.serve(c.service, 12)
				if c.play != nil {
					f.done.Go(func() { c.play(f) })
				}
				known := time.Time{}
				for n := range 120 {
					time.Sleep(500 * time.Millisecond)
					path := c.path
					if c.name == "another query each time" {
						path = fmt.Sprintf("%s?n=%d", c.path, n)
					}
					f.done.Go(func() { f.ask(n*3%len(all), path, crashing) })
					f.done.Go(func() {
						got := f.ask(n*5%len(all), fmt.Sprintf("%s-%d", c.path, n), "fine")
						test.StrNotContains(f.t, got.body, string(verdict.CodePoison))
					})
					if known.IsZero() && f.lives() >= crashesFree {
						known = time.Now().Add(crashesKnown)
					}
				}
				must.False(f.t, known.IsZero())
				must.LessEq(f.t, crashesMore, f.arrivals(c.path, known))
			})
		})
	}
}

// refuse has a request end its servers until it is refused, and returns its digest.
func (f *fleet) refuse(path string) (digest string) {
	for n := range 6 {
		f.ask(n, path, crashing)
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
func TestRefusalOfARequestThatEndsServersPromisesNothing(t *testing.T) {
	inServingFleet(t, 7, func(f *fleet) {
		f.serve("desk", 6)
		digest := f.refuse("/once/1")
		got := f.ask(6, "/once/1", crashing)
		must.Eq(f.t, http.StatusBadGateway, got.status)
		must.Eq(f.t, "", got.header.Get("Retry-After"))
		must.StrContains(f.t, got.body, string(verdict.CodePoison))
		must.StrContains(f.t, got.body, verdict.MayHaveRun.String())
		must.StrContains(f.t, got.body, digest)
	})
}

// An operator lifts a refusal: no daemon may hold on to it.
func TestLiftedRequestIsSentAgain(t *testing.T) {
	inServingFleet(t, 7, func(f *fleet) {
		f.serve("desk", 6)
		digest := f.refuse("/once/1")
		before := f.arrivals("/once/1", time.Time{})
		for n := range 7 {
			must.Eq(f.t, http.StatusBadGateway, f.ask(n, "/once/1", crashing).status)
		}
		must.Eq(f.t, before, f.arrivals("/once/1", time.Time{}))
		f.remove(feed.RefusedKey(digest))
		time.Sleep(3 * time.Second)
		f.ask(4, "/once/1", crashing)
		must.Eq(f.t, before+1, f.arrivals("/once/1", time.Time{}))
	})
}

// Servers that end by themselves under a call that many make: it must not be refused.
func TestCallThatManyMakeIsNotRefusedWhereServersEnd(t *testing.T) {
	inServingFleet(t, 7, func(f *fleet) {
		f.serve("desk", 6)
		for n := range 1200 {
			time.Sleep(5 * time.Millisecond)
			f.done.Go(func() {
				got := f.ask(n%7, "/again/1", "fine")
				test.StrNotContains(f.t, got.body, string(verdict.CodePoison))
			})
			if n%60 == 10 {
				f.servers[fmt.Sprintf("desk-%d:80", n/60%6)].crash()
			}
		}
	})
}

// Three ends at one daemon, with whole answers elsewhere between them, must refuse no request.
func TestWholeAnswerClearsWhatOtherDaemonsCounted(t *testing.T) {
	inServingFleet(t, 7, func(f *fleet) {
		f.serve("desk", 9)
		for n := range 9 {
			f.done.Go(func() { f.ask(0, "/once/1", "fine") })
			time.Sleep(10 * time.Millisecond)
			f.crashWhereItRuns("/once/1")
			time.Sleep(4 * time.Second) // it is back, so that one is down at a time
			if n%2 == 1 {
				got := f.ask(3, "/once/1", "fine")
				must.Eq(f.t, http.StatusOK, got.status, must.Sprint(got.body))
			}
		}
		must.Eq(f.t, http.StatusOK, f.ask(0, "/once/1", "fine").status)
	})
}

// crashWhereItRuns ends the server that a request of a path reached last.
func (f *fleet) crashWhereItRuns(path string) {
	var last *backend
	var at time.Time
	for _, s := range f.servers {
		s.mu.Lock()
		if n := len(s.arrived); n > 0 && s.arrived[n-1].path == path && s.arrived[n-1].at.After(at) {
			last, at = s, s.arrived[n-1].at
		}
		s.mu.Unlock()
	}
	last.crash()
}
