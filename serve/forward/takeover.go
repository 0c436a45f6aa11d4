package forward

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/decision/takeover"
	"mallowwind.dev/telemetry/event"
)

// errTakeoverCancelled means that the server before a leg responded again.
var errTakeoverCancelled = errors.New("forward: the server before responded again")

// idleTimeout is how long an attempt may be silent. An answer that may not go on elsewhere is
// waited for as long as its caller waits.
func (r *relay) idleTimeout(a *attempt) time.Duration {
	if !r.in.route.Resumable {
		return time.Until(r.in.deadline)
	}
	return takeover.MaxSilence(a.hasCopy(), r.in.route.GapTarget)
}

// tryTakeOver tries to let the answer of a silent attempt go on at another server. It reports
// whether the attempt is over: r.taken is the one that goes on, or there is none and the
// answer is given up. Else the silent server keeps the answer.
//
// The failure it guards against: silence is taken for the death of a server and its
// connection is closed before anything is known of the next. The caller sees an answer cut
// that was on its way, behind a link that was full for a second or a server that paused,
// because no other server was reached, the budget afforded no repeat or the copy was gone.
// It holds because a connection is closed only once another server has answered, has the
// request, and has not turned it away.
func (r *relay) tryTakeOver(ctx context.Context, a *attempt, why error) bool {
	if errors.Is(why, errResponseLost) {
		r.heldCopy = a.runCopy() // the prompt was read, so the copy is there
	}
	outcome := takeover.Rejected
	for outcome == takeover.Rejected {
		var next *attempt
		if outcome, next = r.prepareTakeover(ctx, a, why); next == nil {
			break
		}
		if outcome = r.awaitTakeover(ctx, a, next, why); outcome == takeover.TakenOver {
			r.discardPending(a)
			r.replacement = next
			return true
		}
	}
	r.cannotContinue = takeover.ShouldGiveUp(outcome, time.Since(r.lastEventAt)) && r.isUnreachable(ctx, a, why) &&
		r.awaitLatePart(ctx, a) == takeover.Silent
	r.h.metrics.segmentsKept.WithLabelValues(outcome.String()).Inc()
	r.h.opts.Log.Emit(event.StalledSegmentKept, r.in.call.ID, a.target.server.ID, why, outcome.String(), r.cannotContinue, r.lastEventID, time.Since(r.lastEventAt))
	return r.cannotContinue
}

// prepareTakeover finds the server where a silent attempt may go on and sends the request there,
// unless the silent one responds first. The relay waits meanwhile for one or the other,
// so that what is found may be written to it.
func (r *relay) prepareTakeover(ctx context.Context, a *attempt, why error) (takeover.Outcome, *attempt) {
	asking, stop := context.WithCancel(ctx)
	defer stop()
	var l segment
	var outcome takeover.Outcome
	done := make(chan struct{})
	go func() {
		defer close(done)
		l, outcome = r.reserveFailover(asking, a, why)
	}()
	select {
	case <-done:
	case s := <-a.nextParts():
		a.pushBack(s)
		stop()
		<-done
		if outcome == takeover.TakenOver {
			r.releaseLeg(l)
		}
		return takeover.NotNeeded, nil
	}
	if outcome != takeover.TakenOver {
		return outcome, nil
	}
	return outcome, r.start(ctx, l)
}

// discardPending drops what a silent attempt still had to say before its answer goes on elsewhere.
func (r *relay) discardPending(a *attempt) {
	if o := a.takePushedBack(); o != nil && o.err == nil && o.reply.NotRun {
		r.possibleRuns--
	}
}

// awaitTakeover waits for the first signal of the server that was sent the request after a
// silent one, and lets go of it unless the answer goes on there.
func (r *relay) awaitTakeover(ctx context.Context, a, next *attempt, why error) takeover.Outcome {
	silent, other := takeover.Silent, takeover.Silent
	overlap := time.NewTimer(time.Hour)
	defer overlap.Stop()
	written, over := next.requestWritten, false
	var since time.Time // both have the request
	for {
		switch takeover.Decide(silent, other, over) {
		case takeover.Switch:
			return takeover.TakenOver
		case takeover.Keep:
			return r.cancelTakeover(ctx, a, next, other)
		case takeover.Wait:
		}
		select {
		case <-written:
			written, since = nil, time.Now()
			if next.resumeFrom != "" {
				a.markCopyUsed()
			}
			if r.h.opts.Feed.View().Config.Engine(r.service) != nil {
				overlap.Reset(takeover.MaxOverlap)
			}
		case s := <-a.nextParts():
			a.pushBack(s)
			silent = s.takeoverState()
		case s := <-next.nextParts():
			next.pushBack(s)
			other = s.takeoverState()
		case <-overlap.C:
			silentAnswers, otherAnswers := r.probeBoth(ctx, a, next, why)
			over = takeover.IsOverlapOver(silentAnswers, otherAnswers, time.Since(since))
			if over {
				silent = r.awaitLatePart(ctx, a)
			}
			overlap.Reset(takeover.MaxOverlap)
		case <-ctx.Done():
			return r.cancelTakeover(ctx, a, next, takeover.Silent)
		}
	}
}

// awaitLatePart is what a silent attempt shows at last, before it is let go of. Its signal is put
// back.
//
// The failure it guards against: the link from here is held up and free again while engines
// are asked whether they respond. What was held up has arrived by the time the questions have
// failed, and the answer is cut although it went on. It holds because what is on its way comes
// no later than the answer of another engine that shows that the link works.
func (r *relay) awaitLatePart(ctx context.Context, a *attempt) takeover.ServerState {
	settled := time.NewTimer(takeover.SettleTime)
	defer settled.Stop()
	select {
	case s := <-a.nextParts():
		a.pushBack(s)
		return s.takeoverState()
	case <-settled.C:
	case <-ctx.Done():
	}
	return takeover.Silent
}

// probeBoth asks the engines of two attempts for a sign of life.
func (r *relay) probeBoth(ctx context.Context, a, next *attempt, why error) (silent, other bool) {
	var both sync.WaitGroup
	both.Go(func() { silent = r.isResponsive(ctx, a, why) })
	both.Go(func() {
		_, err := r.h.probe(ctx, next.target.server, fastProbeTimeout)
		other = err == nil
	})
	both.Wait()
	return silent, other
}

// cancelTakeover ends an attempt that was to take an answer over.
func (r *relay) cancelTakeover(ctx context.Context, a, next *attempt, other takeover.ServerState) takeover.Outcome {
	if other != takeover.Broken {
		r.finishAttempt(next, segmentAborted, errTakeoverCancelled)
		return takeover.NotNeeded
	}
	s := <-next.nextParts()
	if s.head.reply.Misdirected {
		a.copyUsed = false // it was asked for at an engine that does not have it
	}
	end, err := r.handleFailedTakeover(ctx, next.segment, *s.head)
	next.response = s.head.resp
	r.finishAttempt(next, end, err)
	return takeover.Rejected
}

// handleFailedTakeover learns from a server that did not take an answer over.
func (r *relay) handleFailedTakeover(ctx context.Context, l segment, o responseHead) (segmentEnd, error) {
	switch {
	case o.err != nil:
		return r.handleFailure(ctx, l, o.err)
	case o.reply.NotRun:
		r.possibleRuns--
		return r.handleRejection(ctx, l, o)
	case o.resp.StatusCode == http.StatusOK:
		return r.handleFailure(ctx, l, errNotAuthentic)
	}
	r.exclude(l)
	return segmentBroken, errors.Errorf("status %d", o.resp.StatusCode)
}

// takeoverState is what a signal shows of its server.
func (s responsePart) takeoverState() takeover.ServerState {
	switch {
	case s.head != nil && s.head.isStream():
		return takeover.Responding
	case s.head == nil && (s.event.err == nil || s.event.err == io.EOF):
		return takeover.Responding
	}
	return takeover.Broken
}

// exclude keeps the server of a leg from being chosen again for this request.
func (r *relay) exclude(l segment) {
	if life := l.target.server.Incarnation(); !slices.Contains(r.excluded, life) {
		r.excluded = append(r.excluded, life)
	}
}
