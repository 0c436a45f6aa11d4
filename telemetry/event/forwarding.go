package event

import "github.com/sirupsen/logrus"

// Events of forwarding and of what it follows in the store.
var (
	Exchanged = define(220, "exchanged", logrus.InfoLevel,
		"A forwarded request was sent to a backend server.", "request", "route", "backend", "reason", "status", "not_run", "took", "error")
	StreamLeg = define(221, "stream_leg", logrus.InfoLevel,
		"One backend server's part of a forwarded stream ended.", "request", "route", "backend", "backend_zone", "reason", "copy", "end", "after", "first", "quiet", "took", "error")
	ForwardRefused = define(222, "forward_refused", logrus.InfoLevel,
		"The daemon itself answered a forwarded request.", "request", "route", "status", "code", "error", "took")

	RoutingInForce = define(530, "routing_in_force", logrus.InfoLevel,
		"A version of the forwarding configuration is in force.", "version")
	EntryRefused = define(531, "entry_refused", logrus.ErrorLevel,
		"A key of the store could not be read; what was known before stays in use.", "key", "error")
	StoreLost = define(532, "store_lost", logrus.WarnLevel,
		"The store does not answer; what is known stays in use.", "error")
	StoreReached = define(533, "store_reached", logrus.InfoLevel,
		"The store answers.", "revision")
	FeedPeerFailed = define(535, "feed_peer_failed", logrus.WarnLevel,
		"Another daemon did not tell what it read from the store.", "address", "error")
	FeedLearned = define(536, "feed_learned", logrus.InfoLevel,
		"What another daemon read from the store was taken over, or confirmed what is known.", "address", "revision", "age_ms")
	RegistrationFailed = define(534, "registration_failed", logrus.WarnLevel,
		"This daemon's entry in the store could not be written or removed.", "error")
)
