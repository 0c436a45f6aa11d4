package enginesim

import (
	"slices"

	"mallowwind.dev/external/engine"
)

// size is how many tokens a generation takes of the memory once its prompt is read.
func (g *generation) size() int {
	return (len(g.req.Prompt)+engine.BytesPerToken-1)/engine.BytesPerToken + len(g.tokens)
}

// used is how many tokens the batch takes, with the prompts that it still reads.
func (s *Sim) used() int {
	n := 0
	for _, g := range s.batch {
		n += g.size()
	}
	return n
}

// room reports whether the memory holds one more generation. An empty engine takes
// any, so that none waits for ever.
func (s *Sim) room(g *generation) bool {
	return s.config.MemoryTokens == 0 || len(s.batch) == 0 || s.used()+g.size() <= s.config.MemoryTokens
}

// trim takes generations out of the batch until the others fit. Their streams pause
// while the prompt and what was generated are read again.
func (s *Sim) trim() {
	for s.config.MemoryTokens > 0 && len(s.batch) > 1 && s.used() > s.config.MemoryTokens {
		g := s.least()
		s.batch = without(s.batch, g)
		g.phase = waiting
		s.stats.Preempted++
		s.enqueue(g)
	}
}

// least is the newest of the least urgent generations in the batch.
func (s *Sim) least() *generation {
	return slices.MinFunc(s.batch, func(a, b *generation) int {
		if a.req.Priority != b.req.Priority {
			return a.req.Priority - b.req.Priority
		}
		return int(b.arrival) - int(a.arrival)
	})
}
