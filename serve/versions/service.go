package versions

import (
	"time"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/rollout"
	"mallowwind.dev/telemetry/event"
)

const (
	// maxSamples bounds the samples of one roll-out that a daemon keeps; what a version shows after
	// that was seen before.
	maxSamples = 2000
	// maxOrderDelay is how long before this daemon saw an order it was given at most, while the daemon
	// is in touch: a batch of changes and the way here.
	maxOrderDelay = 150 * time.Millisecond
	// staleConfigAge is above the age that the configuration reaches while all is well.
	staleConfigAge = 2600 * time.Millisecond
)

// service is what is known of one service's roll-out. The manager's lock guards it.
type service struct {
	name  string
	state rollout.State
	// initialized says that the versions of its servers were looked at.
	initialized bool
	// startedAt is when the order was given, at the earliest, on the feed's clock; period is its time.
	startedAt, period time.Duration
	// migrateSignals are closed when answers under way at a version go on elsewhere.
	migrateSignals map[string]chan struct{}

	busy bool // decide or report is under way

	routeCounts   rollout.RouteCounter
	countingSince time.Duration    // since when mix counts
	samples       []rollout.Sample // of this daemon, At on the feed's clock
	unanswered    map[*Trial]bool
	reported      reportCursor  // to the daemon that decides
	nextReportAt  time.Duration // of the next report
	drainReported bool          // the last report said that nothing is under way any more

	reporters      map[string]*reporter // by daemon
	evidence       *rollout.Evidence
	samplesAdded   int           // of the own log to evidence
	retryAt        time.Duration // when to try to write again
	lastStaleAt    time.Duration // when this daemon was out of touch last; 0 if it never was
	nextAnalysisAt time.Duration // when to look again at what was seen
	storedOrder    int64         // the order whose end lies in the store
}

// reportCursor is how far a daemon was told what was seen here.
type reportCursor struct {
	daemon string
	next   int
}

// reporter is another daemon that told what it saw.
type reporter struct {
	bootID     uint64
	stage      rollout.Stage // that it believed when it told last
	nextSample int64
	reportedAt time.Duration
	inFlight   int
	unanswered []rollout.Sample
	// requests are the requests that it counted in some time, drawn those of them for the target.
	requests, targetRequests int
	countedFor               time.Duration
}

func newService(name string) *service {
	return &service{name: name, migrateSignals: map[string]chan struct{}{}, unanswered: map[*Trial]bool{}}
}

// isActive reports whether there is something to do for a roll-out.
func (s *service) isActive() bool {
	return s.state.Stage != rollout.Idle && (!s.state.Stage.IsTerminal() || s.hasUnstoredEnd())
}

// hasUnstoredEnd reports whether the end of a roll-out does not lie in the store yet.
func (s *service) hasUnstoredEnd() bool {
	return s.state.Stage.IsTerminal() && s.storedOrder != s.state.OrderRevision
}

// applyStored takes in what the store says.
func (s *service) applyStored(m *Manager, view *feed.View, servers []routing.Server) {
	present := map[string]int{}
	for _, one := range servers {
		present[one.Version]++
	}
	r := view.Rollouts[s.name]
	var order *rollout.Order
	if r.Order != nil {
		order = &rollout.Order{Revision: r.Order.Revision, Target: r.Order.Target}
	}
	var stored *rollout.State
	if r.Status != nil {
		stored = &r.Status.State
		if stored.Stage.IsTerminal() {
			s.storedOrder = stored.OrderRevision
		}
	}
	next := rollout.Resolve(order, stored, s.state, present)
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

// startOrder begins to follow another order.
func (s *service) startOrder(m *Manager, view *feed.View, next rollout.State) {
	r := view.Rollouts[s.name]
	if next.Target == s.state.Target && s.state.Stage.IsRunning() {
		return // the same order again
	}
	now := m.opts.Clock()
	s.startedAt = now - maxOrderDelay
	if before := view.PreviousConfirmedAt; before > 0 && now-before > staleConfigAge {
		s.startedAt = before // it may have been given at any time since
	}
	if r.Status != nil && r.Status.OrderRevision == next.OrderRevision && r.Status.DeadlineMS > 0 {
		// It runs already; the rest of its time is known by the time of day alone.
		left := time.Until(time.UnixMilli(r.Status.DeadlineMS))
		s.startedAt = now + min(max(left, 0), s.period) - s.period
	}
	s.countingSince = now
	s.routeCounts, s.samples, s.unanswered, s.reported = rollout.RouteCounter{}, nil, map[*Trial]bool{}, reportCursor{}
	s.reporters, s.evidence, s.samplesAdded = map[string]*reporter{}, &rollout.Evidence{}, 0
	m.opts.Log.Emit(event.RolloutOrdered, s.name, next.Baseline, next.Target, next.OrderRevision, s.period)
}

// setState changes the state.
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

// migrateSignal returns a channel that is closed when answers under way at a version go on elsewhere.
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
