package capacity

import (
	"time"

	"mallowwind.dev/control/site"
)

// Constants of the packages that the arithmetic needs.
const (
	statusPollsPerS = 2
	vmListEvery     = time.Second
)

var limits = site.DefaultLimits()

const (
	reconcileEvery  = 2 * time.Second
	holderPollEvery = 5 * time.Second
	slots           = 1024.0
)

func rosterEvery(s Size) time.Duration { return time.Duration(s.Daemons) * 250 * time.Millisecond }

// drainTime is how long a leaving daemon serves on: callers keep its address
// for limits.EntriesTTL, and generations that run for minutes end within the
// longest drain that operators set.
var drainTime = limits.EntriesTTL + 10*time.Minute
