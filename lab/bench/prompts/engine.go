package prompts

import "time"

// Physics of the model engines, as the users' deployments state them.
const (
	stepBase    = 4550 * time.Microsecond // a step of the batch
	stepPerRun  = 181 * time.Microsecond  // and for each answer in it
	readPerMS   = 8                       // prompt tokens read in a millisecond
	chunk       = 200                     // prompt tokens read between two steps
	eventTokens = 6                       // tokens of one event of a stream
	firstWait   = 90 * time.Millisecond   // before a prompt is read
)

// run is one request at one engine.
type run struct {
	request *request
	unread  int // prompt tokens
	token   int // generated since the last event
	ready   time.Duration
}

// engine reads prompts in chunks between the steps of its batch.
type engine struct {
	id      int
	zone    int
	speed   float64 // 1 is usual, more is slower
	reading []*run
	running []*run
	next    time.Duration // end of the step under way
	down    bool
}

// step makes one step that begins at now, and returns when it ends.
func (e *engine) step(now time.Duration, w *world) time.Duration {
	took := stepBase + time.Duration(len(e.running))*stepPerRun
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
	return end
}

// read reads one chunk of the first prompt that waits, and returns how long it takes.
func (e *engine) read(now time.Duration) time.Duration {
	if len(e.reading) == 0 || e.reading[0].ready > now {
		return 0
	}
	r := e.reading[0]
	n := min(chunk, r.unread)
	r.unread -= n
	if r.unread == 0 {
		e.reading = e.reading[1:]
		r.token = eventTokens - 1 // the next step gives the first event
		e.running = append(e.running, r)
	}
	return time.Duration(n) * time.Millisecond / readPerMS
}

// fail loses everything on the engine and returns it.
func (e *engine) fail() []*run {
	lost := append(e.reading, e.running...)
	e.reading, e.running, e.down = nil, nil, true
	return lost
}
