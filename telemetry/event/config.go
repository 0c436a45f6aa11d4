package event

import "github.com/sirupsen/logrus"

// Events of configuration.
var (
	ConfigInForce = define(501, "config_in_force", logrus.InfoLevel,
		"An accepted site text is in force at this daemon.", "revision", "previous", "source", "who", "comment", "age")
	ConfigRefused = define(502, "config_refused", logrus.ErrorLevel,
		"A site text was rejected; the previous one stays in force.", "revision", "source", "error")
	StaleConfigOffered = define(503, "config_lower", logrus.WarnLevel,
		"A revision was offered that is lower than the one in force, or equal to it with other content; it was ignored.", "revision", "in_force", "source")
	ConfigUnavailable = define(504, "config_unavailable", logrus.WarnLevel,
		"Neither the store nor a peer provided an accepted site text; the daemon is not ready.", "store_error", "peers_asked")
	ConfigStoreLost = define(505, "config_store_lost", logrus.WarnLevel,
		"The store does not answer; the site text in force stays, and updates come from peers.", "error")
	ConfigStoreRecovered = define(506, "config_store_back", logrus.InfoLevel,
		"The store answers again.", "down")
	ConfigWatching = define(507, "config_watching", logrus.InfoLevel,
		"This daemon started or stopped watching the store on behalf of its zone.", "watching")
	ConfigWatchStale = define(508, "config_watch_stale", logrus.WarnLevel,
		"A read returned a revision that the watch had not delivered; the watch is replaced.", "revision")
	ConfigFetchFailed = define(509, "config_fetch_failed", logrus.InfoLevel,
		"A peer did not return the site text that it has in force.", "member", "revision", "error")
	CertificateLoaded = define(520, "certificate_loaded", logrus.InfoLevel,
		"A certificate file was loaded and is in use.", "file", "not_after")
	CertificateRefused = define(521, "certificate_refused", logrus.ErrorLevel,
		"A changed certificate file is invalid; the previous certificate stays in use.", "file", "error")
	OperatorRefused = define(522, "operator_refused", logrus.WarnLevel,
		"A request to the operators' listener had no valid token.", "path", "remote")
)
