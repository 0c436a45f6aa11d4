package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/retrybudget"
	"mallowwind.dev/peer/link"
	"mallowwind.dev/peer/peerpb"
	"mallowwind.dev/telemetry/event"
)

// borrowTimeout allows for many round trips between zones (2 ms). It is short compared with the
// permitted pause of a stream (700 ms), half of which passes before the loss is detected.
const borrowTimeout = 60 * time.Millisecond

// retryBorrower borrows retry budget from other daemons.
//
// It guards against an uneven loss: engines of a zone crash, and one daemon has more broken streams
// than its share of the fleet's retry budget covers. It cuts answers although its peers have
// retries left; the callers retry and their prompts are prefilled a second time.
type retryBorrower struct {
	dialer *link.Dialer // nil disables borrowing
	log    *event.Log
	self   string

	mu      sync.Mutex
	lenders map[lenderKey]*retrybudget.PeerSelector
}

// lenderKey is what a daemon is asked for. A daemon that keeps its last retries for others may
// still lend one for a request that may use the reserve, so refusals are remembered separately.
type lenderKey struct {
	service  string
	ordinary bool
}

func newRetryBorrower(o Options) *retryBorrower {
	return &retryBorrower{dialer: o.Dialer, log: o.Log, self: o.Self.ID, lenders: map[lenderKey]*retrybudget.PeerSelector{}}
}

// borrow reports whether another daemon lent one retry for a request.
func (b *retryBorrower) borrow(ctx context.Context, view *feed.View, request string, key lenderKey) bool {
	if b.dialer == nil {
		return false
	}
	daemons, peers := b.lenderCandidates(view)
	var asked []string
	for ctx.Err() == nil {
		id, ok := b.nextLender(key, daemons, asked)
		if !ok {
			return false
		}
		asked = append(asked, id)
		if b.requestRetry(ctx, peers[id], key) {
			b.log.Emit(event.RetryBorrowed, request, id, key.service)
			return true
		}
		b.recordRefusal(key, id)
	}
	return false
}

// lenderCandidates returns the ids of the other serving daemons and their peer addresses.
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

func (b *retryBorrower) nextLender(key lenderKey, daemons, asked []string) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return getOrCreate(b.lenders, key).Next(time.Now(), daemons, asked, rand.Uint64())
}

// recordRefusal records that a daemon lent nothing. One that refuses a retry from its reserve has
// none for ordinary requests either.
func (b *retryBorrower) recordRefusal(key lenderKey, id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	getOrCreate(b.lenders, lenderKey{service: key.service, ordinary: true}).MarkRefused(now, id)
	if !key.ordinary {
		getOrCreate(b.lenders, key).MarkRefused(now, id)
	}
}

func (b *retryBorrower) requestRetry(ctx context.Context, address string, key lenderKey) bool {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	client := peerpb.NewRepeatsProtobufClient(b.dialer.URL(address), b.dialer.Client)
	reply, err := client.Lend(ctx, &peerpb.LendRequest{Service: key.service, Ordinary: key.ordinary})
	if err != nil {
		// A retry granted in a lost reply stays unused: the fleet retries less than its budget
		// allows.
		b.log.Emit(event.LenderFailed, address, err)
		b.dialer.CloseIdleConnections()
		return false
	}
	return reply.GetGranted()
}

// retryBudgetService implements peerpb.Repeats.
type retryBudgetService struct{ pool *pool }

// Lend charges a peer's retry to this daemon's budget.
func (l retryBudgetService) Lend(_ context.Context, q *peerpb.LendRequest) (*peerpb.LendReply, error) {
	return &peerpb.LendReply{Granted: l.pool.tryTakeRetry(time.Now(), q.GetService(), q.GetOrdinary())}, nil
}

// RetryBudgetService returns the path prefix and handler of the twirp service that lends retry
// budget to other daemons.
func (h *Handler) RetryBudgetService() (prefix string, handler http.Handler) {
	s := peerpb.NewRepeatsServer(retryBudgetService{h.pool})
	return s.PathPrefix(), s
}
