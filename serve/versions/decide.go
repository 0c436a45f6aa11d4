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
	// writeAgain is the time between two attempts.
	writeAgain = 300 * time.Millisecond
	// settled is how long after an outage of the store the view still shows servers that are gone.
	settled = 2600 * time.Millisecond
	// lookShare bounds the part of this daemon's time that looking at what was seen may take: one
	// part in so many.
	lookShare = 20
)

// decide takes the next step of a roll-out, if it is due.
func (m *Manager) decide(ctx context.Context, s *service) {
	view := m.opts.Feed.View()
	underWay := m.underWay(s.name, m.Snapshot(view).State(s.name))
	m.mu.Lock()
	now := m.opts.Clock()
	if now < max(s.retry, s.look) || s.evidence == nil || view.Config == nil {
		m.mu.Unlock()
		return
	}
	step := rollout.Step{State: s.state}
	if !s.state.Stage.IsTerminal() {
		began := time.Now()
		step = rollout.Next(m.input(now, view, s, underWay))
		s.look = now + lookShare*time.Since(began)
	}
	if !m.inTouch() {
		s.apart = now
	}
	if step.State.Stage != rollout.RolledBack && s.apart != 0 && now-s.apart < settled {
		m.mu.Unlock()
		return // servers and orders may be others than this daemon knows
	}
	stored := view.Rollouts[s.name]
	if stored.Status != nil && stored.Status.State == step.State || step.State.Stage == rollout.Pending {
		m.mu.Unlock()
		return
	}
	if step.State.Stage == rollout.RolledBack && s.state.Stage != rollout.RolledBack {
		m.believe(s, step.State, "decided", step.Reason, step.Analysis)
		go m.tellAll(ctx, s.name, step.State)
	}
	due := time.Now().Add(s.began + s.period - now).UnixMilli()
	s.retry = now + writeAgain
	m.mu.Unlock()
	err := m.write(ctx, view, s, routing.RolloutStatus{State: step.State, DeadlineMS: due})
	if err != nil {
		return
	}
	m.mu.Lock()
	s.retry = 0
	m.believe(s, step.State, "decided", step.Reason, step.Analysis)
	m.mu.Unlock()
	m.tellAll(ctx, s.name, step.State)
}

// write writes how far a roll-out is, over what this daemon knows to lie there.
func (m *Manager) write(ctx context.Context, view *feed.View, s *service, status routing.RolloutStatus) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err := m.opts.Feed.WriteRolloutStatus(ctx, s.name, status, view.Rollouts[s.name].StatusRevision)
	if err != nil {
		m.metrics.failed.Inc()
		m.opts.Log.Emit(event.RolloutWriteFailed, s.name, status.Stage.String(), errors.Is(err, store.ErrConflict), err)
	}
	return err
}

// rate is how many of something there are a second, 0 where nothing was counted.
func rate(n int, in time.Duration) float64 {
	if in <= 0 {
		return 0
	}
	return float64(n) / in.Seconds()
}

// input is what the next step is decided by. The caller holds the lock.
func (m *Manager) input(now time.Duration, view *feed.View, s *service, underWay int) rollout.Input {
	s.evidence.Add(s.log[s.added:]...)
	s.added = len(s.log)
	in := rollout.Input{
		State: s.state, Limits: *m.limits.Load(), Elapsed: now - s.began, Period: s.period,
		Evidence: s.evidence, Unanswered: s.waitingNow(now),
	}
	in.DaemonsReporting, in.BaselineInFlight = s.heardLately(now)
	in.DaemonsReporting++
	in.BaselineInFlight += underWay
	serving, _ := routing.Serving(view.VMs)
	in.Daemons = len(serving)
	all, drawn := s.mix.Totals()
	in.TargetRequests, in.RequestsPerSecond = drawn, rate(all, now-s.counting)
	for _, r := range s.heard {
		in.TargetRequests += r.drawn
		if now-r.at < heardFor {
			in.RequestsPerSecond += rate(r.begun, r.counted)
			in.Unanswered = append(in.Unanswered, r.waiting...)
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
