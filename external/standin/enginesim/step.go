package enginesim

import (
	"slices"
	"time"

	"mallowwind.dev/external/engine"
)

// enqueue puts g behind the waiting generations of its priority and above.
func (s *Sim) enqueue(g *generation) {
	i := slices.IndexFunc(s.queue, func(o *generation) bool { return o.req.Priority < g.req.Priority })
	if i < 0 {
		i = len(s.queue)
	}
	s.queue = slices.Insert(s.queue, i, g)
}

// kick starts the step loop if there is work and it does not run.
func (s *Sim) kick() {
	if s.stepping || s.dead || s.paused || len(s.queue)+len(s.batch) == 0 {
		return
	}
	s.stepping = true
	go s.run()
}

// run steps until there is no work, or until a pause or death.
func (s *Sim) run() {
	for {
		work, d, ok := s.begin()
		if !ok {
			return
		}
		if !s.sleep(d) {
			return
		}
		s.finishStep(work)
	}
}

// sleep waits for d; false means that the engine was closed.
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

// part is the share of one generation in a step.
type part struct {
	gen     *generation
	prefill int // prompt tokens worked off; 0 means one new token
}

// begin fills free slots and lays out one step.
func (s *Sim) begin() ([]part, time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep()
	s.load.sample(s)
	if s.dead || s.paused {
		s.stepping = false
		return nil, 0, false
	}
	s.fill()
	if len(s.batch) == 0 {
		s.stepping = false
		return nil, 0, false
	}
	work, prefill := s.layOut()
	return work, s.stepTime(len(s.batch), prefill), true
}

func (s *Sim) fill() {
	for len(s.batch) < s.config.Slots && len(s.queue) > 0 && s.room(s.queue[0]) {
		g := s.queue[0]
		s.queue = slices.Delete(s.queue, 0, 1)
		g.phase = running
		s.lookUp(g)
		s.batch = append(s.batch, g)
	}
}

// lookUp sets how much of the prompt and prefix must be worked off.
func (s *Sim) lookUp(g *generation) {
	text := g.text()
	hashes := engine.BlockHashes(g.ref, text)
	held := s.cache.held(hashes) * engine.BlockBytes / engine.BytesPerToken
	s.cache.add(hashes, time.Now())
	total := (len(text) + engine.BytesPerToken - 1) / engine.BytesPerToken
	total += len(g.tokens) - len(g.req.Prefix) // made here before it was taken out
	g.prefill = max(total-held, 1)             // the last token is always computed
	s.stats.Cached += int64(total - g.prefill)
}

// layOut shares the step's prefill chunk among those that need it, in batch order.
func (s *Sim) layOut() (work []part, prefill int) {
	work = make([]part, 0, len(s.batch))
	left := s.config.PrefillChunkTokens
	for _, g := range s.batch {
		n := min(g.prefill, left)
		if g.prefill > 0 && n == 0 {
			continue
		}
		left -= n
		prefill += n
		work = append(work, part{g, n})
	}
	return work, prefill
}

func (s *Sim) stepTime(batch, prefill int) time.Duration {
	decode, fill := s.weights.speeds()
	d := time.Duration(float64(s.config.StepBase+time.Duration(batch)*s.config.StepPerRequest) * decode)
	d += time.Duration(float64(time.Duration(prefill)*s.config.PrefillPerToken) * fill)
	return time.Duration(float64(d) * s.slow)
}

// finishStep applies a step that was laid out before. An engine that died or
// paused meanwhile applies nothing.
func (s *Sim) finishStep(work []part) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dead || s.paused {
		return
	}
	for _, p := range work {
		s.apply(p)
	}
	s.trim()
}

func (s *Sim) apply(p part) {
	g := p.gen
	switch {
	case g.phase != running: // cancelled or lost during the step
	case p.prefill > 0:
		g.prefill -= p.prefill
		s.stats.Prefilled += int64(p.prefill)
	default:
		s.stats.Tokens++
		if g.step() {
			s.end(g, finished)
			return
		}
		g.notify()
	}
}
