package generation

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"mallowwind.dev/control/membership"
	"mallowwind.dev/control/site"
	"mallowwind.dev/decision/epochs"
	"mallowwind.dev/decision/resume"
	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/peer/link"
	"mallowwind.dev/peer/peerpb"
	"mallowwind.dev/serve/flow"
	"mallowwind.dev/serve/journal"
	"mallowwind.dev/telemetry/event"
)

const (
	// sweepEvery is how often idle and old generations are looked for.
	sweepEvery = time.Second
	// linger is how long a generation that nobody reads runs on. Callers whose
	// connection broke come back within seconds; after that the accelerator is
	// better used elsewhere.
	linger = 30 * time.Second
	// keepGaps is how long the gaps of an engine not seen any more are kept.
	keepGaps = 10 * time.Minute
	// journalBytes bounds the copies held for other entry VMs.
	journalBytes = 256 << 20
)

// Config names what a Manager works with.
type Config struct {
	Site       site.Source
	Members    membership.Source
	Dispatcher flow.Dispatcher
	Dialer     *link.Dialer
	Log        *event.Log
	Metrics    prometheus.Registerer
	// Linger overrides how long an unread generation runs on; 0 means the default.
	Linger time.Duration
	// Policy overrides the resume policy of services; nil means the default.
	Policy func(*site.Service) resume.Policy
	// ChooseVersion returns a service with the version that a new request runs with,
	// none of those in except where another is ready; nil means the one that the
	// site text names.
	ChooseVersion func(s *site.Service, except ...string) *site.Service
	// NotReady is told of a backend server that did not have the version which
	// this daemon took it to have ready; it must not block. nil means nobody is.
	NotReady func(backend string)
}

// Manager owns the generations of one daemon and the copies it holds for
// others. It is safe for concurrent use.
type Manager struct {
	site    site.Source
	members membership.Source
	flow    flow.Dispatcher
	dialer  *link.Dialer
	log     *event.Log
	metrics *metrics
	linger  time.Duration
	watch   *watch
	holder  *journal.Holder
	appends *journal.Batcher
	policy  func(*site.Service) resume.Policy
	version func(s *site.Service, except ...string) *site.Service
	unready func(backend string)

	base context.Context // parent of all loops
	stop context.CancelFunc
	wg   sync.WaitGroup

	mu    sync.Mutex
	owned map[string]*Generation
	ended map[string]time.Time
}

// NewManager returns a Manager; Run must be called for it to clean up after itself.
func NewManager(c Config) *Manager {
	m := &Manager{
		site:    c.Site,
		members: c.Members,
		flow:    c.Dispatcher,
		dialer:  c.Dialer,
		log:     c.Log,
		metrics: newMetrics(c.Metrics),
		linger:  c.Linger,
		watch:   newWatch(),
		policy:  c.Policy,
		version: c.ChooseVersion,
		unready: c.NotReady,
		owned:   make(map[string]*Generation),
		ended:   make(map[string]time.Time),
	}
	if m.linger == 0 {
		m.linger = linger
	}
	if m.policy == nil {
		m.policy = func(s *site.Service) resume.Policy { return resume.PolicyForService(s.LatencyWeight, s.Deadline) }
	}
	if m.version == nil {
		m.version = func(s *site.Service, _ ...string) *site.Service { return s }
	}
	if m.unready == nil {
		m.unready = func(string) {}
	}
	m.appends = journal.NewBatcher(m.sendAppends)
	m.holder = journal.NewHolder(journal.Limits{Bytes: journalBytes, TTL: m.answerTTL}, randomEpoch)
	m.base, m.stop = context.WithCancel(context.Background())
	return m
}

// answerTTL is how long a finished answer is still owed to its caller.
func (m *Manager) answerTTL() time.Duration {
	if s := m.site.Current(); s != nil && s.Limits.AnswerTTL > 0 {
		return s.Limits.AnswerTTL
	}
	return site.DefaultLimits().AnswerTTL
}

// Run cleans up until ctx ends; then it stops all loops and waits for them.
func (m *Manager) Run(ctx context.Context) error {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			m.sweep(now)
		case <-ctx.Done():
			m.stop()
			m.wg.Wait()
			return nil
		}
	}
}

// RunningCount returns the number of generations that are not at their end.
func (m *Manager) RunningCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.owned) - len(m.ended)
}

// sweep cancels generations nobody reads and forgets answers no longer owed.
func (m *Manager) sweep(now time.Time) {
	ttl := m.answerTTL()
	m.mu.Lock()
	for id, g := range m.owned {
		if at, over := m.ended[id]; over {
			if now.Sub(at) >= ttl {
				delete(m.owned, id)
				delete(m.ended, id)
			}
			continue
		}
		if g.idle(now) >= m.linger {
			g.cancel()
		}
	}
	m.mu.Unlock()
	m.holder.Expire(now)
	copies, held := m.holder.Size()
	m.metrics.copies.Set(float64(copies))
	m.metrics.copyBytes.Set(float64(held))
	m.watch.forget(now.Add(-keepGaps))
}

// Submit starts a generation, or finds the one that the same key began on any
// entry VM. It chooses the version that a new one runs with. The returned Handle reads it from its first token.
func (m *Manager) Submit(ctx context.Context, spec *Spec) (*Handle, error) {
	spec.Service = m.version(spec.Service)
	spec.assignID(m.members.Current().Self.ID)
	if spec.IdempotencyKey == "" {
		g := m.start(spec, m.firstLine(0))
		return m.handle(spec, g), nil
	}
	if g := m.local(spec.ID); g != nil {
		return m.again(g, spec)
	}
	found, err := m.locate(ctx, spec.ID, nil)
	if err != nil {
		return nil, err
	}
	if found.known() {
		if !bytes.Equal(found.digest, spec.digest()) {
			return nil, errKeyReused()
		}
		return m.handle(spec, nil), nil
	}
	return m.begun(m.start(spec, m.firstLine(found.epoch)), spec)
}

// begun returns a Handle on g unless it was begun with another body.
func (m *Manager) begun(g *Generation, spec *Spec) (*Handle, error) {
	if !bytes.Equal(g.spec.digest(), spec.digest()) {
		return nil, errKeyReused()
	}
	return m.handle(spec, g), nil
}

// again serves a request whose key this daemon already knows.
func (m *Manager) again(g *Generation, spec *Spec) (*Handle, error) {
	if !bytes.Equal(g.spec.digest(), spec.digest()) {
		return nil, errKeyReused()
	}
	s := g.state()
	if s.failure != nil {
		// What was released of a failed answer is abandoned with it: the new
		// generation has a new epoch, so nobody can join the two.
		g = m.start(spec, m.firstLine(s.epoch))
	}
	return m.begun(g, spec)
}

func errKeyReused() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeKeyReused,
		"this Idempotency-Key was used with another body; use a new key for a new request")
}

// firstLine begins the history of a generation whose id had epochs up to after.
func (m *Manager) firstLine(after epochs.Epoch) epochs.History {
	return epochs.History{{Epoch: after.Next(randomEpoch()), Owner: m.members.Current().Self.ID}}
}

// start registers a new generation and runs its loop.
func (m *Manager) start(spec *Spec, line epochs.History) *Generation {
	m.mu.Lock()
	defer m.mu.Unlock()
	if g := m.owned[spec.ID]; g != nil && g.serves() {
		return g // another request with the same key was faster
	}
	g := newGeneration(spec, line, nil, "")
	m.runLocked(g, line, nil)
	m.metrics.started.Inc()
	m.log.Emit(event.GenerationStarted, spec.ID, spec.Account.Name, spec.Service.Name)
	return g
}

// runLocked starts the loop of g; m.mu is held.
func (m *Manager) runLocked(g *Generation, line epochs.History, reattach *peerpb.Attempt) {
	ctx, cancel := context.WithCancel(m.base)
	g.cancel = cancel
	l := newLoop(m, g, line, g.tokens, g.finish)
	m.owned[g.spec.ID] = g
	delete(m.ended, g.spec.ID)
	m.wg.Go(func() {
		defer cancel()
		l.run(ctx, reattach)
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.owned[g.spec.ID] == g {
			m.ended[g.spec.ID] = time.Now()
		}
	})
}

// local returns the generation if this daemon owns it.
func (m *Manager) local(id string) *Generation {
	m.mu.Lock()
	defer m.mu.Unlock()
	g := m.owned[id]
	if g == nil || g.state().fenced {
		return nil
	}
	return g
}

// adopt registers a generation taken over from a copy and goes on with it.
func (m *Manager) adopt(c journal.Copy) *Generation {
	m.mu.Lock()
	defer m.mu.Unlock()
	if g := m.owned[c.Spec.GetId()]; g != nil && g.serves() && g.state().epoch.OwnerCount() >= c.History.Epoch().OwnerCount() {
		return g
	}
	spec := specFromWire(c.Spec, m.site.Current())
	g := newGeneration(spec, c.History, c.Tokens, finishOf(c.Finish))
	m.runLocked(g, c.History, c.Attempt)
	m.metrics.adopted.Inc()
	from := ""
	if n := len(c.History); n > 1 {
		from = c.History[n-2].Owner
	}
	m.log.Emit(event.GenerationAdopted, spec.ID, from, uint64(c.History.Epoch()), len(c.Tokens))
	return g
}
