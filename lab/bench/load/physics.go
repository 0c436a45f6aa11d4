package load

import (
	"time"

	"github.com/pkg/errors"
)

// Physics is how the simulated engines spend their time and memory.
type Physics struct {
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
	// beside prefill on hardware of their own: a step of 20 streams takes two fifths
	// longer than one of a single stream, and a prefill slows it a little.
	beside = Physics{
		Name: "beside", StepBase: 18 * time.Millisecond, StepPerStream: 375 * time.Microsecond,
		PrefillRate: 8000, PrefillSlows: 1.1,
	}
	// chunked are the engines of the users' platform: each step carries a chunk of the
	// first prompt, which takes five times as long as the step of a few streams.
	chunked = Physics{
		Name: "chunked", StepBase: 4550 * time.Microsecond, StepPerStream: 181 * time.Microsecond,
		PrefillRate: 8000, PrefillSlows: 1, Chunk: 200, Memory: 88_000,
	}
)

// physicsNamed returns one of the engines above.
func physicsNamed(name string) (Physics, error) {
	for _, p := range []Physics{beside, chunked} {
		if p.Name == name {
			return p, nil
		}
	}
	return Physics{}, errors.Errorf("engines %q are none of beside, chunked", name)
}

// step is the time of one step with so many streams, and a prefill or none.
func (p Physics) step(streams int, prefill bool) time.Duration {
	d := p.StepBase + p.StepPerStream*time.Duration(streams)
	switch {
	case !prefill:
		return d
	case p.Chunk > 0:
		return d + time.Duration(float64(p.Chunk)/p.PrefillRate*float64(time.Second))
	}
	return time.Duration(float64(d) * p.PrefillSlows)
}

// rate is the rough rate of answer tokens a second of an engine that runs so many
// streams while it reads the prompt of each answer: one of prompt tokens for each of
// answer tokens.
func (p Physics) rate(streams int, prompt, answer float64) float64 {
	plain := float64(streams) / p.step(streams, false).Seconds()
	if p.Chunk == 0 {
		return plain
	}
	return 1 / (1/plain + prompt/answer/p.PrefillRate)
}
