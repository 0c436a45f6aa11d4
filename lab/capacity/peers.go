package capacity

import (
	"strconv"

	"mallowwind.dev/serve/journal"
)

// peer is what a daemon does for answers that other daemons serve. Copies
// spread evenly on the whole, so a daemon takes as many as it gives.
func (m *Model) peer() []Row {
	s := m.Size
	const carrier = "`serve/journal`"
	holders, gap := journal.BatchParameters()
	perS := float64(holders) / gap.Seconds()
	messages := given(perS, "messages/s to "+strconv.Itoa(holders)+" holders")
	answers := s.TokensPerDaemon() / perS
	single := given(s.TokensPerDaemon(), "messages/s, one a token")
	kept := given(s.RequestsPerDaemon()*limits.AnswerTTL.Seconds(), "answers of the last "+limits.AnswerTTL.String())
	return []Row{
		{
			Role: Peer, Kind: State, What: "copies of answers being generated", Carrier: carrier,
			Factors: []Factor{given(s.StreamsPerDaemon(), "copies")},
		},
		{
			Role: Peer, Kind: State, What: "copies of finished answers still owed", Carrier: carrier, Factors: []Factor{kept},
		},
		{
			Role: Peer, Kind: Messages, What: "bytes of appends taken, and as many made", Unit: BytesPerS, Carrier: carrier,
			Factors: []Factor{messages, m.at(slopeAppendBytes, answers, 1)},
		},
		{
			Role: Peer, Kind: Processor, What: "appends, both ends together", Unit: Core, Carrier: carrier,
			Factors: []Factor{messages, m.at(slopeAppendCPU, answers, micro)},
		},
		{
			Role: Peer, Kind: Processor, What: "the same if all answers were of requests with a key, which share no messages", Unit: Core, Carrier: carrier,
			Factors: []Factor{single, m.at(slopeAppendCPU, 1, micro)},
		},
		{
			Role: Peer, Kind: Memory, What: "copies of finished answers, prompts left out", Unit: Bytes, Carrier: carrier,
			Factors: []Factor{kept, given(s.TokensPerAnswer(), "tokens"), m.per(slopeCopyMemory, 1)},
		},
	}
}

// holder is the daemon that gives orders in its zone.
func (m *Model) holder() []Row {
	s := m.Size
	const carrier = "`control/reconcile`, `decision/placement`"
	replicas := s.ReplicasPerZone()
	polls := given(placing.PollsPerSecond, "polls/s")
	return []Row{
		{
			Role: Holder, Kind: State, What: "backend servers of the zone", Carrier: carrier,
			Factors: []Factor{given(replicas, "backend servers")},
		},
		{
			Role: Holder, Kind: Processor, What: "comparing wanted and observed", Unit: Core, Carrier: carrier, Control: true,
			Factors: []Factor{given(perSecond(placing.TickInterval), "plans/s"), m.at(slopePlacement, replicas, micro)},
		},
		{
			Role: Holder, Kind: Processor, What: "status polls of the zone, both ends", Unit: Core, Carrier: carrier, Control: true,
			Factors: []Factor{polls, m.per(slopePollCPU, micro)},
		},
		{
			Role: Holder, Kind: Messages, What: "status polls of the zone", Unit: BytesPerS, Carrier: carrier, Control: true,
			Factors: []Factor{polls, m.per(slopePollBytes, 1)},
		},
		{
			Role: Holder, Kind: Messages, What: "renewals of the lease", Unit: PerS, Carrier: "`control/lease`",
			Factors: []Factor{given(perSecond(leasing.RenewInterval), "renewals/s")},
		},
	}
}

// spreader passes accepted texts on.
func (m *Model) spreader() []Row {
	s := m.Size
	const carrier = "`control/inforce`"
	changes := given(s.ChangesPerS(), "changes/s")
	accounts := float64(s.Accounts)
	return []Row{
		{
			Role: Spreader, Kind: State, What: "the site text", Unit: Bytes, Carrier: "`control/site`",
			Factors: []Factor{m.at(slopeSiteText, accounts, 1)}, Limit: s.Store.Value, LimitOf: "a value of the store",
		},
		{
			Role: Spreader, Kind: Messages, What: "changes taken and passed on", Unit: BytesPerS, Carrier: carrier, Control: true,
			Factors: []Factor{changes, m.at(slopeChangeBytes, float64(s.Daemons), 1), given(1/float64(s.Daemons), "of all daemons")},
		},
		{
			Role: Spreader, Kind: Processor, What: "reading changed texts", Unit: Core, Carrier: "`control/site`", Control: true,
			Factors: []Factor{changes, m.at(slopeSiteParse, accounts, micro)},
		},
		{
			Role: Spreader, Kind: Memory, What: "the site in force", Unit: Bytes, Carrier: "`control/site`", Control: true,
			Factors: []Factor{m.at(slopeSiteMemory, accounts, kilo)},
		},
		{
			Role: Spreader, Kind: Messages, What: "from acceptance to in force everywhere", Unit: Seconds, Carrier: carrier,
			Factors: []Factor{m.at(slopeInForce, float64(s.Daemons), 1)}, Limit: s.InForce.Seconds(), LimitOf: "in force everywhere",
		},
	}
}

// binder binds idempotency keys. How many requests carry a key is not given;
// the rows take all of them, an upper bound. Each is bound by an owner and
// confirmed by a witness, both of them daemons.
func (m *Model) binder() []Row {
	s := m.Size
	const carrier = "`serve/once`, `decision/slot`"
	binds := given(s.RequestsPerDaemon(), "binds/s, every request carrying a key")
	keys := given(s.RequestsPerDaemon()*limits.KeyTTL.Seconds(), "keys of the last "+limits.KeyTTL.String()+", each at owner and witness")
	return []Row{
		{
			Role: Binder, Kind: State, What: "slots owned", Carrier: "`decision/slot`",
			Factors: []Factor{given(slots/float64(s.Daemons), "slots")},
		},
		{
			Role: Binder, Kind: Messages, What: "bytes of binding", Unit: BytesPerS, Carrier: carrier,
			Factors: []Factor{binds, m.per(slopeBindBytes, 1)},
		},
		{
			Role: Binder, Kind: Processor, What: "binding", Unit: Core, Carrier: carrier,
			Factors: []Factor{binds, m.per(slopeBindCPU, micro)},
		},
		{
			Role: Binder, Kind: Memory, What: "keys remembered", Unit: Bytes, Carrier: carrier,
			Factors: []Factor{keys, m.per(slopeBindMemory, 1)},
		},
		{
			Role: Binder, Kind: Messages, What: "of these: reads of the roster of slots", Unit: BytesPerS, Carrier: "`control/roster`",
			Factors: []Factor{given(rosterReads/float64(s.Daemons), "reads/s"), m.at(slopeRosterBytes, float64(s.Daemons), 1), given(base64Growth, "for base64")},
		},
		{
			Role: Binder, Kind: Processor, What: "of these: reads of the roster of slots", Unit: Core, Carrier: "`control/roster`",
			Factors: []Factor{given(rosterReads/float64(s.Daemons), "reads/s"), m.at(slopeRosterCPU, float64(s.Daemons), micro)},
		},
	}
}
