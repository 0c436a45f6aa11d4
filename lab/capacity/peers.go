package capacity

import (
	"strconv"

	"mallowwind.dev/serve/journal"
)

// journalPeer returns the rows for the replicas that a daemon keeps of generations that
// other daemons serve. Replicas are spread evenly, so a daemon receives as many as it sends.
func (m *Model) journalPeer() []Row {
	s := m.Size
	const carrier = "`serve/journal`"
	holders, gap := journal.BatchParameters()
	perS := float64(holders) / gap.Seconds()
	messages := constant(perS, "messages/s to "+strconv.Itoa(holders)+" holders")
	answers := s.TokensPerDaemon() / perS
	single := constant(s.TokensPerDaemon(), "messages/s, one a token")
	kept := constant(s.RequestsPerDaemon()*siteLimits.AnswerTTL.Seconds(), "answers of the last "+siteLimits.AnswerTTL.String())
	return []Row{
		{
			Role: JournalPeer, Kind: State, Description: "copies of answers being generated", Component: carrier,
			Factors: []Factor{constant(s.StreamsPerDaemon(), "copies")},
		},
		{
			Role: JournalPeer, Kind: State, Description: "copies of finished answers still owed", Component: carrier, Factors: []Factor{kept},
		},
		{
			Role: JournalPeer, Kind: Messages, Description: "bytes of appends taken, and as many made", Unit: BytesPerSecond, Component: carrier,
			Factors: []Factor{messages, m.fittedFactor(slopeAppendBytes, answers, 1)},
		},
		{
			Role: JournalPeer, Kind: Processor, Description: "appends, both ends together", Unit: Core, Component: carrier,
			Factors: []Factor{messages, m.fittedFactor(slopeAppendCPU, answers, micro)},
		},
		{
			Role: JournalPeer, Kind: Processor, Description: "the same if all answers were of requests with a key, which share no messages", Unit: Core, Component: carrier,
			Factors: []Factor{single, m.fittedFactor(slopeAppendCPU, 1, micro)},
		},
		{
			Role: JournalPeer, Kind: Memory, Description: "copies of finished answers, prompts left out", Unit: Bytes, Component: carrier,
			Factors: []Factor{kept, constant(s.TokensPerAnswer(), "tokens"), m.slopeFactor(slopeCopyMemory, 1)},
		},
	}
}

// leaseHolder returns the rows for the daemon that holds its zone's lease and sends orders to
// the zone's backend servers.
func (m *Model) leaseHolder() []Row {
	s := m.Size
	const carrier = "`control/reconcile`, `decision/placement`"
	replicas := s.ReplicasPerZone()
	polls := constant(reconcileConfig.PollsPerSecond, "polls/s")
	return []Row{
		{
			Role: LeaseHolder, Kind: State, Description: "backend servers of the zone", Component: carrier,
			Factors: []Factor{constant(replicas, "backend servers")},
		},
		{
			Role: LeaseHolder, Kind: Processor, Description: "comparing wanted and observed", Unit: Core, Component: carrier, Control: true,
			Factors: []Factor{constant(perSecond(reconcileConfig.TickInterval), "plans/s"), m.fittedFactor(slopePlacement, replicas, micro)},
		},
		{
			Role: LeaseHolder, Kind: Processor, Description: "status polls of the zone, both ends", Unit: Core, Component: carrier, Control: true,
			Factors: []Factor{polls, m.slopeFactor(slopePollCPU, micro)},
		},
		{
			Role: LeaseHolder, Kind: Messages, Description: "status polls of the zone", Unit: BytesPerSecond, Component: carrier, Control: true,
			Factors: []Factor{polls, m.slopeFactor(slopePollBytes, 1)},
		},
		{
			Role: LeaseHolder, Kind: Messages, Description: "renewals of the lease", Unit: PerSecond, Component: "`control/lease`",
			Factors: []Factor{constant(perSecond(leaseConfig.RenewInterval), "renewals/s")},
		},
	}
}

// configRelay returns the rows for a daemon that relays accepted site texts to other daemons.
func (m *Model) configRelay() []Row {
	s := m.Size
	const carrier = "`control/inforce`"
	changes := constant(s.ChangesPerSecond(), "changes/s")
	accounts := float64(s.Accounts)
	return []Row{
		{
			Role: ConfigRelay, Kind: State, Description: "the site text", Unit: Bytes, Component: "`control/site`",
			Factors: []Factor{m.fittedFactor(slopeSiteText, accounts, 1)}, Limit: s.Store.MaxValueBytes, LimitOf: "a value of the store",
		},
		{
			Role: ConfigRelay, Kind: Messages, Description: "changes taken and passed on", Unit: BytesPerSecond, Component: carrier, Control: true,
			Factors: []Factor{changes, m.fittedFactor(slopeChangeBytes, float64(s.Daemons), 1), constant(1/float64(s.Daemons), "of all daemons")},
		},
		{
			Role: ConfigRelay, Kind: Processor, Description: "reading changed texts", Unit: Core, Component: "`control/site`", Control: true,
			Factors: []Factor{changes, m.fittedFactor(slopeSiteParse, accounts, micro)},
		},
		{
			Role: ConfigRelay, Kind: Memory, Description: "the site in force", Unit: Bytes, Component: "`control/site`", Control: true,
			Factors: []Factor{m.fittedFactor(slopeSiteMemory, accounts, kilo)},
		},
		{
			Role: ConfigRelay, Kind: Messages, Description: "from acceptance to in force everywhere", Unit: Seconds, Component: carrier,
			Factors: []Factor{m.fittedFactor(slopeInForce, float64(s.Daemons), 1)}, Limit: s.InForceWithin.Seconds(), LimitOf: "in force everywhere",
		},
	}
}

// keyBinder returns the rows for binding idempotency keys. How many requests carry a key
// is not known; the rows assume all of them, which is an upper bound. Each key is bound
// by an owner and confirmed by a witness, both of them daemons.
func (m *Model) keyBinder() []Row {
	s := m.Size
	const carrier = "`serve/once`, `decision/slot`"
	binds := constant(s.RequestsPerDaemon(), "binds/s, every request carrying a key")
	keys := constant(s.RequestsPerDaemon()*siteLimits.KeyTTL.Seconds(), "keys of the last "+siteLimits.KeyTTL.String()+", each at owner and witness")
	return []Row{
		{
			Role: KeyBinder, Kind: State, Description: "slots owned", Component: "`decision/slot`",
			Factors: []Factor{constant(slotCount/float64(s.Daemons), "slots")},
		},
		{
			Role: KeyBinder, Kind: Messages, Description: "bytes of binding", Unit: BytesPerSecond, Component: carrier,
			Factors: []Factor{binds, m.slopeFactor(slopeBindBytes, 1)},
		},
		{
			Role: KeyBinder, Kind: Processor, Description: "binding", Unit: Core, Component: carrier,
			Factors: []Factor{binds, m.slopeFactor(slopeBindCPU, micro)},
		},
		{
			Role: KeyBinder, Kind: Memory, Description: "keys remembered", Unit: Bytes, Component: carrier,
			Factors: []Factor{keys, m.slopeFactor(slopeBindMemory, 1)},
		},
		{
			Role: KeyBinder, Kind: Messages, Description: "of these: reads of the roster of slots", Unit: BytesPerSecond, Component: "`control/roster`",
			Factors: []Factor{constant(rosterReadsPerSecond/float64(s.Daemons), "reads/s"), m.fittedFactor(slopeRosterBytes, float64(s.Daemons), 1), constant(base64Ratio, "for base64")},
		},
		{
			Role: KeyBinder, Kind: Processor, Description: "of these: reads of the roster of slots", Unit: Core, Component: "`control/roster`",
			Factors: []Factor{constant(rosterReadsPerSecond/float64(s.Daemons), "reads/s"), m.fittedFactor(slopeRosterCPU, float64(s.Daemons), micro)},
		},
	}
}
