package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/poison"
	"mallowwind.dev/decision/takeover"
	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/external/sent"
	"mallowwind.dev/telemetry/event"
)

// errCallerGone means that the caller disconnected before the response was complete.
var errCallerGone = errors.New("forward: the caller disconnected")

// errDaemonExiting means that the response outlasted the graceful shutdown of this daemon.
var errDaemonExiting = errors.New("forward: the daemon exits before the response is complete")

// errUnresponsive means that an engine did not respond to several probes in a row.
var errUnresponsive = errors.New("forward: the engine does not respond to probes")

// errResponseLost means that an engine runs the request but its response does not arrive.
var errResponseLost = errors.New("forward: the engine generates events but none arrives")

// errRunStopped means that a stream ended with its connection because its engine was asked to stop the run.
var errRunStopped = errors.New("forward: the engine stopped the run as requested")

// errStreamIdle means that a stream delivered no event within its idle timeout.
var errStreamIdle = errors.New("forward: stream idle timeout")

// errNoEvents means that a stream ended with its connection before its first event.
var errNoEvents = errors.New("forward: the stream ended with its connection before its first event")

// errErrorResponse means that a server responded to a stream request with an error status.
var errErrorResponse = errors.New("forward: the server responded with an error status")

// errNotAuthentic means that a response lacks the proof that a server produced it.
var errNotAuthentic = errors.New("forward: the response carries no proof of its server")

// maxCrashCheck bounds the wait for the check whether a server crashed: some round trips to servers
// and daemons, and short compared with a prefill.
const maxCrashCheck = 200 * time.Millisecond

// follow forwards the events of an attempt until its stream ends, fails, or continues at another
// server.
func (r *relay) follow(ctx context.Context, a *attempt) (segmentEnd, error) {
	idle := time.NewTimer(r.firstEventTimeout(a))
	defer idle.Stop()
	versionLeaving, retryMove := a.versionLeaving, time.NewTimer(time.Hour)
	defer retryMove.Stop()
	for {
		select {
		case <-versionLeaving:
			versionLeaving = nil
			retryMove.Reset(0)
		case <-retryMove.C:
			if r.migrate(ctx, a) {
				r.h.opts.Log.Emit(event.StreamMoved, r.in.call.ID, a.target.server.ID, r.replacement.target.server.ID, r.lastEventID)
				return segmentMoved, nil
			}
			retryMove.Reset(migrationRetryInterval)
		case s := <-a.nextParts():
			if end, err, ended := r.handlePart(ctx, a, s); ended {
				return end, err
			}
			a.recordHeard()
			if s.head == nil {
				a.takeoversTried = 0
				idle.Reset(r.idleTimeout(a))
			}
		case <-idle.C:
			if r.tryTakeOver(ctx, a, errStreamIdle) {
				return r.handleFailure(ctx, a.segment, errStreamIdle)
			}
			idle.Reset(max(takeover.RetryDelay(a.takeoversTried), takeover.ResendDelay(r.rejections)))
			a.takeoversTried++
		case err := <-a.probeFailures:
			if errors.Is(err, errRestarted) || r.tryTakeOver(ctx, a, err) {
				return r.handleFailure(ctx, a.segment, err)
			}
		case <-ctx.Done():
			return segmentAborted, r.expiryError()
		}
	}
}

// handlePart processes one part of a response; ended reports whether it ends the attempt.
func (r *relay) handlePart(ctx context.Context, a *attempt, s responsePart) (end segmentEnd, err error, ended bool) {
	if s.head != nil {
		return r.handleHead(ctx, a, *s.head)
	}
	switch {
	case s.event.err == io.EOF && a.eventCount == 0 && r.lastEventID == 0 && sent.IsCloseDelimited(a.response):
		end, err = r.handleFailure(ctx, a.segment, errNoEvents)
		return end, err, true
	case s.event.err == io.EOF && r.isCutByStop(ctx, a):
		end, err = r.handleFailure(ctx, a.segment, errRunStopped)
		return end, err, true
	case s.event.err == io.EOF:
		r.sendHeaders(a.response)
		return segmentComplete, nil, true
	case s.event.err != nil:
		end, err = r.handleFailure(ctx, a.segment, s.event.err)
		return end, err, true
	}
	a.markPrefilled()
	a.recordSurvival(false)
	a.recordNextEvent()
	a.measurePace()
	r.heldCopy = a.runCopy()
	r.settleStates()
	if err := r.forwardEvent(a.response, s.event); err != nil {
		return segmentAborted, err, true
	}
	return segmentComplete, nil, false
}

// handleHead processes the head of a response; ended reports whether it ends the attempt.
func (r *relay) handleHead(ctx context.Context, a *attempt, o responseHead) (end segmentEnd, err error, ended bool) {
	a.response, a.reply = o.resp, o.reply
	switch {
	case o.err != nil:
		end, err = r.handleFailure(ctx, a.segment, o.err)
		return end, err, true
	case o.reply.NotRun:
		r.possibleRuns--
		end, err = r.handleRejection(ctx, a.segment, o)
		return end, err, true
	case o.resp.StatusCode != http.StatusOK:
		end, err = r.handleNonStream(ctx, a.segment, o)
		return end, err, true
	case !o.reply.Authentic:
		end, err = r.handleFailure(ctx, a.segment, errNotAuthentic)
		return end, err, true
	}
	return segmentComplete, nil, false
}

// sendHeaders sends the response headers to the caller, once: those of the first server that
// responded.
func (r *relay) sendHeaders(resp *http.Response) {
	if r.headersSent {
		return
	}
	r.headersSent = true
	r.timeToFirstEvent = time.Since(r.in.arrived)
	r.h.metrics.firstEventSeconds.Observe(r.timeToFirstEvent.Seconds())
	copyHeader(r.w.Header(), resp.Header)
	r.w.WriteHeader(resp.StatusCode)
}

// forwardEvent sends one event to the caller unless the caller has received it already.
func (r *relay) forwardEvent(resp *http.Response, e streamEvent) error {
	if e.id != 0 && e.id <= r.lastEventID {
		return nil // the caller has received it
	}
	r.sendHeaders(resp)
	if _, err := r.w.Write(e.raw); err != nil {
		return errors.Wrap(err, "write to the caller")
	}
	if err := http.NewResponseController(r.w).Flush(); err != nil {
		return errors.Wrap(err, "write to the caller")
	}
	if e.id != 0 {
		r.lastEventID = e.id
	}
	r.linkStalledSince, r.rejections, r.releasedSilent, r.retryTaken = time.Time{}, 0, false, false
	now := time.Now()
	if r.eventCount++; r.eventCount > 1 {
		r.longestGap = max(r.longestGap, now.Sub(r.lastEventAt))
	}
	if r.interrupted {
		r.interrupted = false
		r.h.metrics.resumeSeconds.Observe(now.Sub(r.lastEventAt).Seconds())
	}
	r.lastEventAt = now
	return nil
}

// handleFailure classifies a segment that ended without a complete response, and decides what
// the next segment may use.
func (r *relay) handleFailure(ctx context.Context, l segment, err error) (segmentEnd, error) {
	if ctx.Err() != nil {
		return segmentAborted, r.expiryError()
	}
	if errors.Is(err, errNotSent) {
		r.possibleRuns--
		r.sends--
		r.starts--                 // a failed connection does not count towards maxStarts
		r.retryTaken = r.sends > 0 // and leaves its retry for the next send
		if r.isLinkStalled(ctx, l, err) {
			return segmentNotRun, err
		}
	}
	if !l.unconfirmed || !sent.IsTimeout(err) { // otherwise the daemon's own link may be at fault
		r.h.markSuspect(ctx, r.in, l.target, err)
	}
	r.exclude(l)
	switch {
	case errors.Is(err, errNotSent):
		return segmentNotRun, err
	case r.replacement != nil: // the response continues there already
	case errors.Is(err, errResponseLost):
		r.heldCopy = l.incrementalCopy(r.in.call.ID) // the prompt was prefilled, so the copy exists
	case !r.headersSent && !errors.Is(err, errUnresponsive) && !errors.Is(err, errRestarted):
		r.resetBy = l.target
	}
	return segmentBroken, err
}

// isLinkStalled reports whether a connection timed out because the daemon's own link is stalled:
// no other engine responds either.
//
// Without this check, a stalled link would exclude the one engine that holds the prompt or a copy
// of the run, although nothing of the request was sent, and the prompt would be prefilled again,
// which occupies another engine for a second. Instead the same engine is tried again, for
// takeover.MaxLinkStall at most, unless another engine responds.
func (r *relay) isLinkStalled(ctx context.Context, l segment, err error) bool {
	view, now := r.h.opts.Feed.View(), time.Now()
	if l.unconfirmed || !sent.IsTimeout(err) || view.Config.Engine(r.service) == nil {
		return false
	}
	if r.linkStalledSince.IsZero() {
		r.linkStalledSince = now
	}
	if now.Sub(r.linkStalledSince) >= takeover.MaxLinkStall {
		return false
	}
	others := r.h.pool.prefillCandidates(now, view, r.service, "", SampleSize, []routing.Incarnation{l.target.server.Incarnation()})
	return len(others) > 0 && len(r.h.newProbeRound().sampleLoads(ctx, others, 0)) == 0
}

// handleRejection processes a response which states that the server did not run the request.
func (r *relay) handleRejection(ctx context.Context, l segment, o responseHead) (segmentEnd, error) {
	err := errors.Errorf("status %d, instance %s", o.resp.StatusCode, o.reply.Instance)
	r.rejections++
	if r.headersSent {
		r.starts-- // takeover.ResendDelay and the retry budget bound them
	}
	next, succeeded := routing.Incarnation{}, false
	if o.reply.Misdirected {
		next, succeeded = r.findSuccessor(ctx, l.target.server, o.reply.Instance)
	}
	switch {
	case succeeded && l.resumeFrom != "":
		r.misdirectedLife = l.target.server.Incarnation()
		l.target.server.ID, l.target.server.StartedAtMS = next.ID, next.StartedAtMS
		r.heldCopy = replica{at: l.target, name: l.resumeFrom}
	case !succeeded && l.resumeFrom == "":
		r.exclude(l)
	}
	return segmentNotRun, err
}

// findSuccessor returns the incarnation of the instance that responds at the address of old, if
// it is an engine of the same service that restarted there, and records it as the successor. A
// daemon without access to the store does not see the instance register, although copies are sent
// to the address and stored by the new engine. The check requires that only one service has
// engines: any engine at a reused address then belongs to that service.
func (r *relay) findSuccessor(ctx context.Context, old routing.Server, instance string) (routing.Incarnation, bool) {
	view := r.h.opts.Feed.View()
	if instance == "" || instance == old.ID || view.HasDeparted(instance) || view.Config.SoleEngineService() != r.service {
		return routing.Incarnation{}, false
	}
	report, err := r.h.fetchReport(ctx, old, probeTimeout)
	if err != nil {
		return routing.Incarnation{}, false
	}
	next := routing.Incarnation{ID: instance, StartedAtMS: report.Born}
	r.h.pool.recordSuccessor(view, old.Incarnation(), next)
	r.h.opts.Log.Emit(event.BackendIncarnationChanged, r.in.call.ID, old.ID, next.ID, next.StartedAtMS)
	return next, true
}

// handleNonStream forwards an error response to the caller, unless the request can be resumed at
// another server or the caller has received the headers already.
func (r *relay) handleNonStream(ctx context.Context, l segment, o responseHead) (segmentEnd, error) {
	if r.headersSent || r.canResume() {
		r.exclude(l)
		return segmentBroken, errors.Wrapf(errErrorResponse, "status %d", o.resp.StatusCode)
	}
	body, rest, err := readResponse(o.resp, r.in.overhead)
	if err != nil {
		return r.handleFailure(ctx, l, err)
	}
	err = r.h.forwardResponse(ctx, r.w, r.in, &outcome{choice: l.target, status: o.resp.StatusCode, header: o.resp.Header, body: body, bodyRest: rest})
	return segmentNonStream, err
}

// expiryError returns the reason why the request's context ended before its response did. When
// the daemon exits it closes its callers' connections, which looks like callers that disconnect;
// the shutdown schedule tells the two apart.
func (r *relay) expiryError() error {
	now, shutdown := time.Now(), r.h.shutdown.Load()
	switch {
	case shutdown != nil && !now.Before(shutdown.ExitAt):
		return errDaemonExiting
	case now.Before(r.in.deadline):
		return errCallerGone
	}
	return verdict.New(r.verdict(), verdict.CodeDeadlineExceeded, "the answer was not finished in time")
}

// finishAttempt ends an attempt. If its stream failed, a goroutine finds out whether the server
// crashed.
func (r *relay) finishAttempt(a *attempt, end segmentEnd, err error) {
	a.recordEnd(end, errors.Is(err, errErrorResponse) || end == segmentNonStream && a.response != nil && a.response.StatusCode >= http.StatusInternalServerError)
	a.end(end)
	r.stopLeftRun(a, end, err)
	r.logSegment(a, end, err)
	switch end {
	case segmentBroken:
		broken := brokenSend{in: r.in, at: a.target, sentAt: a.sentAt, firstEventAt: a.firstEventAt, fromReplica: a.resumeFrom, err: err}
		go func() { a.crashCheck <- r.h.checkForCrash(broken) }()
	case segmentComplete, segmentNonStream:
		a.recordSurvival(true)
		r.h.poisonRegistry.recordCompletion(r.in)
	}
}

// isPromptSuspect reports whether the server of a broken attempt crashed when it began to answer and
// a part of the prompt is suspect, according to a check that takes a few round trips.
//
// It guards against a prompt that crashes one server after the other, because each crash seems to be
// the server's own fault.
func (r *relay) isPromptSuspect(ctx context.Context, a *attempt) bool {
	if len(r.in.call.PromptParts) == 0 || !a.firstEventAt.IsZero() && time.Since(a.firstEventAt) >= poison.CrashWindow {
		return false
	}
	timer := time.NewTimer(maxCrashCheck)
	defer timer.Stop()
	select {
	case suspect := <-a.crashCheck:
		if suspect {
			r.h.metrics.suspectPrompts.Inc()
			r.h.opts.Log.Emit(event.PromptSuspect, r.in.call.ID, r.in.call.PromptKey, r.in.call.PromptParts, r.in.accountName(), a.target.server.ID)
		}
		return suspect
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

func (r *relay) logSegment(a *attempt, end segmentEnd, err error) {
	l := a.segment
	r.h.metrics.segments.WithLabelValues(l.target.reason, end.String()).Inc()
	r.h.opts.Log.Emit(event.StreamSegmentEnded, r.in.call.ID, r.in.call.PromptKey, r.in.route.Name, r.in.accountName(), r.in.configVersion, l.target.server.ID, l.target.server.Zone, l.target.reason,
		l.copyTo.server.ID, end.String(), r.lastEventID, r.timeToFirstEvent, r.longestGap, time.Since(r.lastEventAt), time.Since(r.in.arrived), a.reply.RateLimit, a.reply.Leaving, a.reply.RetryAfter, err)
}
