package forward

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"mallowwind.dev/control/feed"
	"mallowwind.dev/control/routing"
	"mallowwind.dev/decision/promptqueue"
	"mallowwind.dev/decision/prompts"
	"mallowwind.dev/decision/verdict"
	"mallowwind.dev/telemetry/event"
)

const (
	// waitCheckInterval is how often a prompt whose turn it is not checks whether it may still wait. A
	// revoked key must stop working soon, and the caller is told early.
	waitCheckInterval = 250 * time.Millisecond
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
