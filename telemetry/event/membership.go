package event

import "github.com/sirupsen/logrus"

// Events of membership: entry VMs as they see each other, and backend servers
// as the VM list and their own reports show them.
var (
	MemberState = define(601, "member_state", logrus.InfoLevel,
		"The belief about an entry VM changed.", "member", "from", "to", "incarnation", "reason")
	MemberRefuted = define(602, "member_refuted", logrus.WarnLevel,
		"Another entry VM took this one for dead; this one contradicted it with a higher incarnation.", "claimed", "incarnation", "by")
	GossipFailed = define(603, "gossip_failed", logrus.DebugLevel,
		"An exchange with another entry VM failed.", "member", "error")
	MemberSuperseded = define(604, "member_superseded", logrus.ErrorLevel,
		"Another process runs under this VM id; this one should be stopped.", "incarnation", "by")
	VMListFailed = define(610, "vm_list_failed", logrus.WarnLevel,
		"The platform's VM list could not be read or was not credible; the last one stays in use.", "error", "age")
	BackendLeaving = define(611, "backend_leaving", logrus.InfoLevel,
		"A backend server leaves and gets no new work.", "backend", "pool", "reason")
	BackendForgotten = define(612, "backend_forgotten", logrus.InfoLevel,
		"A backend server that left the VM list is no longer known here.", "backend", "pool")
	BackendUnreachable = define(613, "backend_unreachable", logrus.WarnLevel,
		"A backend server did not answer a status poll.", "backend", "pool", "error")
	BackendReachable = define(614, "backend_reachable", logrus.InfoLevel,
		"A backend server answers status polls.", "backend", "pool", "incarnation")
)
