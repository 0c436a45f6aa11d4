package generation

import (
	"context"
	"slices"
	"time"

	"mallowwind.dev/decision/budget"
	"mallowwind.dev/decision/resume"
	"mallowwind.dev/decision/silence"
	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/peer/peerpb"
	"mallowwind.dev/serve/flow"
	"mallowwind.dev/telemetry/event"
)

const (
	// refusedRetryDelay is the minimum wait before the next attempt after flow
	// refused one.
	refusedRetryDelay = 150 * time.Millisecond
	// maxRefusedRetryDelay bounds the wait that a refusal requests. Capacity may
	// become available at any time, and the caller may hold a part of the answer.
	maxRefusedRetryDelay = time.Second
	// recheckInterval is how often a takeover that was held back is reconsidered.
	recheckInterval = 50 * time.Millisecond
	// reattachCostTokens is the extra work of reading an attempt again.
	reattachCostTokens = 1
)

// decide applies the resume policy. It may start an attempt, and it returns an
// error if the answer fails.
func (l *loop) decide(ctx context.Context) error {
	if l.finish != "" || l.isStalled() {
		return nil
	}
	now := time.Now()
	if silence.WasPaused(l.nextDecisionAt, now) {
		l.resetSilence(now)
	}
	action, reason := resume.Decide(l.policy, l.answerState(now))
	switch action {
	case resume.Fail:
		return verdict.New(verdict.MayHaveRun, verdict.CodeBackendFailed,
			"no backend server continued the answer (%s)", reason)
	case resume.Reattach:
		l.reattachTried = true
		l.m.metrics.reattached.Inc()
		l.startAttempt(ctx, attemptOptions{reattach: l.leaderAttempt})
	case resume.StartAttempt:
		if !now.Before(l.notBefore) {
			l.takeOver(ctx, now, reason)
		}
	default:
		if reason == resume.ReasonGlobalStall {
			l.m.metrics.heldBack.WithLabelValues(string(reason)).Inc()
		}
	}
	return nil
}

// answerState returns the input of the resume policy.
func (l *loop) answerState(now time.Time) resume.AnswerState {
	answer := resume.AnswerState{
		RunningAttempts: len(l.attempts),
		RacingAttempts:  l.racingCount(),
		FailedAttempts:  l.failedCount,
		SuspectAfter:    l.policy.Deadline,
		CanReattach:     l.canReattach(),
	}
	if l.isQueued() {
		return answer
	}
	answer.StalledFor = now.Sub(l.lastTokenAt)
	a := l.healthiestAttempt(now)
	if a == nil || !a.granted {
		return answer
	}
	answer.SilentFor, answer.SuspectAfter = now.Sub(a.lastActivity), l.suspicionThreshold(a)
	if answer.SilentFor >= answer.SuspectAfter {
		answer.GlobalStall = l.m.monitor.isGlobalStall(now, a.backend.ID)
	}
	return answer
}

// isQueued reports whether the request still waits for its first backend server.
// That wait is bounded by admission and not by the resume policy.
func (l *loop) isQueued() bool {
	if l.startedCount != 1 {
		return false
	}
	for _, a := range l.attempts {
		return !a.granted
	}
	return false
}

// healthiestAttempt returns the attempt that is furthest from being suspected. The
// answer continues as long as this attempt is healthy. An attempt that waits for a
// backend server counts as healthy. A reattached attempt counts only if no other
// attempt takes precedence, because reattaching must not delay a takeover.
func (l *loop) healthiestAttempt(now time.Time) *attempt {
	var (
		best      *attempt
		bestSlack time.Duration
	)
	for _, a := range l.attempts {
		if a.reattach && l.hasPrecedingAttempt(a) {
			continue
		}
		slack := l.policy.Deadline
		if a.granted {
			slack = l.suspicionThreshold(a) - now.Sub(a.lastActivity)
		}
		if best == nil || slack > bestSlack || (slack == bestSlack && a.number < best.number) {
			best, bestSlack = a, slack
		}
	}
	return best
}

// hasPrecedingAttempt reports whether an attempt other than a runs that is not
// reattached or is older than a.
func (l *loop) hasPrecedingAttempt(a *attempt) bool {
	for _, o := range l.attempts {
		if o != a && (!o.reattach || o.number < a.number) {
			return true
		}
	}
	return false
}

// canReattach reports whether the attempt that delivered last may be read again on
// a fresh connection.
func (l *loop) canReattach() bool {
	if l.leaderAttempt == nil || l.reattachTried {
		return false
	}
	leader := l.attempts[l.race.Leader()]
	return len(l.attempts) == 0 || leader != nil && leader.chunkCount > 0
}

// suspicionThreshold returns the silence after which an attempt is suspected.
func (l *loop) suspicionThreshold(a *attempt) time.Duration {
	if a.chunkCount == 0 && !a.reattach {
		return l.m.monitor.firstChunkThreshold(l.policy.Silence, l.spec.Service.Pool, a)
	}
	return l.m.monitor.threshold(l.policy.Silence, &l.gaps, a.backend.ID)
}

// timeToNextDecision returns the time after which decide must be called again if
// nothing happens before.
func (l *loop) timeToNextDecision() time.Duration {
	now := time.Now()
	next := l.policy.Deadline - now.Sub(l.lastTokenAt)
	if l.isStalled() {
		next = l.policy.Deadline
	} else if a := l.healthiestAttempt(now); a == nil {
		next = min(next, l.notBefore.Sub(now))
	} else if a.granted {
		next = min(next, l.timeToSuspicion(now, a))
	}
	next = max(next, time.Millisecond)
	l.nextDecisionAt = now.Add(next)
	return next
}

// timeToSuspicion returns the time until attempt a is due to be read again, to be
// suspected or, if it is suspected already, to be checked again.
func (l *loop) timeToSuspicion(now time.Time, a *attempt) time.Duration {
	silent, threshold := now.Sub(a.lastActivity), l.suspicionThreshold(a)
	if probe := l.policy.ProbeAfter(threshold); silent < probe && l.canReattach() {
		return probe - silent
	}
	if silent >= threshold {
		return recheckInterval // already due, and the takeover was held back
	}
	return threshold - silent
}

// takeOver starts an attempt on another engine.
func (l *loop) takeOver(ctx context.Context, now time.Time, reason resume.Reason) {
	if l.lostAt.IsZero() {
		l.lostAt = now
	}
	if reason != resume.ReasonNoAttemptRunning {
		l.suspectRunning(now)
	}
	l.dropExcessAttempts()
	l.startAttempt(ctx, attemptOptions{required: reason == resume.ReasonSilentTooLong})
}

// suspectRunning marks the running attempts as suspected. The next attempt avoids
// their engines.
func (l *loop) suspectRunning(now time.Time) {
	for _, a := range l.attempts {
		if !a.granted || a.suspected {
			continue
		}
		a.suspected = true
		l.exclude(a.backend.ID)
		l.m.monitor.suspect(a.backend.ID, now)
		l.m.metrics.suspected.Inc()
		l.m.log.Emit(event.AttemptSuspected, l.spec.ID, a.number, a.backend.ID, now.Sub(a.lastActivity), l.suspicionThreshold(a))
	}
}

// racingCount returns the number of attempts that are not reattached.
func (l *loop) racingCount() int {
	n := 0
	for _, a := range l.attempts {
		if !a.reattach {
			n++
		}
	}
	return n
}

// dropExcessAttempts drops the oldest attempts until one more may run.
func (l *loop) dropExcessAttempts() {
	for l.racingCount() >= l.policy.MaxConcurrentAttempts {
		var oldest *attempt
		for _, a := range l.attempts {
			if oldest == nil || a.number < oldest.number {
				oldest = a
			}
		}
		l.dropAttempt(oldest)
		l.losers = append(l.losers, oldest)
	}
}

func (l *loop) exclude(backend string) {
	if !slices.Contains(l.excluded, backend) {
		l.excluded = append(l.excluded, backend)
	}
}

// attemptOptions says how an attempt is started.
type attemptOptions struct {
	// reattach is a running attempt to be read again from its engine, nil for a new
	// attempt.
	reattach *peerpb.Attempt
	// required makes the attempt not speculative although another one runs.
	required bool
}

// startAttempt starts one more attempt.
func (l *loop) startAttempt(ctx context.Context, options attemptOptions) {
	l.lastNumber++
	l.startedCount++
	attemptCtx, cancel := context.WithCancel(ctx)
	a := &attempt{number: l.lastNumber, ctx: attemptCtx, cancel: cancel, params: make(chan startParams, 1), lastActivity: time.Now()}
	a.takeover = l.startedCount > 1
	l.attempts[a.number] = a
	request := l.newRequest()
	request.Speculative = len(l.attempts) > 1 && !options.required
	request.Prefer = l.standby.backend
	if request.Resume && !l.exclusionsLifted {
		// A new stream on an engine with a stalled stream would stall too: a paused
		// engine still looks ready to the dispatcher for a while.
		request.Exclude = append(request.Exclude, l.m.monitor.suspectedEngines(time.Now())...)
	}
	if options.reattach != nil {
		a.reattach, a.engineNumber = true, options.reattach.GetNumber()
		request.Prefer, request.Exclude = options.reattach.GetBackend(), nil
		request.ExtraTokens, request.Speculative = reattachCostTokens, false
		request.Reattach, request.Resume = true, true
	}
	go a.run(l.m.dispatcher, request, l.spec, l.reports)
}

// newRequest returns the request to flow for the remaining work.
func (l *loop) newRequest() flow.Request {
	prefillTokens := promptTokens(l.spec.Prompt) + len(l.accepted)
	return flow.Request{
		RequestID:   l.spec.ID,
		Account:     l.spec.Account,
		Service:     l.spec.Service,
		CostTokens:  prefillTokens + l.spec.MaxTokens - len(l.accepted),
		PrefixHash:  prefixHash(l.spec.Service, l.spec.Prompt),
		Deadline:    time.Now().Add(l.spec.Service.Deadline),
		Resume:      l.startedCount > 1 || len(l.accepted) > 0,
		ExtraTokens: budget.TakeoverCost(prefillTokens),
		Exclude:     slices.Clone(l.excluded),
	}
}
