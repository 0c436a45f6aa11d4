package forward

import (
	"context"
	"net/http"
	"sync"
	"time"

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
	if n.dialer == nil || !prompts.Asks(len(view.VMs)) {
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
	ctx, cancel := context.WithTimeout(ctx, workTimeout)
	defer cancel()
	client := peerpb.NewWorkProtobufClient(n.dialer.URL(vm.Peer), n.dialer.Client)
	reply, err := client.AtServers(ctx, &peerpb.WorkRequest{Service: service})
	n.mu.Lock()
	defer n.mu.Unlock()
	if err == nil {
		delete(n.silent, vm.ID)
		return reply, nil
	}
	n.silent[vm.ID] = time.Now().Add(workSilence)
	n.log.Emit(event.NeighbourSilent, vm.Peer, err)
	return nil, err
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

// telling implements peerpb.Work.
type telling struct{ h *Handler }

// AtServers implements peerpb.Work.
func (t telling) AtServers(_ context.Context, q *peerpb.WorkRequest) (*peerpb.WorkReply, error) {
	reply := &peerpb.WorkReply{}
	for life, w := range t.h.pool.work(t.h.opts.Feed.View(), q.GetService()) {
		reply.Servers = append(reply.Servers, &peerpb.ServerWork{
			Id: life.ID, Born: life.Born, Reading: int32(w.reading), Running: int32(w.running),
		})
	}
	return reply, nil
}

// Telling returns the twirp service that other daemons call, and its path prefix.
func (h *Handler) Telling() (prefix string, handler http.Handler) {
	s := peerpb.NewWorkServer(telling{h})
	return s.PathPrefix(), s
}
