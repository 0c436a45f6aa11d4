package membership

import (
	"mallowwind.dev/decision/gossip"
	"mallowwind.dev/peer/peerpb"
)

// The states of this package, of decision/gossip and of the wire have the
// same numbers; the constants fail to compile when one of them moves.
const (
	_ = uint8(Suspect) - uint8(gossip.Suspect)
	_ = uint8(gossip.Suspect) - uint8(Suspect)
	_ = uint8(Gone) - uint8(gossip.Gone)
	_ = uint8(gossip.Gone) - uint8(Gone)
)

func toMember(r gossip.Record) Member {
	return Member{
		ID: r.ID, Incarnation: r.Incarnation, Zone: r.Zone, Region: r.Region,
		CallerAddr: r.CallerAddr, PeerAddr: r.PeerAddr, State: State(r.State),
	}
}

func toRecord(m Member) gossip.Record {
	return gossip.Record{
		ID: m.ID, Incarnation: m.Incarnation, Zone: m.Zone, Region: m.Region,
		CallerAddr: m.CallerAddr, PeerAddr: m.PeerAddr, State: gossip.State(m.State),
	}
}

func toPB(r gossip.Record) *peerpb.MemberRecord {
	return &peerpb.MemberRecord{
		Id: r.ID, Zone: r.Zone, Region: r.Region, Caller: r.CallerAddr, Peer: r.PeerAddr,
		Incarnation: r.Incarnation, Refutation: r.Refutation, State: uint32(r.State),
	}
}

func toPBs(rs []gossip.Record) []*peerpb.MemberRecord {
	out := make([]*peerpb.MemberRecord, len(rs))
	for i, r := range rs {
		out[i] = toPB(r)
	}
	return out
}

func fromPB(r *peerpb.MemberRecord) gossip.Record {
	return gossip.Record{
		ID: r.Id, Zone: r.Zone, Region: r.Region, CallerAddr: r.Caller, PeerAddr: r.Peer,
		Incarnation: r.Incarnation, Refutation: r.Refutation, State: gossip.State(min(r.State, 255)),
	}
}
