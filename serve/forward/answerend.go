package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/pause"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/external/sent"
)

const (
	// minRestartTime is the least time in which a process exits and another one, once started, takes its port.
	minRestartTime = 250 * time.Millisecond
	// healthTimeout bounds a request to a server's health path, which may wait for a slot of the server.
	healthTimeout = time.Second
	// maxProcessStateInterval bounds the time after which a server that did not tell its state is asked
	// again. Servers without a free slot reject these requests as well.
	maxProcessStateInterval = 400 * time.Millisecond
)

// awaitProcessState finds out whether the process runs to which a request was sent at sentAt. It asks again
// while that is unknown, until ctx ends, the server is no longer listed, or nothing can tell.
//
// It guards against a whole response that counts as broken because its server, which ended it with the
// connection, was silent in the next moment.
func (h *Handler) awaitProcessState(ctx context.Context, s routing.Server, sentAt time.Time) sent.ServerState {
	for interval := recoveryPollInterval; ; interval = min(2*interval, maxProcessStateInterval) {
		state := h.processState(ctx, s, sentAt)
		if state != sent.ServerUnknown || !h.isListed(s) || !h.canTellProcess(s, sentAt) || !pause.For(ctx, interval) {
			return state
		}
	}
}

// processState finds out whether the process runs to which a request was sent at sentAt. A connection shows
// that some process runs at the address, which is the same one only shortly after the request: its response
// may have ended long ago, because its bytes wait for a caller that reads slowly, for lost packets and for
// this daemon.
//
// It guards against part of a response that counts as whole because another process has taken the port.
func (h *Handler) processState(ctx context.Context, s routing.Server, sentAt time.Time) sent.ServerState {
	state := h.reportedState(s)
	if state != sent.ServerUnknown {
		return state
	}
	if time.Since(sentAt) < minRestartTime || h.healthPath(s) == "" {
		state = h.serverStateAt(s.Address)
		if state != sent.ServerRuns || time.Since(sentAt) < minRestartTime {
			return state
		}
	}
	return h.askProcessState(ctx, s)
}

// canTellProcess reports whether processState may still find out more than that a port is closed.
func (h *Handler) canTellProcess(s routing.Server, sentAt time.Time) bool {
	statesStart := s.StartedAtMS > 0 && h.opts.Feed.View().Config.Engine(s.Service) != nil
	return statesStart || h.healthPath(s) != "" || time.Since(sentAt) < minRestartTime
}

// reportedState finds out by an engine's report whether its process runs. It is unknown if the report does
// not state when the process started.
func (h *Handler) reportedState(s routing.Server) sent.ServerState {
	if h.opts.Feed.View().Config.Engine(s.Service) == nil || h.limits.isPaused(s) {
		return sent.ServerUnknown
	}
	report, err := h.probe(context.Background(), s, probeTimeout)
	switch {
	case errors.Is(err, errRestarted):
		return sent.ServerExited
	case err == nil && report.Born > 0 && report.Born == s.StartedAtMS:
		return sent.ServerRuns
	}
	return sent.ServerUnknown
}

func (h *Handler) healthPath(s routing.Server) string {
	return h.opts.Feed.View().Config.HealthPath(s.Service)
}

// askProcessState asks whichever process has the address of a server whether it is that of the server.
func (h *Handler) askProcessState(ctx context.Context, s routing.Server) sent.ServerState {
	path := h.healthPath(s)
	if path == "" || !h.limits.acquire(ctx, s) {
		return sent.ServerUnknown
	}
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Address+path, nil)
	if err != nil {
		return sent.ServerUnknown // the path of the configuration is not valid
	}
	req.Header = h.opts.Codec.Outgoing(http.Header{}, UpstreamRequest{Server: s, Timeout: healthTimeout, Priority: -1})
	askedAt := time.Now()
	resp, err := h.transport.RoundTrip(req)
	switch {
	case err == nil:
	case errors.Is(err, errNotSent) && !sent.IsTimeout(err) && ctx.Err() == nil:
		return sent.ServerExited // its port is closed
	default:
		return sent.ServerUnknown
	}
	defer resp.Body.Close()
	state := h.opts.Codec.ProcessState(s, resp.StatusCode, resp.Header)
	if state == sent.ServerRuns && h.isKnownToHaveExited(s) {
		return sent.ServerExited // it has restarted under its ID
	}
	if state != sent.ServerExited {
		h.observeReply(s, askedAt, h.opts.Codec.Reply(resp.StatusCode, resp.Header))
	}
	return state
}

// isKnownToHaveExited reports whether the process of a server is known to have exited, or the view lists a
// later one under its ID.
func (h *Handler) isKnownToHaveExited(s routing.Server) bool {
	current, listed := h.opts.Feed.View().Server(s.ID)
	return listed && s.Incarnation().Before(current.Incarnation()) || h.exits.isBefore(s.Incarnation(), time.Now())
}
