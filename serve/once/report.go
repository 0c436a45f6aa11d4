package once

import (
	"context"
	"time"

	"mallowwind.dev/decision/slot"
	pb "mallowwind.dev/peer/peerpb"
)

const (
	reportTimeout  = time.Second
	reportPause    = 100 * time.Millisecond
	reportPatience = 10 * time.Second
)

// reportToWitness copies the end of a key to the witness, so that the answer
// outlives this daemon. A copy that fails costs an answer, never a second run:
// at the witness the key stays bound.
func (s *Service) reportToWitness(i int, key slot.Key) {
	a := s.Roster.Slot(i)
	r, ok := s.tables[i].look(key)
	if !ok || r.state == bound {
		return
	}
	if !a.Owner.IsSameProcess(s.self) {
		s.reportToOwner(r, i)
		return
	}
	if a.Witness.IsNone() {
		return
	}
	s.report(a.Witness, i, a.Term, &r)
	if now := s.Roster.Slot(i); now.Term > a.Term {
		// The slot moved on while the report travelled.
		s.reportToOwner(r, i)
	}
}

// reportToOwner tells the owner of a slot how an attempt of this daemon ended
// after the slot moved. It keeps looking for the owner for a while, since the
// move may not be known here yet.
func (s *Service) reportToOwner(end record, i int) {
	ctx, cancel := context.WithTimeout(context.Background(), reportPatience)
	defer cancel()
	for {
		a := s.Roster.Slot(i)
		if a.Owner.IsSameProcess(s.self) {
			if s.tables[i].active(a.Term) {
				s.tables[i].finish(end, a.Term, 0)
				return
			}
		} else if !a.Owner.IsNone() && s.report(a.Owner, i, 0, &end) && s.Roster.Slot(i).Term == a.Term {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(reportPause):
		}
		_ = s.Roster.Refresh(ctx)
	}
}

// report sends one report and learns the receiver's newest assignment.
func (s *Service) report(to slot.Member, i int, term uint64, r *record) bool {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	w, err := s.client(to).Report(ctx, &pb.ReportRequest{
		Slot: uint32(i), Term: term, Record: recordToWire(r, time.Now()),
	})
	if err != nil {
		s.Dialer.CloseIdleConnections()
		return false
	}
	s.Roster.MergeAssignment(assignmentFromWire(w.GetAssignment()))
	return true
}
