package event

import "github.com/sirupsen/logrus"

// Event numbers are grouped by category: 1xx daemon, 2xx admission and routing, 3xx generations,
// 4xx calls that run at most once, 5xx configuration, 6xx membership, 7xx placement, 8xx platform.
// Each file declares the events of one subject; forwarding.go has numbers of 2xx and 5xx.

// Events of the daemon's lifecycle.
var (
	DaemonStarted = define(101, "daemon_started", logrus.InfoLevel,
		"The daemon serves callers.", "listen", "peer_listen", "version")
	DaemonDraining = define(102, "daemon_draining", logrus.InfoLevel,
		"The daemon is no longer listed in address answers and finishes the requests in progress.", "running", "wait")
	DaemonStopped = define(103, "daemon_stopped", logrus.InfoLevel,
		"The daemon has stopped.", "cut", "handed_over")
	HandoverIncomplete = define(105, "handover_incomplete", logrus.WarnLevel,
		"Not all keys of calls that run at most once could be handed over before the daemon stopped.", "error")
	ListenerFailed = define(106, "listener_failed", logrus.ErrorLevel,
		"A listener of the daemon stopped unexpectedly.", "listen", "error")
	LimitsInForce = define(109, "limits_in_force", logrus.InfoLevel,
		"Connections of callers, open ones too, are subject to changed limits.", "version", "header_bytes", "header_timeout", "idle_timeout")
	LogDropped = define(108, "log_dropped", logrus.WarnLevel,
		"Log lines were dropped because the log output was too slow.", "lines")
	SettingsReloaded = define(107, "settings_reloaded", logrus.InfoLevel,
		"The settings file was read again. If error is set, it could not be loaded and the previous settings stay in use.", "file", "error")
	InvariantViolated = define(104, "invariant_violated", logrus.ErrorLevel,
		"An invariant was violated; the affected answer was aborted.", "invariant", "subject", "detail")
)
