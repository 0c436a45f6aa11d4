package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"mallowwind.dev/external/standin/faultnet"
	"mallowwind.dev/peer/link"
	"mallowwind.dev/peer/peerpb"
)

const (
	// brittleSlots is how many requests a brittle server takes at a time, and brittleQueue how many
	// more wait there.
	brittleSlots, brittleQueue = 6, 2
	// brittleLimit is the number of rejections in a second above which a brittle server fails.
	brittleLimit = 5
	// allowedFalls and allowedFallRatio bound the falls of a service's servers while they are brittle.
	allowedFalls, allowedFallRatio = 2, 0.1
)

// brittleServer is a server that says that it is brittle, rejects requests for want of room, and fails
// once it has rejected too many in a second.
type brittleServer struct {
	*backend
	workTime time.Duration

	guard    sync.Mutex
	running  int
	slots    chan struct{}
	rejected []time.Time
	falls    *atomic.Int64
}

// startBrittle starts n brittle servers of a service.
func (f *fleet) startBrittle(service string, n int, workTime time.Duration) *atomic.Int64 {
	falls := &atomic.Int64{}
	for i := range n {
		b := &backend{f: f, service: service, address: fmt.Sprintf("%s-%d:80", service, i), listener: faultnet.Pipe(), slots: brittleSlots}
		s := &brittleServer{backend: b, workTime: workTime, slots: make(chan struct{}, brittleSlots), falls: falls}
		b.http = &http.Server{Handler: s}
		f.mu.Lock()
		f.servers[b.address] = b
		f.mu.Unlock()
		go b.http.Serve(b.listener)
		b.register()
	}
	time.Sleep(2 * time.Second)
	return falls
}

// ServeHTTP implements http.Handler.
func (s *brittleServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Brittle", strconv.Itoa(brittleLimit))
	if r.URL.Path == "/v1/status" {
		fmt.Fprint(w, "{}")
		return
	}
	if r.Header.Get("X-Backend-Id") != s.currentID() {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !s.enter() {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.leave()
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	time.Sleep(s.workTime)
	if s.service != "llm" {
		fmt.Fprint(w, "done")
		return
	}
	for n := range 20 {
		writeStreamEvent(w, n+1)
		time.Sleep(20 * time.Millisecond)
	}
}

func (s *brittleServer) currentID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id()
}

// enter reports whether the server has room for a request. It counts the rejection otherwise, and
// fails if there are too many.
func (s *brittleServer) enter() bool {
	s.guard.Lock()
	defer s.guard.Unlock()
	if s.running < brittleSlots+brittleQueue {
		s.running++
		return true
	}
	now := time.Now()
	s.rejected = append(s.rejected, now)
	for now.Sub(s.rejected[0]) >= time.Second {
		s.rejected = s.rejected[1:]
	}
	if len(s.rejected) > brittleLimit {
		s.rejected = nil
		s.falls.Add(1)
		s.crash()
	}
	return false
}

func (s *brittleServer) leave() {
	s.guard.Lock()
	defer s.guard.Unlock()
	s.running--
}

func writeStreamEvent(w http.ResponseWriter, id int) {
	fmt.Fprintf(w, "id: %d\ndata: x\n\n", id)
	w.(http.Flusher).Flush()
}

// Guards against a fleet that fells brittle servers one after the other by what they have to reject.
func TestBrittleServersAreNotFelled(t *testing.T) {
	for _, c := range []struct {
		name      string
		daemons   int
		servers   int
		path      string
		service   string
		perSecond int
		workTime  time.Duration
		answered  float64 // minimum fraction of the calls
	}{
		{"usual load", 7, 3, "/once/", "desk", 84, 15 * time.Millisecond, 0.99},
		{"burst", 7, 3, "/once/", "desk", 500, 15 * time.Millisecond, 0.9},
		{"more than they can take", 7, 3, "/once/", "desk", 400, 100 * time.Millisecond, 0.25},
		{"idempotent calls, more than they can take", 7, 3, "/again/", "desk", 400, 100 * time.Millisecond, 0.25},
		{"sixty daemons, more than they can take", 60, 3, "/once/", "desk", 400, 100 * time.Millisecond, 0.25},
		{"streams, usual load", 7, 8, "/stream/", "llm", 9, time.Second, 0.99},
		{"streams, more than they can take", 7, 8, "/stream/", "llm", 70, time.Second, 0.25},
		{"streams, forty daemons, more than they can take", 40, 8, "/stream/", "llm", 70, time.Second, 0.25},
		{"a hundred daemons, more than they can take", 100, 20, "/once/", "desk", 1600, 150 * time.Millisecond, 0.25},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, c.daemons, func(f *fleet) {
				falls := f.startBrittle(c.service, c.servers, c.workTime)
				f.load(c.path+"first", c.perSecond/10, 3*time.Second)
				falls.Store(0)
				got := f.load(c.path, c.perSecond, 8*time.Second)
				f.background.Wait()
				t.Logf("%d falls, %d of %d answered, %d refused", falls.Load(), got.answered.Load(), got.sent.Load(), got.refused.Load())
				must.LessEq(f.t, int64(allowedFalls+allowedFallRatio*float64(c.servers)), falls.Load())
				must.GreaterEq(f.t, c.answered*float64(got.sent.Load()), float64(got.answered.Load()))
			})
		})
	}
}

// tellOfRejection tells all daemons that another one had a request rejected by a brittle server.
func (f *fleet) tellOfRejection(service string) {
	q := &peerpb.BrittleRequest{Service: service, Limit: brittleLimit, Rejected: true}
	for _, d := range f.daemons {
		dialer := link.NewDialerWithClient(&http.Client{Transport: d.dialer})
		_, err := peerpb.NewQuotaProtobufClient(dialer.URL(d.vm.PeerAddress), dialer.Client).Brittle(f.t.Context(), q)
		must.NoError(f.t, err)
	}
}

// sendToEach sends one call to each daemon at once and returns the number of those answered, once all
// have ended.
func (f *fleet) sendToEach(path string) func() int64 {
	var answered atomic.Int64
	for n := range len(f.daemons) {
		f.background.Go(func() {
			if r := f.send(n, path, "fine"); r.err == nil && r.status == http.StatusOK {
				answered.Add(1)
			}
		})
	}
	return func() int64 {
		f.background.Wait()
		return answered.Load()
	}
}

// Guards against one rejection that makes all daemons leave which the servers are serving.
func TestRejectionLeavesPartOfServedDaemons(t *testing.T) {
	const daemons, withPart = 60, 4 // of one server with four slots
	for _, c := range []struct {
		name        string
		served      bool // when they are told
		least, most int64
	}{
		{"idle", false, withPart, withPart},
		{"served", true, withPart + (daemons-withPart)/8, daemons - (daemons-withPart)/8},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, daemons, func(f *fleet) {
				f.startServers("desk", 1)
				if c.served {
					answered := f.sendToEach("/once/first")
					time.Sleep(10 * time.Millisecond) // the server answers after 30 ms
					f.tellOfRejection("desk")
					must.Eq(f.t, daemons, answered())
				} else {
					f.tellOfRejection("desk")
				}
				answered := f.sendToEach("/once/second")()
				t.Logf("%d of %d answered", answered, daemons)
				must.Between(f.t, c.least, answered, c.most)
			})
		})
	}
}
