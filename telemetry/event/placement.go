package event

import "github.com/sirupsen/logrus"

// Events of placement: which daemon gives the orders in a zone, and every order with its reason.
var (
	LeaseTaken = define(701, "lease_taken", logrus.InfoLevel,
		"This daemon holds the zone's lease and gives its orders.", "key", "fence")
	LeaseLost = define(702, "lease_lost", logrus.WarnLevel,
		"This daemon no longer holds the zone's lease.", "key", "fence", "reason")
	LeaseFailed = define(703, "lease_failed", logrus.WarnLevel,
		"A call to the store for the zone's lease failed.", "key", "error")
	PlacementOrdered = define(710, "placement_ordered", logrus.InfoLevel,
		"An engine accepted an order.", "order", "kind", "backend", "service", "ref", "reason", "fence", "revision")
	PlacementFailed = define(711, "placement_failed", logrus.WarnLevel,
		"An engine did not accept an order.", "order", "kind", "backend", "service", "ref", "reason", "error")
	PlacementWaits = define(712, "placement_waits", logrus.InfoLevel,
		"The zone differs from the site text, but placement waits; reason says why.", "service", "reason", "revision")
	PlacementConverged = define(713, "placement_converged", logrus.InfoLevel,
		"The zone matches the site text.", "revision")
	PlacementFenced = define(714, "placement_fenced", logrus.WarnLevel,
		"An engine knows a higher fencing token; this daemon gives no more orders with its own.", "backend", "fence", "seen")
	PlacementBehind = define(715, "placement_behind", logrus.WarnLevel,
		"An earlier lease holder acted on a newer revision than this daemon knows; it gives no orders until it knows that revision.", "revision", "acted_on")
	PlacementFenceRaised = define(716, "placement_fence_raised", logrus.DebugLevel,
		"An engine was told the fencing token of this lease holder.", "order", "backend", "fence")
)
