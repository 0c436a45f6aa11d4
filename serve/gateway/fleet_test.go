package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
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

// Routes of a fleet, by the first part of the path.
const fleetConfig = `{"version":1,"limits":{"idle_timeout":"15s"},
	"services":[{"name":"llm","engine":{"slots":4}},{"name":"desk"}],
	"routes":[
	{"name":"stream","host":"host","prefix":"/stream/","kind":"stream","timeout":"25s","objective":"4.5s","attempts":5,"resumable":true,"targets":[{"service":"llm","weight":1}]},
	{"name":"again","host":"host","prefix":"/again/","kind":"idempotent","timeout":"2s","objective":"100ms","attempts":3,"targets":[{"service":"desk","weight":1}]},
	{"name":"once","host":"host","prefix":"/once/","kind":"at_most_once","timeout":"2s","objective":"100ms","attempts":1,"targets":[{"service":"desk","weight":1}]}]}`

// fleet is a few daemons before one store and backend servers, in virtual time.
type fleet struct {
	t       *testing.T
	began   time.Time
	store   *store.Memory
	mu      sync.Mutex // guards daemons and servers
	daemons map[string]*daemon
	servers map[string]*backend // by address
	done    sync.WaitGroup
}

// daemon is one process of an entry VM.
type daemon struct {
	vm             routing.VM
	way            *store.Faulty // to the store
	callers, peers *faultnet.Listener
	kill           context.CancelFunc
	stopped        chan struct{}
	dialer         *http.Transport
}

// inServingFleet runs test before so many daemons.
func inServingFleet(t *testing.T, size int, test func(*fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{t: t, began: time.Now(), store: store.NewMemory(), daemons: map[string]*daemon{}, servers: map[string]*backend{}}
		f.put(feed.OwnConfigKey, fleetConfig)
		for n := range size {
			f.start(n)
		}
		time.Sleep(5 * time.Second)
		defer f.close() // also of a test that fails, or what it left ends the other tests with it
		test(f)
	})
}

// close ends all that runs.
func (f *fleet) close() {
	f.done.Wait()
	for _, d := range f.daemons {
		f.end(d)
	}
	for _, s := range f.servers {
		s.http.Close()
	}
	time.Sleep(time.Minute) // what waits in the background ends
	synctest.Wait()
}

// start begins a process of the nth daemon.
func (f *fleet) start(n int) {
	id := fmt.Sprintf("vm-%d", n)
	d := &daemon{
		vm:  routing.VM{ID: id, Zone: string(rune('a' + n%3)), Address: id + ":1", PeerAddress: id + ":2"},
		way: store.NewFaulty(f.store), callers: faultnet.Pipe(), peers: faultnet.Pipe(), stopped: make(chan struct{}),
		dialer: &http.Transport{DialContext: f.dial, MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Second},
	}
	f.mu.Lock()
	f.daemons[id] = d
	f.mu.Unlock()
	g := New(Options{
		Self: d.vm, Store: storesim.BoundedWatch{Store: d.way, MaxWait: time.Second}, Schema: feed.OwnSchema{}, Codec: forward.DefaultCodec{},
		Clock: func() time.Duration { return time.Since(f.began) + time.Hour }, Log: event.Discard(),
		DynamicOptions: DynamicOptions{
			MaxKeyAge: 5 * time.Second, GracePeriod: 8 * time.Second, Seeds: []string{"vm-0:2", "vm-1:2"},
			RetryBudget:   retrybudget.Policy{Ratio: 0.8, Slack: 150, Window: 10 * time.Second},
			RolloutLimits: rollout.Limits{Share: 0.1, Slack: 50},
		},
		AddressTTL: time.Second, MinLeaseTTL: time.Second,
		Registry: metric.NewCatalogue(), Callers: d.callers, Peers: d.peers,
		Readiness: faultnet.Pipe(), Directory: faultnet.Pipe(), ReadyHandler: readyHandler, DirectoryHandler: directoryHandler,
		DialServer: f.dial, Dialer: link.NewDialerWithClient(&http.Client{Transport: d.dialer}),
	})
	hard, kill := context.WithCancel(f.t.Context())
	d.kill = kill
	go func() {
		defer close(d.stopped)
		_ = g.Run(hard, hard)
	}()
}

// end kills a daemon.
func (f *fleet) end(d *daemon) {
	d.callers.Cut()
	d.peers.Cut()
	d.kill()
	<-d.stopped
	d.dialer.CloseIdleConnections()
}

// restart kills daemons at the same moment and starts them again.
func (f *fleet) restart(daemons ...int) {
	for _, n := range daemons {
		f.end(f.daemons[fmt.Sprintf("vm-%d", n)])
	}
	for _, n := range daemons {
		f.start(n)
	}
}

// storeDown makes the store answer no daemon, or all of them again.
func (f *fleet) storeDown(down bool) {
	for _, d := range f.daemons {
		d.way.SetDown(down)
	}
}

// dial connects to a daemon's peer address or to a backend server.
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

// backend is a server at an address, one process after the other.
type backend struct {
	f        *fleet
	service  string
	address  string
	listener *faultnet.Listener
	http     *http.Server
	mu       sync.Mutex
	life     int
	limit    string // that it names in its answers
	arrived  []arrival
}

// arrival is one request at a server.
type arrival struct {
	at   time.Time
	path string
}

const (
	// crashedEntry is how long the entry of a server that ended stays in the store.
	crashedEntry = 3 * time.Second
	// crashedTime is after what time a server that ended is back.
	crashedTime = 2 * time.Second
	// crashing begins the body of a request that ends whoever runs it.
	crashing = "crash"
)

// serve starts servers of a service.
func (f *fleet) serve(service string, n int) {
	for i := range n {
		s := &backend{f: f, service: service, address: fmt.Sprintf("%s-%d:80", service, i), listener: faultnet.Pipe()}
		s.http = &http.Server{Handler: s}
		f.mu.Lock()
		f.servers[s.address] = s
		f.mu.Unlock()
		go s.http.Serve(s.listener)
		s.register()
	}
	time.Sleep(2 * time.Second)
}

// server is the nth of a service.
func (f *fleet) server(service string, n int) *backend {
	return f.servers[fmt.Sprintf("%s-%d:80", service, n)]
}

func (s *backend) id() string { return fmt.Sprintf("%s.%d", s.address, s.life) }

func (s *backend) register() {
	raw, err := json.Marshal(routing.Server{Service: s.service, Address: s.address, Zone: "a", Slots: 4})
	must.NoError(s.f.t, err)
	s.f.put(feed.OwnServerPrefix+s.id(), string(raw))
}

// crash ends the process, and another starts at its address under another id.
func (s *backend) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	gone := feed.OwnServerPrefix + s.id()
	s.life++
	s.listener.Cut()
	s.f.done.Go(func() {
		time.Sleep(crashedTime)
		s.mu.Lock()
		must.NoError(s.f.t, s.listener.Restore())
		s.register()
		s.mu.Unlock()
		time.Sleep(crashedEntry - crashedTime)
		s.f.remove(gone)
	})
}

// ServeHTTP runs a request: 30 ms of work for a call; for a stream a second of reading and
// twenty events.
func (s *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/status" {
		fmt.Fprint(w, "{}")
		return
	}
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	id, life := s.id(), s.life
	if s.limit != "" {
		w.Header().Set("X-Request-Limit", s.limit)
	}
	s.arrived = append(s.arrived, arrival{time.Now(), r.URL.Path})
	s.mu.Unlock()
	if r.Header.Get("X-Backend-Id") != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	work, events := 30*time.Millisecond, 0
	if s.service == "llm" {
		work, events = time.Second, 20
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	s.mu.Lock()
	same := life == s.life
	s.mu.Unlock()
	if same && strings.HasPrefix(string(body), crashing) {
		s.crash()
		return
	}
	if events == 0 {
		fmt.Fprint(w, "done")
	}
	for n := range events {
		fmt.Fprintf(w, "id: %d\ndata: x\n\n", n+1)
		w.(http.Flusher).Flush()
		time.Sleep(20 * time.Millisecond)
	}
}

// arrivals are those of a path at all servers, after a moment.
func (f *fleet) arrivals(path string, after time.Time) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		s.mu.Lock()
		for _, a := range s.arrived {
			if a.path == path && a.at.After(after) {
				n++
			}
		}
		s.mu.Unlock()
	}
	return n
}

// name sets what a server says of the requests that it takes.
func (s *backend) name(limit string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
}

// most is how many requests reached a server in any span of a length that begins after a
// moment.
func (s *backend) most(span time.Duration, after time.Time) (most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := 0
	for last, a := range s.arrived {
		for a.at.Sub(s.arrived[first].at) >= span || s.arrived[first].at.Before(after) && first < last {
			first++
		}
		if !a.at.Before(after) {
			most = max(most, last-first+1)
		}
	}
	return most
}

// total is how many requests reached a server between two moments.
func (s *backend) total(from, until time.Time) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.arrived {
		if a.at.After(from) && a.at.Before(until) {
			n++
		}
	}
	return n
}

// lives is how many times a server has ended.
func (f *fleet) lives() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		s.mu.Lock()
		n += s.life
		s.mu.Unlock()
	}
	return n
}

// reply is what a caller got.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// ask sends one request to the nth daemon.
func (f *fleet) ask(n int, path, body string) reply {
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
	req.Header.Set("X-Request-Id", fmt.Sprintf("%s-%d", path, time.Now().UnixNano()))
	go req.Write(conn)
	resp, err := http.ReadResponse(bufio.NewReader(conn), req)
	if err != nil {
		return reply{err: err}
	}
	raw, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(raw), err: err}
}
