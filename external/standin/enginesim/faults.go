package enginesim

import (
	"time"

	"mallowwind.dev/external/engine"
)

// Crash resets every connection and forgets every generation, the cache and the
// weights. Calls find nothing listening until Revive.
func (s *Sim) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dead {
		return
	}
	s.dead = true
	s.unpause()
	for _, g := range s.generations {
		if !g.done() {
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
	s.cache.clear()
}

// Restart starts a new incarnation, which loads the models it was made with.
// Its fencing number begins anew, as nothing was kept.
func (s *Sim) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.dead {
		return
	}
	s.dead = false
	s.incarnation++
	s.load = loadReport{}
	s.weights = weightSet{role: engine.RoleMixed, orders: s.weights.orders}
	for _, ref := range s.config.Models {
		s.weights.set(ref, engine.Loading)
		go s.fetch(ref, s.incarnation)
	}
}

// Pause stops everything: no token, no answer, while connections stay open.
func (s *Sim) Pause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.paused && !s.dead {
		s.paused, s.resumed = true, make(chan struct{})
	}
}

// Unpause continues where Pause stopped.
func (s *Sim) Unpause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unpause()
	s.kick()
	for _, g := range s.generations {
		if len(g.readers) == 0 {
			g.unread = time.Now()
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

// SetSlowdown multiplies the time of every step; 1 is the usual speed.
func (s *Sim) SetSlowdown(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = factor
}

// Silence makes every stream open now silent for good, while new ones work.
// The engine does not notice: it counts them as read.
func (s *Sim) Silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.generations {
		for r := range g.readers {
			r.silent = true
		}
	}
}

// SetRefusing makes the engine refuse new generations, or take them again.
func (s *Sim) SetRefusing(refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusing = refuse
}
