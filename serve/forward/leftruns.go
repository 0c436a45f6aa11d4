package forward

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/pause"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/external/sent"
	"mallowwind.dev/telemetry/event"
)

// leftRunCheckDelay is the time from the end of an attempt until its engine is asked whether the run goes
// on. It is longer than the lag of a report.
const leftRunCheckDelay = 150 * time.Millisecond

// leftRunState is what an engine reports of a run that its stream has left.
type leftRunState uint8

const (
	leftRunEnded   leftRunState = iota // the engine does not list the run
	leftRunWorking                     // the engine works on it although its connection is closed
	leftRunUnknown                     // the engine does not answer
	leftRunExited                      // the engine's process has exited
)

// String returns the name used in logs and metrics.
func (s leftRunState) String() string {
	return [...]string{"ended", "working", "unknown", "exited"}[s]
}

// leavesRun reports whether an attempt may have ended before its run at the engine did, while the response
// continues elsewhere.
func leavesRun(end segmentEnd, err error) bool {
	switch end {
	case segmentBroken, segmentMoved:
		return !errors.Is(err, errRestarted)
	case segmentAborted:
		return errors.Is(err, errTakeoverCancelled)
	}
	return false
}

// observeLeftRun finds out in the background whether the engine of an attempt that has ended still works on
// its run.
func (r *relay) observeLeftRun(a *attempt, end segmentEnd, err error) {
	if !leavesRun(end, err) || r.h.opts.Feed.View().Config.Engine(r.service) == nil {
		return
	}
	id, server := r.in.call.ID, a.target.server
	go func() {
		pause.For(context.Background(), leftRunCheckDelay)
		state, events := r.h.leftRunState(id, server)
		r.h.metrics.leftRuns.WithLabelValues(end.String(), state.String()).Inc()
		r.h.opts.Log.Emit(event.RunLeft, id, server.ID, end.String(), state.String(), events, err)
	}()
}

// leftRunState asks an engine whether it works on a run, and how many events the run has generated.
func (h *Handler) leftRunState(id string, server routing.Server) (leftRunState, int) {
	report, err := h.probe(context.Background(), server, probeTimeout)
	switch {
	case errors.Is(err, errRestarted), err != nil && !sent.IsTimeout(err) && h.serverStateAt(server.Address) == sent.ServerExited:
		return leftRunExited, 0
	case err != nil:
		return leftRunUnknown, 0
	}
	events, listed := report.Events[id]
	if !listed {
		return leftRunEnded, 0
	}
	return leftRunWorking, events
}
