package once

import (
	"context"
	"time"

	"mallowwind.dev/decision/slot"
	pb "mallowwind.dev/peer/peerpb"
)

const (
	reportRPCTimeout    = time.Second
	reportRetryInterval = 100 * time.Millisecond
	reportTotalTimeout  = 10 * time.Second
)

// reportToWitness copies the outcome of a key to the witness, so that the answer survives the
// loss of this daemon. A failed copy costs an answer, never a second run: at the witness the
// key stays bound.
func (s *Service) reportToWitness(i int, key slot.Key) {
	a := s.Roster.Slot(i)
	r, ok := s.tables[i].lookup(key)
	if !ok || r.state == stateBound {
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
		// The slot moved while the report was in flight.
		s.reportToOwner(r, i)
	}
}

// reportToOwner tells the owner of a slot how an attempt of this daemon ended after the slot
// moved. It keeps looking for the owner for up to reportTotalTimeout, since this daemon may not
// know of the move yet.
func (s *Service) reportToOwner(end record, i int) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTotalTimeout)
	defer cancel()
	for {
		a := s.Roster.Slot(i)
		if a.Owner.IsSameProcess(s.self) {
			if s.tables[i].isServing(a.Term) {
				s.tables[i].finish(end, a.Term, 0)
				return
			}
		} else if !a.Owner.IsNone() && s.report(a.Owner, i, 0, &end) && s.Roster.Slot(i).Term == a.Term {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(reportRetryInterval):
		}
		_ = s.Roster.Refresh(ctx)
	}
}

// report sends one report and learns the receiver's newest assignment.
func (s *Service) report(to slot.Member, i int, term uint64, r *record) bool {
	ctx, cancel := context.WithTimeout(context.Background(), reportRPCTimeout)
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
