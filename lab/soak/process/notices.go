package process

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// noticePropagation is how long after a server's response its daemon may still send it requests
	// that were under way.
	noticePropagation = 500 * time.Millisecond
	// maxRequestsInPause is how many requests of one daemon may reach a server in the pause that it
	// asked that daemon for.
	maxRequestsInPause = 2
	// pausingTime is how long a server rejects all requests with a pause.
	pausingTime = 4 * time.Second
)

// notices is what a server states in its responses about the requests that it takes, and to which
// daemons it has stated that. A restart of a daemon makes it forget.
type notices struct {
	leaving   bool
	toldLeave map[string]time.Time // by the caller address of the daemon
	pause     time.Duration        // asked for with each rejection; 0 if the server serves
	pauses    map[string]*pauseAsked
}

// pauseAsked is the first pause that a server asked a daemon for and that has not ended.
type pauseAsked struct {
	at, until time.Time
	arrivals  int // requests that arrived later than noticePropagation after at
}

func newNotices() notices {
	return notices{toldLeave: map[string]time.Time{}, pauses: map[string]*pauseAsked{}}
}

// retryAfter returns the Retry-After of a rejection.
func (n *notices) retryAfter() string {
	return strconv.FormatFloat(n.pause.Seconds(), 'g', -1, 64)
}

// rejectForPause reports whether the server rejects a request because it pauses, and checks that its
// daemon keeps to the pause.
func (s *server) rejectForPause(sent sentRequest) (retryAfter string, rejected bool) {
	now, startedAt, holds := time.Now(), s.harness.daemonStartedAt(sent.daemon), s.harness.boundsHold()
	s.mu.Lock()
	defer s.mu.Unlock()
	asked := s.notices.pauses[sent.daemon]
	if asked != nil && (!now.Before(asked.until) || startedAt.After(asked.at) || !holds) {
		asked = nil
		delete(s.notices.pauses, sent.daemon)
	}
	if asked != nil && now.After(asked.at.Add(noticePropagation)) {
		if asked.arrivals++; asked.arrivals > maxRequestsInPause {
			s.harness.recorder.recordViolation("%d requests of %s reach %s in the pause that it asked for %v ago", asked.arrivals, sent.daemon, s.id, now.Sub(asked.at))
		}
	}
	if s.notices.pause == 0 {
		return "", false
	}
	if asked == nil && holds {
		s.notices.pauses[sent.daemon] = &pauseAsked{at: now, until: now.Add(s.notices.pause)}
	}
	return s.notices.retryAfter(), true
}

// checkLeaving checks that the daemon of a request was not told long ago that the server leaves, and
// reports whether the response states that.
func (s *server) checkLeaving(id string, sent sentRequest) (leaving bool) {
	startedAt, holds := s.harness.daemonStartedAt(sent.daemon), s.harness.boundsHold()
	s.mu.Lock()
	defer s.mu.Unlock()
	if told, ok := s.notices.toldLeave[sent.daemon]; ok && holds && told.After(startedAt) && sent.sentAt.After(told.Add(drainPropagation)) {
		s.harness.recorder.recordViolation("%s reaches %s, which told %s %v before that it leaves", id, s.id, sent.daemon, sent.sentAt.Sub(told))
	}
	return s.notices.leaving
}

// recordLeavingPassedOn records that a daemon has passed on a response which states that its server
// leaves.
func (h *harness) recordLeavingPassedOn(signature, daemon string) {
	exec, ok := h.recorder.executionBySignature(signature)
	if !ok {
		return
	}
	h.mu.Lock()
	servers := slices.Clone(h.servers)
	h.mu.Unlock()
	for _, s := range servers {
		s.mu.Lock()
		if _, known := s.notices.toldLeave[daemon]; s.id == exec.server && !known {
			s.notices.toldLeave[daemon] = time.Now()
		}
		s.mu.Unlock()
	}
}

// boundsHold reports whether time bounds apply now.
func (h *harness) boundsHold() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.opts.Timed && time.Now().After(h.boundsSuspendedUntil)
}

// daemonStartedAt returns when the process of the daemon with a caller address started.
func (h *harness) daemonStartedAt(address string) time.Time {
	for _, d := range h.daemons {
		if d.callerProxy.address() == address {
			d.mu.Lock()
			defer d.mu.Unlock()
			return d.startedAt
		}
	}
	return time.Time{}
}

// leaveByResponses makes a server state in its responses that it leaves, while the store lists it as
// ready, and then replaces it as drainServer does.
func (h *harness) leaveByResponses(context.Context) {
	s := h.randomServer()
	s.lifecycle.Lock()
	defer s.lifecycle.Unlock()
	if s.retired {
		return
	}
	s.mu.Lock()
	s.notices.leaving = true
	s.mu.Unlock()
	time.Sleep(2 * drainPropagation)
	h.replaceDraining(s)
}

// askForPauses makes a plain server reject all requests for a while, each with a pause.
func (h *harness) askForPauses(ctx context.Context) {
	s := h.activePlainServer()
	pause := 500*time.Millisecond + h.randomDuration(2*time.Second)
	set := func(pause time.Duration) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.notices.pause = pause
	}
	set(pause)
	select {
	case <-time.After(pausingTime):
	case <-ctx.Done():
	}
	set(0)
}

// restoreStore makes the store come back from a copy some seconds old. The operator and the servers
// write again what it has lost.
func (h *harness) restoreStore(ctx context.Context) {
	if !h.restoring.TryLock() {
		return
	}
	defer h.restoring.Unlock()
	copied := h.memory.Copy()
	h.suspendBoundsUpTo(ctx, 4*time.Second)
	h.standIn.Refuse(503)
	h.suspendBounds(ctx, time.Second)
	h.memory.Restore(copied)
	h.standIn.Refuse(0)
	h.suspendBoundsUpTo(ctx, 800*time.Millisecond)
	h.writeAgain()
	h.suspendBounds(ctx, 0)
}

// writtenEntries holds the last value of each key that the operator and the servers have written, nil
// if they have removed it.
type writtenEntries struct {
	mu     sync.Mutex
	values map[string][]byte
}

func (w *writtenEntries) record(key string, value []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.values == nil {
		w.values = map[string][]byte{}
	}
	w.values[key] = value
}

// writeAgain writes all entries of the operator and the servers once more.
func (h *harness) writeAgain() {
	h.written.mu.Lock()
	defer h.written.mu.Unlock()
	for key, value := range h.written.values {
		if value == nil {
			h.removeFromStore(key)
		} else {
			h.writeToStore(key, value)
		}
	}
}
