package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/repeats"
	"mallowwind.dev/peer/link"
	"mallowwind.dev/peer/peerpb"
	"mallowwind.dev/telemetry/event"
)

// lendTimeout is many round trips between zones (2 ms), and short beside the
// pause that a stream may make (700 ms), of which finding the loss takes half.
const lendTimeout = 60 * time.Millisecond

// retryBorrower asks other daemons for repeats that they do not need.
//
// The failure it answers: engines of a zone die, one daemon has more broken
// streams than its part of the fleet's budget, and cuts them although its
// neighbours have repeats left. Their callers come back and the prompts are read
// a second time.
type retryBorrower struct {
	dialer *link.Dialer // nil: nobody is asked
	log    *event.Log
	self   string

	mu      sync.Mutex
	lenders map[string]*repeats.PeerSelector // by service
}

func newRetryBorrower(o Options) *retryBorrower {
	return &retryBorrower{dialer: o.Dialer, log: o.Log, self: o.Self.ID, lenders: map[string]*repeats.PeerSelector{}}
}

// borrow reports whether another daemon lent one repeat of a request to a service.
func (b *retryBorrower) borrow(ctx context.Context, view *feed.View, request, service string) bool {
	if b.dialer == nil {
		return false
	}
	daemons, peers := b.lenderCandidates(view)
	var asked []string
	for ctx.Err() == nil {
		id, ok := b.nextLender(service, daemons, asked)
		if !ok {
			return false
		}
		asked = append(asked, id)
		if b.requestRetry(ctx, peers[id], service) {
			b.log.Emit(event.RetryBorrowed, request, id, service)
			return true
		}
		b.recordRefusal(service, id)
	}
	return false
}

// lenderCandidates are the daemons that serve beside this one, and where they are asked.
func (b *retryBorrower) lenderCandidates(view *feed.View) (ids []string, peers map[string]string) {
	peers = make(map[string]string, len(view.VMs))
	for _, vm := range routing.Peers(view.VMs, b.self) {
		if !vm.Draining {
			ids = append(ids, vm.ID)
			peers[vm.ID] = vm.PeerAddress
		}
	}
	return ids, peers
}

func (b *retryBorrower) nextLender(service string, daemons, asked []string) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return getOrCreate(b.lenders, service).Next(time.Now(), daemons, asked, rand.Uint64())
}

func (b *retryBorrower) recordRefusal(service, id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	getOrCreate(b.lenders, service).MarkRefused(time.Now(), id)
}

func (b *retryBorrower) requestRetry(ctx context.Context, address, service string) bool {
	ctx, cancel := context.WithTimeout(ctx, lendTimeout)
	defer cancel()
	client := peerpb.NewRepeatsProtobufClient(b.dialer.URL(address), b.dialer.Client)
	reply, err := client.Lend(ctx, &peerpb.LendRequest{Service: service})
	if err != nil {
		// What a lost answer granted stays unused: the fleet repeats less than it may.
		b.log.Emit(event.LenderFailed, address, err)
		b.dialer.DropIdle()
		return false
	}
	return reply.GetGranted()
}

// lending implements peerpb.Repeats.
type lending struct{ pool *pool }

// Lend counts a repeat of another daemon as one of this daemon.
func (l lending) Lend(_ context.Context, q *peerpb.LendRequest) (*peerpb.LendReply, error) {
	return &peerpb.LendReply{Granted: l.pool.tryTakeRetry(time.Now(), q.GetService())}, nil
}

// RetryBudgetService returns the twirp service that other daemons call, and its path prefix.
func (h *Handler) RetryBudgetService() (prefix string, handler http.Handler) {
	s := peerpb.NewRepeatsServer(lending{h.pool})
	return s.PathPrefix(), s
}
