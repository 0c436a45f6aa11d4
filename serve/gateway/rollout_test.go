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

// versionedServer is a backend server that runs one version of a service.
type versionedServer struct {
	service     *rolloutService
	version     string
	id          string
	listener    *faultnet.Listener
	http        *http.Server
	failPercent atomic.Uint64 // percentage of requests that fail
	requests    atomic.Int64
	lastRequest atomic.Int64 // Unix nanoseconds of the last request
}

// rolloutService is a service with servers of several versions, used by a fleet.
type rolloutService struct {
	f           *fleet
	name        string
	mu          sync.Mutex // guards the fields below
	servers     []*versionedServer
	failures    int       // responses that failed
	thresholdAt time.Time // when failures reached failureThreshold
}

// failureThreshold is the number of failed responses after which a bad version must soon get no more
// requests.
const failureThreshold = 50

func (r *rolloutService) start(version string, n int) {
	for i := range n {
		s := &versionedServer{service: r, version: version, id: fmt.Sprintf("%s-%s-%d:80", r.name, version, i), listener: faultnet.Pipe()}
		s.http = &http.Server{Handler: s}
		b := &backend{f: r.f, service: r.name, address: s.id, listener: s.listener, http: s.http}
		r.f.mu.Lock()
		r.f.servers[s.id] = b
		r.f.mu.Unlock()
		r.mu.Lock()
		r.servers = append(r.servers, s)
		r.mu.Unlock()
		go s.http.Serve(s.listener)
		raw, err := json.Marshal(routing.Server{Service: r.name, Address: s.id, Zone: string(rune('a' + i%3)), Slots: 8, Version: version})
		must.NoError(r.f.t, err)
		r.f.put(feed.OwnServerPrefix+s.id, string(raw))
	}
}

// silence cuts the daemons off from servers: no connection is made, and no byte passes, until end.
func (r *rolloutService) silence(addresses ...string) (end func()) {
	for _, d := range r.f.daemons {
		d.path.Cut(faultnet.CutHangs, addresses...)
	}
	return func() {
		for _, d := range r.f.daemons {
			d.path.Restore()
		}
	}
}

// silenceInTurn makes the servers of a version silent one after the other, for a time each.
func (r *rolloutService) silenceInTurn(version string, d time.Duration) {
	for range 2 {
		r.forEach(version, func(s *versionedServer) {
			end := r.silence(s.id)
			time.Sleep(d)
			end()
		})
	}
}

// stop stops the servers of a version without draining them.
func (r *rolloutService) stop(version string) {
	r.forEach(version, func(s *versionedServer) {
		s.listener.Cut()
		s.http.Close()
		r.f.remove(feed.OwnServerPrefix + s.id)
	})
}

func (r *rolloutService) forEach(version string, do func(*versionedServer)) {
	r.mu.Lock()
	servers := append([]*versionedServer(nil), r.servers...)
	r.mu.Unlock()
	for _, s := range servers {
		if s.version == version {
			do(s)
		}
	}
}

// setFailPercent sets the percentage of requests that fail at the servers of a version.
func (r *rolloutService) setFailPercent(version string, percent uint64) {
	r.forEach(version, func(s *versionedServer) { s.failPercent.Store(percent) })
}

// requestsTo returns how many requests reached the servers of a version, and when the last one did.
func (r *rolloutService) requestsTo(version string) (n int64, last time.Time) {
	r.forEach(version, func(s *versionedServer) {
		n += s.requests.Load()
		if at := time.Unix(0, s.lastRequest.Load()); at.After(last) {
			last = at
		}
	})
	return n, last
}

// ServeHTTP runs a request: a call takes 30 ms, a stream takes one second of prefill and then sends
// twenty events.
func (s *versionedServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/status" {
		fmt.Fprint(w, "{}")
		return
	}
	_, _ = io.Copy(io.Discard, r.Body) // net/http detects a disconnect only after the body is read
	if r.Header.Get("X-Backend-Id") != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.requests.Add(1)
	s.lastRequest.Store(time.Now().UnixNano())
	workTime := 30 * time.Millisecond
	stream := strings.HasPrefix(r.URL.Path, "/stream/")
	if stream {
		workTime = time.Second
	}
	if rand.Uint64N(100) < s.failPercent.Load() {
		s.service.mu.Lock()
		if s.service.failures++; s.service.failures == failureThreshold {
			s.service.thresholdAt = time.Now()
		}
		s.service.mu.Unlock()
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	select {
	case <-time.After(workTime):
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

// startRollout writes an order and starts n servers of the target version.
func (r *rolloutService) startRollout(target string, period time.Duration, n int) {
	r.writeOrder(target, period)
	r.start(target, n)
}

func (r *rolloutService) writeOrder(target string, period time.Duration) {
	raw, err := feed.EncodeRolloutOrder(routing.RolloutOrder{Target: target, Period: period})
	must.NoError(r.f.t, err)
	r.f.put(feed.OwnRolloutOrderKey(r.name), string(raw))
}

// status returns the rollout status in the store, or the zero value if there is none.
func (r *rolloutService) status() routing.RolloutStatus {
	kv, err := r.f.store.Get(r.f.t.Context(), feed.OwnRollouts{}.RolloutStatusKey(r.name))
	if err != nil {
		return routing.RolloutStatus{}
	}
	s, err := feed.OwnRollouts{}.DecodeRolloutStatus(kv.Value)
	must.NoError(r.f.t, err)
	return s
}

// awaitEnd waits until the rollout has ended. If it was completed, awaitEnd stops the servers of the
// replaced version at once, as a platform does.
func (r *rolloutService) awaitEnd(replaced string, timeout time.Duration) (end rollout.Stage, after time.Duration) {
	began, stage := time.Now(), rollout.Idle
	for time.Since(began) < timeout {
		time.Sleep(20 * time.Millisecond)
		if now := r.status().Stage; now != stage {
			stage = now
			r.f.t.Logf("%v after %v", stage, time.Since(began))
		}
		if s := r.status(); s.Stage.IsTerminal() {
			if s.Stage == rollout.Completed {
				r.stop(replaced)
			}
			return s.Stage, time.Since(began)
		}
	}
	return r.status().Stage, timeout
}

// withRolloutService runs test with a fleet of daemons and a service with four servers of v1.
func withRolloutService(t *testing.T, daemons int, service string, test func(*rolloutService)) {
	withFleet(t, daemons, func(f *fleet) {
		r := &rolloutService{f: f, name: service}
		r.start("v1", 4)
		time.Sleep(3 * time.Second)
		test(r)
	})
}

const (
	rolloutPeriod  = 12 * time.Second
	callsPerSecond = 150
)

// A bad version must get at most a tenth of the requests plus fifty, and none later than 5 s after
// its 50th failed response, even if the store or daemons fail meanwhile.
func TestBadVersionStaysWithinCanaryLimits(t *testing.T) {
	for _, c := range []struct {
		name      string
		daemons   int
		extraLoad time.Duration // how long callers continue after the rollout period
		during    func(*rolloutService)
	}{
		{"seven daemons", 7, 0, func(*rolloutService) {}},
		{"forty daemons", 40, 0, func(*rolloutService) {}},
		{"version fails later", 7, 0, func(r *rolloutService) {
			r.setFailPercent("v2", 0)
			time.Sleep(5 * time.Second)
			r.setFailPercent("v2", 40)
		}},
		{"store outage", 7, 6 * time.Second, func(r *rolloutService) {
			time.Sleep(800 * time.Millisecond)
			r.f.setStoreDown(true)
			time.Sleep(9 * time.Second)
			r.f.setStoreDown(false)
		}},
		{"all daemons are killed", 7, 0, func(r *rolloutService) {
			time.Sleep(1500 * time.Millisecond)
			r.f.restart(0, 1, 2, 3, 4, 5, 6)
		}},
		{"daemons are killed one after the other", 7, 0, func(r *rolloutService) {
			for n := range 7 {
				time.Sleep(700 * time.Millisecond)
				r.f.restart(n)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			withRolloutService(t, c.daemons, "desk", func(r *rolloutService) {
				r.startRollout("v2", rolloutPeriod, 4)
				r.setFailPercent("v2", 40)
				r.f.background.Go(func() { c.during(r) })
				got := r.f.load("/again/", callsPerSecond, rolloutPeriod+c.extraLoad)
				stage, _ := r.awaitEnd("v1", 2*time.Second)
				n, last := r.requestsTo("v2")
				t.Logf("%v, %d of %d at the bad version", stage, n, got.sent.Load())
				test.Eq(t, rollout.RolledBack, stage)
				test.LessEq(t, got.sent.Load()/10+50, n)
				if !r.thresholdAt.IsZero() {
					test.LessEq(t, 5*time.Second, last.Sub(r.thresholdAt))
				}
				test.GreaterEq(t, got.sent.Load()*95/100, got.answered.Load())
			})
		})
	}
}

// goodVersionCase is what happens during the rollout of a good version.
type goodVersionCase struct {
	name, service, path string
	daemons, perSecond  int
	restarts            bool // daemons are killed, so some callers get no response
	during              func(*rolloutService)
}

// The rollout of a good version must be completed within its period. The servers of the previous
// version stop at that moment and must have no requests in progress.
func TestGoodVersionCompletesWithoutInterruptedRequests(t *testing.T) {
	for _, c := range []goodVersionCase{
		{"calls", "desk", "/once/", 7, callsPerSecond, false, func(*rolloutService) {}},
		{"calls, forty daemons", "desk", "/once/", 40, callsPerSecond, false, func(*rolloutService) {}},
		{"streams", "llm", "/stream/", 7, 8, false, func(*rolloutService) {}},
		{"the same order twice", "desk", "/once/", 7, callsPerSecond, false, func(r *rolloutService) {
			time.Sleep(3 * time.Second)
			r.writeOrder("v2", rolloutPeriod)
		}},
		{"rolling restart of the daemons", "desk", "/once/", 7, callsPerSecond, true, func(r *rolloutService) {
			for n := range 7 {
				time.Sleep(time.Second)
				r.f.restart(n)
			}
		}},
		{"no requests", "desk", "/once/", 7, 0, false, func(*rolloutService) {}},
	} {
		t.Run(c.name, func(t *testing.T) { checkGoodVersion(t, c) })
	}
}

// Guards against a good version that is rolled back because its servers are silent for a second in turn.
func TestGoodVersionOfSilentServersCompletes(t *testing.T) {
	for _, c := range []goodVersionCase{
		{"servers of the version are silent in turn, calls", "desk", "/once/", 7, callsPerSecond, false, func(r *rolloutService) { r.silenceInTurn("v2", time.Second) }},
		{"servers of the version are silent in turn, streams", "llm", "/stream/", 7, 8, false, func(r *rolloutService) { r.silenceInTurn("v2", time.Second) }},
	} {
		t.Run(c.name, func(t *testing.T) { checkGoodVersion(t, c) })
	}
}

// checkGoodVersion checks that the rollout of a good version is completed and interrupts no request.
func checkGoodVersion(t *testing.T, c goodVersionCase) {
	withRolloutService(t, c.daemons, c.service, func(r *rolloutService) {
		var got *callCounts
		loaded := make(chan struct{})
		if c.perSecond > 0 {
			go func() {
				defer close(loaded)
				got = r.f.load(c.path, c.perSecond, rolloutPeriod+2*time.Second)
			}()
		} else {
			close(loaded)
		}
		time.Sleep(500 * time.Millisecond)
		r.startRollout("v2", rolloutPeriod, 4)
		r.f.background.Go(func() { c.during(r) })
		stage, after := r.awaitEnd("v1", rolloutPeriod+time.Second)
		<-loaded
		t.Logf("%v after %v", stage, after)
		test.Eq(t, rollout.Completed, stage)
		test.LessEq(t, rolloutPeriod, after)
		time.Sleep(3 * time.Second)
		synctest.Wait()
		switch {
		case got == nil:
		case c.restarts:
			test.GreaterEq(t, got.sent.Load()*95/100, got.answered.Load())
		default:
			test.Eq(t, got.sent.Load(), got.answered.Load())
		}
	})
}

// Guards against a version whose servers accept no connections for good and which is not judged for that.
func TestSilentVersionIsRolledBack(t *testing.T) {
	for name, soundFor := range map[string]time.Duration{"from its start": 0, "later": 3 * time.Second} {
		t.Run(name, func(t *testing.T) {
			withRolloutService(t, 7, "desk", func(r *rolloutService) {
				r.startRollout("v2", rolloutPeriod, 4)
				var silent []string
				r.forEach("v2", func(s *versionedServer) { silent = append(silent, s.id) })
				end := func() {}
				r.f.background.Go(func() {
					time.Sleep(soundFor)
					end = r.silence(silent...)
				})
				got := r.f.load("/again/", callsPerSecond, rolloutPeriod)
				stage, _ := r.awaitEnd("v1", 2*time.Second)
				end()
				test.Eq(t, rollout.RolledBack, stage)
				test.GreaterEq(t, got.sent.Load()*95/100, got.answered.Load())
			})
		})
	}
}

// Servers of a version that no order allows must get no requests. The same holds for a version that
// was rolled back, even from daemons that start later.
func TestVersionsWithoutOrderGetNoRequests(t *testing.T) {
	withRolloutService(t, 7, "desk", func(r *rolloutService) {
		r.start("v0", 4)
		time.Sleep(2 * time.Second)
		r.f.load("/once/", callsPerSecond, 2*time.Second)
		n, _ := r.requestsTo("v0")
		must.Zero(t, n)

		r.startRollout("v2", rolloutPeriod, 4)
		r.setFailPercent("v2", 100)
		r.f.load("/again/", callsPerSecond, 8*time.Second)
		must.Eq(t, rollout.RolledBack, r.status().Stage)
		before, _ := r.requestsTo("v2")
		r.f.restart(0, 1, 2, 3, 4, 5, 6)
		time.Sleep(3 * time.Second)
		got := r.f.load("/once/", callsPerSecond, 2*time.Second)
		time.Sleep(time.Second)
		n, _ = r.requestsTo("v2")
		must.Eq(t, before, n)
		must.Eq(t, got.sent.Load(), got.answered.Load())
	})
}

// While a rollout runs, an operator orders the previous version again or a third one. The rollout to
// the new target must be completed without failed requests.
func TestOrderChangesDuringRollout(t *testing.T) {
	for _, c := range []struct {
		name, target string
		start        bool // start servers of the target
		removed      []string
	}{
		{"back to the previous version", "v1", false, []string{"v2"}},
		{"on to a third version", "v3", true, []string{"v1", "v2"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			withRolloutService(t, 7, "desk", func(r *rolloutService) {
				got := make(chan *callCounts, 1)
				go func() { got <- r.f.load("/once/", callsPerSecond, 24*time.Second) }()
				r.startRollout("v2", rolloutPeriod, 4)
				time.Sleep(4 * time.Second)
				before, _ := r.requestsTo("v2")
				must.Positive(t, before)
				r.writeOrder(c.target, rolloutPeriod)
				if c.start {
					r.start(c.target, 4)
				}
				time.Sleep(rolloutPeriod)
				must.Eq(t, rollout.Completed, r.status().Stage)
				must.Eq(t, c.target, r.status().Target)
				for _, version := range c.removed {
					r.stop(version)
				}
				n, _ := r.requestsTo("v2")
				test.LessEq(t, before+5, n) // allows for requests in flight
				counts := <-got
				time.Sleep(2 * time.Second)
				test.Eq(t, counts.sent.Load(), counts.answered.Load())
			})
		})
	}
}

// The store is unreachable when all requests should move to the new version, so daemons learn of it
// late. The servers of the previous version stop when the rollout is completed; no request may be
// interrupted.
func TestRolloutCompletesAfterStoreOutage(t *testing.T) {
	withRolloutService(t, 7, "desk", func(r *rolloutService) {
		got := make(chan *callCounts, 1)
		go func() { got <- r.f.load("/once/", callsPerSecond, 18*time.Second) }()
		r.startRollout("v2", rolloutPeriod, 4)
		time.Sleep(9 * time.Second)
		r.f.setStoreDown(true)
		time.Sleep(5 * time.Second)
		r.f.setStoreDown(false)
		stage, _ := r.awaitEnd("v1", 6*time.Second)
		must.Eq(t, rollout.Completed, stage)
		counts := <-got
		time.Sleep(2 * time.Second)
		must.Eq(t, counts.sent.Load(), counts.answered.Load())
	})
}

// The servers of the new version are removed while the store is unreachable. The rollout must be
// rolled back, and later calls must all be answered.
func TestTargetVersionIsRemovedDuringStoreOutage(t *testing.T) {
	withRolloutService(t, 7, "desk", func(r *rolloutService) {
		got := make(chan *callCounts, 1)
		go func() { got <- r.f.load("/again/", callsPerSecond, 9*time.Second) }()
		r.startRollout("v2", rolloutPeriod, 4)
		time.Sleep(9 * time.Second)
		<-got
		r.f.setStoreDown(true)
		time.Sleep(4 * time.Second)
		r.stop("v2")
		r.f.setStoreDown(false)
		time.Sleep(8 * time.Second)
		must.Eq(t, rollout.RolledBack, r.status().Stage)
		again := r.f.load("/once/", callsPerSecond, 2*time.Second)
		time.Sleep(2 * time.Second)
		must.Eq(t, again.sent.Load(), again.answered.Load())
	})
}

// All servers of the new version are lost, either while it is a canary or once it gets all requests.
// The rollout must be rolled back, and later streams must all be answered.
func TestAllServersOfTargetVersionAreLost(t *testing.T) {
	for _, after := range []time.Duration{3 * time.Second, 11 * time.Second} {
		withRolloutService(t, 7, "llm", func(r *rolloutService) {
			period, perSecond := 24*time.Second, 10 // long enough that no further stage begins under load
			if after > 5*time.Second {
				// With so many streams some are in progress on the previous version when the
				// servers are lost, and the rollout cannot be completed before.
				period, perSecond = rolloutPeriod, 40
			}
			streams := make(chan *callCounts, 1)
			go func() { streams <- r.f.load("/stream/", perSecond, after) }()
			r.startRollout("v2", period, 4)
			time.Sleep(after - time.Second)
			r.stop("v2")
			<-streams
			time.Sleep(period)
			must.Eq(t, rollout.RolledBack, r.status().Stage)
			got := r.f.load("/stream/", 10, 2*time.Second)
			time.Sleep(4 * time.Second)
			must.Eq(t, got.sent.Load(), got.answered.Load())
		})
	}
}

// All servers of the new version crash just before the rollout completes, while the store still
// lists them and no request shows it. It must not be completed, because the servers of the previous
// version would stop.
func TestTargetCrashesBeforeCompletion(t *testing.T) {
	withRolloutService(t, 7, "desk", func(r *rolloutService) {
		r.startRollout("v2", rolloutPeriod, 4)
		r.f.background.Go(func() {
			for r.status().Stage != rollout.Full {
				time.Sleep(time.Millisecond)
			}
			r.forEach("v2", func(s *versionedServer) {
				s.listener.Cut()
				s.http.Close()
			})
			time.Sleep(2 * time.Second)
			r.stop("v2")
		})
		stage, _ := r.awaitEnd("v1", rolloutPeriod+6*time.Second)
		must.Eq(t, rollout.RolledBack, stage)
		got := r.f.load("/again/", callsPerSecond, 2*time.Second)
		time.Sleep(2 * time.Second)
		test.GreaterEq(t, got.sent.Load()*95/100, got.answered.Load())
	})
}

// Two services are rolled out at the same time, one of them to a bad version. Only that one must be
// rolled back.
func TestConcurrentRolloutsOfTwoServices(t *testing.T) {
	withRolloutService(t, 7, "desk", func(desk *rolloutService) {
		llm := &rolloutService{f: desk.f, name: "llm"}
		llm.start("v1", 4)
		time.Sleep(2 * time.Second)
		desk.startRollout("v2", rolloutPeriod, 4)
		llm.startRollout("v2", rolloutPeriod, 4)
		llm.setFailPercent("v2", 100)
		streams := make(chan *callCounts, 1)
		go func() { streams <- desk.f.load("/stream/", 10, rolloutPeriod) }()
		got := desk.f.load("/once/", callsPerSecond, rolloutPeriod+time.Second)
		time.Sleep(3 * time.Second)
		test.Eq(t, rollout.Completed, desk.status().Stage)
		test.Eq(t, rollout.RolledBack, llm.status().Stage)
		test.Eq(t, got.sent.Load(), got.answered.Load())
		streamCounts := <-streams
		test.Eq(t, streamCounts.sent.Load(), streamCounts.answered.Load()) // failed requests are retried at another server
		n, _ := llm.requestsTo("v2")
		test.LessEq(t, streamCounts.sent.Load()/10+50, n)
	})
}

// Invalid orders must have no effect. An order for a version without servers must be rolled back
// without failed requests.
func TestInvalidRolloutOrders(t *testing.T) {
	withRolloutService(t, 3, "desk", func(r *rolloutService) {
		key := feed.OwnRolloutOrderKey("desk")
		for _, text := range []string{"{", `{"target":"","period":"12s"}`, `{"target":"v2","period":"0s"}`, `{"target":"v2","period":"2h"}`} {
			r.f.put(key, text)
			time.Sleep(2 * time.Second)
			must.Eq(t, routing.RolloutStatus{}, r.status())
		}
		r.writeOrder("v9", 4*time.Second) // no server runs this version
		time.Sleep(6 * time.Second)
		must.Eq(t, rollout.RolledBack, r.status().Stage)
		got := r.f.load("/once/", callsPerSecond, time.Second)
		time.Sleep(time.Second)
		must.Eq(t, got.sent.Load(), got.answered.Load())
		_, err := r.f.store.Get(t.Context(), feed.OwnRollouts{}.RolloutStatusKey("nobody"))
		must.ErrorIs(t, err, store.ErrNotFound)
	})
}

// A daemon reads a rollout order before it has any configuration. Once it has one, it must answer all
// requests.
func TestRolloutOrderBeforeFirstConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{t: t, began: time.Now(), store: store.NewMemory(), daemons: map[string]*daemon{}, servers: map[string]*backend{}}
		defer f.close()
		for n := range 3 {
			f.start(n)
		}
		time.Sleep(3 * time.Second)
		r := &rolloutService{f: f, name: "desk"}
		r.start("v1", 4)
		r.startRollout("v2", rolloutPeriod, 4)
		time.Sleep(5 * time.Second)
		f.put(feed.OwnConfigKey, fleetConfig)
		time.Sleep(3 * time.Second)
		got := f.load("/once/", callsPerSecond, 2*time.Second)
		time.Sleep(time.Second)
		must.Eq(t, got.sent.Load(), got.answered.Load())
	})
}

// drain registers the servers of a version as leaving.
func (r *rolloutService) drain(version string) {
	r.forEach(version, func(s *versionedServer) {
		kv, err := r.f.store.Get(r.f.t.Context(), feed.OwnServerPrefix+s.id)
		must.NoError(r.f.t, err)
		var entry routing.Server
		must.NoError(r.f.t, json.Unmarshal(kv.Value, &entry))
		entry.Draining = true
		raw, err := json.Marshal(entry)
		must.NoError(r.f.t, err)
		r.f.put(feed.OwnServerPrefix+s.id, string(raw))
	})
}

// Guards against calls refused for good after the target's servers are removed around its completion.
func TestPreviousVersionServesAfterTargetIsRemoved(t *testing.T) {
	for _, c := range []struct {
		name  string
		stage rollout.Stage // seen by the operator before it acts
		after time.Duration
	}{
		{"before all requests go to the new version", rollout.Partial, 0},
		{"when all requests go to the new version", rollout.Full, 0},
		{"just before completion", rollout.Full, 80 * time.Millisecond},
		{"at completion", rollout.Completed, 0},
		{"a second after completion", rollout.Completed, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			withRolloutService(t, 7, "desk", func(r *rolloutService) {
				r.f.background.Go(func() { r.f.load("/again/", callsPerSecond, rolloutPeriod) })
				r.startRollout("v2", rolloutPeriod, 4)
				for r.status().Stage < c.stage {
					time.Sleep(time.Millisecond)
				}
				time.Sleep(c.after)
				r.drain("v2")
				time.Sleep(3500 * time.Millisecond)
				r.stop("v2")
				time.Sleep(rolloutPeriod)
				got := r.f.load("/once/", callsPerSecond, 2*time.Second)
				r.f.background.Wait()
				t.Logf("%v, %d of %d calls answered", r.status().Stage, got.answered.Load(), got.sent.Load())
				must.Eq(t, got.sent.Load(), got.answered.Load())
			})
		})
	}
}
