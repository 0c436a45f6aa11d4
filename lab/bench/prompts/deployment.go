package prompts

import (
	"cmp"
	"time"

	"mallowwind.dev/lab/bench/physics"
)

// deployment is the size of a site and its load.
type deployment struct {
	name    string
	engines int
	daemons int
	rate    float64 // requests a second
	// kind of the engines, and the mean length of prompts in tokens; those of the users'
	// first platform if they are left out.
	kind   physics.Engine
	prompt float64
	// paired draws the requests apart from all else, so that all policies meet the same.
	paired bool
	// lossEvery is the time between the losses of two zones, of which every other
	// takes only a share of the zone's engines where that is not 0.
	lossEvery time.Duration
	lossShare float64
	burst     burst
	// memory is that of an engine in tokens, and patience how long a caller waits; 0
	// means that of the kind of engines and usualPatience.
	memory   int
	patience time.Duration
}

// withDefaults returns d with zero fields set that have a default.
func (d deployment) withDefaults() deployment {
	d.kind = cmp.Or(d.kind, physics.ChunkedPrefill)
	d.prompt = cmp.Or(d.prompt, usualPrompt)
	d.memory = cmp.Or(d.memory, d.kind.MemoryTokens)
	d.patience = cmp.Or(d.patience, usualPatience)
	return d
}

// burst is a time of more requests.
type burst struct {
	from, length time.Duration
	factor       float64
}

// at is the factor on the load at a time.
func (b burst) at(now time.Duration) float64 {
	if now < b.from || now >= b.from+b.length {
		return 1
	}
	return b.factor
}
