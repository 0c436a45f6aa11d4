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
	// sweepInterval is how often idle and expired generations are removed.
	sweepInterval = time.Second
	// defaultLinger is how long a generation without readers runs on. Callers whose
	// connection broke reconnect within seconds; after that the accelerator is better
	// used for other work.
	defaultLinger = 30 * time.Second
	// gapRetention is how long the gap estimates of an engine are kept after the last
	// observed gap.
	gapRetention = 10 * time.Minute
	// maxJournalBytes bounds the copies held for other entry VMs.
	maxJournalBytes = 256 << 20
)

// Config configures a Manager.
type Config struct {
	Site       site.Source
	Members    membership.Source
	Dispatcher flow.Dispatcher
	Dialer     *link.Dialer
	Log        *event.Log
	Metrics    prometheus.Registerer
	// Linger overrides how long a generation without readers runs on; 0 means the
	// default.
	Linger time.Duration
	// Policy overrides the resume policies of services; nil means the default.
	Policy func(*site.Service) resume.Policy
	// ChooseVersion returns a service with the version that a new request uses. It
	// returns a version in except only if no other is ready. nil means the version
	// that the site names.
	ChooseVersion func(s *site.Service, except ...string) *site.Service
	// NotReady is called with the id of a backend server that refused an attempt
	// because it does not have the version ready. It must not block; it may be nil.
	NotReady func(backend string)
}

// Manager manages the generations that one daemon owns and the copies that it holds
// for others. It is safe for concurrent use.
type Manager struct {
	site          site.Source
	members       membership.Source
	dispatcher    flow.Dispatcher
	dialer        *link.Dialer
	log           *event.Log
	metrics       *metrics
	linger        time.Duration
	monitor       *streamMonitor
	holder        *journal.Holder
	appends       *journal.Batcher
	policy        func(*site.Service) resume.Policy
	chooseVersion func(s *site.Service, except ...string) *site.Service
	notReady      func(backend string)

	base context.Context // parent of all loops
	stop context.CancelFunc
	wg   sync.WaitGroup

	mu          sync.Mutex
	generations map[string]*Generation
	endedAt     map[string]time.Time
}

// NewManager returns a Manager. Run must be called for it to remove idle and
// expired generations.
func NewManager(c Config) *Manager {
	m := &Manager{
		site:          c.Site,
		members:       c.Members,
		dispatcher:    c.Dispatcher,
		dialer:        c.Dialer,
		log:           c.Log,
		metrics:       newMetrics(c.Metrics),
		linger:        c.Linger,
		monitor:       newStreamMonitor(),
		policy:        c.Policy,
		chooseVersion: c.ChooseVersion,
		notReady:      c.NotReady,
		generations:   make(map[string]*Generation),
		endedAt:       make(map[string]time.Time),
	}
	if m.linger == 0 {
		m.linger = defaultLinger
	}
	if m.policy == nil {
		m.policy = func(s *site.Service) resume.Policy { return resume.PolicyForService(s.LatencyWeight, s.Deadline) }
	}
	if m.chooseVersion == nil {
		m.chooseVersion = func(s *site.Service, _ ...string) *site.Service { return s }
	}
	if m.notReady == nil {
		m.notReady = func(string) {}
	}
	m.appends = journal.NewBatcher(m.sendAppends)
	m.holder = journal.NewHolder(journal.Limits{Bytes: maxJournalBytes, TTL: m.answerTTL}, randomEpoch)
	m.base, m.stop = context.WithCancel(context.Background())
	return m
}

// answerTTL returns how long a finished answer is kept for its caller.
func (m *Manager) answerTTL() time.Duration {
	if s := m.site.Current(); s != nil && s.Limits.AnswerTTL > 0 {
		return s.Limits.AnswerTTL
	}
	return site.DefaultLimits().AnswerTTL
}

// Run removes idle and expired generations until ctx ends. It then stops all loops
// and waits for them.
func (m *Manager) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			m.sweep(now)
		case <-ctx.Done():
			m.stop()
			m.wg.Wait()
			return nil
		}
	}
}

// RunningCount returns the number of generations that have not ended.
func (m *Manager) RunningCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.generations) - len(m.endedAt)
}

// sweep cancels generations without readers and removes expired answers and copies.
func (m *Manager) sweep(now time.Time) {
	ttl := m.answerTTL()
	m.mu.Lock()
	for id, g := range m.generations {
		if at, ended := m.endedAt[id]; ended {
			if now.Sub(at) >= ttl {
				delete(m.generations, id)
				delete(m.endedAt, id)
			}
			continue
		}
		if g.idleTime(now) >= m.linger {
			g.cancel()
		}
	}
	m.mu.Unlock()
	m.holder.Expire(now)
	copies, heldBytes := m.holder.Size()
	m.metrics.copies.Set(float64(copies))
	m.metrics.copyBytes.Set(float64(heldBytes))
	m.monitor.forget(now.Add(-gapRetention))
}

// Submit starts a generation, or finds the one that was started with the same key on
// any entry VM. It chooses the version that a new generation uses and sets the id of
// spec. The returned Handle reads the generation from its first token.
func (m *Manager) Submit(ctx context.Context, spec *Spec) (*Handle, error) {
	spec.Service = m.chooseVersion(spec.Service)
	spec.assignID(m.members.Current().Self.ID)
	if spec.IdempotencyKey == "" {
		g := m.startGeneration(spec, m.newHistory(0))
		return m.newHandle(spec, g), nil
	}
	if g := m.localGeneration(spec.ID); g != nil {
		return m.attachExisting(g, spec)
	}
	result, err := m.locate(ctx, spec.ID, nil)
	if err != nil {
		return nil, err
	}
	if result.isKnown() {
		if !bytes.Equal(result.bodyDigest, spec.digest()) {
			return nil, errKeyReused()
		}
		return m.newHandle(spec, nil), nil
	}
	return m.handleIfSameBody(m.startGeneration(spec, m.newHistory(result.epoch)), spec)
}

// handleIfSameBody returns a Handle for g, or an error if g was started with another
// body.
func (m *Manager) handleIfSameBody(g *Generation, spec *Spec) (*Handle, error) {
	if !bytes.Equal(g.spec.digest(), spec.digest()) {
		return nil, errKeyReused()
	}
	return m.newHandle(spec, g), nil
}

// attachExisting serves a request whose key was already used for g. If g failed, it
// starts a new generation.
func (m *Manager) attachExisting(g *Generation, spec *Spec) (*Handle, error) {
	if !bytes.Equal(g.spec.digest(), spec.digest()) {
		return nil, errKeyReused()
	}
	s := g.state()
	if s.failure != nil {
		// The tokens released by the failed generation are discarded. The new one has
		// a new epoch, so no caller can continue the old tokens with it.
		g = m.startGeneration(spec, m.newHistory(s.epoch))
	}
	return m.handleIfSameBody(g, spec)
}

func errKeyReused() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeKeyReused,
		"this Idempotency-Key was used with another body; use a new key for a new request")
}

// newHistory returns the history of a new generation whose id had epochs up to
// previous.
func (m *Manager) newHistory(previous epochs.Epoch) epochs.History {
	return epochs.History{{Epoch: previous.Next(randomEpoch()), Owner: m.members.Current().Self.ID}}
}

// startGeneration registers a new generation and runs its loop.
func (m *Manager) startGeneration(spec *Spec, history epochs.History) *Generation {
	m.mu.Lock()
	defer m.mu.Unlock()
	if g := m.generations[spec.ID]; g != nil && g.isReadable() {
		return g // started meanwhile by another request with the same key
	}
	g := newGeneration(spec, history, nil, "")
	m.runLocked(g, history, nil)
	m.metrics.started.Inc()
	m.log.Emit(event.GenerationStarted, spec.ID, spec.Account.Name, spec.Service.Name)
	return g
}

// runLocked starts the loop of g. m.mu must be held.
func (m *Manager) runLocked(g *Generation, history epochs.History, reattach *peerpb.Attempt) {
	ctx, cancel := context.WithCancel(m.base)
	g.cancel = cancel
	l := newLoop(m, g, history, g.tokens, g.finish)
	m.generations[g.spec.ID] = g
	delete(m.endedAt, g.spec.ID)
	m.wg.Go(func() {
		defer cancel()
		l.run(ctx, reattach)
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.generations[g.spec.ID] == g {
			m.endedAt[g.spec.ID] = time.Now()
		}
	})
}

// localGeneration returns the generation if this daemon owns it, nil otherwise.
func (m *Manager) localGeneration(id string) *Generation {
	m.mu.Lock()
	defer m.mu.Unlock()
	g := m.generations[id]
	if g == nil || g.state().fenced {
		return nil
	}
	return g
}

// adopt registers a generation taken over from a copy and continues it.
func (m *Manager) adopt(c journal.Copy) *Generation {
	m.mu.Lock()
	defer m.mu.Unlock()
	if g := m.generations[c.Spec.GetId()]; g != nil && g.isReadable() && g.state().epoch.OwnerCount() >= c.History.Epoch().OwnerCount() {
		return g
	}
	spec := specFromWire(c.Spec, m.site.Current())
	g := newGeneration(spec, c.History, c.Tokens, finishReason(c.Finish))
	m.runLocked(g, c.History, c.Attempt)
	m.metrics.adopted.Inc()
	previousOwner := ""
	if n := len(c.History); n > 1 {
		previousOwner = c.History[n-2].Owner
	}
	m.log.Emit(event.GenerationAdopted, spec.ID, previousOwner, uint64(c.History.Epoch()), len(c.Tokens))
	return g
}
