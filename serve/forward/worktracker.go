package forward

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/promptqueue"
	"mallowwind.dev/decision/prompts"
	"mallowwind.dev/peer/peerpb"
)

// maxSlack bounds the slack that another daemon states for a prompt, so that a wrong value cannot
// overflow a time. No objective is nearly as long.
const maxSlack = time.Hour

// workTracker shares knowledge of the load of engines where the fleet is too large for
// peerClient.totalWork, which asks every daemon. Each engine has one tracking daemon, chosen by
// rendezvous hashing. A workTracker reports this daemon's work to the tracking daemons, queries
// them for the work of all others, and tracks the engines assigned to this daemon.
type workTracker struct {
	h    *Handler
	boot uint64 // identifies this process

	mu        sync.Mutex // guards the fields below
	ledger    prompts.LoadTable[routing.Incarnation]
	waiting   promptqueue.Table[routing.Incarnation]
	sequence  uint64
	reporting map[routing.Incarnation]bool // reports in flight; true if the work has changed since
}

func newWorkTracker(h *Handler) *workTracker {
	return &workTracker{h: h, boot: rand.Uint64(), reporting: map[routing.Incarnation]bool{}}
}

// isTracked reports whether the engines of a service have tracking daemons.
func (t *workTracker) isTracked(view *feed.View, service string) bool {
	return t.h.peers.dialer != nil && view.Config != nil && view.Config.Engine(service) != nil &&
		len(view.VMs) > 1 && !prompts.ShouldPollPeers(len(view.VMs))
}

// workChanged reports a change of this daemon's work at an engine to its tracking daemon.
func (t *workTracker) workChanged(s routing.Server) {
	if !t.isTracked(t.h.opts.Feed.View(), s.Service) {
		return
	}
	t.mu.Lock()
	_, inFlight := t.reporting[s.Incarnation()]
	t.reporting[s.Incarnation()] = inFlight
	t.mu.Unlock()
	if !inFlight {
		go t.reportUntilCurrent(s)
	}
}

// reportUntilCurrent sends reports on an engine until the last one sent is up to date.
func (t *workTracker) reportUntilCurrent(s routing.Server) {
	for {
		t.sendReport(s)
		t.mu.Lock()
		changed := t.reporting[s.Incarnation()]
		if !changed {
			delete(t.reporting, s.Incarnation())
			t.mu.Unlock()
			return
		}
		t.reporting[s.Incarnation()] = false
		t.mu.Unlock()
	}
}

// sendReport sends one report. The next one corrects a report that is lost.
func (t *workTracker) sendReport(s routing.Server) {
	vms, hashes := routing.Serving(t.h.opts.Feed.View().VMs)
	i := prompts.Tracker(xxhash.Sum64String(s.ID), hashes)
	if i < 0 {
		return
	}
	report := t.h.pool.workReport(time.Now(), s.Incarnation())
	t.mu.Lock()
	t.sequence++
	report.Incarnation, report.Sequence = t.boot, t.sequence
	t.mu.Unlock()
	self := t.h.opts.Self.ID
	work := &peerpb.ServerWork{
		Id: s.ID, Born: s.StartedAtMS, Reading: int32(report.Prefilling), Running: int32(report.Running),
		SuspectMs: report.SuspectFor.Milliseconds(),
	}
	t.h.paces.addSample(time.Now(), s, work)
	if vms[i].ID == self {
		t.record(s.Incarnation(), self, report)
		t.h.paces.recordNote(time.Now(), s.Incarnation(), work)
		return
	}
	if len(t.h.peers.responsive(time.Now(), vms[i:i+1])) == 0 {
		return
	}
	t.h.peers.sendReport(context.Background(), vms[i], &peerpb.NoteRequest{
		Daemon: self, Boot: report.Incarnation, Sequence: report.Sequence, Work: work,
	})
}

func (t *workTracker) record(incarnation routing.Incarnation, daemon string, n prompts.DaemonLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ledger.Update(time.Now(), incarnation, daemon, n)
}

// tracked returns the reported work of all daemons but one at an engine.
func (t *workTracker) tracked(incarnation routing.Incarnation, except string) prompts.LoadSum {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ledger.Sum(time.Now(), incarnation, except)
}

// workloadOf converts the reports on an engine. Each daemon that suspects the engine counts as one
// prefill: the engine ranks behind idle engines and before busy ones.
func workloadOf(n prompts.LoadSum) workload {
	return workload{prefilling: n.Prefilling + n.SuspectedBy, running: n.Running}
}

// trackedWork returns the work of all other daemons at the engines of a prompt's placement window,
// as far as their tracking daemons answer; ok is false if too few answer for a choice. waiting is the
// prompt if it waits, and nil otherwise.
func (t *workTracker) trackedWork(ctx context.Context, view *feed.View, service, part string, waiting *peerpb.WaitingPrompt) (sum workloads, ok bool) {
	if !t.isTracked(view, service) {
		return nil, false
	}
	window := t.h.pool.placementWindow(view, service, part)
	if waiting != nil { // it must not keep others from engines that it does not use itself
		window = slices.DeleteFunc(window, func(s routing.Server) bool { return t.h.pool.isSuspect(time.Now(), s.Incarnation()) })
	}
	vms, queries := t.trackersOf(view, window)
	var wg sync.WaitGroup
	var mu sync.Mutex
	sum = workloads{}
	for i, incarnations := range queries {
		wg.Go(func() {
			work := t.query(ctx, vms[i], service, incarnations, waiting)
			mu.Lock()
			defer mu.Unlock()
			for incarnation, w := range work {
				sum[incarnation] = w
			}
		})
	}
	wg.Wait()
	if waiting == nil { // a waiting prompt asks for the same engines many times
		t.h.paces.recordWork(service, sum)
	}
	return sum, len(sum) >= SampleSize
}

// trackersOf returns the serving daemons, and which engines each of them tracks by its index.
func (t *workTracker) trackersOf(view *feed.View, engines []routing.Server) (vms []routing.VM, tracked map[int][]routing.Incarnation) {
	vms, hashes := routing.Serving(view.VMs)
	tracked = map[int][]routing.Incarnation{}
	for _, s := range engines {
		if i := prompts.Tracker(xxhash.Sum64String(s.ID), hashes); i >= 0 {
			tracked[i] = append(tracked[i], s.Incarnation())
		}
	}
	return vms, tracked
}

// query asks one tracking daemon, which may be this daemon. It returns nil if that daemon does not
// answer. The paces in the reply are recorded.
func (t *workTracker) query(ctx context.Context, vm routing.VM, service string, incarnations []routing.Incarnation, waiting *peerpb.WaitingPrompt) workloads {
	self, work := t.h.opts.Self.ID, workloads{}
	if vm.ID == self {
		ahead := t.recordWaiting(self, waiting, incarnations)
		for i, incarnation := range incarnations {
			w := workloadOf(t.tracked(incarnation, self))
			w.ahead = ahead[i]
			work[incarnation] = w
			t.h.paces.learn(time.Now(), service, incarnation, t.h.paces.trackedInterval(time.Now(), incarnation))
		}
		return work
	}
	if len(t.h.peers.responsive(time.Now(), []routing.VM{vm})) == 0 {
		return nil
	}
	q := &peerpb.NotedRequest{Daemon: self, Waiting: waiting}
	for _, incarnation := range incarnations {
		q.Servers = append(q.Servers, serverWork(incarnation, workload{}))
	}
	reply, err := t.h.peers.queryTracked(ctx, vm, q)
	if err != nil {
		return nil
	}
	for _, s := range reply.GetServers() {
		incarnation := routing.Incarnation{ID: s.GetId(), StartedAtMS: s.GetBorn()}
		if interval, ok := noteDuration(s.GetEventUs(), time.Microsecond); ok {
			t.h.paces.learn(time.Now(), service, incarnation, interval)
		}
		w := workloadOf(prompts.LoadSum{
			Prefilling: int(max(s.GetReading(), 0)), Running: int(max(s.GetRunning(), 0)), SuspectedBy: int(max(s.GetSuspects(), 0)),
		})
		w.ahead = int(max(s.GetAhead(), 0))
		work[incarnation] = w
	}
	return work
}

// recordWaiting records a waiting prompt of a daemon at engines that this daemon tracks, and returns
// for each of them the number of waiting prompts of other daemons that rank before it. A nil prompt
// has not waited and ranks after all that do; one without engines no longer waits.
func (t *workTracker) recordWaiting(daemon string, waiting *peerpb.WaitingPrompt, engines []routing.Incarnation) []int {
	now := time.Now()
	p := remotePrompt(now, daemon, waiting)
	t.mu.Lock()
	defer t.mu.Unlock()
	if p != nil {
		t.waiting.Update(now, *p, engines)
	}
	ahead := make([]int, len(engines))
	for i, engine := range engines {
		ahead[i] = t.waiting.Ahead(now, engine, daemon, p)
	}
	return ahead
}

// remotePrompt converts the waiting prompt in a query, nil if there is none.
func remotePrompt(now time.Time, daemon string, w *peerpb.WaitingPrompt) *promptqueue.RemotePrompt {
	if w == nil {
		return nil
	}
	slack := min(max(w.GetSlackMs(), -maxSlack.Milliseconds()), maxSlack.Milliseconds())
	return &promptqueue.RemotePrompt{
		Daemon: daemon, ID: w.GetId(), Rank: int(w.GetPriority()), LatestStart: now.Add(time.Duration(slack) * time.Millisecond),
	}
}

// forgetWaiting tells the trackers of a prompt's candidate engines that it no longer waits. A tracker
// that is not reached forgets the prompt a short time after its last query.
func (t *workTracker) forgetWaiting(view *feed.View, service, part string, waiting *peerpb.WaitingPrompt) {
	if !t.isTracked(view, service) {
		return
	}
	vms, tracked := t.trackersOf(view, t.h.pool.placementWindow(view, service, part))
	for i := range tracked {
		go t.query(context.Background(), vms[i], service, nil, waiting)
	}
}

func serverWork(incarnation routing.Incarnation, w workload) *peerpb.ServerWork {
	return &peerpb.ServerWork{Id: incarnation.ID, Born: incarnation.StartedAtMS, Reading: int32(w.prefilling), Running: int32(w.running)}
}

// Note implements peerpb.Work.
func (t workService) Note(_ context.Context, q *peerpb.NoteRequest) (*peerpb.NoteReply, error) {
	w := q.GetWork()
	incarnation := routing.Incarnation{ID: w.GetId(), StartedAtMS: w.GetBorn()}
	t.h.paces.recordNote(time.Now(), incarnation, w)
	t.h.workTracker.record(incarnation, q.GetDaemon(), prompts.DaemonLoad{
		Incarnation: q.GetBoot(), Sequence: q.GetSequence(),
		Prefilling: int(max(w.GetReading(), 0)), Running: int(max(w.GetRunning(), 0)),
		SuspectFor: time.Duration(w.GetSuspectMs()) * time.Millisecond,
	})
	return &peerpb.NoteReply{}, nil
}

// Noted implements peerpb.Work. The reply lists every server in the query.
func (t workService) Noted(_ context.Context, q *peerpb.NotedRequest) (*peerpb.WorkReply, error) {
	reply := &peerpb.WorkReply{}
	var incarnations []routing.Incarnation
	for _, s := range q.GetServers() {
		incarnations = append(incarnations, routing.Incarnation{ID: s.GetId(), StartedAtMS: s.GetBorn()})
	}
	ahead := t.h.workTracker.recordWaiting(q.GetDaemon(), q.GetWaiting(), incarnations)
	for i, incarnation := range incarnations {
		n := t.h.workTracker.tracked(incarnation, q.GetDaemon())
		reply.Servers = append(reply.Servers, &peerpb.ServerWork{
			Id: incarnation.ID, Born: incarnation.StartedAtMS, Reading: int32(n.Prefilling), Running: int32(n.Running), Suspects: int32(n.SuspectedBy),
			Ahead: int32(ahead[i]), EventUs: t.h.paces.trackedInterval(time.Now(), incarnation).Microseconds(),
		})
	}
	return reply, nil
}
