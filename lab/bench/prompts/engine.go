package prompts

import (
	"slices"
	"time"

	"mallowwind.dev/lab/bench/physics"
)

// Properties of the engines that physics.Engine doesn't hold, as stated for the users' deployments.
const (
	tokensPerEvent = 6                     // answer tokens in one stream event
	prefillDelay   = 90 * time.Millisecond // from sending a prompt until its prefill can start
)

// run is the execution of a request on one engine.
type run struct {
	request             *request
	pendingPromptTokens int // not prefilled yet
	tokensSinceEvent    int // generated since the last event
	readyAt             time.Duration
}

// memoryTokens returns how many tokens of the engine's memory the run occupies.
func (r *run) memoryTokens() int { return max(r.request.contextTokens()-r.pendingPromptTokens, 0) }

// engine simulates a model engine that prefills prompts in chunks between the steps of its batch.
type engine struct {
	id             int
	zone           int
	slowdown       float64 // factor on the time of a step; 1 is normal, more is slower
	prefilling     []*run
	running        []*run
	nextStepAt     time.Duration // end of the current step
	down           bool
	kind           physics.Engine
	capacityTokens int
	copyTokens     int // of the run copies held here, as of the last report
}

// usedTokens returns how many tokens the engine's memory holds.
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

// step simulates one step that begins at now and returns when it ends.
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
				continue // the answer is complete, or the run moved to its copy
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

// preempt takes the newest run out of the batch and appends it to the prefill queue, where its
// prompt and the tokens generated so far are prefilled again.
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

// remove deletes the runs of r from the engine.
func (e *engine) remove(r *request) {
	other := func(x *run) bool { return x.request == r }
	e.prefilling = slices.DeleteFunc(e.prefilling, other)
	e.running = slices.DeleteFunc(e.running, other)
}

// prefillChunk prefills one chunk of the first queued prompt and returns how long that takes.
func (e *engine) prefillChunk(now time.Duration) time.Duration {
	if len(e.prefilling) == 0 || e.prefilling[0].readyAt > now {
		return 0
	}
	r := e.prefilling[0]
	if r.memoryTokens() == 0 && e.usedTokens()+r.pendingPromptTokens > e.capacityTokens {
		return 0 // not enough free memory yet
	}
	n := min(e.kind.ChunkTokens, r.pendingPromptTokens)
	r.pendingPromptTokens -= n
	if r.pendingPromptTokens == 0 {
		e.prefilling = e.prefilling[1:]
		r.tokensSinceEvent = tokensPerEvent - 1 // the next step emits the first event
		e.running = append(e.running, r)
	}
	return time.Duration(n) * time.Second / time.Duration(e.kind.PrefillTokensPerSecond)
}

// fail takes the engine down and returns the runs that are lost with it.
func (e *engine) fail() []*run {
	lost := append(e.prefilling, e.running...)
	e.prefilling, e.running, e.down = nil, nil, true
	return lost
}
