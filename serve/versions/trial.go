package versions

import (
	"time"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/rollout"
)

// Trial measures one request at one server while a rollout of the service is running. The methods of
// a nil Trial do nothing.
type Trial struct {
	m         *Manager
	s         *service
	sample    rollout.Sample
	startedAt time.Duration
	done      bool
}

// StartTrial begins to measure a request at a server. It returns nil unless the server runs the
// baseline or the target version of a running rollout.
func (m *Manager) StartTrial(server routing.Server, route string, kind rollout.Kind) *Trial {
	snapshot := m.current.Load()
	if !snapshot.active {
		return nil
	}
	state := snapshot.State(server.Service)
	if !state.Stage.IsRunning() || server.Version != state.Target && server.Version != state.Baseline {
		return nil
	}
	t := &Trial{m: m, startedAt: m.opts.Clock(), sample: rollout.Sample{
		Route: route, Server: server.ID, Zone: server.Zone, OnTarget: server.Version == state.Target, Kind: kind,
	}}
	m.mu.Lock()
	defer m.mu.Unlock()
	t.s = m.service(server.Service)
	if t.sample.OnTarget {
		t.s.unanswered[t] = true
	}
	return t
}

// ForKind returns a trial of the same request that measures another quantity.
func (t *Trial) ForKind(kind rollout.Kind) *Trial {
	if t == nil {
		return nil
	}
	next := &Trial{m: t.m, s: t.s, sample: t.sample, startedAt: t.startedAt}
	next.sample.Kind = kind
	return next
}

// Done records the outcome of the request; only the first call counts.
func (t *Trial) Done(outcome rollout.Outcome) {
	if t != nil {
		t.DoneWithDuration(outcome, t.m.opts.Clock()-t.startedAt)
	}
}

// DoneWithDuration is Done with a given duration instead of the time since the trial began.
func (t *Trial) DoneWithDuration(outcome rollout.Outcome, duration time.Duration) {
	if t == nil {
		return
	}
	t.m.mu.Lock()
	defer t.m.mu.Unlock()
	if t.done {
		return
	}
	t.done = true
	delete(t.s.unanswered, t)
	sample := t.sample
	sample.Outcome, sample.Duration, sample.EndedAt = outcome, duration, t.m.opts.Clock()
	if len(t.s.samples) < maxSamples {
		t.s.samples = append(t.s.samples, sample)
	}
}

// Discard ends the trial without a sample, for a request whose outcome says nothing about the server.
func (t *Trial) Discard() {
	if t == nil {
		return
	}
	t.m.mu.Lock()
	defer t.m.mu.Unlock()
	t.done = true
	delete(t.s.unanswered, t)
}

// unansweredSamples returns samples of the requests on the target that have no response yet. The
// caller holds the lock.
func (s *service) unansweredSamples(now time.Duration) (list []rollout.Sample) {
	for t := range s.unanswered {
		sample := t.sample
		sample.Outcome, sample.Duration, sample.EndedAt = rollout.Unanswered, now-t.startedAt, now
		list = append(list, sample)
	}
	return list
}
