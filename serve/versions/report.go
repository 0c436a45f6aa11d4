package versions

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/rendezvous"
	"mallowwind.dev/decision/rollout"
	"mallowwind.dev/peer/peerpb"
	"mallowwind.dev/telemetry/event"
)

const (
	// reportInterval is the time between two reports of a daemon.
	reportInterval = time.Second
	// reportTimeout bounds one call to another daemon.
	reportTimeout = 300 * time.Millisecond
	// unresponsiveBackoff is how long no report is sent to a daemon after a failed call.
	unresponsiveBackoff = time.Second
	// maxSamplesPerReport bounds the samples of one report.
	maxSamplesPerReport = 250
	// coordinatorCount is the number of daemons that may coordinate a rollout: the coordinator and
	// its substitute.
	coordinatorCount = 2
	// maxConcurrentCalls bounds the concurrent calls of one broadcast.
	maxConcurrentCalls = 32
	// reportValidity is the age up to which the last report of a daemon counts as recent.
	reportValidity = 2500 * time.Millisecond
)

// peers calls other daemons.
type peers struct {
	opts      Options
	mu        sync.Mutex
	skipUntil map[string]time.Duration // until when no report is sent to a daemon, by id
}

func newPeers(o Options) *peers { return &peers{opts: o, skipUntil: map[string]time.Duration{}} }

// isResponsive reports whether no call to a daemon has failed within unresponsiveBackoff.
func (p *peers) isResponsive(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opts.Clock() >= p.skipUntil[id]
}

// call makes one call to a daemon. If it fails, the daemon counts as unresponsive for
// unresponsiveBackoff.
func (p *peers) call(ctx context.Context, vm routing.VM, do func(context.Context, peerpb.Rollout) (*peerpb.RolloutReply, error)) (*peerpb.RolloutReply, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	reply, err := do(ctx, peerpb.NewRolloutProtobufClient(p.opts.Dialer.URL(vm.PeerAddress), p.opts.Dialer.Client))
	if err != nil {
		p.mu.Lock()
		p.skipUntil[vm.ID] = p.opts.Clock() + unresponsiveBackoff
		p.mu.Unlock()
		p.opts.Log.Emit(event.RolloutPeerSilent, vm.PeerAddress, err)
	}
	return reply, err
}

// coordinators returns the daemons that may coordinate the rollouts of a service. The second one is
// the substitute of the first.
func coordinators(view *feed.View, service string) []routing.VM {
	vms, hashes := routing.Serving(view.VMs)
	var list []routing.VM
	for _, i := range rendezvous.Select(xxhash.Sum64String(service), hashes, coordinatorCount) {
		list = append(list, vms[i])
	}
	return list
}

// isCoordinator reports whether this daemon coordinates the rollouts of a service: it is the first of
// the coordinators, or the second and another daemon has reported to it recently, or there are none.
func (m *Manager) isCoordinator(s *service) bool {
	list := coordinators(m.opts.Feed.View(), s.name)
	for i, vm := range list {
		if vm.ID != m.opts.Self.ID {
			continue
		}
		if i == 0 {
			return true
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		reporting, _ := s.recentReports(m.opts.Clock())
		return reporting > 0
	}
	return len(list) == 0
}

// recentReports returns the number of other daemons that have reported recently and the number of
// requests in flight on the baseline there.
func (s *service) recentReports(now time.Duration) (n, inFlight int) {
	for _, r := range s.reporters {
		if now-r.reportedAt < reportValidity {
			n++
			inFlight += r.inFlight
			if s.state.Stage >= rollout.Full && r.stage < rollout.Full {
				inFlight++ // as far as is known, that daemon still sends requests to the baseline
			}
		}
	}
	return n, inFlight
}

// report sends a report to the coordinator if one is due, and to its substitute if the coordinator is
// unresponsive.
func (m *Manager) report(ctx context.Context, s *service) {
	if m.opts.Dialer == nil {
		return
	}
	for _, vm := range coordinators(m.opts.Feed.View(), s.name) {
		if vm.ID == m.opts.Self.ID || vm.PeerAddress == "" || !m.peers.isResponsive(vm.ID) {
			continue
		}
		q := m.nextReport(s, vm.ID)
		if q == nil {
			return
		}
		reply, err := m.peers.call(ctx, vm, func(ctx context.Context, c peerpb.Rollout) (*peerpb.RolloutReply, error) { return c.Report(ctx, q) })
		if err != nil {
			m.mu.Lock()
			s.nextReportAt = 0
			m.mu.Unlock()
			continue
		}
		m.mu.Lock()
		if reply.GetState().GetOrder() == q.GetState().GetOrder() {
			s.reported.next = min(max(0, int(reply.GetNext())), len(s.samples))
		}
		m.mergeRemoteState(reply.GetState())
		m.mu.Unlock()
		return
	}
}

// nextReport returns the next report for a daemon, nil if none is due. A report is due at once when
// no request is in flight on the baseline any more.
func (m *Manager) nextReport(s *service, to string) *peerpb.RolloutReport {
	inFlight := m.inFlight(s.name, m.current.Load().State(s.name))
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.opts.Clock()
	drained := s.state.Stage >= rollout.Full && inFlight == 0 && !s.drainReported
	if now < s.nextReportAt && !drained {
		return nil
	}
	s.drainReported = s.state.Stage >= rollout.Full && inFlight == 0
	s.nextReportAt = now + reportInterval
	if s.reported.daemon != to {
		s.reported = reportCursor{daemon: to}
	}
	from := min(s.reported.next, len(s.samples))
	q := &peerpb.RolloutReport{
		State: stateMessage(s.name, s.state), Daemon: m.opts.Self.ID, Boot: m.bootID, First: int64(from), UnderWay: int32(inFlight),
		CountedMs: (now - s.countingSince).Milliseconds(),
	}
	all, target := s.routeCounts.Totals()
	q.Begun, q.Drawn = int64(all), int64(target)
	for _, sample := range s.samples[from:min(len(s.samples), from+maxSamplesPerReport)] {
		q.Samples = append(q.Samples, sampleMessage(now, sample))
	}
	for _, sample := range s.unansweredSamples(now) {
		q.Waiting = append(q.Waiting, sampleMessage(now, sample))
	}
	return q
}

// mergeRemoteState merges a state that another daemon has sent, unless it belongs to another order or
// is Completed, and returns its service, nil if the message names none. The caller holds the lock.
func (m *Manager) mergeRemoteState(message *peerpb.RolloutState) *service {
	if message.GetService() == "" {
		return nil
	}
	s := m.service(message.GetService())
	state, ok := parseState(message)
	if ok && state.OrderRevision == s.state.OrderRevision && state.Stage != rollout.Completed {
		m.mergeState(s, state, "told", "", rollout.Analysis{})
	}
	return s
}

// rolloutServer implements peerpb.Rollout.
type rolloutServer struct{ m *Manager }

// Report implements peerpb.Rollout.
func (t rolloutServer) Report(_ context.Context, q *peerpb.RolloutReport) (*peerpb.RolloutReply, error) {
	m := t.m
	m.Snapshot(m.opts.Feed.View())
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.mergeRemoteState(q.GetState())
	if s == nil {
		return &peerpb.RolloutReply{}, nil
	}
	reply := &peerpb.RolloutReply{State: stateMessage(s.name, s.state)}
	if s.state.OrderRevision != q.GetState().GetOrder() || s.reporters == nil {
		return reply, nil // one of the two daemons does not know the order yet
	}
	reply.Next = s.recordReport(m.opts.Clock(), q)
	return reply, nil
}

// recordReport records a report and returns the number of the next sample to send. It skips samples
// that were reported before. If samples are missing before the first one, it records none, so that
// the sender reports them again.
func (s *service) recordReport(now time.Duration, q *peerpb.RolloutReport) int64 {
	r := s.reporters[q.GetDaemon()]
	if r == nil || r.bootID != q.GetBoot() {
		r = &reporter{bootID: q.GetBoot()}
		s.reporters[q.GetDaemon()] = r
	}
	r.reportedAt, r.inFlight, r.unanswered = now, int(q.GetUnderWay()), nil
	r.stage, _ = rollout.ParseStage(q.GetState().GetStage())
	r.requests, r.targetRequests, r.countedFor = int(q.GetBegun()), int(q.GetDrawn()), time.Duration(q.GetCountedMs())*time.Millisecond
	for _, sample := range q.GetWaiting() {
		r.unanswered = append(r.unanswered, parseSample(now, sample))
	}
	if q.GetFirst() <= r.nextSample {
		for i, sample := range q.GetSamples() {
			if q.GetFirst()+int64(i) >= r.nextSample {
				s.evidence.Add(parseSample(now, sample))
			}
		}
		r.nextSample = max(r.nextSample, q.GetFirst()+int64(len(q.GetSamples())))
	}
	return r.nextSample
}

// Stage implements peerpb.Rollout.
func (t rolloutServer) Stage(_ context.Context, q *peerpb.RolloutState) (*peerpb.RolloutReply, error) {
	t.m.Snapshot(t.m.opts.Feed.View())
	t.m.mu.Lock()
	defer t.m.mu.Unlock()
	s := t.m.mergeRemoteState(q)
	if s == nil {
		return &peerpb.RolloutReply{}, nil
	}
	return &peerpb.RolloutReply{State: stateMessage(s.name, s.state)}, nil
}

// Handler returns the twirp service that other daemons call, and its path prefix.
func (m *Manager) Handler() (prefix string, h http.Handler) {
	s := peerpb.NewRolloutServer(rolloutServer{m})
	return s.PathPrefix(), s
}

// broadcastState sends the state of a rollout to all other daemons. A daemon that cannot be reached
// learns the state from the store or in the reply to its next report.
func (m *Manager) broadcastState(ctx context.Context, service string, state rollout.State) {
	if m.opts.Dialer == nil {
		return
	}
	q := stateMessage(service, state)
	var calls errgroup.Group
	calls.SetLimit(maxConcurrentCalls)
	for _, vm := range routing.Peers(m.opts.Feed.View().VMs, m.opts.Self.ID) {
		calls.Go(func() error {
			// call logs a failure.
			_, _ = m.peers.call(ctx, vm, func(ctx context.Context, c peerpb.Rollout) (*peerpb.RolloutReply, error) { return c.Stage(ctx, q) })
			return nil
		})
	}
	_ = calls.Wait() // the functions return no error
}

func stateMessage(service string, s rollout.State) *peerpb.RolloutState {
	return &peerpb.RolloutState{
		Service: service, Order: s.OrderRevision, Base: s.Baseline, Target: s.Target, Stage: s.Stage.String(), Share: s.Share, Common: s.CommonRoutes,
	}
}

func parseState(m *peerpb.RolloutState) (rollout.State, bool) {
	stage, ok := rollout.ParseStage(m.GetStage())
	return rollout.State{OrderRevision: m.GetOrder(), Baseline: m.GetBase(), Target: m.GetTarget(), Stage: stage, Share: m.GetShare(), CommonRoutes: m.GetCommon()}, ok
}

func sampleMessage(now time.Duration, s rollout.Sample) *peerpb.RolloutSample {
	return &peerpb.RolloutSample{
		Route: s.Route, Server: s.Server, Zone: s.Zone, Target: s.OnTarget, Kind: uint32(s.Kind), Outcome: uint32(s.Outcome),
		TookUs: s.Duration.Microseconds(), AgeMs: (now - s.EndedAt).Milliseconds(),
	}
}

func parseSample(now time.Duration, m *peerpb.RolloutSample) rollout.Sample {
	return rollout.Sample{
		Route: m.GetRoute(), Server: m.GetServer(), Zone: m.GetZone(), OnTarget: m.GetTarget(),
		Kind: rollout.Kind(m.GetKind()), Outcome: rollout.Outcome(m.GetOutcome()),
		Duration: time.Duration(m.GetTookUs()) * time.Microsecond, EndedAt: now - time.Duration(m.GetAgeMs())*time.Millisecond,
	}
}
