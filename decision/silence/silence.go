// Package silence decides when a stream that delivers nothing is suspicious.
//
// The load pattern: engines batch continuously, so the gap between two chunks
// depends on the batch and differs between engines and hours. A dead engine
// most often shows as silence, not as an error. A fixed timeout long enough for
// the slowest engine makes every resume wait that long; one short enough for
// the fastest starts needless takeovers whenever a batch grows. The threshold
// is therefore learned from the gaps seen, as TCP learns its retransmission
// timeout (Jacobson 1988): smoothed gap plus a multiple of its smoothed deviation.
package silence

import "time"

const (
	// gainMean and gainDev are the smoothing gains of RFC 6298, 1/8 and 1/4.
	gainMean = 8
	gainDev  = 4
	// warmup is how many gaps must have been seen before they are trusted.
	warmup = 8
)

// Config bounds the learned thresholds.
type Config struct {
	// Floor is the shortest silence ever suspected. It covers what no gap
	// history foresees: a garbage collection pause or a lost packet's
	// retransmission (200 ms at the least on common systems).
	Floor time.Duration
	// Ceiling is the longest silence tolerated, and the threshold before
	// enough gaps were seen.
	Ceiling time.Duration
	// FirstChunkFloor and FirstCeiling bound the wait for the first chunk of an
	// attempt, which also covers queueing at the engine and the prompt's prefill.
	FirstChunkFloor, FirstChunkCeiling time.Duration
	// Deviations is how many smoothed deviations above the smoothed gap are normal.
	Deviations int
	// FirstChunkDeviations is the same for first chunks. A gap is judged at each of
	// hundreds of chunks of an answer and must be wrong far more rarely than the
	// wait for a first chunk, which is judged once an attempt.
	FirstChunkDeviations int
	// TakeoverDeviations is the same for the first chunk of a takeover. Its answer
	// stands still already, and the engine it landed on may be lost like the
	// first, in the same zone; one more prefill is worth less than that wait.
	TakeoverDeviations int
}

// ConfigForWeight returns the bounds for a service's weight of resume latency, from
// 0 (spend no extra resources) to 1 (resume as soon as possible). A suspicion
// that proves wrong costs a prefill, so services that weigh cost wait longer.
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

// GapEstimator learns the gaps of one stream or one engine. The zero value knows
// nothing. It is not safe for concurrent use.
type GapEstimator struct {
	n         int
	mean, dev time.Duration
}

// Observe adds one gap between two consecutive chunks.
func (g *GapEstimator) Observe(gap time.Duration) {
	if gap < 0 {
		return
	}
	if g.n == 0 {
		g.mean, g.dev = gap, gap/2
		g.n = 1
		return
	}
	diff := gap - g.mean
	g.mean += diff / gainMean
	if diff < 0 {
		diff = -diff
	}
	g.dev += (diff - g.dev) / gainDev
	g.n++
}

// HasEnoughSamples reports whether enough gaps were seen to trust them.
func (g *GapEstimator) HasEnoughSamples() bool { return g.n >= warmup }

// Mean returns the smoothed gap.
func (g *GapEstimator) Mean() time.Duration { return g.mean }

// limit returns the learned limit, or ceiling while nothing is known.
func (g *GapEstimator) limit(floor, ceiling time.Duration, deviations int) time.Duration {
	if !g.HasEnoughSamples() {
		return ceiling
	}
	return min(max(g.mean+time.Duration(deviations)*g.dev, floor), ceiling)
}

// Threshold returns how long a stream may be silent after its last chunk
// before it is suspected. It combines what the stream itself showed with what
// its engine showed on other streams: a stream alone is blind to a batch that
// just grew, an engine alone to a stream that is always slow.
func Threshold(c Config, stream, engine *GapEstimator) time.Duration {
	s := stream.limit(c.Floor, c.Ceiling, c.Deviations)
	if engine == nil || !engine.HasEnoughSamples() {
		return s
	}
	e := engine.limit(c.Floor, c.Ceiling, c.Deviations)
	if !stream.HasEnoughSamples() {
		return e
	}
	return max(s, e)
}

// prefillUnit is how many tokens of prompt and prefix double the time to the
// first chunk that is taken to be normal: an engine that reads some 10,000
// tokens a second beside its batch needs 400 ms for as many.
const prefillUnit = 4000

// prefillScale is how much longer than for an empty prompt the first chunk may take.
func prefillScale(tokens int) float64 { return 1 + float64(tokens)/prefillUnit }

// NormalizeFirstChunkWait reduces the time to a first chunk to that of an empty prompt, so
// that the times of long and short prompts can be learned together.
func NormalizeFirstChunkWait(wait time.Duration, tokens int) time.Duration {
	return time.Duration(float64(wait) / prefillScale(tokens))
}

// FirstChunkThreshold returns how long an attempt over tokens of prompt and prefix
// may take to its first chunk, given the times seen at its engine, each reduced
// by PerPrompt (nil where none are kept).
func FirstChunkThreshold(c Config, engine *GapEstimator, tokens int, takeover bool) time.Duration {
	deviations := c.FirstChunkDeviations
	if takeover {
		deviations = c.TakeoverDeviations
	}
	limit := c.FirstChunkCeiling
	if engine != nil {
		limit = engine.limit(c.FirstChunkFloor, c.FirstChunkCeiling, deviations)
	}
	return time.Duration(float64(limit) * prefillScale(tokens))
}

// overslept is how much later than asked for a timer may fire before the
// process itself is taken to have been paused.
const overslept = 150 * time.Millisecond

// WasPaused reports whether a process that meant to look at due and looks at
// now was paused or starved itself. All streams seem silent to it then, while
// their chunks wait in its own buffers; silence must be counted anew.
func WasPaused(due, now time.Time) bool { return !due.IsZero() && now.Sub(due) > overslept }

// stallShare is the share of streams silent at once above which the cause is
// taken to lie outside single engines: here, or in the network near here. A
// loss that takes a third of the engines is the largest one zone can cause.
const stallShare = 0.5

// stallStreams is the least number of streams for which a share means anything.
const stallStreams = 4

// IsGlobalStall reports whether so many streams are silent at once that taking
// over would only add load: many prompts read anew by engines that are all
// slow. silent and total count streams on engines other than the one suspected,
// so that the death of the one engine in use is not mistaken for a stall.
func IsGlobalStall(silent, total int) bool {
	return total >= stallStreams && float64(silent) > stallShare*float64(total)
}
