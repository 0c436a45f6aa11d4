package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
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
					f.done.Go(func() { f.ask(n*3%len(all), c.path, crashing) })
					f.done.Go(func() { f.ask(n*5%len(all), fmt.Sprintf("%s-%d", c.path, n), "fine") })
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
