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
	// workSilence is how long a daemon that did not answer is left out, so that one that
	// is dead or cut off does not hold up every prompt. It is about what a restart takes.
	workSilence = time.Second
)

// work is what is under way at one engine.
type work struct{ reading, running int }

// workAt is what is under way, by engine.
type workAt map[routing.Life]work

// neighbours asks the other daemons what they have under way.
type neighbours struct {
	dialer *link.Dialer // nil: nobody is asked
	log    *event.Log
	self   string

	mu     sync.Mutex
	silent map[string]time.Time // until when a daemon is left out, by id
}

func newNeighbours(o Options) *neighbours {
	return &neighbours{dialer: o.Dialer, log: o.Log, self: o.Self.ID, silent: map[string]time.Time{}}
}

// work is the sum of what the others have under way at the engines of a service; ok is
// false where they are too many to be asked, or none of them answered.
func (n *neighbours) work(ctx context.Context, view *feed.View, service string) (sum workAt, ok bool) {
	if n.dialer == nil || !prompts.ShouldPollPeers(len(view.VMs)) {
		return nil, false
	}
	var all sync.WaitGroup
	var mu sync.Mutex
	sum = workAt{}
	for _, vm := range n.heard(time.Now(), routing.Peers(view.VMs, n.self)) {
		all.Go(func() {
			reply, err := n.ask(ctx, vm, service)
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

// heard are the daemons that answered when they were asked last. One that stops still has
// answers under way.
func (n *neighbours) heard(now time.Time, vms []routing.VM) (heard []routing.VM) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, vm := range vms {
		if !now.Before(n.silent[vm.ID]) {
			heard = append(heard, vm)
		}
	}
	return heard
}

func (n *neighbours) ask(ctx context.Context, vm routing.VM, service string) (*peerpb.WorkReply, error) {
	return call(ctx, n, vm, peerpb.Work.AtServers, &peerpb.WorkRequest{Service: service})
}

// pace is what a daemon has learned of the engines of a service.
func (n *neighbours) pace(ctx context.Context, vm routing.VM, service string) (*peerpb.PaceReply, error) {
	return call(ctx, n, vm, peerpb.Work.Pace, &peerpb.WorkRequest{Service: service})
}

// note tells a daemon what this one has under way at a server that it keeps notes on.
func (n *neighbours) note(ctx context.Context, vm routing.VM, note *peerpb.NoteRequest) {
	// A failure is logged by judge; the next note says all.
	_, _ = call(ctx, n, vm, peerpb.Work.Note, note)
}

// noted asks a daemon what others have under way at servers that it keeps notes on.
func (n *neighbours) noted(ctx context.Context, vm routing.VM, q *peerpb.NotedRequest) (*peerpb.WorkReply, error) {
	return call(ctx, n, vm, peerpb.Work.Noted, q)
}

// call makes one call of the service Work to a daemon.
func call[Q, R any](
	ctx context.Context, n *neighbours, vm routing.VM, method func(peerpb.Work, context.Context, Q) (R, error), q Q,
) (R, error) {
	return request(ctx, n, vm, peerpb.NewWorkProtobufClient, method, q, workTimeout)
}

// request makes one call to a daemon within a limit, and leaves the daemon out for a while if
// it fails. client makes the client of the service called.
func request[C, Q, R any](
	ctx context.Context, n *neighbours, vm routing.VM, client func(string, peerpb.HTTPClient, ...twirp.ClientOption) C,
	method func(C, context.Context, Q) (R, error), q Q, limit time.Duration,
) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	reply, err := method(client(n.dialer.URL(vm.Peer), n.dialer.Client), ctx, q)
	return reply, n.judge(vm, err)
}

// tellAll calls tell for all other daemons. A call that fails is logged by judge.
func (n *neighbours) tellAll(view *feed.View, tell func(context.Context, routing.VM) error) {
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

// judge leaves a daemon that failed out for a while, and returns err.
func (n *neighbours) judge(vm routing.VM, err error) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err == nil {
		delete(n.silent, vm.ID)
		return nil
	}
	n.silent[vm.ID] = time.Now().Add(workSilence)
	n.log.Emit(event.NeighbourSilent, vm.Peer, err)
	return err
}

func (w workAt) add(reply *peerpb.WorkReply) {
	for _, s := range reply.GetServers() {
		life := routing.Life{ID: s.GetId(), Born: s.GetBorn()}
		one := w[life]
		one.reading += int(max(s.GetReading(), 0))
		one.running += int(max(s.GetRunning(), 0))
		w[life] = one
	}
}

// learnPace asks some other daemons what they learned of the engines of a service, where
// this one has seen too little to tell which answers cannot be whole in time.
func (h *Handler) learnPace(ctx context.Context, service string) {
	if h.neighbours.dialer == nil || h.pressure.knows(service) {
		return
	}
	view := h.opts.Feed.View()
	peers := h.neighbours.heard(time.Now(), routing.Peers(view.VMs, h.neighbours.self))
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	var all sync.WaitGroup
	for _, vm := range peers[:min(paceAsked, len(peers))] {
		all.Go(func() {
			if reply, err := h.neighbours.pace(ctx, vm, service); err == nil {
				h.pressure.hear(service, prompts.Estimates{
					PrefillNsPerToken: reply.GetPerToken(), NsPerEvent: reply.GetPerEvent(),
					Events: reply.GetEvents(), Answers: int(min(reply.GetAnswers(), math.MaxInt32)),
				})
			}
		})
	}
	all.Wait()
}

// telling implements peerpb.Work.
type telling struct{ h *Handler }

// AtServers implements peerpb.Work.
func (t telling) AtServers(_ context.Context, q *peerpb.WorkRequest) (*peerpb.WorkReply, error) {
	reply := &peerpb.WorkReply{}
	for life, w := range t.h.pool.work(t.h.opts.Feed.View(), q.GetService()) {
		reply.Servers = append(reply.Servers, serverWork(life, w))
	}
	return reply, nil
}

// Pace implements peerpb.Work.
func (t telling) Pace(_ context.Context, q *peerpb.WorkRequest) (*peerpb.PaceReply, error) {
	l := t.h.pressure.learned(q.GetService())
	return &peerpb.PaceReply{PerToken: l.PrefillNsPerToken, PerEvent: l.NsPerEvent, Events: l.Events, Answers: int64(l.Answers)}, nil
}

// Telling returns the twirp service that other daemons call, and its path prefix.
func (h *Handler) Telling() (prefix string, handler http.Handler) {
	s := peerpb.NewWorkServer(telling{h})
	return s.PathPrefix(), s
}
