package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/retrybudget"
	"mallowwind.dev/decision/rollout"
	"mallowwind.dev/external/standin/faultnet"
	"mallowwind.dev/external/standin/storesim"
	"mallowwind.dev/external/store"
	"mallowwind.dev/peer/link"
	"mallowwind.dev/serve/forward"
	"mallowwind.dev/telemetry/event"
	"mallowwind.dev/telemetry/metric"
)

// fleetConfig is the configuration of a fleet, with one route per first path segment.
const fleetConfig = `{"version":1,"limits":{"idle_timeout":"15s"},
	"services":[{"name":"llm","engine":{"slots":4}},{"name":"desk"}],
	"routes":[
	{"name":"stream","host":"host","prefix":"/stream/","kind":"stream","timeout":"25s","objective":"4.5s","attempts":5,"resumable":true,"targets":[{"service":"llm","weight":1}]},
	{"name":"again","host":"host","prefix":"/again/","kind":"idempotent","timeout":"2s","objective":"100ms","attempts":3,"targets":[{"service":"desk","weight":1}]},
	{"name":"once","host":"host","prefix":"/once/","kind":"at_most_once","timeout":"2s","objective":"100ms","attempts":1,"targets":[{"service":"desk","weight":1}]}]}`

// fleet is a set of daemons with a common store and backend servers, in virtual time.
type fleet struct {
	t          *testing.T
	began      time.Time
	store      *store.Memory
	mu         sync.Mutex // guards daemons and servers
	daemons    map[string]*daemon
	servers    map[string]*backend // by address
	crashParts []string            // parts of prompts that crash servers
	eventPace  time.Duration       // time between the events of a stream
	// crashesByPart holds when servers crashed on prompts with one of crashParts.
	crashesByPart map[string][]time.Time
	background    sync.WaitGroup
}

// daemon is a process of an entry VM.
type daemon struct {
	vm             routing.VM
	store          *store.Faulty  // the daemon's access to the fleet's store
	path           *faultnet.Path // the daemon's connections to backend servers
	callers, peers *faultnet.Listener
	kill           context.CancelFunc
	terminate      context.CancelFunc // begins the graceful shutdown
	stopped        chan struct{}
	dialer         *http.Transport
}

// withFleet runs test with a fleet of size daemons.
func withFleet(t *testing.T, size int, test func(*fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{t: t, began: time.Now(), store: store.NewMemory(), daemons: map[string]*daemon{}, servers: map[string]*backend{}, crashesByPart: map[string][]time.Time{}, eventPace: 20 * time.Millisecond}
		f.put(feed.OwnConfigKey, fleetConfig)
		for n := range size {
			f.start(n)
		}
		time.Sleep(5 * time.Second)
		defer f.close() // also if test fails, because goroutines left running would abort the other tests
		test(f)
	})
}

// close stops all daemons and backend servers.
func (f *fleet) close() {
	f.background.Wait()
	for _, d := range f.daemons {
		f.stop(d)
	}
	for _, s := range f.servers {
		s.http.Close()
	}
	time.Sleep(time.Minute) // lets waiting goroutines end
	synctest.Wait()
}

// start starts a process of the nth daemon.
func (f *fleet) start(n int) {
	id := fmt.Sprintf("vm-%d", n)
	d := &daemon{
		vm:    routing.VM{ID: id, Zone: string(rune('a' + n%3)), Address: id + ":1", PeerAddress: id + ":2"},
		store: store.NewFaulty(f.store), path: faultnet.NewPath(f.dial), callers: faultnet.Pipe(), peers: faultnet.Pipe(), stopped: make(chan struct{}),
		dialer: &http.Transport{DialContext: f.dial, MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Second},
	}
	f.mu.Lock()
	f.daemons[id] = d
	f.mu.Unlock()
	g := New(Options{
		Self: d.vm, Store: storesim.BoundedWatch{Store: d.store, MaxWait: time.Second}, Schema: feed.OwnSchema{}, Codec: forward.DefaultCodec{},
		Clock: func() time.Duration { return time.Since(f.began) + time.Hour }, Log: event.Discard(),
		DynamicOptions: DynamicOptions{
			MaxKeyAge: 5 * time.Second, GracePeriod: 8 * time.Second, Seeds: []string{"vm-0:2", "vm-1:2"},
			RetryBudget:   retrybudget.Policy{Ratio: 0.8, Slack: 150, Window: 10 * time.Second},
			RolloutLimits: rollout.Limits{Share: 0.1, Slack: 50},
		},
		AddressTTL: time.Second, MinLeaseTTL: time.Second,
		Registry: metric.NewCatalogue(), Callers: d.callers, Peers: d.peers,
		Readiness: faultnet.Pipe(), Directory: faultnet.Pipe(), ReadyHandler: readyHandler, DirectoryHandler: directoryHandler,
		DialServer: d.path.Dial, Dialer: link.NewDialerWithClient(&http.Client{Transport: d.dialer}),
	})
	hard, kill := context.WithCancel(f.t.Context())
	soft, terminate := context.WithCancel(hard)
	d.kill, d.terminate = kill, terminate
	go func() {
		defer close(d.stopped)
		_ = g.Run(soft, hard)
	}()
}

// stop kills a daemon and waits until it has ended.
func (f *fleet) stop(d *daemon) {
	d.callers.Cut()
	d.peers.Cut()
	d.kill()
	<-d.stopped
	d.dialer.CloseIdleConnections()
}

// restart kills the given daemons and then starts them again.
func (f *fleet) restart(daemons ...int) {
	for _, n := range daemons {
		f.stop(f.daemons[fmt.Sprintf("vm-%d", n)])
	}
	for _, n := range daemons {
		f.start(n)
	}
}

// setStoreDown sets whether the store is unreachable for all daemons.
func (f *fleet) setStoreDown(down bool) {
	for _, d := range f.daemons {
		d.store.SetDown(down)
	}
}

// restartAfterOutage makes the store unreachable for a while and restarts all daemons after it is back.
func (f *fleet) restartAfterOutage() {
	f.setStoreDown(true)
	time.Sleep(20 * time.Second)
	f.setStoreDown(false)
	time.Sleep(10 * time.Second)
	f.restartAll()
}

// restartAll kills all daemons at the same moment and then starts them again.
func (f *fleet) restartAll() {
	all := make([]int, len(f.daemons))
	for n := range all {
		all[n] = n
	}
	f.restart(all...)
}

// dial connects to the peer address of a daemon or to a backend server.
func (f *fleet) dial(ctx context.Context, network, address string) (net.Conn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.servers[address]; s != nil {
		return s.listener.Dial(ctx, network, address)
	}
	if d := f.daemons[strings.TrimSuffix(address, ":2")]; d != nil {
		return d.peers.Dial(ctx, network, address)
	}
	return nil, errors.Errorf("no host %s", address)
}

func (f *fleet) put(key, value string) {
	var version int64
	if kv, err := f.store.Get(f.t.Context(), key); err == nil {
		version = kv.Version
	}
	_, err := f.store.CompareAndSwap(f.t.Context(), key, version, []byte(value), 0)
	must.NoError(f.t, err)
}

func (f *fleet) remove(key string) {
	kv, err := f.store.Get(f.t.Context(), key)
	if err != nil {
		return
	}
	must.NoError(f.t, f.store.Delete(f.t.Context(), key, kv.Version))
}

// backend is a backend server at a fixed address. After a crash, a new process replaces the old one.
type backend struct {
	f           *fleet
	service     string
	address     string
	listener    *faultnet.Listener
	http        *http.Server
	mu          sync.Mutex
	incarnation int
	slots       int    // stated in its entry
	limit       string // sent in X-Request-Limit; empty for none
	leaving     bool   // sends X-Backend-Leaving
	pause       string // Retry-After of the 503 that answers every request; empty to serve
	arrivals    []arrival
	rejections  []arrival // those answered with pause
}

// arrival is one request that reached a server.
type arrival struct {
	at     time.Time
	path   string
	parts  string // of the prompt
	daemon string // that sent it
}

// partsHeader lists the parts of a prompt.
const partsHeader = "X-Prompt-Parts"

// daemonHeader names the daemon to which a caller sent a request.
const daemonHeader = "X-Test-Daemon"

const (
	// crashedEntryTTL is how long the store entry of a crashed server process remains.
	crashedEntryTTL = 3 * time.Second
	// crashRestartDelay is the time between a crash and the start of the next process.
	crashRestartDelay = 2 * time.Second
	// crashBody is the prefix of the body of a request that crashes the server that runs it.
	crashBody = "crash"
)

// startServers starts n servers of a service and waits until the daemons know them.
func (f *fleet) startServers(service string, n int) {
	for i := range n {
		s := &backend{f: f, service: service, address: fmt.Sprintf("%s-%d:80", service, i), listener: faultnet.Pipe(), slots: 4}
		s.http = &http.Server{Handler: s}
		f.mu.Lock()
		f.servers[s.address] = s
		f.mu.Unlock()
		go s.http.Serve(s.listener)
		s.register()
	}
	time.Sleep(2 * time.Second)
}

// server returns the nth server of a service.
func (f *fleet) server(service string, n int) *backend {
	return f.servers[fmt.Sprintf("%s-%d:80", service, n)]
}

func (s *backend) id() string { return fmt.Sprintf("%s.%d", s.address, s.incarnation) }

func (s *backend) register() {
	raw, err := json.Marshal(routing.Server{Service: s.service, Address: s.address, Zone: "a", Slots: s.slots})
	must.NoError(s.f.t, err)
	s.f.put(feed.OwnServerPrefix+s.id(), string(raw))
}

// crash ends the process; after crashRestartDelay another one starts at the same address with a
// new id.
func (s *backend) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldKey := feed.OwnServerPrefix + s.id()
	s.incarnation++
	s.listener.Cut()
	s.f.background.Go(func() {
		time.Sleep(crashRestartDelay)
		s.mu.Lock()
		must.NoError(s.f.t, s.listener.Restore())
		s.register()
		s.mu.Unlock()
		time.Sleep(crashedEntryTTL - crashRestartDelay)
		s.f.remove(oldKey)
	})
}

// ServeHTTP runs a request: a call takes 30 ms, a stream takes one second of prefill and then sends
// twenty events.
func (s *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/status" {
		fmt.Fprint(w, "{}")
		return
	}
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	id, incarnation := s.id(), s.incarnation
	if s.limit != "" {
		w.Header().Set("X-Request-Limit", s.limit)
	}
	if s.leaving {
		w.Header().Set("X-Backend-Leaving", "1")
	}
	arrived, pause := arrival{time.Now(), r.URL.Path, r.Header.Get(partsHeader), r.Header.Get(daemonHeader)}, s.pause
	s.arrivals = append(s.arrivals, arrived)
	if pause != "" {
		s.rejections = append(s.rejections, arrived)
	}
	s.mu.Unlock()
	if r.Header.Get("X-Backend-Id") != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if pause != "" {
		w.Header().Set("X-Not-Run", "1")
		w.Header().Set("Retry-After", pause)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	workTime, events := 30*time.Millisecond, 0
	if s.service == "llm" {
		workTime, events = time.Second, 20
	}
	select {
	case <-time.After(workTime):
	case <-r.Context().Done():
		return
	}
	s.mu.Lock()
	sameProcess := incarnation == s.incarnation
	s.mu.Unlock()
	if sameProcess && (strings.HasPrefix(string(body), crashBody) || s.f.crashOn(r.Header.Get(partsHeader))) {
		s.crash()
		return
	}
	if events == 0 {
		fmt.Fprint(w, "done")
	}
	for n := range events {
		fmt.Fprintf(w, "id: %d\ndata: x\n\n", n+1)
		w.(http.Flusher).Flush()
		time.Sleep(s.f.eventPace)
	}
}

// setCrashParts makes servers crash when they begin to answer a prompt with one of the parts.
func (f *fleet) setCrashParts(parts ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashParts = parts
}

// crashOn reports whether a server crashes on a prompt with the given parts, and records the crash.
func (f *fleet) crashOn(parts string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for part := range strings.SplitSeq(parts, ",") {
		if slices.Contains(f.crashParts, part) {
			f.crashesByPart[part] = append(f.crashesByPart[part], time.Now())
			return true
		}
	}
	return false
}

// arrivals returns the number of requests with a path that reached any server after a given time.
func (f *fleet) arrivals(path string, after time.Time) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		s.mu.Lock()
		for _, a := range s.arrivals {
			if a.path == path && a.at.After(after) {
				n++
			}
		}
		s.mu.Unlock()
	}
	return n
}

// setLimit sets the request rate limit that the server sends in its responses.
func (s *backend) setLimit(limit string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
}

// setLeaving makes the server state in its responses that it leaves.
func (s *backend) setLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// setPause makes the server reject every request with a Retry-After, or serve again if it is "".
func (s *backend) setPause(retryAfter string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pause = retryAfter
}

// maxArrivalsDuringPause returns the largest number of requests that one daemon sent within the
// pause that a rejection asked for, without those that were under way when it did.
func (s *backend) maxArrivalsDuringPause(pause time.Duration) (most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.rejections {
		n := 0
		for _, a := range s.arrivals {
			if a.daemon == r.daemon && a.at.After(r.at.Add(underWay)) && a.at.Before(r.at.Add(pause)) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// underWay is how long requests may still arrive that were sent before a server's response did.
const underWay = 500 * time.Millisecond

// maxArrivalsWithin returns the largest number of requests that reached the server within any
// interval of length span after a given time.
func (s *backend) maxArrivalsWithin(span time.Duration, after time.Time) (most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := 0
	for last, a := range s.arrivals {
		for a.at.Sub(s.arrivals[first].at) >= span || s.arrivals[first].at.Before(after) && first < last {
			first++
		}
		if !a.at.Before(after) {
			most = max(most, last-first+1)
		}
	}
	return most
}

// arrivalsBetween returns the number of requests that reached the server between two times.
func (s *backend) arrivalsBetween(from, until time.Time) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.arrivals {
		if a.at.After(from) && a.at.Before(until) {
			n++
		}
	}
	return n
}

// crashes returns the number of crashes of all servers.
func (f *fleet) crashes() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		s.mu.Lock()
		n += s.incarnation
		s.mu.Unlock()
	}
	return n
}

// reply is the response that a caller received.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// send sends one request to the nth daemon and returns the response.
func (f *fleet) send(n int, path, body string) reply { return f.sendPrompt(n, path, "", body) }

// sendPrompt is send for a request that lists the parts of its prompt.
func (f *fleet) sendPrompt(n int, path, parts, body string) reply {
	f.mu.Lock()
	d := f.daemons[fmt.Sprintf("vm-%d", n)]
	f.mu.Unlock()
	conn, err := d.callers.Dial(f.t.Context(), "", "")
	if err != nil {
		return reply{err: err}
	}
	defer conn.Close()
	req, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, "http://host"+path, strings.NewReader(body))
	must.NoError(f.t, err)
	req.Header.Set(daemonHeader, d.vm.ID)
	if parts != "" {
		req.Header.Set(partsHeader, parts)
	}
	req.Header.Set("X-Request-Id", fmt.Sprintf("%s-%d", path, time.Now().UnixNano()))
	go req.Write(conn)
	resp, err := http.ReadResponse(bufio.NewReader(conn), req)
	if err != nil {
		return reply{err: err}
	}
	raw, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(raw), err: err}
}
