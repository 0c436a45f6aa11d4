package generation

import (
	"context"
	"fmt"
	"slices"

	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/telemetry/event"
)

// The invariants asserted while an answer is served. A violation is a fault of
// this program; the answer stops visibly before a caller can hold a wrong token.
const (
	invariantLength   = "accepted tokens end at the race's offset"
	invariantCopied   = "tokens are released only after they were copied"
	invariantReleased = "released tokens grow by exactly what was copied"
	invariantPosition = "a batch begins at the caller's position"
)

// violated ends the answer because an invariant did not hold.
func (l *loop) violated(invariant, format string, args ...any) {
	l.g.fail(l.m.violated(l.spec.ID, invariant, format, args...))
}

// violated logs and counts a violation and returns the error for the caller.
func (m *Manager) violated(id, invariant, format string, args ...any) *verdict.Error {
	detail := fmt.Sprintf(format, args...)
	m.metrics.violations.Inc()
	m.log.Emit(event.InvariantViolated, invariant, id, detail)
	return verdict.New(verdict.MayHaveRun, verdict.CodeInvariantViolation,
		"the answer was stopped because of a fault in this system: %s", invariant)
}

// copy starts the next write of the copy if one is due.
func (l *loop) copy(ctx context.Context) {
	if l.writing || (l.copied == len(l.accepted) && l.copiedAt == l.finish) {
		return
	}
	l.writing = true
	c, w, out := l.copier, l.write(), l.written
	go func() { out <- c.put(ctx, w) }()
}

func (l *loop) write() write {
	n := len(l.accepted)
	return write{tokens: l.accepted[:n:n], journaled: l.copied, attempt: l.leaderAt, finish: l.finish}
}

// handleWritten releases what is copied now.
func (l *loop) handleWritten(w written) {
	l.writing = false
	if w.fenced != 0 {
		l.m.log.Emit(event.GenerationFenced, l.spec.ID, uint64(w.fenced))
		l.g.fence()
		return
	}
	if w.owned() {
		l.cancelUnwanted()
	}
	n := w.upTo - l.copied
	if n < 0 || w.upTo > len(l.accepted) {
		l.violated(invariantCopied, "%d accepted, %d released, %d copied", len(l.accepted), l.copied, w.upTo)
		return
	}
	if w.degraded {
		l.m.metrics.uncopied.Add(float64(n))
	}
	if at := l.g.release(l.accepted[l.copied:w.upTo], w.finish); at != w.upTo {
		l.violated(invariantReleased, "%d released, %d copied", at, w.upTo)
		return
	}
	l.m.metrics.tokens.Add(float64(n))
	l.copied, l.copiedAt = w.upTo, w.finish
	if w.finish != "" {
		l.m.log.Emit(event.GenerationFinished, l.spec.ID, w.upTo, l.total, string(w.finish))
	}
}

// giveUp ends the answer: visibly incomplete with err, or quietly without.
func (l *loop) giveUp(err error) {
	if err == nil {
		l.m.log.Emit(event.GenerationCancelled, l.spec.ID, len(l.accepted))
		l.g.fail(verdict.New(verdict.MayHaveRun, verdict.CodeGenerationLost, "the answer was cancelled because nobody read it"))
		return
	}
	e := verdict.FromError(err)
	if e.Verdict != verdict.NotRun {
		// A refusal before anything ran is logged where it was decided.
		l.m.log.Emit(event.GenerationFailed, l.spec.ID, len(l.accepted), string(e.Code))
	}
	l.g.fail(e)
}

// stopAll ends what still runs.
func (l *loop) stopAll() {
	for _, a := range l.attempts {
		l.drop(a)
		l.unwanted = append(l.unwanted, a)
	}
	if len(l.unwanted) == 0 || l.finish != "" {
		return
	}
	if !l.stillOwned() {
		// An attempt that never delivered was never named in a copy, so no
		// successor reads it.
		l.unwanted = slices.DeleteFunc(l.unwanted, func(a *attempt) bool { return a.chunks > 0 || a.reattach })
	}
	l.leaderAt = nil
	l.cancelUnwanted()
}

// stillOwned asks the copy's holder whether this daemon owns the generation.
// An owner that comes back from a pause finds its generation unread and gives
// it up; were it to cancel the attempt without asking, it would cut off the
// successor that attached to the same attempt in the meantime. Where no holder
// answers the engines end the attempt for want of a reader.
func (l *loop) stillOwned() bool {
	if l.g.state().fenced {
		return false
	}
	if l.writing {
		if w := <-l.written; w.fenced != 0 {
			return false
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	w := l.copier.put(ctx, l.write())
	return w.owned()
}

// cancelUnwanted stops the attempts that lost at their engines.
func (l *loop) cancelUnwanted() {
	for _, a := range l.unwanted {
		if a.granted && !l.sharesLeader(a) {
			l.m.wg.Go(func() { cancelAtEngine(a.backend.Engine, l.spec.ID, a.engineNumber) })
		}
	}
	l.unwanted = nil
}

// sharesLeader reports whether cancelling a would end the attempt that carries
// the answer: both run at one engine, which cancels all attempts up to a number.
func (l *loop) sharesLeader(a *attempt) bool {
	return l.leaderAt.GetBackend() == a.backend.ID && l.leaderAt.GetNumber() <= a.engineNumber
}
