package versions

import (
	"time"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/decision/rollout"
	"mallowwind.dev/telemetry/event"
)

const (
	// maxSamples bounds the samples of one rollout that a daemon keeps; later samples of a version
	// repeat what the kept ones have shown.
	maxSamples = 2000
	// maxOrderDelay bounds the time from an order to its arrival at this daemon while the
	// configuration is up to date: the batching of changes and the transmission.
	maxOrderDelay = 150 * time.Millisecond
)

// service is the rollout state of one service. The manager's lock guards it.
type service struct {
	name  string
	state rollout.State
	// initialized is set by the first setState, which logs and counts no change to Idle.
	initialized bool
	// servers counts the servers in the last view; onBaseline is set while requests go to the
	// baseline because the target has no servers any more.
	servers    feed.VersionCounts
	onBaseline bool
	// startedAt is the earliest time at which the order may have been given, on the feed's clock;
	// period is the period of the order.
	startedAt, period time.Duration
	// migrateSignals holds, by version, the channels that are closed when responses in progress on
	// the version must continue on another server.
	migrateSignals map[string]chan struct{}

	busy bool // decide or report is running

	routeCounts   rollout.RouteCounter
	countingSince time.Duration    // when routeCounts began
	samples       []rollout.Sample // of this daemon, with EndedAt on the feed's clock
	unanswered    map[*Trial]bool
	reported      reportCursor // into samples
	nextReportAt  time.Duration
	drainReported bool // the last report had no request in flight on the baseline

	reporters      map[string]*reporter // by daemon
	evidence       *rollout.Evidence
	samplesAdded   int           // number of samples already added to evidence
	retryAt        time.Duration // when to retry the write of the status
	lastStaleAt    time.Duration // when the configuration was last stale; 0 if it never was
	nextAnalysisAt time.Duration
	storedOrder    int64 // revision of the order whose terminal stage is in the store
}

// reportCursor is the index of the next sample to report to a daemon.
type reportCursor struct {
	daemon string
	next   int
}

// reporter holds the last report of another daemon.
type reporter struct {
	bootID     uint64        // identifies the process; a restart resets nextSample
	stage      rollout.Stage // at that daemon when it reported
	nextSample int64         // number of the next sample expected from it
	reportedAt time.Duration
	inFlight   int // requests in flight on the baseline there
	unanswered []rollout.Sample
	// requests is the number of requests that the daemon has counted within countedFor, and
	// targetRequests the number of those that went to the target.
	requests, targetRequests int
	countedFor               time.Duration
}

func newService(name string) *service {
	return &service{name: name, migrateSignals: map[string]chan struct{}{}, unanswered: map[*Trial]bool{}}
}

// isActive reports whether the rollout is in progress or its end has not been stored yet.
func (s *service) isActive() bool {
	return s.state.Stage != rollout.Idle && (!s.state.Stage.IsTerminal() || s.hasUnstoredEnd())
}

// hasUnstoredEnd reports whether the rollout has ended and its end is not in the store yet.
func (s *service) hasUnstoredEnd() bool {
	return s.state.Stage.IsTerminal() && s.storedOrder != s.state.OrderRevision
}

// routedState returns the state by which requests are routed, and logs when it begins or ceases to
// differ from the state of the rollout.
func (s *service) routedState(m *Manager) rollout.State {
	routed := s.state.RoutedBy(func(version string) bool { return s.servers.Accepting[version] > 0 })
	if onBaseline := routed != s.state; onBaseline != s.onBaseline {
		s.onBaseline = onBaseline
		m.opts.Log.Emit(event.RolloutTargetGone, s.name, s.state.Baseline, s.state.Target, s.state.Stage.String(), onBaseline)
	}
	return routed
}

// applyStored applies the order and the status that the store holds, and the numbers of servers of
// each version.
func (s *service) applyStored(m *Manager, view *feed.View, servers feed.VersionCounts) {
	s.servers = servers
	r := view.Rollouts[s.name]
	var order *rollout.Order
	if r.Order != nil {
		order = &rollout.Order{Revision: r.Order.Revision, Renumbers: r.Order.Renumbers, Target: r.Order.Target}
	}
	var stored *rollout.State
	if r.Status != nil {
		stored = &r.Status.State
		if stored.Stage.IsTerminal() {
			s.storedOrder = stored.OrderRevision
		}
	}
	next := rollout.Resolve(order, stored, s.state, servers.All)
	if r.Order != nil {
		s.period = r.Order.Period
	}
	if next.OrderRevision != s.state.OrderRevision && next.Stage != rollout.Idle && !next.Stage.IsTerminal() {
		s.startOrder(m, view, next)
	}
	if next != s.state {
		s.setState(m, next, "store", "", rollout.Analysis{})
	}
}

// startOrder resets the samples and times for a new order.
func (s *service) startOrder(m *Manager, view *feed.View, next rollout.State) {
	r := view.Rollouts[s.name]
	if next.Target == s.state.Target && s.state.Stage.IsRunning() {
		return // the running rollout has the same target
	}
	now := m.opts.Clock()
	s.startedAt = now - maxOrderDelay
	if before := view.PreviousCompleteAt; before > 0 {
		s.startedAt = min(s.startedAt, before) // the order may have been given at any time since then
	}
	if r.Status != nil && r.Status.OrderRevision == next.OrderRevision && r.Status.DeadlineMS > 0 {
		// The rollout is already running; its remaining time follows from the wall clock alone.
		left := time.Until(time.UnixMilli(r.Status.DeadlineMS))
		s.startedAt = now + min(max(left, 0), s.period) - s.period
	}
	s.countingSince = now
	s.routeCounts, s.samples, s.unanswered, s.reported = rollout.RouteCounter{}, nil, map[*Trial]bool{}, reportCursor{}
	s.reporters, s.evidence, s.samplesAdded = map[string]*reporter{}, &rollout.Evidence{}, 0
	m.opts.Log.Emit(event.RolloutOrdered, s.name, next.Baseline, next.Target, next.OrderRevision, s.period)
}

// setState changes the state, logs a change of the stage and closes the migrate signals of the
// versions whose responses must continue on another server.
func (s *service) setState(m *Manager, next rollout.State, by string, reason rollout.Reason, f rollout.Analysis) {
	before := s.state
	s.state = next
	if before.Stage != next.Stage || before.OrderRevision != next.OrderRevision {
		if s.initialized || next.Stage != rollout.Idle {
			m.metrics.recordStage(next.Stage)
			m.opts.Log.Emit(event.RolloutStage, s.name, next.Baseline, next.Target, next.OrderRevision, next.Stage.String(), next.Share, by, string(reason),
				m.opts.Clock()-s.startedAt, f.Route, f.Kind.String(), f.Compared, f.BadSamples, f.ExpectedBad)
		}
	}
	s.initialized = true
	for version, leave := range s.migrateSignals {
		if next.ShouldMigrate(version) {
			close(leave)
			delete(s.migrateSignals, version)
		}
	}
}

// migrateSignal returns a channel that is closed when responses in progress on a version must
// continue on another server.
func (s *service) migrateSignal(version string) <-chan struct{} {
	if s.state.ShouldMigrate(version) {
		return closedChannel
	}
	if s.migrateSignals[version] == nil {
		s.migrateSignals[version] = make(chan struct{})
	}
	return s.migrateSignals[version]
}

var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()
