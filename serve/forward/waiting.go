package forward

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/promptqueue"
	"mallowwind.dev/decision/prompts"
	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/peer/peerpb"
	"mallowwind.dev/telemetry/event"
)

const (
	// maxWaitingPrompts and maxWaitingBytes bound the memory of waiting requests on small VMs, which
	// the requests in progress need as well. A waiting request costs about 40 kB beside its body.
	maxWaitingPrompts = 128
	maxWaitingBytes   = 8 << 20
	// maxLookProbes bounds the engines probed by one look for room of a waiting prompt. Trackers show
	// where there is room; a probe finds out about memory and engines that have failed.
	maxLookProbes = 2
	// waitCheckInterval is how often a prompt whose turn it is not checks whether it may still wait. A
	// revoked key must stop working soon, and the caller is told early.
	waitCheckInterval = 250 * time.Millisecond
	// noRoomTTL is how long a waiting prompt skips an engine whose report showed no room, unless a
	// run has ended there since as far as daemons reported it. Reports are 200 to 300 ms old, so a
	// probe before learns nothing new.
	noRoomTTL = 300 * time.Millisecond
)

// Values of the label end, and of the field of that name.
const (
	waitStarted      = "started"
	waitTooLate      = "too_late"     // the latest start has passed
	waitCannotStart  = "cannot_start" // the prompts before it leave no time
	waitQueueFull    = "queue_full"   // prompts that start earlier fill the queue
	waitDisconnected = "disconnected" // the caller left, or its deadline has passed
	waitStopping     = "stopping"     // this daemon is shutting down
	waitNotAllowed   = "not_allowed"  // by the current configuration, or that is too old
	waitMoved        = "moved"        // the route has another service now
)

// errServiceChanged means that the route of a waiting prompt has another service now.
var errServiceChanged = errors.New("forward: the route has another service")

// waitingPrompts holds the prompts that wait for room at engines, by service. It is safe for
// concurrent use.
type waitingPrompts struct {
	stopping chan struct{} // closed when the shutdown begins
	stop     sync.Once

	mu       sync.Mutex // guards the fields below
	services map[string]*serviceQueue
}

// serviceQueue holds the waiting prompts of one service.
type serviceQueue struct {
	promptqueue.Queue
	waiters  map[*promptqueue.Prompt]*waiter
	nextLook time.Time // before that, the next prompt does not look for room
}

// wake makes a prompt check whether it is its turn.
func (s *serviceQueue) wake(p *promptqueue.Prompt) {
	select {
	case s.waiters[p].turn <- struct{}{}:
	default:
	}
}

// waiter is one waiting prompt. Apart from its channels, only the goroutine of its request uses it.
type waiter struct {
	*promptqueue.Prompt
	service string
	part    string        // chooses the candidate engines
	turn    chan struct{} // receives when the prompt has become the first
	evicted chan struct{} // closed if the prompt exceeds the limits
	begun   time.Time
	looks   int
	// noRoom holds the engines whose last report showed no room.
	noRoom map[routing.Incarnation]engineWithoutRoom
	// stated is what trackers were told last, nil if they were not.
	stated *peerpb.WaitingPrompt
}

// engineWithoutRoom is an engine without room for a prompt, with the work that daemons reported there.
type engineWithoutRoom struct {
	work  int
	until time.Time
}

func newWaitingPrompts() *waitingPrompts {
	return &waitingPrompts{stopping: make(chan struct{}), services: map[string]*serviceQueue{}}
}

// beginShutdown wakes all waiting prompts, which then are refused.
func (q *waitingPrompts) beginShutdown() { q.stop.Do(func() { close(q.stopping) }) }

func (q *waitingPrompts) isStopping() bool {
	select {
	case <-q.stopping:
		return true
	default:
		return false
	}
}

// len returns the number of waiting prompts.
func (q *waitingPrompts) len() (n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, s := range q.services {
		n += s.Len()
	}
	return n
}

// join adds a prompt. first reports whether it looks for room next; refusal is the reason if it does
// not wait.
func (q *waitingPrompts) join(now time.Time, w *waiter) (first bool, refusal promptqueue.Refusal, waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.services[w.service]
	if s == nil {
		s = &serviceQueue{waiters: map[*promptqueue.Prompt]*waiter{}}
		q.services[w.service] = s
	}
	s.Limits = q.limits(w.service)
	refusal, evicted := s.Add(now, w.Prompt)
	if refusal != promptqueue.Waits {
		return false, refusal, s.Len()
	}
	s.waiters[w.Prompt] = w
	for _, p := range evicted {
		close(s.waiters[p].evicted)
		delete(s.waiters, p)
	}
	next, _ := s.First(now)
	if first = next == w.Prompt; first {
		s.nextLook = now
	}
	return first, promptqueue.Waits, s.Len()
}

// limits returns the bounds for a service: an equal part for each service with waiting prompts. The
// caller holds the lock.
func (q *waitingPrompts) limits(service string) promptqueue.Limits {
	active := 1
	for name, s := range q.services {
		if name != service && s.Len() > 0 {
			active++
		}
	}
	return promptqueue.Limits{Prompts: max(1, maxWaitingPrompts/active), Bytes: maxWaitingBytes / int64(active)}
}

// check returns the reason if a waiting prompt has no prospect of starting in time any more.
func (q *waitingPrompts) check(now time.Time, w *waiter) promptqueue.Refusal {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.services[w.service].Check(now, w.Prompt)
}

// leave removes a prompt, which starts or no longer waits, and wakes the next one.
func (q *waitingPrompts) leave(now time.Time, w *waiter, started bool) (waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.services[w.service]
	wasFirst, _ := s.First(now)
	if started {
		s.Started(now, w.Prompt)
	} else {
		s.Remove(w.Prompt)
	}
	delete(s.waiters, w.Prompt)
	if next, _ := s.First(now); next != nil && next != wasFirst {
		s.nextLook = now
		s.wake(next)
	}
	return s.Len()
}

// failedLook records that a prompt has found no room, and when the next one looks.
func (q *waitingPrompts) failedLook(now time.Time, w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.services[w.service]
	if s.waiters[w.Prompt] != w {
		return // evicted meanwhile
	}
	again := s.Failed(now, w.Prompt)
	next, _ := s.First(now)
	s.nextLook = now
	if !again {
		s.nextLook = now.Add(s.LookInterval(now, next, rand.Float64()))
	}
	if next != w.Prompt {
		s.wake(next)
	}
}

// rankOfTurn reports whether it is the turn of a prompt to look for room, and at which rank.
func (q *waitingPrompts) rankOfTurn(now time.Time, w *waiter) (rank int, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.services[w.service]
	first, rank := s.First(now)
	return rank, first == w.Prompt && !now.Before(s.nextLook)
}

// nextCheck returns the time until a prompt looks for room again, or checks whether it still may wait
// if it is not its turn.
func (q *waitingPrompts) nextCheck(now time.Time, w *waiter) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.services[w.service]
	next := waitCheckInterval
	if first, _ := s.First(now); first == w.Prompt {
		next = max(s.nextLook.Sub(now), 0)
	}
	return min(next, max(w.Slack(now), 0))
}

// hasBefore reports whether a new prompt has to let waiting ones start before it.
func (q *waitingPrompts) hasBefore(service string, rank int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.services[service]
	return s != nil && s.HasBefore(rank)
}

// startedAtOnce records that a prompt was placed without having waited.
func (q *waitingPrompts) startedAtOnce(service string, rank int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if s := q.services[service]; s != nil {
		s.StartedAtOnce(rank)
	}
}

// latestStart returns when a prompt has to be sent to an idle engine at the latest.
func (p *pressure) latestStart(now time.Time, service string, in *inbound) time.Time {
	defer p.mu.Unlock()
	pace := &p.lockService(service).pace
	return now.Add(pace.StartBudget(in.call.PromptTokens, in.route.Objective, in.route.Timeout, in.deadline.Sub(now)))
}

// mayWait reports whether the prompt may wait for room. A request that may have been sent, or whose
// caller holds a part of the response, is placed at once wherever its prompt can be prefilled.
func (r *relay) mayWait(view *feed.View) bool {
	return view.Config.HasPriorities(r.service) && view.Config.Engine(r.service) != nil &&
		r.sends == 0 && r.possibleRuns == 0 && r.in.call.LastEventID == 0 && !r.headersSent
}

// placeOrWait chooses an engine with room for the prompt and counts the prompt there. If there is
// none, or if prompts come first that already wait, the prompt waits.
func (r *relay) placeOrWait(ctx context.Context, view *feed.View) (sampledEngine, error) {
	r.leftToOthers = false
	if r.h.waiting.hasBefore(r.service, r.rank) {
		return r.awaitRoom(ctx, view, sampledEngine{}, prompts.NoMemory)
	}
	c, ok := r.placeWithPermit(ctx, view)
	if r.leftToOthers {
		return r.awaitRoom(ctx, view, c, prompts.NoMemory)
	}
	if !ok {
		return sampledEngine{}, r.noServerError()
	}
	admission, _ := r.admission(c)
	if admission == prompts.Admitted {
		r.h.waiting.startedAtOnce(r.service, r.rank)
		return c, nil
	}
	r.h.pool.addLoad(c.choice, -1, 0, 0)
	return r.awaitRoom(ctx, view, c, admission)
}

// newWaiter returns the prompt as it waits from now on.
func (r *relay) newWaiter(now time.Time) *waiter {
	w := &waiter{
		Prompt: &promptqueue.Prompt{
			ID: r.in.call.ID, Account: r.in.accountName(), Rank: r.rank, Bytes: int64(len(r.in.body)), Tokens: r.in.call.PromptTokens,
			LatestStart: r.h.pressure.latestStart(now, r.service, r.in),
		},
		service: r.service, part: r.in.call.PromptKey, begun: now,
		turn: make(chan struct{}, 1), evicted: make(chan struct{}), noRoom: map[routing.Incarnation]engineWithoutRoom{},
	}
	if w.part == "" {
		w.part = r.in.call.ID // the candidate engines stay the same while the prompt waits
	}
	return w
}

// awaitRoom waits until an engine has room for the prompt, at most until its latest start, and counts
// the prompt there. best and admission are the result of the first look for room.
func (r *relay) awaitRoom(ctx context.Context, view *feed.View, best sampledEngine, admission prompts.Admission) (sampledEngine, error) {
	now := time.Now()
	if r.h.waiting.isStopping() {
		return sampledEngine{}, errStopping()
	}
	if report := best.report; report.CapacityTokens > 0 && r.in.call.PromptTokens > report.CapacityTokens {
		_, due := r.admission(best)
		return sampledEngine{}, r.noRoomError(best, prompts.NoMemory, due)
	}
	w := r.newWaiter(now)
	first, refusal, waiting := r.h.waiting.join(now, w)
	switch refusal {
	case promptqueue.NoTime:
		_, due := r.admission(best)
		return sampledEngine{}, r.noRoomError(best, admission, due)
	case promptqueue.CannotStart:
		return sampledEngine{}, r.refuseWaiting(waitCannotStart)
	}
	r.h.opts.Log.Emit(event.PromptWaits, w.ID, r.service, r.in.routeName(), r.in.accountName(), r.rank, r.in.call.PromptTokens, w.Bytes, w.Slack(now), waiting)
	if first && !r.leftToOthers && best.answered { // it has found no room just now
		r.h.waiting.failedLook(now, w)
	}
	delay := r.h.waiting.nextCheck(now, w)
	c, end, err := r.waitAndLook(ctx, w, delay)
	now = time.Now()
	waiting = r.h.waiting.leave(now, w, err == nil)
	if w.stated != nil {
		r.h.workTracker.forgetWaiting(r.h.opts.Feed.View(), w.service, w.part, w.stated)
	}
	r.h.metrics.promptWaitSeconds.WithLabelValues(end).Observe(now.Sub(w.begun).Seconds())
	r.h.opts.Log.Emit(event.PromptWaitEnded, w.ID, w.service, r.in.routeName(), r.in.accountName(), w.Rank, end, c.server.ID, now.Sub(w.begun), w.Slack(now), w.looks, waiting)
	if errors.Is(err, errServiceChanged) {
		return r.placeAtNewService(ctx)
	}
	return c, err
}

// waitAndLook looks for room whenever it is the prompt's turn, until there is room or the prompt is
// refused. end says how the wait ended.
func (r *relay) waitAndLook(ctx context.Context, w *waiter, delay time.Duration) (c sampledEngine, end string, err error) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return c, waitDisconnected, verdict.New(verdict.NotRun, verdict.CodeDeadlineExceeded, "the prompt waited for room at an engine").WithCause(ctx.Err())
		case <-r.h.waiting.stopping:
			return c, waitStopping, errStopping()
		case <-w.evicted:
			return c, waitQueueFull, r.refuseWaiting(waitQueueFull)
		case <-w.turn:
		case <-timer.C:
		}
		view, now := r.h.opts.Feed.View(), time.Now()
		if end, err := r.checkWaiting(view, now, w); err != nil {
			return c, end, err
		}
		if rank, ok := r.h.waiting.rankOfTurn(now, w); ok {
			if c, ok := r.look(ctx, view, w, rank); ok {
				return r.confirm(c)
			}
			r.h.waiting.failedLook(time.Now(), w)
		}
		timer.Reset(r.h.waiting.nextCheck(time.Now(), w))
	}
}

// look looks once for an engine with room for a prompt that waits, and counts the prompt there. rank
// is the rank at which the trackers order it.
func (r *relay) look(ctx context.Context, view *feed.View, w *waiter, rank int) (sampledEngine, bool) {
	w.looks++
	others, complete := r.h.peers.totalWork(ctx, view, r.service)
	onlyKnown := !complete
	if !complete {
		stated := &peerpb.WaitingPrompt{Id: w.ID, Priority: int32(rank), SlackMs: w.Slack(time.Now()).Milliseconds()}
		if others, complete = r.h.workTracker.trackedWork(ctx, view, r.service, w.part, stated); others != nil {
			w.stated = stated
		}
	}
	if complete {
		return r.lookWhereShown(ctx, view, w, others, onlyKnown)
	}
	return r.lookAtSample(ctx, view, w, others)
}

// lookWhereShown probes the engines that have room by what all daemons have in progress there, and
// that no other waiting prompt comes first at.
func (r *relay) lookWhereShown(ctx context.Context, view *feed.View, w *waiter, others workloads, onlyKnown bool) (sampledEngine, bool) {
	excluded := append(slices.Clone(r.excluded), others.awaited()...)
	known := others.plus(r.h.pool.localWork(view, r.service))
	excluded = append(excluded, w.withoutRoom(time.Now(), view.Config.Engine(r.service).Slots, known)...)
	queries := r.h.newProbeRound()
	defer queries.suspectSilent()
	for probes := 0; probes < maxLookProbes; {
		c, pending, ok := r.h.pool.reservePrefill(time.Now(), view, r.service, others, onlyKnown, excluded)
		if !ok {
			return sampledEngine{}, false
		}
		best := sampledEngine{choice: c, report: prompts.Report{PendingPrompts: pending}}
		if admission, _ := r.admission(best); admission != prompts.Admitted {
			// Engines of different speed are not ordered by their pending prompts.
			r.h.pool.addLoad(c, -1, 0, 0)
			excluded = append(excluded, c.server.Incarnation())
			continue
		}
		probes++
		// The count of 1 is this prompt, which reservePrefill has counted already.
		sampled := queries.sampleLoads(ctx, []choice{c}, 1)
		if len(sampled) == 1 {
			best = sampled[0]
			best.report.PendingPrompts = max(best.report.PendingPrompts, pending) // a report lags
			if r.takes(ctx, w, best, known) {
				return best, true
			}
		}
		r.h.pool.addLoad(c, -1, 0, 0)
		excluded = append(excluded, c.server.Incarnation())
	}
	return sampledEngine{}, false
}

// lookAtSample probes a few engines, if there are no trackers to ask or too few answer.
func (r *relay) lookAtSample(ctx context.Context, view *feed.View, w *waiter, others workloads) (sampledEngine, bool) {
	excluded := append(slices.Clone(r.excluded), others.awaited()...)
	local := r.h.pool.localWork(view, r.service)
	excluded = append(excluded, w.withoutRoom(time.Now(), 0, local)...)
	queries := r.h.newProbeRound()
	defer queries.suspectSilent()
	candidates := r.h.pool.prefillCandidates(time.Now(), view, r.service, w.part, SampleSize, excluded)
	best, ok := r.leastLoaded(queries.sampleLoads(ctx, candidates, 0))
	if !ok || !r.takes(ctx, w, best, local) {
		return sampledEngine{}, false
	}
	r.h.pool.addLoad(best.choice, 1, 0, 0)
	return best, true
}

// takes reports whether the prompt is sent to an engine that was probed. An engine without room is
// skipped for a while.
func (r *relay) takes(ctx context.Context, w *waiter, best sampledEngine, known workloads) bool {
	if admission, _ := r.admission(best); admission == prompts.Admitted {
		return r.tryAcquirePermit(ctx, best.choice)
	}
	life := best.server.Incarnation()
	w.noRoom[life] = engineWithoutRoom{work: known[life].total(), until: time.Now().Add(noRoomTTL)}
	return false
}

// withoutRoom returns the engines that are not worth a probe now: all their slots are in use, or
// their last report showed no room and no run has ended there since. slots is 0 if it is unknown. known
// is the work of all daemons, this one included, as far as it is known.
func (w *waiter) withoutRoom(now time.Time, slots int, known workloads) (list []routing.Incarnation) {
	for life, full := range w.noRoom {
		if now.Before(full.until) && known[life].total() >= full.work {
			list = append(list, life)
		}
	}
	for life, work := range known {
		if slots > 0 && work.total() >= slots {
			list = append(list, life)
		}
	}
	return list
}

// plus returns the sum of two workloads.
func (w workloads) plus(other workloads) workloads {
	sum := maps.Clone(w)
	if sum == nil {
		sum = workloads{}
	}
	for life, more := range other {
		work := sum[life]
		work.prefilling += more.prefilling
		work.running += more.running
		sum[life] = work
	}
	return sum
}

// total returns the number of requests at an engine.
func (w workload) total() int { return w.prefilling + w.running }

// awaited returns the engines at which waiting prompts of other daemons come first.
func (w workloads) awaited() (list []routing.Incarnation) {
	for life, work := range w {
		if work.ahead > 0 {
			list = append(list, life)
		}
	}
	return list
}

// isAwaited reports whether waiting prompts of other daemons come first at some engine.
func (w workloads) isAwaited() bool { return len(w.awaited()) > 0 }

// confirm returns the engine that was found, unless the prompt must not be sent any more: the
// configuration may have changed while engines were probed.
func (r *relay) confirm(c sampledEngine) (_ sampledEngine, end string, err error) {
	if end, err := r.checkAllowed(r.h.opts.Feed.View()); err != nil {
		r.h.pool.addLoad(c.choice, -1, 0, 0)
		return sampledEngine{}, end, err
	}
	return c, waitStarted, nil
}

// checkWaiting returns an error if the prompt must not wait any longer.
func (r *relay) checkWaiting(view *feed.View, now time.Time, w *waiter) (end string, err error) {
	if end, err := r.checkAllowed(view); err != nil {
		return end, err
	}
	switch r.h.waiting.check(now, w) {
	case promptqueue.NoTime:
		return waitTooLate, r.refuseWaiting(waitTooLate)
	case promptqueue.CannotStart:
		return waitCannotStart, r.refuseWaiting(waitCannotStart)
	}
	if err := r.checkTimeLeft(true); err != nil {
		return waitTooLate, err
	}
	return "", nil
}

// checkAllowed returns the refusal that a new request like this one would get now, or
// errServiceChanged, and how the wait ends with it.
func (r *relay) checkAllowed(view *feed.View) (end string, err error) {
	if r.h.waiting.isStopping() {
		return waitStopping, errStopping()
	}
	route := r.currentRoute(view)
	if route == nil {
		return waitNotAllowed, verdict.New(verdict.NotRun, verdict.CodeUnknownService, "no route leads there")
	}
	age, _ := r.h.opts.Feed.ConfigAge()
	current := inbound{call: r.in.call, route: route}
	if err := r.h.authorize(&current, view.Config, age); err != nil {
		return waitNotAllowed, err
	}
	if route.Kind != routing.Stream {
		return waitNotAllowed, verdict.New(verdict.NotRun, verdict.CodeOverloaded, "the route no longer takes streams").WithRetryAfter(shutdownRetryAfter)
	}
	if !slices.ContainsFunc(route.Targets, func(t routing.Target) bool { return t.Service == r.service && t.Weight > 0 }) {
		return waitMoved, errServiceChanged
	}
	return "", nil
}

// currentRoute returns the route of the request by the given view, nil if there is none.
func (r *relay) currentRoute(view *feed.View) *routing.Route {
	path, _, _ := strings.Cut(r.in.target, "?")
	return view.Config.Match(r.in.host, path)
}

// placeAtNewService places the prompt at the service that its route has now. Nothing was sent to the
// old one.
func (r *relay) placeAtNewService(ctx context.Context) (sampledEngine, error) {
	view := r.h.opts.Feed.View()
	if _, err := r.checkAllowed(view); err != nil && !errors.Is(err, errServiceChanged) {
		return sampledEngine{}, err // changed once more
	}
	route := r.currentRoute(view)
	r.in.route, r.excluded = route, nil
	age, _ := r.h.opts.Feed.ConfigAge()
	if err := r.h.authorize(r.in, view.Config, age); err != nil {
		return sampledEngine{}, err
	}
	r.service = route.PickService(rand.Float64())
	r.rank = view.Config.Rank(r.service, route, r.in.account)
	r.h.pool.countRequest(time.Now(), r.service)
	r.room = roomUnasked
	r.observeArrival()
	return r.placeOrdered(ctx, view)
}

// errStopping is the refusal of a prompt that waits when the shutdown begins.
func errStopping() error {
	return verdict.New(verdict.NotRun, verdict.CodeShuttingDown, "this daemon is stopping").WithRetryAfter(shutdownRetryAfter)
}

// refuseWaiting returns the refusal of a prompt that waited, or that would wait in vain.
func (r *relay) refuseWaiting(reason string) error {
	overloadedFor, answer := r.h.pressure.recordRefusal(time.Now(), r.service)
	r.h.metrics.overloadRefusals.WithLabelValues(reason).Inc()
	return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "engines have no room for the prompt (%s)", reason).
		WithRetryAfter(r.retryAfterRoom(overloadedFor, answer))
}
