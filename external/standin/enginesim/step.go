package enginesim

import (
	"slices"
	"time"

	"mallowwind.dev/external/engine"
)

// enqueue inserts g into the queue behind the generations of the same or a higher priority.
func (s *Sim) enqueue(g *generation) {
	i := slices.IndexFunc(s.queue, func(o *generation) bool { return o.req.Priority < g.req.Priority })
	if i < 0 {
		i = len(s.queue)
	}
	s.queue = slices.Insert(s.queue, i, g)
}

// startStepping starts the step loop if there is work and the loop is not running.
func (s *Sim) startStepping() {
	if s.stepping || s.crashed || s.paused || len(s.queue)+len(s.batch) == 0 {
		return
	}
	s.stepping = true
	go s.stepLoop()
}

// stepLoop runs steps until there is no work or until the engine is paused, crashed or closed.
func (s *Sim) stepLoop() {
	for {
		work, d, ok := s.beginStep()
		if !ok {
			return
		}
		if !s.sleep(d) {
			return
		}
		s.finishStep(work)
	}
}

// sleep waits for d. It returns false if the engine was closed meanwhile.
func (s *Sim) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-s.closed.Done():
		return false
	}
}

// stepShare is the work of one step for one generation.
type stepShare struct {
	gen     *generation
	prefill int // tokens prefilled; 0 means that one token is generated
}

// beginStep fills the batch and plans one step. It returns false, and the step loop ends, if
// there is no work or the engine is paused or crashed.
func (s *Sim) beginStep() ([]stepShare, time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep()
	s.loadHistory.sample(s)
	if s.crashed || s.paused {
		s.stepping = false
		return nil, 0, false
	}
	s.fillBatch()
	if len(s.batch) == 0 {
		s.stepping = false
		return nil, 0, false
	}
	work, prefill := s.planStep()
	return work, s.stepDuration(len(s.batch), prefill), true
}

func (s *Sim) fillBatch() {
	for len(s.batch) < s.config.Slots && len(s.queue) > 0 && s.hasMemoryFor(s.queue[0]) {
		g := s.queue[0]
		s.queue = slices.Delete(s.queue, 0, 1)
		g.phase = running
		s.lookUpPrefill(g)
		s.batch = append(s.batch, g)
	}
}

// lookUpPrefill sets how many tokens of g must be prefilled, given what the cache holds.
func (s *Sim) lookUpPrefill(g *generation) {
	text := g.promptText()
	hashes := engine.BlockHashes(g.ref, text)
	cached := s.cache.matchPrefix(hashes) * engine.BlockBytes / engine.BytesPerToken
	s.cache.add(hashes, time.Now())
	total := (len(text) + engine.BytesPerToken - 1) / engine.BytesPerToken
	total += len(g.tokens) - len(g.req.Prefix) // generated before a preemption
	g.prefillLeft = max(total-cached, 1)       // at least one token is always computed
	s.stats.Cached += int64(total - g.prefillLeft)
}

// planStep plans the work of one step: the prefill budget of PrefillChunkTokens goes to the
// generations that need prefill, in batch order, and all others generate one token.
func (s *Sim) planStep() (work []stepShare, prefill int) {
	work = make([]stepShare, 0, len(s.batch))
	left := s.config.PrefillChunkTokens
	for _, g := range s.batch {
		n := min(g.prefillLeft, left)
		if g.prefillLeft > 0 && n == 0 {
			continue
		}
		left -= n
		prefill += n
		work = append(work, stepShare{g, n})
	}
	return work, prefill
}

func (s *Sim) stepDuration(batch, prefill int) time.Duration {
	decode, fill := s.weights.roleFactors()
	d := time.Duration(float64(s.config.StepBase+time.Duration(batch)*s.config.StepPerRequest) * decode)
	d += time.Duration(float64(time.Duration(prefill)*s.config.PrefillPerToken) * fill)
	return time.Duration(float64(d) * s.slowdown)
}

// finishStep applies a planned step, unless the engine is crashed or paused by then.
func (s *Sim) finishStep(work []stepShare) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashed || s.paused {
		return
	}
	for _, p := range work {
		s.apply(p)
	}
	s.preemptOverflow()
}

func (s *Sim) apply(p stepShare) {
	g := p.gen
	switch {
	case g.phase != running: // cancelled or lost during the step
	case p.prefill > 0:
		g.prefillLeft -= p.prefill
		s.stats.Prefilled += int64(p.prefill)
	default:
		s.stats.Tokens++
		if g.generateToken() {
			s.endGeneration(g, finished)
			return
		}
		g.notify()
	}
}
