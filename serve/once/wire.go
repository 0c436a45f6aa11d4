package once

import (
	"net/http"
	"slices"
	"time"

	"mallowwind.dev/decision/slot"
	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/external/plain"
	pb "mallowwind.dev/peer/peerpb"
)

func memberToWire(m slot.Member) *pb.SlotMember {
	if m.IsNone() {
		return nil
	}
	return &pb.SlotMember{Id: m.ID, Incarnation: m.Incarnation, Zone: m.Zone, Peer: m.PeerAddr}
}

func memberFromWire(m *pb.SlotMember) slot.Member {
	return slot.Member{ID: m.GetId(), Incarnation: m.GetIncarnation(), Zone: m.GetZone(), PeerAddr: m.GetPeer()}
}

func assignmentToWire(a slot.Assignment) *pb.SlotAssignment {
	return &pb.SlotAssignment{
		Slot: uint32(a.Slot), Term: a.Term, Change: a.ChangeID,
		Owner: memberToWire(a.Owner), Witness: memberToWire(a.Witness),
	}
}

func assignmentFromWire(a *pb.SlotAssignment) slot.Assignment {
	return slot.Assignment{
		Slot: int(a.GetSlot()), Term: a.GetTerm(), ChangeID: a.GetChange(),
		Owner: memberFromWire(a.GetOwner()), Witness: memberFromWire(a.GetWitness()),
	}
}

func headerToWire(h http.Header) []*pb.HeaderField {
	out := make([]*pb.HeaderField, 0, len(h))
	for name, values := range h {
		out = append(out, &pb.HeaderField{Name: name, Values: slices.Clone(values)})
	}
	return out
}

func headerFromWire(fields []*pb.HeaderField) http.Header {
	h := make(http.Header, len(fields))
	for _, f := range fields {
		h[f.GetName()] = f.GetValues()
	}
	return h
}

func callToWire(c plain.Call) *pb.PlainCall {
	return &pb.PlainCall{Method: c.Method, Path: c.Path, Header: headerToWire(c.Header), Body: c.Body}
}

func callFromWire(c *pb.PlainCall) plain.Call {
	return plain.Call{Method: c.GetMethod(), Path: c.GetPath(), Header: headerFromWire(c.GetHeader()), Body: c.GetBody()}
}

func answerToWire(a *plain.Response) *pb.PlainAnswer {
	if a == nil {
		return nil
	}
	return &pb.PlainAnswer{Status: int32(a.Status), Header: headerToWire(a.Header), Body: a.Body}
}

func answerFromWire(a *pb.PlainAnswer) *plain.Response {
	if a == nil {
		return nil
	}
	return &plain.Response{Status: int(a.GetStatus()), Header: headerFromWire(a.GetHeader()), Body: a.GetBody()}
}

func errorToWire(e *verdict.Error) *pb.CallError {
	if e == nil {
		return nil
	}
	return &pb.CallError{
		Verdict: e.Verdict.String(), Code: string(e.Code), Message: e.Message,
		RetryAfterMs: e.RetryAfter.Milliseconds(),
	}
}

// errorFromWire reads an error of a peer. A verdict it does not know is
// may_have_run, which promises nothing.
func errorFromWire(e *pb.CallError) *verdict.Error {
	if e == nil {
		return nil
	}
	v, _ := verdict.Parse(e.GetVerdict())
	out := verdict.New(v, verdict.Code(e.GetCode()), "%s", e.GetMessage())
	return out.WithRetryAfter(time.Duration(e.GetRetryAfterMs()) * time.Millisecond)
}

func recordToWire(r *record, now time.Time) *pb.KeyRecord {
	return &pb.KeyRecord{
		Key: r.key[:], BodyDigest: r.digest[:], Attempt: r.attempt,
		Dispatcher: memberToWire(r.dispatcher), State: pb.KeyState(r.state),
		RefusedAt: r.refusedAt, Error: errorToWire(r.out.err), Answer: answerToWire(r.out.answer),
		TtlMs: r.expires.Sub(now).Milliseconds(),
	}
}

// recordFromWire returns false for a record no daemon writes.
func recordFromWire(r *pb.KeyRecord, now time.Time) (record, bool) {
	out := record{
		attempt: r.GetAttempt(), dispatcher: memberFromWire(r.GetDispatcher()),
		state: state(r.GetState()), refusedAt: r.GetRefusedAt(),
		out:     outcome{answer: answerFromWire(r.GetAnswer()), err: errorFromWire(r.GetError())},
		expires: now.Add(time.Duration(r.GetTtlMs()) * time.Millisecond),
	}
	ok := len(r.GetKey()) == len(out.key) && len(r.GetBodyDigest()) == len(out.digest) && out.state <= abandoned
	copy(out.key[:], r.GetKey())
	copy(out.digest[:], r.GetBodyDigest())
	return out, ok
}

func recordsToWire(records []record, now time.Time) []*pb.KeyRecord {
	out := make([]*pb.KeyRecord, 0, len(records))
	for i := range records {
		out = append(out, recordToWire(&records[i], now))
	}
	return out
}

// recordsFromWire returns false if any record is malformed: a table with a gap
// could dispatch a key twice.
func recordsFromWire(records []*pb.KeyRecord, now time.Time) ([]record, bool) {
	out := make([]record, 0, len(records))
	for _, w := range records {
		r, ok := recordFromWire(w, now)
		if !ok {
			return nil, false
		}
		out = append(out, r)
	}
	return out, true
}
