package capacity

import (
	"mallowwind.dev/control/feed"
	"mallowwind.dev/decision/watchplan"
	"mallowwind.dev/serve/forward"
)

// forward is what a daemon that forwards requests by the configuration in the
// platform's store sends and is asked. Its processor time, memory and bytes at this
// size are not measured by a slope; docs/design/90-users-platform.md has what was
// seen at 30, 100 and 300 daemons.
func (m *Model) forward() []Row {
	s := m.Size
	watchers := float64(watchplan.CountWatchers(s.Daemons))
	return []Row{
		{
			Role: Forward, Kind: Messages, What: "reports asked of engines before prompts", Unit: PerS, Carrier: "`serve/forward`",
			Factors: []Factor{given(s.RequestsPerDaemon(), "requests/s"), given(forward.SampleSize, "engines asked")},
		},
		{
			Role: Forward, Kind: Messages, What: "questions of other daemons to one that passes on what the store tells", Unit: PerS, Carrier: "`control/feed`",
			Factors: []Factor{given(watchplan.ClientsPerRelay, "daemons that ask it"), given(feed.MaxBatchesPerSecond, "batches/s at most")},
		},
		{
			Role: Store, Kind: Messages, What: "waiting watches of daemons that forward, with a change in each", Unit: PerS, Carrier: "`control/feed`",
			Factors: []Factor{given(watchers, "daemons that watch"), given(feed.MaxBatchesPerSecond, "batches/s at most")},
			Limit:   s.Store.ReadsPerS, LimitOf: "reads of the store",
		},
		{
			Role: Backend, Kind: Messages, What: "reports asked before prompts", Unit: PerS, Carrier: "`serve/forward`",
			Factors: []Factor{given(s.RequestsPerS/float64(s.Replicas), "requests/s"), given(forward.SampleSize, "engines asked")},
		},
	}
}
