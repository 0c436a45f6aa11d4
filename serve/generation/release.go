package generation

import (
	"context"
	"fmt"
	"slices"

	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/telemetry/event"
)

// The invariants asserted while an answer is served. A violation is a bug in this
// program. The answer then fails before a caller can receive a wrong token.
const (
	invariantLength   = "accepted tokens end at the race's offset"
	invariantCopied   = "tokens are released only after they were copied"
	invariantReleased = "released tokens grow by exactly what was copied"
	invariantPosition = "a batch begins at the caller's position"
)

// failInvariant fails the answer because an invariant does not hold.
func (l *loop) failInvariant(invariant, format string, args ...any) {
	l.g.fail(l.m.recordViolation(l.spec.ID, invariant, format, args...))
}

// recordViolation logs and counts a violation and returns the error for the caller.
func (m *Manager) recordViolation(id, invariant, format string, args ...any) *verdict.Error {
	detail := fmt.Sprintf(format, args...)
	m.metrics.violations.Inc()
	m.log.Emit(event.InvariantViolated, invariant, id, detail)
	return verdict.New(verdict.MayHaveRun, verdict.CodeInvariantViolation,
		"the answer was stopped because of a fault in this system: %s", invariant)
}

// startWrite starts the next write to the copy if none is in flight and there are
// tokens or a finish reason to copy.
func (l *loop) startWrite(ctx context.Context) {
	if l.writing || (l.releasedCount == len(l.accepted) && l.releasedFinish == l.finish) {
		return
	}
	l.writing = true
	c, w, out := l.copier, l.pendingWrite(), l.writeResults
	go func() { out <- c.write(ctx, w) }()
}

func (l *loop) pendingWrite() journalWrite {
	n := len(l.accepted)
	return journalWrite{tokens: l.accepted[:n:n], copiedCount: l.releasedCount, attempt: l.leaderAttempt, finish: l.finish}
}

// handleWriteResult releases the tokens that were written to the copy.
func (l *loop) handleWriteResult(w writeResult) {
	l.writing = false
	if w.fenced != 0 {
		l.m.log.Emit(event.GenerationFenced, l.spec.ID, uint64(w.fenced))
		l.g.fence()
		return
	}
	if w.confirmsOwnership() {
		l.cancelLosers()
	}
	n := w.copiedCount - l.releasedCount
	if n < 0 || w.copiedCount > len(l.accepted) {
		l.failInvariant(invariantCopied, "%d accepted, %d released, %d copied", len(l.accepted), l.releasedCount, w.copiedCount)
		return
	}
	if w.degraded {
		l.m.metrics.uncopied.Add(float64(n))
	}
	if releasedCount := l.g.release(l.accepted[l.releasedCount:w.copiedCount], w.finish); releasedCount != w.copiedCount {
		l.failInvariant(invariantReleased, "%d released, %d copied", releasedCount, w.copiedCount)
		return
	}
	l.m.metrics.tokens.Add(float64(n))
	l.releasedCount, l.releasedFinish = w.copiedCount, w.finish
	if w.finish != "" {
		l.m.log.Emit(event.GenerationFinished, l.spec.ID, w.copiedCount, l.startedCount, string(w.finish))
	}
}

// fail ends the answer with err. If err is nil, the generation was cancelled because
// nothing reads it.
func (l *loop) fail(err error) {
	if err == nil {
		l.m.log.Emit(event.GenerationCancelled, l.spec.ID, len(l.accepted))
		l.g.fail(verdict.New(verdict.MayHaveRun, verdict.CodeGenerationLost, "the answer was cancelled because nobody read it"))
		return
	}
	e := verdict.FromError(err)
	if e.Verdict != verdict.NotRun {
		// A refusal before anything ran was already logged by flow.
		l.m.log.Emit(event.GenerationFailed, l.spec.ID, len(l.accepted), string(e.Code))
	}
	l.g.fail(e)
}

// stopAttempts stops the attempts that still run and cancels them at their engines
// if this daemon still owns the generation.
func (l *loop) stopAttempts() {
	for _, a := range l.attempts {
		l.dropAttempt(a)
		l.losers = append(l.losers, a)
	}
	if len(l.losers) == 0 || l.finish != "" {
		return
	}
	if !l.isStillOwner() {
		// An attempt that never delivered was never recorded in a copy, so no
		// successor reads it.
		l.losers = slices.DeleteFunc(l.losers, func(a *attempt) bool { return a.chunkCount > 0 || a.reattach })
	}
	l.leaderAttempt = nil
	l.cancelLosers()
}

// isStillOwner checks with the copy's holder whether this daemon owns the
// generation. An owner that returns from a pause finds its generation without
// readers and ends it. If it cancelled the attempt without this check, it would
// interrupt a successor that reads the same attempt since. If no holder replies, the
// engines end the attempt because it has no reader.
func (l *loop) isStillOwner() bool {
	if l.g.state().fenced {
		return false
	}
	if l.writing {
		if w := <-l.writeResults; w.fenced != 0 {
			return false
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	w := l.copier.write(ctx, l.pendingWrite())
	return w.confirmsOwnership()
}

// cancelLosers cancels the dropped attempts at their engines.
func (l *loop) cancelLosers() {
	for _, a := range l.losers {
		if a.granted && !l.sharesLeader(a) {
			l.m.wg.Go(func() { cancelAtEngine(a.backend.Engine, l.spec.ID, a.engineNumber) })
		}
	}
	l.losers = nil
}

// sharesLeader reports whether cancelling a would also cancel the leading attempt.
// An engine cancels all attempts of a generation up to the given number.
func (l *loop) sharesLeader(a *attempt) bool {
	return l.leaderAttempt.GetBackend() == a.backend.ID && l.leaderAttempt.GetNumber() <= a.engineNumber
}
