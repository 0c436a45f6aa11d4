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

// reportLag is how old an engine's report may be.
const reportLag = 150 * time.Millisecond

// stopOrder says whether a run was asked to stop before or after the response continued elsewhere.
type stopOrder string

const (
	stopBefore stopOrder = "before"
	stopAfter  stopOrder = "after"
)

// pendingStop is a run of this request that is being stopped at an engine.
type pendingStop struct {
	server routing.Incarnation
	cancel context.CancelFunc
	done   chan struct{} // closed when the engine is not asked any more
}

// stopBeforeResume makes the engine of an attempt stop its run before the response continues with segment l. It
// returns the segment that continues the response, which resumes from the state at the stop if it can, and
// reports whether the run has ended.
func (r *relay) stopBeforeResume(ctx context.Context, a *attempt, l segment) (segment, bool) {
	stopper := r.h.newRunStopper(r.service)
	if stopper == nil {
		return l, false
	}
	startedAt, server := time.Now(), a.target.server
	ctx, cancel := context.WithTimeout(ctx, takeover.StopTimeout(l.resumeFrom != ""))
	defer cancel()
	run, err := stopper.stop(ctx, r.in.call.ID, server, l.target.server.Address)
	r.recordStop(server, stopBefore, run.result, startedAt, err)
	a.runEnded = run.result.HasEnded()
	switch {
	case run.result == takeover.StoppedCopied:
		l.resumeFrom = replicaName(server, run.handle)
	case run.result == takeover.StoppedKept && l.resumeFrom == "" && r.tryAcquirePermit(ctx, a.target):
		l = r.resumeAtOwnEngine(a, l, run.handle)
	default:
		go stopper.free(r.in.call.ID, server, run.handle)
	}
	return l, a.runEnded
}

// resumeAtOwnEngine returns the segment that continues a stopped run at its own engine in place of segment l.
func (r *relay) resumeAtOwnEngine(a *attempt, l segment, handle string) segment {
	r.releaseLeg(l)
	r.h.pool.addLoad(a.target, 1, 0, 0)
	l.target, l.resumeFrom = a.target, replicaName(a.target.server, handle)
	if l.copyTo.server.Incarnation() == a.target.server.Incarnation() {
		l.copyTo = choice{}
	}
	return l
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
	if a.runEnded || !leavesRun(end, err) || r.h.opts.Feed.View().Config.Engine(r.service) == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), takeover.MaxStopTime)
	stop := pendingStop{server: a.target.server.Incarnation(), cancel: cancel, done: make(chan struct{})}
	r.stops = append(r.stops, stop)
	startedAt, server, target := time.Now(), a.target.server, a.copyTarget()
	go func() {
		defer cancel()
		defer close(stop.done)
		result, stopErr := r.h.endRun(ctx, r.in.call.ID, server, target)
		r.recordStop(server, stopAfter, result, startedAt, stopErr)
	}()
}

// endRun stops a run at an engine. Of an engine that stops no runs on request, it finds out whether the run goes on.
func (h *Handler) endRun(ctx context.Context, id string, server routing.Server, target string) (takeover.StopResult, error) {
	if stopper := h.newRunStopper(server.Service); stopper != nil {
		return stopper.stopSoon(ctx, id, server, target)
	}
	pause.For(ctx, reportLag)
	report, err := h.probe(ctx, server, probeTimeout)
	switch {
	case errors.Is(err, errRestarted), err != nil && !sent.IsTimeout(err) && h.serverStateAt(server.Address) == sent.ServerExited:
		return takeover.ProcessExited, nil
	case err != nil:
		return takeover.StopUnanswered, err
	}
	if _, listed := report.Events[id]; listed {
		return takeover.StopRefused, nil
	}
	return takeover.NotRunning, nil
}

// recordStop records the result of stopping a run.
func (r *relay) recordStop(server routing.Server, order stopOrder, result takeover.StopResult, startedAt time.Time, err error) {
	r.h.metrics.leftRuns.WithLabelValues(string(order), result.String()).Inc()
	r.h.opts.Log.Emit(event.RunLeft, r.in.call.ID, server.ID, string(order), result.String(), time.Since(startedAt), err)
}

// awaitStop waits until an engine is not asked any more to stop an earlier run of the request, for that would stop
// the next one as well.
func (r *relay) awaitStop(server routing.Incarnation) {
	r.stops = slices.DeleteFunc(r.stops, func(s pendingStop) bool {
		if s.server != server {
			return false
		}
		timer := time.NewTimer(stopCallTimeout)
		defer timer.Stop()
		select {
		case <-s.done:
		case <-timer.C:
			s.cancel()
			<-s.done
		}
		return true
	})
}

// copyTarget returns the address of the engine that receives copies of the run; the engine's own if none does.
func (a *attempt) copyTarget() string {
	if a.copyTo.load != nil {
		return a.copyTo.server.Address
	}
	return a.target.server.Address
}
