package process

import (
	"fmt"
	"io"
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
	prefillTime = 150 * time.Millisecond
	eventCount  = 60 // per response
	// unframedRatio is the share of responses without a length or chunks, which end with their
	// connection.
	unframedRatio = 0.2
	serviceTime   = 8 * time.Millisecond
)

// healthPath is the path at which a plain server states which process it is.
const healthPath = "/healthz"

// identityEncoding makes net/http send a body that ends with its connection.
const identityEncoding = "identity"

// server is a simulated backend server: a model engine or a plain service. Each start is a new
// incarnation at the same address, under a new ID or the previous one.
type server struct {
	harness *harness
	service string
	zone    string
	link    *proxy
	http    *http.Server

	listener  net.Listener
	addresses []string // the address of link, then that of each daemon's own proxy

	lifecycle         sync.Mutex // serializes ends and starts
	retired           bool       // ended for good; guarded by lifecycle
	version           string     // software version; "" for the first
	mu                sync.Mutex
	id                string
	startedAtMS       int64     // start of this incarnation, Unix milliseconds
	drainingSince     time.Time // when the draining entry was acknowledged; zero while it serves
	errorRatio        float64   // share of requests answered with status 500
	lostResponseRatio float64   // share of responses lost after the request ran
	rateLimit         string    // announced in responses; "" if none
	notices           notices
	arrivals          []time.Time
	replicas          map[string]replica
	runs              map[string]*activeRun
	parts             map[string]bool
	incarnations      int
	speed             float64 // relative to the usual one
	slowdown          float64 // factor of a temporary slowdown; 1 if there is none
	load              *engineLoad
	shutdown          chan struct{} // closed when the incarnation ends
	ending            bool          // the incarnation is about to end and does not fall silent
	silentUntil       time.Time     // end of the last silence

	requestLink, responseLink linkDirection // to and from the server
	disturbed                 disturbances  // times in which no incarnation ran
	readsCloses               bool          // learns that a daemon closed a connection by a read
	slowStart                 slowStart
}

// replica is a copy of a run's KV cache from another engine.
type replica struct {
	part    string
	from    *server
	release func() // frees its room
}

// activeRun is a run in progress.
type activeRun struct {
	eventsSent int
	part       string
	copyTo     string
	tokens     int
	faults     chan streamFault
	stopped    chan struct{} // closed when its daemon stops the run
	stopOnce   sync.Once
	worksUntil time.Time // when the engine gives up a run that it has reset; zero if it has not
}

func (h *harness) newServer(service, zone, address, listenIP string) (*server, error) {
	s := &server{harness: h, service: service, zone: zone, speed: 1, slowdown: 1, readsCloses: true}
	s.startIncarnation(false)
	l, err := net.Listen("tcp", listenIP)
	if err != nil {
		return nil, errors.Wrap(err, "server")
	}
	s.http = &http.Server{Handler: wire.EngineHandler(s)}
	go s.http.Serve(l)
	requests, responses := s.linkPaths()
	if s.link, err = newProxyVia(address, l.Addr().String(), requests, responses); err != nil {
		return nil, err
	}
	s.listener, s.addresses = l, []string{s.link.address()}
	return s, nil
}

// startIncarnation starts an incarnation, under the previous ID if sameID.
func (s *server) startIncarnation(sameID bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnations++
	s.startedAtMS = max(time.Now().UnixMilli(), s.startedAtMS+1)
	if !sameID {
		s.id = fmt.Sprintf("i-%08x-%d", rand.Uint32(), s.incarnations)
	}
	s.drainingSince, s.notices = time.Time{}, newNotices()
	s.replicas, s.runs, s.parts = map[string]replica{}, map[string]*activeRun{}, map[string]bool{}
	s.load = &engineLoad{limits: s.harness.opts.Scenario.engineLimits()}
	s.shutdown, s.ending = make(chan struct{}), false
	s.disturbed.end()
}

// crash ends the incarnation, closes its port and resets its connections.
func (s *server) crash() {
	s.endIncarnation()
	s.link.setMode(linkRefused)
}

// endIncarnation ends the incarnation without a deregistration.
func (s *server) endIncarnation() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.shutdown)
	s.disturbed.begin()
}

func (s *server) entry(draining bool) routing.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return routing.Server{ID: s.id, StartedAtMS: s.startedAtMS, Service: s.service, Address: s.link.address(), Zone: s.zone, Slots: s.harness.opts.Scenario.engineLimits().slots, Draining: draining, Version: s.version}
}

// Born implements wire.Engine.
func (s *server) Born() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.startedAtMS
}

// Runs implements wire.Engine.
func (s *server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	made := map[string]int{}
	for id, p := range s.runs {
		made[id] = p.eventsSent
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
	return append(parts, s.harness.partHistory...)
}

// Copy implements wire.Engine.
func (s *server) Copy(id, target string, stop bool) (string, int) {
	s.mu.Lock()
	p := s.runs[id]
	s.mu.Unlock()
	if p == nil {
		return "", http.StatusNotFound
	}
	handle := "h-" + id
	_, addressIndex := s.harness.serverAt(target)
	name := s.addresses[max(0, addressIndex)] + "/" + handle
	if stop {
		p.stop()
		s.harness.storeReplica(s.addresses[0], name, p.tokens, replica{part: p.part, from: s})
		s.harness.expireReplica(s.addresses[0], name, false)
	}
	if !s.harness.storeReplica(target, name, p.tokens, replica{part: p.part, from: s}) {
		if !stop {
			handle = ""
		}
		return handle, http.StatusServiceUnavailable
	}
	s.harness.expireReplica(target, name, false)
	return handle, http.StatusOK
}

// stop ends the run.
func (p *activeRun) stop() { p.stopOnce.Do(func() { close(p.stopped) }) }

// Drop implements wire.Engine.
func (s *server) Drop(string) {}

// storeReplica stores a replica at the engine with the given address for replicaTTL. It reports
// whether the engine has room for it.
func (h *harness) storeReplica(address, name string, tokens int, c replica) bool {
	s, _ := h.serverAt(address)
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	load, replicas := s.load, s.replicas
	if !load.tryAcquire(tokens) {
		return false
	}
	c.release = sync.OnceFunc(func() { load.release(tokens) })
	replicas[name] = c
	return true
}

// serverAt returns the server at an address and the index of that address.
func (h *harness) serverAt(address string) (*server, int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.servers {
		if addressIndex := slices.Index(s.addresses, address); addressIndex >= 0 {
			return s, addressIndex
		}
	}
	return nil, 0
}

// ServeHTTP implements http.Handler. It handles one request from a daemon.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e, part, key := wire.ParseUpstreamRequest(r.Header)
	arrivedAt := time.Now()
	s.mu.Lock()
	id, shutdown, drainingSince, errorRatio, lostResponseRatio, rateLimit := s.id, s.shutdown, s.drainingSince, s.errorRatio, s.lostResponseRatio, s.rateLimit
	if r.URL.Path != healthPath {
		s.arrivals = append(s.arrivals, arrivedAt)
	}
	s.mu.Unlock()
	switch {
	case e.Server.ID != id:
		wire.SetReplyHeaders(w.Header(), forward.Reply{ID: e.ID, NotRun: true, Instance: id})
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case r.URL.Path == healthPath:
		wire.SetReplyHeaders(w.Header(), forward.Reply{Instance: id})
		return
	}
	if e.ResumeFrom != "" && !s.takeReplica(e.ResumeFrom) {
		wire.SetReplyHeaders(w.Header(), forward.Reply{ID: e.ID, NotRun: true})
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	sent := s.harness.recorder.sentRequestOf(e.ID)
	if retryAfter, rejected := s.rejectForPause(sent); rejected {
		wire.SetReplyHeaders(w.Header(), forward.Reply{ID: e.ID, NotRun: true, RetryAfter: retryAfter})
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if part != "" && s.sheds(e.ResumeFrom != "") {
		s.harness.recorder.count("shed")
		wire.SetReplyHeaders(w.Header(), forward.Reply{ID: e.ID, NotRun: true})
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	exec := &execution{server: id, service: s.service, at: s}
	if part != "" {
		release, ok := s.admit(r, e, sent.promptTokens, shutdown)
		if !ok {
			panic(http.ErrAbortHandler) // it has not run
		}
		defer release()
	}
	s.harness.checkRequest(e, key, r.URL.Path, s.service, arrivedAt, drainingSince, s.harness.recorder.startExecution(e.ID, exec))
	wire.SetReplyHeaders(w.Header(), forward.Reply{ID: e.ID, RateLimit: rateLimit, Leaving: s.checkLeaving(e.ID, sent)})
	w.Header().Set(wire.SignatureHeader, exec.signature)
	if rand.Float64() < unframedRatio {
		w.Header().Set("Transfer-Encoding", identityEncoding)
	}
	if part != "" {
		s.serveStream(w, r, e, part, sent.promptTokens, exec, shutdown)
		return
	}
	s.serveResponse(w, r, exec, errorRatio, lostResponseRatio, shutdown)
}

// takeReplica removes a replica and reports whether there was one: each can be used once.
func (s *server) takeReplica(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.replicas[name]
	delete(s.replicas, name)
	if ok {
		c.release()
	}
	return ok
}

// serveResponse writes the response of a plain service.
func (s *server) serveResponse(w http.ResponseWriter, r *http.Request, exec *execution, errorRatio, lostResponseRatio float64, shutdown <-chan struct{}) {
	status, body := http.StatusOK, "answer of "+exec.signature
	if rand.Float64() < errorRatio {
		status, body = http.StatusInternalServerError, "failure of "+exec.signature
	}
	select {
	case <-time.After(serviceTime):
	case <-shutdown:
		s.harness.recorder.finishExecution(exec, 0, "")
		panic(http.ErrAbortHandler)
	case <-r.Context().Done():
	}
	if poisonName(r) != "" && s.crashOnPoison(r) {
		s.harness.recorder.finishExecution(exec, 0, "")
		panic(http.ErrAbortHandler)
	}
	s.harness.recorder.finishExecution(exec, status, body)
	if rand.Float64() < lostResponseRatio {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
	fmt.Fprint(w, body)
}

// serveStream writes the response of an engine: the same events for the same prompt.
func (s *server) serveStream(w http.ResponseWriter, r *http.Request, e forward.UpstreamRequest, part string, tokens int, exec *execution, shutdown <-chan struct{}) {
	p := &activeRun{part: part, copyTo: e.CopyTo, tokens: tokens, faults: make(chan streamFault, 1), stopped: make(chan struct{})}
	s.mu.Lock()
	s.runs[e.ID] = p
	s.mu.Unlock()
	out := newEventStream(w, r, s.readsCloses)
	defer out.close()
	finish := func() {
		s.removeRun(e.ID, p)
		s.harness.recorder.finishExecution(exec, http.StatusOK, "")
	}
	defer finish()
	if !s.readsCloses {
		s.harness.recorder.recordNote(exec, "learns of a close at a write")
	}
	_, _ = io.Copy(io.Discard, r.Body) // net/http notices a close only after the body is read
	wait := s.prefillDuration(tokens)
	if e.ResumeFrom != "" {
		wait = s.begin(e, p, exec, out)
	}
	for n := e.LastEventID + 1; n <= eventCount; n++ {
		if !s.awaitStep(wait, p, exec, out, n, shutdown) {
			return
		}
		if n == e.LastEventID+1 && poisonName(r) != "" && s.crashOnPoison(r) {
			panic(http.ErrAbortHandler)
		}
		if n == e.LastEventID+1 && e.ResumeFrom == "" {
			s.harness.recorder.recordBegun(exec)
		}
		wait = s.stepDuration()
		if n == e.LastEventID+1 {
			w.Header().Set("Content-Type", "text/event-stream")
			s.mu.Lock()
			s.parts[part] = true
			s.mu.Unlock()
			copyName := p.copyTo + "/" + e.ID
			s.harness.storeReplica(p.copyTo, copyName, tokens, replica{part: part, from: s})
			defer func() { s.harness.expireReplica(p.copyTo, copyName, p.eventsSent == int(eventCount-e.LastEventID)) }()
		}
		out.send(eventText(part, n))
		s.mu.Lock()
		p.eventsSent++
		s.mu.Unlock()
	}
	finish()
	out.finish()
}

// begin records the first token of a run that goes on from a copy, and returns the time until its first
// event.
func (s *server) begin(e forward.UpstreamRequest, p *activeRun, exec *execution, out *eventStream) time.Duration {
	s.harness.recorder.recordBegun(exec)
	wait, headFirst := s.firstEventDelay(e)
	if wait == 0 {
		return 0
	}
	s.harness.recorder.recordNote(exec, "first event %dms late (head first: %v)", wait.Milliseconds(), headFirst)
	if headFirst {
		out.w.Header().Set("Content-Type", "text/event-stream")
		out.sendHead()
	}
	return wait
}

// awaitStep waits for the next event of a run, n, and reports whether the run goes on.
func (s *server) awaitStep(wait time.Duration, p *activeRun, exec *execution, out *eventStream, n int64, shutdown <-chan struct{}) bool {
	step := time.NewTimer(wait)
	defer step.Stop()
	for {
		select {
		case <-step.C:
			return p.worksUntil.IsZero() || time.Now().Before(p.worksUntil)
		case f := <-p.faults:
			s.applyFault(f, p, exec, out)
		case <-p.stopped:
			s.harness.recorder.recordNote(exec, "stopped by its daemon")
			out.abort(partialEvent(n))
			return false
		case <-shutdown:
			partial := ""
			if n%2 == 0 || out.isUnframed {
				partial = partialEvent(n)
			}
			out.abort(partial)
			return false
		case <-out.gone():
			s.harness.recorder.recordNote(exec, "closed by its daemon")
			return false
		}
	}
}

// partialEvent returns the beginning of an event.
func partialEvent(n int64) string { return fmt.Sprintf("id: %d\nda", n) }

// removeRun removes a run from the engine's report.
func (s *server) removeRun(id string, p *activeRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs[id] == p {
		delete(s.runs, id)
	}
}

// eventText returns event n of the response to a prompt.
func eventText(part string, n int64) string {
	return "id: " + strconv.FormatInt(n, 10) + "\ndata: " + part + ":" + strconv.FormatInt(n, 10) + "\n\n"
}

// eventsAfter returns all events after the given one.
func eventsAfter(part string, after int64) string {
	var b strings.Builder
	for n := after + 1; n <= eventCount; n++ {
		b.WriteString(eventText(part, n))
	}
	return b.String()
}
