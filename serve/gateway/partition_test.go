package gateway

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/external/standin/faultnet"
)

const (
	// partitionDetectionTime is the time after which daemons without a path to any server must serve.
	partitionDetectionTime = 3 * time.Second
	// minServedRatio is the least part of the share served by other daemons that daemons without a
	// path to any server must serve.
	minServedRatio = 2.0 / 3
	// allowedFailures and allowedFailureRatio bound the first attempts that fail at daemons without a
	// path to any server, as a count and as a part of all first attempts.
	allowedFailures     = 10
	allowedFailureRatio = 1.0 / 50
)

// firstAttempts counts the requests sent to a group of daemons and those that were served.
type firstAttempts struct{ sent, served atomic.Int64 }

func (c *firstAttempts) failed() float64 { return float64(c.sent.Load() - c.served.Load()) }

func (c *firstAttempts) servedRatio() float64 {
	return float64(c.served.Load()) / float64(max(1, c.sent.Load()))
}

// loadEach sends perSecond requests per second to all daemons in turn for the given duration, and
// counts those to the daemons in cut and those to the others.
func (f *fleet) loadEach(path string, perSecond int, duration time.Duration, cut []int) (partitioned, others *firstAttempts) {
	partitioned, others = &firstAttempts{}, &firstAttempts{}
	for n := range int(duration.Seconds() * float64(perSecond)) {
		time.Sleep(time.Second / time.Duration(perSecond))
		target := n % len(f.daemons)
		counts := others
		if slices.Contains(cut, target) {
			counts = partitioned
		}
		f.background.Go(func() {
			counts.sent.Add(1)
			if r := f.send(target, fmt.Sprintf("%s%d", path, n), "fine"); r.err == nil && r.status == http.StatusOK {
				counts.served.Add(1)
			}
		})
	}
	return partitioned, others
}

// cut cuts the paths of some daemons to all servers.
func (f *fleet) cut(daemons []int, kind faultnet.CutKind) {
	for _, n := range daemons {
		f.daemons[fmt.Sprintf("vm-%d", n)].path.Cut(kind)
	}
}

// restorePaths reverts cut.
func (f *fleet) restorePaths(daemons []int) {
	for _, n := range daemons {
		f.daemons[fmt.Sprintf("vm-%d", n)].path.Restore()
	}
}

// Guards against daemons that serve nothing because their own VM has no path to any backend server.
func TestDaemonsWithoutPathToServersServeThroughOthers(t *testing.T) {
	for _, c := range []struct {
		name      string
		daemons   int
		cut       []int
		kind      faultnet.CutKind
		path      string
		service   string
		servers   int
		perSecond int
	}{
		{"calls, refused", 7, []int{0, 1, 3, 5}, faultnet.CutResets, "/once/", "desk", 3, 84},
		{"calls, hanging", 7, []int{0, 1, 3, 5}, faultnet.CutHangs, "/once/", "desk", 3, 84},
		{"calls, new connections refused", 7, []int{0, 1, 3, 5}, faultnet.CutRefusesNew, "/once/", "desk", 3, 84},
		{"idempotent calls, refused", 7, []int{0, 1, 3, 5}, faultnet.CutResets, "/again/", "desk", 3, 84},
		{"idempotent calls, hanging", 7, []int{0, 1, 3, 5}, faultnet.CutHangs, "/again/", "desk", 3, 84},
		{"streams, refused", 7, []int{0, 1, 3, 5}, faultnet.CutResets, "/stream/", "llm", 8, 10},
		{"streams, hanging", 7, []int{0, 1, 3, 5}, faultnet.CutHangs, "/stream/", "llm", 8, 10},
		{"a zone, refused", 7, []int{0, 3, 6}, faultnet.CutResets, "/once/", "desk", 3, 84},
		{"a zone, hanging", 7, []int{0, 3, 6}, faultnet.CutHangs, "/once/", "desk", 3, 84},
		{"one, refused", 7, []int{1}, faultnet.CutResets, "/once/", "desk", 3, 84},
		{"all but one, refused", 7, []int{0, 1, 2, 3, 4, 5}, faultnet.CutResets, "/once/", "desk", 3, 84},
		{"all but one, hanging", 7, []int{0, 1, 2, 3, 4, 5}, faultnet.CutHangs, "/once/", "desk", 3, 84},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, c.daemons, func(f *fleet) {
				f.startServers(c.service, c.servers)
				f.loadEach(c.path+"before", c.perSecond, 3*time.Second, c.cut)
				f.cut(c.cut, c.kind)
				f.loadEach(c.path+"detect", c.perSecond, partitionDetectionTime, c.cut)
				partitioned, others := f.loadEach(c.path, c.perSecond, 10*time.Second, c.cut)
				f.background.Wait()
				t.Logf("served %d of %d requests to daemons without a path, %d of %d to the others",
					partitioned.served.Load(), partitioned.sent.Load(), others.served.Load(), others.sent.Load())
				must.GreaterEq(f.t, minServedRatio*others.servedRatio(), partitioned.servedRatio())
				all := float64(partitioned.sent.Load() + others.sent.Load())
				must.LessEq(f.t, allowedFailures+allowedFailureRatio*all, partitioned.failed())
				f.restorePaths(c.cut)
				f.loadEach(c.path+"healing", c.perSecond, partitionDetectionTime, c.cut)
				healed, _ := f.loadEach(c.path+"after", c.perSecond, 3*time.Second, c.cut)
				f.background.Wait()
				must.Eq(f.t, healed.sent.Load(), healed.served.Load())
				if strings.HasPrefix(c.path, "/once/") {
					must.Eq(f.t, 1, f.maxRunsOfOneRequest())
				}
			})
		})
	}
}

// No daemon reaches a server: callers must hear so before their time is over, with a Retry-After if
// the request has not run, and must be served again after that.
func TestRequestsAreRefusedWhileNoDaemonReachesAServer(t *testing.T) {
	for _, kind := range []faultnet.CutKind{faultnet.CutResets, faultnet.CutHangs} {
		withFleet(t, 7, func(f *fleet) {
			all := []int{0, 1, 2, 3, 4, 5, 6}
			f.startServers("desk", 3)
			f.load("/once/before", 84, 3*time.Second)
			f.cut(all, kind)
			time.Sleep(time.Second) // what was under way may be lost
			cut := f.load("/once/cut", 84, 5*time.Second)
			f.background.Wait()
			must.Zero(f.t, cut.answered.Load())
			must.Eq(f.t, cut.sent.Load(), cut.refused.Load())
			f.restorePaths(all)
			f.load("/once/healing", 84, 5*time.Second)
			f.background.Wait()
			after := f.load("/once/after", 84, 3*time.Second)
			f.background.Wait()
			must.Eq(f.t, after.sent.Load(), after.answered.Load())
		})
	}
}

// Some servers are out of reach for some daemons. Those that are within reach get their connections
// directly, and the others theirs through other daemons.
func TestServersOutOfReachAreReachedThroughOthers(t *testing.T) {
	for _, kind := range []faultnet.CutKind{faultnet.CutResets, faultnet.CutHangs} {
		withFleet(t, 7, func(f *fleet) {
			f.startServers("desk", 3)
			f.startServers("llm", 4)
			desks := []string{"desk-0:80", "desk-1:80", "desk-2:80"}
			for n := range 4 {
				f.daemons[fmt.Sprintf("vm-%d", n)].path.Cut(kind, desks...)
			}
			f.background.Go(func() { f.loadEach("/stream/", 10, 8*time.Second, nil) })
			f.loadEach("/once/detect", 84, partitionDetectionTime, nil)
			partitioned, others := f.loadEach("/once/", 84, 5*time.Second, []int{0, 1, 2, 3})
			f.background.Wait()
			must.GreaterEq(f.t, 0.98*others.servedRatio(), partitioned.servedRatio())
		})
	}
}

// A daemon dies while it carries requests of daemons without a path. A request that may have run must
// not be answered as one that has not, and none may run twice.
func TestDaemonThatCarriesRequestsDies(t *testing.T) {
	withFleet(t, 7, func(f *fleet) {
		f.startServers("desk", 3)
		f.cut([]int{0, 1, 2, 3}, faultnet.CutResets)
		f.loadEach("/once/detect", 84, partitionDetectionTime, nil)
		f.background.Go(func() {
			for _, n := range []int{4, 5, 6} {
				time.Sleep(time.Second)
				f.restart(n)
			}
		})
		var mu sync.Mutex
		statuses := map[string]int{}
		for n := range 400 {
			time.Sleep(10 * time.Millisecond)
			f.background.Go(func() {
				path := fmt.Sprintf("/once/%d", n)
				r := f.send(n%4, path, "fine")
				mu.Lock()
				defer mu.Unlock()
				statuses[path] = r.status
			})
		}
		f.background.Wait()
		must.Eq(t, 1, f.maxRunsOfOneRequest())
		served := 0
		for path, status := range statuses {
			switch status {
			case http.StatusOK:
				served++
			case http.StatusServiceUnavailable:
				must.Zero(t, f.arrivals(path, f.began), must.Sprint(path))
			}
		}
		must.Greater(t, 300, served)
	})
}

// The only daemons with a path to the servers are being stopped. They must still connect for the others
// while they take calls themselves.
func TestLeavingDaemonsConnectForOthers(t *testing.T) {
	withFleet(t, 5, func(f *fleet) {
		f.startServers("desk", 3)
		f.cut([]int{0, 1, 2}, faultnet.CutResets)
		f.loadEach("/once/detect", 60, partitionDetectionTime, nil)
		for _, n := range []int{3, 4} {
			f.daemons[fmt.Sprintf("vm-%d", n)].terminate()
		}
		time.Sleep(100 * time.Millisecond)
		partitioned, _ := f.loadEach("/once/", 60, 2*time.Second, []int{0, 1, 2})
		f.background.Wait()
		must.GreaterEq(t, minServedRatio, partitioned.servedRatio())
	})
}

// Guards against streams that are cut because the daemon that carries them was already leaving when it
// took them, and exits before their end.
func TestLeavingDaemonCutsNoStreamOfOthers(t *testing.T) {
	for after, want := range map[time.Duration]int{
		100 * time.Millisecond:  http.StatusOK,
		1500 * time.Millisecond: http.StatusServiceUnavailable,
		2400 * time.Millisecond: http.StatusServiceUnavailable,
	} {
		t.Run(after.String(), func(t *testing.T) {
			withFleet(t, 3, func(f *fleet) {
				f.eventPace = 250 * time.Millisecond // an answer lasts six seconds
				f.startServers("llm", 2)
				f.cut([]int{0, 1}, faultnet.CutResets)
				f.loadEach("/stream/detect", 6, partitionDetectionTime, nil)
				f.background.Wait()
				leaving := f.daemons["vm-2"]
				leaving.terminate()
				f.background.Go(func() {
					<-leaving.stopped
					leaving.peers.Cut()
				})
				time.Sleep(after)
				for n := range 2 {
					f.background.Go(func() {
						if r := f.send(n, fmt.Sprintf("/stream/%d", n), "fine"); r.err != nil || r.status != want {
							t.Errorf("vm-%d: %d instead of %d, cut: %v, after %d bytes", n, r.status, want, r.err, len(r.body))
						}
					})
				}
				f.background.Wait()
			})
		})
	}
}

// maxRunsOfOneRequest returns how often the request that reached servers most often did so.
func (f *fleet) maxRunsOfOneRequest() (most int) {
	runs := map[string]int{}
	for _, s := range f.servers {
		for _, a := range s.arrivals {
			runs[a.path]++
			most = max(most, runs[a.path])
		}
	}
	return most
}
