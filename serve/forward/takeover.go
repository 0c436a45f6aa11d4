package forward

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/pause"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/prompts"
	"mallowwind.dev/decision/takeover"
	"mallowwind.dev/telemetry/event"
)

// signOfLife is how long a server may take to answer before an answer goes on there: a
// round trip is 2 ms, and with the 350 ms of silence before and 100 ms to go on, a pause
// stays within 700 ms.
const signOfLife = 150 * time.Millisecond

// errNotNeeded means that the server before a leg was heard of again.
var errNotNeeded = errors.New("forward: the server before was heard of again")

// patience is how long an attempt may be silent. An answer that may not go on elsewhere is
// waited for as long as its caller waits.
func (r *relay) patience(a *attempt) time.Duration {
	if !r.in.route.Resumable {
		return time.Until(r.in.until)
	}
	return takeover.Patience(a.hasCopy(), r.in.route.GapTarget)
}

// takeOver tries to let the answer of a silent attempt go on at another server. It reports
// whether the attempt is over: r.taken is the one that goes on, or there is none and the
// answer is given up. Else the silent server keeps the answer.
//
// The failure it guards against: silence is taken for the death of a server and its
// connection is closed before anything is known of the next. The caller sees an answer cut
// that was on its way, behind a link that was full for a second or a server that paused,
// because no other server was reached, the budget afforded no repeat or the copy was gone.
// It holds because a connection is closed only once another server has answered, has the
// request, and has not turned it away.
func (r *relay) takeOver(ctx context.Context, a *attempt, why error) bool {
	if errors.Is(why, errAnswerLost) {
		r.held = a.keptCopy() // the prompt was read, so the copy is there
	}
	outcome := takeover.TurnedAway
	for outcome == takeover.TurnedAway {
		var next *attempt
		if outcome, next = r.prepare(ctx, a, why); next == nil {
			break
		}
		if outcome = r.sideBySide(ctx, a, next, why); outcome == takeover.TakenOver {
			r.forgo(a)
			r.taken = next
			return true
		}
	}
	r.hopeless = takeover.GiveUp(outcome, time.Since(r.since)) && r.gone(ctx, a, why)
	r.h.metrics.stayed.WithLabelValues(outcome.String()).Inc()
	r.h.opts.Log.Emit(event.LegKept, r.in.call.ID, a.at.server.ID, why, outcome.String(), r.hopeless, r.after, time.Since(r.since))
	return r.hopeless
}

// prepare finds the server where a silent attempt may go on and sends the request there,
// unless the silent one is heard of first. The relay waits meanwhile for one or the other,
// so that what is found may be written to it.
func (r *relay) prepare(ctx context.Context, a *attempt, why error) (takeover.Outcome, *attempt) {
	asking, stop := context.WithCancel(ctx)
	defer stop()
	var l leg
	var outcome takeover.Outcome
	done := make(chan struct{})
	go func() {
		defer close(done)
		l, outcome = r.elsewhere(asking, a, why)
	}()
	select {
	case <-done:
	case s := <-a.inbox():
		a.putBack(s)
		stop()
		<-done
		if outcome == takeover.TakenOver {
			r.uncount(l)
		}
		return takeover.NotNeeded, nil
	}
	if outcome != takeover.TakenOver {
		return outcome, nil
	}
	return outcome, r.start(ctx, l)
}

// elsewhere chooses the leg that may follow a silent one, and takes a repeat from the
// budget for it. The request is counted at the server of the leg.
func (r *relay) elsewhere(ctx context.Context, a *attempt, why error) (leg, takeover.Outcome) {
	if !r.mayGoOn() || r.starts >= maxStarts {
		return leg{}, takeover.NoTries
	}
	l, outcome := r.candidate(ctx, a, why)
	if outcome != takeover.TakenOver {
		return leg{}, outcome
	}
	l = r.withCopy(ctx, l)
	// A repeat is spent only on what is still silent now.
	if !pause.For(ctx, takeover.Settling) {
		outcome = takeover.NotNeeded
	} else if !r.mayRepeat(ctx, time.Now()) {
		outcome = takeover.NoRepeat
	}
	if outcome != takeover.TakenOver {
		r.uncount(l)
		return leg{}, outcome
	}
	return l, outcome
}

// uncount takes back the count of a leg whose request is not sent.
func (r *relay) uncount(l leg) { r.h.pool.count(l.at, -1, 0, 0) }

// candidate is the leg at the engine that holds a copy of the run, if it gives a sign of
// life, or at one that reads the prompt anew.
func (r *relay) candidate(ctx context.Context, a *attempt, why error) (leg, takeover.Outcome) {
	if c, held, ok := r.livingHolder(ctx, a); ok {
		r.h.pool.count(c, 1, 0, 0)
		return leg{at: c, from: held.name}, takeover.TakenOver
	}
	if r.h.pressure.hopeless(r.service, r.in.call.PromptTokens, time.Until(r.in.until)) {
		return leg{}, takeover.NoRoom
	}
	return r.anew(ctx, a, why)
}

// anew is the leg at a server that makes the rest of the answer without a copy. It is late
// for the caller in any case, so it is worth it only where the silent server gives no sign
// of life, or has been silent for long.
func (r *relay) anew(ctx context.Context, a *attempt, why error) (leg, takeover.Outcome) {
	view := r.h.opts.Feed.View()
	r.exclude(a.leg)
	c, ok := r.place(ctx, view)
	if !ok {
		return leg{}, takeover.NoServer
	}
	l, outcome := leg{at: c.choice}, takeover.TakenOver
	if view.Config.Engine(r.service) != nil {
		switch admission, _ := r.admission(c); {
		case !c.answered:
			outcome = takeover.NoServer
		case r.answers(ctx, a, why):
			outcome = takeover.Alive
		case admission != prompts.Admitted:
			outcome = takeover.NoRoom
		}
	}
	if outcome != takeover.TakenOver {
		r.uncount(l)
		return leg{}, outcome
	}
	return l, outcome
}

// answers reports whether a silent engine gives a sign of life after all. It is asked last:
// where the link from here was full until a moment ago, others answer as well by now. One
// whose answer is lost, or that has been silent for long, is not asked.
func (r *relay) answers(ctx context.Context, a *attempt, why error) bool {
	long := time.Since(r.since) >= takeover.Patience(false, r.in.route.GapTarget)
	if errors.Is(why, errAnswerLost) || errors.Is(why, errSilent) && long {
		return false
	}
	_, err := r.h.probe(ctx, a.at.server, askLimit)
	return err == nil
}

// gone reports whether nothing more is to be expected of a silent engine: its answer was found
// lost more than once, or it gives no sign of life, to two questions, while others do. Other
// servers cannot be asked.
func (r *relay) gone(ctx context.Context, a *attempt, why error) bool {
	if errors.Is(why, errAnswerLost) {
		a.foundLost++
		return a.foundLost >= deadProbes
	}
	view := r.h.opts.Feed.View()
	if view.Config.Engine(r.service) == nil {
		return false
	}
	others := r.h.pool.readers(time.Now(), view, r.service, Asked, []routing.Life{a.at.server.Life()})
	var silent [deadProbes]error
	var all sync.WaitGroup
	for i := range silent {
		all.Go(func() { _, silent[i] = r.h.probe(ctx, a.at.server, askLimit) })
	}
	answered := r.h.questions().survey(ctx, others, 0)
	all.Wait()
	return len(answered) > 0 && !slices.Contains(silent[:], nil)
}

// forgo ends the hope in a silent attempt before its answer goes on elsewhere.
func (r *relay) forgo(a *attempt) {
	select {
	case s := <-a.back:
		if s.opened != nil && s.opened.err == nil {
			s.opened.resp.Body.Close()
			if s.opened.reply.NotRun {
				r.runs--
			}
		}
	default:
	}
}

// livingHolder is the engine that holds a copy of an attempt's run, if it answers.
func (r *relay) livingHolder(ctx context.Context, a *attempt) (choice, kept, bool) {
	held := r.held
	if a.spare != nil {
		if copied := a.spare.copied.Load(); copied != nil {
			held = *copied
		}
	}
	if held.at.load == nil {
		return choice{}, kept{}, false
	}
	c, ok := r.holder(r.h.opts.Feed.View(), held)
	if !ok {
		return choice{}, kept{}, false
	}
	_, err := r.h.probe(ctx, c.server, signOfLife)
	return c, held, err == nil
}

// sideBySide waits for the first signal of the server that was sent the request after a
// silent one, and lets go of it unless the answer goes on there.
func (r *relay) sideBySide(ctx context.Context, a, next *attempt, why error) takeover.Outcome {
	silent, other := takeover.Quiet, takeover.Quiet
	overlap := time.NewTimer(time.Hour)
	defer overlap.Stop()
	written, over := next.written, false
	var since time.Time // both have the request
	for {
		switch takeover.Settle(silent, other, over) {
		case takeover.Move:
			return takeover.TakenOver
		case takeover.Keep:
			return r.letGo(ctx, a, next, other)
		case takeover.Wait:
		}
		select {
		case <-written:
			written, since = nil, time.Now()
			if next.from != "" {
				a.useCopy()
			}
			if r.h.opts.Feed.View().Config.Engine(r.service) != nil {
				overlap.Reset(takeover.Overlap)
			}
		case s := <-a.inbox():
			a.putBack(s)
			silent = s.state()
		case s := <-next.inbox():
			next.putBack(s)
			other = s.state()
		case <-overlap.C:
			silentAnswers, otherAnswers := r.bothAsked(ctx, a, next, why)
			over = takeover.Over(silentAnswers, otherAnswers, time.Since(since))
			overlap.Reset(takeover.Overlap)
		case <-ctx.Done():
			return r.letGo(ctx, a, next, takeover.Quiet)
		}
	}
}

// bothAsked asks the engines of two attempts for a sign of life.
func (r *relay) bothAsked(ctx context.Context, a, next *attempt, why error) (silent, other bool) {
	var both sync.WaitGroup
	both.Go(func() { silent = r.answers(ctx, a, why) })
	both.Go(func() {
		_, err := r.h.probe(ctx, next.at.server, askLimit)
		other = err == nil
	})
	both.Wait()
	return silent, other
}

// letGo ends an attempt that was to take an answer over.
func (r *relay) letGo(ctx context.Context, a, next *attempt, other takeover.State) takeover.Outcome {
	if other != takeover.Broken {
		next.end(legAborted)
		r.log(next.leg, legAborted, errNotNeeded)
		return takeover.NotNeeded
	}
	s := <-next.inbox()
	if s.opened.reply.Misdirected {
		a.copyUsed = false // it was asked for at an engine that does not have it
	}
	end, err := r.notTaken(ctx, next.leg, *s.opened)
	next.answer = s.opened.resp
	next.end(end)
	r.log(next.leg, end, err)
	return takeover.TurnedAway
}

// notTaken learns from a server that did not take an answer over.
func (r *relay) notTaken(ctx context.Context, l leg, o opened) (legEnd, error) {
	switch {
	case o.err != nil:
		return r.failure(ctx, l, o.err)
	case o.reply.NotRun:
		r.runs--
		return r.turnedAway(ctx, l, o)
	case o.resp.StatusCode == http.StatusOK:
		return r.failure(ctx, l, errNoProof)
	}
	r.exclude(l)
	return legBroken, errors.Errorf("status %d", o.resp.StatusCode)
}

// state is what a signal shows of its server.
func (s signal) state() takeover.State {
	switch {
	case s.opened != nil && s.opened.stream():
		return takeover.Speaks
	case s.opened == nil && (s.event.err == nil || s.event.err == io.EOF):
		return takeover.Speaks
	}
	return takeover.Broken
}

// exclude keeps the server of a leg from being chosen again for this request.
func (r *relay) exclude(l leg) {
	if life := l.at.server.Life(); !slices.Contains(r.failed, life) {
		r.failed = append(r.failed, life)
	}
}
