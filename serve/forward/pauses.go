package forward

import (
	"math/rand/v2"
	"time"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/cooldown"
	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/telemetry/event"
)

// observePause records the pause that a server asks for in its response to a request sent at the given
// time, or that it served the request.
func (l *serverLimits) observePause(s routing.Server, sent time.Time, reply Reply) {
	pause, asked, err := cooldown.ParsePause(reply.RetryAfter)
	if err != nil {
		l.h.opts.Log.Emit(event.ServerPauseUnreadable, s.ID, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if asked {
		if l.entry(s).pause.Ask(time.Now(), pause, rand.Float64()) {
			l.h.metrics.serverNotices.WithLabelValues(noticePause).Inc()
			l.h.opts.Log.Emit(event.ServerPaused, s.ID, s.Service, pause)
		}
		return
	}
	if state := l.servers[s.Incarnation()]; state != nil && !reply.NotRun && state.pause.Served(sent) {
		l.h.opts.Log.Emit(event.ServerServesAgain, s.ID, s.Service)
	}
}

// tryEndPause reports whether a request may be sent to a server at once with regard to its pause. After
// the pause, it permits single requests.
func (l *serverLimits) tryEndPause(s routing.Server) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.servers[s.Incarnation()]
	return state == nil || state.pause.TrySend(time.Now())
}

// isPaused reports whether a server asked for a pause that has not ended.
func (l *serverLimits) isPaused(s routing.Server) bool { return l.pauseOf(s).Left(time.Now()) > 0 }

// pauseOf returns a copy of a server's pause.
func (l *serverLimits) pauseOf(s routing.Server) *cooldown.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	if state := l.servers[s.Incarnation()]; state != nil {
		pause := state.pause
		return &pause
	}
	return &cooldown.State{}
}

// allPaused reports whether no server of a service takes a request now because each has asked for a
// pause, and returns the time until the first one does.
func (l *serverLimits) allPaused(service string) (wait time.Duration, all bool) {
	now := time.Now()
	for _, s := range l.h.pool.openServers(l.h.opts.Feed.View(), service) {
		left := l.pauseOf(s).Wait(now)
		if left == 0 {
			return 0, false
		}
		if !all || left < wait {
			wait, all = left, true
		}
	}
	return wait, all
}

// allPausedError returns the refusal of a request if all servers of its service pause, nil otherwise.
func (h *Handler) allPausedError(service string, v verdict.Verdict) error {
	wait, all := h.limits.allPaused(service)
	if !all {
		return nil
	}
	h.metrics.overloadRefusals.WithLabelValues(reasonPaused).Inc()
	return verdict.New(v, verdict.CodeOverloaded, "all backend servers have asked for a pause").WithRetryAfter(cooldown.RetryAfter(wait, rand.Float64()))
}
