package generation

import (
	"context"
	"slices"

	"mallowwind.dev/decision/budget"
	"mallowwind.dev/external/engine"
)

// standby is a second engine that prefills the answer from time to time, so that its
// prefix cache holds nearly all of it when a takeover is needed.
type standby struct {
	backend     string
	primedCount int  // tokens of the answer in the latest priming request
	busy        bool // a priming request is in flight
	done        chan string
}

// prime starts a priming request for the tokens accepted since the previous one, if
// enough have been accepted.
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
	l.lastNumber++ // to the engine, a priming request is an attempt of its own
	number, prefix, done := l.lastNumber, slices.Clone(l.accepted), s.done
	l.m.metrics.primings.Inc()
	go func() { done <- l.m.primeStandby(ctx, request, primeRequest(l.spec, number, prefix)) }()
}

// primeRequest returns a request for a single token after prefix, which makes an
// engine prefill and cache everything before that token.
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
