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
	// refusedPause is the wait after flow found no backend server for a resume.
	refusedPause = 150 * time.Millisecond
	// longestRefusedPause bounds the wait that a refusal asks for: the answer
	// is owed, and room may come at any time.
	longestRefusedPause = time.Second
	// recheck is how often a held-back takeover is considered again.
	recheck = 50 * time.Millisecond
	// reattachCost is the extra work, in tokens, of reading an attempt again.
	reattachCost = 1
)

// decide starts an attempt or gives up, as the resume policy says.
func (l *loop) decide(ctx context.Context) error {
	if l.finish != "" || l.stalled() {
		return nil
	}
	now := time.Now()
	if silence.WasPaused(l.due, now) {
		l.restartSilence(now)
	}
	action, reason := resume.Decide(l.policy, l.view(now))
	switch action {
	case resume.Fail:
		return verdict.New(verdict.MayHaveRun, verdict.CodeBackendFailed,
			"no backend server continued the answer (%s)", reason)
	case resume.Reattach:
		l.reread = true
		l.m.metrics.reattached.Inc()
		l.startAttempt(ctx, start{reattach: l.leaderAt})
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

// view collects what the resume policy looks at.
func (l *loop) view(now time.Time) resume.AnswerState {
	v := resume.AnswerState{
		RunningAttempts: len(l.attempts),
		RacingAttempts:  l.racing(),
		FailedAttempts:  l.fruitless,
		SuspectAfter:    l.policy.Deadline,
		CanReattach:     l.reattachable(),
	}
	if l.queued() {
		return v
	}
	v.StalledFor = now.Sub(l.lastToken)
	a := l.liveliest(now)
	if a == nil || !a.granted {
		return v
	}
	v.SilentFor, v.SuspectAfter = now.Sub(a.last), l.threshold(a)
	if v.SilentFor >= v.SuspectAfter {
		v.GlobalStall = l.m.watch.globalStall(now, a.backend.ID)
	}
	return v
}

// queued reports whether the request still waits for its first backend server:
// admission bounds that wait, not the resume policy.
func (l *loop) queued() bool {
	if l.total != 1 {
		return false
	}
	for _, a := range l.attempts {
		return !a.granted
	}
	return false
}

// liveliest is the attempt that is furthest from being suspected; as long as it
// is healthy the answer goes on. One that waits for a backend server counts as
// healthy. Attempts that read an engine again count only when they are alone:
// they are a short cut, and must not delay the takeover.
func (l *loop) liveliest(now time.Time) *attempt {
	var (
		best   *attempt
		margin time.Duration
	)
	for _, a := range l.attempts {
		if a.reattach && l.others(a) {
			continue
		}
		m := l.policy.Deadline
		if a.granted {
			m = l.threshold(a) - now.Sub(a.last)
		}
		if best == nil || m > margin || (m == margin && a.number < best.number) {
			best, margin = a, m
		}
	}
	return best
}

// others reports whether an attempt that does not merely read again runs beside a.
func (l *loop) others(a *attempt) bool {
	for _, o := range l.attempts {
		if o != a && (!o.reattach || o.number < a.number) {
			return true
		}
	}
	return false
}

// reattachable reports whether the attempt that delivered last may be read
// again on a fresh connection.
func (l *loop) reattachable() bool {
	if l.leaderAt == nil || l.reread {
		return false
	}
	lead := l.attempts[l.race.Leader()]
	return len(l.attempts) == 0 || lead != nil && lead.chunks > 0
}

func (l *loop) threshold(a *attempt) time.Duration {
	if a.chunks == 0 && !a.reattach {
		return l.m.watch.firstThreshold(l.policy.Silence, l.spec.Service.Pool, a)
	}
	return l.m.watch.threshold(l.policy.Silence, &l.gaps, a.backend.ID)
}

// nextDecision is how long until decide must look again if nothing happens.
func (l *loop) nextDecision() time.Duration {
	now := time.Now()
	next := l.policy.Deadline - now.Sub(l.lastToken)
	if l.stalled() {
		next = l.policy.Deadline
	} else if a := l.liveliest(now); a == nil {
		next = min(next, l.notBefore.Sub(now))
	} else if a.granted {
		next = min(next, l.suspicionDue(now, a))
	}
	next = max(next, time.Millisecond)
	l.due = now.Add(next)
	return next
}

func (l *loop) suspicionDue(now time.Time, a *attempt) time.Duration {
	silent, threshold := now.Sub(a.last), l.threshold(a)
	if probe := l.policy.ProbeAfter(threshold); silent < probe && l.reattachable() {
		return probe - silent
	}
	if silent >= threshold {
		return recheck // suspected already and held back
	}
	return threshold - silent
}

// takeOver starts an attempt on another engine.
func (l *loop) takeOver(ctx context.Context, now time.Time, reason resume.Reason) {
	if l.lostAt.IsZero() {
		l.lostAt = now
	}
	if reason != resume.ReasonNoAttemptRunning {
		l.suspect(now)
	}
	l.makeRoom()
	l.startAttempt(ctx, start{owed: reason == resume.ReasonSilentTooLong})
}

// suspect marks the running attempts, whose engines the next one avoids.
func (l *loop) suspect(now time.Time) {
	for _, a := range l.attempts {
		if !a.granted || a.suspected {
			continue
		}
		a.suspected = true
		l.exclude(a.backend.ID)
		l.m.watch.suspect(a.backend.ID, now)
		l.m.metrics.suspected.Inc()
		l.m.log.Emit(event.AttemptSuspected, l.spec.ID, a.number, a.backend.ID, now.Sub(a.last), l.threshold(a))
	}
}

// racing counts the attempts that do not merely read an engine again.
func (l *loop) racing() int {
	n := 0
	for _, a := range l.attempts {
		if !a.reattach {
			n++
		}
	}
	return n
}

// makeRoom gives up the oldest attempts until one more may run.
func (l *loop) makeRoom() {
	for l.racing() >= l.policy.MaxConcurrentAttempts {
		var oldest *attempt
		for _, a := range l.attempts {
			if oldest == nil || a.number < oldest.number {
				oldest = a
			}
		}
		l.drop(oldest)
		l.unwanted = append(l.unwanted, oldest)
	}
}

func (l *loop) exclude(backend string) {
	if !slices.Contains(l.excluded, backend) {
		l.excluded = append(l.excluded, backend)
	}
}

// start says what kind of attempt begins.
type start struct {
	// reattach names an attempt to be read on from its engine, if flow still
	// accepts that engine.
	reattach *peerpb.Attempt
	// owed makes the attempt unconditional although another one runs.
	owed bool
}

// startAttempt begins one more attempt.
func (l *loop) startAttempt(ctx context.Context, s start) {
	l.number++
	l.total++
	actx, cancel := context.WithCancel(ctx)
	a := &attempt{number: l.number, ctx: actx, cancel: cancel, begin: make(chan begin, 1), last: time.Now()}
	a.takeover = l.total > 1
	l.attempts[a.number] = a
	ask := l.ask()
	ask.Speculative = len(l.attempts) > 1 && !s.owed
	ask.Prefer = l.standby.backend
	if ask.Resume && !l.desperate {
		// Where one stream stands still the next one would: an engine that
		// paused still looks ready to the dispatcher for a while.
		ask.Exclude = append(ask.Exclude, l.m.watch.suspects(time.Now())...)
	}
	if s.reattach != nil {
		a.reattach, a.engineNumber = true, s.reattach.GetNumber()
		ask.Prefer, ask.Exclude = s.reattach.GetBackend(), nil
		ask.ExtraTokens, ask.Speculative = reattachCost, false
		ask.Reattach, ask.Resume = true, true
	}
	go a.run(l.m.flow, ask, l.spec, l.reports)
}

// ask describes the work that is left to flow.
func (l *loop) ask() flow.Request {
	read := promptTokens(l.spec.Prompt) + len(l.accepted)
	return flow.Request{
		RequestID:   l.spec.ID,
		Account:     l.spec.Account,
		Service:     l.spec.Service,
		CostTokens:  read + l.spec.MaxTokens - len(l.accepted),
		PrefixHash:  prefixHash(l.spec.Service, l.spec.Prompt),
		Deadline:    time.Now().Add(l.spec.Service.Deadline),
		Resume:      l.total > 1 || len(l.accepted) > 0,
		ExtraTokens: budget.TakeoverCost(read),
		Exclude:     slices.Clone(l.excluded),
	}
}
