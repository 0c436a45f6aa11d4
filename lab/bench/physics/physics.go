// Package physics models how simulated model engines spend time and memory, so that the experiments on
// load and on long prompts use the same engines.
package physics

import (
	"time"

	"github.com/pkg/errors"
)

// Engine is the time and memory model of one kind of engine.
type Engine struct {
	Name string
	// A step of the batch generates one token of each stream. It takes StepBase, and
	// StepPerStream for each stream.
	StepBase, StepPerStream time.Duration
	// PrefillTokensPerSecond is the prefill rate in prompt tokens.
	PrefillTokensPerSecond float64
	// PrefillSlowdown is the factor on the time of a step while a prefill runs beside the batch.
	PrefillSlowdown float64
	// ChunkTokens is the number of prompt tokens prefilled within each step, which takes longer by
	// their prefill time; 0 means that prefills run beside the steps.
	ChunkTokens int
	// MemoryTokens bounds the tokens of the prompts and complete answers that an engine accepts;
	// 0 means no bound.
	MemoryTokens int
}

// The kinds of engines that the experiments simulate.
var (
	// SeparatePrefill engines prefill on separate hardware: a step of 20 streams takes two fifths
	// longer than one of a single stream, and a prefill slows it down a little.
	SeparatePrefill = Engine{
		Name: "beside", StepBase: 18 * time.Millisecond, StepPerStream: 375 * time.Microsecond,
		PrefillTokensPerSecond: 8000, PrefillSlowdown: 1.1,
	}
	// ChunkedPrefill engines are those of the users' platform: each step includes a chunk of the
	// first queued prompt, which takes five times as long as a step of a few streams without it.
	ChunkedPrefill = Engine{
		Name: "chunked", StepBase: 4550 * time.Microsecond, StepPerStream: 181 * time.Microsecond,
		PrefillTokensPerSecond: 8000, PrefillSlowdown: 1, ChunkTokens: 200, MemoryTokens: 88_000,
	}
	// SlowChunkedPrefill engines prefill in chunks too, but slower and with less memory.
	SlowChunkedPrefill = Engine{
		Name: "slower", StepBase: 4840 * time.Microsecond, StepPerStream: 73 * time.Microsecond,
		PrefillTokensPerSecond: 5000, PrefillSlowdown: 1, ChunkTokens: 125, MemoryTokens: 55_000,
	}
)

// EngineByName returns the kind of engine with the given name.
func EngineByName(name string) (Engine, error) {
	for _, p := range []Engine{SeparatePrefill, ChunkedPrefill, SlowChunkedPrefill} {
		if p.Name == name {
			return p, nil
		}
	}
	return Engine{}, errors.Errorf("unknown kind of engines %q: none of beside, chunked, slower", name)
}

// StepTime returns the time of a step of the given number of streams, with or without a prefill.
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

// AnswerTokensPerSecond estimates the rate of answer tokens of an engine that runs the given number of
// streams and prefills the prompts of their answers. prompt and answer are mean lengths in tokens: with
// chunked prefill, each answer token also costs the prefill of prompt/answer prompt tokens.
func (p Engine) AnswerTokensPerSecond(streams int, prompt, answer float64) float64 {
	plain := float64(streams) / p.StepTime(streams, false).Seconds()
	if p.ChunkTokens == 0 {
		return plain
	}
	return 1 / (1/plain + prompt/answer/p.PrefillTokensPerSecond)
}
