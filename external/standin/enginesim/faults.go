package enginesim

import (
	"time"

	"mallowwind.dev/external/engine"
)

// Crash breaks every stream and drops every generation and the prompt cache. Until Restart
// calls fail as if nothing listened at the engine's address.
func (s *Sim) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashed {
		return
	}
	s.crashed = true
	s.unpause()
	for _, g := range s.generations {
		if !g.isDone() {
			s.stats.Lost++
			g.phase = cancelled
		}
		for r := range g.readers {
			r.broken = true
			r.notify()
		}
	}
	clear(s.generations)
	clear(s.tombstones)
	s.queue, s.batch = nil, nil
	s.cache.reset()
}

// Restart starts a new incarnation after a crash, which loads the configured models again.
// Its fencing number starts at 0, because the engine persists no state.
func (s *Sim) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.crashed {
		return
	}
	s.crashed = false
	s.incarnation++
	s.loadHistory = loadSampler{}
	s.weights = weightSet{role: engine.RoleMixed, orders: s.weights.orders}
	for _, ref := range s.config.Models {
		s.weights.set(ref, engine.Loading)
		go s.loadModel(ref, s.incarnation)
	}
}

// Pause freezes the engine: it generates no tokens and answers no calls, while its
// connections stay open.
func (s *Sim) Pause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.paused && !s.crashed {
		s.paused, s.resumed = true, make(chan struct{})
	}
}

// Unpause resumes the engine after Pause.
func (s *Sim) Unpause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unpause()
	s.startStepping()
	for _, g := range s.generations {
		if len(g.readers) == 0 {
			g.unreadSince = time.Now()
		}
		g.notify()
	}
}

func (s *Sim) unpause() {
	if s.paused {
		s.paused = false
		close(s.resumed)
	}
}

// SetSlowdown multiplies the duration of every step by factor; 1 is the normal speed.
func (s *Sim) SetSlowdown(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowdown = factor
}

// Silence stalls every open stream for good; new streams work. The engine does not notice
// and still counts the stalled streams as readers.
func (s *Sim) Silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.generations {
		for r := range g.readers {
			r.silent = true
		}
	}
}

// SetRefusing makes the engine refuse new generations or accept them again.
func (s *Sim) SetRefusing(refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusing = refuse
}
