package once

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/shoenig/test/must"

	"mallowwind.dev/control/membership"
	"mallowwind.dev/control/roster"
	"mallowwind.dev/control/site"
	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/external/plain"
	"mallowwind.dev/external/store"
	"mallowwind.dev/external/vmlist"
	"mallowwind.dev/peer/link"
	"mallowwind.dev/serve/flow"
	"mallowwind.dev/telemetry/event"
)

// cluster holds the daemons of one test and the faults between them. It runs inside a synctest
// bubble, so its time is virtual.
type cluster struct {
	t       testing.TB
	store   *fakeStore
	backend *fakeBackend
	siteMu  sync.RWMutex // guards site, which is replaced as a whole
	site    *site.Site

	mu           sync.Mutex
	daemons      map[string]*daemon
	cutLinks     map[[2]string]bool // links that drop all messages
	incarnations uint64
	replaced     []*daemon // daemons replaced by a newer incarnation on the same VM
}

// daemon is one process: a Service with its own view of the members, which can be paused or
// killed.
type daemon struct {
	*Service
	cluster      *cluster
	id           string
	view         atomic.Pointer[membership.View]
	pauseGate    atomic.Pointer[chan struct{}] // not nil while paused
	dead         atomic.Bool
	shownLeaving atomic.Bool
	cancel       context.CancelFunc
	goroutines   sync.WaitGroup
	flow         fakeFlow
	// handler answers other daemons.
	handler http.Handler
}

func newCluster(t testing.TB, n int) *cluster {
	cl := &cluster{t: t, store: &fakeStore{}, daemons: map[string]*daemon{}, cutLinks: map[[2]string]bool{}}
	cl.backend = &fakeBackend{runs: map[string]int{}}
	cl.site = &site.Site{
		Services: map[string]*site.Service{"desk": {Name: "desk", Kind: site.KindPlain, Deadline: 20 * time.Second}},
		Accounts: map[string]*site.Account{"depot": {Name: "depot"}},
		Limits:   site.DefaultLimits(),
	}
	for i := range n {
		cl.start(fmt.Sprintf("vm%d", i), fmt.Sprintf("z%d", i%3))
	}
	cl.syncViews()
	return cl
}

// Current implements site.Source.
func (cl *cluster) Current() *site.Site {
	cl.siteMu.RLock()
	defer cl.siteMu.RUnlock()
	return cl.site
}

// setRetention replaces the site text by one that keeps keys and answers for these times.
func (cl *cluster) setRetention(keys, answers time.Duration) {
	cl.siteMu.Lock()
	defer cl.siteMu.Unlock()
	next := *cl.site
	next.Limits.KeyTTL, next.Limits.AnswerTTL = keys, answers
	cl.site = &next
}

func (cl *cluster) start(id, zone string) *daemon {
	cl.mu.Lock()
	cl.incarnations++
	d := &daemon{cluster: cl, id: id}
	self := membership.Member{ID: id, Incarnation: cl.incarnations, Zone: zone, PeerAddr: id}
	d.view.Store(&membership.View{Self: self, Members: []membership.Member{self}})
	cl.mu.Unlock()
	faulty := &daemonStore{d: d, inner: cl.store}
	manager := roster.NewManager(faulty, d, event.Discard())
	d.Service = NewService(Deps{
		Members: d, Roster: manager, Site: cl, Flow: &d.flow, Caller: &fakeCaller{d},
		Dialer: link.NewDialerWithClient(&http.Client{Transport: &fakeTransport{d}}),
		Log:    event.Discard(), Registry: prometheus.NewRegistry(), VMs: cl,
	})
	_, d.handler = d.Handler()
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	cl.mu.Lock()
	old := cl.daemons[id]
	cl.daemons[id] = d
	if old != nil {
		cl.replaced = append(cl.replaced, old)
	}
	cl.mu.Unlock()
	if old != nil {
		old.kill()
	}
	d.goroutines.Go(func() { _ = manager.Run(ctx) })
	d.goroutines.Go(func() { _ = d.Run(ctx) })
	return d
}

// Current implements membership.Source.
func (d *daemon) Current() *membership.View { return d.view.Load() }

// syncViews gives every daemon a view of all live ones.
func (cl *cluster) syncViews() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	var members []membership.Member
	for _, d := range cl.daemons {
		if !d.dead.Load() {
			members = append(members, d.member())
		}
	}
	for _, d := range cl.daemons {
		d.view.Store(&membership.View{Self: d.member(), Members: members})
	}
}

// member returns the entry for d in the other daemons' views.
func (d *daemon) member() membership.Member {
	m := d.view.Load().Self
	if d.shownLeaving.Load() {
		m.State = membership.Leaving
	}
	return m
}

// List implements vmlist.Source. The platform lists the VMs of live daemons.
func (cl *cluster) List(context.Context) ([]vmlist.VM, error) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	var out []vmlist.VM
	for id, d := range cl.daemons {
		if !d.dead.Load() {
			out = append(out, vmlist.VM{ID: id, Role: vmlist.RoleEntry})
		}
	}
	return out, nil
}

func (cl *cluster) daemon(id string) *daemon {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.daemons[id]
}

// partition cuts or restores the link between two daemons, in both directions.
func (cl *cluster) partition(a, b string, cut bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.cutLinks[[2]string{a, b}], cl.cutLinks[[2]string{b, a}] = cut, cut
}

// healLinks restores all links.
func (cl *cluster) healLinks() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.cutLinks = map[[2]string]bool{}
}

func (cl *cluster) isCut(a, b string) bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.cutLinks[[2]string{a, b}]
}

// kill ends a daemon immediately: it takes no further action.
func (d *daemon) kill() {
	d.dead.Store(true)
	d.resume()
	d.cancel()
}

// pause freezes a daemon: it neither sends nor answers until resume.
func (d *daemon) pause() {
	gate := make(chan struct{})
	d.pauseGate.CompareAndSwap(nil, &gate)
}

func (d *daemon) resume() {
	if gate := d.pauseGate.Swap(nil); gate != nil {
		close(*gate)
	}
}

var errDead = errors.New("the process is dead")

// waitRunnable is called wherever a daemon interacts with the outside. It blocks while the
// daemon is paused and fails once it is dead.
func (d *daemon) waitRunnable() error {
	for gate := d.pauseGate.Load(); gate != nil; gate = d.pauseGate.Load() {
		<-*gate
	}
	if d.dead.Load() {
		return errDead
	}
	return nil
}

// close stops all daemons and waits for everything they started.
func (cl *cluster) close() {
	all := cl.replaced
	for _, d := range cl.daemons {
		all = append(all, d)
	}
	for _, d := range all {
		d.resume()
		d.cancel()
	}
	cl.store.setDown(false)
	for _, d := range all {
		d.goroutines.Wait()
		d.inFlight.Wait()
		must.EqOp(cl.t, 0, testutil.ToFloat64(d.metrics.violations))
	}
	time.Sleep(10 * time.Second) // lets store reads finish that have no waiter
}

// fakeTransport carries RPCs between daemons without a network.
type fakeTransport struct{ from *daemon }

func (tr *fakeTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := tr.from.waitRunnable(); err != nil {
		return nil, err
	}
	to := tr.from.cluster.daemon(r.URL.Host)
	if to == nil || to.dead.Load() {
		return nil, errors.New("connection refused")
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	answered := make(chan *http.Response, 1)
	go func() { answered <- tr.deliver(to, r, body) }()
	select {
	case response := <-answered:
		if response == nil {
			<-r.Context().Done()
			return nil, r.Context().Err()
		}
		if err := tr.from.waitRunnable(); err != nil {
			return nil, err
		}
		return response, nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

// deliver returns nil if the request or the answer is lost on a cut link, or if the receiver is
// dead.
func (tr *fakeTransport) deliver(to *daemon, r *http.Request, body []byte) *http.Response {
	time.Sleep(time.Millisecond)
	if tr.from.cluster.isCut(tr.from.id, to.id) || to.waitRunnable() != nil {
		return nil
	}
	in := httptest.NewRequestWithContext(r.Context(), r.Method, r.URL.Path, newReader(body))
	in.Header = r.Header
	out := httptest.NewRecorder()
	to.handler.ServeHTTP(out, in)
	time.Sleep(time.Millisecond)
	if tr.from.cluster.isCut(tr.from.id, to.id) || to.waitRunnable() != nil {
		return nil
	}
	return out.Result()
}

// daemonStore is one daemon's access to the shared fakeStore.
type daemonStore struct {
	store.Store
	d     *daemon
	inner *fakeStore
}

func (s *daemonStore) Get(ctx context.Context, key string) (store.KV, error) {
	if err := s.d.waitRunnable(); err != nil {
		return store.KV{}, err
	}
	return s.inner.get(ctx, key)
}

func (s *daemonStore) CompareAndSwap(ctx context.Context, key string, version int64, value []byte, _ store.LeaseID) (int64, error) {
	if err := s.d.waitRunnable(); err != nil {
		return 0, err
	}
	return s.inner.compareAndSwap(ctx, version, value)
}

// fakeStore holds the one key that this package writes.
type fakeStore struct {
	mu                sync.Mutex
	kv                store.KV
	down              bool
	lostConfirmations int // number of next writes whose confirmation is lost
	applyDelay        time.Duration
	writes            int
}

func (s *fakeStore) writeCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *fakeStore) loseConfirmations(n int, late time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostConfirmations, s.applyDelay = n, late
}

func (s *fakeStore) get(_ context.Context, key string) (store.KV, error) {
	time.Sleep(2 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return store.KV{}, store.ErrUnavailable
	}
	if s.kv.Version == 0 {
		return store.KV{}, store.ErrNotFound
	}
	return s.kv, nil
}

func (s *fakeStore) compareAndSwap(_ context.Context, version int64, value []byte) (int64, error) {
	time.Sleep(2 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, store.ErrUnavailable
	}
	if s.lostConfirmations > 0 {
		s.lostConfirmations--
		time.AfterFunc(s.applyDelay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			_, _ = s.apply(version, value)
		})
		return 0, store.ErrUnknown
	}
	return s.apply(version, value)
}

func (s *fakeStore) apply(version int64, value []byte) (int64, error) {
	if s.kv.Version != version {
		return 0, store.ErrConflict
	}
	s.kv = store.KV{Key: roster.Key, Value: value, Version: version + 1}
	s.writes++
	return s.kv.Version, nil
}

// fakeFlow admits every call unless refuse is set.
type fakeFlow struct {
	refuse atomic.Bool
	hold   atomic.Pointer[chan struct{}] // Acquire waits until it is closed
}

func (f *fakeFlow) Acquire(ctx context.Context, _ flow.Request) (flow.Grant, error) {
	if hold := f.hold.Load(); hold != nil {
		<-*hold
	}
	if f.refuse.Load() || ctx.Err() != nil {
		return nil, verdict.New(verdict.NotRun, verdict.CodeOverloaded, "busy").WithRetryAfter(time.Second)
	}
	return grant{}, nil
}

type grant struct{}

func (grant) Backend() flow.Backend       { return flow.Backend{ID: "desk1", Address: "desk1"} }
func (grant) Reason() string              { return "only" }
func (grant) Progress(int, time.Duration) {}
func (grant) Done(flow.Outcome)           {}

// fakeBackend is a plain service that runs every call it receives and counts the runs.
type fakeBackend struct {
	mu          sync.Mutex
	runs        map[string]int
	history     []backendRun
	runDuration time.Duration
	lostAnswers int // number of next calls that run and give no answer
	failedSends int // number of next calls that can't be sent
}

type backendRun struct {
	body string
	at   time.Time
}

func (b *fakeBackend) count(body string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[body]
}

// run is called when the bytes arrive. The run counts even if the caller is gone.
func (b *fakeBackend) run(body string) (answer string, lost, failed bool, takes time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failedSends > 0 {
		b.failedSends--
		return "", false, true, 0
	}
	b.runs[body]++
	b.history = append(b.history, backendRun{body, time.Now()})
	if b.lostAnswers > 0 {
		b.lostAnswers--
		lost = true
	}
	return fmt.Sprintf("%s run %d", body, b.runs[body]), lost, false, b.runDuration
}

// fakeCaller is one daemon's access to the backend server.
type fakeCaller struct{ d *daemon }

func (c *fakeCaller) Do(ctx context.Context, _ string, call plain.Call) (plain.Response, error) {
	// A paused process sends late: between the daemon's last check and the send nothing checks
	// the time.
	if err := c.d.waitRunnable(); err != nil {
		return plain.Response{}, errors.Wrap(plain.ErrNotSent, err.Error())
	}
	answer, lost, failed, takes := c.d.cluster.backend.run(string(call.Body))
	if failed {
		return plain.Response{}, plain.ErrNotSent
	}
	select {
	case <-ctx.Done():
		lost = true
	case <-time.After(takes + time.Millisecond):
	}
	if err := c.d.waitRunnable(); err != nil || lost {
		return plain.Response{}, plain.ErrNoResponse
	}
	return plain.Response{Status: http.StatusOK, Body: []byte(answer)}, nil
}

// showLeaving marks a daemon as leaving in every view.
func (cl *cluster) showLeaving(d *daemon) {
	d.shownLeaving.Store(true)
	cl.syncViews()
}
