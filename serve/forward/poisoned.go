package forward

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/poison"
	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/peer/peerpb"
	"mallowwind.dev/telemetry/event"
)

// poisonRegistry knows which requests end the servers that run them. Those that are refused lie in
// the store, and daemons tell each other at once.
type poisonRegistry struct {
	h *Handler

	mu      sync.Mutex // guards the rest
	view    *feed.View // the last one seen here
	ledger  poison.CrashCounter[routing.Incarnation]
	marks   poison.Marks
	running map[string]map[*underway]bool // by digest
	details map[string]*peerpb.Poisonous  // of requests that have a mark or had ends counted here
	pending map[string]*peerpb.Poisonous  // not in the store yet
	roused  chan struct{}                 // holds an item when something is pending
}

// underway is one request in progress.
type underway struct{ cancel context.CancelCauseFunc }

func newPoisonRegistry(h *Handler) *poisonRegistry {
	return &poisonRegistry{
		h: h, view: &feed.View{}, running: map[string]map[*underway]bool{}, details: map[string]*peerpb.Poisonous{},
		pending: map[string]*peerpb.Poisonous{}, roused: make(chan struct{}, 1),
	}
}

// errPoison is the answer to a request that ends its servers. It has run, in this attempt or
// in one before, so it promises nothing; and nothing is gained by coming back.
func errPoison(digest string) error {
	return verdict.New(verdict.MayHaveRun, verdict.CodePoison, "backend servers end when they run this request, so it is sent to none (%s)", digest)
}

// begin begins a request, unless it is refused. Its context ends if it is refused later.
func (p *poisonRegistry) begin(ctx context.Context, in *inbound) (_ context.Context, leave func(), err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.syncView(p.h.opts.Feed.View())
	for _, digest := range in.digests {
		if p.mark(digest) == poison.Refused {
			p.h.metrics.poisonRefusals.Inc()
			return ctx, nil, errPoison(digest)
		}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	one := &underway{cancel}
	for _, digest := range in.digests {
		if p.running[digest] == nil {
			p.running[digest] = map[*underway]bool{}
		}
		p.running[digest][one] = true
	}
	return ctx, func() {
		cancel(nil)
		p.finish(in.digests, one)
	}, nil
}

func (p *poisonRegistry) finish(digests []string, one *underway) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, digest := range digests {
		delete(p.running[digest], one)
		if len(p.running[digest]) == 0 {
			delete(p.running, digest)
		}
	}
}

// syncView forgets what was told and counted of requests that lie in the store from now on: an
// operator lifts their refusal there.
func (p *poisonRegistry) syncView(view *feed.View) {
	if p.view == view {
		return
	}
	p.view = view
	for digest := range view.Refused {
		p.marks.Delete(digest)
		p.ledger.Clear(digest)
		delete(p.details, digest)
		p.cancelRunning(digest)
	}
}

// cancelRunning ends the attempts of a request that are in progress.
func (p *poisonRegistry) cancelRunning(digest string) {
	for one := range p.running[digest] {
		one.cancel(errPoison(digest))
	}
}

// mark is what is held of a request.
func (p *poisonRegistry) mark(digest string) poison.Mark {
	if p.stored(digest) {
		return poison.Refused
	}
	return p.marks.Get(time.Now(), digest)
}

// stored reports whether the refusal of a request lies in the store.
func (p *poisonRegistry) stored(digest string) bool {
	_, ok := p.view.Refused[digest]
	return ok
}

// recordCrash counts the end of a server under a request here and at the request's keepers.
func (p *poisonRegistry) recordCrash(ctx context.Context, in *inbound, life routing.Incarnation) {
	for _, digest := range in.digests {
		q := &peerpb.EndedRequest{Digest: digest, Server: life.ID, Born: life.StartedAtMS, Account: in.accountName(), Route: in.routeName()}
		p.countCrash(q)
		p.toKeepers(digest, func(vm routing.VM) {
			reply, err := callPeer(ctx, p.h.neighbours, vm, peerpb.NewPoisonProtobufClient, peerpb.Poison.Ended, q, poisonTimeout)
			if err == nil {
				p.observeMark(reply.GetRequest(), markOf(reply.GetMark()))
			}
		})
	}
}

// countCrash records the end of a server under a request, and marks the request by all that is
// counted here.
func (p *poisonRegistry) countCrash(q *peerpb.EndedRequest) {
	digest, life := q.GetDigest(), routing.Incarnation{ID: q.GetServer(), StartedAtMS: q.GetBorn()}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.syncView(p.h.opts.Feed.View())
	if p.stored(digest) {
		return
	}
	one := p.details[digest]
	if one == nil {
		one = &peerpb.Poisonous{Digest: digest, Account: q.GetAccount(), Route: q.GetRoute()}
	}
	if p.ledger.Record(time.Now(), digest, life) {
		one = &peerpb.Poisonous{Digest: digest, Account: one.Account, Route: one.Route, Servers: append(slices.Clone(one.Servers), life.ID)}
	}
	p.details[digest] = one
	p.trim()
	mark := p.ledger.Mark(digest)
	if !p.raise(one, mark) {
		return
	}
	p.h.opts.Log.Emit(event.PoisonMarked, digest, one.Account, one.Route, mark.String(), one.Servers)
	go p.spread(&peerpb.MarkedRequest{Request: one, Mark: peerpb.Mark(mark)})
	if mark == poison.Refused {
		p.pending[digest] = one
		p.rouse()
	}
}

// trim forgets the details of requests that nothing is known of any more.
func (p *poisonRegistry) trim() {
	if len(p.details) <= poison.MaxTrackedRequests {
		return
	}
	now := time.Now()
	maps.DeleteFunc(p.details, func(digest string, _ *peerpb.Poisonous) bool {
		return p.ledger.Mark(digest) == poison.Unmarked && p.marks.Get(now, digest) == poison.Unmarked
	})
}

// raise sets a mark, and ends the requests in progress that are refused now. It reports
// whether the mark is new here.
func (p *poisonRegistry) raise(one *peerpb.Poisonous, mark poison.Mark) bool {
	digest := one.GetDigest()
	if mark == poison.Unmarked || !p.marks.Raise(time.Now(), digest, mark) {
		return false
	}
	p.h.metrics.poisonMarks.WithLabelValues(mark.String()).Inc()
	if mark == poison.Refused {
		p.cancelRunning(digest)
	}
	return true
}

// observeMark takes in what another daemon says of a request.
func (p *poisonRegistry) observeMark(one *peerpb.Poisonous, mark poison.Mark) {
	p.mu.Lock()
	defer p.mu.Unlock()
	digest := one.GetDigest()
	if mark == poison.Unmarked {
		p.forget(digest)
		return
	}
	p.syncView(p.h.opts.Feed.View())
	if p.stored(digest) || !p.raise(one, mark) {
		return
	}
	p.details[digest] = one
	p.h.opts.Log.Emit(event.PoisonMarkReceived, digest, one.GetAccount(), one.GetRoute(), mark.String(), one.GetServers())
}

// recordCompletion clears a request of which an answer is whole: other answers beside it ended its
// servers.
func (p *poisonRegistry) recordCompletion(in *inbound) {
	for _, digest := range in.digests {
		if !p.clearCounts(digest) {
			continue
		}
		p.h.opts.Log.Emit(event.PoisonCleared, in.call.ID, digest)
		p.toKeepers(digest, func(vm routing.VM) {
			q := &peerpb.ClearedRequest{Digest: digest}
			// A failure is logged by judge; the next whole answer clears the request there.
			_, _ = callPeer(context.Background(), p.h.neighbours, vm, peerpb.NewPoisonProtobufClient, peerpb.Poison.Cleared, q, poisonTimeout)
		})
	}
}

// clearCounts forgets what is counted of a request and that it is watched, which the other daemons
// are told. It reports whether there was anything.
func (p *poisonRegistry) clearCounts(digest string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	counted, watched := p.forget(digest)
	if watched {
		go p.spread(&peerpb.MarkedRequest{Request: &peerpb.Poisonous{Digest: digest}, Mark: peerpb.Mark_MARK_UNMARKED})
	}
	return counted || watched
}

// forget forgets what is counted of a request and that it is watched. It reports whether either
// was so. The caller holds the lock.
func (p *poisonRegistry) forget(digest string) (counted, watched bool) {
	counted, watched = p.ledger.Clear(digest), p.marks.ClearWatched(digest)
	if counted || watched {
		delete(p.details, digest)
	}
	return counted, watched
}
