package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/poison"
	"mallowwind.dev/decision/rendezvous"
	"mallowwind.dev/peer/peerpb"
)

const (
	// poisonTrackers is how many daemons count the crashes under one request: one of them may be
	// dead, partitioned or newly started.
	poisonTrackers = 2
	// poisonTimeout is the timeout for telling one daemon of a request.
	poisonTimeout = 300 * time.Millisecond
	// marksPeers is how many daemons a starting daemon asks for their marks.
	marksPeers = 4
)

// poisonTrackersOf returns the daemons that track a key except this one: the digest of a request, or
// the name of a service whose crashes under prompts with shared parts are counted.
func (h *Handler) poisonTrackersOf(key string) (trackers []routing.VM) {
	if h.peers.dialer == nil {
		return nil
	}
	vms, hashes := routing.Serving(h.opts.Feed.View().VMs)
	for _, i := range rendezvous.Select(xxhash.Sum64String(key), hashes, poisonTrackers) {
		if vms[i].ID != h.opts.Self.ID {
			trackers = append(trackers, vms[i])
		}
	}
	return trackers
}

// notifyTrackers calls notify for each tracking daemon of a request except this one.
func (p *poisonRegistry) notifyTrackers(digest string, notify func(routing.VM)) {
	for _, vm := range p.h.poisonTrackersOf(digest) {
		go notify(vm)
	}
}

// broadcast tells all other daemons of a request. A daemon that misses the message learns of a
// refusal from the store, or from a tracking daemon when it counts a crash itself.
func (p *poisonRegistry) broadcast(q *peerpb.MarkedRequest) {
	p.h.peers.broadcast(p.h.opts.Feed.View(), func(ctx context.Context, vm routing.VM) error {
		_, err := callPeer(ctx, p.h.peers, vm, peerpb.NewPoisonProtobufClient, peerpb.Poison.Marked, q, poisonTimeout)
		return err
	})
}

// fetchMarks asks some daemons for the marks that they know.
//
// It guards against a daemon that starts during a store outage: a request was refused meanwhile,
// and the daemon reads the store's state from before the outage from another daemon.
func (p *poisonRegistry) fetchMarks(ctx context.Context) {
	if p.h.peers.dialer == nil {
		return
	}
	peers := routing.Peers(p.h.opts.Feed.View().VMs, p.h.opts.Self.ID)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, vm := range peers[:min(marksPeers, len(peers))] {
		go func() {
			reply, err := callPeer(ctx, p.h.peers, vm, peerpb.NewPoisonProtobufClient, peerpb.Poison.Marks, &peerpb.MarksRequest{}, poisonTimeout)
			if err != nil {
				return // logged by recordResult
			}
			for _, request := range reply.GetRefused() {
				p.observeMark(request, poison.Refused)
			}
		}()
	}
}

// markFromProto converts a mark. An unknown value counts as unmarked.
func markFromProto(m peerpb.Mark) poison.Mark {
	switch m {
	case peerpb.Mark_MARK_WATCHED:
		return poison.Watched
	case peerpb.Mark_MARK_REFUSED:
		return poison.Refused
	}
	return poison.Unmarked
}

// poisonService implements peerpb.Poison.
type poisonService struct{ p *poisonRegistry }

// Ended implements peerpb.Poison.
func (t poisonService) Ended(_ context.Context, q *peerpb.EndedRequest) (*peerpb.EndedReply, error) {
	t.p.countCrash(q)
	return t.p.status(q.GetDigest()), nil
}

// Cleared implements peerpb.Poison.
func (t poisonService) Cleared(_ context.Context, q *peerpb.ClearedRequest) (*peerpb.ClearedReply, error) {
	t.p.clearCounts(q.GetDigest())
	return &peerpb.ClearedReply{}, nil
}

// Marked implements peerpb.Poison.
func (t poisonService) Marked(_ context.Context, q *peerpb.MarkedRequest) (*peerpb.MarkedReply, error) {
	t.p.observeMark(q.GetRequest(), markFromProto(q.GetMark()))
	return &peerpb.MarkedReply{}, nil
}

// Marks implements peerpb.Poison.
func (t poisonService) Marks(context.Context, *peerpb.MarksRequest) (*peerpb.MarksReply, error) {
	p := t.p
	p.mu.Lock()
	defer p.mu.Unlock()
	reply := &peerpb.MarksReply{}
	for _, digest := range p.marks.DigestsWith(time.Now(), poison.Refused) {
		reply.Refused = append(reply.Refused, p.details[digest])
	}
	return reply, nil
}

// status returns what this daemon knows of a request.
func (p *poisonRegistry) status(digest string) *peerpb.EndedReply {
	p.mu.Lock()
	defer p.mu.Unlock()
	details := p.details[digest]
	if details == nil {
		details = &peerpb.Poisonous{Digest: digest}
	}
	return &peerpb.EndedReply{Request: details, Mark: peerpb.Mark(p.mark(digest))}
}

// PoisonService returns the path prefix and handler of the twirp service for poison requests.
func (h *Handler) PoisonService() (prefix string, handler http.Handler) {
	s := peerpb.NewPoisonServer(poisonService{h.poisonRegistry})
	return s.PathPrefix(), s
}
