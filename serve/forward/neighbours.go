package forward

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/twitchtv/twirp"
	"golang.org/x/sync/errgroup"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/prompts"
	"mallowwind.dev/peer/link"
	"mallowwind.dev/peer/peerpb"
	"mallowwind.dev/telemetry/event"
)

const (
	// workTimeout is how long another daemon may take to say what it has under way: ten
	// round trips between zones, and short beside the reading of a prompt.
	workTimeout = 20 * time.Millisecond
	// paceAsked is how many daemons are asked what they learned: two or three have seen
	// the few answers that it takes.
	paceAsked = 4
	// maxTold bounds the daemons that are told something at the same time.
	maxTold = 32
	// peerBackoff is how long a daemon that did not answer is left out, so that one that
	// is dead or cut off does not hold up every prompt. It is about what a restart takes.
	peerBackoff = time.Second
)

// workload is what is under way at one engine.
type workload struct{ prefilling, running int }

// workloads is what is under way, by engine.
type workloads map[routing.Incarnation]workload

// peerClient asks the other daemons what they have under way.
type peerClient struct {
	dialer *link.Dialer // nil: nobody is asked
	log    *event.Log
	self   string

	mu           sync.Mutex
	backoffUntil map[string]time.Time // until when a daemon is left out, by id
}

func newPeerClient(o Options) *peerClient {
	return &peerClient{dialer: o.Dialer, log: o.Log, self: o.Self.ID, backoffUntil: map[string]time.Time{}}
}

// totalWork is the sum of what the others have under way at the engines of a service; ok is
// false where they are too many to be asked, or none of them answered.
func (n *peerClient) totalWork(ctx context.Context, view *feed.View, service string) (sum workloads, ok bool) {
	if n.dialer == nil || !prompts.ShouldPollPeers(len(view.VMs)) {
		return nil, false
	}
	var all sync.WaitGroup
	var mu sync.Mutex
	sum = workloads{}
	for _, vm := range n.responsive(time.Now(), routing.Peers(view.VMs, n.self)) {
		all.Go(func() {
			reply, err := n.queryWork(ctx, vm, service)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			ok = true
			sum.add(reply)
		})
	}
	all.Wait()
	return sum, ok
}

// responsive are the daemons that answered when they were asked last. One that stops still has
// answers under way.
func (n *peerClient) responsive(now time.Time, vms []routing.VM) (heard []routing.VM) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, vm := range vms {
		if !now.Before(n.backoffUntil[vm.ID]) {
			heard = append(heard, vm)
		}
	}
	return heard
}

func (n *peerClient) queryWork(ctx context.Context, vm routing.VM, service string) (*peerpb.WorkReply, error) {
	return callWork(ctx, n, vm, peerpb.Work.AtServers, &peerpb.WorkRequest{Service: service})
}

// queryPace is what a daemon has learned of the engines of a service.
func (n *peerClient) queryPace(ctx context.Context, vm routing.VM, service string) (*peerpb.PaceReply, error) {
	return callWork(ctx, n, vm, peerpb.Work.Pace, &peerpb.WorkRequest{Service: service})
}

// sendReport tells a daemon what this one has under way at a server that it keeps notes on.
func (n *peerClient) sendReport(ctx context.Context, vm routing.VM, note *peerpb.NoteRequest) {
	// A failure is logged by judge; the next note says all.
	_, _ = callWork(ctx, n, vm, peerpb.Work.Note, note)
}

// noted asks a daemon what others have under way at servers that it keeps notes on.
func (n *peerClient) noted(ctx context.Context, vm routing.VM, q *peerpb.NotedRequest) (*peerpb.WorkReply, error) {
	return callWork(ctx, n, vm, peerpb.Work.Noted, q)
}

// callWork makes one call of the service Work to a daemon.
func callWork[Q, R any](
	ctx context.Context, n *peerClient, vm routing.VM, method func(peerpb.Work, context.Context, Q) (R, error), q Q,
) (R, error) {
	return callPeer(ctx, n, vm, peerpb.NewWorkProtobufClient, method, q, workTimeout)
}

// callPeer makes one call to a daemon within a limit, and leaves the daemon out for a while if
// it fails. client makes the client of the service called.
func callPeer[C, Q, R any](
	ctx context.Context, n *peerClient, vm routing.VM, client func(string, peerpb.HTTPClient, ...twirp.ClientOption) C,
	method func(C, context.Context, Q) (R, error), q Q, limit time.Duration,
) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	reply, err := method(client(n.dialer.URL(vm.PeerAddress), n.dialer.Client), ctx, q)
	return reply, n.recordResult(vm, err)
}

// tellAll calls tell for all other daemons. A call that fails is logged by judge.
func (n *peerClient) tellAll(view *feed.View, tell func(context.Context, routing.VM) error) {
	if n.dialer == nil {
		return
	}
	var all errgroup.Group
	all.SetLimit(maxTold)
	for _, vm := range routing.Peers(view.VMs, n.self) {
		all.Go(func() error {
			_ = tell(context.Background(), vm)
			return nil
		})
	}
	_ = all.Wait() // none returns an error
}

// recordResult leaves a daemon that failed out for a while, and returns err.
func (n *peerClient) recordResult(vm routing.VM, err error) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err == nil {
		delete(n.backoffUntil, vm.ID)
		return nil
	}
	n.backoffUntil[vm.ID] = time.Now().Add(peerBackoff)
	n.log.Emit(event.PeerSilent, vm.PeerAddress, err)
	return err
}

func (w workloads) add(reply *peerpb.WorkReply) {
	for _, s := range reply.GetServers() {
		life := routing.Incarnation{ID: s.GetId(), StartedAtMS: s.GetBorn()}
		one := w[life]
		one.prefilling += int(max(s.GetReading(), 0))
		one.running += int(max(s.GetRunning(), 0))
		w[life] = one
	}
}

// fetchPace asks some other daemons what they learned of the engines of a service, where
// this one has seen too little to tell which answers cannot be whole in time.
func (h *Handler) fetchPace(ctx context.Context, service string) {
	if h.neighbours.dialer == nil || h.pressure.hasEstimates(service) {
		return
	}
	view := h.opts.Feed.View()
	peers := h.neighbours.responsive(time.Now(), routing.Peers(view.VMs, h.neighbours.self))
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	var all sync.WaitGroup
	for _, vm := range peers[:min(paceAsked, len(peers))] {
		all.Go(func() {
			if reply, err := h.neighbours.queryPace(ctx, vm, service); err == nil {
				h.pressure.mergeEstimates(service, prompts.Estimates{
					PrefillNsPerToken: reply.GetPerToken(), NsPerEvent: reply.GetPerEvent(),
					Events: reply.GetEvents(), Answers: int(min(reply.GetAnswers(), math.MaxInt32)),
				})
			}
		})
	}
	all.Wait()
}

// workService implements peerpb.Work.
type workService struct{ h *Handler }

// AtServers implements peerpb.Work.
func (t workService) AtServers(_ context.Context, q *peerpb.WorkRequest) (*peerpb.WorkReply, error) {
	reply := &peerpb.WorkReply{}
	for life, w := range t.h.pool.localWork(t.h.opts.Feed.View(), q.GetService()) {
		reply.Servers = append(reply.Servers, serverWork(life, w))
	}
	return reply, nil
}

// Pace implements peerpb.Work.
func (t workService) Pace(_ context.Context, q *peerpb.WorkRequest) (*peerpb.PaceReply, error) {
	l := t.h.pressure.learned(q.GetService())
	return &peerpb.PaceReply{PerToken: l.PrefillNsPerToken, PerEvent: l.NsPerEvent, Events: l.Events, Answers: int64(l.Answers)}, nil
}

// WorkService returns the twirp service that other daemons call, and its path prefix.
func (h *Handler) WorkService() (prefix string, handler http.Handler) {
	s := peerpb.NewWorkServer(workService{h})
	return s.PathPrefix(), s
}
