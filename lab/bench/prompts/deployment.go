package prompts

import (
	"cmp"
	"time"

	"mallowwind.dev/lab/bench/physics"
)

// deployment describes the size of a simulated site, its load and its zone losses.
type deployment struct {
	name              string
	engines           int
	daemons           int
	requestsPerSecond float64
	// engineKind and meanPromptTokens default to physics.ChunkedPrefill and
	// defaultMeanPromptTokens, those of the users' first platform.
	engineKind       physics.Engine
	meanPromptTokens float64
	// pairedLoad draws the requests from a random source of their own, so that all policies
	// are compared on the same requests.
	pairedLoad bool
	// lossInterval is the time between two zone losses. If lossRatio is not 0, every other loss
	// takes each engine of the zone down with that probability instead of all of them.
	lossInterval time.Duration
	lossRatio    float64
	burst        burst
	// memoryTokens is the capacity of each engine and callerTimeout how long a caller waits for
	// its whole answer. They default to the capacity of engineKind and defaultCallerTimeout.
	memoryTokens  int
	callerTimeout time.Duration
}

// withDefaults returns d with each zero field that has a default set to it.
func (d deployment) withDefaults() deployment {
	d.engineKind = cmp.Or(d.engineKind, physics.ChunkedPrefill)
	d.meanPromptTokens = cmp.Or(d.meanPromptTokens, defaultMeanPromptTokens)
	d.memoryTokens = cmp.Or(d.memoryTokens, d.engineKind.MemoryTokens)
	d.callerTimeout = cmp.Or(d.callerTimeout, defaultCallerTimeout)
	return d
}

// burst is an interval in which the request rate is multiplied by factor.
type burst struct {
	start, duration time.Duration
	factor          float64
}

// factorAt returns the factor on the request rate at now.
func (b burst) factorAt(now time.Duration) float64 {
	if now < b.start || now >= b.start+b.duration {
		return 1
	}
	return b.factor
}
