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
	// workTimeout is how long another daemon may take to report its work: ten round trips between
	// zones, and short compared with a prefill.
	workTimeout = 20 * time.Millisecond
	// pacePeers is the number of daemons asked for their estimates: two or three have already seen
	// the few answers that an estimate takes.
	pacePeers = 4
	// maxConcurrentCalls bounds the concurrent calls of a broadcast.
	maxConcurrentCalls = 32
	// peerBackoff is how long a daemon that did not answer is skipped, so that a dead or
	// unreachable daemon does not delay every prompt. It is about the duration of a restart.
	peerBackoff = time.Second
)

// workload is the number of prefills and running answers at one engine, and of the waiting prompts
// of other daemons that rank before the prompt to be placed.
type workload struct{ prefilling, running, ahead int }

// workloads holds the workload of each engine.
type workloads map[routing.Incarnation]workload

// peerClient calls the other daemons.
type peerClient struct {
	dialer *link.Dialer // nil disables calls
	log    *event.Log
	self   string

	mu           sync.Mutex
	backoffUntil map[string]time.Time // by daemon id; the daemon is skipped until then
}

func newPeerClient(o Options) *peerClient {
	return &peerClient{dialer: o.Dialer, log: o.Log, self: o.Self.ID, backoffUntil: map[string]time.Time{}}
}

// totalWork sums the work of all other daemons at the engines of a service; ok is false if there
// are too many daemons to ask, or if none answered.
func (c *peerClient) totalWork(ctx context.Context, view *feed.View, service string) (sum workloads, ok bool) {
	if c.dialer == nil || !prompts.ShouldPollPeers(len(view.VMs)) {
		return nil, false
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	sum = workloads{}
	for _, vm := range c.responsive(time.Now(), routing.Peers(view.VMs, c.self)) {
		wg.Go(func() {
			reply, err := c.queryWork(ctx, vm, service)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			ok = true
			sum.add(reply)
		})
	}
	wg.Wait()
	return sum, ok
}

// responsive returns the daemons whose last call did not fail recently. A stopping daemon is
// included: it still has answers in progress.
func (c *peerClient) responsive(now time.Time, vms []routing.VM) (responsive []routing.VM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, vm := range vms {
		if !now.Before(c.backoffUntil[vm.ID]) {
			responsive = append(responsive, vm)
		}
	}
	return responsive
}

func (c *peerClient) queryWork(ctx context.Context, vm routing.VM, service string) (*peerpb.WorkReply, error) {
	return callWork(ctx, c, vm, peerpb.Work.AtServers, &peerpb.WorkRequest{Service: service})
}

// queryPace asks a daemon for its estimates of a service's engines.
func (c *peerClient) queryPace(ctx context.Context, vm routing.VM, service string) (*peerpb.PaceReply, error) {
	return callWork(ctx, c, vm, peerpb.Work.Pace, &peerpb.WorkRequest{Service: service})
}

// sendReport reports this daemon's work at an engine to the engine's tracking daemon.
func (c *peerClient) sendReport(ctx context.Context, vm routing.VM, report *peerpb.NoteRequest) {
	// A failure is logged by recordResult; the next report is complete again.
	_, _ = callWork(ctx, c, vm, peerpb.Work.Note, report)
}

// queryTracked asks a tracking daemon for the work of other daemons at its engines.
func (c *peerClient) queryTracked(ctx context.Context, vm routing.VM, q *peerpb.NotedRequest) (*peerpb.WorkReply, error) {
	return callWork(ctx, c, vm, peerpb.Work.Noted, q)
}

// callWork calls a method of the Work service at a daemon.
func callWork[Q, R any](
	ctx context.Context, c *peerClient, vm routing.VM, method func(peerpb.Work, context.Context, Q) (R, error), q Q,
) (R, error) {
	return callPeer(ctx, c, vm, peerpb.NewWorkProtobufClient, method, q, workTimeout)
}

// callPeer calls a daemon with a timeout and skips the daemon for a while if the call fails. client
// creates the client of the called service.
func callPeer[C, Q, R any](
	ctx context.Context, c *peerClient, vm routing.VM, client func(string, peerpb.HTTPClient, ...twirp.ClientOption) C,
	method func(C, context.Context, Q) (R, error), q Q, limit time.Duration,
) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	reply, err := method(client(c.dialer.URL(vm.PeerAddress), c.dialer.Client), ctx, q)
	return reply, c.recordResult(vm, err)
}

// broadcast calls notify for every other daemon. A failed call is logged by recordResult.
func (c *peerClient) broadcast(view *feed.View, notify func(context.Context, routing.VM) error) {
	c.callAll(view, maxConcurrentCalls, func(vm routing.VM) { _ = notify(context.Background(), vm) })
}

// callAll calls a function for every other daemon, at most concurrency at a time, and waits for all.
func (c *peerClient) callAll(view *feed.View, concurrency int, call func(routing.VM)) {
	if c.dialer == nil {
		return
	}
	var group errgroup.Group
	group.SetLimit(concurrency)
	for _, vm := range routing.Peers(view.VMs, c.self) {
		group.Go(func() error {
			call(vm)
			return nil
		})
	}
	_ = group.Wait() // no call returns an error
}

// recordResult skips a daemon for a while after a failure, and returns err.
func (c *peerClient) recordResult(vm routing.VM, err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		delete(c.backoffUntil, vm.ID)
		return nil
	}
	c.backoffUntil[vm.ID] = time.Now().Add(peerBackoff)
	c.log.Emit(event.PeerSilent, vm.PeerAddress, err)
	return err
}

func (w workloads) add(reply *peerpb.WorkReply) {
	for _, s := range reply.GetServers() {
		incarnation := routing.Incarnation{ID: s.GetId(), StartedAtMS: s.GetBorn()}
		sum := w[incarnation]
		sum.prefilling += int(max(s.GetReading(), 0))
		sum.running += int(max(s.GetRunning(), 0))
		w[incarnation] = sum
	}
}

// fetchPace asks some other daemons for their estimates of a service's engines if this daemon has
// seen too few answers to tell which ones cannot be complete in time.
func (h *Handler) fetchPace(ctx context.Context, service string) {
	if h.peers.dialer == nil || h.pressure.hasEstimates(service) {
		return
	}
	view := h.opts.Feed.View()
	peers := h.peers.responsive(time.Now(), routing.Peers(view.VMs, h.peers.self))
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	var wg sync.WaitGroup
	for _, vm := range peers[:min(pacePeers, len(peers))] {
		wg.Go(func() {
			if reply, err := h.peers.queryPace(ctx, vm, service); err == nil {
				h.pressure.mergeEstimates(service, prompts.Estimates{
					PrefillNsPerToken: reply.GetPerToken(), PrefillTokens: reply.GetPromptTokens(), NsPerEvent: reply.GetPerEvent(),
					Events: reply.GetEvents(), EventsPerToken: reply.GetEventsPerToken(), Answers: int(min(reply.GetAnswers(), math.MaxInt32)),
				})
			}
		})
	}
	wg.Wait()
}

// workService implements peerpb.Work.
type workService struct{ h *Handler }

// AtServers implements peerpb.Work.
func (t workService) AtServers(_ context.Context, q *peerpb.WorkRequest) (*peerpb.WorkReply, error) {
	reply := &peerpb.WorkReply{}
	for incarnation, w := range t.h.pool.localWork(t.h.opts.Feed.View(), q.GetService()) {
		reply.Servers = append(reply.Servers, serverWork(incarnation, w))
	}
	return reply, nil
}

// Pace implements peerpb.Work.
func (t workService) Pace(_ context.Context, q *peerpb.WorkRequest) (*peerpb.PaceReply, error) {
	l := t.h.pressure.estimates(q.GetService())
	return &peerpb.PaceReply{
		PerToken: l.PrefillNsPerToken, PromptTokens: l.PrefillTokens, PerEvent: l.NsPerEvent,
		Events: l.Events, EventsPerToken: l.EventsPerToken, Answers: int64(l.Answers),
	}, nil
}

// WorkService returns the path prefix and handler of the twirp service that reports work and
// estimates to other daemons.
func (h *Handler) WorkService() (prefix string, handler http.Handler) {
	s := peerpb.NewWorkServer(workService{h})
	return s.PathPrefix(), s
}
