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
	// PrefillRate is how many prompt tokens a second are worked off.
	PrefillRate float64
	// PrefillSlows is the factor on a step while a prefill runs beside the batch.
	PrefillSlows float64
	// Chunk is how many prompt tokens are worked off within each step, which takes as much
	// longer; 0 means that prefills run beside the steps.
	Chunk int
	// Memory bounds the tokens of prompts and whole answers that an engine has taken in;
	// 0 means no bound.
	Memory int
}

// The engines that trials are played with.
var (
	// Beside prefill on hardware of their own: a step of 20 streams takes two fifths
	// longer than one of a single stream, and a prefill slows it a little.
	Beside = Engine{
		Name: "beside", StepBase: 18 * time.Millisecond, StepPerStream: 375 * time.Microsecond,
		PrefillRate: 8000, PrefillSlows: 1.1,
	}
	// Chunked are the engines of the users' platform: each step carries a chunk of the
	// first prompt, which takes five times as long as the step of a few streams.
	Chunked = Engine{
		Name: "chunked", StepBase: 4550 * time.Microsecond, StepPerStream: 181 * time.Microsecond,
		PrefillRate: 8000, PrefillSlows: 1, Chunk: 200, Memory: 88_000,
	}
	// Slower are engines of the same kind that read slower and hold less.
	Slower = Engine{
		Name: "slower", StepBase: 4840 * time.Microsecond, StepPerStream: 73 * time.Microsecond,
		PrefillRate: 5000, PrefillSlows: 1, Chunk: 125, Memory: 55_000,
	}
)

// Named returns one of the engines above.
func Named(name string) (Engine, error) {
	for _, p := range []Engine{Beside, Chunked, Slower} {
		if p.Name == name {
			return p, nil
		}
	}
	return Engine{}, errors.Errorf("engines %q are none of beside, chunked, slower", name)
}

// Step is the time of one step with so many streams, and a prefill or none.
func (p Engine) Step(streams int, prefill bool) time.Duration {
	d := p.StepBase + p.StepPerStream*time.Duration(streams)
	switch {
	case !prefill:
		return d
	case p.Chunk > 0:
		return d + time.Duration(float64(p.Chunk)/p.PrefillRate*float64(time.Second))
	}
	return time.Duration(float64(d) * p.PrefillSlows)
}

// Rate is the rough rate of answer tokens a second of an engine that runs so many
// streams while it reads the prompt of each answer: one of prompt tokens for each of
// answer tokens.
func (p Engine) Rate(streams int, prompt, answer float64) float64 {
	plain := float64(streams) / p.Step(streams, false).Seconds()
	if p.Chunk == 0 {
		return plain
	}
	return 1 / (1/plain + prompt/answer/p.PrefillRate)
}
