package versions

import (
	"time"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/rollout"
	"mallowwind.dev/telemetry/event"
)

const (
	// maxLog bounds the samples of one roll-out that a daemon keeps; what a version shows after
	// that was seen before.
	maxLog = 2000
	// seenLate is how long before this daemon saw an order it was given at most, while the daemon
	// is in touch: a batch of changes and the way here.
	seenLate = 150 * time.Millisecond
	// outOfDate is above the age that the configuration reaches while all is well.
	outOfDate = 2600 * time.Millisecond
)

// service is what is known of one service's roll-out. The manager's lock guards it.
type service struct {
	name  string
	state rollout.State
	// known says that the versions of its servers were looked at.
	known bool
	// began is when the order was given, at the earliest, on the feed's clock; period is its time.
	began, period time.Duration
	// leave are closed when answers under way at a version go on elsewhere.
	leave map[string]chan struct{}

	busy bool // decide or report is under way

	mix      rollout.RouteCounter
	counting time.Duration    // since when mix counts
	log      []rollout.Sample // of this daemon, At on the feed's clock
	waiting  map[*Trial]bool
	sent     cursor        // to the daemon that decides
	due      time.Duration // of the next report
	drained  bool          // the last report said that nothing is under way any more

	heard    map[string]*reporter // by daemon
	evidence *rollout.Evidence
	added    int           // of the own log to evidence
	retry    time.Duration // when to try to write again
	apart    time.Duration // when this daemon was out of touch last; 0 if it never was
	look     time.Duration // when to look again at what was seen
	written  int64         // the order whose end lies in the store
}

// cursor is how far a daemon was told what was seen here.
type cursor struct {
	daemon string
	next   int
}

// reporter is another daemon that told what it saw.
type reporter struct {
	boot     uint64
	stage    rollout.Stage // that it believed when it told last
	next     int64
	at       time.Duration
	underWay int
	waiting  []rollout.Sample
	// begun are the requests that it counted in some time, drawn those of them for the target.
	begun, drawn int
	counted      time.Duration
}

func newService(name string) *service {
	return &service{name: name, leave: map[string]chan struct{}{}, waiting: map[*Trial]bool{}}
}

// active reports whether there is something to do for a roll-out.
func (s *service) active() bool {
	return s.state.Stage != rollout.Idle && (!s.state.Stage.IsTerminal() || s.unwritten())
}

// unwritten reports whether the end of a roll-out does not lie in the store yet.
func (s *service) unwritten() bool {
	return s.state.Stage.IsTerminal() && s.written != s.state.OrderRevision
}

// take takes in what the store says.
func (s *service) take(m *Manager, view *feed.View, servers []routing.Server) {
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
			s.written = stored.OrderRevision
		}
	}
	next := rollout.Resolve(order, stored, s.state, present)
	if r.Order != nil {
		s.period = r.Order.Period
	}
	if next.OrderRevision != s.state.OrderRevision && next.Stage != rollout.Idle && !next.Stage.IsTerminal() {
		s.start(m, view, next)
	}
	if next != s.state {
		s.set(m, next, "store", "", rollout.Analysis{})
	}
}

// start begins to follow another order.
func (s *service) start(m *Manager, view *feed.View, next rollout.State) {
	r := view.Rollouts[s.name]
	if next.Target == s.state.Target && s.state.Stage.IsRunning() {
		return // the same order again
	}
	now := m.opts.Clock()
	s.began = now - seenLate
	if before := view.PreviousConfirmedAt; before > 0 && now-before > outOfDate {
		s.began = before // it may have been given at any time since
	}
	if r.Status != nil && r.Status.OrderRevision == next.OrderRevision && r.Status.DeadlineMS > 0 {
		// It runs already; the rest of its time is known by the time of day alone.
		left := time.Until(time.UnixMilli(r.Status.DeadlineMS))
		s.began = now + min(max(left, 0), s.period) - s.period
	}
	s.counting = now
	s.mix, s.log, s.waiting, s.sent = rollout.RouteCounter{}, nil, map[*Trial]bool{}, cursor{}
	s.heard, s.evidence, s.added = map[string]*reporter{}, &rollout.Evidence{}, 0
	m.opts.Log.Emit(event.RolloutOrdered, s.name, next.Baseline, next.Target, next.OrderRevision, s.period)
}

// set changes the state.
func (s *service) set(m *Manager, next rollout.State, by string, reason rollout.Reason, f rollout.Analysis) {
	before := s.state
	s.state = next
	if before.Stage != next.Stage || before.OrderRevision != next.OrderRevision {
		if s.known || next.Stage != rollout.Idle {
			m.metrics.stage(next.Stage)
			m.opts.Log.Emit(event.RolloutStage, s.name, next.Baseline, next.Target, next.OrderRevision, next.Stage.String(), next.Share, by, string(reason),
				m.opts.Clock()-s.began, f.Route, f.Kind.String(), f.Compared, f.BadSamples, f.ExpectedBad)
		}
	}
	s.known = true
	for version, leave := range s.leave {
		if next.ShouldMigrate(version) {
			close(leave)
			delete(s.leave, version)
		}
	}
}

// leaving returns a channel that is closed when answers under way at a version go on elsewhere.
func (s *service) leaving(version string) <-chan struct{} {
	if s.state.ShouldMigrate(version) {
		return closed
	}
	if s.leave[version] == nil {
		s.leave[version] = make(chan struct{})
	}
	return s.leave[version]
}

var closed = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()
