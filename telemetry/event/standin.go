package event

import "github.com/sirupsen/logrus"

// Events of the stand-ins of the platform.
var (
	StandInServing = define(801, "stand_in_serving", logrus.InfoLevel,
		"A stand-in of the platform is listening.", "node", "address")
	FaultInjected = define(802, "fault_injected", logrus.WarnLevel,
		"An operator or a test injected a fault into a stand-in, or ended one.", "node", "fault", "value")
)
