package event

import "github.com/sirupsen/logrus"

// Events of forwarding and of what it follows in the store.
var (
	ExchangeEnded = define(220, "exchanged", logrus.InfoLevel,
		"A forwarded request was sent to a backend server; send says which of its sends it was, limit what the server says that it takes of all daemons.", "request", "route", "account", "config", "backend", "reason", "send", "limit", "status", "not_run", "took", "error")
	StreamSegmentEnded = define(221, "stream_leg", logrus.InfoLevel,
		"One backend server's part of a forwarded stream ended.", "request", "prompt", "route", "account", "config", "backend", "backend_zone", "reason", "copy", "end", "after", "first", "longest", "quiet", "took", "limit", "error")
	ForwardRefused = define(222, "forward_refused", logrus.InfoLevel,
		"The daemon itself answered a forwarded request.", "request", "prompt", "route", "account", "config", "config_age", "status", "code", "retry_after", "error", "took")
	BackendSuspected = define(223, "backend_suspected", logrus.WarnLevel,
		"A backend server failed a request and is a last resort for a while.", "request", "backend", "error", "for")
	RetryDenied = define(224, "repeat_denied", logrus.InfoLevel,
		"The shared budget of repeats did not afford one more send.", "request", "route", "sends")
	PromptLocated = define(225, "prompt_located", logrus.InfoLevel,
		"The engines were asked which of them holds the prompt of a stream that another daemon began.", "request", "prompt", "holders")
	AnswerTruncated = define(226, "answer_cut", logrus.WarnLevel,
		"An answer that had begun could not be finished; its connection was ended so that it does not look whole.", "request", "prompt", "route", "account", "config", "error", "took")
	RetryBorrowed = define(227, "repeat_borrowed", logrus.InfoLevel,
		"Another daemon gave up one repeat of its part of the budget for a request here.", "request", "lender", "service")
	LenderFailed = define(228, "lender_failed", logrus.WarnLevel,
		"Another daemon that was asked for a repeat did not answer.", "address", "error")
	CopyMade = define(229, "copy_made", logrus.InfoLevel,
		"The copy of a run was lost, and another was made at a second backend server.", "request", "backend", "copy")
	CopyFailed = define(230, "copy_failed", logrus.InfoLevel,
		"A copy of a run could not be made or freed.", "request", "backend", "copy", "error")
	BackendIncarnationChanged = define(231, "backend_succeeded", logrus.InfoLevel,
		"A backend server has started anew at its address, under another id or its own, which the store does not show yet.", "request", "backend", "successor", "born")
	PromptRefused = define(232, "prompt_refused", logrus.InfoLevel,
		"Engines have no room for a prompt; backend is the best of those asked, as of its report.", "request", "backend", "reason", "tokens", "unread", "used", "memory", "due", "refusing_for", "answers_take")
	CallThrottled = define(233, "call_throttled", logrus.InfoLevel,
		"A request was refused because the backend servers turn requests away.", "request", "service", "refusing_for")
	BackendMessageInvalid = define(234, "message_refused", logrus.ErrorLevel,
		"What a backend server says of itself cannot be used; it counts as no answer.", "backend", "address", "error")
	PeerSilent = define(235, "neighbour_silent", logrus.WarnLevel,
		"Another daemon did not say what it has under way at engines; prompts are placed without that for a while.", "address", "error")
	CachesRead = define(236, "caches_read", logrus.InfoLevel,
		"The engines of a service were asked what prompts they hold; late are those that had not answered when the wait was over, bytes those of all answers.", "service", "asked", "answered", "late", "bytes", "took")
	BackendConnectionBroken = define(238, "backend_broke", logrus.InfoLevel,
		"A backend server broke off a connection under a request. found says whether the server ended, finding whether that counts for the request, asked and down how many others of its zone were looked at and had ended; running is the time since the first event.", "request", "digests", "prompt", "account", "backend", "backend_zone", "found", "finding", "asked", "down", "under_way", "running", "from", "error")
	StalledSegmentKept = define(237, "leg_kept", logrus.InfoLevel,
		"A silent backend server keeps its stream, because it cannot go on at another now; given_up says that it never can, and the server gives no sign of life while others do.", "request", "backend", "error", "reason", "given_up", "after", "quiet")
	PoisonMarked = define(239, "poison_marked", logrus.WarnLevel,
		"Servers ended under a request, counted here: watched requests are cleared by a whole answer, refused ones are sent to no server.", "digest", "account", "route", "mark", "servers")
	PoisonMarkReceived = define(240, "poison_told", logrus.InfoLevel,
		"Another daemon marked a request under which servers ended.", "digest", "account", "route", "mark", "servers")
	PoisonCleared = define(241, "poison_cleared", logrus.InfoLevel,
		"An answer was whole to a request under which servers had ended; what was counted of it is forgotten.", "request", "digest")
	PoisonWritten = define(242, "poison_written", logrus.InfoLevel,
		"A refused request was written to the store, or could not be.", "digest", "error")
	ServerLimitChanged = define(243, "server_limit_changed", logrus.InfoLevel,
		"A backend server's limit of requests a second of all daemons was named, changed or lifted, by its answer here or as another daemon told; known is since when it holds, confirmed when it was last named.", "backend", "service", "change", "rate", "by", "known", "confirmed")
	ServerLimitUnreadable = define(244, "server_limit_unreadable", logrus.ErrorLevel,
		"A backend server names a limit that cannot be read; it counts as next to nothing.", "backend", "error")
	RolloutOrdered = define(245, "rollout_ordered", logrus.InfoLevel,
		"An operator orders that a service moves from one version of its servers to another.", "service", "base", "target", "order", "period")
	RolloutStage = define(246, "rollout_stage", logrus.InfoLevel,
		"How far a roll-out is, as this daemon decided, was told or read. Where it was decided, reason says why; found of the compared samples of the new version are bad, where expected would be if it were like the one before.", "service", "base", "target", "order", "stage", "share", "by", "reason", "elapsed", "route", "kind", "compared", "found", "expected")
	RolloutPeerSilent = define(247, "rollout_peer_silent", logrus.WarnLevel,
		"Another daemon did not answer what it was told of a roll-out.", "address", "error")
	RolloutWriteFailed = define(248, "rollout_unwritten", logrus.WarnLevel,
		"How far a roll-out is could not be written to the store; superseded says that another was written meanwhile.", "service", "stage", "superseded", "error")
	StreamMoved = define(249, "stream_moved", logrus.InfoLevel,
		"A stream goes on at another server, because the version of its server leaves.", "request", "backend", "next", "after")

	RoutingInForce = define(530, "routing_in_force", logrus.InfoLevel,
		"A version of the forwarding configuration is in force.", "version")
	EntryRefused = define(531, "entry_refused", logrus.ErrorLevel,
		"A key of the store cannot be used: what it says is not believed. A server or entry VM that it named is not used any more; an earlier configuration stays in force.", "key", "error")
	EntryOutdated = define(539, "entry_outdated", logrus.WarnLevel,
		"The entry of an earlier life of a backend server arrived late; the later life stays in use.", "backend", "born", "known")
	StoreLost = define(532, "store_lost", logrus.WarnLevel,
		"The store does not answer; what is known stays in use.", "error")
	StoreReached = define(533, "store_reached", logrus.InfoLevel,
		"The store answers.", "revision")
	FeedPeerFailed = define(535, "feed_peer_failed", logrus.WarnLevel,
		"Another daemon did not tell what it read from the store.", "address", "error")
	FeedLearned = define(536, "feed_learned", logrus.InfoLevel,
		"What another daemon read from the store changed the configuration or servers known here, or confirmed them after a gap.", "address", "revision", "age_ms")
	ServerSeen = define(537, "server_seen", logrus.InfoLevel,
		"A backend server registered or changed its entry after the first read of the store.", "backend", "service", "backend_zone", "address", "leaving", "revision")
	ServerGone = define(538, "server_gone", logrus.InfoLevel,
		"A backend server's entry is gone; doubt is how long it stays in use because its lease may have run out in an outage.", "backend", "service", "doubt")
	StoreRead = define(540, "store_read", logrus.InfoLevel,
		"Everything in the store was read for the first time, here or by another daemon: how many backend servers each service has, and how many of all leave.", "servers", "leaving", "revision")
	StoreCall = define(541, "store_call", logrus.DebugLevel,
		"A call to the store ended; purpose says why it was made.", "purpose", "path", "result", "took")
	RegistrationFailed = define(534, "registration_failed", logrus.WarnLevel,
		"This daemon's entry in the store could not be written or removed.", "error")
)
