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
	// poisonKeepers is how many daemons count the ends of servers under one request: one of
	// them may be dead, cut off or new.
	poisonKeepers = 2
	// poisonTimeout is how long a daemon may take to hear of a request.
	poisonTimeout = 300 * time.Millisecond
	// marksAsked is how many daemons one that starts asks what they were told.
	marksAsked = 4
)

// toKeepers calls tell for each keeper of a request but this daemon.
func (p *poisonRegistry) toKeepers(digest string, tell func(routing.VM)) {
	if p.h.neighbours.dialer == nil {
		return
	}
	vms, hashes := routing.Serving(p.h.opts.Feed.View().VMs)
	for _, i := range rendezvous.Select(xxhash.Sum64String(digest), hashes, poisonKeepers) {
		if vms[i].ID != p.h.opts.Self.ID {
			go tell(vms[i])
		}
	}
}

// spread tells all other daemons of a request. One that does not hear of it learns of a
// refusal from the store, or from a keeper when it counts the end of a server itself.
func (p *poisonRegistry) spread(q *peerpb.MarkedRequest) {
	p.h.neighbours.tellAll(p.h.opts.Feed.View(), func(ctx context.Context, vm routing.VM) error {
		_, err := callPeer(ctx, p.h.neighbours, vm, peerpb.NewPoisonProtobufClient, peerpb.Poison.Marked, q, poisonTimeout)
		return err
	})
}

// fetchMarks asks some daemons for the marks that they were told.
//
// The failure it guards against: a request is refused while the store is away, and a daemon
// that starts reads the store's state of before from a neighbour.
func (p *poisonRegistry) fetchMarks(ctx context.Context) {
	if p.h.neighbours.dialer == nil {
		return
	}
	peers := routing.Peers(p.h.opts.Feed.View().VMs, p.h.opts.Self.ID)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, vm := range peers[:min(marksAsked, len(peers))] {
		go func() {
			reply, err := callPeer(ctx, p.h.neighbours, vm, peerpb.NewPoisonProtobufClient, peerpb.Poison.Marks, &peerpb.MarksRequest{}, poisonTimeout)
			if err != nil {
				return // it is logged by judge
			}
			for _, one := range reply.GetRefused() {
				p.observeMark(one, poison.Refused)
			}
		}()
	}
}

// markOf reads a mark. One that is not known here marks nothing.
func markOf(m peerpb.Mark) poison.Mark {
	switch m {
	case peerpb.Mark_MARK_WATCHED:
		return poison.Watched
	case peerpb.Mark_MARK_REFUSED:
		return poison.Refused
	}
	return poison.Unmarked
}

// poisonTelling implements peerpb.Poison.
type poisonTelling struct{ p *poisonRegistry }

// Ended implements peerpb.Poison.
func (t poisonTelling) Ended(_ context.Context, q *peerpb.EndedRequest) (*peerpb.EndedReply, error) {
	t.p.countCrash(q)
	return t.p.status(q.GetDigest()), nil
}

// Cleared implements peerpb.Poison.
func (t poisonTelling) Cleared(_ context.Context, q *peerpb.ClearedRequest) (*peerpb.ClearedReply, error) {
	t.p.clearCounts(q.GetDigest())
	return &peerpb.ClearedReply{}, nil
}

// Marked implements peerpb.Poison.
func (t poisonTelling) Marked(_ context.Context, q *peerpb.MarkedRequest) (*peerpb.MarkedReply, error) {
	t.p.observeMark(q.GetRequest(), markOf(q.GetMark()))
	return &peerpb.MarkedReply{}, nil
}

// Marks implements peerpb.Poison.
func (t poisonTelling) Marks(context.Context, *peerpb.MarksRequest) (*peerpb.MarksReply, error) {
	p := t.p
	p.mu.Lock()
	defer p.mu.Unlock()
	reply := &peerpb.MarksReply{}
	for _, digest := range p.marks.DigestsWith(time.Now(), poison.Refused) {
		reply.Refused = append(reply.Refused, p.details[digest])
	}
	return reply, nil
}

// status is what is known here of a request.
func (p *poisonRegistry) status(digest string) *peerpb.EndedReply {
	p.mu.Lock()
	defer p.mu.Unlock()
	one := p.details[digest]
	if one == nil {
		one = &peerpb.Poisonous{Digest: digest}
	}
	return &peerpb.EndedReply{Request: one, Mark: peerpb.Mark(p.mark(digest))}
}

// PoisonService returns the twirp service that other daemons call, and its path prefix.
func (h *Handler) PoisonService() (prefix string, handler http.Handler) {
	s := peerpb.NewPoisonServer(poisonTelling{h.poisoned})
	return s.PathPrefix(), s
}
