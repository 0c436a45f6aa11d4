package prompts

import (
	"cmp"
	"time"

	"mallowwind.dev/lab/bench/physics"
)

// deployment is the size of a site and its load.
type deployment struct {
	name              string
	engines           int
	daemons           int
	requestsPerSecond float64 // requests a second
	// engineKind of the engines, and the mean length of prompts in tokens; those of the users'
	// first platform if they are left out.
	engineKind       physics.Engine
	meanPromptTokens float64
	// pairedLoad draws the requests apart from all else, so that all policies meet the same.
	pairedLoad bool
	// lossInterval is the time between the losses of two zones, of which every other
	// takes only a share of the zone's engines where that is not 0.
	lossInterval time.Duration
	lossRatio    float64
	burst        burst
	// memoryTokens is that of an engine in tokens, and patience how long a caller waits; 0
	// means that of the kind of engines and usualPatience.
	memoryTokens  int
	callerTimeout time.Duration
}

// withDefaults returns d with zero fields set that have a default.
func (d deployment) withDefaults() deployment {
	d.engineKind = cmp.Or(d.engineKind, physics.ChunkedPrefill)
	d.meanPromptTokens = cmp.Or(d.meanPromptTokens, defaultMeanPromptTokens)
	d.memoryTokens = cmp.Or(d.memoryTokens, d.engineKind.MemoryTokens)
	d.callerTimeout = cmp.Or(d.callerTimeout, defaultCallerTimeout)
	return d
}

// burst is a time of more requests.
type burst struct {
	start, duration time.Duration
	factor          float64
}

// factorAt is the factor on the load at a time.
func (b burst) factorAt(now time.Duration) float64 {
	if now < b.start || now >= b.start+b.duration {
		return 1
	}
	return b.factor
}
