package process

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/platform/wire"
	"mallowwind.dev/serve/forward"
)

const (
	readingTime = 150 * time.Millisecond // of a prompt
	eventCount  = 60                     // of one answer
	workTime    = 8 * time.Millisecond
)

// server is a backend server in this process: a model engine or a plain service.
// Each start is another life at the same address, under a new id or the one before.
type server struct {
	world   *world
	service string
	zone    string
	link    *proxy
	http    *http.Server

	listener  net.Listener
	addresses []string // that of link, and then as each daemon has it on a link of its own

	life     sync.Mutex // one end and start at a time
	gone     bool       // it has ended for good; guarded by life
	version  string     // of its software; "" for the first
	mu       sync.Mutex
	id       string
	born     int64     // start of this life, Unix milliseconds
	leaving  time.Time // when that was acknowledged; zero while it serves
	failing  float64   // share of requests answered with 500
	losing   float64   // share of answers lost after the run
	limit    string    // that it names in its answers
	arrived  []time.Time
	copies   map[string]copied
	runs     map[string]*progress
	parts    map[string]bool
	started  int
	shutdown chan struct{} // closed when the life ends
}

// copied is the copy of a run from another engine.
type copied struct {
	part string
	from *server
}

// progress is a run under way.
type progress struct {
	made   int
	part   string
	copyTo string
}

func (w *world) newServer(service, zone, address, near string) (*server, error) {
	s := &server{world: w, service: service, zone: zone}
	s.begin(false)
	l, err := net.Listen("tcp", near)
	if err != nil {
		return nil, errors.Wrap(err, "server")
	}
	s.http = &http.Server{Handler: wire.EngineHandler(s)}
	go s.http.Serve(l)
	if s.link, err = newProxy(address, l.Addr().String()); err != nil {
		return nil, err
	}
	s.listener, s.addresses = l, []string{s.link.address()}
	return s, nil
}

// begin starts a life, under the id of the one before if sameID.
func (s *server) begin(sameID bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started++
	s.born = max(time.Now().UnixMilli(), s.born+1)
	if !sameID {
		s.id = fmt.Sprintf("i-%08x-%d", rand.Uint32(), s.started)
	}
	s.leaving = time.Time{}
	s.copies, s.runs, s.parts = map[string]copied{}, map[string]*progress{}, map[string]bool{}
	s.shutdown = make(chan struct{})
}

// crash ends the life: its runs, copies and connections are gone.
func (s *server) crash() {
	s.end()
	s.link.set(linkRefused)
}

// end ends the life without a word to anyone.
func (s *server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.shutdown)
}

func (s *server) entry(leaving bool) routing.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return routing.Server{ID: s.id, StartedAtMS: s.born, Service: s.service, Address: s.link.address(), Zone: s.zone, Slots: 32, Draining: leaving, Version: s.version}
}

// Born implements wire.Engine.
func (s *server) Born() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.born
}

// Runs implements wire.Engine.
func (s *server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	made := map[string]int{}
	for id, p := range s.runs {
		made[id] = p.made
	}
	return made
}

// Parts implements wire.Engine.
func (s *server) Parts() (parts []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for part := range s.parts {
		parts = append(parts, part)
	}
	return append(parts, s.world.history...)
}

// Copy implements wire.Engine.
func (s *server) Copy(id, target string) (string, bool) {
	s.mu.Lock()
	p := s.runs[id]
	s.mu.Unlock()
	if p == nil {
		return "", false
	}
	handle := "h-" + id
	_, as := s.world.at(target)
	s.world.keep(target, s.addresses[as]+"/"+handle, copied{part: p.part, from: s})
	return handle, true
}

// Drop implements wire.Engine.
func (s *server) Drop(string) {}

// keep gives the engine at an address a copy under a name.
func (w *world) keep(address, name string, c copied) {
	s, _ := w.at(address)
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copies[name] = c
}

// at is the server at an address, and which of its addresses that is.
func (w *world) at(address string) (*server, int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.servers {
		if as := slices.Index(s.addresses, address); as >= 0 {
			return s, as
		}
	}
	return nil, 0
}

// ServeHTTP implements http.Handler: one request of a daemon.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e, part, key := wire.ParseUpstreamRequest(r.Header)
	s.mu.Lock()
	id, shutdown, leaving, failing, losing, limit := s.id, s.shutdown, s.leaving, s.failing, s.losing, s.limit
	s.arrived = append(s.arrived, time.Now())
	s.mu.Unlock()
	if e.Server.ID != id {
		wire.SetReplyHeaders(w.Header(), forward.Reply{ID: e.ID, NotRun: true, Instance: id})
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if e.ResumeFrom != "" && !s.use(e.ResumeFrom) {
		wire.SetReplyHeaders(w.Header(), forward.Reply{ID: e.ID, NotRun: true})
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	one := &ran{server: id, service: s.service}
	s.world.judge(e, key, r.URL.Path, s.service, leaving, s.world.ledger.run(e.ID, one))
	wire.SetReplyHeaders(w.Header(), forward.Reply{ID: e.ID, RateLimit: limit})
	w.Header().Set(wire.SignatureHeader, one.proof)
	if part != "" {
		s.stream(w, r, e, part, one, shutdown)
		return
	}
	s.answer(w, r, one, failing, losing, shutdown)
}

// use takes a copy; it can be used once.
func (s *server) use(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.copies[name]
	delete(s.copies, name)
	return ok
}

// answer is that of a plain service.
func (s *server) answer(w http.ResponseWriter, r *http.Request, one *ran, failing, losing float64, shutdown <-chan struct{}) {
	status, body := http.StatusOK, "answer of "+one.proof
	if rand.Float64() < failing {
		status, body = http.StatusInternalServerError, "failure of "+one.proof
	}
	select {
	case <-time.After(workTime):
	case <-shutdown:
		s.world.ledger.end(one, 0, "")
		panic(http.ErrAbortHandler)
	case <-r.Context().Done():
	}
	if isPoison(r.URL.Path) && s.endUnder(r) {
		s.world.ledger.end(one, 0, "")
		panic(http.ErrAbortHandler)
	}
	s.world.ledger.end(one, status, body)
	if rand.Float64() < losing {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
	fmt.Fprint(w, body)
}

// stream is the answer of an engine: the same events for the same prompt.
func (s *server) stream(w http.ResponseWriter, r *http.Request, e forward.UpstreamRequest, part string, one *ran, shutdown <-chan struct{}) {
	defer s.world.ledger.end(one, http.StatusOK, "")
	p := &progress{part: part, copyTo: e.CopyTo}
	s.mu.Lock()
	s.runs[e.ID] = p
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.runs, e.ID)
	}()
	wait := readingTime
	if e.ResumeFrom != "" {
		wait = 0
	}
	for n := e.LastEventID + 1; n <= eventCount; n++ {
		select {
		case <-time.After(wait):
		case <-shutdown:
			if n%2 == 0 {
				fmt.Fprintf(w, "id: %d\nda", n) // broken off in the middle of an event
			}
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
		if n == e.LastEventID+1 && isPoison(r.URL.Path) && s.endUnder(r) {
			panic(http.ErrAbortHandler)
		}
		wait = s.world.opts.Sort.pace()
		if n == e.LastEventID+1 {
			w.Header().Set("Content-Type", "text/event-stream")
			s.mu.Lock()
			s.parts[part] = true
			s.mu.Unlock()
			s.world.keep(p.copyTo, p.copyTo+"/"+e.ID, copied{part: part, from: s})
		}
		fmt.Fprint(w, eventText(part, n))
		w.(http.Flusher).Flush()
		s.mu.Lock()
		p.made++
		s.mu.Unlock()
	}
}

// eventText is event n of the answer to a prompt.
func eventText(part string, n int64) string {
	return "id: " + strconv.FormatInt(n, 10) + "\ndata: " + part + ":" + strconv.FormatInt(n, 10) + "\n\n"
}

// wholeAnswer is every event after the given one.
func wholeAnswer(part string, after int64) string {
	var b strings.Builder
	for n := after + 1; n <= eventCount; n++ {
		b.WriteString(eventText(part, n))
	}
	return b.String()
}
