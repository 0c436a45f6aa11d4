package prompts

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Several daemons place long prompts without knowing of each other, and every
// six seconds the engines of a zone die. Callers get nearly all answers in time
// with home engines and copies; without copies each loss makes answers late and
// prompts are read twice.
func TestPlacingHoldsUnderLosses(t *testing.T) {
	const length = 40 * time.Second
	for _, d := range deployments[:2] {
		baseline := Trial(d, policies[0], 1, length)
		ours := Trial(d, inUse, 1, length)
		must.Eq(t, ours.answers, ours.whole)
		must.GreaterEq(t, 95, 100*ours.onTime/ours.answers)
		must.Greater(t, baseline.onTime, ours.onTime)
		must.Less(t, baseline.wasted/3, ours.wasted)
		must.Less(t, 700*time.Millisecond, ours.pauseP99)
	}
}
