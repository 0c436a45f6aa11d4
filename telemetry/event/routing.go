package event

import "github.com/sirupsen/logrus"

// Events of admission and routing.
var (
	RequestDispatched = define(201, "request_dispatched", logrus.InfoLevel,
		"A request was assigned to a backend server.", "request", "account", "service", "class", "backend", "backend_zone", "reason", "waited", "in_flight", "limit")
	RequestQueued = define(202, "request_queued", logrus.DebugLevel,
		"A request waits for a backend server.", "request", "account", "service", "class", "reason", "predicted_wait")
	RequestRefused = define(203, "request_refused", logrus.InfoLevel,
		"A request was rejected without running.", "request", "account", "service", "class", "reason", "code", "retry_after")
	BackendState = define(204, "backend_state", logrus.WarnLevel,
		"The health state of a backend server changed.", "backend", "from", "to", "reason", "gap", "median")
	LimitChanged = define(205, "limit_changed", logrus.DebugLevel,
		"The concurrency limit of this daemon for a backend server changed.", "backend", "limit", "in_flight")
	BudgetDecided = define(206, "budget_decided", logrus.InfoLevel,
		"A retry or takeover was charged to the budget or denied.", "request", "kind", "reason", "tokens", "balance")
	TableBuilt = define(207, "table_built", logrus.DebugLevel,
		"The candidate table of a service was rebuilt.", "pool", "model", "candidates", "known", "version")
	LoadingDecided = define(208, "loading_decided", logrus.InfoLevel,
		"No backend server has the model ready; the daemon decided whether to wait for one that is loading it.", "request", "model", "reason", "retry_after")
	EntriesAnswered = define(209, "entries_answered", logrus.DebugLevel,
		"A caller was told which entry VMs to use.", "account", "entries", "known", "reason")
)
