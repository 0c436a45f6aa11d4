package silence

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func learned(gaps ...time.Duration) *GapEstimator {
	g := &GapEstimator{}
	for range 4 {
		for _, d := range gaps {
			g.Observe(d)
		}
	}
	return g
}

// The threshold follows the engine that is in use: neither a fixed one that is
// long for the fast, nor one that suspects the slow.
func TestThresholdFollowsTheGaps(t *testing.T) {
	c := ConfigForWeight(1)
	fast := learned(20*time.Millisecond, 30*time.Millisecond)
	slow := learned(100*time.Millisecond, 300*time.Millisecond)
	must.Eq(t, c.Floor, Threshold(c, fast, nil))
	must.Eq(t, c.Ceiling, Threshold(c, &GapEstimator{}, nil))
	must.Greater(t, 300*time.Millisecond, Threshold(c, slow, nil))
	must.LessEq(t, c.Ceiling, Threshold(c, slow, nil))
	must.Eq(t, Threshold(c, slow, nil), Threshold(c, fast, slow), must.Sprint("an engine whose batch just grew"))
	must.Eq(t, c.Floor, Threshold(c, &GapEstimator{}, fast), must.Sprint("a new stream trusts its engine"))
}

func TestWeightShortensEveryBound(t *testing.T) {
	cost, latency := ConfigForWeight(0), ConfigForWeight(1)
	must.Less(t, cost.Floor, latency.Floor)
	must.Less(t, cost.Ceiling, latency.Ceiling)
	must.Less(t, cost.FirstChunkFloor, latency.FirstChunkFloor)
	must.Less(t, cost.FirstChunkCeiling, latency.FirstChunkCeiling)
	must.Eq(t, latency, ConfigForWeight(7))
}

// A long contract takes seconds to read; a short question does not. Waits
// learned from one serve the other.
func TestFirstThresholdScalesWithThePrompt(t *testing.T) {
	c := ConfigForWeight(1)
	engine := &GapEstimator{}
	for range warmup {
		engine.Observe(NormalizeFirstChunkWait(2*time.Second, prefillUnit))
	}
	short, long := FirstChunkThreshold(c, engine, 0, false), FirstChunkThreshold(c, engine, prefillUnit, false)
	must.Eq(t, 2*short, long)
	must.Greater(t, 2*time.Second, long)
	must.Eq(t, 2*c.FirstChunkCeiling, FirstChunkThreshold(c, nil, prefillUnit, false))
	must.Less(t, short, FirstChunkThreshold(c, engine, 0, true), must.Sprint("an answer that stands still"))
}

func TestGlobalStall(t *testing.T) {
	must.False(t, IsGlobalStall(3, 3), must.Sprint("too few to tell"))
	must.False(t, IsGlobalStall(4, 12), must.Sprint("a zone of three"))
	must.True(t, IsGlobalStall(7, 12))
}

func TestOverslept(t *testing.T) {
	now := time.Unix(100, 0)
	must.False(t, WasPaused(time.Time{}, now))
	must.False(t, WasPaused(now.Add(-100*time.Millisecond), now))
	must.True(t, WasPaused(now.Add(-time.Second), now))
}
