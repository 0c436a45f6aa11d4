package versions

import (
	"time"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/rollout"
)

// Trial is one request at one server while a roll-out of its service is under way. Its methods do
// nothing where it is nil.
type Trial struct {
	m      *Manager
	s      *service
	sample rollout.Sample
	began  time.Duration
	done   bool
}

// StartTrial begins to watch a request at a server; it returns nil where there is nothing to compare.
func (m *Manager) StartTrial(server routing.Server, route string, kind rollout.Kind) *Trial {
	now := m.current.Load()
	if !now.active {
		return nil
	}
	state := now.State(server.Service)
	if !state.Stage.IsRunning() || server.Version != state.Target && server.Version != state.Baseline {
		return nil
	}
	t := &Trial{m: m, began: m.opts.Clock(), sample: rollout.Sample{
		Route: route, Server: server.ID, Zone: server.Zone, OnTarget: server.Version == state.Target, Kind: kind,
	}}
	m.mu.Lock()
	defer m.mu.Unlock()
	t.s = m.of(server.Service)
	if t.sample.OnTarget {
		t.s.waiting[t] = true
	}
	return t
}

// ForKind watches the same request for something else.
func (t *Trial) ForKind(kind rollout.Kind) *Trial {
	if t == nil {
		return nil
	}
	next := &Trial{m: t.m, s: t.s, sample: t.sample, began: t.began}
	next.sample.Kind = kind
	return next
}

// Done records how the request ended at the server; only the first call counts.
func (t *Trial) Done(outcome rollout.Outcome) {
	if t != nil {
		t.DoneWithDuration(outcome, t.m.opts.Clock()-t.began)
	}
}

// DoneWithDuration is Done with another time than that since the trial began.
func (t *Trial) DoneWithDuration(outcome rollout.Outcome, took time.Duration) {
	if t == nil {
		return
	}
	t.m.mu.Lock()
	defer t.m.mu.Unlock()
	if t.done {
		return
	}
	t.done = true
	delete(t.s.waiting, t)
	sample := t.sample
	sample.Outcome, sample.Duration, sample.EndedAt = outcome, took, t.m.opts.Clock()
	if len(t.s.log) < maxLog {
		t.s.log = append(t.s.log, sample)
	}
}

// Discard forgets the request: how it ended says nothing of the server.
func (t *Trial) Discard() {
	if t == nil {
		return
	}
	t.m.mu.Lock()
	defer t.m.mu.Unlock()
	t.done = true
	delete(t.s.waiting, t)
}

// waitingNow are the requests at the target that have no answer yet. The caller holds the lock.
func (s *service) waitingNow(now time.Duration) (list []rollout.Sample) {
	for t := range s.waiting {
		sample := t.sample
		sample.Outcome, sample.Duration, sample.EndedAt = rollout.Unanswered, now-t.began, now
		list = append(list, sample)
	}
	return list
}
