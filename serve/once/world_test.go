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

// world holds the daemons of one test and the faults between them. It runs
// inside a synctest bubble, so its time is virtual.
type world struct {
	t       testing.TB
	store   *fakeStore
	backend *backend
	siteMu  sync.RWMutex // guards site, which is replaced whole
	site    *site.Site

	mu      sync.Mutex
	daemons map[string]*daemon
	cut     map[[2]string]bool // links that drop everything
	started uint64
	graves  []*daemon // replaced ones
}

// daemon is one process: a Service with its own view, which can pause or die.
type daemon struct {
	*Service
	w        *world
	id       string
	view     atomic.Pointer[membership.View]
	gate     atomic.Pointer[chan struct{}] // not nil while paused
	dead     atomic.Bool
	retiring atomic.Bool
	cancel   context.CancelFunc
	done     sync.WaitGroup
	flow     fakeFlow
	// handler answers other daemons.
	handler http.Handler
}

func newWorld(t testing.TB, n int) *world {
	w := &world{t: t, store: &fakeStore{}, daemons: map[string]*daemon{}, cut: map[[2]string]bool{}}
	w.backend = &backend{runs: map[string]int{}}
	w.site = &site.Site{
		Services: map[string]*site.Service{"desk": {Name: "desk", Kind: site.KindPlain, Deadline: 20 * time.Second}},
		Accounts: map[string]*site.Account{"depot": {Name: "depot"}},
		Limits:   site.DefaultLimits(),
	}
	for i := range n {
		w.start(fmt.Sprintf("vm%d", i), fmt.Sprintf("z%d", i%3))
	}
	w.agree()
	return w
}

// Current implements site.Source.
func (w *world) Current() *site.Site {
	w.siteMu.RLock()
	defer w.siteMu.RUnlock()
	return w.site
}

// retain puts a text in force that keeps keys and answers this long.
func (w *world) retain(keys, answers time.Duration) {
	w.siteMu.Lock()
	defer w.siteMu.Unlock()
	next := *w.site
	next.Limits.KeyTTL, next.Limits.AnswerTTL = keys, answers
	w.site = &next
}

func (w *world) start(id, zone string) *daemon {
	w.mu.Lock()
	w.started++
	d := &daemon{w: w, id: id}
	self := membership.Member{ID: id, Incarnation: w.started, Zone: zone, PeerAddr: id}
	d.view.Store(&membership.View{Self: self, Members: []membership.Member{self}})
	w.mu.Unlock()
	faulty := &faultyStore{d: d, inner: w.store}
	manager := roster.NewManager(faulty, d, event.Discard())
	d.Service = NewService(Deps{
		Members: d, Roster: manager, Site: w, Flow: &d.flow, Caller: &caller{d},
		Dialer: link.NewDialerWithClient(&http.Client{Transport: &transport{d}}),
		Log:    event.Discard(), Registry: prometheus.NewRegistry(), VMs: w,
	})
	_, d.handler = d.Handler()
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	w.mu.Lock()
	old := w.daemons[id]
	w.daemons[id] = d
	if old != nil {
		w.graves = append(w.graves, old)
	}
	w.mu.Unlock()
	if old != nil {
		old.kill()
	}
	d.done.Go(func() { _ = manager.Run(ctx) })
	d.done.Go(func() { _ = d.Run(ctx) })
	return d
}

// Current implements membership.Source.
func (d *daemon) Current() *membership.View { return d.view.Load() }

// agree gives every live daemon a view of all live ones.
func (w *world) agree() {
	w.mu.Lock()
	defer w.mu.Unlock()
	var members []membership.Member
	for _, d := range w.daemons {
		if !d.dead.Load() {
			members = append(members, d.member())
		}
	}
	for _, d := range w.daemons {
		d.view.Store(&membership.View{Self: d.member(), Members: members})
	}
}

// member is how the others should see d.
func (d *daemon) member() membership.Member {
	m := d.view.Load().Self
	if d.retiring.Load() {
		m.State = membership.Leaving
	}
	return m
}

// List implements vmlist.Source: the platform lists live VMs.
func (w *world) List(context.Context) ([]vmlist.VM, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []vmlist.VM
	for id, d := range w.daemons {
		if !d.dead.Load() {
			out = append(out, vmlist.VM{ID: id, Role: vmlist.RoleEntry})
		}
	}
	return out, nil
}

func (w *world) daemon(id string) *daemon {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.daemons[id]
}

// partition cuts or mends the link between two daemons, in both directions.
func (w *world) partition(a, b string, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[[2]string{a, b}], w.cut[[2]string{b, a}] = cut, cut
}

// mend mends all links.
func (w *world) mend() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = map[[2]string]bool{}
}

func (w *world) isCut(a, b string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut[[2]string{a, b}]
}

// kill ends a daemon at once: nothing of it acts any more.
func (d *daemon) kill() {
	d.dead.Store(true)
	d.resume()
	d.cancel()
}

// pause freezes a daemon: it neither sends nor answers until resume.
func (d *daemon) pause() {
	gate := make(chan struct{})
	d.gate.CompareAndSwap(nil, &gate)
}

func (d *daemon) resume() {
	if gate := d.gate.Swap(nil); gate != nil {
		close(*gate)
	}
}

var errDead = errors.New("the process is dead")

// pass is called wherever a daemon acts on the outside: it blocks while the
// daemon is paused and fails once it is dead.
func (d *daemon) pass() error {
	for gate := d.gate.Load(); gate != nil; gate = d.gate.Load() {
		<-*gate
	}
	if d.dead.Load() {
		return errDead
	}
	return nil
}

// close ends all daemons and waits for everything they started.
func (w *world) close() {
	all := w.graves
	for _, d := range w.daemons {
		all = append(all, d)
	}
	for _, d := range all {
		d.resume()
		d.cancel()
	}
	w.store.setDown(false)
	for _, d := range all {
		d.done.Wait()
		d.work.Wait()
		must.EqOp(w.t, 0, testutil.ToFloat64(d.metrics.violations))
	}
	time.Sleep(10 * time.Second) // reads of the store that nobody waits for
}

// transport carries calls between daemons without a network.
type transport struct{ from *daemon }

func (tr *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := tr.from.pass(); err != nil {
		return nil, err
	}
	to := tr.from.w.daemon(r.URL.Host)
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
		if err := tr.from.pass(); err != nil {
			return nil, err
		}
		return response, nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

// deliver returns nil when request or answer got lost on a cut link.
func (tr *transport) deliver(to *daemon, r *http.Request, body []byte) *http.Response {
	time.Sleep(time.Millisecond)
	if tr.from.w.isCut(tr.from.id, to.id) || to.pass() != nil {
		return nil
	}
	in := httptest.NewRequestWithContext(r.Context(), r.Method, r.URL.Path, newReader(body))
	in.Header = r.Header
	out := httptest.NewRecorder()
	to.handler.ServeHTTP(out, in)
	time.Sleep(time.Millisecond)
	if tr.from.w.isCut(tr.from.id, to.id) || to.pass() != nil {
		return nil
	}
	return out.Result()
}

// faultyStore is one daemon's way to the store.
type faultyStore struct {
	store.Store
	d     *daemon
	inner *fakeStore
}

func (s *faultyStore) Get(ctx context.Context, key string) (store.KV, error) {
	if err := s.d.pass(); err != nil {
		return store.KV{}, err
	}
	return s.inner.get(ctx, key)
}

func (s *faultyStore) CompareAndSwap(ctx context.Context, key string, version int64, value []byte, _ store.LeaseID) (int64, error) {
	if err := s.d.pass(); err != nil {
		return 0, err
	}
	return s.inner.swap(ctx, version, value)
}

// fakeStore holds the one key that this package writes.
type fakeStore struct {
	mu      sync.Mutex
	kv      store.KV
	down    bool
	unknown int // so many next writes lose their confirmation
	late    time.Duration
	writes  int
}

func (s *fakeStore) written() int {
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
	s.unknown, s.late = n, late
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

func (s *fakeStore) swap(_ context.Context, version int64, value []byte) (int64, error) {
	time.Sleep(2 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, store.ErrUnavailable
	}
	if s.unknown > 0 {
		s.unknown--
		time.AfterFunc(s.late, func() {
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

// fakeFlow admits everything unless told otherwise.
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

// backend is a plain service that runs whatever reaches it and keeps count.
type backend struct {
	mu       sync.Mutex
	runs     map[string]int
	history  []runAt
	takes    time.Duration
	loseNext int // so many next calls run and give no answer
	failNext int // so many next calls can't be sent
}

type runAt struct {
	body string
	at   time.Time
}

func (b *backend) count(body string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[body]
}

// run is called when the bytes arrive; it counts even if the caller is gone.
func (b *backend) run(body string) (answer string, lost, failed bool, takes time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failNext > 0 {
		b.failNext--
		return "", false, true, 0
	}
	b.runs[body]++
	b.history = append(b.history, runAt{body, time.Now()})
	if b.loseNext > 0 {
		b.loseNext--
		lost = true
	}
	return fmt.Sprintf("%s run %d", body, b.runs[body]), lost, false, b.takes
}

// caller is one daemon's way to the backend server.
type caller struct{ d *daemon }

func (c *caller) Do(ctx context.Context, _ string, call plain.Call) (plain.Response, error) {
	// A paused process sends late: nothing between the check and the send looks
	// at a clock.
	if err := c.d.pass(); err != nil {
		return plain.Response{}, errors.Wrap(plain.ErrNotSent, err.Error())
	}
	answer, lost, failed, takes := c.d.w.backend.run(string(call.Body))
	if failed {
		return plain.Response{}, plain.ErrNotSent
	}
	select {
	case <-ctx.Done():
		lost = true
	case <-time.After(takes + time.Millisecond):
	}
	if err := c.d.pass(); err != nil || lost {
		return plain.Response{}, plain.ErrNoResponse
	}
	return plain.Response{Status: http.StatusOK, Body: []byte(answer)}, nil
}

// leave shows a daemon as leaving in every view.
func (w *world) leave(d *daemon) {
	d.retiring.Store(true)
	w.agree()
}
