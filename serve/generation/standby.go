package generation

import (
	"context"
	"slices"

	"mallowwind.dev/decision/budget"
	"mallowwind.dev/external/engine"
)

// standby is a second engine that is made to read the answer from time to time,
// so that its prefix cache holds nearly all of it when a takeover is needed.
type standby struct {
	backend string
	primed  int  // tokens of the answer that the engine has read
	busy    bool // a priming runs
	done    chan string
}

// prime makes the standby read what was accepted since the last time.
func (l *loop) prime(ctx context.Context) {
	s := &l.standby
	select {
	case s.backend = <-s.done:
		s.busy = false
	default:
	}
	every := l.policy.StandbyIntervalTokens
	if every == 0 || s.busy || l.finish != "" || len(l.accepted) < s.primed+every {
		return
	}
	lead := l.attempts[l.race.Leader()]
	if lead == nil {
		return
	}
	if s.done == nil {
		s.done = make(chan string, 1)
	}
	ask := l.ask()
	ask.Resume, ask.Speculative = true, true
	ask.ExtraTokens = budget.TakeoverCost(len(l.accepted) - s.primed)
	ask.Exclude = append(ask.Exclude, lead.backend.ID)
	ask.Prefer = s.backend
	s.primed, s.busy = len(l.accepted), true
	l.number++ // the priming is an attempt of its own for the engine
	number, prefix, out := l.number, slices.Clone(l.accepted), s.done
	l.m.metrics.primings.Inc()
	go func() { out <- l.m.primeOne(ctx, ask, primeRequest(l.spec, number, prefix)) }()
}

// primeRequest asks for a single token after prefix, which makes an engine read
// and cache all before it.
func primeRequest(spec *Spec, number uint64, prefix []string) engine.Request {
	return engine.Request{
		Generation: spec.ID + "-standby",
		Attempt:    number,
		Model:      spec.Service.Model,
		Adapter:    spec.Service.Adapter,
		Version:    spec.Service.Version,
		Prompt:     spec.Prompt,
		Prefix:     prefix,
		MaxTokens:  len(prefix) + 1,
	}
}
