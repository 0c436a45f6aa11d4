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
	// permitIssuers is the number of daemons that may issue permits for a server. They are asked in
	// order until one answers.
	permitIssuers = 2
	// issuerConfirmedFor is how long after a permit request from another daemon this daemon counts
	// as an issuer that others reach.
	issuerConfirmedFor = 2 * time.Second
	// unknownServerRetry is when a daemon asks again if the issuer does not know the server: about
	// the time that the server's registration takes to arrive.
	unknownServerRetry = 500 * time.Millisecond
)

// acceptsNow reports whether a server may be chosen now: it does not pause, and it has no limit or a
// permit may be requested.
func (l *serverLimits) acceptsNow(now time.Time, s routing.Server) bool {
	if l == nil {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.servers[s.Incarnation()]
	if state == nil {
		return true
	}
	_, limited := state.limit.Rate()
	return state.pause.CanSend(now) && (!limited || state.permitRequests.CanAsk(now))
}

// acquire reports whether a request may be sent to a server at once: the server does not pause, and it
// has no limit or a permit was granted. The request waits for the permit issuer's answer.
func (l *serverLimits) acquire(ctx context.Context, s routing.Server) bool {
	return l.acquirePermit(ctx, s) && l.tryEndPause(s)
}

func (l *serverLimits) acquirePermit(ctx context.Context, s routing.Server) bool {
	l.mu.Lock()
	state := l.active(s)
	if state == nil {
		l.mu.Unlock()
		return true
	}
	ask, q := state.permitRequests.TryAsk(time.Now()), &peerpb.PermitRequest{Limit: state.message()}
	l.mu.Unlock()
	if !ask {
		return false
	}
	granted, wait := l.requestPermit(ctx, state, q)
	l.mu.Lock()
	defer l.mu.Unlock()
	state.permitRequests.Complete(time.Now(), wait)
	l.h.metrics.countPermit(granted)
	return granted
}

// permitWait returns how long it takes until a permit may be requested for any of the service's
// servers with a limit; limited is false if no server has one.
func (l *serverLimits) permitWait(service string) (wait time.Duration, limited bool) {
	now, servers := time.Now(), l.h.pool.openServers(l.h.opts.Feed.View(), service)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range servers {
		state := l.active(s)
		if state == nil {
			continue
		}
		if next := state.permitRequests.Wait(now); !limited || next < wait {
			wait, limited = next, true
		}
	}
	return wait, limited
}

// requestPermit asks the issuers of a server's permits in order. If none answers, it uses this
// daemon's own share of the limit.
func (l *serverLimits) requestPermit(ctx context.Context, state *serverLimit, q *peerpb.PermitRequest) (granted bool, wait time.Duration) {
	vms, hashes := routing.Serving(l.h.opts.Feed.View().VMs)
	if l.h.peers.dialer == nil {
		hashes = nil
	}
	for _, i := range rendezvous.Select(xxhash.Sum64String(state.server.ID), hashes, permitIssuers) {
		if vms[i].ID == l.h.opts.Self.ID {
			if l.isConfirmedIssuer(state) {
				return l.issue(state, q.GetLimit().GetRate())
			}
			break
		}
		if len(l.h.peers.responsive(time.Now(), vms[i:i+1])) == 0 {
			continue
		}
		reply, err := callPeer(ctx, l.h.peers, vms[i], peerpb.NewQuotaProtobufClient, peerpb.Quota.Permit, q, workTimeout)
		if err == nil {
			return reply.GetGranted(), time.Duration(reply.GetWaitMs()) * time.Millisecond
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return state.fallback.Take(time.Now(), quota.PermitRate(q.GetLimit().GetRate())/float64(max(1, len(vms))))
}

// isConfirmedIssuer reports whether other daemons request permits here. A daemon that is
// partitioned from the others must not issue itself permits that another issuer grants to them.
func (l *serverLimits) isConfirmedIssuer(state *serverLimit) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(state.lastRequested) < issuerConfirmedFor
}

// issue grants a permit from this daemon's bucket, or returns how long to wait.
func (l *serverLimits) issue(state *serverLimit, rate float64) (granted bool, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known, named := state.limit.Rate(); named {
		rate = known
	}
	return state.permits.Take(time.Now(), quota.PermitRate(rate))
}

// quotaService implements peerpb.Quota.
type quotaService struct{ limits *serverLimits }

// Permit implements peerpb.Quota.
func (r quotaService) Permit(_ context.Context, q *peerpb.PermitRequest) (*peerpb.PermitReply, error) {
	m := q.GetLimit()
	s, ok := r.limits.h.findServer(routing.Incarnation{ID: m.GetServer(), StartedAtMS: m.GetBorn()})
	if !ok {
		return &peerpb.PermitReply{WaitMs: unknownServerRetry.Milliseconds()}, nil
	}
	r.limits.mu.Lock()
	state := r.limits.entry(s)
	state.lastRequested = time.Now()
	r.limits.mu.Unlock()
	granted, wait := r.limits.issue(state, m.GetRate())
	return &peerpb.PermitReply{Granted: granted, WaitMs: wait.Milliseconds() + 1}, nil
}

// Limited implements peerpb.Quota.
func (r quotaService) Limited(_ context.Context, q *peerpb.LimitedRequest) (*peerpb.LimitedReply, error) {
	r.limits.observePeer(q.GetLimit())
	return &peerpb.LimitedReply{}, nil
}

// QuotaService returns the path prefix and handler of the twirp service for limits and permits.
func (h *Handler) QuotaService() (prefix string, handler http.Handler) {
	s := peerpb.NewQuotaServer(quotaService{h.limits})
	return s.PathPrefix(), s
}
