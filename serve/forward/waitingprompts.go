package forward

import (
	"math/rand/v2"
	"sync"
	"time"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/promptqueue"
	"mallowwind.dev/peer/peerpb"
)

const (
	// maxWaitingPrompts and maxWaitingBytes bound the memory of waiting requests on small VMs, which
	// the requests in progress need as well. A waiting request costs about 40 kB beside its body.
	maxWaitingPrompts = 128
	maxWaitingBytes   = 8 << 20
)

// waitingPrompts holds the prompts that wait for room at engines, by service. It is safe for
// concurrent use.
type waitingPrompts struct {
	stopping chan struct{} // closed when the shutdown begins
	stop     sync.Once

	mu       sync.Mutex // guards the fields below
	services map[string]*serviceQueue
}

// serviceQueue holds the waiting prompts of one service.
type serviceQueue struct {
	promptqueue.Queue
	waiters  map[*promptqueue.Prompt]*waiter
	nextLook time.Time // before that, the next prompt does not look for room
}

// wake makes a prompt check whether it is its turn.
func (s *serviceQueue) wake(p *promptqueue.Prompt) {
	select {
	case s.waiters[p].turn <- struct{}{}:
	default:
	}
}

// waiter is one waiting prompt. Apart from its channels, only the goroutine of its request uses it.
type waiter struct {
	*promptqueue.Prompt
	service string
	part    string        // chooses the candidate engines
	turn    chan struct{} // receives when the prompt has become the first
	evicted chan struct{} // closed if the prompt exceeds the limits
	begun   time.Time
	looks   int
	// noRoom holds the engines whose last report showed no room.
	noRoom map[routing.Incarnation]engineWithoutRoom
	// stated is what trackers were told last, nil if they were not.
	stated *peerpb.WaitingPrompt
}

// engineWithoutRoom is an engine without room for a prompt, with the work that daemons reported there.
type engineWithoutRoom struct {
	work  int
	until time.Time
}

func newWaitingPrompts() *waitingPrompts {
	return &waitingPrompts{stopping: make(chan struct{}), services: map[string]*serviceQueue{}}
}

// beginShutdown wakes all waiting prompts, which then are refused.
func (q *waitingPrompts) beginShutdown() { q.stop.Do(func() { close(q.stopping) }) }

func (q *waitingPrompts) isStopping() bool {
	select {
	case <-q.stopping:
		return true
	default:
		return false
	}
}

// len returns the number of waiting prompts.
func (q *waitingPrompts) len() (n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, s := range q.services {
		n += s.Len()
	}
	return n
}

// join adds a prompt. first reports whether it looks for room next; refusal is the reason if it does
// not wait.
func (q *waitingPrompts) join(now time.Time, w *waiter) (first bool, refusal promptqueue.Refusal, waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.services[w.service]
	if s == nil {
		s = &serviceQueue{waiters: map[*promptqueue.Prompt]*waiter{}}
		q.services[w.service] = s
	}
	s.Limits = q.limits(w.service)
	refusal, evicted := s.Add(now, w.Prompt)
	if refusal != promptqueue.Waits {
		return false, refusal, s.Len()
	}
	s.waiters[w.Prompt] = w
	for _, p := range evicted {
		close(s.waiters[p].evicted)
		delete(s.waiters, p)
	}
	next, _ := s.First(now)
	if first = next == w.Prompt; first {
		s.nextLook = now
	}
	return first, promptqueue.Waits, s.Len()
}

// limits returns the bounds for a service: an equal part for each service with waiting prompts. The
// caller holds the lock.
func (q *waitingPrompts) limits(service string) promptqueue.Limits {
	active := 1
	for name, s := range q.services {
		if name != service && s.Len() > 0 {
			active++
		}
	}
	return promptqueue.Limits{Prompts: max(1, maxWaitingPrompts/active), Bytes: maxWaitingBytes / int64(active)}
}

// check returns the reason if a waiting prompt has no prospect of starting in time any more.
func (q *waitingPrompts) check(now time.Time, w *waiter) promptqueue.Refusal {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.services[w.service].Check(now, w.Prompt)
}

// leave removes a prompt, which starts or no longer waits, and wakes the next one.
func (q *waitingPrompts) leave(now time.Time, w *waiter, started bool) (waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.services[w.service]
	wasFirst, _ := s.First(now)
	if started {
		s.Started(now, w.Prompt)
	} else {
		s.Remove(w.Prompt)
	}
	delete(s.waiters, w.Prompt)
	if next, _ := s.First(now); next != nil && next != wasFirst {
		s.nextLook = now
		s.wake(next)
	}
	return s.Len()
}

// failedLook records that a prompt has found no room, and when the next one looks.
func (q *waitingPrompts) failedLook(now time.Time, w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.services[w.service]
	if s.waiters[w.Prompt] != w {
		return // evicted meanwhile
	}
	again := s.Failed(now, w.Prompt)
	next, _ := s.First(now)
	s.nextLook = now
	if !again {
		s.nextLook = now.Add(s.LookInterval(now, next, rand.Float64()))
	}
	if next != w.Prompt {
		s.wake(next)
	}
}

// rankOfTurn reports whether it is the turn of a prompt to look for room, and at which rank.
func (q *waitingPrompts) rankOfTurn(now time.Time, w *waiter) (rank int, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.services[w.service]
	first, rank := s.First(now)
	return rank, first == w.Prompt && !now.Before(s.nextLook)
}

// nextCheck returns the time until a prompt looks for room again, or checks whether it still may wait
// if it is not its turn.
func (q *waitingPrompts) nextCheck(now time.Time, w *waiter) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.services[w.service]
	next := waitCheckInterval
	if first, _ := s.First(now); first == w.Prompt {
		next = max(s.nextLook.Sub(now), 0)
	}
	return min(next, max(w.Slack(now), 0))
}

// hasBefore reports whether a new prompt has to let waiting ones start before it.
func (q *waitingPrompts) hasBefore(service string, rank int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.services[service]
	return s != nil && s.HasBefore(rank)
}

// startedAtOnce records that a prompt was placed without having waited.
func (q *waitingPrompts) startedAtOnce(service string, rank int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if s := q.services[service]; s != nil {
		s.StartedAtOnce(rank)
	}
}
