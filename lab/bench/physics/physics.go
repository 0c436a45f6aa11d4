// Package physics says how simulated model engines spend their time and memory. The
// experiments on load and on long prompts are played with the same engines.
package physics

import (
	"time"

	"github.com/pkg/errors"
)

// Engine is how one kind of engine spends its time and memory.
type Engine struct {
	Name string
	// StepBase and StepPerStream are the time of a step of the batch, in which each
	// stream gets one token.
	StepBase, StepPerStream time.Duration
	// PrefillTokensPerSecond is how many prompt tokens a second are worked off.
	PrefillTokensPerSecond float64
	// PrefillSlowdown is the factor on a step while a prefill runs beside the batch.
	PrefillSlowdown float64
	// ChunkTokens is how many prompt tokens are worked off within each step, which takes as much
	// longer; 0 means that prefills run beside the steps.
	ChunkTokens int
	// MemoryTokens bounds the tokens of prompts and whole answers that an engine has taken in;
	// 0 means no bound.
	MemoryTokens int
}

// The engines that trials are played with.
var (
	// SeparatePrefill prefill on hardware of their own: a step of 20 streams takes two fifths
	// longer than one of a single stream, and a prefill slows it a little.
	SeparatePrefill = Engine{
		Name: "beside", StepBase: 18 * time.Millisecond, StepPerStream: 375 * time.Microsecond,
		PrefillTokensPerSecond: 8000, PrefillSlowdown: 1.1,
	}
	// ChunkedPrefill are the engines of the users' platform: each step carries a chunk of the
	// first prompt, which takes five times as long as the step of a few streams.
	ChunkedPrefill = Engine{
		Name: "chunked", StepBase: 4550 * time.Microsecond, StepPerStream: 181 * time.Microsecond,
		PrefillTokensPerSecond: 8000, PrefillSlowdown: 1, ChunkTokens: 200, MemoryTokens: 88_000,
	}
	// SlowChunkedPrefill are engines of the same kind that read slower and hold less.
	SlowChunkedPrefill = Engine{
		Name: "slower", StepBase: 4840 * time.Microsecond, StepPerStream: 73 * time.Microsecond,
		PrefillTokensPerSecond: 5000, PrefillSlowdown: 1, ChunkTokens: 125, MemoryTokens: 55_000,
	}
)

// EngineByName returns one of the engines above.
func EngineByName(name string) (Engine, error) {
	for _, p := range []Engine{SeparatePrefill, ChunkedPrefill, SlowChunkedPrefill} {
		if p.Name == name {
			return p, nil
		}
	}
	return Engine{}, errors.Errorf("engines %q are none of beside, chunked, slower", name)
}

// StepTime is the time of one step with so many streams, and a prefill or none.
func (p Engine) StepTime(streams int, prefill bool) time.Duration {
	d := p.StepBase + p.StepPerStream*time.Duration(streams)
	switch {
	case !prefill:
		return d
	case p.ChunkTokens > 0:
		return d + time.Duration(float64(p.ChunkTokens)/p.PrefillTokensPerSecond*float64(time.Second))
	}
	return time.Duration(float64(d) * p.PrefillSlowdown)
}

// AnswerTokensPerSecond is the rough rate of answer tokens a second of an engine that runs so many
// streams while it reads the prompt of each answer: one of prompt tokens for each of
// answer tokens.
func (p Engine) AnswerTokensPerSecond(streams int, prompt, answer float64) float64 {
	plain := float64(streams) / p.StepTime(streams, false).Seconds()
	if p.ChunkTokens == 0 {
		return plain
	}
	return 1 / (1/plain + prompt/answer/p.PrefillTokensPerSecond)
}
