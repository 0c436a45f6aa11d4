package once

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"mallowwind.dev/decision/slot"
	pb "mallowwind.dev/peer/peerpb"
)

// peer answers other daemons.
type peer struct{ s *Service }

func errBadSlot() error { return twirp.InvalidArgumentError("slot", "out of range") }

// Execute implements pb.Once.
func (p *peer) Execute(ctx context.Context, w *pb.ExecuteRequest) (*pb.ExecuteReply, error) {
	e := execution{
		slot: int(w.GetSlot()), account: w.GetAccount(), service: w.GetService(),
		call: callFromWire(w.GetCall()), seen: w.GetSeen(),
	}
	if len(w.GetKey()) != len(e.key) || len(w.GetBodyDigest()) != len(e.digest) {
		return nil, twirp.InvalidArgumentError("key", "key or digest has the wrong length")
	}
	copy(e.key[:], w.GetKey())
	copy(e.digest[:], w.GetBodyDigest())
	if e.slot != slot.ForKey(e.key) {
		return nil, errBadSlot()
	}
	wait := min(time.Duration(w.GetWaitMs())*time.Millisecond, slice)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	r := p.s.execute(ctx, e)
	a := p.s.Roster.Slot(e.slot)
	return &pb.ExecuteReply{
		Moved: r.moved, Running: r.running, Assignment: assignmentToWire(a),
		Answer: answerToWire(r.answer), Error: errorToWire(r.err),
		Seen: p.s.tables[e.slot].seen(p.s.ownTerm(e.slot)),
	}, nil
}

// Bind implements pb.Once.
func (p *peer) Bind(_ context.Context, w *pb.BindRequest) (*pb.BindReply, error) {
	r, ok := recordFromWire(w.GetRecord(), time.Now())
	if !ok || w.GetSlot() >= slot.Count || r.state != bound {
		return nil, twirp.InvalidArgumentError("record", "not a bound key")
	}
	return &pb.BindReply{Accepted: p.s.tables[w.GetSlot()].bind(w.GetTerm(), &r)}, nil
}

// Report implements pb.Once.
func (p *peer) Report(_ context.Context, w *pb.ReportRequest) (*pb.ReportReply, error) {
	r, ok := recordFromWire(w.GetRecord(), time.Now())
	if !ok || w.GetSlot() >= slot.Count || r.state == bound {
		return nil, twirp.InvalidArgumentError("record", "not the end of a key")
	}
	i := int(w.GetSlot())
	t, term := &p.s.tables[i], p.s.ownTerm(i)
	switch t.finish(r, term, w.GetTerm()) {
	case finishApplied:
		if t.active(term) {
			p.s.noteRefusal(i, r.state)
			p.s.background(func() { p.s.reportToWitness(i, r.key) })
		}
	case finishClash:
		p.s.violated("one_end_per_key", keyString(r.key), r.state.String())
	}
	return &pb.ReportReply{Assignment: assignmentToWire(p.s.Roster.Slot(i))}, nil
}

// Seal implements pb.Once.
func (p *peer) Seal(_ context.Context, w *pb.SealRequest) (*pb.SealReply, error) {
	reply := &pb.SealReply{}
	now := time.Now()
	for _, which := range w.GetSlots() {
		if which.GetSlot() >= slot.Count {
			return nil, errBadSlot()
		}
		complete, records, undecided := p.s.tables[which.GetSlot()].seal(which.GetTerm())
		reply.Slots = append(reply.Slots, &pb.SealedSlot{
			Complete: complete, Records: recordsToWire(records, now),
			UndecidedMs: max(undecided.Sub(now), 0).Milliseconds(),
		})
	}
	return reply, nil
}

// Install implements pb.Once.
func (p *peer) Install(_ context.Context, w *pb.InstallRequest) (*pb.InstallReply, error) {
	reply := &pb.InstallReply{}
	now := time.Now()
	for _, in := range w.GetSlots() {
		records, ok := recordsFromWire(in.GetRecords(), now)
		if !ok || in.GetSlot() >= slot.Count {
			return nil, twirp.InvalidArgumentError("records", "malformed")
		}
		undecided := now.Add(time.Duration(in.GetUndecidedMs()) * time.Millisecond)
		t := &p.s.tables[in.GetSlot()]
		reply.Accepted = append(reply.Accepted, t.install(in.GetTerm(), records, undecided))
	}
	return reply, nil
}

// Heard implements pb.Once.
func (p *peer) Heard(_ context.Context, w *pb.HeardRequest) (*pb.HeardReply, error) {
	for _, n := range w.GetNumbers() {
		if n.GetSlot() < slot.Count {
			p.s.heard(int(n.GetSlot()), n.GetNumber())
		}
	}
	return &pb.HeardReply{}, nil
}

// Learn implements pb.Once.
func (p *peer) Learn(_ context.Context, w *pb.SlotAssignments) (*pb.SlotAssignments, error) {
	reply := &pb.SlotAssignments{}
	for _, a := range w.GetAssignments() {
		if a.GetSlot() >= slot.Count {
			return nil, errBadSlot()
		}
		if a.GetTerm() > 0 {
			p.s.Roster.MergeAssignment(assignmentFromWire(a))
		}
		reply.Assignments = append(reply.Assignments, assignmentToWire(p.s.Roster.Slot(int(a.GetSlot()))))
	}
	return reply, nil
}
