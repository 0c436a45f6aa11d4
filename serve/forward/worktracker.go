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

// workTracker shares knowledge of the load of engines where the fleet is too large for
// peerClient.totalWork, which asks every daemon. Each engine has one tracking daemon, chosen by
// rendezvous hashing. A workTracker reports this daemon's work to the tracking daemons, queries
// them for the work of all others, and tracks the engines assigned to this daemon.
type workTracker struct {
	h    *Handler
	boot uint64 // identifies this process

	mu        sync.Mutex // guards the fields below
	ledger    prompts.Ledger[routing.Life]
	sequence  uint64
	reporting map[routing.Life]bool // reports in flight; true if the work has changed since
}

func newWorkTracker(h *Handler) *workTracker {
	return &workTracker{h: h, boot: rand.Uint64(), reporting: map[routing.Life]bool{}}
}

// isTracked reports whether the engines of a service have tracking daemons.
func (k *workTracker) isTracked(view *feed.View, service string) bool {
	return k.h.neighbours.dialer != nil && view.Config != nil && view.Config.Engine(service) != nil &&
		len(view.VMs) > 1 && !prompts.Asks(len(view.VMs))
}

// workChanged reports a change of this daemon's work at an engine to its tracking daemon.
func (k *workTracker) workChanged(s routing.Server) {
	if !k.isTracked(k.h.opts.Feed.View(), s.Service) {
		return
	}
	k.mu.Lock()
	_, under := k.reporting[s.Life()]
	k.reporting[s.Life()] = under
	k.mu.Unlock()
	if !under {
		go k.reportUntilCurrent(s)
	}
}

// reportUntilCurrent sends reports on an engine until the last one sent is up to date.
func (k *workTracker) reportUntilCurrent(s routing.Server) {
	for {
		k.sendReport(s)
		k.mu.Lock()
		again := k.reporting[s.Life()]
		if !again {
			delete(k.reporting, s.Life())
			k.mu.Unlock()
			return
		}
		k.reporting[s.Life()] = false
		k.mu.Unlock()
	}
}

// sendReport sends one report. The next one corrects a report that is lost.
func (k *workTracker) sendReport(s routing.Server) {
	vms, hashes := routing.Serving(k.h.opts.Feed.View().VMs)
	i := prompts.Keeper(xxhash.Sum64String(s.ID), hashes)
	if i < 0 {
		return
	}
	note := k.h.pool.workReport(time.Now(), s.Life())
	k.mu.Lock()
	k.sequence++
	note.Boot, note.Sequence = k.boot, k.sequence
	k.mu.Unlock()
	self := k.h.opts.Self.ID
	if vms[i].ID == self {
		k.record(s.Life(), self, note)
		return
	}
	if len(k.h.neighbours.responsive(time.Now(), vms[i:i+1])) == 0 {
		return
	}
	k.h.neighbours.sendReport(context.Background(), vms[i], &peerpb.NoteRequest{
		Daemon: self, Boot: note.Boot, Sequence: note.Sequence,
		Work: &peerpb.ServerWork{
			Id: s.ID, Born: s.Born, Reading: int32(note.Reading), Running: int32(note.Running),
			SuspectMs: note.Suspect.Milliseconds(),
		},
	})
}

func (k *workTracker) record(life routing.Life, daemon string, n prompts.Note) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ledger.Take(time.Now(), life, daemon, n)
}

// tracked returns the reported work of all daemons but one at an engine.
func (k *workTracker) tracked(life routing.Life, except string) prompts.Noted {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ledger.At(time.Now(), life, except)
}

// workloadOf converts the reports on an engine. Each daemon that suspects the engine counts as one
// prefill: the engine ranks behind idle engines and before busy ones.
func workloadOf(n prompts.Noted) workload {
	return workload{prefilling: n.Reading + n.Suspects, running: n.Running}
}

// trackedWork returns the work of all other daemons at the engines of a prompt's placement window,
// as far as their tracking daemons answer; ok is false if too few answer for a choice.
func (k *workTracker) trackedWork(ctx context.Context, view *feed.View, service, part string) (sum workloads, ok bool) {
	if !k.isTracked(view, service) {
		return nil, false
	}
	vms, hashes := routing.Serving(view.VMs)
	asked := map[int][]routing.Life{} // by index in vms
	for _, s := range k.h.pool.placementWindow(view, service, part) {
		if i := prompts.Keeper(xxhash.Sum64String(s.ID), hashes); i >= 0 {
			asked[i] = append(asked[i], s.Life())
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
	return sum, len(sum) >= Asked
}

// query asks one tracking daemon, which may be this daemon. It returns nil if that daemon does not
// answer.
func (k *workTracker) query(ctx context.Context, vm routing.VM, lives []routing.Life) workloads {
	self, told := k.h.opts.Self.ID, workloads{}
	if vm.ID == self {
		for _, life := range lives {
			told[life] = workloadOf(k.tracked(life, self))
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
	reply, err := k.h.neighbours.queryTracked(ctx, vm, q)
	if err != nil {
		return nil
	}
	for _, s := range reply.GetServers() {
		told[routing.Life{ID: s.GetId(), Born: s.GetBorn()}] = workloadOf(prompts.Noted{
			Reading: int(max(s.GetReading(), 0)), Running: int(max(s.GetRunning(), 0)), Suspects: int(max(s.GetSuspects(), 0)),
		})
	}
	return told
}

func serverWork(life routing.Life, w workload) *peerpb.ServerWork {
	return &peerpb.ServerWork{Id: life.ID, Born: life.Born, Reading: int32(w.prefilling), Running: int32(w.running)}
}

// Note implements peerpb.Work.
func (t workService) Note(_ context.Context, q *peerpb.NoteRequest) (*peerpb.NoteReply, error) {
	w := q.GetWork()
	t.h.keepers.record(routing.Life{ID: w.GetId(), Born: w.GetBorn()}, q.GetDaemon(), prompts.Note{
		Boot: q.GetBoot(), Sequence: q.GetSequence(),
		Reading: int(max(w.GetReading(), 0)), Running: int(max(w.GetRunning(), 0)),
		Suspect: time.Duration(w.GetSuspectMs()) * time.Millisecond,
	})
	return &peerpb.NoteReply{}, nil
}

// Noted implements peerpb.Work. The reply lists every server in the query.
func (t workService) Noted(_ context.Context, q *peerpb.NotedRequest) (*peerpb.WorkReply, error) {
	reply := &peerpb.WorkReply{}
	for _, s := range q.GetServers() {
		life := routing.Life{ID: s.GetId(), Born: s.GetBorn()}
		n := t.h.keepers.tracked(life, q.GetDaemon())
		reply.Servers = append(reply.Servers, &peerpb.ServerWork{
			Id: life.ID, Born: life.Born, Reading: int32(n.Reading), Running: int32(n.Running), Suspects: int32(n.Suspects),
		})
	}
	return reply, nil
}
