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
	backend     string
	primedCount int  // tokens of the answer that the engine has read
	busy        bool // a priming runs
	done        chan string
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
	if every == 0 || s.busy || l.finish != "" || len(l.accepted) < s.primedCount+every {
		return
	}
	leader := l.attempts[l.race.Leader()]
	if leader == nil {
		return
	}
	if s.done == nil {
		s.done = make(chan string, 1)
	}
	request := l.newRequest()
	request.Resume, request.Speculative = true, true
	request.ExtraTokens = budget.TakeoverCost(len(l.accepted) - s.primedCount)
	request.Exclude = append(request.Exclude, leader.backend.ID)
	request.Prefer = s.backend
	s.primedCount, s.busy = len(l.accepted), true
	l.lastNumber++ // the priming is an attempt of its own for the engine
	number, prefix, done := l.lastNumber, slices.Clone(l.accepted), s.done
	l.m.metrics.primings.Inc()
	go func() { done <- l.m.primeStandby(ctx, request, primeRequest(l.spec, number, prefix)) }()
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
