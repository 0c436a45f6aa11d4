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
	divisor   int // the sample is the elapsed time divided by it
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
	t := &Trial{m: m, startedAt: m.opts.Clock(), divisor: 1, sample: rollout.Sample{
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

// ForKind returns a trial of the same request that measures another quantity from the same start.
func (t *Trial) ForKind(kind rollout.Kind) *Trial {
	if t == nil {
		return nil
	}
	return t.derive(kind, t.startedAt, 1)
}

// ForPace returns a trial of the same request that measures the mean time between its next events.
func (t *Trial) ForPace(events int) *Trial {
	if t == nil {
		return nil
	}
	return t.derive(rollout.EventInterval, t.m.opts.Clock(), events)
}

func (t *Trial) derive(kind rollout.Kind, startedAt time.Duration, divisor int) *Trial {
	next := &Trial{m: t.m, s: t.s, sample: t.sample, startedAt: startedAt, divisor: divisor}
	next.sample.Kind = kind
	if next.sample.OnTarget {
		t.m.mu.Lock()
		defer t.m.mu.Unlock()
		t.s.unanswered[next] = true
	}
	return next
}

// sampleAt returns the sample that results if the trial ends now. While it still runs, that is a
// lower bound of its result.
func (t *Trial) sampleAt(now time.Duration, outcome rollout.Outcome) rollout.Sample {
	sample := t.sample
	sample.Outcome, sample.Duration, sample.EndedAt = outcome, (now-t.startedAt)/time.Duration(t.divisor), now
	return sample
}

// Done records the outcome of the request; only the first call counts.
func (t *Trial) Done(outcome rollout.Outcome) {
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
	if len(t.s.samples) < maxSamples {
		t.s.samples = append(t.s.samples, t.sampleAt(t.m.opts.Clock(), outcome))
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

// unansweredSamples returns samples of the requests on the target that are still measured. The
// caller holds the lock.
func (s *service) unansweredSamples(now time.Duration) (list []rollout.Sample) {
	for t := range s.unanswered {
		list = append(list, t.sampleAt(now, rollout.Unanswered))
	}
	return list
}
