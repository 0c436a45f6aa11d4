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
	// reportEvery is the time between two reports of a daemon.
	reportEvery = time.Second
	// reportTimeout is how long the daemon that decides may take to answer.
	reportTimeout = 300 * time.Millisecond
	// silentFor is how long a daemon that did not answer is left out.
	silentFor = time.Second
	// maxReported bounds the samples of one report.
	maxReported = 250
	// deciders is how many daemons may decide, one in place of the other.
	deciders = 2
	// maxTold bounds the daemons that are told something at the same time.
	maxTold = 32
	// heardFor is how long what a daemon has told last counts as heard lately.
	heardFor = 2500 * time.Millisecond
)

// peers calls other daemons.
type peers struct {
	opts   Options
	mu     sync.Mutex
	silent map[string]time.Duration // until when a daemon is left out, by id
}

func newPeers(o Options) *peers { return &peers{opts: o, silent: map[string]time.Duration{}} }

// there reports whether a daemon is not known to be silent.
func (p *peers) there(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opts.Clock() >= p.silent[id]
}

// call calls a daemon, which is left out for a while if it does not answer.
func (p *peers) call(ctx context.Context, vm routing.VM, do func(context.Context, peerpb.Rollout) (*peerpb.RolloutReply, error)) (*peerpb.RolloutReply, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	reply, err := do(ctx, peerpb.NewRolloutProtobufClient(p.opts.Dialer.URL(vm.PeerAddress), p.opts.Dialer.Client))
	if err != nil {
		p.mu.Lock()
		p.silent[vm.ID] = p.opts.Clock() + silentFor
		p.mu.Unlock()
		p.opts.Log.Emit(event.RolloutPeerSilent, vm.PeerAddress, err)
	}
	return reply, err
}

// nearest are the daemons that decide for a service, the first of them unless it is silent.
func nearest(view *feed.View, service string) []routing.VM {
	vms, hashes := routing.Serving(view.VMs)
	var list []routing.VM
	for _, i := range rendezvous.Select(xxhash.Sum64String(service), hashes, deciders) {
		list = append(list, vms[i])
	}
	return list
}

// decides reports whether this daemon decides for a service: it is the nearest one, or the others
// take it for that.
func (m *Manager) decides(s *service) bool {
	list := nearest(m.opts.Feed.View(), s.name)
	for i, vm := range list {
		if vm.ID != m.opts.Self.ID {
			continue
		}
		if i == 0 {
			return true
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		heard, _ := s.heardLately(m.opts.Clock())
		return heard > 0
	}
	return len(list) == 0
}

// heardLately is how many other daemons told lately what they saw, and how many requests are under
// way there at the version before.
func (s *service) heardLately(now time.Duration) (n, underWay int) {
	for _, r := range s.heard {
		if now-r.at < heardFor {
			n++
			underWay += r.underWay
			if s.state.Stage >= rollout.Full && r.stage < rollout.Full {
				underWay++ // it sends requests there, as far as is known
			}
		}
	}
	return n, underWay
}

// report tells the daemon that decides what was seen here, when it is time.
func (m *Manager) report(ctx context.Context, s *service) {
	if m.opts.Dialer == nil {
		return
	}
	for _, vm := range nearest(m.opts.Feed.View(), s.name) {
		if vm.ID == m.opts.Self.ID || vm.PeerAddress == "" || !m.peers.there(vm.ID) {
			continue
		}
		q := m.nextReport(s, vm.ID)
		if q == nil {
			return
		}
		reply, err := m.peers.call(ctx, vm, func(ctx context.Context, c peerpb.Rollout) (*peerpb.RolloutReply, error) { return c.Report(ctx, q) })
		if err != nil {
			m.mu.Lock()
			s.due = 0
			m.mu.Unlock()
			continue
		}
		m.mu.Lock()
		if reply.GetState().GetOrder() == q.GetState().GetOrder() {
			s.sent.next = min(max(0, int(reply.GetNext())), len(s.log))
		}
		m.told(reply.GetState())
		m.mu.Unlock()
		return
	}
}

// nextReport is what the daemon that decides is told now, nil where it was told a moment ago. Once
// nothing is under way any more at the version before it is told at once.
func (m *Manager) nextReport(s *service, to string) *peerpb.RolloutReport {
	underWay := m.underWay(s.name, m.current.Load().State(s.name))
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.opts.Clock()
	ended := s.state.Stage >= rollout.Full && underWay == 0 && !s.drained
	if now < s.due && !ended {
		return nil
	}
	s.drained = s.state.Stage >= rollout.Full && underWay == 0
	s.due = now + reportEvery
	if s.sent.daemon != to {
		s.sent = cursor{daemon: to}
	}
	from := min(s.sent.next, len(s.log))
	q := &peerpb.RolloutReport{
		State: message(s.name, s.state), Daemon: m.opts.Self.ID, Boot: m.boot, First: int64(from), UnderWay: int32(underWay),
		CountedMs: (now - s.counting).Milliseconds(),
	}
	all, drawn := s.mix.Totals()
	q.Begun, q.Drawn = int64(all), int64(drawn)
	for _, sample := range s.log[from:min(len(s.log), from+maxReported)] {
		q.Samples = append(q.Samples, sampleMessage(now, sample))
	}
	for _, sample := range s.waitingNow(now) {
		q.Waiting = append(q.Waiting, sampleMessage(now, sample))
	}
	return q
}

// told takes in a state that another daemon believes. The caller holds the lock.
func (m *Manager) told(message *peerpb.RolloutState) *service {
	if message.GetService() == "" {
		return nil
	}
	s := m.of(message.GetService())
	heard, ok := stateOf(message)
	if ok && heard.OrderRevision == s.state.OrderRevision && heard.Stage != rollout.Completed {
		m.believe(s, heard, "told", "", rollout.Analysis{})
	}
	return s
}

// telling implements peerpb.Rollout.
type telling struct{ m *Manager }

// Report implements peerpb.Rollout.
func (t telling) Report(_ context.Context, q *peerpb.RolloutReport) (*peerpb.RolloutReply, error) {
	m := t.m
	m.Snapshot(m.opts.Feed.View())
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.told(q.GetState())
	if s == nil {
		return &peerpb.RolloutReply{}, nil
	}
	reply := &peerpb.RolloutReply{State: message(s.name, s.state)}
	if s.state.OrderRevision != q.GetState().GetOrder() || s.heard == nil {
		return reply, nil // one of the two does not know the order yet
	}
	reply.Next = s.hear(m.opts.Clock(), q)
	return reply, nil
}

// hear takes in a report and returns the number of the sample that is wanted next. Samples that
// were told before are passed over, and those after a gap are left to be told again.
func (s *service) hear(now time.Duration, q *peerpb.RolloutReport) int64 {
	r := s.heard[q.GetDaemon()]
	if r == nil || r.boot != q.GetBoot() {
		r = &reporter{boot: q.GetBoot()}
		s.heard[q.GetDaemon()] = r
	}
	r.at, r.underWay, r.waiting = now, int(q.GetUnderWay()), nil
	r.stage, _ = rollout.ParseStage(q.GetState().GetStage())
	r.begun, r.drawn, r.counted = int(q.GetBegun()), int(q.GetDrawn()), time.Duration(q.GetCountedMs())*time.Millisecond
	for _, one := range q.GetWaiting() {
		r.waiting = append(r.waiting, sampleOf(now, one))
	}
	if q.GetFirst() <= r.next {
		for i, one := range q.GetSamples() {
			if q.GetFirst()+int64(i) >= r.next {
				s.evidence.Add(sampleOf(now, one))
			}
		}
		r.next = max(r.next, q.GetFirst()+int64(len(q.GetSamples())))
	}
	return r.next
}

// Stage implements peerpb.Rollout.
func (t telling) Stage(_ context.Context, q *peerpb.RolloutState) (*peerpb.RolloutReply, error) {
	t.m.Snapshot(t.m.opts.Feed.View())
	t.m.mu.Lock()
	defer t.m.mu.Unlock()
	s := t.m.told(q)
	if s == nil {
		return &peerpb.RolloutReply{}, nil
	}
	return &peerpb.RolloutReply{State: message(s.name, s.state)}, nil
}

// Handler returns the twirp service that other daemons call, and its path prefix.
func (m *Manager) Handler() (prefix string, h http.Handler) {
	s := peerpb.NewRolloutServer(telling{m})
	return s.PathPrefix(), s
}

// tellAll tells all other daemons how far a roll-out is. One that does not hear of it learns it
// from the store, or in the answer to its next report.
func (m *Manager) tellAll(ctx context.Context, service string, state rollout.State) {
	if m.opts.Dialer == nil {
		return
	}
	q := message(service, state)
	var all errgroup.Group
	all.SetLimit(maxTold)
	for _, vm := range routing.Peers(m.opts.Feed.View().VMs, m.opts.Self.ID) {
		all.Go(func() error {
			// A failure is logged by call.
			_, _ = m.peers.call(ctx, vm, func(ctx context.Context, c peerpb.Rollout) (*peerpb.RolloutReply, error) { return c.Stage(ctx, q) })
			return nil
		})
	}
	_ = all.Wait() // none returns an error
}

func message(service string, s rollout.State) *peerpb.RolloutState {
	return &peerpb.RolloutState{
		Service: service, Order: s.OrderRevision, Base: s.Baseline, Target: s.Target, Stage: s.Stage.String(), Share: s.Share, Common: s.CommonRoutes,
	}
}

func stateOf(m *peerpb.RolloutState) (rollout.State, bool) {
	stage, ok := rollout.ParseStage(m.GetStage())
	return rollout.State{OrderRevision: m.GetOrder(), Baseline: m.GetBase(), Target: m.GetTarget(), Stage: stage, Share: m.GetShare(), CommonRoutes: m.GetCommon()}, ok
}

func sampleMessage(now time.Duration, s rollout.Sample) *peerpb.RolloutSample {
	return &peerpb.RolloutSample{
		Route: s.Route, Server: s.Server, Zone: s.Zone, Target: s.OnTarget, Kind: uint32(s.Kind), Outcome: uint32(s.Outcome),
		TookUs: s.Duration.Microseconds(), AgeMs: (now - s.EndedAt).Milliseconds(),
	}
}

func sampleOf(now time.Duration, m *peerpb.RolloutSample) rollout.Sample {
	return rollout.Sample{
		Route: m.GetRoute(), Server: m.GetServer(), Zone: m.GetZone(), OnTarget: m.GetTarget(),
		Kind: rollout.Kind(m.GetKind()), Outcome: rollout.Outcome(m.GetOutcome()),
		Duration: time.Duration(m.GetTookUs()) * time.Microsecond, EndedAt: now - time.Duration(m.GetAgeMs())*time.Millisecond,
	}
}
