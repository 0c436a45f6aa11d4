package losses

import (
	"fmt"
	"time"

	"mallowwind.dev/control/site"
	"mallowwind.dev/decision/resume"
	"mallowwind.dev/decision/silence"
)

// The weights of resume latency in the two deployments' examples.
const (
	CostWeight    = 0.2
	LatencyWeight = 0.9
)

// variant is one policy under comparison.
type variant struct {
	name   string
	weight float64
	policy resume.Policy
}

// standbyIntervalTokens is how many tokens apart the standby engine reads the answer:
// two to four times in an answer of this experiment.
const standbyIntervalTokens = 64

// fixedTimeout suspects after the same time always.
func fixedTimeout(timeout time.Duration) silence.Config {
	return silence.Config{Floor: timeout, Ceiling: timeout, FirstChunkFloor: timeout, FirstChunkCeiling: timeout, Deviations: 1}
}

// variants are the baselines and, at each weight, what is built on them.
func variants(timeout time.Duration, weights []float64) []variant {
	base := resume.PolicyForService(0, time.Minute)
	base.MaxConcurrentAttempts, base.Reattach, base.Silence = 1, false, fixedTimeout(timeout)
	// No attempt follows a lost one: the caller sends its request again.
	restart := base
	restart.MaxAttempts, restart.Deadline = 0, timeout
	list := []variant{{"restart", 0, restart}, {"cold, fixed", 0, base}}
	for _, w := range []float64{CostWeight, LatencyWeight} {
		adaptive := resume.PolicyForService(w, time.Minute)
		adaptive.MaxConcurrentAttempts, adaptive.Reattach = 1, false
		list = append(list, variant{"cold, adaptive", w, adaptive})
	}
	for _, w := range weights {
		list = append(list, variant{"takeover", w, resume.PolicyForService(w, time.Minute)})
	}
	for _, w := range []float64{CostWeight, LatencyWeight} {
		standby := resume.PolicyForService(w, time.Minute)
		standby.StandbyIntervalTokens = standbyIntervalTokens
		list = append(list, variant{"takeover, standby", w, standby})
	}
	return list
}

func (v variant) policyFor(*site.Service) resume.Policy { return v.policy }

func (v variant) String() string {
	if v.weight == 0 && v.name != "takeover" {
		return v.name
	}
	return fmt.Sprintf("%s, weight %g", v.name, v.weight)
}
