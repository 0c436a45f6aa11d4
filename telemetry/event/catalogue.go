package event

import "github.com/sirupsen/logrus"

// Numbers by concern: 1xx daemon, 2xx admission and routing, 3xx generations,
// 4xx calls that run at most once, 5xx configuration, 6xx membership,
// 7xx placement, 8xx platform. Each concern has its own file.

// Events of the daemon's life.
var (
	DaemonStarted = define(101, "daemon_started", logrus.InfoLevel,
		"The daemon serves callers.", "listen", "peer_listen", "version")
	DaemonDraining = define(102, "daemon_draining", logrus.InfoLevel,
		"The daemon left the address answers and finishes its work.", "running", "wait")
	DaemonStopped = define(103, "daemon_stopped", logrus.InfoLevel,
		"The daemon has stopped.", "cut", "handed_over")
	HandoverIncomplete = define(105, "handover_incomplete", logrus.WarnLevel,
		"Keys of calls that may not be repeated could not all be handed over before the stop.", "error")
	ListenerFailed = define(106, "listener_failed", logrus.ErrorLevel,
		"A listener of the daemon ended by itself.", "listen", "error")
	LimitsInForce = define(109, "limits_in_force", logrus.InfoLevel,
		"Connections that callers open from now on are bound by other limits.", "version", "header_bytes", "header_timeout", "idle_timeout")
	LogDropped = define(108, "log_dropped", logrus.WarnLevel,
		"Log lines were dropped because the output did not take them in time.", "lines")
	SettingsReloaded = define(107, "settings_reloaded", logrus.InfoLevel,
		"The settings file was read again; an error says that it could not be and the settings stay.", "file", "error")
	InvariantViolated = define(104, "invariant_violated", logrus.ErrorLevel,
		"An invariant did not hold; the answer it concerns was stopped.", "invariant", "subject", "detail")
)
