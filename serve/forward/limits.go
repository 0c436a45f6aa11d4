package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/quota"
	"mallowwind.dev/decision/rendezvous"
	"mallowwind.dev/peer/peerpb"
	"mallowwind.dev/telemetry/event"
)

const (
	// permitGivers is how many daemons may be asked for a permit, one after the other.
	permitGivers = 2
	// acknowledgedFor is how long after a question for permits others are taken to ask here.
	acknowledgedFor = 2 * time.Second
	// limitTimeout is how long a daemon may take to hear of a limit.
	limitTimeout = 300 * time.Millisecond
)

// limits knows which servers name a limit, holds the permits of this daemon, and gives out
// permits for the servers that are this daemon's to keep.
type limits struct {
	h *Handler

	mu    sync.Mutex // guards the rest
	lives map[routing.Life]*limited
}

// limited is what is known of one life of a server that named a limit.
type limited struct {
	server  routing.Server
	limit   quota.Limit
	telling quota.Telling
	turn    quota.Turn
	bucket  quota.Bucket // of the permits given out here
	asked   time.Time    // by another daemon for a permit, last
	alone   quota.Bucket // of this daemon's part, while no daemon that gives permits answers
}

func newLimits(h *Handler) *limits { return &limits{h: h, lives: map[routing.Life]*limited{}} }

// answered takes in what a server says in the answer to a request sent at a moment. ran says
// that the answer is that of a run: a server that turns requests away does not say that its
// limit is over.
func (l *limits) answered(s routing.Server, sent time.Time, text string, ran bool) {
	rate, named, err := quota.Read(text)
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
	if change := one.limit.Answered(sent, time.Now(), rate, named); change != quota.Unchanged {
		l.log(one, change, "answer")
		l.tell(one)
	}
}

// tell has the other daemons told of a limit, now or soon. The caller holds the lock.
func (l *limits) tell(one *limited) {
	after, ok := one.telling.Changed(time.Now())
	if !ok {
		return
	}
	time.AfterFunc(after, func() {
		l.mu.Lock()
		one.telling.Told(time.Now())
		m := one.message()
		l.mu.Unlock()
		l.spread(m)
	})
}

// heardLimit takes in what an answer says of its server's limit, unless another server gave it.
func (h *Handler) heardLimit(s routing.Server, sent time.Time, reply Reply) {
	if !reply.Misdirected {
		h.limits.answered(s, sent, reply.Limit, reply.Proven && !reply.NotRun)
	}
}

// of is what is known of a server. The caller holds the lock.
func (l *limits) of(s routing.Server) *limited {
	one := l.lives[s.Life()]
	if one == nil {
		l.forgetGone()
		one = &limited{server: s, alone: quota.Share(rand.Float64())}
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
	if change := one.limit.Told(time.Now(), m.GetRate(), m.GetNamed()); change != quota.Unchanged {
		l.log(one, change, "told")
	}
}

// open reports whether a server may be chosen now: it names no limit, or a permit may be asked
// for.
func (l *limits) open(now time.Time, s routing.Server) bool {
	if l == nil {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	one := l.limitedNow(s)
	return one == nil || one.turn.Open(now)
}

// take reports whether a request may be sent to a server, at once: it names no limit, or gives a
// permit. The request waits for the answer to that question.
func (l *limits) take(ctx context.Context, s routing.Server) bool {
	l.mu.Lock()
	one := l.limitedNow(s)
	if one == nil {
		l.mu.Unlock()
		return true
	}
	ask, q := one.turn.Ask(time.Now()), &peerpb.PermitRequest{Limit: one.message()}
	l.mu.Unlock()
	if !ask {
		return false
	}
	granted, wait := l.permit(ctx, one, q)
	l.mu.Lock()
	defer l.mu.Unlock()
	one.turn.Answered(time.Now(), wait)
	l.h.metrics.permit(granted)
	return granted
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

// full is how long it is until a permit may be asked for one of the servers of a service that
// name a limit; limited is false where none does.
func (l *limits) full(service string) (wait time.Duration, limited bool) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.h.opts.Feed.View().Servers[service] {
		one := l.limitedNow(s)
		if one == nil || s.Leaving {
			continue
		}
		if next := one.turn.Wait(now); !limited || next < wait {
			wait, limited = next, true
		}
	}
	return wait, limited
}

// permit asks the daemons that give out permits for a server, one after the other.
func (l *limits) permit(ctx context.Context, one *limited, q *peerpb.PermitRequest) (granted bool, wait time.Duration) {
	vms, hashes := daemons(l.h.opts.Feed.View())
	if l.h.neighbours.dialer == nil {
		hashes = nil
	}
	for _, i := range rendezvous.Nearest(xxhash.Sum64String(one.server.ID), hashes, permitGivers) {
		if vms[i].ID == l.h.opts.Self.ID {
			if l.acknowledged(one) {
				return l.give(one, q.GetLimit().GetRate())
			}
			break
		}
		if len(l.h.neighbours.heard(time.Now(), vms[i:i+1])) == 0 {
			continue
		}
		reply, err := request(ctx, l.h.neighbours, vms[i], peerpb.NewQuotaProtobufClient, peerpb.Quota.Permit, q, workTimeout)
		if err == nil {
			return reply.GetGranted(), time.Duration(reply.GetWaitMs()) * time.Millisecond
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return one.alone.Take(time.Now(), quota.Given(q.GetLimit().GetRate())/float64(max(1, len(vms))))
}

// acknowledged reports whether others ask this daemon for permits. One that is cut off from them
// must not give itself what another daemon gives to them.
func (l *limits) acknowledged(one *limited) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(one.asked) < acknowledgedFor
}

// give gives out a permit here.
func (l *limits) give(one *limited, rate float64) (granted bool, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known, named := one.limit.Rate(); named {
		rate = known
	}
	return one.bucket.Take(time.Now(), quota.Given(rate))
}

// rationing implements peerpb.Quota.
type rationing struct{ l *limits }

// Permit implements peerpb.Quota.
func (r rationing) Permit(_ context.Context, q *peerpb.PermitRequest) (*peerpb.PermitReply, error) {
	m := q.GetLimit()
	s, ok := r.l.h.server(routing.Life{ID: m.GetServer(), Born: m.GetBorn()})
	if !ok {
		return &peerpb.PermitReply{WaitMs: unknownServer.Milliseconds()}, nil
	}
	r.l.mu.Lock()
	one := r.l.of(s)
	one.asked = time.Now()
	r.l.mu.Unlock()
	granted, wait := r.l.give(one, m.GetRate())
	return &peerpb.PermitReply{Granted: granted, WaitMs: wait.Milliseconds() + 1}, nil
}

// unknownServer is when a permit is asked for again at a daemon that does not know the server:
// about what its entry takes to arrive.
const unknownServer = 500 * time.Millisecond

// Limited implements peerpb.Quota.
func (r rationing) Limited(_ context.Context, q *peerpb.LimitedRequest) (*peerpb.LimitedReply, error) {
	r.l.told(q.GetLimit())
	return &peerpb.LimitedReply{}, nil
}

// Rationing returns the twirp service that other daemons call, and its path prefix.
func (h *Handler) Rationing() (prefix string, handler http.Handler) {
	s := peerpb.NewQuotaServer(rationing{h.limits})
	return s.PathPrefix(), s
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
