package forward

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/retrybudget"
	"mallowwind.dev/decision/takeover"
	"mallowwind.dev/external/sent"
	"mallowwind.dev/external/standin/faultnet"
	"mallowwind.dev/external/standin/storesim"
	"mallowwind.dev/external/store"
	"mallowwind.dev/telemetry/event"
)

// Headers of the test codec.
const (
	hID, hWait, hKey, hAfter, hPart, hTokens = "Id", "Wait-Ms", "Key", "After", "Part", "Tokens"
	hAnswer                                  = "Answer-Tokens"
	hServer, hAccount, hCopyTo, hCopyAt      = "Server", "Account", "Copy-To", "Copy-At"
	hNotRun, hProof, hInstance, hPriority    = "Not-Run", "Proof", "Instance", "Priority"
)

// healthPath is the health path of the test services, except of "anonymous".
const healthPath = "/health"

type testCodec struct{}

func (testCodec) Call(h http.Header) (Call, error) {
	ms, _ := strconv.Atoi(h.Get(hWait))
	after, _ := strconv.ParseInt(h.Get(hAfter), 10, 64)
	tokens, _ := strconv.Atoi(h.Get(hTokens))
	answerTokens, _ := strconv.Atoi(h.Get(hAnswer))
	return Call{
		ID: h.Get(hID), Timeout: time.Duration(ms) * time.Millisecond, Key: h.Get(hKey),
		LastEventID: after, PromptKey: h.Get(hPart), PromptTokens: tokens, MaxAnswerTokens: answerTokens,
	}, nil
}

func (testCodec) Outgoing(h http.Header, e UpstreamRequest) http.Header {
	out := h.Clone()
	out.Del(hKey)
	out.Set(hServer, e.Server.ID)
	out.Set(hAccount, e.Account)
	out.Set(hWait, strconv.FormatInt(e.Timeout.Milliseconds(), 10))
	out.Set(hCopyTo, e.CopyTo)
	out.Set(hCopyAt, e.ResumeFrom)
	out.Set(hAfter, strconv.FormatInt(e.LastEventID, 10))
	out.Set(hPriority, strconv.Itoa(e.Priority))
	return out
}

func (testCodec) Reply(status int, h http.Header) Reply {
	return Reply{
		ID: h.Get(hID), NotRun: h.Get(hNotRun) != "" || status == http.StatusMisdirectedRequest,
		Misdirected: status == http.StatusMisdirectedRequest, Authentic: h.Get(hProof) != "", Instance: h.Get(hInstance),
	}
}

// ProcessState reads the id of the server.
func (testCodec) ProcessState(s routing.Server, _ int, h http.Header) sent.ServerState {
	switch h.Get(hInstance) {
	case "":
		return sent.ServerUnknown
	case s.ID:
		return sent.ServerRuns
	}
	return sent.ServerExited
}

func (testCodec) CachePath() string { return "/cache" }

// Cache reads the start time of the engine as "@N", followed by the parts that it caches.
func (testCodec) Cache(body []byte) (Cache, error) {
	born, words := parseBorn(strings.Fields(string(body)))
	return Cache{Born: born, PromptKeys: words}, nil
}

// parseBorn removes the start time of an engine, written as "@N", from the front.
func parseBorn(words []string) (int64, []string) {
	if len(words) == 0 || !strings.HasPrefix(words[0], "@") {
		return 0, words
	}
	born, _ := strconv.ParseInt(words[0][1:], 10, 64)
	return born, words[1:]
}

func (testCodec) ProbePath() string { return "/alive" }

// Report reads the start time, "engine", and the ids of runs. A minus before an id means a run
// without events, a "#" after it precedes its priority. "full" means an engine without room, and
// "used=U/C" one that uses U of C tokens.
func (testCodec) Report(body []byte) (Report, error) {
	born, words := parseBorn(strings.Fields(string(body)))
	if len(words) == 0 || words[0] != "engine" {
		return Report{}, errors.New("not an engine's answer")
	}
	r := Report{Born: born, Events: map[string]int{}}
	for _, id := range words[1:] {
		if id == "full" {
			r.UsedTokens, r.CapacityTokens = 100, 100
			continue
		}
		if memory, ok := strings.CutPrefix(id, "used="); ok {
			used, capacity, _ := strings.Cut(memory, "/")
			r.UsedTokens, _ = strconv.Atoi(used)
			r.CapacityTokens, _ = strconv.Atoi(capacity)
			continue
		}
		id, priority, stated := strings.Cut(id, "#")
		if n, err := strconv.Atoi(priority); stated && err == nil {
			r.Priorities = append(r.Priorities, n)
		}
		unread, found := strings.CutPrefix(id, "-")
		if found {
			r.Events[unread] = 0
		} else {
			r.Events[id] = minLostEvents
		}
	}
	return r, nil
}

func (testCodec) CopyRequest(id, target string) (string, []byte, error) {
	return "/move/" + id, []byte(target), nil
}

func (testCodec) ParseCopyReply(body []byte) (string, error) { return string(body), nil }

func (testCodec) DropPath(handle string) string { return "/drop/" + handle }

func (testCodec) StopRequest(id, target string) (string, []byte, error) {
	return "/stop/" + id, []byte(target), nil
}

// ParseStopReply reads the handle from the body. An engine that cannot stop runs answers with status 501.
func (testCodec) ParseStopReply(status int, body []byte) (takeover.StopResult, string) {
	switch status {
	case http.StatusOK:
		return takeover.StoppedCopied, string(body)
	case http.StatusServiceUnavailable:
		return takeover.StoppedKept, string(body)
	case http.StatusNotFound:
		return takeover.NotRunning, ""
	}
	return takeover.StopRefused, ""
}

// testSchema stores servers as JSON. It decodes the configuration of the stored name, or the first
// one if there is none of that name.
type testSchema struct {
	feed.OwnRollouts
	config *routing.Config
	named  map[string]*routing.Config
}

func (testSchema) ConfigKey() string { return "config" }

func (s testSchema) DecodeConfig(raw []byte) (*routing.Config, error) {
	if c, ok := s.named[string(raw)]; ok {
		return c, nil
	}
	return s.config, nil
}

func (testSchema) ServerID(key string) (string, bool) { return strings.CutPrefix(key, "server/") }

func (testSchema) DecodeServer(id string, raw []byte) (routing.Server, error) {
	var s routing.Server
	err := json.Unmarshal(raw, &s)
	s.ID = id
	return s, err
}

// fakeServer is an in-process backend server.
type fakeServer struct {
	server         routing.Server
	listener       *faultnet.Listener
	mu             sync.Mutex
	cacheReply     string        // body of its answer to a cache request
	cacheDelay     time.Duration // delay of that answer
	runReport      string        // ids of the runs in its status
	statusFails    bool          // status requests fail
	copyTargets    []string      // targets of replicas made on demand
	freedCopies    []string      // handles of freed replicas
	copiesToRefuse int           // number of copy calls that it still refuses
	// stopRun stops a run; nil if the server does not stop runs on request.
	stopRun       func(id string) (status int, handle string)
	received      []*http.Request
	receivedAt    []time.Time
	handle        http.HandlerFunc
	override      http.HandlerFunc // answers everything if it is set
	http          *http.Server
	cacheRequests int // number of cache requests
	probes        int // number of status requests
	// health answers requests to the health path; the server states its id if it is nil.
	health         http.HandlerFunc
	healthRequests int
}

// dial connects to a fake server by its address.
func (w *testCluster) dial(ctx context.Context, network, address string) (net.Conn, error) {
	w.mu.Lock()
	s := w.hosts[address]
	w.mu.Unlock()
	if s == nil {
		return nil, errors.New("no such host")
	}
	conn, err := s.listener.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, received: &w.received}, nil
}

// countedConn adds the bytes read to received.
type countedConn struct {
	net.Conn
	received *atomic.Int64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

func (s *fakeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	override := s.override
	s.mu.Unlock()
	if override != nil {
		override(w, r)
		return
	}
	switch r.URL.Path {
	case healthPath:
		s.serveHealth(w, r)
		return
	case "/alive":
		if s.server.Service == "llm" {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.probes++
			if s.statusFails {
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			fmt.Fprint(w, s.bornPrefix(), "engine ", s.runReport)
		}
		return
	case "/cache":
		s.mu.Lock()
		cached, lag := s.cacheReply, s.cacheDelay
		s.cacheRequests++
		s.mu.Unlock()
		sleep(r, lag)
		fmt.Fprint(w, s.bornPrefix(), cached)
		return
	}
	if s.serveCopyCall(w, r) {
		return
	}
	s.mu.Lock()
	s.received, s.receivedAt = append(s.received, r), append(s.receivedAt, time.Now())
	s.mu.Unlock()
	// The server notices that a caller has left only after the body is read.
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set(hID, r.Header.Get(hID))
	if want := r.Header.Get(hServer); want != s.server.ID {
		w.Header().Set(hInstance, s.server.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.handle(w, r)
}

// serveHealth answers a request to the health path.
func (s *fakeServer) serveHealth(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	handle := s.health
	s.healthRequests++
	s.mu.Unlock()
	if handle != nil {
		handle(w, r)
		return
	}
	w.Header().Set(hInstance, s.server.ID)
}

// setHealth sets how the server answers requests to the health path.
func (s *fakeServer) setHealth(handle http.HandlerFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.health = handle
}

// healthRequestCount returns how many requests to the health path the server received.
func (s *fakeServer) healthRequestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.healthRequests
}

// bornPrefix returns the server's start time as the test codec reads it; "" if it reports none.
func (s *fakeServer) bornPrefix() string {
	if s.server.StartedAtMS == 0 {
		return ""
	}
	return fmt.Sprintf("@%d ", s.server.StartedAtMS)
}

// serveCopyCall answers the calls that make and free a replica on demand. It reports whether r is
// one.
func (s *fakeServer) serveCopyCall(w http.ResponseWriter, r *http.Request) bool {
	body, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	s.mu.Lock()
	defer s.mu.Unlock()
	if id, ok := strings.CutPrefix(r.URL.Path, "/stop/"); ok {
		status, handle := http.StatusNotImplemented, ""
		if s.stopRun != nil {
			status, handle = s.stopRun(id)
		}
		w.WriteHeader(status)
		fmt.Fprint(w, handle)
		return true
	}
	if strings.HasPrefix(r.URL.Path, "/move/") && s.copiesToRefuse > 0 {
		s.copiesToRefuse--
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	if strings.HasPrefix(r.URL.Path, "/move/") {
		s.copyTargets = append(s.copyTargets, string(body))
		fmt.Fprintf(w, "h%d", len(s.copyTargets))
		return true
	}
	handle, drop := strings.CutPrefix(r.URL.Path, "/drop/")
	if drop {
		s.freedCopies = append(s.freedCopies, handle)
	}
	return drop
}

// copyCalls returns the targets of replicas made on demand and the handles of freed ones.
func (s *fakeServer) copyCalls() (targets, dropped []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.copyTargets), slices.Clone(s.freedCopies)
}

func (s *fakeServer) refuseCopies(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copiesToRefuse = n
}

// requests returns the requests that the server was asked to run.
func (s *fakeServer) requests() []*http.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.received)
}

// setCache sets the parts that the server reports as cached.
func (s *fakeServer) setCache(parts string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cacheReply = parts
}

// setCacheDelay sets how long the server takes to answer a cache request.
func (s *fakeServer) setCacheDelay(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cacheDelay = lag
}

func (s *fakeServer) setRuns(runs string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runReport = runs
}

func (s *fakeServer) failStatus() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.statusFails = true
}

// cacheRequests returns the number of cache requests to all servers.
func (w *testCluster) cacheRequests() (n int) {
	for _, s := range w.servers {
		s.mu.Lock()
		n += s.cacheRequests
		s.mu.Unlock()
	}
	return n
}

// probeCount returns how many status requests the server received.
func (s *fakeServer) probeCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.probes
}

// probeCount returns the number of status requests to all servers.
func (w *testCluster) probeCount() (n int) {
	for _, s := range w.servers {
		s.mu.Lock()
		n += s.probes
		s.mu.Unlock()
	}
	return n
}

// requestCount returns how many requests the server was asked to run.
func (s *fakeServer) requestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.received)
}

// testCluster is a handler with fake servers and an in-memory store, in virtual time.
type testCluster struct {
	t           *testing.T
	schema      testSchema
	store       *store.Memory
	daemonStore *store.Faulty // the store as the daemon sees it
	mu          sync.Mutex
	hosts       map[string]*fakeServer // by address
	feed        *feed.Manager
	handler     *Handler
	servers     map[string]*fakeServer
	// received counts the bytes that servers have sent to the handler.
	received atomic.Int64
	replaced []*fakeServer // silent previous incarnations, whose connections stay open
	cancel   context.CancelFunc
	done     sync.WaitGroup
}

// withTestCluster runs a test in virtual time with the given routes.
func withTestCluster(t *testing.T, routes []*routing.Route, test func(*testCluster)) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t, routes)
		defer w.close() // also if the test fails: goroutines left behind would end the other tests as well
		test(w)
	})
}

var testRetryRule = retrybudget.Policy{Ratio: 0.8, Slack: 150, Window: 10 * time.Second}

func newTestCluster(t *testing.T, routes []*routing.Route) *testCluster {
	services := []*routing.Service{
		{Name: "llm", Engine: &routing.Engine{Slots: 4, CanReplicate: true, CanCopy: true}, HealthPath: healthPath},
		{Name: "desk", HealthPath: healthPath},
		{Name: "anonymous"},
	}
	accounts := map[string]*routing.Account{
		"key-1": {Name: "mill", Priority: -1}, "key-2": {Name: "depot", Priority: 3},
	}
	w := &testCluster{
		t: t, schema: testSchema{config: routing.New(1, routing.Limits{BodyBytes: 1 << 20}, services, routes, accounts), named: map[string]*routing.Config{}}, store: store.NewMemory(), servers: map[string]*fakeServer{},
		hosts: map[string]*fakeServer{},
	}
	w.daemonStore = store.NewFaulty(w.store)
	w.newDaemon()
	w.put("config", "{}")
	w.startFeed()
	synctest.Wait()
	return w
}

// newDaemon creates the daemon's feed and handler.
func (w *testCluster) newDaemon() {
	start := time.Now()
	clock := func() time.Duration { return time.Since(start) + time.Hour }
	self := routing.VM{ID: "vm-1", Zone: "a"}
	w.feed = feed.New(feed.Options{Store: storesim.BoundedWatch{Store: w.daemonStore, MaxWait: time.Second}, Schema: w.schema, Clock: clock, Log: event.Discard()})
	w.handler = New(Options{
		Feed: w.feed, Codec: testCodec{}, Log: event.Discard(), Self: self, MaxKeyAge: 5 * time.Second,
		RetryBudget: testRetryRule, Dial: w.dial,
	})
	w.handler.pool.startedAt = start.Add(-testRetryRule.Window) // gives the daemon its full share of the slack
	observeFleetLongAgo(w.handler.pool)
}

// observeFleetLongAgo lets a daemon's pool have a part of the slack, like that of a daemon that has
// served for an hour.
func observeFleetLongAgo(p *pool) { p.fleet.Observe(time.Now().Add(-time.Hour), nil) }

// startFeed starts the feed.
func (w *testCluster) startFeed() {
	ctx, cancel := context.WithCancel(w.t.Context())
	w.cancel = cancel
	w.done.Go(func() { w.feed.Run(ctx) })
}

// restartDaemon replaces the daemon by a newly started one with a slow connection to the store.
func (w *testCluster) restartDaemon(reads time.Duration) {
	w.cancel()
	w.done.Wait()
	w.daemonStore.SetDelay(reads)
	w.newDaemon()
	w.startFeed()
}

func (w *testCluster) put(key, value string) {
	w.t.Helper()
	var version int64
	if kv, err := w.store.Get(w.t.Context(), key); err == nil {
		version = kv.Version
	}
	_, err := w.store.CompareAndSwap(w.t.Context(), key, version, []byte(value), 0)
	must.NoError(w.t, err)
}

// add starts and registers a server, and waits until the handler knows it.
func (w *testCluster) add(id, service, zone string, handle http.HandlerFunc) *fakeServer {
	w.t.Helper()
	s := w.start(routing.Server{ID: id, Service: service, Zone: zone, Address: id + ":80", Slots: 4}, handle)
	w.register(s)
	time.Sleep(time.Second)
	return s
}

// register writes a server's entry to the store.
func (w *testCluster) register(s *fakeServer) {
	w.t.Helper()
	raw, err := json.Marshal(s.server)
	must.NoError(w.t, err)
	w.put("server/"+s.server.ID, string(raw))
}

// remove deletes a key from the store.
func (w *testCluster) remove(key string) {
	w.t.Helper()
	kv, err := w.store.Get(w.t.Context(), key)
	must.NoError(w.t, err)
	must.NoError(w.t, w.store.Delete(w.t.Context(), key, kv.Version))
}

// start runs a server that is not registered in the store.
func (w *testCluster) start(server routing.Server, handle http.HandlerFunc) *fakeServer {
	s := &fakeServer{server: server, listener: faultnet.Pipe(), handle: handle}
	s.http = &http.Server{Handler: s}
	w.mu.Lock()
	w.hosts[server.Address] = s
	w.mu.Unlock()
	w.servers[server.ID] = s
	go s.http.Serve(s.listener)
	return s
}

// replaceServer starts an unregistered server with another id at the address of an old one.
func (w *testCluster) replaceServer(old *fakeServer, id, service string) *fakeServer {
	w.crash(old)
	server := old.server
	server.ID, server.Service = id, service
	return w.start(server, old.handle)
}

// restartInPlace starts an unregistered new incarnation of a server at its address and under its
// id. If silently is set, connections to the old incarnation stay open without any traffic.
func (w *testCluster) restartInPlace(old *fakeServer, silently bool) *fakeServer {
	server := old.server
	server.StartedAtMS++
	if silently {
		old.listener.Silence()
		w.mu.Lock()
		w.replaced = append(w.replaced, old)
		w.mu.Unlock()
	} else {
		w.crash(old)
	}
	return w.start(server, old.handle)
}

// crash resets the connections of a server and refuses new ones.
func (w *testCluster) crash(s *fakeServer) {
	s.listener.Cut()
	s.http.Close()
}

// checkLoadReleased checks that no load is left counted at any server after all requests have
// ended, in whatever way. A leaked count would keep later requests away from a server until the
// daemon ends.
func (w *testCluster) checkLoadReleased() {
	time.Sleep(writeGrace) // lets requests end whose callers have left
	synctest.Wait()
	w.handler.pool.mu.Lock()
	defer w.handler.pool.mu.Unlock()
	for incarnation, one := range w.handler.pool.loads {
		if counted := [3]int{one.prefilling, one.running, one.replicas}; counted != [3]int{} {
			w.t.Errorf("%s: %v prefills, running answers and replicas are still counted at the end", incarnation.ID, counted)
		}
	}
	if reserved := w.handler.memory.used(); reserved != 0 {
		w.t.Errorf("%d bytes are still reserved at the end", reserved)
	}
}

// background runs a function concurrently with the test; close waits for its end.
func (w *testCluster) background(play func()) { w.done.Go(play) }

func (w *testCluster) close() {
	w.checkLoadReleased()
	w.cancel()
	for _, s := range w.servers {
		s.http.Close()
	}
	for _, s := range w.replaced {
		s.http.Close()
	}
	w.done.Wait()
}

// response is what a caller received.
type response struct {
	status int
	header http.Header
	body   string
	err    error // the body is incomplete
	took   time.Duration
}

// request sends a request through a real HTTP server over a pipe.
func (w *testCluster) request(method, path string, header map[string]string, body string) response {
	w.t.Helper()
	start := time.Now()
	listener := faultnet.Pipe()
	server := &http.Server{Handler: w.handler}
	go server.Serve(listener)
	defer server.Close()
	here, err := listener.Dial(w.t.Context(), "", "")
	must.NoError(w.t, err)
	defer here.Close()
	req, err := http.NewRequestWithContext(w.t.Context(), method, "http://host"+path, strings.NewReader(body))
	must.NoError(w.t, err)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	go req.Write(here)
	resp, err := http.ReadResponse(bufio.NewReader(here), req)
	if err != nil {
		return response{err: err, took: time.Since(start)}
	}
	raw, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(raw), err: err, took: time.Since(start)}
}

// runnerAndHolder returns the engine that runs the only request and the one with the replica.
func runnerAndHolder(a, b *fakeServer) (runner, holder *fakeServer) {
	if b.requestCount() > 0 {
		return b, a
	}
	return a, b
}

// respondProven answers with a proof header.
func respondProven(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(hProof, "p")
		fmt.Fprint(w, body)
	}
}

// streamEvents sends the events up to last at a pace, after a delay before the first. It resumes
// after the event named in the request.
func streamEvents(last int, first, pace time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		after, _ := strconv.Atoi(r.Header.Get(hAfter))
		if r.Header.Get(hCopyAt) == "" {
			sleep(r, first)
		}
		w.Header().Set(hProof, "p")
		w.Header().Set("Content-Type", "text/event-stream")
		for id := after + 1; id <= last; id++ {
			if r.Context().Err() != nil {
				return
			}
			writeEvent(w, id)
			sleep(r, pace)
		}
	}
}

func writeEvent(w http.ResponseWriter, id int) {
	fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", id, id)
	w.(http.Flusher).Flush()
}

func sleep(r *http.Request, d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.Context().Done():
	}
}

// events returns the complete stream of events first to last.
func events(first, last int) string {
	var b strings.Builder
	for id := first; id <= last; id++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", id, id)
	}
	return b.String()
}

func streamRoute() []*routing.Route {
	return []*routing.Route{{
		Name: "s", Host: "host", Prefix: "/s/", Kind: routing.Stream, Timeout: 25 * time.Second,
		Objective: 4500 * time.Millisecond, MaxAttempts: 5, Resumable: true,
		Targets: []routing.Target{{Service: "llm", Weight: 1}},
	}}
}

func plainRoutes() []*routing.Route {
	route := func(name string, kind routing.Kind, attempts int) *routing.Route {
		return &routing.Route{
			Name: name, Host: "host", Prefix: "/" + name + "/", Kind: kind, Timeout: 600 * time.Millisecond,
			Objective: 100 * time.Millisecond, MaxAttempts: attempts,
			Targets: []routing.Target{{Service: "desk", Weight: 1}},
		}
	}
	return []*routing.Route{route("once", routing.AtMostOnce, 1), route("again", routing.Idempotent, 2)}
}

var callerHeaders = map[string]string{hID: "r1", hWait: "25000", hKey: "key-1"}

// withHeaders returns the caller's headers together with more.
func withHeaders(more map[string]string) map[string]string {
	all := map[string]string{}
	for _, m := range []map[string]string{callerHeaders, more} {
		for k, v := range m {
			all[k] = v
		}
	}
	return all
}
