package prompts

import (
	"slices"
	"time"

	"mallowwind.dev/lab/bench/physics"
)

// What the trials add to them, as the users' deployments state it.
const (
	tokensPerEvent = 6                     // tokens of one event of a stream
	prefillDelay   = 90 * time.Millisecond // before a prompt is read
)

// run is one request at one engine.
type run struct {
	request             *request
	pendingPromptTokens int // prompt tokens
	tokensSinceEvent    int // generated since the last event
	readyAt             time.Duration
}

// memoryTokens is how many tokens of an engine's memory the run takes.
func (r *run) memoryTokens() int { return max(r.request.contextTokens()-r.pendingPromptTokens, 0) }

// engine reads prompts in chunks between the steps of its batch.
type engine struct {
	id             int
	zone           int
	slowdown       float64 // 1 is usual, more is slower
	prefilling     []*run
	running        []*run
	nextStepAt     time.Duration // end of the step under way
	down           bool
	kind           physics.Engine
	capacityTokens int
	copyTokens     int // tokens of the copies that lie here, at the last report
}

// usedTokens is how many tokens lie in the engine's memory.
func (e *engine) usedTokens() int {
	n := e.copyTokens
	for _, r := range e.prefilling {
		n += r.memoryTokens()
	}
	for _, r := range e.running {
		n += r.memoryTokens()
	}
	return n
}

// step makes one step that begins at now, and returns when it ends.
func (e *engine) step(now time.Duration, w *world) time.Duration {
	took := e.kind.StepTime(len(e.running), false)
	took += e.prefillChunk(now)
	took = time.Duration(float64(took) * e.slowdown)
	end := now + took
	running := e.running[:0]
	for _, r := range e.running {
		if r.tokensSinceEvent++; r.tokensSinceEvent == tokensPerEvent {
			r.tokensSinceEvent = 0
			if w.recordEvent(end, r.request) {
				continue // the answer is whole
			}
		}
		running = append(running, r)
	}
	e.running = running
	if e.usedTokens() > e.capacityTokens {
		e.preempt(w)
	}
	return end
}

// preempt takes the newest run out of the batch; its prompt and what it has made are
// read again behind the prompts that wait.
func (e *engine) preempt(w *world) {
	last := len(e.running) - 1
	if last < 0 {
		return
	}
	r := e.running[last]
	e.running = e.running[:last]
	r.pendingPromptTokens, r.tokensSinceEvent = r.request.contextTokens(), 0
	e.prefilling = append(e.prefilling, r)
	w.preemptions++
	r.request.wastedPromptTokens += r.pendingPromptTokens
}

// remove takes a request off the engine.
func (e *engine) remove(r *request) {
	other := func(x *run) bool { return x.request == r }
	e.prefilling = slices.DeleteFunc(e.prefilling, other)
	e.running = slices.DeleteFunc(e.running, other)
}

// prefillChunk reads one chunk of the first prompt that waits, and returns how long it takes.
func (e *engine) prefillChunk(now time.Duration) time.Duration {
	if len(e.prefilling) == 0 || e.prefilling[0].readyAt > now {
		return 0
	}
	r := e.prefilling[0]
	if r.memoryTokens() == 0 && e.usedTokens()+r.pendingPromptTokens > e.capacityTokens {
		return 0 // it waits for room
	}
	n := min(e.kind.ChunkTokens, r.pendingPromptTokens)
	r.pendingPromptTokens -= n
	if r.pendingPromptTokens == 0 {
		e.prefilling = e.prefilling[1:]
		r.tokensSinceEvent = tokensPerEvent - 1 // the next step gives the first event
		e.running = append(e.running, r)
	}
	return time.Duration(n) * time.Second / time.Duration(e.kind.PrefillTokensPerSecond)
}

// fail loses everything on the engine and returns it.
func (e *engine) fail() []*run {
	lost := append(e.prefilling, e.running...)
	e.prefilling, e.running, e.down = nil, nil, true
	return lost
}
