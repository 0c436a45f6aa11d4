package forward

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/cooldown"
	"mallowwind.dev/decision/quota"
	"mallowwind.dev/peer/peerpb"
	"mallowwind.dev/telemetry/event"
)

// limitTimeout is the timeout for telling one daemon of a limit.
const limitTimeout = 300 * time.Millisecond

// serverLimits tracks the servers that announce a rate limit or ask for a pause, and when this daemon
// may send them requests or request permits for them. It also issues permits for the servers assigned
// to this daemon. Its lock is taken after that of the pool.
type serverLimits struct {
	h *Handler

	mu      sync.Mutex // guards the fields below
	servers map[routing.Incarnation]*serverLimit
}

// serverLimit is the state of one incarnation of a server that announced a limit or asked for a pause.
type serverLimit struct {
	server         routing.Server
	limit          quota.Limit
	broadcasts     quota.BroadcastPacer
	permitRequests quota.PermitPoller
	permits        quota.TokenBucket // issued by this daemon
	lastRequested  time.Time         // when another daemon last requested a permit here
	fallback       quota.TokenBucket // this daemon's share, used while no permit issuer answers
	pause          cooldown.State
}

func newServerLimits(h *Handler) *serverLimits {
	return &serverLimits{h: h, servers: map[routing.Incarnation]*serverLimit{}}
}

// observeReply records what a server states in its response to a request sent at the given time.
func (l *serverLimits) observeReply(s routing.Server, sent time.Time, reply Reply) {
	l.observeRate(s, sent, reply.RateLimit, reply.Authentic && !reply.NotRun)
	l.observePause(s, sent, reply)
}

// observeRate records the limit in a server's answer to a request sent at the given time. ran says
// that the answer comes from a run: a rejection without a limit does not mean that the limit is
// lifted.
func (l *serverLimits) observeRate(s routing.Server, sent time.Time, text string, ran bool) {
	rate, named, err := quota.ParseRate(text)
	if err != nil {
		l.h.opts.Log.Emit(event.ServerLimitUnreadable, s.ID, err)
	}
	if !named && !ran {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !named && l.servers[s.Incarnation()] == nil {
		return
	}
	state := l.entry(s)
	if change := state.limit.ObserveResponse(sent, time.Now(), rate, named); change != quota.Unchanged {
		l.logChange(state, change, "answer")
		l.scheduleBroadcast(state)
	}
}

// scheduleBroadcast arranges for the other daemons to be told of a limit, now or shortly. The
// caller holds the lock.
func (l *serverLimits) scheduleBroadcast(state *serverLimit) {
	after, ok := state.broadcasts.Schedule(time.Now())
	if !ok {
		return
	}
	time.AfterFunc(after, func() {
		l.mu.Lock()
		state.broadcasts.MarkSent(time.Now())
		m := state.message()
		l.mu.Unlock()
		l.broadcast(m)
	})
}

// entry returns the state of a server and creates it if needed. The caller holds the lock.
func (l *serverLimits) entry(s routing.Server) *serverLimit {
	state := l.servers[s.Incarnation()]
	if state == nil {
		l.prune()
		state = &serverLimit{server: s, fallback: quota.NewDaemonBucket(rand.Float64())}
		l.servers[s.Incarnation()] = state
	}
	return state
}

// prune forgets incarnations that the view no longer lists, except for pauses that have not ended: the
// server may be listed again. The caller holds the lock.
func (l *serverLimits) prune() {
	for incarnation, state := range l.servers {
		if _, listed := l.h.findServer(incarnation); !listed && state.pause.Left(time.Now()) == 0 {
			delete(l.servers, incarnation)
		}
	}
}

func (l *serverLimits) logChange(state *serverLimit, change quota.Change, by string) {
	l.h.metrics.limitChanges.WithLabelValues(change.String()).Inc()
	rate, _ := state.limit.Rate()
	known, confirmed := state.limit.Age(time.Now())
	l.h.opts.Log.Emit(event.ServerLimitChanged, state.server.ID, state.server.Service, change.String(), rate, by, known, confirmed)
}

// message returns the limit as other daemons are told of it. The caller holds the lock.
func (s *serverLimit) message() *peerpb.Limit {
	rate, named := s.limit.Rate()
	return &peerpb.Limit{Server: s.server.ID, Born: s.server.StartedAtMS, Named: named, Rate: rate}
}

// broadcast tells all other daemons of a limit. A daemon that misses the message learns the limit
// from the next answer it gets.
func (l *serverLimits) broadcast(m *peerpb.Limit) {
	q := &peerpb.LimitedRequest{Limit: m}
	l.h.peers.broadcast(l.h.opts.Feed.View(), func(ctx context.Context, vm routing.VM) error {
		_, err := callPeer(ctx, l.h.peers, vm, peerpb.NewQuotaProtobufClient, peerpb.Quota.Limited, q, limitTimeout)
		return err
	})
}

// observePeer records a limit reported by another daemon.
func (l *serverLimits) observePeer(m *peerpb.Limit) {
	s, ok := l.h.findServer(routing.Incarnation{ID: m.GetServer(), StartedAtMS: m.GetBorn()})
	if !ok {
		return // its registration has not arrived here; its own answers will tell
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.entry(s)
	if change := state.limit.ObservePeer(time.Now(), m.GetRate(), m.GetNamed()); change != quota.Unchanged {
		l.logChange(state, change, "told")
	}
}

// active returns the state of a server that currently has a limit, and nil for any other. The
// caller holds the lock.
func (l *serverLimits) active(s routing.Server) *serverLimit {
	state := l.servers[s.Incarnation()]
	if state == nil {
		return nil
	}
	if _, named := state.limit.Rate(); !named {
		return nil
	}
	return state
}

// findServer returns the server with an incarnation, if the view lists it.
func (h *Handler) findServer(incarnation routing.Incarnation) (routing.Server, bool) {
	s, ok := h.opts.Feed.View().Server(incarnation.ID)
	return s, ok && s.Incarnation() == incarnation
}
