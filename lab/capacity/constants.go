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
	limits    = site.DefaultLimits()
	polling   = backends.DefaultConfig()
	placing   = reconcile.DefaultConfig()
	leasing   = lease.DefaultConfig()
	drainTime = limits.EntriesTTL + settings.DefaultDrainLimit
)

const (
	// slots is the number of slots that idempotency keys hash to.
	slots = float64(slot.Count)
	// base64Growth is how much values grow in the store's JSON form.
	base64Growth = 4.0 / 3
	// rosterReads is how often all daemons together read the roster, a second.
	rosterReads = float64(time.Second) / float64(roster.PollIntervalPerMember)
)

func perSecond(every time.Duration) float64 { return 1 / every.Seconds() }
