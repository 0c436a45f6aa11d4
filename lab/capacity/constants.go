package capacity

import (
	"time"

	"mallowwind.dev/control/backends"
	"mallowwind.dev/control/lease"
	"mallowwind.dev/control/reconcile"
	"mallowwind.dev/control/roster"
	"mallowwind.dev/control/settings"
	"mallowwind.dev/control/site"
	"mallowwind.dev/decision/slot"
)

// Default settings of other packages that the model uses.
var (
	siteLimits      = site.DefaultLimits()
	pollConfig      = backends.DefaultConfig()
	reconcileConfig = reconcile.DefaultConfig()
	leaseConfig     = lease.DefaultConfig()
	drainTime       = siteLimits.EntriesTTL + settings.DefaultDrainLimit
)

const (
	// slotCount is the number of slots that idempotency keys are hashed to.
	slotCount = float64(slot.Count)
	// base64Ratio is the factor by which base64 enlarges values in the store's JSON encoding.
	base64Ratio = 4.0 / 3
	// rosterReadsPerSecond is the rate at which all daemons together read the roster.
	rosterReadsPerSecond = float64(time.Second) / float64(roster.PollIntervalPerMember)
)

func perSecond(every time.Duration) float64 { return 1 / every.Seconds() }
