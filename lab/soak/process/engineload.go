package process

import (
	"cmp"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"mallowwind.dev/serve/forward"
)

const (
	// answerTokens is the memory that an engine needs for an answer besides its prompt.
	answerTokens = 100
	// usualPromptTokens are prefilled in prefillTime by an engine of the usual speed.
	usualPromptTokens = 800
	// prefillSlowdown is the factor by which events are slower while the engine prefills a prompt.
	prefillSlowdown = 4
	// replicaTTL is how long an engine keeps a copy whose run broke off.
	replicaTTL = 4 * time.Second
	// resumePriority admits requests that resume from a copy before all others.
	resumePriority = -1
)

// engineLimits bound the runs and copies that an engine holds. Zero tokens means no bound.
type engineLimits struct{ slots, tokens int }

// engineLoad is the load of one incarnation of an engine.
type engineLoad struct {
	limits     engineLimits
	mu         sync.Mutex
	usedSlots  int
	usedTokens int
	queue      []*queuedRequest
}

// queuedRequest waits for a slot and memory at an engine.
type queuedRequest struct {
	priority, tokens int
	admitted         chan struct{}
}

// tryAcquire takes a slot and memory for a run or a copy if there is room.
func (l *engineLoad) tryAcquire(tokens int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tryAcquireLocked(tokens)
}

func (l *engineLoad) tryAcquireLocked(tokens int) bool {
	need := tokens + answerTokens
	if l.limits.tokens > 0 && (l.usedSlots >= l.limits.slots || l.usedTokens+need > l.limits.tokens) {
		return false
	}
	l.usedSlots++
	l.usedTokens += need
	return true
}

// release frees the room of a run or a copy and admits the requests that now fit.
func (l *engineLoad) release(tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.usedSlots--
	l.usedTokens -= tokens + answerTokens
	l.admitQueued()
}

// admitQueued admits queued requests, the most urgent first, until one does not fit.
func (l *engineLoad) admitQueued() {
	for len(l.queue) > 0 && l.tryAcquireLocked(l.queue[0].tokens) {
		close(l.queue[0].admitted)
		l.queue = l.queue[1:]
	}
}

// enqueue queues a request behind those that are as urgent.
func (l *engineLoad) enqueue(q *queuedRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue = append(l.queue, q)
	slices.SortStableFunc(l.queue, func(a, b *queuedRequest) int { return cmp.Compare(a.priority, b.priority) })
	l.admitQueued()
}

// withdraw removes a request that waits no longer. It reports false if the request was admitted.
func (l *engineLoad) withdraw(q *queuedRequest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := slices.Index(l.queue, q)
	if i >= 0 {
		l.queue = slices.Delete(l.queue, i, i+1)
		l.admitQueued()
	}
	return i >= 0
}

// admit waits until the engine has room for a request. It returns false if the caller leaves or the
// incarnation ends before.
func (s *server) admit(r *http.Request, e forward.UpstreamRequest, tokens int, shutdown <-chan struct{}) (release func(), ok bool) {
	s.mu.Lock()
	load := s.load
	s.mu.Unlock()
	if load.limits.tokens == 0 {
		return func() {}, true
	}
	// The server notices that a caller has left only after the body is read.
	_, _ = io.Copy(io.Discard, r.Body)
	q := &queuedRequest{priority: e.Priority, tokens: tokens, admitted: make(chan struct{})}
	if e.ResumeFrom != "" {
		q.priority = resumePriority
	}
	load.enqueue(q)
	select {
	case <-q.admitted:
		return func() { load.release(tokens) }, true
	case <-r.Context().Done():
	case <-shutdown:
	}
	if !load.withdraw(q) {
		load.release(tokens)
	}
	return nil, false
}

// isBusy reports whether the engine has requests that run or wait.
func (s *server) isBusy() bool {
	queued, _, _ := s.Load()
	return queued > 0 || len(s.Runs()) > 0
}

// Load implements wire.Engine.
func (s *server) Load() (queued, usedTokens, capacityTokens int) {
	s.mu.Lock()
	l := s.load
	s.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue), l.usedTokens, l.limits.tokens
}

// atSpeed returns how long a step of the usual duration takes the engine now.
func (s *server) atSpeed(usual time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(float64(usual) * s.slowdown / s.speed)
}

// prefillDuration returns how long the prefill of a prompt takes.
func (s *server) prefillDuration(tokens int) time.Duration {
	return s.atSpeed(prefillTime * time.Duration(tokens) / usualPromptTokens)
}

// stepDuration returns the time until the next event of a run. While the engine prefills another
// prompt, events are slower.
func (s *server) stepDuration() time.Duration {
	d := s.atSpeed(s.harness.opts.Scenario.eventInterval())
	if s.harness.opts.Scenario.hasUnequalEngines() && s.isPrefilling() {
		return prefillSlowdown * d
	}
	return d
}

// isPrefilling reports whether a run has not sent its first event.
func (s *server) isPrefilling() bool {
	for _, events := range s.Runs() {
		if events == 0 {
			return true
		}
	}
	return false
}

// expireReplica frees a copy: at once if its run is complete, or else after replicaTTL.
func (h *harness) expireReplica(address, name string, complete bool) {
	s, _ := h.serverAt(address)
	if s == nil || !h.opts.Scenario.hasPriorities() {
		return
	}
	s.mu.Lock()
	c, ok := s.replicas[name]
	replicas := s.replicas
	s.mu.Unlock()
	if !ok {
		return
	}
	drop := func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(replicas, name)
		c.release()
	}
	if complete {
		drop()
		return
	}
	time.AfterFunc(replicaTTL, drop)
}
