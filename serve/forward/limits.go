package forward

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/quota"
	"mallowwind.dev/peer/peerpb"
	"mallowwind.dev/telemetry/event"
)

// limitTimeout is how long a daemon may take to hear of a limit.
const limitTimeout = 300 * time.Millisecond

// rateLimits knows which servers name a limit and when this daemon may ask for a permit for one, and
// gives out the permits for some of them.
type rateLimits struct {
	h *Handler

	mu      sync.Mutex // guards the rest
	servers map[routing.Incarnation]*serverLimit
}

// serverLimit is what is known of one life of a server that named a limit.
type serverLimit struct {
	server         routing.Server
	limit          quota.Limit
	broadcasts     quota.BroadcastPacer
	permitRequests quota.PermitPoller
	bucket         quota.TokenBucket // of the permits given out here
	lastRequested  time.Time         // by another daemon for a permit, last
	fallback       quota.TokenBucket // of this daemon's part, while no daemon that gives permits answers
}

func newRateLimits(h *Handler) *rateLimits {
	return &rateLimits{h: h, servers: map[routing.Incarnation]*serverLimit{}}
}

// observeReply takes in what a server says in the answer to a request sent at a moment. ran says
// that the answer is that of a run: a server that turns requests away does not say that its
// limit is over.
func (l *rateLimits) observeReply(s routing.Server, sent time.Time, text string, ran bool) {
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
	one := l.entry(s)
	if change := one.limit.ObserveResponse(sent, time.Now(), rate, named); change != quota.Unchanged {
		l.logChange(one, change, "answer")
		l.scheduleBroadcast(one)
	}
}

// scheduleBroadcast has the other daemons told of a limit, now or soon. The caller holds the lock.
func (l *rateLimits) scheduleBroadcast(one *serverLimit) {
	after, ok := one.broadcasts.Schedule(time.Now())
	if !ok {
		return
	}
	time.AfterFunc(after, func() {
		l.mu.Lock()
		one.broadcasts.MarkSent(time.Now())
		m := one.message()
		l.mu.Unlock()
		l.spread(m)
	})
}

// recordLimit takes in what an answer says of its server's limit, unless another server gave it.
func (h *Handler) recordLimit(s routing.Server, sent time.Time, reply Reply) {
	if !reply.Misdirected {
		h.limits.observeReply(s, sent, reply.RateLimit, reply.Authentic && !reply.NotRun)
	}
}

// entry is what is known of a server. The caller holds the lock.
func (l *rateLimits) entry(s routing.Server) *serverLimit {
	one := l.servers[s.Incarnation()]
	if one == nil {
		l.forgetGone()
		one = &serverLimit{server: s, fallback: quota.NewDaemonBucket(rand.Float64())}
		l.servers[s.Incarnation()] = one
	}
	return one
}

// forgetGone forgets servers whose lives have ended. The caller holds the lock.
func (l *rateLimits) forgetGone() {
	there := map[routing.Incarnation]bool{}
	for _, servers := range l.h.opts.Feed.View().Servers {
		for _, s := range servers {
			there[s.Incarnation()] = true
		}
	}
	for life := range l.servers {
		if !there[life] {
			delete(l.servers, life)
		}
	}
}

func (l *rateLimits) logChange(one *serverLimit, change quota.Change, by string) {
	l.h.metrics.limitChanges.WithLabelValues(change.String()).Inc()
	rate, _ := one.limit.Rate()
	known, confirmed := one.limit.Age(time.Now())
	l.h.opts.Log.Emit(event.ServerLimitChanged, one.server.ID, one.server.Service, change.String(), rate, by, known, confirmed)
}

// message is what other daemons are told of a server. The caller holds the lock.
func (one *serverLimit) message() *peerpb.Limit {
	rate, named := one.limit.Rate()
	return &peerpb.Limit{Server: one.server.ID, Born: one.server.StartedAtMS, Named: named, Rate: rate}
}

// spread tells all other daemons of a limit. One that does not hear of it learns it from its
// own next answer.
func (l *rateLimits) spread(m *peerpb.Limit) {
	q := &peerpb.LimitedRequest{Limit: m}
	l.h.neighbours.tellAll(l.h.opts.Feed.View(), func(ctx context.Context, vm routing.VM) error {
		_, err := callPeer(ctx, l.h.neighbours, vm, peerpb.NewQuotaProtobufClient, peerpb.Quota.Limited, q, limitTimeout)
		return err
	})
}

// observePeer takes in what another daemon says of a server.
func (l *rateLimits) observePeer(m *peerpb.Limit) {
	s, ok := l.h.findServer(routing.Incarnation{ID: m.GetServer(), StartedAtMS: m.GetBorn()})
	if !ok {
		return // its entry has not arrived; its own answers will say it
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	one := l.entry(s)
	if change := one.limit.ObservePeer(time.Now(), m.GetRate(), m.GetNamed()); change != quota.Unchanged {
		l.logChange(one, change, "told")
	}
}

// limitedNow is what is known of a server that names a limit now, nil for any other. The caller
// holds the lock.
func (l *rateLimits) limitedNow(s routing.Server) *serverLimit {
	one := l.servers[s.Incarnation()]
	if one == nil {
		return nil
	}
	if _, named := one.limit.Rate(); !named {
		return nil
	}
	return one
}

// findServer is the server of a life, if the view shows it.
func (h *Handler) findServer(life routing.Incarnation) (routing.Server, bool) {
	for _, servers := range h.opts.Feed.View().Servers {
		for _, s := range servers {
			if s.Incarnation() == life {
				return s, true
			}
		}
	}
	return routing.Server{}, false
}
