package forward

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/prompts"
	"mallowwind.dev/peer/peerpb"
)

// workTracker tells the keepers of engines what this daemon has under way there, asks them
// what the others have, and keeps the notes on the engines that are this daemon's to keep.
// It stands for neighbours.work where daemons are too many to ask all of them.
type workTracker struct {
	h    *Handler
	boot uint64 // of this process

	mu        sync.Mutex // guards the rest
	ledger    prompts.LoadTable[routing.Incarnation]
	sequence  uint64
	reporting map[routing.Incarnation]bool // true: changed again since the note under way
}

func newWorkTracker(h *Handler) *workTracker {
	return &workTracker{h: h, boot: rand.Uint64(), reporting: map[routing.Incarnation]bool{}}
}

// applies reports whether the engines of a service have keepers.
func (k *workTracker) applies(view *feed.View, service string) bool {
	return k.h.neighbours.dialer != nil && view.Config != nil && view.Config.Engine(service) != nil &&
		len(view.VMs) > 1 && !prompts.ShouldPollPeers(len(view.VMs))
}

// workChanged tells the keeper of an engine that this daemon's work there is another.
func (k *workTracker) workChanged(s routing.Server) {
	if !k.applies(k.h.opts.Feed.View(), s.Service) {
		return
	}
	k.mu.Lock()
	_, under := k.reporting[s.Incarnation()]
	k.reporting[s.Incarnation()] = under
	k.mu.Unlock()
	if !under {
		go k.reportUntilCurrent(s)
	}
}

// reportUntilCurrent sends notes on an engine until the last one says what holds.
func (k *workTracker) reportUntilCurrent(s routing.Server) {
	for {
		k.sendReport(s)
		k.mu.Lock()
		again := k.reporting[s.Incarnation()]
		if !again {
			delete(k.reporting, s.Incarnation())
			k.mu.Unlock()
			return
		}
		k.reporting[s.Incarnation()] = false
		k.mu.Unlock()
	}
}

// sendReport sends one note. One that is lost is mended by the next.
func (k *workTracker) sendReport(s routing.Server) {
	vms, hashes := routing.Serving(k.h.opts.Feed.View().VMs)
	i := prompts.Tracker(xxhash.Sum64String(s.ID), hashes)
	if i < 0 {
		return
	}
	note := k.h.pool.workReport(time.Now(), s.Incarnation())
	k.mu.Lock()
	k.sequence++
	note.Incarnation, note.Sequence = k.boot, k.sequence
	k.mu.Unlock()
	self := k.h.opts.Self.ID
	if vms[i].ID == self {
		k.record(s.Incarnation(), self, note)
		return
	}
	if len(k.h.neighbours.responsive(time.Now(), vms[i:i+1])) == 0 {
		return
	}
	k.h.neighbours.sendReport(context.Background(), vms[i], &peerpb.NoteRequest{
		Daemon: self, Boot: note.Incarnation, Sequence: note.Sequence,
		Work: &peerpb.ServerWork{
			Id: s.ID, Born: s.StartedAtMS, Reading: int32(note.Prefilling), Running: int32(note.Running),
			SuspectMs: note.SuspectFor.Milliseconds(),
		},
	})
}

func (k *workTracker) record(life routing.Incarnation, daemon string, n prompts.DaemonLoad) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ledger.Update(time.Now(), life, daemon, n)
}

// noted is what all daemons but one have told this one of an engine.
func (k *workTracker) noted(life routing.Incarnation, except string) prompts.LoadSum {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ledger.Sum(time.Now(), life, except)
}

// workOf is what is noted of an engine. Each daemon that suspects it counts for a prompt that
// is read there: it goes behind engines that are free, and before those that are crowded.
func workOf(n prompts.LoadSum) workload {
	return workload{prefilling: n.Prefilling + n.SuspectedBy, running: n.Running}
}

// trackedWork is what the other daemons have under way at the engines of a prompt's window, as far
// as their keepers answer; ok is false where too few do for a choice.
func (k *workTracker) trackedWork(ctx context.Context, view *feed.View, service, part string) (sum workloads, ok bool) {
	if !k.applies(view, service) {
		return nil, false
	}
	vms, hashes := routing.Serving(view.VMs)
	asked := map[int][]routing.Incarnation{} // by place in vms
	for _, s := range k.h.pool.window(view, service, part) {
		if i := prompts.Tracker(xxhash.Sum64String(s.ID), hashes); i >= 0 {
			asked[i] = append(asked[i], s.Incarnation())
		}
	}
	var all sync.WaitGroup
	var mu sync.Mutex
	sum = workloads{}
	for i, lives := range asked {
		all.Go(func() {
			told := k.query(ctx, vms[i], lives)
			mu.Lock()
			defer mu.Unlock()
			for life, w := range told {
				sum[life] = w
			}
		})
	}
	all.Wait()
	return sum, len(sum) >= SampleSize
}

// query asks one keeper, which may be this daemon; nil where it does not answer.
func (k *workTracker) query(ctx context.Context, vm routing.VM, lives []routing.Incarnation) workloads {
	self, told := k.h.opts.Self.ID, workloads{}
	if vm.ID == self {
		for _, life := range lives {
			told[life] = workOf(k.noted(life, self))
		}
		return told
	}
	if len(k.h.neighbours.responsive(time.Now(), []routing.VM{vm})) == 0 {
		return nil
	}
	q := &peerpb.NotedRequest{Daemon: self}
	for _, life := range lives {
		q.Servers = append(q.Servers, serverWork(life, workload{}))
	}
	reply, err := k.h.neighbours.noted(ctx, vm, q)
	if err != nil {
		return nil
	}
	for _, s := range reply.GetServers() {
		told[routing.Incarnation{ID: s.GetId(), StartedAtMS: s.GetBorn()}] = workOf(prompts.LoadSum{
			Prefilling: int(max(s.GetReading(), 0)), Running: int(max(s.GetRunning(), 0)), SuspectedBy: int(max(s.GetSuspects(), 0)),
		})
	}
	return told
}

func serverWork(life routing.Incarnation, w workload) *peerpb.ServerWork {
	return &peerpb.ServerWork{Id: life.ID, Born: life.StartedAtMS, Reading: int32(w.prefilling), Running: int32(w.running)}
}

// Note implements peerpb.Work.
func (t workService) Note(_ context.Context, q *peerpb.NoteRequest) (*peerpb.NoteReply, error) {
	w := q.GetWork()
	t.h.keepers.record(routing.Incarnation{ID: w.GetId(), StartedAtMS: w.GetBorn()}, q.GetDaemon(), prompts.DaemonLoad{
		Incarnation: q.GetBoot(), Sequence: q.GetSequence(),
		Prefilling: int(max(w.GetReading(), 0)), Running: int(max(w.GetRunning(), 0)),
		SuspectFor: time.Duration(w.GetSuspectMs()) * time.Millisecond,
	})
	return &peerpb.NoteReply{}, nil
}

// Noted implements peerpb.Work. It names each server that was asked about.
func (t workService) Noted(_ context.Context, q *peerpb.NotedRequest) (*peerpb.WorkReply, error) {
	reply := &peerpb.WorkReply{}
	for _, s := range q.GetServers() {
		life := routing.Incarnation{ID: s.GetId(), StartedAtMS: s.GetBorn()}
		n := t.h.keepers.noted(life, q.GetDaemon())
		reply.Servers = append(reply.Servers, &peerpb.ServerWork{
			Id: life.ID, Born: life.StartedAtMS, Reading: int32(n.Prefilling), Running: int32(n.Running), Suspects: int32(n.SuspectedBy),
		})
	}
	return reply, nil
}
