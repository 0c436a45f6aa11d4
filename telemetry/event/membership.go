package event

import "github.com/sirupsen/logrus"

// Events of membership: the entry VMs' views of each other, and backend servers according to the VM
// list and to their own status reports.
var (
	MemberState = define(601, "member_state", logrus.InfoLevel,
		"The state of an entry VM changed in the view of this one.", "member", "from", "to", "incarnation", "reason")
	MemberRefuted = define(602, "member_refuted", logrus.WarnLevel,
		"Another entry VM suspected this one or declared it dead; this one refuted that with a higher incarnation.", "claimed", "incarnation", "by")
	GossipFailed = define(603, "gossip_failed", logrus.DebugLevel,
		"A gossip exchange with another entry VM failed.", "member", "error")
	MemberSuperseded = define(604, "member_superseded", logrus.ErrorLevel,
		"Another process runs under the ID of this VM; this process should be stopped.", "incarnation", "by")
	VMListFailed = define(610, "vm_list_failed", logrus.WarnLevel,
		"The platform's VM list could not be read or was implausible; the last valid one stays in use.", "error", "age")
	BackendLeaving = define(611, "backend_leaving", logrus.InfoLevel,
		"A backend server is leaving and receives no new requests.", "backend", "pool", "reason")
	BackendForgotten = define(612, "backend_forgotten", logrus.InfoLevel,
		"A backend server that is no longer in the VM list was forgotten.", "backend", "pool")
	BackendUnreachable = define(613, "backend_unreachable", logrus.WarnLevel,
		"A backend server did not answer a status poll.", "backend", "pool", "error")
	BackendReachable = define(614, "backend_reachable", logrus.InfoLevel,
		"A backend server answers status polls again or for the first time.", "backend", "pool", "incarnation")
)
