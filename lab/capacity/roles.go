package capacity

// Names of the slopes that rows use; lab/bench measures and records them.
const (
	slopeRelayToken    = "relay_cpu_per_token"
	slopeRelayRequest  = "relay_cpu_per_request"
	slopeStreamMemory  = "stream_memory"
	slopeRoute         = "route_cpu"
	slopeAdmit         = "admit_cpu"
	slopeKnown         = "backends_known"
	slopePollBytes     = "status_poll_bytes"
	slopePollCPU       = "status_poll_cpu"
	slopeListBytes     = "vm_list_bytes"
	slopeListCPU       = "vm_list_cpu"
	slopeBackendMemory = "backends_memory"
	slopeGossipBytes   = "gossip_bytes"
	slopeGossipCPU     = "gossip_cpu"
	slopeMemberMemory  = "membership_memory"
	slopeAppendCPU     = "journal_append_cpu"
	slopeAppendBytes   = "journal_append_bytes"
	slopeCopyMemory    = "journal_copy_memory"
	slopeSiteText      = "site_text_bytes"
	slopeSiteParse     = "site_parse_cpu"
	slopeSiteMemory    = "site_memory"
	slopeChangeBytes   = "in_force_bytes"
	slopeInForce       = "in_force_time"
	slopePlacement     = "placement_cpu"
	slopeRosterBytes   = "roster_bytes"
	slopeRosterCPU     = "roster_cpu"
	slopeBindBytes     = "bind_bytes"
	slopeBindCPU       = "bind_cpu"
	slopeBindMemory    = "bind_memory"
	slopeStoreReads    = "store_reads"
	slopeStoreWrites   = "store_writes"
	slopeChangeWrites  = "change_writes"
	slopeReplaceWrites = "replacement_writes"
	slopeCallerBytes   = "caller_bytes"
	slopeDetect        = "detection_time"
)

// Conversions of measured units into those of rows.
const (
	nano  = 1e-9
	micro = 1e-6
	kilo  = 1e3
)

// Rows returns all cells of the page in the order of the roles.
func (m *Model) Rows() []Row {
	var rows []Row
	for _, f := range []func() []Row{
		m.entryData, m.entryControl, m.peer, m.holder, m.spreader, m.binder,
	} {
		rows = append(rows, f()...)
	}
	rows = append(rows, m.totals(rows)...)
	for _, f := range []func() []Row{m.store, m.backend, m.caller} {
		rows = append(rows, f()...)
	}
	return rows
}

// entryData is what requests cost a daemon.
func (m *Model) entryData() []Row {
	s := m.Size
	tokens := given(s.TokensPerDaemon(), "tokens/s")
	requests := given(s.RequestsPerDaemon(), "requests/s")
	return []Row{
		{
			Role: Entry, Kind: State, What: "answers being generated", Carrier: "`serve/generation`",
			Factors: []Factor{given(s.StreamsPerDaemon(), "streams")},
		},
		{
			Role: Entry, Kind: State, What: "backend servers known", Carrier: "`control/backends`",
			Factors: []Factor{m.at(slopeKnown, float64(s.Replicas), 1)},
		},
		{
			Role: Entry, Kind: Messages, What: "requests taken", Unit: PerS, Carrier: "`serve/api`",
			Factors: []Factor{requests},
		},
		{
			Role: Entry, Kind: Messages, What: "tokens read from engines and written to callers", Unit: PerS, Carrier: "`serve/generation`, `serve/api`",
			Factors: []Factor{tokens},
		},
		{
			Role: Entry, Kind: Processor, What: "tokens relayed, their copies included", Unit: Core, Carrier: "`serve/generation`, `serve/api`",
			Factors: []Factor{tokens, m.per(slopeRelayToken, micro)},
		},
		{
			Role: Entry, Kind: Processor, What: "requests begun and ended", Unit: Core, Carrier: "`serve/api`, `serve/flow`",
			Factors: []Factor{requests, m.per(slopeRelayRequest, micro)},
		},
		{
			Role: Entry, Kind: Processor, What: "choosing a backend server", Unit: Core, Carrier: "`decision/route`",
			Factors: []Factor{requests, m.at(slopeRoute, float64(s.Replicas), nano)},
		},
		{
			Role: Entry, Kind: Processor, What: "admission, every account waiting", Unit: Core, Carrier: "`decision/admit`",
			Factors: []Factor{requests, m.at(slopeAdmit, float64(s.Accounts), nano)},
		},
		{
			Role: Entry, Kind: Memory, What: "answers being generated", Unit: Bytes, Carrier: "`serve/generation`, `serve/api`",
			Factors: []Factor{given(s.StreamsPerDaemon(), "streams"), m.per(slopeStreamMemory, kilo)},
		},
	}
}

// entryControl is what a daemon spends to know the others.
func (m *Model) entryControl() []Row {
	s := m.Size
	vms := float64(s.Daemons + s.Replicas)
	daemons := float64(s.Daemons)
	polls := given(statusPollsPerS, "polls/s")
	reads := given(1/vmListEvery.Seconds(), "reads/s")
	const backends, members = "`control/backends`", "`control/membership`, `decision/gossip`"
	return []Row{
		{
			Role: Entry, Kind: Messages, What: "status polls of backend servers", Unit: BytesPerS, Carrier: backends, Control: true,
			Factors: []Factor{polls, m.per(slopePollBytes, 1)},
		},
		{
			Role: Entry, Kind: Messages, What: "reads of the VM list", Unit: BytesPerS, Carrier: backends, Control: true,
			Factors: []Factor{reads, m.at(slopeListBytes, vms, 1)},
		},
		{
			Role: Entry, Kind: Messages, What: "exchanges between daemons", Unit: BytesPerS, Carrier: members, Control: true,
			Factors: []Factor{m.at(slopeGossipBytes, daemons, 1)},
		},
		{
			Role: Entry, Kind: Processor, What: "status polls of backend servers", Unit: Core, Carrier: backends, Control: true,
			Factors: []Factor{polls, m.per(slopePollCPU, micro)},
		},
		{
			Role: Entry, Kind: Processor, What: "reads of the VM list", Unit: Core, Carrier: backends, Control: true,
			Factors: []Factor{reads, m.at(slopeListCPU, vms, micro)},
		},
		{
			Role: Entry, Kind: Processor, What: "exchanges between daemons", Unit: Core, Carrier: members, Control: true,
			Factors: []Factor{m.at(slopeGossipCPU, daemons, micro)},
		},
		{
			Role: Entry, Kind: Memory, What: "members", Unit: Bytes, Carrier: members, Control: true,
			Factors: []Factor{m.at(slopeMemberMemory, daemons, kilo)},
		},
		{
			Role: Entry, Kind: Memory, What: "backend servers known and the VM list", Unit: Bytes, Carrier: backends, Control: true,
			Factors: []Factor{m.at(slopeBackendMemory, vms, kilo)},
		},
	}
}
