package forward

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/pause"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/takeover"
	"mallowwind.dev/external/sent"
	"mallowwind.dev/telemetry/event"
)

// stopOrder says whether a run was asked to stop before or after its response was left.
type stopOrder string

const (
	stopBefore stopOrder = "before"
	stopAfter  stopOrder = "after"
)

// leftRun is a run of this request that was asked to stop.
type leftRun struct {
	*runStop
	stopper *runStopper
	order   stopOrder
	settled bool // its state was used or released
	// abandoned is set once the response stays at the engine, which is not asked any more.
	abandoned bool
}

// abandon ends the stop, because the response stays at the engine.
func (l *leftRun) abandon() {
	l.abandoned = true
	l.cancel()
}

// hasFailed reports whether the run may go on although its engine is not asked to stop it any more.
func (l *leftRun) hasFailed() bool { return l.abandoned || l.isDone() && !l.result.HasEnded() }

// stopRun starts to ask the engine of an attempt to stop its run, and to copy the state to the engine at target. It
// returns nil if the engine cannot be asked. A stop under way is not started again.
func (r *relay) stopRun(a *attempt, order stopOrder, target string) *leftRun {
	stopper := r.h.newRunStopper(r.service)
	if stopper == nil {
		return nil
	}
	if a.left != nil && !a.left.hasFailed() {
		return a.left
	}
	startedAt := time.Now()
	stop := &runStop{id: r.in.call.ID, server: a.target.server, begun: !a.firstEventAt.IsZero()}
	a.left = &leftRun{runStop: stop, stopper: stopper, order: order}
	r.left = append(r.left, a.left)
	stopper.start(stop, target, func() { r.recordStop(stop.server, order, stop.result, startedAt, stop.err) })
	return a.left
}

// awaitStopped waits for the result of a stop, for limit at most. If a part of the response arrives meanwhile, it
// waits for takeover.SettleTime more: the part may have been sent before the stop.
func (r *relay) awaitStopped(ctx context.Context, a *attempt, l *leftRun, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	parts := a.nextParts()
	for {
		select {
		case <-l.done:
			return
		case s := <-parts:
			a.pushBack(s)
			parts = nil
			timer.Reset(takeover.SettleTime)
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// isStopped reports whether the run of an attempt has ended at the request of this daemon. If the engine did not run
// it, what has arrived of the response counts: it may be complete.
func (r *relay) isStopped(ctx context.Context, a *attempt) bool {
	if a.left == nil || !a.left.isDone() {
		return false
	}
	if a.left.result == takeover.NotRunning {
		return r.awaitLatePart(ctx, a) != takeover.Responding
	}
	return a.left.result.HasEnded()
}

// isCutByStop reports whether a stream that ended with its connection may be incomplete, because its engine was asked to
// stop the run. The engine closes the connection then as it does after the last event.
func (r *relay) isCutByStop(ctx context.Context, a *attempt) bool {
	if a.left == nil || !sent.IsCloseDelimited(a.response) {
		return false
	}
	timer := time.NewTimer(takeover.StopTimeoutWithoutCopy)
	defer timer.Stop()
	select {
	case <-a.left.done:
		return a.left.result != takeover.NotRunning && a.left.result != takeover.StopRefused
	case <-timer.C:
	case <-ctx.Done():
	}
	return true
}

// stopBeforeResume stops the run of an attempt before the response continues with segment l. It returns the segment,
// which resumes from the state at the stop if its engine got that, and reports whether the response stays at the
// attempt, because it was complete or its engine has gone on.
func (r *relay) stopBeforeResume(ctx context.Context, a *attempt, l segment) (next segment, stays bool) {
	stop := r.stopRun(a, stopBefore, l.target.server.Address)
	if stop == nil {
		return l, false
	}
	r.awaitStopped(ctx, a, stop, takeover.StopTimeout(l.resumeFrom != ""))
	if !r.isStopped(ctx, a) {
		if stays = len(a.pushedBack) > 0; stays {
			stop.abandon()
		}
		return l, stays
	}
	a.runEnded = true
	if stop.result == takeover.StoppedCopied && a.hasProgressed() {
		l.resumeFrom = replicaName(a.target.server, stop.handle)
	}
	return l, false
}

// adoptState makes the state of a stopped run the copy from which the response resumes if the engine that is to
// continue it does not.
func (r *relay) adoptState(a *attempt) {
	left := a.left
	if left == nil || !a.hasProgressed() || left.order != stopBefore || !left.isDone() || left.handle == "" {
		return
	}
	r.heldCopy = replica{at: a.target, name: replicaName(a.target.server, left.handle), onDemand: true}
	r.excluded = slices.DeleteFunc(r.excluded, func(life routing.Incarnation) bool { return life == a.target.server.Incarnation() })
}

// hasProgressed reports whether the state of a run is worth resuming from. A run that was resumed and has sent nothing
// since may have a state from which no engine can go on.
func (a *attempt) hasProgressed() bool { return a.resumeFrom == "" || a.eventCount > 0 }

// settleStates frees the states of stopped runs that the response does not need any more.
func (r *relay) settleStates() {
	for _, l := range r.left {
		if !l.settled {
			l.settled = true
			l.stopper.release(l.runStop)
		}
	}
}

// markStateUsed records that a segment resumes from the state of a stopped run, which its engine then frees.
func (r *relay) markStateUsed(s segment) {
	for _, l := range r.left {
		if l.isDone() && l.handle != "" && s.resumeFrom == replicaName(l.server, l.handle) {
			l.settled = true
		}
	}
}

// leavesRun reports whether an attempt may have ended before its run at the engine did, while the response
// continues elsewhere.
func leavesRun(end segmentEnd, err error) bool {
	switch end {
	case segmentBroken, segmentMoved:
		return !errors.Is(err, errRestarted) && !errors.Is(err, errErrorResponse)
	case segmentAborted:
		return errors.Is(err, errTakeoverCancelled)
	}
	return false
}

// stopLeftRun makes sure in the background that the run of an attempt that has ended does not go on.
func (r *relay) stopLeftRun(a *attempt, end segmentEnd, err error) {
	if a.runEnded || a.left != nil && !a.left.hasFailed() || !leavesRun(end, err) || r.h.opts.Feed.View().Config.Engine(r.service) == nil {
		return
	}
	if left := r.stopRun(a, stopAfter, r.stateTarget(a)); left != nil {
		left.settled = true
		left.stopper.release(left.runStop)
		return
	}
	startedAt, server := time.Now(), a.target.server
	go func() {
		result, observeErr := r.h.observeRun(r.in.call.ID, server)
		r.recordStop(server, stopAfter, result, startedAt, observeErr)
	}()
}

// stateTarget returns the address of an engine that may receive the state of an attempt's run. An engine refuses to
// stop a run if it is to copy the state to itself.
func (r *relay) stateTarget(a *attempt) string {
	if a.copyTo.load != nil {
		return a.copyTo.server.Address
	}
	others := r.h.otherServers(a.target.server, func(s routing.Server) bool { return !s.Draining })
	if len(others) == 0 {
		return a.target.server.Address
	}
	return others[0].Address
}

// recordStop records the result of stopping a run.
func (r *relay) recordStop(server routing.Server, order stopOrder, result takeover.StopResult, startedAt time.Time, err error) {
	r.h.metrics.leftRuns.WithLabelValues(string(order), result.String()).Inc()
	r.h.opts.Log.Emit(event.RunLeft, r.in.call.ID, server.ID, string(order), result.String(), time.Since(startedAt), err)
}

// awaitStop waits until an engine is not asked any more to stop an earlier run of the request, for that would stop
// the next one as well.
func (r *relay) awaitStop(ctx context.Context, server routing.Incarnation) {
	for _, l := range r.left {
		if l.server.Incarnation() != server {
			continue
		}
		l.cancel()
		select {
		case <-l.done:
		case <-ctx.Done():
		}
	}
}

// observeRun finds out whether a run goes on at an engine that stops no runs on request.
func (h *Handler) observeRun(id string, server routing.Server) (takeover.StopResult, error) {
	pause.For(context.Background(), reportLag)
	report, err := h.probe(context.Background(), server, probeTimeout)
	switch {
	case err != nil && h.hasExited(server.Address, err):
		return takeover.ProcessExited, nil
	case err != nil:
		return takeover.StopUnanswered, err
	}
	if _, listed := report.Events[id]; listed {
		return takeover.StopRefused, nil
	}
	return takeover.NotRunning, nil
}

// reportLag is how old an engine's report usually is at most.
const reportLag = 150 * time.Millisecond
