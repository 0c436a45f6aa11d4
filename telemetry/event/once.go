package event

import "github.com/sirupsen/logrus"

// Events of calls that run at most once.
var (
	CallBound = define(401, "call_bound", logrus.DebugLevel,
		"A key was bound at the owner and the witness of its slot; the call may be dispatched.", "slot", "term", "key", "account", "service")
	CallEnded = define(402, "call_ended", logrus.InfoLevel,
		"A bound call ended.", "slot", "key", "account", "service", "backend", "outcome", "code")
	CallRefused = define(403, "call_refused", logrus.InfoLevel,
		"A call was refused before it was sent to a backend server.", "slot", "key", "account", "service", "code")
	CallUndecided = define(404, "call_undecided", logrus.WarnLevel,
		"A caller was told that its call may have run.", "slot", "account", "service", "reason")
	SlotTaken = define(405, "slot_taken", logrus.DebugLevel,
		"This daemon became the owner of a slot.", "slot", "term", "witness", "reason", "keys")
	SlotTakeFailed = define(406, "slot_take_failed", logrus.WarnLevel,
		"This daemon could not become the owner of a slot; it will retry.", "slot", "term", "reason", "error")
	SlotHistoryLost = define(407, "slot_history_lost", logrus.ErrorLevel,
		"Both entry VMs that knew the keys of a slot are dead. Calls with unknown keys of this slot are not dispatched for a while.", "slot", "term", "undecided")
	RosterWritten = define(408, "roster_written", logrus.InfoLevel,
		"The store accepted new owners of slots.", "slots", "bytes")
	RosterWriteFailed = define(409, "roster_write_failed", logrus.WarnLevel,
		"A write of slot owners failed, lost a race or was not confirmed.", "slots", "error")
	WitnessSilent = define(410, "witness_silent", logrus.WarnLevel,
		"A witness did not answer and is being replaced.", "slot", "term", "witness")
)
