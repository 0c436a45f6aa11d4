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

// Constants of the packages that the arithmetic takes up.
var (
	siteLimits      = site.DefaultLimits()
	pollConfig      = backends.DefaultConfig()
	reconcileConfig = reconcile.DefaultConfig()
	leaseConfig     = lease.DefaultConfig()
	drainTime       = siteLimits.EntriesTTL + settings.DefaultDrainLimit
)

const (
	// slotCount is the number of slots that idempotency keys hash to.
	slotCount = float64(slot.Count)
	// base64Ratio is how much values grow in the store's JSON form.
	base64Ratio = 4.0 / 3
	// rosterReadsPerSecond is how often all daemons together read the roster, a second.
	rosterReadsPerSecond = float64(time.Second) / float64(roster.PollPerMember)
)

func perSecond(every time.Duration) float64 { return 1 / every.Seconds() }
