package enginesim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/external/engine"
)

// Sim is one simulated engine. It is safe for concurrent use.
type Sim struct {
	config Config
	closed context.Context // done after Close
	close  context.CancelFunc

	mu          sync.Mutex
	random      *rand.Rand
	incarnation int
	generations map[attemptKey]*generation
	tombstones  map[string]tombstone // highest cancelled attempt by generation
	queue       []*generation        // waiting; the next to run comes first
	batch       []*generation        // running
	arrivals    uint64
	stepping    bool // whether the step loop is running
	cache       *promptCache
	weights     weightSet
	loadHistory loadSampler
	stats       Stats
	lastSweep   time.Time

	crashed  bool
	paused   bool
	refusing bool
	slowdown float64
	resumed  chan struct{} // closed by Unpause and Crash
}

var _ engine.Engine = (*Sim)(nil)

type tombstone struct {
	attempt    uint64
	recordedAt time.Time
}

// New returns a running engine. It runs goroutines only while it has work or loads weights;
// Close ends them.
func New(config Config) *Sim {
	config = config.WithDefaults()
	random := rand.New(rand.NewPCG(config.Seed, config.Seed^0x9e3779b97f4a7c15))
	closed, cancel := context.WithCancel(context.Background())
	s := &Sim{
		config:      config,
		closed:      closed,
		close:       cancel,
		random:      random,
		incarnation: 1,
		generations: make(map[attemptKey]*generation),
		tombstones:  make(map[string]tombstone),
		cache:       newCache(config, random),
		slowdown:    1,
		lastSweep:   time.Now(),
	}
	s.weights.role = engine.RoleMixed
	for _, ref := range config.Models {
		s.weights.set(ref, engine.Ready)
	}
	return s
}

// Generate implements engine.Engine.
func (s *Sim) Generate(ctx context.Context, req engine.Request) (engine.Stream, error) {
	if err := s.beginCall(ctx); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	if err := s.checkAdmission(req); err != nil {
		s.stats.Refused++
		return nil, err
	}
	s.stats.Started++
	s.arrivals++
	g := newGeneration(req, rand.New(rand.NewPCG(s.random.Uint64(), s.random.Uint64())))
	g.arrival = s.arrivals
	s.generations[g.key] = g
	r := s.newReader(g, len(req.Prefix))
	if len(g.tokens) >= g.maxTokens {
		s.endGeneration(g, finished)
		return r, nil
	}
	s.enqueue(g)
	s.startStepping()
	return r, nil
}

// Attach implements engine.Engine.
func (s *Sim) Attach(ctx context.Context, id string, attempt uint64, from int) (engine.Stream, error) {
	if err := s.beginCall(ctx); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	g, ok := s.generations[attemptKey{id, attempt}]
	if !ok || g.phase == cancelled {
		return nil, errors.Wrapf(engine.ErrUnknownGeneration, "%s attempt %d", id, attempt)
	}
	if from < 0 || from > g.maxTokens {
		return nil, newRefusal(engine.CodeInvalid, "offset %d is past the answer", from)
	}
	return s.newReader(g, from), nil
}

// Cancel implements engine.Engine.
func (s *Sim) Cancel(ctx context.Context, id string, attempt uint64) error {
	if err := s.beginCall(ctx); err != nil {
		return err
	}
	defer s.mu.Unlock()
	known := false
	for k, g := range s.generations {
		if k.id != id || k.attempt > attempt {
			continue
		}
		known = true
		if !g.isDone() {
			s.stats.Cancelled++
			s.endGeneration(g, cancelled)
		}
	}
	if t := s.tombstones[id]; attempt >= t.attempt {
		s.tombstones[id] = tombstone{attempt, time.Now()}
	}
	if !known {
		return errors.Wrapf(engine.ErrUnknownGeneration, "%s up to attempt %d", id, attempt)
	}
	return nil
}

// CacheEvents implements engine.Engine.
func (s *Sim) CacheEvents(ctx context.Context, seq uint64) ([]engine.CacheEvent, error) {
	if err := s.beginCall(ctx); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	return s.cache.eventsAfter(seq, time.Now()), nil
}

// Close crashes the engine for good and ends its goroutines.
func (s *Sim) Close() {
	s.Crash()
	s.close()
}

// Stats returns the counters of the engine.
func (s *Sim) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// beginCall locks s.mu for one call, after waiting for the end of a pause. If it returns nil,
// the caller must unlock s.mu. A call to a crashed engine fails with ErrNotSent, as if the
// connection were refused. A call that ends during a pause, because of its context or a crash,
// fails with ErrBroken: it was sent and its outcome is unknown.
func (s *Sim) beginCall(ctx context.Context) error {
	waited := false
	for {
		s.mu.Lock()
		if s.crashed {
			s.mu.Unlock()
			if waited {
				return errors.Wrap(engine.ErrBroken, "connection reset")
			}
			return errors.Wrap(engine.ErrNotSent, "connection refused")
		}
		if !s.paused {
			s.sweep()
			return nil
		}
		resumed := s.resumed
		s.mu.Unlock()
		waited = true
		select {
		case <-resumed:
		case <-ctx.Done():
			return errors.Wrapf(engine.ErrBroken, "%v", ctx.Err())
		}
	}
}

// checkAdmission returns the reason why the engine refuses req, or nil.
func (s *Sim) checkAdmission(req engine.Request) error {
	k := attemptKey{req.Generation, req.Attempt}
	switch t, cancelledBefore := s.tombstones[req.Generation]; {
	case s.refusing:
		return newRefusal(engine.CodeRefusing, "takes no new work")
	case req.Generation == "" || req.MaxTokens < len(req.Prefix) || req.MaxTokens <= 0:
		return newRefusal(engine.CodeInvalid, "no generation id, or max_tokens below the prefix")
	case s.weights.state(refOf(req)) != engine.Ready:
		return newRefusal(engine.CodeModelNotReady, "%v is not ready", refOf(req))
	case cancelledBefore && req.Attempt <= t.attempt:
		return newRefusal(engine.CodeStaleAttempt, "attempts up to %d are cancelled", t.attempt)
	case s.generations[k] != nil:
		return newRefusal(engine.CodeStaleAttempt, "attempt %d is known already", req.Attempt)
	case len(s.queue) >= s.config.QueueLimit:
		return newRefusal(engine.CodeOverloaded, "%d requests wait", len(s.queue))
	}
	return nil
}

// endGeneration removes g from queue and batch and puts it into its final phase p.
func (s *Sim) endGeneration(g *generation, p phase) {
	s.queue = remove(s.queue, g)
	s.batch = remove(s.batch, g)
	g.phase = p
	g.endedAt = time.Now()
	g.notify()
	s.weights.dropUnused(s.isInUse)
}

func remove(list []*generation, g *generation) []*generation {
	if i := slices.Index(list, g); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// sweepInterval is the minimum time between two sweeps.
const sweepInterval = time.Second

// sweep cancels generations that have had no reader for UnreadTimeout and removes generations
// and tombstones that are older than Retention.
func (s *Sim) sweep() {
	now := time.Now()
	if now.Sub(s.lastSweep) < sweepInterval {
		return
	}
	s.lastSweep = now
	for k, g := range s.generations {
		switch {
		case g.isDone() && now.Sub(g.endedAt) > s.config.Retention:
			delete(s.generations, k)
		case !g.isDone() && len(g.readers) == 0 && now.Sub(g.unreadSince) > s.config.UnreadTimeout:
			s.stats.Abandoned++
			s.endGeneration(g, cancelled)
		}
	}
	for id, t := range s.tombstones {
		if now.Sub(t.recordedAt) > s.config.Retention {
			delete(s.tombstones, id)
		}
	}
}

// Refusal is an engine.ErrRefused with the error code sent on the wire.
type Refusal struct {
	Code    engine.ErrorCode
	Message string
}

// Error implements error.
func (r *Refusal) Error() string { return fmt.Sprintf("engine: refused: %s: %s", r.Code, r.Message) }

// Is reports whether target is engine.ErrRefused, or engine.ErrNotReady if the code is
// CodeModelNotReady.
func (r *Refusal) Is(target error) bool {
	return target == engine.ErrRefused || target == engine.ErrNotReady && r.Code == engine.CodeModelNotReady
}

func newRefusal(code engine.ErrorCode, format string, args ...any) error {
	return &Refusal{Code: code, Message: fmt.Sprintf(format, args...)}
}

// HasUnfinished reports whether the engine has an unfinished attempt of the generation id, so
// that a test scenario can choose the engine to crash.
func (s *Sim) HasUnfinished(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, g := range s.generations {
		if k.id == id && g.phase < finished {
			return true
		}
	}
	return false
}

// IsBusy reports whether any attempt is waiting or running.
func (s *Sim) IsBusy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue)+len(s.batch) > 0
}
