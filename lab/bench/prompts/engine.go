package prompts

import (
	"slices"
	"time"

	"mallowwind.dev/lab/bench/physics"
)

// What the trials add to them, as the users' deployments state it.
const (
	eventTokens = 6                     // tokens of one event of a stream
	firstWait   = 90 * time.Millisecond // before a prompt is read
)

// run is one request at one engine.
type run struct {
	request *request
	unread  int // prompt tokens
	token   int // generated since the last event
	ready   time.Duration
}

// held is how many tokens of an engine's memory the run takes.
func (r *run) held() int { return max(r.request.size()-r.unread, 0) }

// engine reads prompts in chunks between the steps of its batch.
type engine struct {
	id      int
	zone    int
	speed   float64 // 1 is usual, more is slower
	reading []*run
	running []*run
	next    time.Duration // end of the step under way
	down    bool
	kind    physics.Engine
	memory  int
	copied  int // tokens of the copies that lie here, at the last report
}

// used is how many tokens lie in the engine's memory.
func (e *engine) used() int {
	n := e.copied
	for _, r := range e.reading {
		n += r.held()
	}
	for _, r := range e.running {
		n += r.held()
	}
	return n
}

// step makes one step that begins at now, and returns when it ends.
func (e *engine) step(now time.Duration, w *world) time.Duration {
	took := e.kind.StepTime(len(e.running), false)
	took += e.read(now)
	took = time.Duration(float64(took) * e.speed)
	end := now + took
	running := e.running[:0]
	for _, r := range e.running {
		if r.token++; r.token == eventTokens {
			r.token = 0
			if w.event(end, r.request) {
				continue // the answer is whole
			}
		}
		running = append(running, r)
	}
	e.running = running
	if e.used() > e.memory {
		e.throwOut(w)
	}
	return end
}

// throwOut takes the newest run out of the batch; its prompt and what it has made are
// read again behind the prompts that wait.
func (e *engine) throwOut(w *world) {
	last := len(e.running) - 1
	if last < 0 {
		return
	}
	r := e.running[last]
	e.running = e.running[:last]
	r.unread, r.token = r.request.size(), 0
	e.reading = append(e.reading, r)
	w.thrownOut++
	r.request.wasted += r.unread
}

// drop takes a request off the engine.
func (e *engine) drop(r *request) {
	other := func(x *run) bool { return x.request == r }
	e.reading = slices.DeleteFunc(e.reading, other)
	e.running = slices.DeleteFunc(e.running, other)
}

// read reads one chunk of the first prompt that waits, and returns how long it takes.
func (e *engine) read(now time.Duration) time.Duration {
	if len(e.reading) == 0 || e.reading[0].ready > now {
		return 0
	}
	r := e.reading[0]
	if r.held() == 0 && e.used()+r.unread > e.memory {
		return 0 // it waits for room
	}
	n := min(e.kind.ChunkTokens, r.unread)
	r.unread -= n
	if r.unread == 0 {
		e.reading = e.reading[1:]
		r.token = eventTokens - 1 // the next step gives the first event
		e.running = append(e.running, r)
	}
	return time.Duration(n) * time.Second / time.Duration(e.kind.PrefillTokensPerSecond)
}

// fail loses everything on the engine and returns it.
func (e *engine) fail() []*run {
	lost := append(e.reading, e.running...)
	e.reading, e.running, e.down = nil, nil, true
	return lost
}
