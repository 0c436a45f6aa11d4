package enginesim

import (
	"slices"

	"mallowwind.dev/external/engine"
)

// memoryTokens returns the memory, in tokens, that g occupies once its prompt is prefilled.
func (g *generation) memoryTokens() int {
	return (len(g.req.Prompt)+engine.BytesPerToken-1)/engine.BytesPerToken + len(g.tokens)
}

// usedTokens returns the memory, in tokens, that the batch occupies, including prompts whose
// prefill is still in progress.
func (s *Sim) usedTokens() int {
	n := 0
	for _, g := range s.batch {
		n += g.memoryTokens()
	}
	return n
}

// hasMemoryFor reports whether g fits into the memory besides the batch. An empty batch takes
// any generation, so that one larger than the memory does not wait forever.
func (s *Sim) hasMemoryFor(g *generation) bool {
	return s.config.MemoryTokens == 0 || len(s.batch) == 0 || s.usedTokens()+g.memoryTokens() <= s.config.MemoryTokens
}

// preemptOverflow moves generations from the batch back to the queue until the others fit into
// the memory. Their streams pause until the prompt and the tokens generated so far have been
// prefilled again.
func (s *Sim) preemptOverflow() {
	for s.config.MemoryTokens > 0 && len(s.batch) > 1 && s.usedTokens() > s.config.MemoryTokens {
		g := s.preemptionVictim()
		s.batch = remove(s.batch, g)
		g.phase = waiting
		s.stats.Preempted++
		s.enqueue(g)
	}
}

// preemptionVictim returns the newest generation of the lowest priority in the batch.
func (s *Sim) preemptionVictim() *generation {
	return slices.MinFunc(s.batch, func(a, b *generation) int {
		if a.req.Priority != b.req.Priority {
			return a.req.Priority - b.req.Priority
		}
		return int(b.arrival) - int(a.arrival)
	})
}
