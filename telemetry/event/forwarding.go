package event

import "github.com/sirupsen/logrus"

// Events of forwarding and of the store entries that it depends on.
var (
	ExchangeEnded = define(220, "exchanged", logrus.InfoLevel,
		"An exchange with a backend server for a forwarded request ended. send is the number of the send for this request; limit is the rate limit that the server states for all daemons together, leaving whether it states that it takes no new requests, and pause the seconds for which it wants none from this daemon.", "request", "route", "account", "config", "backend", "reason", "send", "limit", "leaving", "pause", "status", "not_run", "took", "error")
	StreamSegmentEnded = define(221, "stream_leg", logrus.InfoLevel,
		"A segment of a forwarded stream, the part that came from one backend server, ended. limit, leaving and pause are those of event 220.", "request", "prompt", "route", "account", "config", "backend", "backend_zone", "reason", "copy", "end", "after", "first", "longest", "quiet", "took", "limit", "leaving", "pause", "error")
	ForwardRefused = define(222, "forward_refused", logrus.InfoLevel,
		"The daemon answered a request itself instead of forwarding the answer of a backend server.", "request", "prompt", "route", "account", "config", "config_age", "status", "code", "retry_after", "error", "took")
	BackendSuspected = define(223, "backend_suspected", logrus.WarnLevel,
		"A backend server failed a request. For a while it is used only if no other server is available.", "request", "backend", "error", "for")
	RetryDenied = define(224, "repeat_denied", logrus.InfoLevel,
		"The shared retry budget did not permit another send.", "request", "route", "sends")
	PromptLocated = define(225, "prompt_located", logrus.InfoLevel,
		"The engines were asked which of them has cached the prompt of a stream that another daemon started.", "request", "prompt", "holders")
	AnswerTruncated = define(226, "answer_cut", logrus.WarnLevel,
		"An answer that had started could not be completed. Its connection was closed, so that it does not look complete.", "request", "prompt", "route", "account", "config", "error", "took")
	RetryBorrowed = define(227, "repeat_borrowed", logrus.InfoLevel,
		"Another daemon lent one retry of its share of the retry budget to a request of this daemon.", "request", "lender", "service")
	LenderFailed = define(228, "lender_failed", logrus.WarnLevel,
		"Another daemon that was asked to lend a retry did not answer.", "address", "error")
	CopyMade = define(229, "copy_made", logrus.InfoLevel,
		"The replica of a run's KV cache was lost, and a new one was made at another backend server.", "request", "backend", "copy")
	CopyFailed = define(230, "copy_failed", logrus.InfoLevel,
		"A replica of a run's KV cache could not be made or freed.", "request", "backend", "copy", "error")
	BackendIncarnationChanged = define(231, "backend_succeeded", logrus.InfoLevel,
		"A new incarnation of a backend server runs at its address, under the same ID or another one, and the store does not show it yet.", "request", "backend", "successor", "born")
	PromptRefused = define(232, "prompt_refused", logrus.InfoLevel,
		"A prompt was refused because no engine has room for it. backend is the best of the engines asked, according to its report.", "request", "backend", "reason", "tokens", "unread", "used", "memory", "due", "refusing_for", "answers_take")
	CallThrottled = define(233, "call_throttled", logrus.InfoLevel,
		"A request was refused because the backend servers of its service are rejecting requests.", "request", "service", "refusing_for")
	BackendMessageInvalid = define(234, "message_refused", logrus.ErrorLevel,
		"A message of a backend server is invalid; it counts as no answer.", "backend", "address", "error")
	PeerSilent = define(235, "neighbour_silent", logrus.WarnLevel,
		"Another daemon did not report its requests in progress at the engines. Prompts are placed without this information for a while.", "address", "error")
	CachesRead = define(236, "caches_read", logrus.InfoLevel,
		"The engines of a service were asked for their cached prompts. late is the number of engines that had not answered in time, bytes the size of all answers.", "service", "asked", "answered", "late", "bytes", "took")
	BackendConnectionBroken = define(238, "backend_broke", logrus.InfoLevel,
		"The connection to a backend server broke during a request. found is the state of the server process, finding whether a crash counts against the request, asked the number of other servers of its zone that were probed, and down the number of those that had crashed too. running is the time since the first event, parts the shared parts of the prompt and tokens its length.", "request", "digests", "prompt", "parts", "tokens", "account", "backend", "backend_zone", "found", "finding", "asked", "down", "under_way", "running", "from", "error")
	StalledSegmentKept = define(237, "leg_kept", logrus.InfoLevel,
		"A stream stays at a stalled backend server, because no other server can continue it now. evidence says what shows, beside the silence, that the server produces the answer no more; given_up is set if it ends the answer.", "request", "backend", "error", "reason", "evidence", "given_up", "after", "quiet")
	PoisonMarked = define(239, "poison_marked", logrus.WarnLevel,
		"A request was marked because this daemon counted backend servers that crashed while they ran it. A watched request is cleared by a complete answer; a refused one is sent to no server.", "digest", "account", "route", "mark", "servers")
	PoisonMarkReceived = define(240, "poison_told", logrus.InfoLevel,
		"Another daemon marked a request because backend servers crashed while they ran it.", "digest", "account", "route", "mark", "servers")
	PoisonCleared = define(241, "poison_cleared", logrus.InfoLevel,
		"A request during which backend servers had crashed got a complete answer; its counted crashes are cleared.", "request", "digest")
	PoisonPartFound = define(275, "poison_part_found", logrus.WarnLevel,
		"This daemon found that a part of prompts crashes the servers that begin to answer them. parts has more than one if they were always together. Prompts with all of them are refused under the digest from now on. servers crashed under requests different requests with them within span, and none kept running since. survived is set if servers were known to survive them before.", "service", "parts", "digest", "servers", "requests", "survived", "span")
	PromptSuspect = define(276, "prompt_suspect", logrus.InfoLevel,
		"A request whose server crashed when it began to answer is not sent again: servers crashed under other requests with a part of its prompt.", "request", "prompt", "parts", "account", "backend")
	PoisonTried = define(277, "poison_tried", logrus.InfoLevel,
		"A refused request, or a prompt with refused parts, is sent to one backend server to find out whether it still crashes servers, or the store call that claims this trial failed.", "request", "digest", "error")
	PoisonLifted = define(278, "poison_lifted", logrus.WarnLevel,
		"The trial of a refusal got a complete answer, so the refusal was removed from the store, or the removal failed.", "request", "digest", "error")
	PoisonWritten = define(242, "poison_written", logrus.InfoLevel,
		"A refused request was written to the store, or the write failed.", "digest", "error")
	ServerLimitChanged = define(243, "server_limit_changed", logrus.InfoLevel,
		"A backend server set, changed or lifted its limit on the requests per second from all daemons together, in an answer to this daemon or as reported by another daemon. known is how long the limit has applied, confirmed the time since it was last stated.", "backend", "service", "change", "rate", "by", "known", "confirmed")
	ServerLimitUnreadable = define(244, "server_limit_unreadable", logrus.ErrorLevel,
		"A backend server states a limit that cannot be parsed; it counts as almost zero.", "backend", "error")
	ServerLeaving = define(263, "server_leaving", logrus.InfoLevel,
		"A backend server stated in a response that it leaves, before its entry in the store did. It gets no new requests.", "backend", "service", "address")
	ServerPaused = define(264, "server_paused", logrus.InfoLevel,
		"A backend server rejected a request and asked for a time without further ones. pause is that time.", "backend", "service", "pause")
	ServerServesAgain = define(265, "server_serves_again", logrus.InfoLevel,
		"A backend server served a request again after the pause that it had asked for.", "backend", "service")
	ServerPauseUnreadable = define(266, "server_pause_unreadable", logrus.ErrorLevel,
		"A backend server asked for a pause that cannot be parsed; it counts as a short one.", "backend", "error")
	ServerPathLost = define(267, "server_path_lost", logrus.WarnLevel,
		"Another daemon connected to two backend servers, or more, that this daemon did not reach. Connections to all servers go through other daemons from now on. backend is the address of the last of them, peer the daemon that connected to it, and error how the attempt of this daemon failed, if it has ended.", "backend", "peer", "error")
	ServerPathRestored = define(268, "server_path_restored", logrus.InfoLevel,
		"This daemon connected to a backend server itself again. lost_for is how long it did not.", "backend", "lost_for")
	ConnectionRelayed = define(269, "connection_relayed", logrus.InfoLevel,
		"A connection to a backend server was made through another daemon. path is the path that was chosen: direct if this daemon's own attempt failed or took long, peer while its path to the server counts as lost, trial if both were tried. error is how its own attempt failed.", "request", "backend", "peer", "path", "error")
	TunnelEnded = define(270, "tunnel_ended", logrus.InfoLevel,
		"A connection to a backend server that this daemon made for another one has ended, or was refused. error is how its bytes ended, or why the server was not reached.", "request", "peer", "backend", "refusal", "took", "error")
	ServersBrittle = define(272, "servers_brittle", logrus.WarnLevel,
		"A backend server stated in a response that it fails if it has to reject more than limit requests in a second, which holds for all servers of its service, or no longer states so. While stated is set, daemons divide the slots of each server and let requests wait.", "service", "backend", "stated", "limit")
	ServerBrittleUnreadable = define(273, "server_brittle_unreadable", logrus.ErrorLevel,
		"A backend server states that it is brittle with a number that cannot be parsed; it counts as 0.", "backend", "error")
	EnginesUneven = define(274, "engines_uneven", logrus.InfoLevel,
		"The engines of a service were found to differ in speed, so that prompts are placed by the pace of each engine, or no longer. known is the number of engines of known pace; fast, average and slow are the intervals between events at engines of these paces.", "service", "uneven", "known", "fast", "average", "slow")
	PromptWaits = define(282, "prompt_waits", logrus.InfoLevel,
		"A prompt found no room at an engine and waits for it in this daemon. slack is the time until its latest start, waiting the number of waiting prompts of the service, bytes the size of its body.", "request", "service", "route", "account", "rank", "tokens", "bytes", "slack", "waiting")
	PromptWaitEnded = define(283, "prompt_wait_ended", logrus.InfoLevel,
		"A prompt no longer waits for room at an engine: it is sent to backend, or it is refused and did not run. end says why, looks is the number of times that it looked for room.", "request", "service", "route", "account", "rank", "end", "backend", "waited", "slack", "looks", "waiting")
	RolloutOrdered = define(245, "rollout_ordered", logrus.InfoLevel,
		"An operator ordered the rollout of a service from one version of its servers to another.", "service", "base", "target", "order", "period")
	RolloutStage = define(246, "rollout_stage", logrus.InfoLevel,
		"The stage of a rollout changed, by a decision of this daemon, a report of another daemon or an entry of the store. reason is the reason of a decision made here; found of the compared samples of the target version are bad, and expected would be bad if it were like the baseline version.", "service", "base", "target", "order", "stage", "share", "by", "reason", "elapsed", "route", "kind", "compared", "found", "expected")
	RolloutPeerSilent = define(247, "rollout_peer_silent", logrus.WarnLevel,
		"Another daemon did not answer a report about a rollout.", "address", "error")
	RolloutWriteFailed = define(248, "rollout_unwritten", logrus.WarnLevel,
		"The status of a rollout could not be written to the store. superseded is set if another status was written in the meantime.", "service", "stage", "superseded", "error")
	RolloutTargetGone = define(271, "rollout_target_gone", logrus.WarnLevel,
		"All requests of a service go to the target version of its rollout, and none of its servers is listed any more while servers of the baseline version are. If on_baseline is set, requests go to those from now on; otherwise that has ended.", "service", "base", "target", "stage", "on_baseline")
	RolloutTargetSilent = define(253, "rollout_target_silent", logrus.WarnLevel,
		"A rollout is not completed because none of the servers of its target version that were asked accepts connections. servers is the number of those that are listed.", "service", "target", "servers")
	StreamMoved = define(249, "stream_moved", logrus.InfoLevel,
		"A stream continues at another backend server, because the version of its server is being withdrawn.", "request", "backend", "next", "after")
	HeadroomKept = define(280, "headroom_kept", logrus.InfoLevel,
		"A prompt found no room at the best of the engines asked, because the engine keeps room for more urgent prompts. share is the observed share of those, kept the number of prompts for which room is kept, copies, used and memory are tokens.", "request", "rank", "share", "kept", "running", "unread", "copies", "used", "memory")
	CopyDeclined = define(281, "copy_declined", logrus.InfoLevel,
		"A run got no replica of its KV cache at an engine, because the streams of its service differ in priority and memory is scarce; reason says why. It is logged when the reason changes.", "request", "backend", "rank", "reason")
	OrdinaryRetryDenied = define(290, "ordinary_repeat_denied", logrus.InfoLevel,
		"A less urgent request of which the caller holds nothing was not sent again: what is left of the shared retry budget, here and at the daemons that were asked to lend, is reserved for urgent requests and for answers that callers hold in part, or used up. rank is 0 for the most urgent requests of the service.", "request", "service", "rank", "sends")
	RoomForecast = define(291, "room_forecast", logrus.InfoLevel,
		"A request was refused for lack of room, and its caller was told to return after retry_after. overload is how long requests of its rank find no room, ahead the number of callers told to return before that are served first, and spare the prompts per second that find room once the overload is over.", "request", "service", "rank", "retry_after", "overload", "ahead", "spare")
	PromptRefilled = define(292, "prompt_refilled", logrus.InfoLevel,
		"A prompt has to be prefilled again, because its answer broke off or a server rejected it. action says whether that starts now, is decided again after delay, or is refused. rank is 0 for the most urgent requests of the service, held says that the caller holds a part of the answer, and unread is the number of prompts that the chosen engine has not prefilled.", "request", "service", "action", "reason", "rank", "held", "sends", "waited", "delay", "unread")
	StreamAwaitsServer = define(293, "stream_awaits_server", logrus.InfoLevel,
		"No backend server can continue a stream that has begun now. Another look follows after the delay, as long as the stream can be completed in time.", "request", "error", "rejections", "delay", "after", "quiet")
	RunLeft = define(294, "run_left", logrus.InfoLevel,
		"A stream continues at another backend server, and the one before was asked to stop its run, before or after that. state is the last reply: stopped, stopped_kept if the state of the run could not be copied, not_running, exited if its process has exited, refused if it works on and does not stop on request, or unanswered. took is the time until then.", "request", "backend", "order", "state", "took", "error")
	TakeoverEnded = define(295, "takeover_ended", logrus.InfoLevel,
		"A second backend server had received the request of a silent stream, and one of the two was released. reason says which: taken_over if the silent one was. both is how long the two held the request, error why the stream was to go on elsewhere.", "request", "backend", "next", "reason", "both", "error")
	MemoryRefused = define(296, "memory_refused", logrus.InfoLevel,
		"A request was refused because it does not fit into the memory for requests. asked is what the request would hold, used what all requests and account_used what those of its account hold, of limit, in bytes.", "request", "account", "reason", "asked", "used", "account_used", "limit")

	RoutingInForce = define(530, "routing_in_force", logrus.InfoLevel,
		"A version of the forwarding configuration is in force.", "version")
	EntryRefused = define(531, "entry_refused", logrus.ErrorLevel,
		"An entry of the store is invalid and was ignored. A backend server or entry VM that it registered earlier is no longer used; an earlier configuration stays in force.", "key", "error")
	EntryOutdated = define(539, "entry_outdated", logrus.WarnLevel,
		"An entry of an older incarnation of a backend server arrived late; the newer incarnation stays in use.", "backend", "born", "known")
	StoreLost = define(532, "store_lost", logrus.WarnLevel,
		"The store does not answer; the known entries stay in use.", "error")
	StoreReached = define(533, "store_reached", logrus.InfoLevel,
		"The store answers.", "revision")
	FeedPeerFailed = define(535, "feed_peer_failed", logrus.WarnLevel,
		"Another daemon did not return the entries that it read from the store.", "address", "error")
	FeedLearned = define(536, "feed_learned", logrus.InfoLevel,
		"Entries that another daemon read from the store changed the configuration or the servers known here, or confirmed them after a gap.", "address", "revision", "age_ms")
	ServersChanged = define(544, "servers_changed", logrus.InfoLevel,
		"Backend servers registered, changed their entries or are gone, since the last such line. seen counts the new and changed ones, leaving those of them that are about to stop, gone the removed ones, and kept those of the removed ones that stay in use for a moment, because their leases may have expired during an outage of the store. first describes the first few.", "seen", "leaving", "gone", "kept", "first")
	ConfirmationFailed = define(545, "confirmation_failed", logrus.WarnLevel,
		"The configuration could not be read from the store while a watch was overdue.", "error")
	StoreRead = define(540, "store_read", logrus.InfoLevel,
		"All entries of the store were read for the first time, here or by another daemon. servers is the number of backend servers of each service, leaving the number of all servers that are leaving.", "servers", "leaving", "revision")
	StartPlanned = define(549, "start_planned", logrus.InfoLevel,
		"This daemon knows no state yet and found the registered entry VMs. If wait is positive, it asks the others and reads the whole store itself after that time at the earliest.", "vms", "wait")
	StoreReread = define(546, "store_reread", logrus.InfoLevel,
		"The store was read again as a whole, because the watch could not continue. read is its revision, held the revision that this daemon held; entries of a lower revision are not used.", "read", "held")
	WatchAbandoned = define(550, "watch_abandoned", logrus.WarnLevel,
		"The watch of the store cannot continue from the revision held here; the whole store is read again, here or by another daemon.", "held", "error")
	StoreRestored = define(547, "store_restored", logrus.WarnLevel,
		"The store came back from an older copy of its data and counts its revisions anew. missing is the number of servers that it lacks and that stay in use for a moment, leaving the number of those that it shows as ready although they were known to leave, and refused the number of refused requests that it lacks; they stay refused and are written again.", "era", "revision", "missing", "leaving", "refused")
	RefusedNotWritten = define(548, "refused_unwritten", logrus.WarnLevel,
		"A refused request that a restored store lacks could not be written again. It stays refused at the daemons that know it.", "request", "error")
	StoreCall = define(541, "store_call", logrus.DebugLevel,
		"A call to the store ended; purpose is the reason for the call.", "purpose", "path", "result", "took")
	RegistrationFailed = define(534, "registration_failed", logrus.WarnLevel,
		"This daemon's entry in the store could not be written or removed.", "error")
)
