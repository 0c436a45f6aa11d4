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
	// writeTimeout bounds one attempt to write how far a roll-out is.
	writeTimeout = time.Second
	// writeRetryDelay is the time between two attempts.
	writeRetryDelay = 300 * time.Millisecond
	// viewSettleTime is how long after an outage of the store the view still shows servers that are gone.
	viewSettleTime = 2600 * time.Millisecond
	// analysisTimeDivisor bounds the part of this daemon's time that looking at what was seen may take: one
	// part in so many.
	analysisTimeDivisor = 20
)

// decide takes the next step of a roll-out, if it is due.
func (m *Manager) decide(ctx context.Context, s *service) {
	view := m.opts.Feed.View()
	underWay := m.inFlight(s.name, m.Snapshot(view).State(s.name))
	m.mu.Lock()
	now := m.opts.Clock()
	if now < max(s.retryAt, s.nextAnalysisAt) || s.evidence == nil || view.Config == nil {
		m.mu.Unlock()
		return
	}
	step := rollout.Step{State: s.state}
	if !s.state.Stage.IsTerminal() {
		began := time.Now()
		step = rollout.Next(m.stepInput(now, view, s, underWay))
		s.nextAnalysisAt = now + analysisTimeDivisor*time.Since(began)
	}
	if !m.isConfigFresh() {
		s.lastStaleAt = now
	}
	if step.State.Stage != rollout.RolledBack && s.lastStaleAt != 0 && now-s.lastStaleAt < viewSettleTime {
		m.mu.Unlock()
		return // servers and orders may be others than this daemon knows
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
	due := time.Now().Add(s.startedAt + s.period - now).UnixMilli()
	s.retryAt = now + writeRetryDelay
	m.mu.Unlock()
	err := m.writeStatus(ctx, view, s, routing.RolloutStatus{State: step.State, DeadlineMS: due})
	if err != nil {
		return
	}
	m.mu.Lock()
	s.retryAt = 0
	m.mergeState(s, step.State, "decided", step.Reason, step.Analysis)
	m.mu.Unlock()
	m.broadcastState(ctx, s.name, step.State)
}

// writeStatus writes how far a roll-out is, over what this daemon knows to lie there.
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

// perSecond is how many of something there are a second, 0 where nothing was counted.
func perSecond(n int, in time.Duration) float64 {
	if in <= 0 {
		return 0
	}
	return float64(n) / in.Seconds()
}

// stepInput is what the next step is decided by. The caller holds the lock.
func (m *Manager) stepInput(now time.Duration, view *feed.View, s *service, underWay int) rollout.Input {
	s.evidence.Add(s.samples[s.samplesAdded:]...)
	s.samplesAdded = len(s.samples)
	in := rollout.Input{
		State: s.state, Limits: *m.limits.Load(), Elapsed: now - s.startedAt, Period: s.period,
		Evidence: s.evidence, Unanswered: s.unansweredSamples(now),
	}
	in.DaemonsReporting, in.BaselineInFlight = s.recentReports(now)
	in.DaemonsReporting++
	in.BaselineInFlight += underWay
	serving, _ := routing.Serving(view.VMs)
	in.Daemons = len(serving)
	all, drawn := s.routeCounts.Totals()
	in.TargetRequests, in.RequestsPerSecond = drawn, perSecond(all, now-s.countingSince)
	for _, r := range s.reporters {
		in.TargetRequests += r.targetRequests
		if now-r.reportedAt < reportValidity {
			in.RequestsPerSecond += perSecond(r.requests, r.countedFor)
			in.Unanswered = append(in.Unanswered, r.unanswered...)
		}
	}
	for _, one := range view.Servers[s.name] {
		switch {
		case one.Draining:
		case one.Version == s.state.Target:
			in.TargetServers++
		case one.Version == s.state.Baseline:
			in.BaselineServers++
		}
	}
	if engine := view.Config.Engine(s.name); engine != nil {
		in.CanMigrate = engine.CanReplicate
	}
	in.DefaultResponseTime = view.Config.MedianObjective(s.name)
	return in
}
