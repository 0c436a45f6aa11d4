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

// canRequestPermit reports whether a server may be chosen now: it names no limit, or a permit may be asked
// for.
func (l *rateLimits) canRequestPermit(now time.Time, s routing.Server) bool {
	if l == nil {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	one := l.limitedNow(s)
	return one == nil || one.permitRequests.CanAsk(now)
}

// acquire reports whether a request may be sent to a server, at once: it names no limit, or gives a
// permit. The request waits for the answer to that question.
func (l *rateLimits) acquire(ctx context.Context, s routing.Server) bool {
	l.mu.Lock()
	one := l.limitedNow(s)
	if one == nil {
		l.mu.Unlock()
		return true
	}
	ask, q := one.permitRequests.TryAsk(time.Now()), &peerpb.PermitRequest{Limit: one.message()}
	l.mu.Unlock()
	if !ask {
		return false
	}
	granted, wait := l.requestPermit(ctx, one, q)
	l.mu.Lock()
	defer l.mu.Unlock()
	one.permitRequests.Complete(time.Now(), wait)
	l.h.metrics.countPermit(granted)
	return granted
}

// permitWait is how long it is until a permit may be asked for one of the servers of a service that
// name a limit; limited is false where none does.
func (l *rateLimits) permitWait(service string) (wait time.Duration, limited bool) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.h.opts.Feed.View().Servers[service] {
		one := l.limitedNow(s)
		if one == nil || s.Draining {
			continue
		}
		if next := one.permitRequests.Wait(now); !limited || next < wait {
			wait, limited = next, true
		}
	}
	return wait, limited
}

// requestPermit asks the daemons that give out permits for a server, one after the other.
func (l *rateLimits) requestPermit(ctx context.Context, one *serverLimit, q *peerpb.PermitRequest) (granted bool, wait time.Duration) {
	vms, hashes := routing.Serving(l.h.opts.Feed.View().VMs)
	if l.h.neighbours.dialer == nil {
		hashes = nil
	}
	for _, i := range rendezvous.Select(xxhash.Sum64String(one.server.ID), hashes, permitGivers) {
		if vms[i].ID == l.h.opts.Self.ID {
			if l.acknowledged(one) {
				return l.issue(one, q.GetLimit().GetRate())
			}
			break
		}
		if len(l.h.neighbours.responsive(time.Now(), vms[i:i+1])) == 0 {
			continue
		}
		reply, err := callPeer(ctx, l.h.neighbours, vms[i], peerpb.NewQuotaProtobufClient, peerpb.Quota.Permit, q, workTimeout)
		if err == nil {
			return reply.GetGranted(), time.Duration(reply.GetWaitMs()) * time.Millisecond
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return one.fallback.Take(time.Now(), quota.PermitRate(q.GetLimit().GetRate())/float64(max(1, len(vms))))
}

// acknowledged reports whether others ask this daemon for permits. One that is cut off from them
// must not give itself what another daemon gives to them.
func (l *rateLimits) acknowledged(one *serverLimit) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(one.lastRequested) < acknowledgedFor
}

// issue gives out a permit here.
func (l *rateLimits) issue(one *serverLimit, rate float64) (granted bool, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known, named := one.limit.Rate(); named {
		rate = known
	}
	return one.bucket.Take(time.Now(), quota.PermitRate(rate))
}

// rationing implements peerpb.Quota.
type rationing struct{ limits *rateLimits }

// Permit implements peerpb.Quota.
func (r rationing) Permit(_ context.Context, q *peerpb.PermitRequest) (*peerpb.PermitReply, error) {
	m := q.GetLimit()
	s, ok := r.limits.h.findServer(routing.Incarnation{ID: m.GetServer(), StartedAtMS: m.GetBorn()})
	if !ok {
		return &peerpb.PermitReply{WaitMs: unknownServer.Milliseconds()}, nil
	}
	r.limits.mu.Lock()
	one := r.limits.entry(s)
	one.lastRequested = time.Now()
	r.limits.mu.Unlock()
	granted, wait := r.limits.issue(one, m.GetRate())
	return &peerpb.PermitReply{Granted: granted, WaitMs: wait.Milliseconds() + 1}, nil
}

// Limited implements peerpb.Quota.
func (r rationing) Limited(_ context.Context, q *peerpb.LimitedRequest) (*peerpb.LimitedReply, error) {
	r.limits.observePeer(q.GetLimit())
	return &peerpb.LimitedReply{}, nil
}

// QuotaService returns the twirp service that other daemons call, and its path prefix.
func (h *Handler) QuotaService() (prefix string, handler http.Handler) {
	s := peerpb.NewQuotaServer(rationing{h.limits})
	return s.PathPrefix(), s
}
