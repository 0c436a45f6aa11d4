package capacity

import "time"

// replacementWindow is the time over which the writes of one replacement were counted.
const replacementWindow = 50 * time.Second

// rosterWriterNote explains why the writes for a replacement do not grow with the number of
// daemons.
const rosterWriterNote = "One daemon writes the roster for all others, so the writes for one replacement do not grow with the number " +
	"of daemons. Where it cannot be reached each daemon writes for itself, and lost races cost more writes."

// store returns the rows for the load of all daemons on the platform's key-value store.
func (m *Model) store() []Row {
	s := m.Size
	daemons := float64(s.Daemons)
	return []Row{
		{
			Role: Store, Kind: State, Description: "the roster of slots, one value", Unit: Bytes, Component: "`control/roster`",
			Factors: []Factor{m.fittedFactor(slopeRosterBytes, daemons, 1)}, Limit: s.Store.MaxValueBytes, LimitOf: "a value of the store",
		},
		{
			Role: Store, Kind: Messages, Description: "reads and waiting watches of a quiet fleet", Unit: PerSecond, Component: "`control/inforce`, `control/roster`, `control/lease`",
			Factors: []Factor{m.fittedFactor(slopeStoreReads, daemons, 1)}, Limit: s.Store.ReadsPerSecond, LimitOf: "reads of the store",
		},
		{
			Role: Store, Kind: Messages, Description: "writes of a quiet fleet", Unit: PerSecond, Component: "`control/lease`",
			Factors: []Factor{m.fittedFactor(slopeStoreWrites, daemons, 1)}, Limit: s.Store.WritesPerSecond, LimitOf: "writes of the store",
		},
		{
			Role: Store, Kind: Messages, Description: "writes for configuration changes", Unit: PerSecond, Component: "`control/operate`",
			Factors: []Factor{constant(s.ChangesPerSecond(), "changes/s"), m.fittedFactor(slopeChangeWrites, daemons, 1)}, Limit: s.Store.WritesPerSecond, LimitOf: "writes of the store",
		},
		{
			Role: Store, Kind: Messages, Description: "writes for replaced VMs", Unit: PerSecond, Component: "`control/roster`",
			Factors: []Factor{constant(s.ReplacementsPerDay/secondsPerDay, "replacements/s"), m.fittedFactor(slopeReplacementWrites, daemons, 1)},
			Limit:   s.Store.WritesPerSecond, LimitOf: "writes of the store",
		},
		{
			Role: Store, Kind: Messages, Description: "writes while one daemon is replaced, the peak", Unit: PerSecond, Component: "`control/roster`",
			Factors: []Factor{m.fittedFactor(slopeReplacementWrites, daemons, 1), constant(perSecond(replacementWindow), "1/s, over the time observed")},
			Limit:   s.Store.WritesPerSecond, LimitOf: "writes of the store",
		},
	}
}

// backend returns the rows for the load on one backend server.
func (m *Model) backend() []Row {
	s := m.Size
	daemons, replicas := float64(s.Daemons), float64(s.Replicas)
	known := m.fittedFactor(slopeBackendsKnown, replicas, 1)
	return []Row{
		{
			Role: Backend, Kind: State, Description: "answers being generated", Component: "the engine",
			Factors: []Factor{constant(s.StreamsPerReplica(), "streams")},
		},
		{
			Role: Backend, Kind: State, Description: "daemons that may connect", Component: "`control/backends`",
			Factors: []Factor{constant(daemons/replicas, "daemons a backend server"), known},
		},
		{
			Role: Backend, Kind: Messages, Description: "requests", Unit: PerSecond, Component: "`serve/flow`",
			Factors: []Factor{constant(s.RequestsPerSecond/replicas, "requests/s")},
		},
		{
			Role: Backend, Kind: Messages, Description: "status polls by daemons", Unit: PerSecond, Component: "`control/backends`",
			Factors: []Factor{constant(pollConfig.PollsPerSecond, "polls/s a daemon"), constant(daemons/replicas, "daemons a backend server")},
		},
		{
			Role: Backend, Kind: Messages, Description: "status polls by the zone's lease holder", Unit: PerSecond, Component: "`control/reconcile`",
			Factors: []Factor{constant(reconcileConfig.PollsPerSecond/s.ReplicasPerZone(), "polls/s")},
		},
		{
			Role: Backend, Kind: Messages, Description: "tokens sent", Unit: PerSecond, Component: "the engine",
			Factors: []Factor{constant(s.TokensPerSecond/replicas, "tokens/s")},
		},
	}
}

// caller returns the rows for one caller. The number of callers is not known, so the
// rows are for one caller with one stream.
func (m *Model) caller() []Row {
	s := m.Size
	return []Row{
		{
			Role: Caller, Kind: Messages, Description: "wait for output to go on after the death of an engine, if all of a daemon's streams ran on seven", Unit: Seconds,
			Component: "`serve/generation`, `decision/silence`, `decision/resume`",
			Factors:   []Factor{m.fittedFactor(slopeResume, s.StreamsPerDaemon(), milli)}, Limit: s.ResumeWithin.Seconds(), LimitOf: "output goes on after a loss",
			Remedy: "The wait grows with the streams that resume on the same few engines, whose prefills queue; spreading them over " +
				"all that hold the model divides it.",
		},
		{
			Role: Caller, Kind: State, Description: "addresses kept", Unit: Seconds, Component: "`decision/entries`",
			Factors: []Factor{constant(siteLimits.EntriesTTL.Seconds(), "s to live")},
		},
		{
			Role: Caller, Kind: Messages, Description: "asks for addresses", Unit: PerSecond, Component: "`decision/entries`",
			Factors: []Factor{constant(1/siteLimits.EntriesTTL.Seconds(), "asks/s")},
		},
		{
			Role: Caller, Kind: Messages, Description: "tokens taken a stream", Unit: PerSecond, Component: "`serve/api`",
			Factors: []Factor{constant(1/s.TokenGap.Seconds(), "tokens/s")},
		},
		{
			Role: Caller, Kind: Messages, Description: "bytes taken a stream", Unit: BytesPerSecond, Component: "`serve/api`",
			Factors: []Factor{constant(1/s.TokenGap.Seconds(), "tokens/s"), m.slopeFactor(slopeCallerBytes, 1)},
		},
		{
			Role: Caller, Kind: Messages, Description: "requests of a mean account", Unit: PerSecond, Component: "`decision/entries`",
			Factors: []Factor{constant(s.RequestsPerSecond/float64(s.Accounts), "requests/s an account")},
		},
	}
}
