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

// errNotNeeded means that the server before a leg responded again.
var errNotNeeded = errors.New("forward: the server before responded again")

// patience is how long an attempt may be silent. An answer that may not go on elsewhere is
// waited for as long as its caller waits.
func (r *relay) patience(a *attempt) time.Duration {
	if !r.in.route.Resumable {
		return time.Until(r.in.until)
	}
	return takeover.MaxSilence(a.hasCopy(), r.in.route.GapTarget)
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
	outcome := takeover.Rejected
	for outcome == takeover.Rejected {
		var next *attempt
		if outcome, next = r.prepare(ctx, a, why); next == nil {
			break
		}
		if outcome = r.awaitEither(ctx, a, next, why); outcome == takeover.TakenOver {
			r.discard(a)
			r.taken = next
			return true
		}
	}
	r.stuck = takeover.ShouldGiveUp(outcome, time.Since(r.since)) && r.unreachable(ctx, a, why) &&
		r.lastSignal(ctx, a) == takeover.Silent
	r.h.metrics.stayed.WithLabelValues(outcome.String()).Inc()
	r.h.opts.Log.Emit(event.LegKept, r.in.call.ID, a.at.server.ID, why, outcome.String(), r.stuck, r.after, time.Since(r.since))
	return r.stuck
}

// prepare finds the server where a silent attempt may go on and sends the request there,
// unless the silent one responds first. The relay waits meanwhile for one or the other,
// so that what is found may be written to it.
func (r *relay) prepare(ctx context.Context, a *attempt, why error) (takeover.Outcome, *attempt) {
	asking, stop := context.WithCancel(ctx)
	defer stop()
	var l leg
	var outcome takeover.Outcome
	done := make(chan struct{})
	go func() {
		defer close(done)
		l, outcome = r.reserve(asking, a, why)
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

// discard drops what a silent attempt still had to say before its answer goes on elsewhere.
func (r *relay) discard(a *attempt) {
	if o := a.leftover(); o != nil && o.err == nil && o.reply.NotRun {
		r.runs--
	}
}

// awaitEither waits for the first signal of the server that was sent the request after a
// silent one, and lets go of it unless the answer goes on there.
func (r *relay) awaitEither(ctx context.Context, a, next *attempt, why error) takeover.Outcome {
	silent, other := takeover.Silent, takeover.Silent
	overlap := time.NewTimer(time.Hour)
	defer overlap.Stop()
	written, over := next.written, false
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
			if next.from != "" {
				a.useCopy()
			}
			if r.h.opts.Feed.View().Config.Engine(r.service) != nil {
				overlap.Reset(takeover.MaxOverlap)
			}
		case s := <-a.inbox():
			a.putBack(s)
			silent = s.state()
		case s := <-next.inbox():
			next.putBack(s)
			other = s.state()
		case <-overlap.C:
			silentAnswers, otherAnswers := r.bothAsked(ctx, a, next, why)
			over = takeover.IsOverlapOver(silentAnswers, otherAnswers, time.Since(since))
			if over {
				silent = r.lastSignal(ctx, a)
			}
			overlap.Reset(takeover.MaxOverlap)
		case <-ctx.Done():
			return r.cancelTakeover(ctx, a, next, takeover.Silent)
		}
	}
}

// lastSignal is what a silent attempt shows at last, before it is let go of. Its signal is put
// back.
//
// The failure it guards against: the link from here is held up and free again while engines
// are asked whether they respond. What was held up has arrived by the time the questions have
// failed, and the answer is cut although it went on. It holds because what is on its way comes
// no later than the answer of another engine that shows that the link works.
func (r *relay) lastSignal(ctx context.Context, a *attempt) takeover.ServerState {
	settled := time.NewTimer(takeover.SettleTime)
	defer settled.Stop()
	select {
	case s := <-a.inbox():
		a.putBack(s)
		return s.state()
	case <-settled.C:
	case <-ctx.Done():
	}
	return takeover.Silent
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

// cancelTakeover ends an attempt that was to take an answer over.
func (r *relay) cancelTakeover(ctx context.Context, a, next *attempt, other takeover.ServerState) takeover.Outcome {
	if other != takeover.Broken {
		r.over(next, legAborted, errNotNeeded)
		return takeover.NotNeeded
	}
	s := <-next.inbox()
	if s.opened.reply.Misdirected {
		a.copyUsed = false // it was asked for at an engine that does not have it
	}
	end, err := r.refusedTakeover(ctx, next.leg, *s.opened)
	next.answer = s.opened.resp
	r.over(next, end, err)
	return takeover.Rejected
}

// refusedTakeover learns from a server that did not take an answer over.
func (r *relay) refusedTakeover(ctx context.Context, l leg, o opened) (legEnd, error) {
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
func (s signal) state() takeover.ServerState {
	switch {
	case s.opened != nil && s.opened.stream():
		return takeover.Responding
	case s.opened == nil && (s.event.err == nil || s.event.err == io.EOF):
		return takeover.Responding
	}
	return takeover.Broken
}

// exclude keeps the server of a leg from being chosen again for this request.
func (r *relay) exclude(l leg) {
	if life := l.at.server.Life(); !slices.Contains(r.failed, life) {
		r.failed = append(r.failed, life)
	}
}
