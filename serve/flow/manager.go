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

// Config holds what a Manager needs. Site and Backends are required.
type Config struct {
	Location   Location
	Site       site.Source
	Backends   backends.Source
	Members    membership.Source     // nil: this daemon is the only one
	Log        *event.Log            // nil: no log
	Registerer prometheus.Registerer // nil: no metrics
	Seed       uint64                // of the random choices
}

// Manager is the Dispatcher of a daemon.
type Manager struct {
	config Config
	mu     sync.Mutex
	core   *Core
	site   *site.Site         // last taken in
	snap   *backends.Snapshot // last taken in
	view   *membership.View   // last taken in
}

var _ Dispatcher = (*Manager)(nil)

// New returns a Manager. Run must be going for limits, health and queues to move.
func New(config Config) *Manager {
	return &Manager{
		config: config,
		core:   NewCore(config.Location, config.Log, config.Registerer, config.Seed),
	}
}

// tickEvery is how often queues are examined; a hopeless request hears of it
// at most this much later.
const tickEvery = 100 * time.Millisecond

// Run keeps the candidates, limits, health and queues current until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	var polls sync.WaitGroup
	polls.Go(func() { m.pollHints(ctx) })
	defer polls.Wait()
	t := time.NewTicker(tickEvery)
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

// update takes in what changed in the sources since the last call. Pointers
// are compared, so that it costs nothing when nothing changed.
func (m *Manager) update(now time.Time) {
	st, snap := m.config.Site.Current(), m.config.Backends.Current()
	var view *membership.View
	if m.config.Members != nil {
		view = m.config.Members.Current()
	}
	if st == m.site && snap == m.snap && view == m.view {
		return
	}
	m.site, m.snap, m.view = st, snap, view
	fleet := Fleet{AliveCount: 1}
	if view != nil {
		fleet = fleetOf(view, m.config.Location)
	}
	m.core.Update(now, st, snap, fleet)
}

// result is what a Sink received.
type result struct {
	lease *Lease
	err   *verdict.Error
}

// waitSink passes a result to the goroutine that waits in Acquire.
type waitSink chan result

// Granted implements Sink.
func (s waitSink) Granted(_ time.Time, l *Lease) { s <- result{lease: l} }

// Refused implements Sink.
func (s waitSink) Refused(_ time.Time, err *verdict.Error) { s <- result{err: err} }

// Acquire implements Dispatcher.
func (m *Manager) Acquire(ctx context.Context, ask Request) (Grant, error) {
	sink := make(waitSink, 1)
	m.mu.Lock()
	now := time.Now()
	m.update(now)
	w := m.core.Submit(now, ask, sink)
	m.mu.Unlock()
	select {
	case r := <-sink:
		return m.grant(r)
	default:
	}
	expire := time.NewTimer(time.Until(w.ask.Deadline))
	defer expire.Stop()
	select {
	case r := <-sink:
		return m.grant(r)
	case <-expire.C:
		m.mu.Lock()
		m.core.Expire(time.Now(), w)
		m.mu.Unlock()
		return m.grant(<-sink)
	case <-ctx.Done():
		return m.abandon(ctx, w, sink)
	}
}

// abandon ends the wait of a caller that left. When the grant was given at the
// same moment it is returned unused: nothing was sent, so nothing ran.
func (m *Manager) abandon(ctx context.Context, w *Waiter, sink waitSink) (Grant, error) {
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

func (m *Manager) grant(r result) (Grant, error) {
	if r.err != nil {
		return nil, r.err
	}
	return &lockedLease{manager: m, lease: r.lease}, nil
}

// lockedLease is a Lease used by many goroutines.
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
