package once

import (
	"context"
	"time"

	"mallowwind.dev/decision/slot"
	"mallowwind.dev/decision/verdict"
	pb "mallowwind.dev/peer/peerpb"
)

const (
	// slice is how long an owner holds one Execute before it answers "running".
	// Short slices tell a call that takes long from a connection that went
	// silent for good; the second shows as a timeout and gets a fresh connection.
	slice      = 2 * time.Second
	sliceGrace = time.Second
	// ownerPatience bounds the search for a daemon that serves the slot. A slot
	// whose owner died is taken over in less; after that the caller is told.
	ownerPatience = 5 * time.Second
	searchMin     = 10 * time.Millisecond
	searchMax     = 250 * time.Millisecond
	peersAsked    = 3
	// storePatience is how long a call waits for the store before it asks peers.
	storePatience = 300 * time.Millisecond
)

// reply is what an owner says of one copy.
type reply struct {
	outcome
	running bool
}

// route takes a copy to the owner of its slot until it has an outcome. Sending
// a copy twice is safe: the owner knows its key.
func (s *Service) route(ctx context.Context, e execution) outcome {
	found := time.Now()
	pause := searchMin
	for {
		a := s.Roster.Slot(e.slot)
		r := s.ask(ctx, a, e)
		switch {
		case r.running:
			found, pause = time.Now(), searchMin
		case !r.moved:
			return r.outcome
		case time.Since(found) > ownerPatience:
			return outcome{err: errUndecided("no entry VM serves the slot of this key at the moment", retrySoon)}
		}
		if ctx.Err() != nil {
			return outcome{err: errUndecided("the deadline passed before the outcome was known", retrySoon)}
		}
		if r.moved {
			s.search(ctx, a, pause)
			pause = min(2*pause, searchMax)
		}
	}
}

// ask sends a copy to the owner of a, which may be this daemon.
func (s *Service) ask(ctx context.Context, a slot.Assignment, e execution) reply {
	if a.Owner.IsNone() {
		return reply{outcome: outcome{moved: true}}
	}
	if a.Owner.IsSameProcess(s.self) {
		ctx, cancel := context.WithTimeout(ctx, slice)
		defer cancel()
		r := s.execute(ctx, e)
		s.heard(e.slot, s.tables[e.slot].seen(a.Term))
		return r
	}
	ctx, cancel := context.WithTimeout(ctx, slice+sliceGrace)
	defer cancel()
	w, err := s.client(a.Owner).Execute(ctx, &pb.ExecuteRequest{
		Slot: uint32(e.slot), Key: e.key[:], BodyDigest: e.digest[:], Account: e.account,
		Service: e.service, Call: callToWire(e.call), Seen: e.seen, WaitMs: slice.Milliseconds(),
	})
	if err != nil {
		s.Dialer.CloseIdleConnections()
		return reply{outcome: outcome{moved: true}}
	}
	s.Roster.MergeAssignment(assignmentFromWire(w.GetAssignment()))
	s.heard(e.slot, w.GetSeen())
	return replyFromWire(w)
}

func replyFromWire(w *pb.ExecuteReply) reply {
	out := outcome{moved: w.GetMoved(), answer: answerFromWire(w.GetAnswer()), err: errorFromWire(w.GetError())}
	if !out.moved && !w.GetRunning() && out.answer == nil && out.err == nil {
		out.err = verdict.New(verdict.MayHaveRun, verdict.CodeKeyUndecided, "the owner of this key gave no outcome")
	}
	return reply{outcome: out, running: w.GetRunning()}
}

// heard remembers the newest refusal number of a slot.
func (s *Service) heard(i int, number uint64) {
	for {
		have := s.seen[i].Load()
		if number <= have || s.seen[i].CompareAndSwap(have, number) {
			return
		}
	}
}

// search looks for a newer assignment than a: in the store, and in an outage
// of the store at a few peers. It returns after pause at the earliest.
func (s *Service) search(ctx context.Context, a slot.Assignment, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	if s.Roster.Slot(a.Slot).Term == a.Term {
		s.refresh(ctx, a, pause >= searchMax)
	}
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// refresh asks the store, and peers if the store does not answer or the search
// goes on for long. Asking also tells the peers of a, so that the daemon which
// should take over a slot whose pair is lost learns that it was assigned.
func (s *Service) refresh(ctx context.Context, a slot.Assignment, long bool) {
	short, cancel := context.WithTimeout(ctx, storePatience)
	defer cancel()
	if err := s.Roster.Refresh(short); err != nil || long {
		s.askPeers(ctx, a)
	}
}

// askPeers asks members that may know more than this daemon: those that would
// own or witness the slot next.
func (s *Service) askPeers(ctx context.Context, a slot.Assignment) {
	ctx, cancel := context.WithTimeout(ctx, sliceGrace)
	defer cancel()
	for _, m := range slot.HighestRanked(s.peers(), a.Slot, peersAsked) {
		w, err := s.client(m).Learn(ctx, &pb.SlotAssignments{Assignments: []*pb.SlotAssignment{assignmentToWire(a)}})
		if err == nil && len(w.GetAssignments()) == 1 {
			s.Roster.MergeAssignment(assignmentFromWire(w.GetAssignments()[0]))
		}
	}
}

func (s *Service) client(m slot.Member) pb.Once {
	return pb.NewOnceProtobufClient(s.Dialer.URL(m.PeerAddr), s.Dialer.Client)
}
