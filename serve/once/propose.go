package once

import (
	"context"
	"time"

	"mallowwind.dev/control/membership"
	"mallowwind.dev/decision/slot"
	pb "mallowwind.dev/peer/peerpb"
)

// proposeTimeout bounds the wait for the daemon that writes for the others. One
// that is paused costs a slot this much, then its new owner writes by itself.
const proposeTimeout = time.Second

// propose has assignments written and returns those that the store accepted.
//
// One daemon, the same one in all views that agree, writes the proposals of all
// others with its own. Views that differ, and a writer that is gone, lead to
// more writes and to nothing worse: the store's compare-and-swap decides between
// writers, and a change is recognised by its id however often it is proposed.
func (s *Service) propose(ctx context.Context, proposals []slot.Assignment) ([]slot.Assignment, error) {
	if w := s.writer(); !w.IsSameProcess(s.self) && s.proposeTo(ctx, w, proposals) == nil {
		return s.accepted(proposals), nil
	}
	err := s.Roster.CommitBatched(ctx, proposals)
	return s.accepted(proposals), err
}

// writer is the member that writes the roster for the others: the first by id
// that is alive and not silent.
func (s *Service) writer() slot.Member {
	avoid, _ := s.silent.ids(time.Now())
	first := s.self
	for _, m := range s.Members.Current().Members {
		if m.State == membership.Alive && !avoid[m.ID] && m.ID < first.ID {
			first = toMember(m)
		}
	}
	return first
}

// proposeTo hands proposals to the writer and learns what became of them.
func (s *Service) proposeTo(ctx context.Context, w slot.Member, proposals []slot.Assignment) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	msg := &pb.SlotAssignments{Assignments: make([]*pb.SlotAssignment, 0, len(proposals))}
	for _, a := range proposals {
		msg.Assignments = append(msg.Assignments, assignmentToWire(a))
	}
	r, err := s.client(w).Propose(ctx, msg)
	if err != nil {
		return err
	}
	for _, a := range r.GetAssignments() {
		if a.GetSlot() < slot.Count {
			s.Roster.MergeAssignment(assignmentFromWire(a))
		}
	}
	return nil
}

// accepted returns the proposals that the roster shows.
func (s *Service) accepted(proposals []slot.Assignment) []slot.Assignment {
	var won []slot.Assignment
	for _, p := range proposals {
		if a := s.Roster.Slot(p.Slot); a.Term == p.Term && a.ChangeID == p.ChangeID {
			won = append(won, p)
		}
	}
	return won
}

// Propose implements pb.Once.
func (p *peer) Propose(ctx context.Context, w *pb.SlotAssignments) (*pb.SlotAssignments, error) {
	proposals := make([]slot.Assignment, 0, len(w.GetAssignments()))
	for _, a := range w.GetAssignments() {
		if a.GetSlot() >= slot.Count {
			return nil, errBadSlot()
		}
		proposals = append(proposals, assignmentFromWire(a))
	}
	if err := p.s.Roster.CommitBatched(ctx, proposals); err != nil {
		return nil, err
	}
	out := &pb.SlotAssignments{}
	for _, a := range proposals {
		out.Assignments = append(out.Assignments, assignmentToWire(p.s.Roster.Slot(a.Slot)))
	}
	return out, nil
}
