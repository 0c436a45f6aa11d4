package versions

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/rollout"
	"mallowwind.dev/external/store"
	"mallowwind.dev/telemetry/event"
)

const (
	// writeTimeout bounds one attempt to write the status of a rollout.
	writeTimeout = time.Second
	// writeRetryDelay is the time between two attempts.
	writeRetryDelay = 300 * time.Millisecond
	// viewSettleTime is how long the view may still show servers that are gone after an outage of
	// the store.
	viewSettleTime = 2600 * time.Millisecond
	// analysisTimeDivisor limits the analysis of a rollout's samples to 1/20 of this daemon's time: the
	// next analysis begins, at the earliest, this many times the duration of the last one after it.
	analysisTimeDivisor = 20
)

// decide takes the next step of a rollout and writes it to the store, unless it is too early for
// another analysis or write, or this daemon lacks the configuration.
func (m *Manager) decide(ctx context.Context, s *service) {
	view := m.opts.Feed.View()
	inFlight := m.inFlight(s.name, m.Snapshot(view).State(s.name))
	m.mu.Lock()
	now := m.opts.Clock()
	if now < max(s.retryAt, s.nextAnalysisAt) || s.evidence == nil || view.Config == nil {
		m.mu.Unlock()
		return
	}
	step := rollout.Step{State: s.state}
	if !s.state.Stage.IsTerminal() {
		began := time.Now()
		step = rollout.Next(m.stepInput(now, view, s, inFlight))
		s.nextAnalysisAt = now + analysisTimeDivisor*time.Since(began)
	}
	if !m.isConfigFresh() {
		s.lastStaleAt = now
	}
	if step.State.Stage != rollout.RolledBack && s.lastStaleAt != 0 && now-s.lastStaleAt < viewSettleTime {
		m.mu.Unlock()
		return // the servers and orders known here may be out of date
	}
	stored := view.Rollouts[s.name]
	if stored.Status != nil && stored.Status.State == step.State || step.State.Stage == rollout.Pending {
		m.mu.Unlock()
		return
	}
	if step.State.Stage == rollout.RolledBack && s.state.Stage != rollout.RolledBack {
		m.mergeState(s, step.State, "decided", step.Reason, step.Analysis)
		go m.broadcastState(ctx, s.name, step.State)
	}
	deadline := time.Now().Add(s.startedAt + s.period - now).UnixMilli()
	s.retryAt = now + writeRetryDelay
	m.mu.Unlock()
	if step.State.Stage == rollout.Completed && !m.targetAccepts(view, step.State, s.name) {
		return
	}
	err := m.writeStatus(ctx, view, s, routing.RolloutStatus{State: step.State, DeadlineMS: deadline})
	if err != nil {
		return
	}
	m.mu.Lock()
	s.retryAt = 0
	m.mergeState(s, step.State, "decided", step.Reason, step.Analysis)
	m.mu.Unlock()
	m.broadcastState(ctx, s.name, step.State)
}

// targetAccepts reports whether a server of the target accepts connections. The baseline's servers
// stop when a rollout is completed, and the store may list servers that were just lost: without the
// check, no server of either version would be left.
func (m *Manager) targetAccepts(view *feed.View, state rollout.State, service string) bool {
	var servers []routing.Server
	for server := range view.Servers[service].All() {
		if server.Version == state.Target && !server.Draining {
			servers = append(servers, server)
		}
	}
	if m.acceptsAny(servers) {
		return true
	}
	m.opts.Log.Emit(event.RolloutTargetSilent, service, state.Target, len(servers))
	return false
}

// writeStatus writes the status of a rollout if the store still holds the revision known here.
func (m *Manager) writeStatus(ctx context.Context, view *feed.View, s *service, status routing.RolloutStatus) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err := m.opts.Feed.WriteRolloutStatus(ctx, s.name, status, view.Rollouts[s.name].StatusRevision)
	if err != nil {
		m.metrics.failedWrites.Inc()
		m.opts.Log.Emit(event.RolloutWriteFailed, s.name, status.Stage.String(), errors.Is(err, store.ErrConflict), err)
	}
	return err
}

// perSecond returns the rate of n events within a duration, 0 if the duration is not positive.
func perSecond(n int, duration time.Duration) float64 {
	if duration <= 0 {
		return 0
	}
	return float64(n) / duration.Seconds()
}

// stepInput returns the input of the next step; inFlight is the number of requests that this daemon
// has in flight on the baseline. The caller holds the lock.
func (m *Manager) stepInput(now time.Duration, view *feed.View, s *service, inFlight int) rollout.Input {
	s.evidence.Add(s.samples[s.samplesAdded:]...)
	s.samplesAdded = len(s.samples)
	in := rollout.Input{
		State: s.state, Limits: *m.limits.Load(), Elapsed: now - s.startedAt, Period: s.period,
		Evidence: s.evidence, Unanswered: s.unansweredSamples(now),
	}
	in.DaemonsReporting, in.BaselineInFlight = s.recentReports(now)
	in.DaemonsReporting++
	in.BaselineInFlight += inFlight
	serving, _ := routing.Serving(view.VMs)
	in.Daemons = len(serving)
	all, target := s.routeCounts.Totals()
	in.TargetRequests, in.RequestsPerSecond = target, perSecond(all, now-s.countingSince)
	for _, r := range s.reporters {
		in.TargetRequests += r.targetRequests
		if now-r.reportedAt < reportValidity {
			in.RequestsPerSecond += perSecond(r.requests, r.countedFor)
			in.Unanswered = append(in.Unanswered, r.unanswered...)
		}
	}
	for server := range view.Servers[s.name].All() {
		switch {
		case server.Draining:
		case server.Version == s.state.Target:
			in.TargetServers++
		case server.Version == s.state.Baseline:
			in.BaselineServers++
		}
	}
	if engine := view.Config.Engine(s.name); engine != nil {
		in.CanMigrate = engine.CanReplicate
	}
	in.DefaultResponseTime = view.Config.MedianObjective(s.name)
	return in
}
