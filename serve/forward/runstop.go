package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/pause"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/takeover"
	"mallowwind.dev/external/sent"
	"mallowwind.dev/telemetry/event"
)

const (
	// stopCallTimeout bounds one request to stop a run whose stream has continued elsewhere already.
	stopCallTimeout = 200 * time.Millisecond
	// maxStopRefusals is how often an engine may refuse to stop a run. One that is copying the run refuses
	// until the copy is complete.
	maxStopRefusals = 5
)

// runStopper stops runs at the engines of one service.
//
// It guards against two engines that work on one response: an engine that is paused, that does not notice that
// its connection was closed, or that lost the connection alone, goes on with its run after the response has
// continued at another engine.
type runStopper struct {
	h     *Handler
	codec RunStopper
}

// newRunStopper returns nil if the engines of a service do not stop runs on request.
func (h *Handler) newRunStopper(service string) *runStopper {
	codec, ok := h.opts.Codec.(RunStopper)
	engine := h.opts.Feed.View().Config.Engine(service)
	if !ok || engine == nil || !engine.CanCopy {
		return nil
	}
	return &runStopper{h: h, codec: codec}
}

// stoppedRun is a run that was asked to stop.
type stoppedRun struct {
	result takeover.StopResult
	handle string // of the KV cache that the engine keeps; "" if it keeps none
}

// stop asks an engine once to stop the run of a request and to copy its KV cache to the engine at target.
func (s *runStopper) stop(ctx context.Context, id string, server routing.Server, target string) (stoppedRun, error) {
	path, body, err := s.codec.StopRequest(id, target)
	if err != nil {
		return stoppedRun{result: takeover.StopRefused}, err
	}
	answer, err := s.h.callServer(ctx, http.MethodPost, server, path, body)
	status := http.StatusOK
	var other statusError
	switch {
	case errors.As(err, &other):
		status = other.status
	case err != nil && !sent.IsTimeout(err) && ctx.Err() == nil && s.h.serverStateAt(server.Address) == sent.ServerExited:
		return stoppedRun{result: takeover.ProcessExited}, nil
	case err != nil:
		return stoppedRun{}, err
	}
	result, handle := s.codec.ParseStopReply(status, answer)
	return stoppedRun{result, handle}, nil
}

// stopSoon asks an engine to stop a run until it has ended, the engine has refused often or ctx ends, and frees
// what the engine keeps of the run.
func (s *runStopper) stopSoon(ctx context.Context, id string, server routing.Server, target string) (result takeover.StopResult, err error) {
	refusals := 0
	for failed := 0; ; failed++ {
		var run stoppedRun
		call, cancelCall := context.WithTimeout(ctx, stopCallTimeout)
		run, err = s.stop(call, id, server, target)
		cancelCall()
		if run.result.HasEnded() {
			s.free(id, server, run.handle)
			return run.result, err
		}
		if run.result == takeover.StopRefused {
			refusals++
		}
		if refusals >= maxStopRefusals || !pause.For(ctx, takeover.StopDelay(failed)) {
			return run.result, err
		}
	}
}

// free frees the KV cache of a run that has stopped, at its engine and where the engine copied it.
func (s *runStopper) free(id string, server routing.Server, handle string) {
	if handle == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), dropTimeout)
	defer cancel()
	if _, err := s.h.callServer(ctx, http.MethodDelete, server, s.codec.DropPath(handle), nil); err != nil {
		// The engine frees it by itself some seconds later.
		s.h.opts.Log.Emit(event.CopyFailed, id, server.ID, "", errors.Wrap(err, "drop"))
	}
}
