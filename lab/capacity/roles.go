package capacity

// Names of the slopes that rows use; lab/bench measures and records them.
const (
	slopeRelay         = "relay_cpu"
	slopeCallerBytes   = "caller_bytes"
	slopeStreamMemory  = "stream_memory"
	slopeDispatch      = "flow_cpu_backends"
	slopeDispatchMany  = "flow_cpu_accounts"
	slopeUpdate        = "flow_update_cpu"
	slopeKnown         = "backends_known"
	slopePollBytes     = "status_poll_bytes"
	slopePollCPU       = "status_poll_cpu"
	slopeListBytes     = "vm_list_bytes"
	slopeListCPU       = "vm_list_cpu"
	slopeBackendMemory = "backends_memory"
	slopeQuietCPU      = "quiet_cpu"
	slopeQuietPeers    = "quiet_peer_bytes"
	slopeQuietPlatform = "quiet_platform_bytes"
	slopeQuietMemory   = "quiet_memory"
	slopeStoreReads    = "store_reads"
	slopeStoreWrites   = "store_writes"
	slopeAppendCPU     = "journal_append_cpu"
	slopeAppendBytes   = "journal_append_bytes"
	slopeCopyMemory    = "journal_copy_memory"
	slopeSiteText      = "site_text_bytes"
	slopeSiteParse     = "site_parse_cpu"
	slopeSiteMemory    = "site_memory"
	slopeChangeBytes   = "change_bytes"
	slopeChangeWrites  = "change_writes"
	slopeInForce       = "in_force_time"
	slopePlacement     = "placement_cpu"
	slopeRosterBytes   = "roster_bytes"
	slopeRosterCPU     = "roster_cpu"
	slopeReplaceWrites = "replacement_writes"
	slopeBindBytes     = "bind_bytes"
	slopeBindCPU       = "bind_cpu"
	slopeBindMemory    = "bind_memory"
	slopeGossipBytes   = "gossip_bytes"
	slopeGossipCPU     = "gossip_cpu"
	slopeMemberMemory  = "membership_memory"
	slopeDetect        = "detection_time"
	slopeResume        = "resume_engine_time"
)

// Conversions of measured units into those of rows.
const (
	nano  = 1e-9
	micro = 1e-6
	milli = 1e-3
	kilo  = 1e3
	mega  = 1e6
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
	for _, f := range []func() []Row{m.store, m.backend, m.caller, m.forward} {
		rows = append(rows, f()...)
	}
	return rows
}

// entryData is what requests cost a daemon.
func (m *Model) entryData() []Row {
	s := m.Size
	requests := given(s.RequestsPerDaemon(), "requests/s")
	streams := given(s.StreamsPerDaemon(), "streams")
	known := m.at(slopeKnown, float64(s.Replicas), 1)
	return []Row{
		{Role: Entry, Kind: State, What: "answers being generated", Carrier: "`serve/generation`", Factors: []Factor{streams}},
		{Role: Entry, Kind: State, What: "backend servers known", Carrier: "`control/backends`", Factors: []Factor{known}},
		{Role: Entry, Kind: Messages, What: "requests taken", Unit: PerS, Carrier: "`serve/api`", Factors: []Factor{requests}},
		{
			Role: Entry, Kind: Messages, What: "tokens read from engines and written to callers", Unit: PerS,
			Carrier: "`serve/generation`, `serve/api`", Factors: []Factor{given(s.TokensPerDaemon(), "tokens/s")},
		},
		{
			Role: Entry, Kind: Messages, What: "bytes written to callers", Unit: BytesPerS,
			Carrier: "`serve/api`", Factors: []Factor{requests, m.at(slopeCallerBytes, s.TokensPerAnswer(), 1)},
		},
		{
			Role: Entry, Kind: Processor, What: "answers relayed, their copies on another daemon included", Unit: Core,
			Carrier: "`serve/generation`, `serve/api`, `serve/journal`",
			Factors: []Factor{requests, m.at(slopeRelay, s.TokensPerAnswer(), micro)},
		},
		{
			Role: Entry, Kind: Processor, What: "of these: dispatch, at the backend servers known", Unit: Core, Carrier: "`serve/flow`, `decision/route`",
			Factors: []Factor{requests, m.at(slopeDispatch, known.Raw, nano)},
		},
		{
			Role: Entry, Kind: Processor, What: "of these: dispatch, at all accounts", Unit: Core, Carrier: "`serve/flow`, `decision/admit`",
			Factors: []Factor{requests, m.at(slopeDispatchMany, float64(s.Accounts), nano)},
		},
		{
			Role: Entry, Kind: Memory, What: "answers being generated", Unit: Bytes, Carrier: "`serve/generation`, `serve/api`",
			Factors: []Factor{streams, m.per(slopeStreamMemory, kilo)},
		},
	}
}

// changesPerReplacement of the VM list: leaving, gone, and the new VM.
const changesPerReplacement = 3

func (m *Model) listChanges() Factor {
	changes := m.Size.ReplacementsPerDay*changesPerReplacement + m.Size.DeathsPerDay
	return given(changes/secondsPerDay, "changes/s of the list")
}

const readersBeyond = "Three daemons a zone read the list for the others and pay for each change of it; the mean " +
	"over a zone's daemons stays within the bound. Where the list names the VMs that changed since a tag, a reader " +
	"needs a row instead of the list; that is the platform's to give. Until then fewer readers a zone divide the " +
	"total, and the time until a leaving backend server gets no new work grows when one of them dies."

// entryControl is what a daemon spends to know the others. Whole daemons
// without requests were measured; the rows named "of these" are parts of that,
// measured alone.
func (m *Model) entryControl() []Row {
	s := m.Size
	vms, daemons := float64(s.Daemons+s.Replicas), float64(s.Daemons)
	share := given(1/daemons, "of all daemons")
	known := m.at(slopeKnown, float64(s.Replicas), 1)
	polls := given(polling.PollsPerSecond, "polls/s")
	reads := given(perSecond(polling.NonReaderListInterval), "whole reads/s")
	const backends, all = "`control/backends`", "`control/membership`, `control/inforce`, `control/backends`, `control/lease`"
	return []Row{
		{
			Role: Entry, Kind: Messages, What: "between whole daemons, as measured beside other work that delayed exchanges", Unit: BytesPerS, Carrier: "`control/membership`, `decision/gossip`",
			Factors: []Factor{m.at(slopeQuietPeers, daemons, 1), share},
		},
		{
			Role: Entry, Kind: Messages, What: "between daemons, who make no other calls in a steady state", Unit: BytesPerS, Carrier: "`control/membership`, `decision/gossip`", Control: true,
			Factors: []Factor{m.at(slopeGossipBytes, daemons, 1)},
		},
		{
			Role: Entry, Kind: Messages, What: "of the store and the VM list", Unit: BytesPerS, Carrier: all, Control: true,
			Factors: []Factor{m.at(slopeQuietPlatform, daemons, 1), share},
		},
		{
			Role: Entry, Kind: Messages, What: "of the VM list, read whole now and then", Unit: BytesPerS, Carrier: backends, Control: true,
			Factors: []Factor{reads, m.at(slopeListBytes, vms, 1)},
		},
		{
			Role: Entry, Kind: Messages, What: "as one of its zone's readers: the VM list whole after each change", Unit: BytesPerS, Carrier: backends,
			Factors: []Factor{m.listChanges(), m.at(slopeListBytes, vms, 1)}, Limit: s.ControlBytes, LimitOf: "bytes for control",
			Beyond: readersBeyond,
		},
		{
			Role: Entry, Kind: Messages, What: "status polls of backend servers", Unit: BytesPerS, Carrier: backends, Control: true,
			Factors: []Factor{polls, m.per(slopePollBytes, 1)},
		},
		{
			Role: Entry, Kind: Processor, What: "a daemon without requests", Unit: Core, Carrier: all, Control: true,
			Factors: []Factor{m.at(slopeQuietCPU, daemons, milli), share},
		},
		{
			Role: Entry, Kind: Processor, What: "the VM list, read whole now and then", Unit: Core, Carrier: backends, Control: true,
			Factors: []Factor{reads, m.at(slopeListCPU, vms, micro)},
		},
		{
			Role: Entry, Kind: Processor, What: "of these: membership and the lease, both ends", Unit: Core, Carrier: "`control/membership`, `control/lease`",
			Factors: []Factor{m.at(slopeGossipCPU, daemons, micro)},
		},
		{
			Role: Entry, Kind: Processor, What: "of these: status polls, both ends", Unit: Core, Carrier: backends,
			Factors: []Factor{polls, m.per(slopePollCPU, micro)},
		},
		{
			Role: Entry, Kind: Processor, What: "taking in the backend servers' reports", Unit: Core, Carrier: "`serve/flow`", Control: true,
			Factors: []Factor{polls, m.at(slopeUpdate, known.Raw, micro)},
		},
		{
			Role: Entry, Kind: Memory, What: "a daemon without requests", Unit: Bytes, Carrier: all, Control: true,
			Factors: []Factor{m.at(slopeQuietMemory, daemons, mega), share},
		},
		{
			Role: Entry, Kind: Memory, What: "of these: membership with its server and connections", Unit: Bytes, Carrier: "`control/membership`",
			Factors: []Factor{m.at(slopeMemberMemory, daemons, kilo)},
		},
		{
			Role: Entry, Kind: Memory, What: "backend servers known and the VM list", Unit: Bytes, Carrier: backends, Control: true,
			Factors: []Factor{m.at(slopeBackendMemory, vms, kilo)},
		},
	}
}
