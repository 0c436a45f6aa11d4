package once

import (
	"context"
	"time"

	"mallowwind.dev/decision/slot"
	"mallowwind.dev/decision/verdict"
	pb "mallowwind.dev/peer/peerpb"
)

const (
	// maxExecuteWait is how long an owner holds one Execute before it answers "running". A
	// short wait distinguishes a call that takes long from a stalled link: the latter shows as
	// a timeout and is replaced by a new connection.
	maxExecuteWait = 2 * time.Second
	rpcTimeout     = time.Second
	// ownerSearchTimeout bounds the search for a daemon that serves the slot. A slot whose
	// owner died is taken over in less time. After the timeout the caller gets an error.
	ownerSearchTimeout = 5 * time.Second
	minSearchInterval  = 10 * time.Millisecond
	maxSearchInterval  = 250 * time.Millisecond
	maxPeersQueried    = 3
	// storeTimeout is how long a call waits for the store before it asks peers.
	storeTimeout = 300 * time.Millisecond
)

// executeReply is the owner's reply to one copy of a call.
type executeReply struct {
	outcome
	running bool
}

// route sends a copy to the owner of its slot until it has an outcome. Sending a copy twice is
// safe, because the owner recognises its key.
func (s *Service) route(ctx context.Context, e executeRequest) outcome {
	ownerSeenAt := time.Now()
	pause := minSearchInterval
	for {
		a := s.Roster.Slot(e.slot)
		r := s.sendToOwner(ctx, a, e)
		switch {
		case r.running:
			ownerSeenAt, pause = time.Now(), minSearchInterval
		case !r.moved:
			return r.outcome
		case time.Since(ownerSeenAt) > ownerSearchTimeout:
			return outcome{err: errUndecided("no entry VM serves the slot of this key at the moment", defaultRetryAfter)}
		}
		if ctx.Err() != nil {
			return outcome{err: errUndecided("the deadline passed before the outcome was known", defaultRetryAfter)}
		}
		if r.moved {
			s.awaitNewerAssignment(ctx, a, pause)
			pause = min(2*pause, maxSearchInterval)
		}
	}
}

// sendToOwner sends a copy to the owner of a, which may be this daemon.
func (s *Service) sendToOwner(ctx context.Context, a slot.Assignment, e executeRequest) executeReply {
	if a.Owner.IsNone() {
		return executeReply{outcome: outcome{moved: true}}
	}
	if a.Owner.IsSameProcess(s.self) {
		ctx, cancel := context.WithTimeout(ctx, maxExecuteWait)
		defer cancel()
		r := s.execute(ctx, e)
		s.learnSeq(e.slot, s.tables[e.slot].lastSeqAt(a.Term))
		return r
	}
	ctx, cancel := context.WithTimeout(ctx, maxExecuteWait+rpcTimeout)
	defer cancel()
	w, err := s.client(a.Owner).Execute(ctx, &pb.ExecuteRequest{
		Slot: uint32(e.slot), Key: e.key[:], BodyDigest: e.digest[:], Account: e.account,
		Service: e.service, Call: callToWire(e.call), Seen: e.knownSeq, WaitMs: maxExecuteWait.Milliseconds(),
	})
	if err != nil {
		s.Dialer.CloseIdleConnections()
		return executeReply{outcome: outcome{moved: true}}
	}
	s.Roster.MergeAssignment(assignmentFromWire(w.GetAssignment()))
	s.learnSeq(e.slot, w.GetSeen())
	return executeReplyFromWire(w)
}

func executeReplyFromWire(w *pb.ExecuteReply) executeReply {
	out := outcome{moved: w.GetMoved(), answer: answerFromWire(w.GetAnswer()), err: errorFromWire(w.GetError())}
	if !out.moved && !w.GetRunning() && out.answer == nil && out.err == nil {
		out.err = verdict.New(verdict.MayHaveRun, verdict.CodeKeyUndecided, "the owner of this key gave no outcome")
	}
	return executeReply{outcome: out, running: w.GetRunning()}
}

// learnSeq stores number as the newest known sequence number of slot i unless a higher one is
// known.
func (s *Service) learnSeq(i int, number uint64) {
	for {
		have := s.knownSeqs[i].Load()
		if number <= have || s.knownSeqs[i].CompareAndSwap(have, number) {
			return
		}
	}
}

// awaitNewerAssignment looks for a newer assignment than a: in the store and, during an outage
// of the store, at a few peers. It returns after pause at the earliest, unless ctx ends.
func (s *Service) awaitNewerAssignment(ctx context.Context, a slot.Assignment, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	if s.Roster.Slot(a.Slot).Term == a.Term {
		s.refreshAssignment(ctx, a, pause >= maxSearchInterval)
	}
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// refreshAssignment asks the store, and also peers if the store does not answer or the search
// is prolonged. Asking peers also tells them of a, so that the daemon which should take over a
// slot whose owner and witness are both lost learns that the slot was assigned.
func (s *Service) refreshAssignment(ctx context.Context, a slot.Assignment, prolonged bool) {
	short, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := s.Roster.Refresh(short); err != nil || prolonged {
		s.queryPeers(ctx, a)
	}
}

// queryPeers asks the highest-ranked members for the slot, which would be its next owner or
// witness and may know a newer assignment.
func (s *Service) queryPeers(ctx context.Context, a slot.Assignment) {
	ctx, cancel := context.WithTimeout(ctx, rpcTimeout)
	defer cancel()
	for _, m := range slot.HighestRanked(s.peers(), a.Slot, maxPeersQueried) {
		w, err := s.client(m).Learn(ctx, &pb.SlotAssignments{Assignments: []*pb.SlotAssignment{assignmentToWire(a)}})
		if err == nil && len(w.GetAssignments()) == 1 {
			s.Roster.MergeAssignment(assignmentFromWire(w.GetAssignments()[0]))
		}
	}
}

func (s *Service) client(m slot.Member) pb.Once {
	return pb.NewOnceProtobufClient(s.Dialer.URL(m.PeerAddr), s.Dialer.Client)
}
