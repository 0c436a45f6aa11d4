package forward

import (
	"context"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"

	"mallowwind.dev/control/pause"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/takeover"
	"mallowwind.dev/telemetry/event"
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

// runStop is a run that its engine is being asked to stop. The result is set once done is closed.
type runStop struct {
	id     string // of the request
	server routing.Server
	// begun is set if the run has begun for certain. Otherwise the request may wait in the engine's queue,
	// where it is no run yet.
	begun  bool
	cancel context.CancelFunc // ends the repetition; a call that the engine has received is waited for
	done   chan struct{}

	result takeover.StopResult
	handle string // of the state that the engine keeps; "" if it keeps none
	err    error

	// holders counts who may still resume from the state: the stop itself while it is under way, and the
	// relay. The last one frees the state.
	holders atomic.Int32
}

// isDone reports whether the engine is not asked any more.
func (s *runStop) isDone() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// start asks the engine of s to stop, and to copy the state of the run to the engine at target, until the run has ended,
// s is cancelled or takeover.MaxStopTime has passed. Then it calls onDone.
func (p *runStopper) start(s *runStop, target string, onDone func()) {
	calls, cancelCalls := context.WithTimeout(context.Background(), takeover.MaxStopTime)
	var repeats context.Context
	repeats, s.cancel = context.WithCancel(calls)
	s.done = make(chan struct{})
	s.holders.Store(2)
	go func() {
		defer cancelCalls()
		for failed := 0; ; failed++ {
			s.result, s.handle, s.err = p.call(calls, s, target)
			mayBegin := s.result == takeover.NotRunning && !s.begun
			if s.result.HasEnded() && !mayBegin || !pause.For(repeats, takeover.StopDelay(failed)) {
				break
			}
		}
		close(s.done)
		onDone()
		p.release(s)
	}()
}

// call asks the engine once. It waits for the reply, which comes when the state is copied: an engine that has received
// the request stops the run even if nobody waits.
func (p *runStopper) call(ctx context.Context, s *runStop, target string) (takeover.StopResult, string, error) {
	path, body, err := p.codec.StopRequest(s.id, target)
	if err != nil {
		return takeover.StopRefused, "", err
	}
	answer, err := p.h.callServer(ctx, http.MethodPost, s.server, path, body)
	status := http.StatusOK
	var other statusError
	switch {
	case errors.As(err, &other):
		status = other.status
	case err != nil && ctx.Err() == nil && p.h.hasExited(s.server.Address, err):
		return takeover.ProcessExited, "", nil
	case err != nil:
		return takeover.StopUnanswered, "", err
	}
	result, handle := p.codec.ParseStopReply(status, answer)
	return result, handle, nil
}

// release gives up the state of a stopped run for one of its holders.
func (p *runStopper) release(s *runStop) {
	if s.holders.Add(-1) > 0 || s.handle == "" {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), dropTimeout)
		defer cancel()
		if _, err := p.h.callServer(ctx, http.MethodDelete, s.server, p.codec.DropPath(s.handle), nil); err != nil {
			// The engine frees it by itself some seconds later.
			p.h.opts.Log.Emit(event.CopyFailed, s.id, s.server.ID, "", errors.Wrap(err, "drop"))
		}
	}()
}
