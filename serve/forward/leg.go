package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/takeover"
	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/telemetry/event"
)

// errCallerGone means that nobody waits for the answer any more.
var errCallerGone = errors.New("forward: the caller left")

// errDaemonExiting means that the answer outlasted the graceful shutdown of this daemon.
var errDaemonExiting = errors.New("forward: this daemon ends")

// errUnresponsive means that a server gives no sign of life.
var errUnresponsive = errors.New("forward: no sign of life")

// errResponseLost means that an engine runs the request and its answer does not arrive.
var errResponseLost = errors.New("forward: the answer does not arrive")

// errStreamIdle means that a stream has made no event for as long as it may.
var errStreamIdle = errors.New("forward: silent")

// errErrorResponse means that a server answered a stream with a failure of its own.
var errErrorResponse = errors.New("forward: the server answered with a failure")

// errNotAuthentic means that an answer does not show that a server made it.
var errNotAuthentic = errors.New("forward: a success without proof")

// follow passes on what the server of an attempt makes until its stream ends, breaks off, or
// goes on elsewhere.
func (r *relay) follow(ctx context.Context, a *attempt) (segmentEnd, error) {
	silence := time.NewTimer(time.Hour)
	defer silence.Stop()
	leaves, again := a.versionLeaving, time.NewTimer(time.Hour)
	defer again.Stop()
	for {
		select {
		case <-leaves:
			leaves = nil
			again.Reset(0)
		case <-again.C:
			if r.migrate(ctx, a) {
				r.h.opts.Log.Emit(event.StreamMoved, r.in.call.ID, a.target.server.ID, r.replacement.target.server.ID, r.lastEventID)
				return segmentMoved, nil
			}
			again.Reset(migrationRetryInterval)
		case s := <-a.nextParts():
			if end, err, over := r.handlePart(ctx, a, s); over {
				return end, err
			}
			if s.head == nil {
				silence.Reset(r.idleTimeout(a))
			}
		case <-silence.C:
			if r.tryTakeOver(ctx, a, errStreamIdle) {
				return r.handleFailure(ctx, a.segment, errStreamIdle)
			}
			silence.Reset(takeover.RetryInterval)
		case err := <-a.probeFailures:
			if errors.Is(err, errRestarted) || r.tryTakeOver(ctx, a, err) {
				return r.handleFailure(ctx, a.segment, err)
			}
		case <-ctx.Done():
			return segmentAborted, r.expiryError()
		}
	}
}

// handlePart takes one signal of a server; over reports whether it ends the attempt.
func (r *relay) handlePart(ctx context.Context, a *attempt, s responsePart) (end segmentEnd, err error, over bool) {
	if s.head != nil {
		return r.handleHead(ctx, a, *s.head)
	}
	switch {
	case s.event.err == io.EOF:
		r.sendHeaders(a.response)
		return segmentComplete, nil, true
	case s.event.err != nil:
		end, err = r.handleFailure(ctx, a.segment, s.event.err)
		return end, err, true
	}
	a.markPrefilled()
	a.recordNextEvent()
	r.heldCopy = a.runCopy()
	if err := r.forwardEvent(a.response, s.event); err != nil {
		return segmentAborted, err, true
	}
	return segmentComplete, nil, false
}

// handleHead judges an answer by its headers.
func (r *relay) handleHead(ctx context.Context, a *attempt, o responseHead) (end segmentEnd, err error, over bool) {
	a.response, a.rateLimit = o.resp, o.reply.RateLimit
	if o.err == nil {
		r.h.recordLimit(a.target.server, a.sentAt, o.reply)
	}
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

// sendHeaders gives the caller the headers of the first server that answered.
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

// forwardEvent gives the caller one event.
func (r *relay) forwardEvent(resp *http.Response, e streamEvent) error {
	if e.id != 0 && e.id <= r.lastEventID {
		return nil // the caller holds it
	}
	r.sendHeaders(resp)
	if _, err := r.w.Write(e.raw); err != nil {
		return errors.Wrap(err, "caller")
	}
	if err := http.NewResponseController(r.w).Flush(); err != nil {
		return errors.Wrap(err, "caller")
	}
	if e.id != 0 {
		r.lastEventID = e.id
	}
	r.linkStalledSince = time.Time{}
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

// handleFailure judges a leg that ended without a whole answer.
func (r *relay) handleFailure(ctx context.Context, l segment, err error) (segmentEnd, error) {
	if ctx.Err() != nil {
		return segmentAborted, r.expiryError()
	}
	if errors.Is(err, errNotSent) {
		r.possibleRuns--
		r.sends--
		r.starts-- // another is tried as long as there is one
		if r.isLinkStalled(ctx, l, err) {
			return segmentNotRun, err
		}
	}
	if !l.unconfirmed || !isTimeout(err) { // else the link from here may be at fault
		r.h.markSuspect(ctx, r.in, l.target, err)
	}
	r.exclude(l)
	switch {
	case errors.Is(err, errNotSent):
		return segmentNotRun, err
	case r.replacement != nil: // it goes on already
	case errors.Is(err, errResponseLost):
		r.heldCopy = l.incrementalCopy(r.in.call.ID) // the prompt was read, so the copy is there
	case !r.headersSent && !errors.Is(err, errUnresponsive) && !errors.Is(err, errRestarted):
		r.resetBy = l.target
	}
	return segmentBroken, err
}

// isLinkStalled reports whether a connection was not made in time because of the link from
// here: no other engine answers either.
//
// The failure it guards against: the one engine that holds a prompt or a copy is ruled out
// for a request of which nothing has left, and the prompt is read anew for a second of
// another engine. It holds because that engine is tried again, for as long as a link is held
// up at most, unless another answers.
func (r *relay) isLinkStalled(ctx context.Context, l segment, err error) bool {
	view, now := r.h.opts.Feed.View(), time.Now()
	if l.unconfirmed || !isTimeout(err) || view.Config.Engine(r.service) == nil {
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

// handleRejection handles a server's word that it did not run the request.
func (r *relay) handleRejection(ctx context.Context, l segment, o responseHead) (segmentEnd, error) {
	err := errors.Errorf("status %d, instance %s", o.resp.StatusCode, o.reply.Instance)
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

// findSuccessor returns the life of instance, which answers at the address of old, if it is
// an engine of the same service that started anew there, and remembers it then.
// A daemon that has lost the store does not see it register, although copies are
// sent to the address and lie at the new engine. Where one service alone has
// engines, whatever speaks as an engine is of that service, also at an address
// used again.
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

// handleNonStream passes on a failure that a server answered, unless another may do better.
func (r *relay) handleNonStream(ctx context.Context, l segment, o responseHead) (segmentEnd, error) {
	if r.headersSent || r.canResume() {
		r.exclude(l)
		return segmentBroken, errors.Wrapf(errErrorResponse, "status %d", o.resp.StatusCode)
	}
	body, rest, err := readResponse(o.resp)
	if err != nil {
		return r.handleFailure(ctx, l, err)
	}
	err = r.h.forwardResponse(r.w, r.in, &outcome{status: o.resp.StatusCode, header: o.resp.Header, body: body, bodyRest: rest})
	return segmentNonStream, err
}

// expiryError says why the request has ended before its answer. The connections of callers are
// closed when the daemon ends, which looks like a caller that leaves.
func (r *relay) expiryError() error {
	now, stop := time.Now(), r.h.shutdown.Load()
	switch {
	case stop != nil && !now.Before(stop.ExitAt):
		return errDaemonExiting
	case now.Before(r.in.deadline):
		return errCallerGone
	}
	return verdict.New(r.verdict(), verdict.CodeDeadlineExceeded, "the answer was not finished in time")
}

// finishAttempt ends an attempt, and has it found out whether its server ended.
func (r *relay) finishAttempt(a *attempt, end segmentEnd, err error) {
	a.recordEnd(end, errors.Is(err, errErrorResponse) || end == segmentNonStream && a.response != nil && a.response.StatusCode >= http.StatusInternalServerError)
	a.end(end)
	r.logSegment(a, end, err)
	switch end {
	case segmentBroken:
		go r.h.checkForCrash(brokenSend{in: r.in, at: a.target, sentAt: a.sentAt, firstEventAt: a.firstEventAt, fromReplica: a.resumeFrom, err: err})
	case segmentComplete, segmentNonStream:
		r.h.poisoned.recordCompletion(r.in)
	}
}

func (r *relay) logSegment(a *attempt, end segmentEnd, err error) {
	l := a.segment
	r.h.metrics.segments.WithLabelValues(l.target.reason, end.String()).Inc()
	r.h.opts.Log.Emit(event.StreamSegmentEnded, r.in.call.ID, r.in.call.PromptKey, r.in.route.Name, r.in.accountName(), r.in.configVersion, l.target.server.ID, l.target.server.Zone, l.target.reason,
		l.copyTo.server.ID, end.String(), r.lastEventID, r.timeToFirstEvent, r.longestGap, time.Since(r.lastEventAt), time.Since(r.in.arrived), a.rateLimit, err)
}
