package capacity

// Names of the slopes that the rows use. lab/bench measures and records them.
const (
	slopeRelay             = "relay_cpu"
	slopeCallerBytes       = "caller_bytes"
	slopeStreamMemory      = "stream_memory"
	slopeDispatch          = "flow_cpu_backends"
	slopeDispatchAccounts  = "flow_cpu_accounts"
	slopeUpdate            = "flow_update_cpu"
	slopeBackendsKnown     = "backends_known"
	slopePollBytes         = "status_poll_bytes"
	slopePollCPU           = "status_poll_cpu"
	slopeListBytes         = "vm_list_bytes"
	slopeListCPU           = "vm_list_cpu"
	slopeBackendMemory     = "backends_memory"
	slopeIdleCPU           = "quiet_cpu"
	slopeIdlePeerBytes     = "quiet_peer_bytes"
	slopeIdlePlatformBytes = "quiet_platform_bytes"
	slopeIdleMemory        = "quiet_memory"
	slopeStoreReads        = "store_reads"
	slopeStoreWrites       = "store_writes"
	slopeAppendCPU         = "journal_append_cpu"
	slopeAppendBytes       = "journal_append_bytes"
	slopeCopyMemory        = "journal_copy_memory"
	slopeSiteText          = "site_text_bytes"
	slopeSiteParse         = "site_parse_cpu"
	slopeSiteMemory        = "site_memory"
	slopeChangeBytes       = "change_bytes"
	slopeChangeWrites      = "change_writes"
	slopeInForce           = "in_force_time"
	slopePlacement         = "placement_cpu"
	slopeRosterBytes       = "roster_bytes"
	slopeRosterCPU         = "roster_cpu"
	slopeReplacementWrites = "replacement_writes"
	slopeBindBytes         = "bind_bytes"
	slopeBindCPU           = "bind_cpu"
	slopeBindMemory        = "bind_memory"
	slopeGossipBytes       = "gossip_bytes"
	slopeGossipCPU         = "gossip_cpu"
	slopeMemberMemory      = "membership_memory"
	slopeDetect            = "detection_time"
	slopeResume            = "resume_engine_time"
)

// Factors that convert measured units to the units of rows.
const (
	nano  = 1e-9
	micro = 1e-6
	milli = 1e-3
	kilo  = 1e3
	mega  = 1e6
)

// Rows returns all rows of the page.
func (m *Model) Rows() []Row {
	var rows []Row
	for _, f := range []func() []Row{
		m.entryData, m.entryControl, m.journalPeer, m.leaseHolder, m.configRelay, m.keyBinder,
	} {
		rows = append(rows, f()...)
	}
	rows = append(rows, m.totals(rows)...)
	for _, f := range []func() []Row{m.store, m.backend, m.caller, m.forwarder} {
		rows = append(rows, f()...)
	}
	return rows
}

// entryData returns the rows for the cost of requests to a daemon.
func (m *Model) entryData() []Row {
	s := m.Size
	requests := constant(s.RequestsPerDaemon(), "requests/s")
	streams := constant(s.StreamsPerDaemon(), "streams")
	known := m.fittedFactor(slopeBackendsKnown, float64(s.Replicas), 1)
	return []Row{
		{Role: Entry, Kind: State, Description: "answers being generated", Component: "`serve/generation`", Factors: []Factor{streams}},
		{Role: Entry, Kind: State, Description: "backend servers known", Component: "`control/backends`", Factors: []Factor{known}},
		{Role: Entry, Kind: Messages, Description: "requests taken", Unit: PerSecond, Component: "`serve/api`", Factors: []Factor{requests}},
		{
			Role: Entry, Kind: Messages, Description: "tokens read from engines and written to callers", Unit: PerSecond,
			Component: "`serve/generation`, `serve/api`", Factors: []Factor{constant(s.TokensPerDaemon(), "tokens/s")},
		},
		{
			Role: Entry, Kind: Messages, Description: "bytes written to callers", Unit: BytesPerSecond,
			Component: "`serve/api`", Factors: []Factor{requests, m.fittedFactor(slopeCallerBytes, s.TokensPerAnswer(), 1)},
		},
		{
			Role: Entry, Kind: Processor, Description: "answers relayed, their copies on another daemon included", Unit: Core,
			Component: "`serve/generation`, `serve/api`, `serve/journal`",
			Factors:   []Factor{requests, m.fittedFactor(slopeRelay, s.TokensPerAnswer(), micro)},
		},
		{
			Role: Entry, Kind: Processor, Description: "of these: dispatch, at the backend servers known", Unit: Core, Component: "`serve/flow`, `decision/route`",
			Factors: []Factor{requests, m.fittedFactor(slopeDispatch, known.Raw, nano)},
		},
		{
			Role: Entry, Kind: Processor, Description: "of these: dispatch, at all accounts", Unit: Core, Component: "`serve/flow`, `decision/admit`",
			Factors: []Factor{requests, m.fittedFactor(slopeDispatchAccounts, float64(s.Accounts), nano)},
		},
		{
			Role: Entry, Kind: Memory, Description: "answers being generated", Unit: Bytes, Component: "`serve/generation`, `serve/api`",
			Factors: []Factor{streams, m.slopeFactor(slopeStreamMemory, kilo)},
		},
	}
}

// changesPerReplacement is the number of VM list changes per replaced VM: the old VM is marked
// as leaving, the old VM is removed, and the new VM is added.
const changesPerReplacement = 3

func (m *Model) listChanges() Factor {
	changes := m.Size.ReplacementsPerDay*changesPerReplacement + m.Size.DeathsPerDay
	return constant(changes/secondsPerDay, "changes/s of the list")
}

const listReaderRemedy = "Three daemons a zone read the list for the others and pay for each change of it; the mean " +
	"over a zone's daemons stays within the bound. Where the list names the VMs that changed since a tag, a reader " +
	"needs a row instead of the list; that is the platform's to give. Until then fewer readers a zone divide the " +
	"total, and the time until a leaving backend server gets no new work grows when one of them dies."

// entryControl returns the rows for a daemon's control traffic and state. The main rows are
// measured on whole daemons without requests; the rows named "of these" are parts of them,
// measured separately.
func (m *Model) entryControl() []Row {
	s := m.Size
	vms, daemons := float64(s.Daemons+s.Replicas), float64(s.Daemons)
	share := constant(1/daemons, "of all daemons")
	known := m.fittedFactor(slopeBackendsKnown, float64(s.Replicas), 1)
	polls := constant(pollConfig.PollsPerSecond, "polls/s")
	reads := constant(perSecond(pollConfig.NonReaderListInterval), "whole reads/s")
	const backends, all = "`control/backends`", "`control/membership`, `control/inforce`, `control/backends`, `control/lease`"
	return []Row{
		{
			Role: Entry, Kind: Messages, Description: "between whole daemons, as measured beside other work that delayed exchanges", Unit: BytesPerSecond, Component: "`control/membership`, `decision/gossip`",
			Factors: []Factor{m.fittedFactor(slopeIdlePeerBytes, daemons, 1), share},
		},
		{
			Role: Entry, Kind: Messages, Description: "between daemons, who make no other calls in a steady state", Unit: BytesPerSecond, Component: "`control/membership`, `decision/gossip`", Control: true,
			Factors: []Factor{m.fittedFactor(slopeGossipBytes, daemons, 1)},
		},
		{
			Role: Entry, Kind: Messages, Description: "of the store and the VM list", Unit: BytesPerSecond, Component: all, Control: true,
			Factors: []Factor{m.fittedFactor(slopeIdlePlatformBytes, daemons, 1), share},
		},
		{
			Role: Entry, Kind: Messages, Description: "of the VM list, read whole now and then", Unit: BytesPerSecond, Component: backends, Control: true,
			Factors: []Factor{reads, m.fittedFactor(slopeListBytes, vms, 1)},
		},
		{
			Role: Entry, Kind: Messages, Description: "as one of its zone's readers: the VM list whole after each change", Unit: BytesPerSecond, Component: backends,
			Factors: []Factor{m.listChanges(), m.fittedFactor(slopeListBytes, vms, 1)}, Limit: s.ControlBytesPerSecond, LimitOf: "bytes for control",
			Remedy: listReaderRemedy,
		},
		{
			Role: Entry, Kind: Messages, Description: "status polls of backend servers", Unit: BytesPerSecond, Component: backends, Control: true,
			Factors: []Factor{polls, m.slopeFactor(slopePollBytes, 1)},
		},
		{
			Role: Entry, Kind: Processor, Description: "a daemon without requests", Unit: Core, Component: all, Control: true,
			Factors: []Factor{m.fittedFactor(slopeIdleCPU, daemons, milli), share},
		},
		{
			Role: Entry, Kind: Processor, Description: "the VM list, read whole now and then", Unit: Core, Component: backends, Control: true,
			Factors: []Factor{reads, m.fittedFactor(slopeListCPU, vms, micro)},
		},
		{
			Role: Entry, Kind: Processor, Description: "of these: membership and the lease, both ends", Unit: Core, Component: "`control/membership`, `control/lease`",
			Factors: []Factor{m.fittedFactor(slopeGossipCPU, daemons, micro)},
		},
		{
			Role: Entry, Kind: Processor, Description: "of these: status polls, both ends", Unit: Core, Component: backends,
			Factors: []Factor{polls, m.slopeFactor(slopePollCPU, micro)},
		},
		{
			Role: Entry, Kind: Processor, Description: "taking in the backend servers' reports", Unit: Core, Component: "`serve/flow`", Control: true,
			Factors: []Factor{polls, m.fittedFactor(slopeUpdate, known.Raw, micro)},
		},
		{
			Role: Entry, Kind: Memory, Description: "a daemon without requests", Unit: Bytes, Component: all, Control: true,
			Factors: []Factor{m.fittedFactor(slopeIdleMemory, daemons, mega), share},
		},
		{
			Role: Entry, Kind: Memory, Description: "of these: membership with its server and connections", Unit: Bytes, Component: "`control/membership`",
			Factors: []Factor{m.fittedFactor(slopeMemberMemory, daemons, kilo)},
		},
		{
			Role: Entry, Kind: Memory, Description: "backend servers known and the VM list", Unit: Bytes, Component: backends, Control: true,
			Factors: []Factor{m.fittedFactor(slopeBackendMemory, vms, kilo)},
		},
	}
}
