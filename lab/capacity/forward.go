package capacity

import (
	"mallowwind.dev/control/feed"
	"mallowwind.dev/decision/watchplan"
	"mallowwind.dev/serve/forward"
)

// forwarder returns the rows for the message rates of daemons that forward requests by the
// configuration in the platform's store. No slope measures their processor time, memory and
// bytes; docs/design/90-users-platform.md has measurements with 30, 100 and 300 daemons.
func (m *Model) forwarder() []Row {
	s := m.Size
	watchers := float64(watchplan.CountWatchers(s.Daemons))
	return []Row{
		{
			Role: Forwarder, Kind: Messages, Description: "reports asked of engines before prompts", Unit: PerSecond, Component: "`serve/forward`",
			Factors: []Factor{constant(s.RequestsPerDaemon(), "requests/s"), constant(forward.SampleSize, "engines asked")},
		},
		{
			Role: Forwarder, Kind: Messages, Description: "questions of other daemons to one that passes on what the store tells", Unit: PerSecond, Component: "`control/feed`",
			Factors: []Factor{constant(watchplan.ClientsPerRelay, "daemons that ask it"), constant(feed.MaxBatchesPerSecond, "batches/s at most")},
		},
		{
			Role: Store, Kind: Messages, Description: "waiting watches of daemons that forward, with a change in each", Unit: PerSecond, Component: "`control/feed`",
			Factors: []Factor{constant(watchers, "daemons that watch"), constant(feed.MaxBatchesPerSecond, "batches/s at most")},
			Limit:   s.Store.ReadsPerSecond, LimitOf: "reads of the store",
		},
		{
			Role: Backend, Kind: Messages, Description: "reports asked before prompts", Unit: PerSecond, Component: "`serve/forward`",
			Factors: []Factor{constant(s.RequestsPerSecond/float64(s.Replicas), "requests/s"), constant(forward.SampleSize, "engines asked")},
		},
	}
}
