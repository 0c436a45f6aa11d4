package forward

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/decision/takeover"
	"mallowwind.dev/telemetry/event"
)

// errTakeoverCancelled means that the stalled server responded, or that the request ended, before
// the next server did.
var errTakeoverCancelled = errors.New("forward: takeover cancelled")

// idleTimeout returns how long an attempt may deliver nothing before a takeover is tried. A
// response that cannot be resumed elsewhere is waited for until the request's deadline.
func (r *relay) idleTimeout(a *attempt) time.Duration {
	if !r.in.route.Resumable {
		return time.Until(r.in.deadline)
	}
	return takeover.MaxSilenceAt(a.hasCopy(), r.in.route.GapTarget, r.h.paces.usualPause(time.Now(), a.target.server))
}

// firstEventTimeout returns how long an attempt may take to its first event before a takeover is tried. The engine of
// one that prefills the prompt is probed instead.
func (r *relay) firstEventTimeout(a *attempt) time.Duration {
	if a.resumeFrom == "" || !r.in.route.Resumable {
		return time.Until(r.in.deadline)
	}
	return takeover.MaxSilence(false, r.in.route.GapTarget)
}

// tryTakeOver tries to continue the response of a stalled attempt at another server, and reports
// whether the attempt is over. If it is, r.replacement is the attempt that continues, or there is
// none and the response is given up. Otherwise the stalled server keeps the response.
//
// A stalled server need not be dead: a congested link or a pause of the server for a second has
// the same effect. If the daemon closed the connection first and looked for another server
// afterwards, the caller would see a truncated response whenever no other server was reachable,
// the retry budget was exhausted or the copy was gone. Therefore the connection is closed only
// once another server has responded, has received the request and has not rejected it.
func (r *relay) tryTakeOver(ctx context.Context, a *attempt, cause error) bool {
	if errors.Is(cause, errResponseLost) {
		r.heldCopy = a.runCopy() // the prompt was prefilled, so the copy exists
	}
	outcome := r.moveElsewhere(ctx, a, cause)
	if outcome == takeover.TakenOver {
		return true
	}
	evidence, shownFor := takeover.NoEvidence, time.Duration(0)
	if takeover.IsExhausted(outcome, time.Since(r.lastEventAt)) {
		evidence, shownFor = r.evidenceOfEnd(ctx, a, cause)
	}
	r.cannotContinue = evidence.ShowsEnd(shownFor) && r.awaitLatePart(ctx, a) == takeover.Silent
	r.h.metrics.segmentsKept.WithLabelValues(outcome.String()).Inc()
	r.h.opts.Log.Emit(event.StalledSegmentKept, r.in.call.ID, a.target.server.ID, cause, outcome.String(), evidence.String(), r.cannotContinue, r.lastEventID, time.Since(r.lastEventAt))
	return r.cannotContinue
}

// moveElsewhere requests the response of a stalled attempt from one server after the other until one continues
// it, and sets r.replacement then. Once several in a row have rejected it, it tries one server.
func (r *relay) moveElsewhere(ctx context.Context, a *attempt, cause error) takeover.Outcome {
	for {
		outcome, next := r.prepareTakeover(ctx, a, cause)
		if next == nil {
			return outcome
		}
		if !a.runEnded {
			outcome = r.awaitTakeover(ctx, a, next, cause)
		}
		switch {
		case outcome == takeover.TakenOver:
			r.discardPending(a)
			r.replacement, r.releasedSilent = next, !errors.Is(cause, errResponseLost)
			return outcome
		case outcome != takeover.Rejected:
			return outcome
		case takeover.ResendDelay(r.rejections) > 0:
			return takeover.NoCapacity
		}
	}
}

// prepareTakeover finds a server that may continue a stalled attempt and sends the request to it,
// unless the stalled server responds first. If there is no copy and the stalled server answers a probe, it is made to
// stop its run before, and the next one resumes from its state. The relay's own goroutine waits for one of the two
// here, so that the goroutine that looks for a server may write to the relay.
func (r *relay) prepareTakeover(ctx context.Context, a *attempt, cause error) (takeover.Outcome, *attempt) {
	prepareCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var l segment
	var outcome takeover.Outcome
	var answers bool // a probe of the stalled server
	done := make(chan struct{})
	go func() {
		defer close(done)
		l, outcome = r.reserveFailover(prepareCtx, a, cause)
		if outcome == takeover.TakenOver && l.resumeFrom == "" {
			answers = r.answersProbe(prepareCtx, a)
		}
	}()
	select {
	case <-done:
	case s := <-a.nextParts():
		a.pushBack(s)
		cancel()
		<-done
		if outcome == takeover.TakenOver {
			r.releaseLeg(l)
		}
		return takeover.NotNeeded, nil
	}
	if outcome != takeover.TakenOver {
		return outcome, nil
	}
	if answers {
		var stays bool
		if l, stays = r.stopBeforeResume(ctx, a, l); stays {
			r.releaseLeg(l)
			return takeover.NotNeeded, nil
		}
	}
	return outcome, r.start(ctx, l)
}

// answersProbe reports whether the engine of a stalled attempt answers a probe and can be asked to stop.
func (r *relay) answersProbe(ctx context.Context, a *attempt) bool {
	if r.h.newRunStopper(r.service) == nil {
		return false
	}
	_, err := r.h.probe(ctx, a.target.server, fastProbeTimeout)
	return err == nil
}

// discardPending drops a part of a stalled attempt that was pushed back, before the response
// continues elsewhere.
func (r *relay) discardPending(a *attempt) {
	if o := a.takePushedBack(); o != nil && o.err == nil && o.reply.NotRun {
		r.possibleRuns--
	}
}

// awaitLatePart waits for takeover.SettleTime for a part of a stalled attempt before the attempt is
// given up, and returns the state that the part shows. The part is pushed back.
//
// It covers a link of the daemon that stalls and recovers while engines are probed. The delayed
// parts have arrived by the time the probes have failed, and without a last look the response
// would be truncated although it continues. Delayed parts arrive no later than the response of
// another engine that shows that the link works.
func (r *relay) awaitLatePart(ctx context.Context, a *attempt) takeover.ServerState {
	timer := time.NewTimer(takeover.SettleTime)
	defer timer.Stop()
	select {
	case s := <-a.nextParts():
		a.pushBack(s)
		return s.takeoverState()
	case <-timer.C:
	case <-ctx.Done():
	}
	return takeover.Silent
}

// cancelTakeover ends the attempt that was to continue the response, and returns why it does not.
func (r *relay) cancelTakeover(ctx context.Context, a, next *attempt, nextState takeover.ServerState) takeover.Outcome {
	if nextState != takeover.Broken {
		r.finishAttempt(next, segmentAborted, errTakeoverCancelled)
		return takeover.NotNeeded
	}
	s := <-next.nextParts()
	if s.head.reply.Misdirected {
		a.copyUsed = false // the request reached an engine that does not hold the copy
	}
	end, err := r.handleFailedTakeover(ctx, next.segment, *s.head)
	next.response = s.head.resp
	r.finishAttempt(next, end, err)
	return takeover.Rejected
}

// handleFailedTakeover processes the response of a server that did not continue the stalled one.
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

// takeoverState returns the state of a server that a part of its response shows.
func (s responsePart) takeoverState() takeover.ServerState {
	switch {
	case s.head != nil && s.head.isStream():
		return takeover.Responding
	case s.head == nil && (s.event.err == nil || s.event.err == io.EOF):
		return takeover.Responding
	}
	return takeover.Broken
}

// exclude prevents the server of a segment from being chosen again for this request.
func (r *relay) exclude(l segment) {
	if life := l.target.server.Incarnation(); !slices.Contains(r.excluded, life) {
		r.excluded = append(r.excluded, life)
	}
}
