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

// limits knows which servers name a limit and when this daemon may ask for a permit for one, and
// gives out the permits for some of them.
type limits struct {
	h *Handler

	mu    sync.Mutex // guards the rest
	lives map[routing.Life]*limited
}

// limited is what is known of one life of a server that named a limit.
type limited struct {
	server  routing.Server
	limit   quota.Limit
	telling quota.BroadcastPacer
	turn    quota.PermitPoller
	bucket  quota.TokenBucket // of the permits given out here
	asked   time.Time         // by another daemon for a permit, last
	alone   quota.TokenBucket // of this daemon's part, while no daemon that gives permits answers
}

func newLimits(h *Handler) *limits { return &limits{h: h, lives: map[routing.Life]*limited{}} }

// answered takes in what a server says in the answer to a request sent at a moment. ran says
// that the answer is that of a run: a server that turns requests away does not say that its
// limit is over.
func (l *limits) answered(s routing.Server, sent time.Time, text string, ran bool) {
	rate, named, err := quota.ParseRate(text)
	if err != nil {
		l.h.opts.Log.Emit(event.ServerLimitUnreadable, s.ID, err)
	}
	if !named && !ran {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !named && l.lives[s.Life()] == nil {
		return
	}
	one := l.of(s)
	if change := one.limit.ObserveResponse(sent, time.Now(), rate, named); change != quota.Unchanged {
		l.log(one, change, "answer")
		l.tell(one)
	}
}

// tell has the other daemons told of a limit, now or soon. The caller holds the lock.
func (l *limits) tell(one *limited) {
	after, ok := one.telling.Schedule(time.Now())
	if !ok {
		return
	}
	time.AfterFunc(after, func() {
		l.mu.Lock()
		one.telling.MarkSent(time.Now())
		m := one.message()
		l.mu.Unlock()
		l.spread(m)
	})
}

// heardLimit takes in what an answer says of its server's limit, unless another server gave it.
func (h *Handler) heardLimit(s routing.Server, sent time.Time, reply Reply) {
	if !reply.Misdirected {
		h.limits.answered(s, sent, reply.RateLimit, reply.Authentic && !reply.NotRun)
	}
}

// of is what is known of a server. The caller holds the lock.
func (l *limits) of(s routing.Server) *limited {
	one := l.lives[s.Life()]
	if one == nil {
		l.forgetGone()
		one = &limited{server: s, alone: quota.NewDaemonBucket(rand.Float64())}
		l.lives[s.Life()] = one
	}
	return one
}

// forgetGone forgets servers whose lives have ended. The caller holds the lock.
func (l *limits) forgetGone() {
	there := map[routing.Life]bool{}
	for _, servers := range l.h.opts.Feed.View().Servers {
		for _, s := range servers {
			there[s.Life()] = true
		}
	}
	for life := range l.lives {
		if !there[life] {
			delete(l.lives, life)
		}
	}
}

func (l *limits) log(one *limited, change quota.Change, by string) {
	l.h.metrics.limitChanges.WithLabelValues(change.String()).Inc()
	rate, _ := one.limit.Rate()
	known, confirmed := one.limit.Age(time.Now())
	l.h.opts.Log.Emit(event.ServerLimitChanged, one.server.ID, one.server.Service, change.String(), rate, by, known, confirmed)
}

// message is what other daemons are told of a server. The caller holds the lock.
func (one *limited) message() *peerpb.Limit {
	rate, named := one.limit.Rate()
	return &peerpb.Limit{Server: one.server.ID, Born: one.server.Born, Named: named, Rate: rate}
}

// spread tells all other daemons of a limit. One that does not hear of it learns it from its
// own next answer.
func (l *limits) spread(m *peerpb.Limit) {
	q := &peerpb.LimitedRequest{Limit: m}
	l.h.neighbours.tellAll(l.h.opts.Feed.View(), func(ctx context.Context, vm routing.VM) error {
		_, err := request(ctx, l.h.neighbours, vm, peerpb.NewQuotaProtobufClient, peerpb.Quota.Limited, q, limitTimeout)
		return err
	})
}

// told takes in what another daemon says of a server.
func (l *limits) told(m *peerpb.Limit) {
	s, ok := l.h.server(routing.Life{ID: m.GetServer(), Born: m.GetBorn()})
	if !ok {
		return // its entry has not arrived; its own answers will say it
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	one := l.of(s)
	if change := one.limit.ObservePeer(time.Now(), m.GetRate(), m.GetNamed()); change != quota.Unchanged {
		l.log(one, change, "told")
	}
}

// limitedNow is what is known of a server that names a limit now, nil for any other. The caller
// holds the lock.
func (l *limits) limitedNow(s routing.Server) *limited {
	one := l.lives[s.Life()]
	if one == nil {
		return nil
	}
	if _, named := one.limit.Rate(); !named {
		return nil
	}
	return one
}

// server is the server of a life, if the view shows it.
func (h *Handler) server(life routing.Life) (routing.Server, bool) {
	for _, servers := range h.opts.Feed.View().Servers {
		for _, s := range servers {
			if s.Life() == life {
				return s, true
			}
		}
	}
	return routing.Server{}, false
}
