package capacity

import "time"

// replacementTime is how long a replacement was observed for its writes.
const replacementTime = 50 * time.Second

// rosterWriter says why the writes do not grow with the daemons.
const rosterWriter = "One daemon writes the roster for all others, so the writes for one replacement do not grow with the number " +
	"of daemons. Where it cannot be reached each daemon writes for itself, and lost races cost more writes."

// store is what all daemons together ask of the platform's key-value service.
func (m *Model) store() []Row {
	s := m.Size
	daemons := float64(s.Daemons)
	return []Row{
		{
			Role: Store, Kind: State, What: "the roster of slots, one value", Unit: Bytes, Carrier: "`control/roster`",
			Factors: []Factor{m.at(slopeRosterBytes, daemons, 1)}, Limit: s.Store.Value, LimitOf: "a value of the store",
		},
		{
			Role: Store, Kind: Messages, What: "reads and waiting watches of a quiet fleet", Unit: PerS, Carrier: "`control/inforce`, `control/roster`, `control/lease`",
			Factors: []Factor{m.at(slopeStoreReads, daemons, 1)}, Limit: s.Store.ReadsPerS, LimitOf: "reads of the store",
		},
		{
			Role: Store, Kind: Messages, What: "writes of a quiet fleet", Unit: PerS, Carrier: "`control/lease`",
			Factors: []Factor{m.at(slopeStoreWrites, daemons, 1)}, Limit: s.Store.WritesPerS, LimitOf: "writes of the store",
		},
		{
			Role: Store, Kind: Messages, What: "writes for configuration changes", Unit: PerS, Carrier: "`control/operate`",
			Factors: []Factor{given(s.ChangesPerS(), "changes/s"), m.at(slopeChangeWrites, daemons, 1)}, Limit: s.Store.WritesPerS, LimitOf: "writes of the store",
		},
		{
			Role: Store, Kind: Messages, What: "writes for replaced VMs", Unit: PerS, Carrier: "`control/roster`",
			Factors: []Factor{given(s.ReplacementsPerDay/secondsPerDay, "replacements/s"), m.at(slopeReplaceWrites, daemons, 1)},
			Limit:   s.Store.WritesPerS, LimitOf: "writes of the store",
		},
		{
			Role: Store, Kind: Messages, What: "writes while one daemon is replaced, the peak", Unit: PerS, Carrier: "`control/roster`",
			Factors: []Factor{m.at(slopeReplaceWrites, daemons, 1), given(perSecond(replacementTime), "1/s, over the time observed")},
			Limit:   s.Store.WritesPerS, LimitOf: "writes of the store",
		},
	}
}

// backend is what the system asks of one backend server beside its work.
func (m *Model) backend() []Row {
	s := m.Size
	daemons, replicas := float64(s.Daemons), float64(s.Replicas)
	known := m.at(slopeKnown, replicas, 1)
	return []Row{
		{
			Role: Backend, Kind: State, What: "answers being generated", Carrier: "the engine",
			Factors: []Factor{given(s.StreamsPerReplica(), "streams")},
		},
		{
			Role: Backend, Kind: State, What: "daemons that may connect", Carrier: "`control/backends`",
			Factors: []Factor{given(daemons/replicas, "daemons a backend server"), known},
		},
		{
			Role: Backend, Kind: Messages, What: "requests", Unit: PerS, Carrier: "`serve/flow`",
			Factors: []Factor{given(s.RequestsPerS/replicas, "requests/s")},
		},
		{
			Role: Backend, Kind: Messages, What: "status polls by daemons", Unit: PerS, Carrier: "`control/backends`",
			Factors: []Factor{given(polling.PollsPerSecond, "polls/s a daemon"), given(daemons/replicas, "daemons a backend server")},
		},
		{
			Role: Backend, Kind: Messages, What: "status polls by the zone's lease holder", Unit: PerS, Carrier: "`control/reconcile`",
			Factors: []Factor{given(placing.PollsPerSecond/s.ReplicasPerZone(), "polls/s")},
		},
		{
			Role: Backend, Kind: Messages, What: "tokens sent", Unit: PerS, Carrier: "the engine",
			Factors: []Factor{given(s.TokensPerS/replicas, "tokens/s")},
		},
	}
}

// caller is what one caller of the system spends. How many there are is not
// given, so rows are for one caller that holds one answer's stream.
func (m *Model) caller() []Row {
	s := m.Size
	return []Row{
		{
			Role: Caller, Kind: Messages, What: "wait for output to go on after the death of an engine, if all of a daemon's streams ran on seven", Unit: Seconds,
			Carrier: "`serve/generation`, `decision/silence`, `decision/resume`",
			Factors: []Factor{m.at(slopeResume, s.StreamsPerDaemon(), milli)}, Limit: s.Resume.Seconds(), LimitOf: "output goes on after a loss",
			Beyond: "The wait grows with the streams that resume on the same few engines, whose prefills queue; spreading them over " +
				"all that hold the model divides it.",
		},
		{
			Role: Caller, Kind: State, What: "addresses kept", Unit: Seconds, Carrier: "`decision/entries`",
			Factors: []Factor{given(limits.EntriesTTL.Seconds(), "s to live")},
		},
		{
			Role: Caller, Kind: Messages, What: "asks for addresses", Unit: PerS, Carrier: "`decision/entries`",
			Factors: []Factor{given(1/limits.EntriesTTL.Seconds(), "asks/s")},
		},
		{
			Role: Caller, Kind: Messages, What: "tokens taken a stream", Unit: PerS, Carrier: "`serve/api`",
			Factors: []Factor{given(1/s.TokenGap.Seconds(), "tokens/s")},
		},
		{
			Role: Caller, Kind: Messages, What: "bytes taken a stream", Unit: BytesPerS, Carrier: "`serve/api`",
			Factors: []Factor{given(1/s.TokenGap.Seconds(), "tokens/s"), m.per(slopeCallerBytes, 1)},
		},
		{
			Role: Caller, Kind: Messages, What: "requests of a mean account", Unit: PerS, Carrier: "`decision/entries`",
			Factors: []Factor{given(s.RequestsPerS/float64(s.Accounts), "requests/s an account")},
		},
	}
}
