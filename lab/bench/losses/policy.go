package losses

import (
	"fmt"
	"time"

	"mallowwind.dev/control/site"
	"mallowwind.dev/decision/resume"
	"mallowwind.dev/decision/silence"
)

// The weights of resume latency in the examples for the two deployments.
const (
	CostWeight    = 0.2
	LatencyWeight = 0.9
)

// variant is one of the compared policies.
type variant struct {
	name   string
	weight float64
	policy resume.Policy
}

// standbyIntervalTokens is the number of tokens after which the standby engine prefills the answer so
// far. With it an answer of this benchmark is prefilled two to four times.
const standbyIntervalTokens = 64

// fixedTimeout returns a configuration that suspects an attempt after a constant silence.
func fixedTimeout(timeout time.Duration) silence.Config {
	return silence.Config{Floor: timeout, Ceiling: timeout, FirstChunkFloor: timeout, FirstChunkCeiling: timeout, Deviations: 1}
}

// variants returns the baselines, and the policies built on them at several weights.
func variants(timeout time.Duration, weights []float64) []variant {
	base := resume.PolicyForService(0, time.Minute)
	base.MaxConcurrentAttempts, base.Reattach, base.Silence = 1, false, fixedTimeout(timeout)
	// A lost attempt is not replaced: the caller has to send its request again.
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
