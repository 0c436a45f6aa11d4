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

// poisonRegistry tracks poison requests, which crash the servers that run them. Refusals are kept
// in the store, and daemons tell each other of them at once.
type poisonRegistry struct {
	h *Handler

	mu      sync.Mutex // guards the fields below
	view    *feed.View // last view processed
	ledger  poison.CrashCounter[routing.Incarnation]
	marks   poison.Marks
	running map[string]map[*activeRequest]bool // by runningKeys
	parts   map[string]partSets                // of refused prompts, by the first part
	details map[string]*peerpb.Poisonous       // of requests with a mark or with crashes counted here
	pending map[string]*peerpb.Poisonous       // not written to the store yet
	claims  map[string]bool                    // refusals whose trial is being claimed
	wakeup  chan struct{}                      // holds a value when entries are pending
}

// activeRequest is one request in progress.
type activeRequest struct {
	parts  []string // shared parts of its prompt
	trial  []string // digests of the refusals that it tests; empty for none
	cancel context.CancelCauseFunc
}

// partKeyPrefix begins the keys of single parts in poisonRegistry.running and the digests of refused
// parts, so that they differ from the digests of requests.
const partKeyPrefix = "part-"

// runningKeys returns the keys under which a request in progress is found.
func runningKeys(in *inbound) []string {
	keys := slices.Clone(in.digests)
	for _, part := range in.call.PromptParts {
		keys = append(keys, partKeyPrefix+part)
	}
	return keys
}

func newPoisonRegistry(h *Handler) *poisonRegistry {
	return &poisonRegistry{
		h: h, view: &feed.View{}, running: map[string]map[*activeRequest]bool{}, parts: map[string]partSets{}, details: map[string]*peerpb.Poisonous{},
		pending: map[string]*peerpb.Poisonous{}, claims: map[string]bool{}, wakeup: make(chan struct{}, 1),
	}
}

// errPoison is the answer to a poison request. The request ran, in this attempt or an earlier one,
// so the verdict is MayHaveRun. Retrying does not help, so there is no Retry-After.
func errPoison(digest string) error {
	return verdict.New(verdict.MayHaveRun, verdict.CodePoison, "backend servers end when they run this request, so it is sent to none (%s)", digest)
}

// begin registers a request, unless it is refused and no trial is due. The returned context is canceled if
// the request is refused later.
func (p *poisonRegistry) begin(ctx context.Context, in *inbound) (_ context.Context, finish func(), err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.syncView(p.h.opts.Feed.View())
	if refusals := p.refusals(in); len(refusals) > 0 {
		if !p.claimTrials(ctx, in, refusals) {
			p.h.metrics.poisonRefusals.Inc()
			return ctx, nil, refusals[0].reason
		}
		in.asTrial(refusals)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	request := &activeRequest{in.call.PromptParts, in.trial, cancel}
	keys := runningKeys(in)
	for _, digest := range keys {
		if p.running[digest] == nil {
			p.running[digest] = map[*activeRequest]bool{}
		}
		p.running[digest][request] = true
	}
	return ctx, func() {
		cancel(nil)
		p.finish(keys, request)
	}, nil
}

// poisonRefusal is a reason for which a request is refused.
type poisonRefusal struct {
	digest  string
	ofParts bool  // of prompts with some parts, not of the request itself
	reason  error // the answer to the caller
}

// refusals returns all refusals that apply to a request. The caller holds the lock.
func (p *poisonRegistry) refusals(in *inbound) (list []poisonRefusal) {
	for _, digest := range in.digests {
		if p.mark(digest) == poison.Refused {
			list = append(list, poisonRefusal{digest, false, errPoison(digest)})
		}
	}
	for _, digest := range p.refusedFor(in.call.PromptParts) {
		list = append(list, poisonRefusal{digest, true, errPoisonParts(verdict.NotRun, digest)})
	}
	return list
}

func (p *poisonRegistry) finish(digests []string, request *activeRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, digest := range digests {
		delete(p.running[digest], request)
		if len(p.running[digest]) == 0 {
			delete(p.running, digest)
		}
	}
}

// syncView drops the local marks and counts of requests whose refusal is now in the store, where an
// operator can lift it.
func (p *poisonRegistry) syncView(view *feed.View) {
	if p.view == view {
		return
	}
	for digest, request := range view.Refused {
		if _, known := p.view.Refused[digest]; !known {
			p.addParts(digest, request.Parts)
		}
		p.marks.Delete(digest)
		p.ledger.Clear(digest)
		delete(p.details, digest)
		p.cancelRunning(digest, request.Parts)
	}
	p.view = view
	p.pruneParts()
}

// cancelRunning cancels the attempts of a request that are in progress, or of all prompts with the
// given parts.
func (p *poisonRegistry) cancelRunning(digest string, parts []string) {
	key, reason := digest, errPoison(digest)
	if len(parts) > 0 {
		key, reason = partKeyPrefix+parts[0], errPoisonParts(verdict.MayHaveRun, digest)
	}
	for request := range p.running[key] {
		if !slices.Contains(request.trial, digest) && poison.ContainsAll(request.parts, parts) {
			request.cancel(reason)
		}
	}
}

// mark returns the current mark of a request.
func (p *poisonRegistry) mark(digest string) poison.Mark {
	if p.isStored(digest) {
		return poison.Refused
	}
	return p.marks.Get(time.Now(), digest)
}

// isStored reports whether the refusal of a request is in the store.
func (p *poisonRegistry) isStored(digest string) bool {
	_, ok := p.view.Refused[digest]
	return ok
}

// recordCrash counts a server crash against a request, here and at the request's tracking daemons.
func (p *poisonRegistry) recordCrash(ctx context.Context, in *inbound, incarnation routing.Incarnation) {
	for _, digest := range in.digests {
		q := &peerpb.EndedRequest{Digest: digest, Server: incarnation.ID, Born: incarnation.StartedAtMS, Account: in.accountName(), Route: in.routeName()}
		p.countCrash(q)
		p.notifyTrackers(digest, func(vm routing.VM) {
			reply, err := callPeer(ctx, p.h.peers, vm, peerpb.NewPoisonProtobufClient, peerpb.Poison.Ended, q, poisonTimeout)
			// A tracker without a mark has counted fewer crashes, which says nothing against those
			// counted here.
			if mark := markFromProto(reply.GetMark()); err == nil && mark != poison.Unmarked {
				p.observeMark(reply.GetRequest(), mark)
			}
		})
	}
}

// countCrash counts a server crash against a request and marks the request according to all crashes
// counted here.
func (p *poisonRegistry) countCrash(q *peerpb.EndedRequest) {
	digest, incarnation := q.GetDigest(), routing.Incarnation{ID: q.GetServer(), StartedAtMS: q.GetBorn()}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.syncView(p.h.opts.Feed.View())
	if p.isStored(digest) {
		return
	}
	details := p.details[digest]
	if details == nil {
		details = &peerpb.Poisonous{Digest: digest, Account: q.GetAccount(), Route: q.GetRoute()}
	}
	if p.ledger.Record(time.Now(), digest, incarnation) {
		details = &peerpb.Poisonous{Digest: digest, Account: details.Account, Route: details.Route, Servers: append(slices.Clone(details.Servers), incarnation.ID)}
	}
	p.details[digest] = details
	p.pruneDetails()
	p.announce(details, p.ledger.Mark(digest))
}

// announce sets a mark that was decided here. If the mark is new, it tells the other daemons, and
// has a refusal written to the store. The caller holds the lock.
func (p *poisonRegistry) announce(details *peerpb.Poisonous, mark poison.Mark) {
	if !p.setMark(details, mark) {
		return
	}
	p.h.opts.Log.Emit(event.PoisonMarked, details.GetDigest(), details.GetAccount(), details.GetRoute(), mark.String(), details.GetServers())
	go p.broadcast(&peerpb.MarkedRequest{Request: details, Mark: peerpb.Mark(mark)})
	if mark == poison.Refused {
		p.pending[details.GetDigest()] = details
		p.wakeWriter()
	}
}

// pruneDetails drops the details of requests without counted crashes and without a mark.
func (p *poisonRegistry) pruneDetails() {
	if len(p.details) <= poison.MaxTrackedRequests {
		return
	}
	now := time.Now()
	maps.DeleteFunc(p.details, func(digest string, _ *peerpb.Poisonous) bool {
		return p.ledger.Mark(digest) == poison.Unmarked && p.marks.Get(now, digest) == poison.Unmarked
	})
}

// setMark sets a mark and cancels requests in progress that are now refused. It reports whether the
// mark is new here.
func (p *poisonRegistry) setMark(details *peerpb.Poisonous, mark poison.Mark) bool {
	digest := details.GetDigest()
	if mark == poison.Unmarked || !p.marks.Raise(time.Now(), digest, mark) {
		return false
	}
	p.h.metrics.poisonMarks.WithLabelValues(mark.String()).Inc()
	if mark == poison.Refused {
		p.cancelRunning(digest, details.GetParts())
		p.addParts(digest, details.GetParts())
	}
	return true
}

// observeMark applies a mark reported by another daemon.
func (p *poisonRegistry) observeMark(details *peerpb.Poisonous, mark poison.Mark) {
	p.mu.Lock()
	defer p.mu.Unlock()
	digest := details.GetDigest()
	if mark == poison.Unmarked {
		p.forgetCounts(digest)
		return
	}
	p.syncView(p.h.opts.Feed.View())
	if p.isStored(digest) || !p.setMark(details, mark) {
		return
	}
	p.details[digest] = details
	p.h.opts.Log.Emit(event.PoisonMarkReceived, digest, details.GetAccount(), details.GetRoute(), mark.String(), details.GetServers())
}

// recordCompletion clears a request that got a complete answer: other requests in progress crashed
// its servers. The refusals that it was a trial of are lifted.
func (p *poisonRegistry) recordCompletion(in *inbound) {
	for _, digest := range in.trial {
		go p.lift(in.call.ID, digest)
	}
	for _, digest := range in.digests {
		if !p.clearCounts(digest) {
			continue
		}
		p.h.opts.Log.Emit(event.PoisonCleared, in.call.ID, digest)
		p.notifyTrackers(digest, func(vm routing.VM) {
			q := &peerpb.ClearedRequest{Digest: digest}
			// A failure is logged by recordResult; the next complete answer clears the request
			// there.
			_, _ = callPeer(context.Background(), p.h.peers, vm, peerpb.NewPoisonProtobufClient, peerpb.Poison.Cleared, q, poisonTimeout)
		})
	}
}

// clearCounts drops the crashes counted against a request and its watched mark, and tells the other
// daemons if it was watched. It reports whether anything was dropped.
func (p *poisonRegistry) clearCounts(digest string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	counted, watched := p.forgetCounts(digest)
	if watched {
		go p.broadcast(&peerpb.MarkedRequest{Request: &peerpb.Poisonous{Digest: digest}, Mark: peerpb.Mark_MARK_UNMARKED})
	}
	return counted || watched
}

// forgetCounts drops the crashes counted against a request and its watched mark, and reports which
// of them existed. The caller holds the lock.
func (p *poisonRegistry) forgetCounts(digest string) (counted, watched bool) {
	counted, watched = p.ledger.Clear(digest), p.marks.ClearWatched(digest)
	if counted || watched {
		delete(p.details, digest)
	}
	return counted, watched
}
