package forward

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/brittle"
	"mallowwind.dev/decision/retryafter"
	"mallowwind.dev/decision/route"
	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/peer/peerpb"
	"mallowwind.dev/telemetry/event"
)

// maxRoomWaitRatio bounds how long a call waits for room at brittle servers, as a part of its objective.
// Later it would be answered late in any case.
const maxRoomWaitRatio = 0.8

// brittleServices tracks the services whose servers are brittle. It is safe for concurrent use. Its
// lock is taken after that of the pool.
type brittleServices struct {
	log *event.Log

	mu       sync.Mutex
	services map[string]*brittle.Service
}

func newBrittleServices(log *event.Log) *brittleServices {
	return &brittleServices{log: log, services: map[string]*brittle.Service{}}
}

// observe records what a server's response to a request sent at the given time says, and reports
// whether the other daemons are to be told of the limit that it states.
func (b *brittleServices) observe(s routing.Server, sent time.Time, reply Reply) (limit int, tell bool) {
	limit, stated, err := brittle.ParseLimit(reply.Brittle)
	if err != nil {
		b.log.Emit(event.ServerBrittleUnreadable, s.ID, err)
	}
	if !stated && !reply.Authentic {
		return 0, false // a response that is not the server's own says nothing of it
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !stated && b.services[s.Service] == nil {
		return 0, false
	}
	service := getOrCreate(b.services, s.Service)
	if service.Observe(sent, limit, stated) {
		b.log.Emit(event.ServersBrittle, s.Service, s.ID, stated, limit)
	}
	return limit, stated && service.ShouldTell(time.Now(), false)
}

// isBrittle reports whether the servers of a service are brittle.
func (b *brittleServices) isBrittle(now time.Time, service string) bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[service]
	return s != nil && s.IsBrittle(now)
}

// recordRejection records that a server of a service had no room for a request of this daemon, and
// reports whether the other daemons are to be told, and of which limit. fleet counts the daemons and the
// servers; it is called only if the servers have stated that they are brittle.
func (b *brittleServices) recordRejection(service string, fleet func(service string) (daemons, servers int)) (limit int, tell bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[service]
	if s == nil {
		return 0, false
	}
	daemons, servers := fleet(service)
	now := time.Now()
	s.RecordRejection(now, daemons, servers, rand.Float64())
	return s.Limit(), s.ShouldTell(now, true)
}

// recordOtherRejection records that a server of a service had no room for a request of another daemon,
// while this one has so many requests in flight there.
func (b *brittleServices) recordOtherRejection(service string, inFlight, daemons, servers int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	getOrCreate(b.services, service).RecordOtherRejection(time.Now(), inFlight, daemons, servers, rand.Float64())
}

// recordTold records that another daemon has told of the limit of a service's servers.
func (b *brittleServices) recordTold(service string, limit int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	getOrCreate(b.services, service).RecordTold(time.Now(), limit)
}

// maySendWithoutPart reports whether this daemon, which has no part of any server, may send a request.
func (b *brittleServices) maySendWithoutPart(now time.Time, service string, inFlight int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[service]
	return s == nil || s.MaySendWithoutPart(now, inFlight)
}

// hasRoom reports whether this daemon may send one more request to the server at index i of a set,
// with regard to the part that it has of a brittle server. The caller holds p.mu.
func (p *pool) hasRoom(now time.Time, l *serverSet, i int) bool {
	service := l.servers[i].Service
	if !p.brittle.isBrittle(now, service) {
		return true
	}
	if window := p.windowOf(l, i); window > 0 {
		return l.loads[i].inFlight() < window
	}
	if p.hasUsableWindow(now, l) {
		return false
	}
	return p.brittle.maySendWithoutPart(now, service, l.inFlight())
}

// inFlight returns this daemon's requests at the server.
func (l *serverLoad) inFlight() int { return int(l.calls.InFlight) + l.prefilling + l.running }

// inFlight returns this daemon's requests at the servers of the set. The caller holds the pool's lock.
func (l *serverSet) inFlight() (n int) {
	for _, load := range l.loads {
		n += load.inFlight()
	}
	return n
}

// inFlight returns this daemon's requests at the servers of a service.
func (p *pool) inFlight(service string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.serverSets[service]; l != nil {
		return l.inFlight()
	}
	return 0
}

// unknownWindow marks a window that is not computed yet.
const unknownWindow = -1

// windowOf returns this daemon's part of the server at index i. The caller holds p.mu.
func (p *pool) windowOf(l *serverSet, i int) int {
	if l.windows == nil {
		l.windows = make([]int, len(l.servers))
		for n := range l.windows {
			l.windows[n] = unknownWindow
		}
	}
	if l.windows[i] == unknownWindow {
		slots := l.servers[i].Slots
		if slots <= 0 {
			slots = brittle.DefaultSlots
		}
		daemons, rank := p.rankAt(l.seats[i].Hash)
		l.windows[i] = brittle.Window(slots, daemons, rank)
	}
	return l.windows[i]
}

// hasUsableWindow reports whether this daemon has a part of any server of a set that has not failed
// recently. The caller holds p.mu.
func (p *pool) hasUsableWindow(now time.Time, l *serverSet) bool {
	for i, load := range l.loads {
		if !load.isSuspect(now) && p.windowOf(l, i) > 0 {
			return true
		}
	}
	return false
}

// rankAt returns the number of serving daemons and this daemon's place among them in the rendezvous
// order of a key. The caller holds p.mu.
func (p *pool) rankAt(key uint64) (daemons, rank int) {
	own := route.Mix(key ^ xxhash.Sum64String(p.self.ID))
	daemons = 1
	for _, vm := range p.vmsView.VMs {
		if vm.ID == p.self.ID || vm.Draining {
			continue
		}
		daemons++
		if route.Mix(key^xxhash.Sum64String(vm.ID)) < own {
			rank++
		}
	}
	return daemons, rank
}

// awaitRoom sends a call that found no room at brittle servers as soon as there is some, and reports
// whether it was sent. It gives up once the call would be answered late.
func (x *exchanges) awaitRoom(ctx context.Context) bool {
	wait := time.NewTimer(time.Duration(maxRoomWaitRatio * float64(x.in.route.Objective)))
	defer wait.Stop()
	for x.h.brittle.isBrittle(time.Now(), x.service) {
		freed := x.h.pool.roomFreed()
		if x.sendToNext(ctx) {
			return true
		}
		select {
		case <-freed:
		case <-wait.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
	return x.sendToNext(ctx)
}

// noRoomError is the refusal of a request because this daemon's part of brittle servers is in use.
func (h *Handler) noRoomError(in *inbound, service string, v verdict.Verdict) error {
	overloadedFor, answer := h.pressure.recordRefusal(time.Now(), service)
	h.metrics.overloadRefusals.WithLabelValues(reasonBrittle).Inc()
	return verdict.New(v, verdict.CodeOverloaded, "the backend servers have no room").
		WithRetryAfter(retryafter.AfterOverload(overloadedFor, max(answer, in.route.Objective), rand.Float64()))
}

// roomFreed returns a channel that is closed when a call of this daemon has ended at a server.
func (p *pool) roomFreed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.freed == nil {
		p.freed = make(chan struct{})
	}
	return p.freed
}

// observeBrittle records what a server's response to a request sent at the given time says of room, and
// tells the other daemons.
func (h *Handler) observeBrittle(s routing.Server, sent time.Time, reply Reply) {
	if limit, tell := h.brittle.observe(s, sent, reply); tell {
		h.broadcastBrittle(s.Service, limit, false)
	}
	if !reply.NotRun {
		return
	}
	if limit, tell := h.brittle.recordRejection(s.Service, h.comparisonOf); tell {
		h.broadcastBrittle(s.Service, limit, true)
	}
}

// broadcastBrittle tells all other daemons that the servers of a service are brittle.
func (h *Handler) broadcastBrittle(service string, limit int, rejected bool) {
	q := &peerpb.BrittleRequest{Service: service, Limit: int64(limit), Rejected: rejected}
	go h.peers.broadcast(h.opts.Feed.View(), func(ctx context.Context, vm routing.VM) error {
		_, err := callPeer(ctx, h.peers, vm, peerpb.NewQuotaProtobufClient, peerpb.Quota.Brittle, q, limitTimeout)
		return err
	})
}

// comparisonOf returns the number of serving daemons and that of the servers of a service.
func (h *Handler) comparisonOf(service string) (daemons, servers int) {
	view := h.opts.Feed.View()
	vms, _ := routing.Serving(view.VMs)
	return len(vms), view.Servers[service].Len()
}

// Brittle implements peerpb.Quota.
func (r quotaService) Brittle(_ context.Context, q *peerpb.BrittleRequest) (*peerpb.BrittleReply, error) {
	h, service := r.limits.h, q.GetService()
	if h.opts.Feed.View().Servers[service].Len() == 0 {
		return &peerpb.BrittleReply{}, nil // this daemon does not know the service
	}
	h.brittle.recordTold(service, int(min(max(q.GetLimit(), 0), math.MaxInt32)))
	if q.GetRejected() {
		daemons, servers := h.comparisonOf(service)
		h.brittle.recordOtherRejection(service, h.pool.inFlight(service), daemons, servers)
	}
	return &peerpb.BrittleReply{}, nil
}
