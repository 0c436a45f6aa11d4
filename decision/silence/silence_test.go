package silence

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func trainedEstimator(gaps ...time.Duration) *GapEstimator {
	g := &GapEstimator{}
	for range 4 {
		for _, d := range gaps {
			g.Observe(d)
		}
	}
	return g
}

// A fixed threshold is either too long for a fast engine or suspects a slow one. The threshold
// must adapt to the engine in use.
func TestThresholdAdaptsToTheGaps(t *testing.T) {
	c := ConfigForWeight(1)
	fast := trainedEstimator(20*time.Millisecond, 30*time.Millisecond)
	slow := trainedEstimator(100*time.Millisecond, 300*time.Millisecond)
	must.Eq(t, c.Floor, Threshold(c, fast, nil))
	must.Eq(t, c.Ceiling, Threshold(c, &GapEstimator{}, nil))
	must.Greater(t, 300*time.Millisecond, Threshold(c, slow, nil))
	must.LessEq(t, c.Ceiling, Threshold(c, slow, nil))
	must.Eq(t, Threshold(c, slow, nil), Threshold(c, fast, slow), must.Sprint("an engine whose batch just grew"))
	must.Eq(t, c.Floor, Threshold(c, &GapEstimator{}, fast), must.Sprint("a new stream uses its engine's gaps"))
}

func TestWeightShortensEveryBound(t *testing.T) {
	cost, latency := ConfigForWeight(0), ConfigForWeight(1)
	must.Less(t, cost.Floor, latency.Floor)
	must.Less(t, cost.Ceiling, latency.Ceiling)
	must.Less(t, cost.FirstChunkFloor, latency.FirstChunkFloor)
	must.Less(t, cost.FirstChunkCeiling, latency.FirstChunkCeiling)
	must.Eq(t, latency, ConfigForWeight(7))
}

// A long contract takes seconds to read and a short question does not. Waits learned from one
// of them must be usable for the other.
func TestFirstChunkThresholdScalesWithThePrompt(t *testing.T) {
	c := ConfigForWeight(1)
	engine := &GapEstimator{}
	for range minSampleCount {
		engine.Observe(NormalizeFirstChunkWait(2*time.Second, prefillScaleTokens))
	}
	short, long := FirstChunkThreshold(c, engine, 0, false), FirstChunkThreshold(c, engine, prefillScaleTokens, false)
	must.Eq(t, 2*short, long)
	must.Greater(t, 2*time.Second, long)
	must.Eq(t, 2*c.FirstChunkCeiling, FirstChunkThreshold(c, nil, prefillScaleTokens, false))
	must.Less(t, short, FirstChunkThreshold(c, engine, 0, true), must.Sprint("a takeover of a stalled answer"))
}

func TestIsGlobalStall(t *testing.T) {
	must.False(t, IsGlobalStall(3, 3), must.Sprint("too few streams"))
	must.False(t, IsGlobalStall(4, 12), must.Sprint("the loss of one zone of three"))
	must.True(t, IsGlobalStall(7, 12))
}

func TestWasPaused(t *testing.T) {
	now := time.Unix(100, 0)
	must.False(t, WasPaused(time.Time{}, now))
	must.False(t, WasPaused(now.Add(-100*time.Millisecond), now))
	must.True(t, WasPaused(now.Add(-time.Second), now))
}
