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
	"mallowwind.dev/decision/repeats"
	"mallowwind.dev/external/standin/faultnet"
	"mallowwind.dev/external/standin/storesim"
	"mallowwind.dev/external/store"
	"mallowwind.dev/telemetry/event"
)

// Headers of the test codec.
const (
	hID, hWait, hKey, hAfter, hPart, hTokens = "Id", "Wait-Ms", "Key", "After", "Part", "Tokens"
	hServer, hAccount, hCopyTo, hCopyAt      = "Server", "Account", "Copy-To", "Copy-At"
	hNotRun, hProof, hInstance, hPriority    = "Not-Run", "Proof", "Instance", "Priority"
)

type testCodec struct{}

func (testCodec) Call(h http.Header) (Call, error) {
	ms, _ := strconv.Atoi(h.Get(hWait))
	after, _ := strconv.ParseInt(h.Get(hAfter), 10, 64)
	tokens, _ := strconv.Atoi(h.Get(hTokens))
	return Call{
		ID: h.Get(hID), Timeout: time.Duration(ms) * time.Millisecond, Key: h.Get(hKey),
		LastEventID: after, PromptKey: h.Get(hPart), PromptTokens: tokens,
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

func (testCodec) CachePath() string { return "/cache" }

// Cache reads the start of the engine as "@N" and then the parts that it holds.
func (testCodec) Cache(body []byte) (Cache, error) {
	born, words := startOf(strings.Fields(string(body)))
	return Cache{Born: born, PromptKeys: words}, nil
}

// startOf takes the start of an engine, written as "@N", off the front.
func startOf(words []string) (int64, []string) {
	if len(words) == 0 || !strings.HasPrefix(words[0], "@") {
		return 0, words
	}
	born, _ := strconv.ParseInt(words[0][1:], 10, 64)
	return born, words[1:]
}

func (testCodec) ProbePath() string { return "/alive" }

// Report reads the start, "engine" and then the ids of runs with events, of those
// without if they begin with a minus, and "full" of an engine without room.
func (testCodec) Report(body []byte) (Report, error) {
	born, words := startOf(strings.Fields(string(body)))
	if len(words) == 0 || words[0] != "engine" {
		return Report{}, errors.New("no engine's answer")
	}
	r := Report{Born: born, Events: map[string]int{}}
	for _, id := range words[1:] {
		if id == "full" {
			r.UsedTokens, r.CapacityTokens = 100, 100
			continue
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

// testSchema stores servers as JSON and gets the configuration from the world.
type testSchema struct {
	feed.OwnRollouts
	config *routing.Config
}

func (testSchema) ConfigKey() string { return "config" }

func (s testSchema) DecodeConfig([]byte) (*routing.Config, error) { return s.config, nil }

func (testSchema) ServerID(key string) (string, bool) { return strings.CutPrefix(key, "server/") }

func (testSchema) DecodeServer(id string, raw []byte) (routing.Server, error) {
	var s routing.Server
	err := json.Unmarshal(raw, &s)
	s.ID = id
	return s, err
}

// fakeServer is a backend server in process.
type fakeServer struct {
	server     routing.Server
	listener   *faultnet.Listener
	mu         sync.Mutex
	cacheReply string        // answer to the question what it holds
	cacheLag   time.Duration // before that answer
	runReport  string        // ids of the runs that it reports
	muted      bool          // it does not tell what it does
	moves      []string      // targets of copies made on demand
	dropped    []string      // handles of copies freed
	refusing   int           // copies that it refuses to make
	received   []*http.Request
	handle     http.HandlerFunc
	http       *http.Server
	cacheAsked int // how many times it was asked what it holds
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

// countedConn adds what is read from it.
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
	switch r.URL.Path {
	case "/alive":
		if s.server.Service == "llm" {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.muted {
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			fmt.Fprint(w, s.bornPrefix(), "engine ", s.runReport)
		}
		return
	case "/cache":
		s.mu.Lock()
		cached, lag := s.cacheReply, s.cacheLag
		s.cacheAsked++
		s.mu.Unlock()
		sleep(r, lag)
		fmt.Fprint(w, s.bornPrefix(), cached)
		return
	}
	if s.copying(w, r) {
		return
	}
	s.mu.Lock()
	s.received = append(s.received, r)
	s.mu.Unlock()
	// The server notices a caller that leaves only once the body is read.
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set(hID, r.Header.Get(hID))
	if want := r.Header.Get(hServer); want != s.server.ID {
		w.Header().Set(hInstance, s.server.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.handle(w, r)
}

// bornPrefix is what the server says of its start, before anything else.
func (s *fakeServer) bornPrefix() string {
	if s.server.StartedAtMS == 0 {
		return ""
	}
	return fmt.Sprintf("@%d ", s.server.StartedAtMS)
}

// copying answers the calls that make and free a copy on demand.
func (s *fakeServer) copying(w http.ResponseWriter, r *http.Request) bool {
	body, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	s.mu.Lock()
	defer s.mu.Unlock()
	if strings.HasPrefix(r.URL.Path, "/move/") && s.refusing > 0 {
		s.refusing--
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	if strings.HasPrefix(r.URL.Path, "/move/") {
		s.moves = append(s.moves, string(body))
		fmt.Fprintf(w, "h%d", len(s.moves))
		return true
	}
	handle, drop := strings.CutPrefix(r.URL.Path, "/drop/")
	if drop {
		s.dropped = append(s.dropped, handle)
	}
	return drop
}

// copyCalls returns the targets of copies made on demand and the handles freed.
func (s *fakeServer) copyCalls() (targets, dropped []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.moves), slices.Clone(s.dropped)
}

func (s *fakeServer) refuseCopies(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusing = n
}

// requests returns the requests that a server was asked to run.
func (s *fakeServer) requests() []*http.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.received)
}

// setCache and reports set what a server tells of itself.
func (s *fakeServer) setCache(parts string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cacheReply = parts
}

// setCacheDelay sets how long a server takes to tell what it holds.
func (s *fakeServer) setCacheDelay(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cacheLag = lag
}

func (s *fakeServer) setRuns(runs string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runReport = runs
}

func (s *fakeServer) failStatus() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.muted = true
}

// cacheRequests is how many times servers were asked what they hold.
func (w *testCluster) cacheRequests() (n int) {
	for _, s := range w.servers {
		s.mu.Lock()
		n += s.cacheAsked
		s.mu.Unlock()
	}
	return n
}

// requestCount are those that a server was asked to run.
func (s *fakeServer) requestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.received)
}

// testCluster is a handler before fake servers, in virtual time.
type testCluster struct {
	t           *testing.T
	schema      testSchema
	store       *store.Memory
	daemonStore *store.Faulty // the store as the daemon reaches it
	mu          sync.Mutex
	hosts       map[string]*fakeServer // by address
	feed        *feed.Manager
	handler     *Handler
	servers     map[string]*fakeServer
	// received are the bytes that servers have sent to the handler.
	received atomic.Int64
	buried   []*fakeServer // whose connections stay open though a later life has their place
	cancel   context.CancelFunc
	done     sync.WaitGroup
}

// withTestCluster runs test in virtual time with the routes given.
func withTestCluster(t *testing.T, routes []*routing.Route, test func(*testCluster)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, routes)
		defer w.close() // also of a test that fails, or what it left ends the other tests with it
		test(w)
	})
}

var testRetryRule = repeats.Policy{Ratio: 0.8, Slack: 150, Window: 10 * time.Second}

func newWorld(t *testing.T, routes []*routing.Route) *testCluster {
	services := []*routing.Service{
		{Name: "llm", Engine: &routing.Engine{Slots: 4, CanReplicate: true, CanCopy: true}}, {Name: "desk"},
	}
	accounts := map[string]*routing.Account{
		"key-1": {Name: "mill", Priority: -1}, "key-2": {Name: "depot", Priority: 3},
	}
	w := &testCluster{
		t: t, schema: testSchema{config: routing.New(1, routing.Limits{BodyBytes: 1 << 20}, services, routes, accounts)}, store: store.NewMemory(), servers: map[string]*fakeServer{},
		hosts: map[string]*fakeServer{},
	}
	w.daemonStore = store.NewFaulty(w.store)
	w.assemble()
	w.put("config", "{}")
	w.startFeed()
	synctest.Wait()
	return w
}

// assemble makes the daemon's feed and handler.
func (w *testCluster) assemble() {
	start := time.Now()
	clock := func() time.Duration { return time.Since(start) + time.Hour }
	self := routing.VM{ID: "vm-1", Zone: "a"}
	w.feed = feed.New(feed.Options{Store: storesim.Confirming{Store: w.daemonStore, Hold: time.Second}, Schema: w.schema, Clock: clock, Log: event.Discard()})
	w.handler = New(Options{
		Feed: w.feed, Codec: testCodec{}, Log: event.Discard(), Self: self, MaxKeyAge: 5 * time.Second,
		RetryBudget: testRetryRule, Dial: w.dial,
	})
	w.handler.pool.startedAt = start.Add(-testRetryRule.Window) // the daemon has its part of the slack
}

// startFeed starts the feed.
func (w *testCluster) startFeed() {
	ctx, cancel := context.WithCancel(w.t.Context())
	w.cancel = cancel
	w.done.Go(func() { w.feed.Run(ctx) })
}

// restartDaemon replaces the daemon by one that has just started, and whose reads of
// the store take some time.
func (w *testCluster) restartDaemon(reads time.Duration) {
	w.cancel()
	w.done.Wait()
	w.daemonStore.SetDelay(reads)
	w.assemble()
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

// add starts a server and waits until the handler knows it.
func (w *testCluster) add(id, service, zone string, handle http.HandlerFunc) *fakeServer {
	w.t.Helper()
	s := w.start(routing.Server{ID: id, Service: service, Zone: zone, Address: id + ":80", Slots: 4}, handle)
	w.register(s)
	time.Sleep(time.Second)
	return s
}

// register writes a server's entry.
func (w *testCluster) register(s *fakeServer) {
	w.t.Helper()
	raw, err := json.Marshal(s.server)
	must.NoError(w.t, err)
	w.put("server/"+s.server.ID, string(raw))
}

// remove deletes a key of the store.
func (w *testCluster) remove(key string) {
	w.t.Helper()
	kv, err := w.store.Get(w.t.Context(), key)
	must.NoError(w.t, err)
	must.NoError(w.t, w.store.Delete(w.t.Context(), key, kv.Version))
}

// start runs a server that the store does not know.
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

// replaceServer puts a new server at the address of an old one, unknown to the store.
func (w *testCluster) replaceServer(old *fakeServer, id, service string) *fakeServer {
	w.crash(old)
	server := old.server
	server.ID, server.Service = id, service
	return w.start(server, old.handle)
}

// reborn puts another life of a server at its address, under its id and unknown to the
// store. Connections to the life before stay open and say nothing more if silently.
func (w *testCluster) reborn(old *fakeServer, silently bool) *fakeServer {
	server := old.server
	server.StartedAtMS++
	if silently {
		old.listener.Silence()
		w.mu.Lock()
		w.buried = append(w.buried, old)
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

// nothingCounted checks that what requests were counted for at servers was taken back once
// they are over, whichever way they ended. What stays counted keeps later requests away
// from a server until the daemon ends.
func (w *testCluster) nothingCounted() {
	time.Sleep(writeGrace) // requests whose callers left end
	synctest.Wait()
	w.handler.pool.mu.Lock()
	defer w.handler.pool.mu.Unlock()
	for life, one := range w.handler.pool.loads {
		if counted := [3]int{one.prefilling, one.running, one.replicas}; counted != [3]int{} {
			w.t.Errorf("%s: %v prompts read, runs and copies are counted at the end", life.ID, counted)
		}
	}
}

// background plays a part of the story beside the test, which waits for its end.
func (w *testCluster) background(play func()) { w.done.Go(play) }

func (w *testCluster) close() {
	w.nothingCounted()
	w.cancel()
	for _, s := range w.servers {
		s.http.Close()
	}
	for _, s := range w.buried {
		s.http.Close()
	}
	w.done.Wait()
}

// response is what a caller got.
type response struct {
	status int
	header http.Header
	body   string
	err    error // the body broke off
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

// runnerAndHolder says which of two engines runs the one request there is; the other keeps the copy.
func runnerAndHolder(a, b *fakeServer) (runner, holder *fakeServer) {
	if b.requestCount() > 0 {
		return b, a
	}
	return a, b
}

// respondProven answers with a proof.
func respondProven(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(hProof, "p")
		fmt.Fprint(w, body)
	}
}

// streamEvents makes events first+1 to last at a pace, after a wait for the first.
// It goes on after the event that the request names.
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

// events is a whole stream of events first to last.
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

// withHeaders returns the caller's headers with more.
func withHeaders(more map[string]string) map[string]string {
	all := map[string]string{}
	for _, m := range []map[string]string{callerHeaders, more} {
		for k, v := range m {
			all[k] = v
		}
	}
	return all
}
