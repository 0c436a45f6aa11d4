package event

import "github.com/sirupsen/logrus"

// Events of configuration.
var (
	ConfigInForce = define(501, "config_in_force", logrus.InfoLevel,
		"An accepted site text is in force at this daemon.", "revision", "previous", "source", "who", "comment", "age")
	ConfigRefused = define(502, "config_refused", logrus.ErrorLevel,
		"A site text was not taken over; the one before stays in force.", "revision", "source", "error")
	StaleConfigOffered = define(503, "config_lower", logrus.WarnLevel,
		"A lower or contradicting revision was offered; the one in force stays.", "revision", "in_force", "source")
	ConfigUnavailable = define(504, "config_unavailable", logrus.WarnLevel,
		"No accepted site text from the store or from a peer; the daemon is not ready.", "store_error", "peers_asked")
	ConfigStoreLost = define(505, "config_store_lost", logrus.WarnLevel,
		"The store does not answer; the text in force stays, news come from peers.", "error")
	ConfigStoreRecovered = define(506, "config_store_back", logrus.InfoLevel,
		"The store answers again.", "down")
	ConfigWatching = define(507, "config_watching", logrus.InfoLevel,
		"This daemon began or ceased to watch the store for its zone.", "watching")
	ConfigWatchStale = define(508, "config_watch_stale", logrus.WarnLevel,
		"A read found a revision that the watch never delivered; the watch is replaced.", "revision")
	ConfigFetchFailed = define(509, "config_fetch_failed", logrus.InfoLevel,
		"A peer did not give the text that it has in force.", "member", "revision", "error")
	CertificateLoaded = define(520, "certificate_loaded", logrus.InfoLevel,
		"A certificate file was read and is in use.", "file", "not_after")
	CertificateRefused = define(521, "certificate_refused", logrus.ErrorLevel,
		"A changed certificate file could not be used; the one before stays in use.", "file", "error")
	OperatorRefused = define(522, "operator_refused", logrus.WarnLevel,
		"A request to the operators' listener had no valid token.", "path", "remote")
)
