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

// errCallerLeft means that nobody waits for the answer any more.
var errCallerLeft = errors.New("forward: the caller left")

// errDaemonEnds means that the answer outlasted the graceful shutdown of this daemon.
var errDaemonEnds = errors.New("forward: this daemon ends")

// errDead means that a server gives no sign of life.
var errDead = errors.New("forward: no sign of life")

// errAnswerLost means that an engine runs the request and its answer does not arrive.
var errAnswerLost = errors.New("forward: the answer does not arrive")

// errSilent means that a stream has made no event for as long as it may.
var errSilent = errors.New("forward: silent")

// errAnsweredFailure means that a server answered a stream with a failure of its own.
var errAnsweredFailure = errors.New("forward: the server answered with a failure")

// errNoProof means that an answer does not show that a server made it.
var errNoProof = errors.New("forward: a success without proof")

// follow passes on what the server of an attempt makes until its stream ends, breaks off, or
// goes on elsewhere.
func (r *relay) follow(ctx context.Context, a *attempt) (legEnd, error) {
	silence := time.NewTimer(time.Hour)
	defer silence.Stop()
	leaves, again := a.leaves, time.NewTimer(time.Hour)
	defer again.Stop()
	for {
		select {
		case <-leaves:
			leaves = nil
			again.Reset(0)
		case <-again.C:
			if r.moveOn(ctx, a) {
				r.h.opts.Log.Emit(event.StreamMoved, r.in.call.ID, a.at.server.ID, r.taken.at.server.ID, r.after)
				return legMoved, nil
			}
			again.Reset(moveAgain)
		case s := <-a.inbox():
			if end, err, over := r.handle(ctx, a, s); over {
				return end, err
			}
			if s.opened == nil {
				silence.Reset(r.patience(a))
			}
		case <-silence.C:
			if r.takeOver(ctx, a, errSilent) {
				return r.failure(ctx, a.leg, errSilent)
			}
			silence.Reset(takeover.RetryInterval)
		case err := <-a.dead:
			if errors.Is(err, errRestarted) || r.takeOver(ctx, a, err) {
				return r.failure(ctx, a.leg, err)
			}
		case <-ctx.Done():
			return legAborted, r.expired()
		}
	}
}

// handle takes one signal of a server; over reports whether it ends the attempt.
func (r *relay) handle(ctx context.Context, a *attempt, s signal) (end legEnd, err error, over bool) {
	if s.opened != nil {
		return r.opened(ctx, a, *s.opened)
	}
	switch {
	case s.event.err == io.EOF:
		r.begin(a.answer)
		return legWhole, nil, true
	case s.event.err != nil:
		end, err = r.failure(ctx, a.leg, s.event.err)
		return end, err, true
	}
	a.heard()
	a.nextEvent()
	r.held = a.keptCopy()
	if err := r.release(a.answer, s.event); err != nil {
		return legAborted, err, true
	}
	return legWhole, nil, false
}

// opened judges an answer by its headers.
func (r *relay) opened(ctx context.Context, a *attempt, o opened) (end legEnd, err error, over bool) {
	a.answer, a.limit = o.resp, o.reply.Limit
	if o.err == nil {
		r.h.heardLimit(a.at.server, a.sent, o.reply)
	}
	switch {
	case o.err != nil:
		end, err = r.failure(ctx, a.leg, o.err)
		return end, err, true
	case o.reply.NotRun:
		r.runs--
		end, err = r.turnedAway(ctx, a.leg, o)
		return end, err, true
	case o.resp.StatusCode != http.StatusOK:
		end, err = r.noStream(ctx, a.leg, o)
		return end, err, true
	case !o.reply.Proven:
		end, err = r.failure(ctx, a.leg, errNoProof)
		return end, err, true
	}
	return legWhole, nil, false
}

// begin gives the caller the headers of the first server that answered.
func (r *relay) begin(resp *http.Response) {
	if r.began {
		return
	}
	r.began = true
	r.first = time.Since(r.in.arrived)
	r.h.metrics.first.Observe(r.first.Seconds())
	copyHeader(r.w.Header(), resp.Header)
	r.w.WriteHeader(resp.StatusCode)
}

// release gives the caller one event.
func (r *relay) release(resp *http.Response, e streamEvent) error {
	if e.id != 0 && e.id <= r.after {
		return nil // the caller holds it
	}
	r.begin(resp)
	if _, err := r.w.Write(e.raw); err != nil {
		return errors.Wrap(err, "caller")
	}
	if err := http.NewResponseController(r.w).Flush(); err != nil {
		return errors.Wrap(err, "caller")
	}
	if e.id != 0 {
		r.after = e.id
	}
	r.heldUpSince = time.Time{}
	now := time.Now()
	if r.events++; r.events > 1 {
		r.longest = max(r.longest, now.Sub(r.since))
	}
	if r.moved {
		r.moved = false
		r.h.metrics.pauses.Observe(now.Sub(r.since).Seconds())
	}
	r.since = now
	return nil
}

// failure judges a leg that ended without a whole answer.
func (r *relay) failure(ctx context.Context, l leg, err error) (legEnd, error) {
	if ctx.Err() != nil {
		return legAborted, r.expired()
	}
	if errors.Is(err, errNotSent) {
		r.runs--
		r.sends--
		r.starts-- // another is tried as long as there is one
		if r.linkHeldUp(ctx, l, err) {
			return legNotRun, err
		}
	}
	if !l.blind || !timedOut(err) { // else the link from here may be at fault
		r.h.blame(ctx, r.in, l.at, err)
	}
	r.exclude(l)
	switch {
	case errors.Is(err, errNotSent):
		return legNotRun, err
	case r.taken != nil: // it goes on already
	case errors.Is(err, errAnswerLost):
		r.held = l.copy(r.in.call.ID) // the prompt was read, so the copy is there
	case !r.began && !errors.Is(err, errDead) && !errors.Is(err, errRestarted):
		r.reset = l.at
	}
	return legBroken, err
}

// linkHeldUp reports whether a connection was not made in time because of the link from
// here: no other engine answers either.
//
// The failure it guards against: the one engine that holds a prompt or a copy is ruled out
// for a request of which nothing has left, and the prompt is read anew for a second of
// another engine. It holds because that engine is tried again, for as long as a link is held
// up at most, unless another answers.
func (r *relay) linkHeldUp(ctx context.Context, l leg, err error) bool {
	view, now := r.h.opts.Feed.View(), time.Now()
	if l.blind || !timedOut(err) || view.Config.Engine(r.service) == nil {
		return false
	}
	if r.heldUpSince.IsZero() {
		r.heldUpSince = now
	}
	if now.Sub(r.heldUpSince) >= takeover.MaxLinkStall {
		return false
	}
	others := r.h.pool.readers(now, view, r.service, "", Asked, []routing.Life{l.at.server.Life()})
	return len(others) > 0 && len(r.h.questions().survey(ctx, others, 0)) == 0
}

// turnedAway handles a server's word that it did not run the request.
func (r *relay) turnedAway(ctx context.Context, l leg, o opened) (legEnd, error) {
	err := errors.Errorf("status %d, instance %s", o.resp.StatusCode, o.reply.Instance)
	next, succeeded := routing.Life{}, false
	if o.reply.Misdirected {
		next, succeeded = r.successor(ctx, l.at.server, o.reply.Instance)
	}
	switch {
	case succeeded && l.from != "":
		r.misdirected = l.at.server.Life()
		l.at.server.ID, l.at.server.Born = next.ID, next.Born
		r.held = kept{at: l.at, name: l.from}
	case !succeeded && l.from == "":
		r.exclude(l)
	}
	return legNotRun, err
}

// successor returns the life of instance, which answers at the address of old, if it is
// an engine of the same service that started anew there, and remembers it then.
// A daemon that has lost the store does not see it register, although copies are
// sent to the address and lie at the new engine. Where one service alone has
// engines, whatever speaks as an engine is of that service, also at an address
// used again.
func (r *relay) successor(ctx context.Context, old routing.Server, instance string) (routing.Life, bool) {
	view := r.h.opts.Feed.View()
	if instance == "" || instance == old.ID || view.Departed(instance) || view.Config.OnlyEngines() != r.service {
		return routing.Life{}, false
	}
	report, err := r.h.report(ctx, old, probeTimeout)
	if err != nil {
		return routing.Life{}, false
	}
	next := routing.Life{ID: instance, Born: report.Born}
	r.h.pool.succeed(view, old.Life(), next)
	r.h.opts.Log.Emit(event.BackendSucceeded, r.in.call.ID, old.ID, next.ID, next.Born)
	return next, true
}

// noStream passes on a failure that a server answered, unless another may do better.
func (r *relay) noStream(ctx context.Context, l leg, o opened) (legEnd, error) {
	if r.began || r.mayGoOn() {
		r.exclude(l)
		return legBroken, errors.Wrapf(errAnsweredFailure, "status %d", o.resp.StatusCode)
	}
	body, rest, err := readAnswer(o.resp)
	if err != nil {
		return r.failure(ctx, l, err)
	}
	err = r.h.passOn(r.w, r.in, &outcome{status: o.resp.StatusCode, header: o.resp.Header, body: body, rest: rest})
	return legAnswer, err
}

// expired says why the request has ended before its answer. The connections of callers are
// closed when the daemon ends, which looks like a caller that leaves.
func (r *relay) expired() error {
	now, stop := time.Now(), r.h.stop.Load()
	switch {
	case stop != nil && !now.Before(stop.End):
		return errDaemonEnds
	case now.Before(r.in.until):
		return errCallerLeft
	}
	return verdict.New(r.verdict(), verdict.CodeDeadline, "the answer was not finished in time")
}

// over ends an attempt, and has it found out whether its server ended.
func (r *relay) over(a *attempt, end legEnd, err error) {
	a.ended(end, errors.Is(err, errAnsweredFailure) || end == legAnswer && a.answer != nil && a.answer.StatusCode >= http.StatusInternalServerError)
	a.end(end)
	r.log(a, end, err)
	switch end {
	case legBroken:
		go r.h.inspect(ending{in: r.in, at: a.at, sent: a.sent, begun: a.begun, from: a.from, err: err})
	case legWhole, legAnswer:
		r.h.poisoned.whole(r.in)
	}
}

func (r *relay) log(a *attempt, end legEnd, err error) {
	l := a.leg
	r.h.metrics.legs.WithLabelValues(l.at.reason, end.String()).Inc()
	r.h.opts.Log.Emit(event.StreamLeg, r.in.call.ID, r.in.call.OwnPart, r.in.route.Name, r.in.accountName(), r.in.version, l.at.server.ID, l.at.server.Zone, l.at.reason,
		l.copyTo.server.ID, end.String(), r.after, r.first, r.longest, time.Since(r.since), time.Since(r.in.arrived), a.limit, err)
}
