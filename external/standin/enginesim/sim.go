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

// Sim is one engine. It is safe for concurrent use.
type Sim struct {
	config Config
	closed context.Context // done after Close
	close  context.CancelFunc

	mu          sync.Mutex
	random      *rand.Rand
	incarnation int
	generations map[key]*generation
	tombstones  map[string]tombstone // highest cancelled attempt by generation
	queue       []*generation        // waiting, next first
	batch       []*generation        // running
	arrivals    uint64
	stepping    bool // the step loop runs
	cache       *cache
	weights     weightSet
	load        loadReport
	stats       Stats
	swept       time.Time

	dead     bool
	paused   bool
	refusing bool
	slow     float64
	resumed  chan struct{} // closed by Unpause and Die
}

var _ engine.Engine = (*Sim)(nil)

type tombstone struct {
	attempt uint64
	at      time.Time
}

// New returns a running engine. It holds goroutines only while it has work or
// loads weights; Close ends them.
func New(config Config) *Sim {
	config = config.WithDefaults()
	random := rand.New(rand.NewPCG(config.Seed, config.Seed^0x9e3779b97f4a7c15))
	closed, end := context.WithCancel(context.Background())
	s := &Sim{
		config:      config,
		closed:      closed,
		close:       end,
		random:      random,
		incarnation: 1,
		generations: make(map[key]*generation),
		tombstones:  make(map[string]tombstone),
		cache:       newCache(config, random),
		slow:        1,
		swept:       time.Now(),
	}
	s.weights.role = engine.RoleMixed
	for _, ref := range config.Models {
		s.weights.set(ref, engine.Ready)
	}
	return s
}

// Generate implements engine.Engine.
func (s *Sim) Generate(ctx context.Context, req engine.Request) (engine.Stream, error) {
	if err := s.enter(ctx); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	if err := s.admissible(req); err != nil {
		s.stats.Refused++
		return nil, err
	}
	s.stats.Started++
	s.arrivals++
	g := newGeneration(req, rand.New(rand.NewPCG(s.random.Uint64(), s.random.Uint64())))
	g.arrival = s.arrivals
	s.generations[g.key] = g
	r := s.newReader(g, len(req.Prefix))
	if len(g.tokens) >= g.limit {
		s.end(g, finished)
		return r, nil
	}
	s.enqueue(g)
	s.kick()
	return r, nil
}

// Attach implements engine.Engine.
func (s *Sim) Attach(ctx context.Context, id string, attempt uint64, from int) (engine.Stream, error) {
	if err := s.enter(ctx); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	g, ok := s.generations[key{id, attempt}]
	if !ok || g.phase == cancelled {
		return nil, errors.Wrapf(engine.ErrUnknownGeneration, "%s attempt %d", id, attempt)
	}
	if from < 0 || from > g.limit {
		return nil, refuse(engine.CodeInvalid, "offset %d is past the answer", from)
	}
	return s.newReader(g, from), nil
}

// Cancel implements engine.Engine.
func (s *Sim) Cancel(ctx context.Context, id string, attempt uint64) error {
	if err := s.enter(ctx); err != nil {
		return err
	}
	defer s.mu.Unlock()
	known := false
	for k, g := range s.generations {
		if k.id != id || k.attempt > attempt {
			continue
		}
		known = true
		if !g.done() {
			s.stats.Cancelled++
			s.end(g, cancelled)
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
	if err := s.enter(ctx); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	return s.cache.after(seq, time.Now()), nil
}

// Close ends the engine for good, as Die does.
func (s *Sim) Close() {
	s.Crash()
	s.close()
}

// Stats returns the counts of work so far.
func (s *Sim) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// enter locks the engine for one call, waiting out a pause. A dead engine is
// as one that nothing listens on: the call was not sent. A call given up on
// during a pause was sent, and its outcome is not known.
func (s *Sim) enter(ctx context.Context) error {
	waited := false
	for {
		s.mu.Lock()
		if s.dead {
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

// admissible says why req cannot run here, or nil.
func (s *Sim) admissible(req engine.Request) error {
	k := key{req.Generation, req.Attempt}
	switch t, cancelledBefore := s.tombstones[req.Generation]; {
	case s.refusing:
		return refuse(engine.CodeRefusing, "takes no new work")
	case req.Generation == "" || req.MaxTokens < len(req.Prefix) || req.MaxTokens <= 0:
		return refuse(engine.CodeInvalid, "no generation id, or max_tokens below the prefix")
	case s.weights.state(refOf(req)) != engine.Ready:
		return refuse(engine.CodeModelNotReady, "%v is not ready", refOf(req))
	case cancelledBefore && req.Attempt <= t.attempt:
		return refuse(engine.CodeStaleAttempt, "attempts up to %d are cancelled", t.attempt)
	case s.generations[k] != nil:
		return refuse(engine.CodeStaleAttempt, "attempt %d is known already", req.Attempt)
	case len(s.queue) >= s.config.QueueLimit:
		return refuse(engine.CodeOverloaded, "%d requests wait", len(s.queue))
	}
	return nil
}

// end moves g to a final phase.
func (s *Sim) end(g *generation, p phase) {
	s.queue = without(s.queue, g)
	s.batch = without(s.batch, g)
	g.phase = p
	g.ended = time.Now()
	g.notify()
	s.weights.settle(s.uses)
}

func without(list []*generation, g *generation) []*generation {
	if i := slices.Index(list, g); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// sweepEvery spaces the removals of what is no longer kept.
const sweepEvery = time.Second

// sweep ends generations that nobody reads and forgets old ones.
func (s *Sim) sweep() {
	now := time.Now()
	if now.Sub(s.swept) < sweepEvery {
		return
	}
	s.swept = now
	for k, g := range s.generations {
		switch {
		case g.done() && now.Sub(g.ended) > s.config.Retention:
			delete(s.generations, k)
		case !g.done() && len(g.readers) == 0 && now.Sub(g.unread) > s.config.UnreadTimeout:
			s.stats.Abandoned++
			s.end(g, cancelled)
		}
	}
	for id, t := range s.tombstones {
		if now.Sub(t.at) > s.config.Retention {
			delete(s.tombstones, id)
		}
	}
}

// Refusal is engine.ErrRefused with its code, for the wire form.
type Refusal struct {
	Code    engine.ErrorCode
	Message string
}

// Error implements error.
func (r *Refusal) Error() string { return fmt.Sprintf("engine: refused: %s: %s", r.Code, r.Message) }

// Is makes a Refusal match engine.ErrRefused, and engine.ErrNotReady where it
// is one.
func (r *Refusal) Is(target error) bool {
	return target == engine.ErrRefused || target == engine.ErrNotReady && r.Code == engine.CodeModelNotReady
}

func refuse(code engine.ErrorCode, format string, args ...any) error {
	return &Refusal{Code: code, Message: fmt.Sprintf(format, args...)}
}

// HasUnfinished reports whether the engine holds an attempt of this generation that has
// not ended, so that a story can pick the engine to fail.
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

// IsBusy reports whether any attempt waits or runs.
func (s *Sim) IsBusy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue)+len(s.batch) > 0
}
