package flow

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"mallowwind.dev/control/backends"
	"mallowwind.dev/control/membership"
	"mallowwind.dev/control/site"
	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/telemetry/event"
)

// Config configures a Manager. Site and Backends are required.
type Config struct {
	Location   Location
	Site       site.Source
	Backends   backends.Source
	Members    membership.Source     // nil: this is the only daemon
	Log        *event.Log            // nil: no logging
	Registerer prometheus.Registerer // nil: no metrics
	Seed       uint64                // of random choices
}

// Manager is the Dispatcher of a daemon. It adds a lock, timers and polling to a
// Core.
type Manager struct {
	config   Config
	mu       sync.Mutex
	core     *Core
	site     *site.Site         // last applied
	snapshot *backends.Snapshot // last applied
	view     *membership.View   // last applied
}

var _ Dispatcher = (*Manager)(nil)

// New returns a Manager. Run must be running for limits, health and queues to be
// updated.
func New(config Config) *Manager {
	return &Manager{
		config: config,
		core:   NewCore(config.Location, config.Log, config.Registerer, config.Seed),
	}
}

// tickInterval is how often the queues are examined. It bounds how late a request
// that can no longer start in time is refused.
const tickInterval = 100 * time.Millisecond

// Run keeps the candidates, limits, health and queues up to date until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { m.pollHints(ctx) })
	defer wg.Wait()
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			m.tick()
		}
	}
}

func (m *Manager) tick() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.update(now)
	m.core.Tick(now)
}

// update applies what changed in the sources since the last call. It compares
// pointers only, so that a call without changes is cheap.
func (m *Manager) update(now time.Time) {
	currentSite, snapshot := m.config.Site.Current(), m.config.Backends.Current()
	var view *membership.View
	if m.config.Members != nil {
		view = m.config.Members.Current()
	}
	if currentSite == m.site && snapshot == m.snapshot && view == m.view {
		return
	}
	m.site, m.snapshot, m.view = currentSite, snapshot, view
	fleet := Fleet{AliveCount: 1}
	if view != nil {
		fleet = fleetOf(view, m.config.Location)
	}
	m.core.Update(now, currentSite, snapshot, fleet)
}

// result is the decision that a Sink received.
type result struct {
	lease *Lease
	err   *verdict.Error
}

// chanSink passes the result to the goroutine that waits in Acquire.
type chanSink chan result

// Granted implements Sink.
func (s chanSink) Granted(_ time.Time, l *Lease) { s <- result{lease: l} }

// Refused implements Sink.
func (s chanSink) Refused(_ time.Time, err *verdict.Error) { s <- result{err: err} }

// Acquire implements Dispatcher.
func (m *Manager) Acquire(ctx context.Context, request Request) (Grant, error) {
	sink := make(chanSink, 1)
	m.mu.Lock()
	now := time.Now()
	m.update(now)
	w := m.core.Submit(now, request, sink)
	m.mu.Unlock()
	select {
	case r := <-sink:
		return m.toGrant(r)
	default:
	}
	expire := time.NewTimer(time.Until(w.request.Deadline))
	defer expire.Stop()
	select {
	case r := <-sink:
		return m.toGrant(r)
	case <-expire.C:
		m.mu.Lock()
		m.core.Expire(time.Now(), w)
		m.mu.Unlock()
		return m.toGrant(<-sink)
	case <-ctx.Done():
		return m.cancelWait(ctx, w, sink)
	}
}

// cancelWait ends the wait of a caller whose context ended. A grant given at the
// same moment is released unused: nothing was sent to the backend server, so the
// error correctly says not_run.
func (m *Manager) cancelWait(ctx context.Context, w *Waiter, sink chanSink) (Grant, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.core.Cancel(w) {
		if r := <-sink; r.lease != nil {
			r.lease.Done(time.Now(), Outcome{Cancelled: true})
		}
	}
	return nil, verdict.New(verdict.NotRun, verdict.CodeDeadlineExceeded,
		"the caller left before a backend server was free").WithCause(ctx.Err())
}

func (m *Manager) toGrant(r result) (Grant, error) {
	if r.err != nil {
		return nil, r.err
	}
	return &lockedLease{manager: m, lease: r.lease}, nil
}

// lockedLease is a Lease that is safe for concurrent use.
type lockedLease struct {
	manager *Manager
	lease   *Lease
}

// Backend implements Grant.
func (l *lockedLease) Backend() Backend {
	l.manager.mu.Lock()
	defer l.manager.mu.Unlock()
	return l.lease.Backend()
}

// Reason implements Grant.
func (l *lockedLease) Reason() string { return string(l.lease.Reason()) }

// Progress implements Grant.
func (l *lockedLease) Progress(n int, gap time.Duration) {
	l.manager.mu.Lock()
	defer l.manager.mu.Unlock()
	l.lease.Progress(time.Now(), n, gap)
}

// Done implements Grant.
func (l *lockedLease) Done(o Outcome) {
	l.manager.mu.Lock()
	defer l.manager.mu.Unlock()
	l.lease.Done(time.Now(), o)
}
