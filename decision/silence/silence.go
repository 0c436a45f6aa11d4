// Package silence decides when a stream that delivers nothing is suspected to have lost its
// engine.
//
// It handles engines that batch continuously, so that the gap between two chunks depends on
// the batch and differs between engines and over time. A dead engine most often shows as
// silence and not as an error.
//
// A fixed timeout that is long enough for the slowest engine delays every resume by that time;
// one that is short enough for the fastest starts needless takeovers whenever a batch grows.
// The threshold is therefore learned from the observed gaps, as TCP learns its retransmission
// timeout (Jacobson 1988): the smoothed gap plus a multiple of its smoothed deviation.
package silence

import "time"

const (
	// meanGainDivisor and devGainDivisor are the inverses of the smoothing gains of RFC 6298,
	// 1/8 and 1/4.
	meanGainDivisor = 8
	devGainDivisor  = 4
	// minSampleCount is the number of gaps that must be observed before the estimate is used.
	minSampleCount = 8
)

// Config bounds the learned thresholds.
type Config struct {
	// Floor is the least threshold. It covers delays that the gap history does not predict: a
	// garbage collection pause or the retransmission of a lost packet (at least 200 ms on
	// common systems).
	Floor time.Duration
	// Ceiling is the greatest threshold, and the threshold before enough gaps were observed.
	Ceiling time.Duration
	// FirstChunkFloor and FirstChunkCeiling bound the wait for the first chunk of an attempt,
	// which also includes queueing at the engine and the prompt's prefill.
	FirstChunkFloor, FirstChunkCeiling time.Duration
	// Deviations is the number of smoothed deviations above the smoothed gap that are normal.
	Deviations int
	// FirstChunkDeviations is the same for first chunks. Each of the hundreds of chunks of an
	// answer is compared with the threshold, so false suspicions must be far rarer for them
	// than for a first chunk, which is compared once per attempt.
	FirstChunkDeviations int
	// TakeoverDeviations is the same for the first chunk of a takeover. The answer is already
	// stalled, and the new engine may be lost like the first, in the same zone; one more
	// prefill costs less than that wait.
	TakeoverDeviations int
}

// ConfigForWeight returns the bounds for a service's weight of resume latency, from 0 (spend
// no extra resources) to 1 (resume as soon as possible). A false suspicion costs a prefill, so
// services that weigh cost wait longer.
func ConfigForWeight(weight float64) Config {
	weight = min(max(weight, 0), 1)
	between := func(cost, latency time.Duration) time.Duration {
		return cost + time.Duration(weight*float64(latency-cost))
	}
	return Config{
		Floor:             between(800*time.Millisecond, 250*time.Millisecond),
		Ceiling:           between(4*time.Second, 2*time.Second),
		FirstChunkFloor:   between(2*time.Second, 800*time.Millisecond),
		FirstChunkCeiling: between(10*time.Second, 4*time.Second),
		Deviations:        8,
		// The multiple of RFC 6298.
		FirstChunkDeviations: 4,
		TakeoverDeviations:   1,
	}
}

// GapEstimator learns the gaps of one stream or one engine. The zero value has no samples. It
// is not safe for concurrent use.
type GapEstimator struct {
	sampleCount int
	mean, dev   time.Duration // smoothed gap and smoothed deviation
}

// Observe adds one gap between two consecutive chunks.
func (g *GapEstimator) Observe(gap time.Duration) {
	if gap < 0 {
		return
	}
	if g.sampleCount == 0 {
		g.mean, g.dev = gap, gap/2
		g.sampleCount = 1
		return
	}
	diff := gap - g.mean
	g.mean += diff / meanGainDivisor
	if diff < 0 {
		diff = -diff
	}
	g.dev += (diff - g.dev) / devGainDivisor
	g.sampleCount++
}

// HasEnoughSamples reports whether enough gaps were observed to use the estimate.
func (g *GapEstimator) HasEnoughSamples() bool { return g.sampleCount >= minSampleCount }

// Mean returns the smoothed gap.
func (g *GapEstimator) Mean() time.Duration { return g.mean }

// threshold returns the learned threshold, or ceiling while there are not enough samples.
func (g *GapEstimator) threshold(floor, ceiling time.Duration, deviations int) time.Duration {
	if !g.HasEnoughSamples() {
		return ceiling
	}
	return min(max(g.mean+time.Duration(deviations)*g.dev, floor), ceiling)
}

// Threshold returns how long a stream may be silent after its last chunk before it is
// suspected. It combines the gaps of the stream with those of its engine's other streams: the
// stream alone does not show that the batch has just grown, and the engine alone does not show
// that this stream is always slow.
func Threshold(c Config, stream, engine *GapEstimator) time.Duration {
	s := stream.threshold(c.Floor, c.Ceiling, c.Deviations)
	if engine == nil || !engine.HasEnoughSamples() {
		return s
	}
	e := engine.threshold(c.Floor, c.Ceiling, c.Deviations)
	if !stream.HasEnoughSamples() {
		return e
	}
	return max(s, e)
}

// prefillScaleTokens is the number of tokens of prompt and prefix that doubles the normal time
// to the first chunk: an engine that reads some 10,000 tokens per second beside its batch
// needs 400 ms for that many.
const prefillScaleTokens = 4000

// prefillRatio returns the expected time to the first chunk relative to that of an empty
// prompt.
func prefillRatio(tokens int) float64 { return 1 + float64(tokens)/prefillScaleTokens }

// NormalizeFirstChunkWait scales the time to a first chunk to that of an empty prompt, so that
// one estimator can learn the times of long and short prompts.
func NormalizeFirstChunkWait(wait time.Duration, tokens int) time.Duration {
	return time.Duration(float64(wait) / prefillRatio(tokens))
}

// FirstChunkThreshold returns how long an attempt over tokens of prompt and prefix may take
// until its first chunk. engine holds the times observed at its engine, each scaled by
// NormalizeFirstChunkWait, or is nil if there are none.
func FirstChunkThreshold(c Config, engine *GapEstimator, tokens int, takeover bool) time.Duration {
	deviations := c.FirstChunkDeviations
	if takeover {
		deviations = c.TakeoverDeviations
	}
	threshold := c.FirstChunkCeiling
	if engine != nil {
		threshold = engine.threshold(c.FirstChunkFloor, c.FirstChunkCeiling, deviations)
	}
	return time.Duration(float64(threshold) * prefillRatio(tokens))
}

// maxTimerDelay is how late a timer may fire before the process itself is considered to have
// been paused.
const maxTimerDelay = 150 * time.Millisecond

// WasPaused reports whether this process, whose timer was due at due and fired at now, was
// paused or starved itself. All streams then appear silent while their chunks wait in the
// process's own buffers, so silence must be measured anew.
func WasPaused(due, now time.Time) bool { return !due.IsZero() && now.Sub(due) > maxTimerDelay }

// stallRatio is the ratio of silent streams above which the cause is considered to lie outside
// single engines: in this process or in the network near it. The largest loss that one zone
// can cause takes a third of the engines.
const stallRatio = 0.5

// minStreamCount is the least number of streams for a meaningful ratio.
const minStreamCount = 4

// IsGlobalStall reports whether so many streams are silent at once that takeovers would only
// add load, because many prompts would be read again by engines that are all slow. silent and
// total count the streams on engines other than the suspected one, so that the death of the
// only engine in use is not mistaken for a stall.
func IsGlobalStall(silent, total int) bool {
	return total >= minStreamCount && float64(silent) > stallRatio*float64(total)
}
