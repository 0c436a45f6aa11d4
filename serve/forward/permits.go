package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/quota"
	"mallowwind.dev/decision/rendezvous"
	"mallowwind.dev/peer/peerpb"
)

const (
	// permitGivers is how many daemons may be asked for a permit, one after the other.
	permitGivers = 2
	// acknowledgedFor is how long after a question for permits others are taken to ask here.
	acknowledgedFor = 2 * time.Second
	// unknownServer is when a permit is asked for again at a daemon that does not know the
	// server: about what its entry takes to arrive.
	unknownServer = 500 * time.Millisecond
)

// open reports whether a server may be chosen now: it names no limit, or a permit may be asked
// for.
func (l *limits) open(now time.Time, s routing.Server) bool {
	if l == nil {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	one := l.limitedNow(s)
	return one == nil || one.turn.CanAsk(now)
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
	ask, q := one.turn.TryAsk(time.Now()), &peerpb.PermitRequest{Limit: one.message()}
	l.mu.Unlock()
	if !ask {
		return false
	}
	granted, wait := l.permit(ctx, one, q)
	l.mu.Lock()
	defer l.mu.Unlock()
	one.turn.Complete(time.Now(), wait)
	l.h.metrics.countPermit(granted)
	return granted
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
	vms, hashes := routing.Serving(l.h.opts.Feed.View().VMs)
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
	return one.alone.Take(time.Now(), quota.PermitRate(q.GetLimit().GetRate())/float64(max(1, len(vms))))
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
	return one.bucket.Take(time.Now(), quota.PermitRate(rate))
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
