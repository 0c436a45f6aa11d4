package gateway

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/rollout"
	"mallowwind.dev/external/standin/faultnet"
	"mallowwind.dev/external/store"
)

// versioned is a server of one version of a service.
type versioned struct {
	r        *rolling
	version  string
	id       string
	listener *faultnet.Listener
	http     *http.Server
	failing  atomic.Uint64 // of 100 requests
	arrived  atomic.Int64
	last     atomic.Int64 // Unix nanoseconds of the last request
}

// rolling is a service whose servers are of two versions, before a fleet.
type rolling struct {
	f       *fleet
	service string
	mu      sync.Mutex // guards the rest
	servers []*versioned
	bad     int       // answers of the new version that failed
	fifty   time.Time // when there were so many
}

// badFifty is how many bad answers begin the time after which a bad version gets nothing.
const badFifty = 50

func (r *rolling) start(version string, n int) {
	for i := range n {
		s := &versioned{r: r, version: version, id: fmt.Sprintf("%s-%s-%d:80", r.service, version, i), listener: faultnet.Pipe()}
		s.http = &http.Server{Handler: s}
		b := &backend{f: r.f, service: r.service, address: s.id, listener: s.listener, http: s.http}
		r.f.mu.Lock()
		r.f.servers[s.id] = b
		r.f.mu.Unlock()
		r.mu.Lock()
		r.servers = append(r.servers, s)
		r.mu.Unlock()
		go s.http.Serve(s.listener)
		raw, err := json.Marshal(routing.Server{Service: r.service, Address: s.id, Zone: string(rune('a' + i%3)), Slots: 8, Version: version})
		must.NoError(r.f.t, err)
		r.f.put(feed.OwnServerPrefix+s.id, string(raw))
	}
}

// stop ends the servers of a version without warning.
func (r *rolling) stop(version string) {
	r.each(version, func(s *versioned) {
		s.listener.Cut()
		s.http.Close()
		r.f.remove(feed.OwnServerPrefix + s.id)
	})
}

func (r *rolling) each(version string, do func(*versioned)) {
	r.mu.Lock()
	servers := append([]*versioned(nil), r.servers...)
	r.mu.Unlock()
	for _, s := range servers {
		if s.version == version {
			do(s)
		}
	}
}

// fail has a part of the answers of a version fail, of 100.
func (r *rolling) fail(version string, of100 uint64) {
	r.each(version, func(s *versioned) { s.failing.Store(of100) })
}

// got is how many requests reached a version, and when the last did.
func (r *rolling) got(version string) (n int64, last time.Time) {
	r.each(version, func(s *versioned) {
		n += s.arrived.Load()
		if at := time.Unix(0, s.last.Load()); at.After(last) {
			last = at
		}
	})
	return n, last
}

// ServeHTTP runs a request: 30 ms for a call, and for a stream a second and then twenty events.
func (s *versioned) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/status" {
		fmt.Fprint(w, "{}")
		return
	}
	_, _ = io.Copy(io.Discard, r.Body) // a caller that leaves is noticed then
	if r.Header.Get("X-Backend-Id") != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.arrived.Add(1)
	s.last.Store(time.Now().UnixNano())
	work := 30 * time.Millisecond
	stream := strings.HasPrefix(r.URL.Path, "/stream/")
	if stream {
		work = time.Second
	}
	if rand.Uint64N(100) < s.failing.Load() {
		s.r.mu.Lock()
		if s.r.bad++; s.r.bad == badFifty {
			s.r.fifty = time.Now()
		}
		s.r.mu.Unlock()
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	if !stream {
		fmt.Fprint(w, "done")
		return
	}
	for n := range 20 {
		fmt.Fprintf(w, "id: %d\ndata: x\n\n", n+1)
		w.(http.Flusher).Flush()
		time.Sleep(20 * time.Millisecond)
	}
}

// order writes an operator's order and starts the servers of the target.
func (r *rolling) order(target string, period time.Duration, n int) {
	r.write(target, period)
	r.start(target, n)
}

func (r *rolling) write(target string, period time.Duration) {
	raw, err := feed.EncodeRolloutOrder(routing.RolloutOrder{Target: target, Period: period})
	must.NoError(r.f.t, err)
	r.f.put(feed.OwnRolloutOrderKey(r.service), string(raw))
}

// status is what lies in the store, the zero value while nothing does.
func (r *rolling) status() routing.RolloutStatus {
	kv, err := r.f.store.Get(r.f.t.Context(), feed.OwnRollouts{}.RolloutStatusKey(r.service))
	if err != nil {
		return routing.RolloutStatus{}
	}
	s, err := feed.OwnRollouts{}.DecodeRolloutStatus(kv.Value)
	must.NoError(r.f.t, err)
	return s
}

// obey stops the servers that an end of the roll-out leaves, as operators' platforms do.
func (r *rolling) obey(from string, lasts time.Duration) (end rollout.Stage, after time.Duration) {
	began, stage := time.Now(), rollout.Idle
	for time.Since(began) < lasts {
		time.Sleep(20 * time.Millisecond)
		if now := r.status().Stage; now != stage {
			stage = now
			r.f.t.Logf("%v after %v", stage, time.Since(began))
		}
		if s := r.status(); s.Stage.IsTerminal() {
			if s.Stage == rollout.Completed {
				r.stop(from)
			}
			return s.Stage, time.Since(began)
		}
	}
	return r.status().Stage, lasts
}

// inRollout runs test before daemons with four servers of v1.
func inRollout(t *testing.T, daemons int, service string, test func(*rolling)) {
	inServingFleet(t, daemons, func(f *fleet) {
		r := &rolling{f: f, service: service}
		r.start("v1", 4)
		time.Sleep(3 * time.Second)
		test(r)
	})
}

const (
	rollPeriod = 12 * time.Second
	callsEvery = 150 // a second
)

// A bad version gets no more than a tenth of the requests and fifty, and nothing 5 s after its 50th
// bad answer, whatever happens to the daemons meanwhile.
func TestBadVersionGetsNoMoreThanItMay(t *testing.T) {
	for _, c := range []struct {
		name    string
		daemons int
		more    time.Duration // that callers go on after the period
		play    func(*rolling)
	}{
		{"seven daemons", 7, 0, func(*rolling) {}},
		{"forty daemons", 40, 0, func(*rolling) {}},
		{"turns bad later", 7, 0, func(r *rolling) {
			r.fail("v2", 0)
			time.Sleep(5 * time.Second)
			r.fail("v2", 40)
		}},
		{"the store goes away", 7, 6 * time.Second, func(r *rolling) {
			time.Sleep(800 * time.Millisecond)
			r.f.storeDown(true)
			time.Sleep(9 * time.Second)
			r.f.storeDown(false)
		}},
		{"all daemons are killed", 7, 0, func(r *rolling) {
			time.Sleep(1500 * time.Millisecond)
			r.f.restart(0, 1, 2, 3, 4, 5, 6)
		}},
		{"daemons are killed in turn", 7, 0, func(r *rolling) {
			for n := range 7 {
				time.Sleep(700 * time.Millisecond)
				r.f.restart(n)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			inRollout(t, c.daemons, "desk", func(r *rolling) {
				r.order("v2", rollPeriod, 4)
				r.fail("v2", 40)
				r.f.done.Go(func() { c.play(r) })
				got := r.f.load("/again/", callsEvery, rollPeriod+c.more)
				stage, _ := r.obey("v1", 2*time.Second)
				n, last := r.got("v2")
				t.Logf("%v, %d of %d at the bad version", stage, n, got.asked.Load())
				test.Eq(t, rollout.RolledBack, stage)
				test.LessEq(t, got.asked.Load()/10+50, n)
				if !r.fifty.IsZero() {
					test.LessEq(t, 5*time.Second, last.Sub(r.fifty))
				}
				test.GreaterEq(t, got.asked.Load()*95/100, got.answered.Load())
			})
		})
	}
}

// A good version is completed in time, and the servers of the version before, which stop at that
// moment, have nothing under way.
func TestGoodVersionIsCompletedAndNobodyCut(t *testing.T) {
	for _, c := range []struct {
		name, service, path string
		daemons, perSecond  int
		restarts            bool // callers of daemons that are killed get no answer
		play                func(*rolling)
	}{
		{"calls", "desk", "/once/", 7, callsEvery, false, func(*rolling) {}},
		{"calls, forty daemons", "desk", "/once/", 40, callsEvery, false, func(*rolling) {}},
		{"streams", "llm", "/stream/", 7, 8, false, func(*rolling) {}},
		{"the same order twice", "desk", "/once/", 7, callsEvery, false, func(r *rolling) {
			time.Sleep(3 * time.Second)
			r.write("v2", rollPeriod)
		}},
		{"daemons start again one after the other", "desk", "/once/", 7, callsEvery, true, func(r *rolling) {
			for n := range 7 {
				time.Sleep(time.Second)
				r.f.restart(n)
			}
		}},
		{"nobody asks", "desk", "/once/", 7, 0, false, func(*rolling) {}},
	} {
		t.Run(c.name, func(t *testing.T) {
			inRollout(t, c.daemons, c.service, func(r *rolling) {
				var got *calls
				loaded := make(chan struct{})
				if c.perSecond > 0 {
					go func() {
						defer close(loaded)
						got = r.f.load(c.path, c.perSecond, rollPeriod+2*time.Second)
					}()
				} else {
					close(loaded)
				}
				time.Sleep(500 * time.Millisecond)
				r.order("v2", rollPeriod, 4)
				r.f.done.Go(func() { c.play(r) })
				stage, after := r.obey("v1", rollPeriod+time.Second)
				<-loaded
				t.Logf("%v after %v", stage, after)
				test.Eq(t, rollout.Completed, stage)
				test.LessEq(t, rollPeriod, after)
				time.Sleep(3 * time.Second)
				synctest.Wait()
				switch {
				case got == nil:
				case c.restarts:
					test.GreaterEq(t, got.asked.Load()*95/100, got.answered.Load())
				default:
					test.Eq(t, got.asked.Load(), got.answered.Load())
				}
			})
		})
	}
}

// Servers of a version that no order allows get nothing, and neither do those of one that was
// rolled back, also at daemons that start later.
func TestVersionsThatNoOrderAllowsGetNothing(t *testing.T) {
	inRollout(t, 7, "desk", func(r *rolling) {
		r.start("v0", 4)
		time.Sleep(2 * time.Second)
		r.f.load("/once/", callsEvery, 2*time.Second)
		n, _ := r.got("v0")
		must.Zero(t, n)

		r.order("v2", rollPeriod, 4)
		r.fail("v2", 100)
		r.f.load("/again/", callsEvery, 8*time.Second)
		must.Eq(t, rollout.RolledBack, r.status().Stage)
		before, _ := r.got("v2")
		r.f.restart(0, 1, 2, 3, 4, 5, 6)
		time.Sleep(3 * time.Second)
		got := r.f.load("/once/", callsEvery, 2*time.Second)
		time.Sleep(time.Second)
		n, _ = r.got("v2")
		must.Eq(t, before, n)
		must.Eq(t, got.asked.Load(), got.answered.Load())
	})
}

// An operator takes a roll-out back, or orders another target, while it runs.
func TestOrdersThatChangeWhileARolloutRuns(t *testing.T) {
	for _, c := range []struct {
		name, target string
		start        bool // servers of the other target
		gone         []string
	}{
		{"back to the version before", "v1", false, []string{"v2"}},
		{"on to a third version", "v3", true, []string{"v1", "v2"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			inRollout(t, 7, "desk", func(r *rolling) {
				got := make(chan *calls, 1)
				go func() { got <- r.f.load("/once/", callsEvery, 24*time.Second) }()
				r.order("v2", rollPeriod, 4)
				time.Sleep(4 * time.Second)
				before, _ := r.got("v2")
				must.Positive(t, before)
				r.write(c.target, rollPeriod)
				if c.start {
					r.start(c.target, 4)
				}
				time.Sleep(rollPeriod)
				must.Eq(t, rollout.Completed, r.status().Stage)
				must.Eq(t, c.target, r.status().Target)
				for _, version := range c.gone {
					r.stop(version)
				}
				n, _ := r.got("v2")
				test.LessEq(t, before+5, n) // what was on its way
				answered := <-got
				time.Sleep(2 * time.Second)
				test.Eq(t, answered.asked.Load(), answered.answered.Load())
			})
		})
	}
}

// The store is away when everything was to go to the new version. Daemons learn of that late, and
// the servers of the version before stop when the roll-out is completed: nobody may be cut.
func TestRolloutIsCompletedAfterTheStoreWasAway(t *testing.T) {
	inRollout(t, 7, "desk", func(r *rolling) {
		got := make(chan *calls, 1)
		go func() { got <- r.f.load("/once/", callsEvery, 18*time.Second) }()
		r.order("v2", rollPeriod, 4)
		time.Sleep(9 * time.Second)
		r.f.storeDown(true)
		time.Sleep(5 * time.Second)
		r.f.storeDown(false)
		stage, _ := r.obey("v1", 6*time.Second)
		must.Eq(t, rollout.Completed, stage)
		answered := <-got
		time.Sleep(2 * time.Second)
		must.Eq(t, answered.asked.Load(), answered.answered.Load())
	})
}

// An operator gives up a roll-out while the store is away, and takes the new servers away.
func TestServersOfANewVersionLeaveWhileTheStoreIsAway(t *testing.T) {
	inRollout(t, 7, "desk", func(r *rolling) {
		got := make(chan *calls, 1)
		go func() { got <- r.f.load("/again/", callsEvery, 9*time.Second) }()
		r.order("v2", rollPeriod, 4)
		time.Sleep(9 * time.Second)
		<-got
		r.f.storeDown(true)
		time.Sleep(4 * time.Second)
		r.stop("v2")
		r.f.storeDown(false)
		time.Sleep(8 * time.Second)
		must.Eq(t, rollout.RolledBack, r.status().Stage)
		again := r.f.load("/once/", callsEvery, 2*time.Second)
		time.Sleep(2 * time.Second)
		must.Eq(t, again.asked.Load(), again.answered.Load())
	})
}

// All servers of a new version are lost once it gets every request, or while it is tried.
func TestServersOfANewVersionAreLost(t *testing.T) {
	for _, after := range []time.Duration{3 * time.Second, 11 * time.Second} {
		inRollout(t, 7, "llm", func(r *rolling) {
			period := 24 * time.Second // nothing more is decided while the service is called
			if after > 5*time.Second {
				period = rollPeriod
			}
			streams := make(chan *calls, 1)
			go func() { streams <- r.f.load("/stream/", 10, after) }()
			r.order("v2", period, 4)
			time.Sleep(after - time.Second)
			r.stop("v2")
			<-streams
			time.Sleep(period)
			must.Eq(t, rollout.RolledBack, r.status().Stage)
			got := r.f.load("/stream/", 10, 2*time.Second)
			time.Sleep(4 * time.Second)
			must.Eq(t, got.asked.Load(), got.answered.Load())
		})
	}
}

// Two services move at the same time, one to a version that is bad.
func TestTwoServicesAtOnce(t *testing.T) {
	inRollout(t, 7, "desk", func(desk *rolling) {
		llm := &rolling{f: desk.f, service: "llm"}
		llm.start("v1", 4)
		time.Sleep(2 * time.Second)
		desk.order("v2", rollPeriod, 4)
		llm.order("v2", rollPeriod, 4)
		llm.fail("v2", 100)
		streams := make(chan *calls, 1)
		go func() { streams <- desk.f.load("/stream/", 10, rollPeriod) }()
		got := desk.f.load("/once/", callsEvery, rollPeriod+time.Second)
		time.Sleep(3 * time.Second)
		test.Eq(t, rollout.Completed, desk.status().Stage)
		test.Eq(t, rollout.RolledBack, llm.status().Stage)
		test.Eq(t, got.asked.Load(), got.answered.Load())
		begun := <-streams
		test.Eq(t, begun.asked.Load(), begun.answered.Load()) // another server answers what failed
		n, _ := llm.got("v2")
		test.LessEq(t, begun.asked.Load()/10+50, n)
	})
}

// Orders that nobody can carry out change nothing.
func TestOrdersThatCannotBeCarriedOut(t *testing.T) {
	inRollout(t, 3, "desk", func(r *rolling) {
		key := feed.OwnRolloutOrderKey("desk")
		for _, text := range []string{"{", `{"target":"","period":"12s"}`, `{"target":"v2","period":"0s"}`, `{"target":"v2","period":"2h"}`} {
			r.f.put(key, text)
			time.Sleep(2 * time.Second)
			must.Eq(t, routing.RolloutStatus{}, r.status())
		}
		r.write("v9", 4*time.Second) // there is no server of it
		time.Sleep(6 * time.Second)
		must.Eq(t, rollout.RolledBack, r.status().Stage)
		got := r.f.load("/once/", callsEvery, time.Second)
		time.Sleep(time.Second)
		must.Eq(t, got.asked.Load(), got.answered.Load())
		_, err := r.f.store.Get(t.Context(), feed.OwnRollouts{}.RolloutStatusKey("nobody"))
		must.ErrorIs(t, err, store.ErrNotFound)
	})
}

// An order is read before any configuration is.
func TestOrderBeforeAnyConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{t: t, began: time.Now(), store: store.NewMemory(), daemons: map[string]*daemon{}, servers: map[string]*backend{}}
		defer f.close()
		for n := range 3 {
			f.start(n)
		}
		time.Sleep(3 * time.Second)
		r := &rolling{f: f, service: "desk"}
		r.start("v1", 4)
		r.order("v2", rollPeriod, 4)
		time.Sleep(5 * time.Second)
		f.put(feed.OwnConfigKey, fleetConfig)
		time.Sleep(3 * time.Second)
		got := f.load("/once/", callsEvery, 2*time.Second)
		time.Sleep(time.Second)
		must.Eq(t, got.asked.Load(), got.answered.Load())
	})
}
